//! The last changes of a replica's state, for others that lack only these.

use crate::state::{Position, Update};
use std::collections::VecDeque;

/// The most changes that are kept.
const MOST_UPDATES: usize = 512;
/// The most bytes of changes that are kept.
const MOST_BYTES: usize = 1 << 20;

/// A change with the position of the one before it.
#[derive(Debug, Clone)]
pub(super) struct Step {
    pub(super) previous: Position,
    pub(super) update: Update,
}

impl Step {
    fn bytes(&self) -> usize {
        self.update.change.bytes()
    }
}

/// Changes one after the other, up to the last one that is stored.
#[derive(Debug)]
pub(super) struct Backlog {
    last: Position,
    steps: VecDeque<Step>,
    bytes: usize,
}

impl Backlog {
    /// Nothing is known of the changes up to `last`.
    pub(super) fn new(last: Position) -> Self {
        Backlog {
            last,
            steps: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Takes the next change.
    pub(super) fn push(&mut self, update: &Update) {
        let step = Step {
            previous: self.last,
            update: update.clone(),
        };
        self.last = update.position;
        self.bytes += step.bytes();
        self.steps.push_back(step);
        // The newest one stays whatever its size, as it is still being stored elsewhere.
        while self.steps.len() > 1 && (self.steps.len() > MOST_UPDATES || self.bytes > MOST_BYTES) {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.bytes -= oldest.bytes();
        }
    }

    /// What follows on a position, none where that is not known.
    pub(super) fn after(&self, position: Position) -> Option<impl Iterator<Item = &Step>> {
        let first = if position == self.last {
            self.steps.len()
        } else {
            self.steps
                .iter()
                .position(|step| step.previous == position)?
        };
        Some(self.steps.range(first..))
    }
}
