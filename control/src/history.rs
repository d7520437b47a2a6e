//! The texts of a configuration one after the other: differences that are made once and sent to
//! every holder that lags.
//!
//! Each delta names the version that it starts from and the checksum of what it leads to, so that a
//! holder whose text has moved on since it asked takes from an answer just the deltas that follow
//! its own text.

use crate::delta::{Chunk, diff, patch};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// The most deltas that are kept for holders which lag.
const MAX_DELTAS: usize = 32;

/// What leads from one version of a text to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    base: u64,
    version: u64,
    chunks: Vec<Chunk>,
    checksum: u32,
}

impl Delta {
    fn between(base: (u64, &[u8]), version: u64, text: &[u8]) -> Self {
        let chunks = diff(base.1, text);
        Delta {
            base: base.0,
            version,
            chunks,
            checksum: crc32fast::hash(text),
        }
    }

    /// How many bytes it takes to send, about.
    fn size(&self) -> usize {
        const CHUNK_OVERHEAD_BYTES: usize = 8;
        let bytes = |chunk: &Chunk| match chunk {
            Chunk::Copy { .. } => CHUNK_OVERHEAD_BYTES,
            Chunk::Insert(bytes) => CHUNK_OVERHEAD_BYTES + bytes.len(),
        };
        self.chunks.iter().map(bytes).sum()
    }
}

/// What a holder lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TextUpdate {
    /// The newest text itself.
    Full {
        /// Its version.
        version: u64,
        /// The text.
        text: Vec<u8>,
    },
    /// Deltas that lead to the newest text.
    Deltas(Vec<Delta>),
}

impl TextUpdate {
    /// The version that it leads to.
    pub fn version(&self) -> Option<u64> {
        match self {
            TextUpdate::Full { version, .. } => Some(*version),
            TextUpdate::Deltas(deltas) => deltas.last().map(|delta| delta.version),
        }
    }
}

/// Why an update cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// No delta starts from the text held.
    #[error("no step starts from version {current}: ask again with that version")]
    BaseMismatch {
        /// The version held; 0 for none.
        current: u64,
    },
    /// A delta leads to another text than it should.
    #[error("the text of version {version} does not have its checksum: ask for the whole text")]
    Checksum {
        /// The version.
        version: u64,
    },
}

/// The newest text with the deltas that led to it.
#[derive(Debug, Clone, Default)]
pub struct History {
    version: u64,
    text: Vec<u8>,
    deltas: VecDeque<Delta>,
}

impl History {
    /// The version of the newest text; 0 where there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The newest text.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Takes a newer text.
    pub fn advance(&mut self, version: u64, text: Vec<u8>) {
        if self.version > 0 {
            self.retain(Delta::between((self.version, &self.text), version, &text));
        }
        (self.version, self.text) = (version, text);
    }

    fn retain(&mut self, delta: Delta) {
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// What the holder of version `base` lacks: deltas where these are fewer bytes than the text,
    /// else the text.
    pub fn update_for(&self, base: u64) -> Option<TextUpdate> {
        if self.version == 0 || base == self.version {
            return None;
        }
        let full = || TextUpdate::Full {
            version: self.version,
            text: self.text.clone(),
        };
        let Some(first) = self.deltas.iter().position(|delta| delta.base == base) else {
            return Some(full());
        };
        let deltas = self.deltas.range(first..);
        if deltas.clone().map(Delta::size).sum::<usize>() >= self.text.len() {
            return Some(full());
        }
        Some(TextUpdate::Deltas(deltas.cloned().collect()))
    }

    /// Takes what another holder had; unchanged where that does not fit.
    pub fn apply(&mut self, update: TextUpdate) -> Result<(), ApplyError> {
        match update {
            TextUpdate::Full { version, text } => self.advance(version, text),
            TextUpdate::Deltas(deltas) => {
                let first = deltas.iter().position(|delta| delta.base == self.version);
                let first = first.ok_or(ApplyError::BaseMismatch {
                    current: self.version,
                })?;
                let text = apply_deltas(&self.text, &deltas[first..])?;
                for delta in deltas.into_iter().skip(first) {
                    self.version = delta.version;
                    self.retain(delta);
                }
                self.text = text;
            }
        }
        Ok(())
    }
}

/// The text that deltas lead to.
fn apply_deltas(text: &[u8], deltas: &[Delta]) -> Result<Vec<u8>, ApplyError> {
    let mut text = text.to_vec();
    for delta in deltas {
        let next =
            patch(&text, &delta.chunks).filter(|next| crc32fast::hash(next) == delta.checksum);
        text = next.ok_or(ApplyError::Checksum {
            version: delta.version,
        })?;
    }
    Ok(text)
}
