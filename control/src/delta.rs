//! Deltas between two JSON texts: chunks that occur in the base are copied by reference, others are
//! included.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// One instruction of a delta.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Chunk {
    /// Copies bytes of the base.
    Copy {
        /// The offset of the first byte.
        start: u32,
        /// The number of bytes.
        length: u32,
    },
    /// Inserts bytes that the base does not have.
    Insert(Vec<u8>),
}

/// Splits a text before each opening brace, so that chunks align with JSON objects.
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

/// The delta that turns `base` into `text`.
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

/// Applies a delta to `base`; `None` where it refers to bytes beyond the end of `base`.
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
