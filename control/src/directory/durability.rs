//! Tracks which withdrawals of backends are on this node's disk.
//!
//! A withdrawal is acknowledged to its backend once a majority of the voters has it on disk, and a
//! node states what it has by its version vector. So the vector that a node states must not cover a
//! withdrawal that is only in its memory: until a save has completed, the stated vector stays at
//! what the last completed save covered.

use super::VersionVector;

/// The point in the sequence of updates that a save covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SavePoint {
    /// The version vector at the time of the save.
    pub(super) vector: VersionVector,
    /// The number of updates with withdrawals by then.
    withdrawals: u64,
}

/// Compares the withdrawals in memory with those on disk.
#[derive(Debug, Default)]
pub(super) struct Durability {
    /// The number of updates with withdrawals since the start.
    received: u64,
    /// The number of these that a completed save covers.
    saved: u64,
    /// The newest vector that covers no unsaved withdrawal, while there are any.
    durable_vector: VersionVector,
}

impl Durability {
    /// The number of updates with withdrawals since the start.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// The number of these that are on disk.
    pub(super) fn saved(&self) -> u64 {
        self.saved
    }

    /// Whether all withdrawals are on disk.
    pub(super) fn is_complete(&self) -> bool {
        self.saved == self.received
    }

    /// Records that an update with withdrawals is about to be applied. `vector` does not cover it yet.
    pub(super) fn record_withdrawal(&mut self, vector: &VersionVector) {
        if self.is_complete() {
            self.durable_vector.clone_from(vector);
        }
        self.received += 1;
    }

    /// The newest vector that covers no unsaved withdrawal. `vector` is the current one.
    pub(super) fn durable_vector<'a>(&'a self, vector: &'a VersionVector) -> &'a VersionVector {
        if self.is_complete() {
            vector
        } else {
            &self.durable_vector
        }
    }

    /// The point that a save of the current records covers.
    pub(super) fn save_point(&self, vector: &VersionVector) -> SavePoint {
        SavePoint {
            vector: vector.clone(),
            withdrawals: self.received,
        }
    }

    /// Records that everything up to this point is on disk.
    pub(super) fn record_saved(&mut self, point: SavePoint) {
        if point.withdrawals > self.saved {
            self.saved = point.withdrawals;
            self.durable_vector = point.vector;
        }
    }
}
