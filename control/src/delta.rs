//! Differences between two texts of JSON: pieces that stand in the base are named, others are sent.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A piece of a text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// Bytes of the base.
    Copy {
        /// Where they begin.
        start: u32,
        /// How many there are.
        length: u32,
    },
    /// Bytes that the base does not have.
    New(Vec<u8>),
}

/// Objects begin with a brace; each piece reaches up to the next one.
fn pieces(text: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = text.get(start..).filter(|rest| !rest.is_empty())?;
        let length = rest[1..]
            .iter()
            .position(|byte| *byte == b'{')
            .map_or(rest.len(), |at| at + 1);
        let piece = (start, &rest[..length]);
        start += length;
        Some(piece)
    })
}

/// What makes `text` of `base`.
pub fn difference(base: &[u8], text: &[u8]) -> Vec<Piece> {
    let known: HashMap<&[u8], usize> = pieces(base).map(|(start, piece)| (piece, start)).collect();
    let mut result: Vec<Piece> = Vec::new();
    for (_, piece) in pieces(text) {
        match (known.get(piece), result.last_mut()) {
            (Some(at), Some(Piece::Copy { start, length }))
                if *at == (*start + *length) as usize =>
            {
                *length += piece.len() as u32;
            }
            (Some(at), _) => result.push(Piece::Copy {
                start: *at as u32,
                length: piece.len() as u32,
            }),
            (None, Some(Piece::New(bytes))) => bytes.extend(piece),
            (None, _) => result.push(Piece::New(piece.to_vec())),
        }
    }
    result
}

/// The text that pieces make of `base`; none where they don't fit it.
pub fn restore(base: &[u8], pieces: &[Piece]) -> Option<Vec<u8>> {
    let mut text = Vec::new();
    for piece in pieces {
        match piece {
            Piece::Copy { start, length } => {
                let start = *start as usize;
                text.extend(base.get(start..start + *length as usize)?);
            }
            Piece::New(bytes) => text.extend(bytes),
        }
    }
    Some(text)
}
