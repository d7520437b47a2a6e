//! The holder's record of its lease: the heartbeats that each witness has granted.
//!
//! A grant binds the witness for the duration of a lease from its reply. The holder measures the
//! duration from the sending of the heartbeat, which was earlier. Grants stay valid in later views
//! of the same primary, as they bind the witness independently of the view; each view counts only
//! the grants of its own witnesses.
//!
//! A majority of grants is the lease. As no majority forms without some member of a blocking set
//! ([`View::blocking_set`]), the grants of such a set suffice to exclude that another replica has
//! become primary or acknowledged a change.

use crate::Millis;
use crate::view::{ReplicaId, View};
use std::collections::BTreeMap;

/// The most heartbeats that are tracked. The leases of older ones have expired.
const MAX_TRACKED_HEARTBEATS: usize = 64;

/// Sent heartbeats, and the newest one that each witness granted.
#[derive(Debug, Default)]
pub(super) struct Lease {
    last_sequence: u64,
    sent: BTreeMap<u64, Millis>,
    granted: BTreeMap<ReplicaId, u64>,
}

impl Lease {
    /// Records a new heartbeat and returns its sequence number.
    pub(super) fn begin(&mut self, now: Millis) -> u64 {
        self.last_sequence += 1;
        self.sent.insert(self.last_sequence, now);
        if self.sent.len() > MAX_TRACKED_HEARTBEATS {
            self.sent.pop_first();
        }
        self.last_sequence
    }

    /// Records that a witness has granted a heartbeat. Replies may arrive in any order.
    pub(super) fn record_grant(&mut self, from: ReplicaId, sequence: u64) {
        let newest = self.granted.entry(from).or_default();
        *newest = sequence.max(*newest);
    }

    /// The newest heartbeat such that a majority of the view's witnesses has granted it or a later
    /// one.
    pub(super) fn confirmed_sequence(&self, view: &View) -> Option<u64> {
        self.sequence_granted_by(view.majority(), view)
    }

    /// The newest heartbeat such that `count` of the view's witnesses have granted it or a later
    /// one.
    fn sequence_granted_by(&self, count: usize, view: &View) -> Option<u64> {
        let witnesses = view.witnesses.iter();
        let mut sequences: Vec<u64> = witnesses
            .filter_map(|witness| self.granted.get(witness).copied())
            .collect();
        sequences.sort_unstable_by(|a, b| b.cmp(a));
        sequences.get(count - 1).copied()
    }

    /// When a lease of `duration` in this view expires; 0 where it is not known to be held.
    pub(super) fn expires_at(&self, view: &View, duration: Millis) -> Millis {
        self.grants_expire_at(view.majority(), view, duration)
    }

    /// Until when no other replica can be primary; 0 where that is not known.
    pub(super) fn excludes_others_until(&self, view: &View, duration: Millis) -> Millis {
        self.grants_expire_at(view.blocking_set(), view, duration)
    }

    /// When the first of the newest `count` grants expires, from the sending of its heartbeat.
    fn grants_expire_at(&self, count: usize, view: &View, duration: Millis) -> Millis {
        let sent_at = self
            .sequence_granted_by(count, view)
            .and_then(|sequence| self.sent.get(&sequence));
        sent_at.map_or(0, |sent_at| sent_at + duration)
    }
}
