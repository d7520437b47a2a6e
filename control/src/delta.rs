//! Differences between two texts of JSON: chunks that stand in the base are named, others are sent.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A chunk of a text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Chunk {
    /// Bytes of the base.
    Copy {
        /// Where they begin.
        start: u32,
        /// How many there are.
        length: u32,
    },
    /// Bytes that the base does not have.
    Insert(Vec<u8>),
}

/// Objects begin with a brace; each chunk reaches up to the next one.
fn chunks(text: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = text.get(start..).filter(|rest| !rest.is_empty())?;
        let length = rest[1..]
            .iter()
            .position(|byte| *byte == b'{')
            .map_or(rest.len(), |at| at + 1);
        let chunk = (start, &rest[..length]);
        start += length;
        Some(chunk)
    })
}

/// What makes `text` of `base`.
pub fn diff(base: &[u8], text: &[u8]) -> Vec<Chunk> {
    let known: HashMap<&[u8], usize> = chunks(base).map(|(start, chunk)| (chunk, start)).collect();
    let mut result: Vec<Chunk> = Vec::new();
    for (_, chunk) in chunks(text) {
        match (known.get(chunk), result.last_mut()) {
            (Some(at), Some(Chunk::Copy { start, length }))
                if *at == (*start + *length) as usize =>
            {
                *length += chunk.len() as u32;
            }
            (Some(at), _) => result.push(Chunk::Copy {
                start: *at as u32,
                length: chunk.len() as u32,
            }),
            (None, Some(Chunk::Insert(bytes))) => bytes.extend(chunk),
            (None, _) => result.push(Chunk::Insert(chunk.to_vec())),
        }
    }
    result
}

/// The text that chunks make of `base`; none where they don't fit it.
pub fn patch(base: &[u8], chunks: &[Chunk]) -> Option<Vec<u8>> {
    let mut text = Vec::new();
    for chunk in chunks {
        match chunk {
            Chunk::Copy { start, length } => {
                let start = *start as usize;
                text.extend(base.get(start..start + *length as usize)?);
            }
            Chunk::Insert(bytes) => text.extend(bytes),
        }
    }
    Some(text)
}
