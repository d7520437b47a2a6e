//! The last changes of a replica's state, for others that lack only these.

use crate::state::{Position, Update};
use std::collections::VecDeque;

/// The most changes that are kept.
const MAX_UPDATES: usize = 512;
/// The most bytes of changes that are kept.
const MAX_BYTES: usize = 1 << 20;

/// A change with the position of the one before it.
#[derive(Debug, Clone)]
pub(super) struct LogEntry {
    pub(super) previous: Position,
    pub(super) update: Update,
}

impl LogEntry {
    fn bytes(&self) -> usize {
        self.update.change.bytes()
    }
}

/// Changes one after the other, up to the last one that is stored.
#[derive(Debug)]
pub(super) struct RecentUpdates {
    last: Position,
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl RecentUpdates {
    /// Nothing is known of the changes up to `last`.
    pub(super) fn new(last: Position) -> Self {
        RecentUpdates {
            last,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Takes the next change.
    pub(super) fn push(&mut self, update: &Update) {
        let entry = LogEntry {
            previous: self.last,
            update: update.clone(),
        };
        self.last = update.position;
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
        // The newest one stays whatever its size, as it is still being stored elsewhere.
        while self.entries.len() > 1 && (self.entries.len() > MAX_UPDATES || self.bytes > MAX_BYTES)
        {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= oldest.bytes();
        }
    }

    /// What follows on a position, none where that is not known.
    pub(super) fn after(&self, position: Position) -> Option<impl Iterator<Item = &LogEntry>> {
        let first = if position == self.last {
            self.entries.len()
        } else {
            self.entries
                .iter()
                .position(|entry| entry.previous == position)?
        };
        Some(self.entries.range(first..))
    }
}
