//! What a primary knows of its lease: which witness granted which of its heartbeats.
//!
//! A grant binds its witness for the time of a lease from when it answered, so it counts from when
//! the heartbeat was sent. Grants are kept through later views of the same primary, as they bind
//! the witness and not the view; a view counts those of its own witnesses only.

use crate::Millis;
use crate::view::{ReplicaId, View};
use std::collections::BTreeMap;

/// Rounds of heartbeats that are remembered. Older ones have no lease left in them.
const MAX_TRACKED_HEARTBEATS: usize = 64;

/// Rounds of heartbeats, and who granted them.
#[derive(Debug, Default)]
pub(super) struct Lease {
    last_sequence: u64,
    sent: BTreeMap<u64, Millis>,
    granted: BTreeMap<ReplicaId, u64>,
}

impl Lease {
    /// Begins a sequence of heartbeats.
    pub(super) fn begin(&mut self, now: Millis) -> u64 {
        self.last_sequence += 1;
        self.sent.insert(self.last_sequence, now);
        if self.sent.len() > MAX_TRACKED_HEARTBEATS {
            self.sent.pop_first();
        }
        self.last_sequence
    }

    /// A witness has granted a sequence.
    pub(super) fn record_grant(&mut self, from: ReplicaId, sequence: u64) {
        let newest = self.granted.entry(from).or_default();
        *newest = sequence.max(*newest);
    }

    /// The newest sequence that a majority of a view's witnesses has granted, this or a later one
    /// each.
    pub(super) fn confirmed_sequence(&self, view: &View) -> Option<u64> {
        let witnesses = view.witnesses.iter();
        let mut sequences: Vec<u64> = witnesses
            .filter_map(|witness| self.granted.get(witness).copied())
            .collect();
        sequences.sort_unstable_by(|one, other| other.cmp(one));
        sequences.get(view.majority() - 1).copied()
    }

    /// Until when the lease of so long is held in a view; 0 where it is not known to be held.
    pub(super) fn expires_at(&self, view: &View, lasts: Millis) -> Millis {
        let sent_at = self
            .confirmed_sequence(view)
            .and_then(|sequence| self.sent.get(&sequence));
        sent_at.map_or(0, |sent_at| sent_at + lasts)
    }
}
