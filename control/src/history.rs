//! The texts of a configuration one after the other: differences that are made once and sent to
//! every holder that lags.
//!
//! Each step names the version that it starts from and the checksum of what it leads to, so that a
//! holder whose text has moved on since it asked takes from an answer just the steps that follow
//! its own text.

use crate::delta::{Piece, difference, restore};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// The most steps that are kept for holders which lag.
const STEPS_KEPT: usize = 32;

/// What leads from one version of a text to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    base: u64,
    version: u64,
    pieces: Vec<Piece>,
    checksum: u32,
}

impl Step {
    fn between(base: (u64, &[u8]), version: u64, text: &[u8]) -> Self {
        let pieces = difference(base.1, text);
        Step {
            base: base.0,
            version,
            pieces,
            checksum: crc32fast::hash(text),
        }
    }

    /// How many bytes it takes to send, about.
    fn size(&self) -> usize {
        const PIECE_BYTES: usize = 8;
        let bytes = |piece: &Piece| match piece {
            Piece::Copy { .. } => PIECE_BYTES,
            Piece::New(bytes) => PIECE_BYTES + bytes.len(),
        };
        self.pieces.iter().map(bytes).sum()
    }
}

/// What a holder lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// The newest text itself.
    Whole {
        /// Its version.
        version: u64,
        /// The text.
        text: Vec<u8>,
    },
    /// Steps that lead to the newest text.
    Steps(Vec<Step>),
}

impl News {
    /// The version that it leads to.
    pub fn version(&self) -> Option<u64> {
        match self {
            News::Whole { version, .. } => Some(*version),
            News::Steps(steps) => steps.last().map(|step| step.version),
        }
    }
}

/// Why news can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Misfit {
    /// No step starts from the text held.
    #[error("no step starts from version {held}: ask again with that version")]
    OtherBase {
        /// The version held; 0 for none.
        held: u64,
    },
    /// A step leads to another text than it should.
    #[error("the text of version {version} does not have its checksum: ask for the whole text")]
    Checksum {
        /// The version.
        version: u64,
    },
}

/// The newest text with the steps that led to it.
#[derive(Debug, Clone, Default)]
pub struct History {
    version: u64,
    text: Vec<u8>,
    steps: VecDeque<Step>,
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
            self.keep(Step::between((self.version, &self.text), version, &text));
        }
        (self.version, self.text) = (version, text);
    }

    fn keep(&mut self, step: Step) {
        self.steps.push_back(step);
        if self.steps.len() > STEPS_KEPT {
            self.steps.pop_front();
        }
    }

    /// What the holder of version `base` lacks: steps where these are fewer bytes than the text,
    /// else the text.
    pub fn news_for(&self, base: u64) -> Option<News> {
        if self.version == 0 || base == self.version {
            return None;
        }
        let whole = || News::Whole {
            version: self.version,
            text: self.text.clone(),
        };
        let Some(first) = self.steps.iter().position(|step| step.base == base) else {
            return Some(whole());
        };
        let steps = self.steps.range(first..);
        if steps.clone().map(Step::size).sum::<usize>() >= self.text.len() {
            return Some(whole());
        }
        Some(News::Steps(steps.cloned().collect()))
    }

    /// Takes what another holder had; unchanged where that does not fit.
    pub fn take(&mut self, news: News) -> Result<(), Misfit> {
        match news {
            News::Whole { version, text } => self.advance(version, text),
            News::Steps(steps) => {
                let first = steps.iter().position(|step| step.base == self.version);
                let first = first.ok_or(Misfit::OtherBase { held: self.version })?;
                let text = follow(&self.text, &steps[first..])?;
                for step in steps.into_iter().skip(first) {
                    self.version = step.version;
                    self.keep(step);
                }
                self.text = text;
            }
        }
        Ok(())
    }
}

/// The text that steps lead to.
fn follow(text: &[u8], steps: &[Step]) -> Result<Vec<u8>, Misfit> {
    let mut text = text.to_vec();
    for step in steps {
        let next =
            restore(&text, &step.pieces).filter(|next| crc32fast::hash(next) == step.checksum);
        text = next.ok_or(Misfit::Checksum {
            version: step.version,
        })?;
    }
    Ok(text)
}
