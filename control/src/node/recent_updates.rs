//! The most recent updates of a replica's log, retained for replicas that lag slightly.

use crate::state::{Position, Update};
use std::collections::VecDeque;

/// The most updates that are retained.
const MAX_UPDATES: usize = 512;
/// The most bytes of updates that are retained.
const MAX_BYTES: usize = 1 << 20;

/// An update with the position of the one before it.
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

/// Consecutive updates up to the last one that is stored.
#[derive(Debug)]
pub(super) struct RecentUpdates {
    last: Position,
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl RecentUpdates {
    /// Starts empty; `last` is the position of the last update in the log.
    pub(super) fn new(last: Position) -> Self {
        RecentUpdates {
            last,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Appends the next update and evicts the oldest ones beyond the limits.
    pub(super) fn push(&mut self, update: &Update) {
        let entry = LogEntry {
            previous: self.last,
            update: update.clone(),
        };
        self.last = update.position;
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
        // The newest update is retained whatever its size, as other replicas are still storing it.
        while self.entries.len() > 1 && (self.entries.len() > MAX_UPDATES || self.bytes > MAX_BYTES)
        {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= oldest.bytes();
        }
    }

    /// The updates after a position; `None` where they are not all retained.
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
