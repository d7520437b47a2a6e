//! Successive texts of a configuration: deltas that are computed once and sent to every replica
//! that lags.
//!
//! Each delta names its base version and the checksum of its result, so that a replica whose text
//! has advanced since its request applies just the deltas that follow its own version.

use crate::delta::{Chunk, diff, patch};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// The most deltas that are retained for replicas that lag.
const MAX_DELTAS: usize = 32;

/// The delta from one version of a text to the next.
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

    /// Its approximate encoded size in bytes.
    fn size(&self) -> usize {
        const CHUNK_OVERHEAD_BYTES: usize = 8;
        let bytes = |chunk: &Chunk| match chunk {
            Chunk::Copy { .. } => CHUNK_OVERHEAD_BYTES,
            Chunk::Insert(bytes) => CHUNK_OVERHEAD_BYTES + bytes.len(),
        };
        self.chunks.iter().map(bytes).sum()
    }
}

/// An update that brings a replica to the newest text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TextUpdate {
    /// The newest text itself.
    Full {
        /// Its version.
        version: u64,
        /// The text.
        text: Vec<u8>,
    },
    /// Consecutive deltas that end at the newest text.
    Deltas(Vec<Delta>),
}

impl TextUpdate {
    /// The version that it leads to; `None` for an empty update.
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
    /// No delta starts from the current version.
    #[error("no delta starts from version {current}: request an update from that version")]
    BaseMismatch {
        /// The current version; 0 for none.
        current: u64,
    },
    /// The result of a delta does not match its checksum.
    #[error("checksum mismatch in the text of version {version}: request the full text")]
    Checksum {
        /// The version.
        version: u64,
    },
}

/// The newest text, with the most recent deltas that led to it.
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

    /// Replaces the text with a newer version, and retains the delta between them.
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

    /// The update for a replica with version `base`: deltas if these are smaller than the text,
    /// else the full text; `None` if `base` is the newest version.
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

    /// Applies an update from another replica.
    ///
    /// # Errors
    ///
    /// Where the deltas do not apply to the current text, which is then unchanged.
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

/// Applies deltas one after the other, verifying each result.
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
