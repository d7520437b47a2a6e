//! Configuration of a member.

use crate::Time;
use std::collections::BTreeSet;

/// Raft's timing.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Interval between two heartbeats of the leader, in nanoseconds.
    pub heartbeat: Time,
    /// Minimum election timeout, in nanoseconds; each timeout is drawn from one to two times this.
    pub election: Time,
}

/// The members of the store and this member's place among them.
#[derive(Debug, Clone)]
pub struct Membership {
    /// Id of this member.
    pub id: u64,
    /// Ids of all members, this one included.
    pub members: BTreeSet<u64>,
    /// Whether this member bootstraps the store where none exists yet.
    pub bootstraps: bool,
    /// Era of a store that this member bootstraps: seconds of the wall clock, so that it is later
    /// than the era of any store before it; 0 for no era.
    pub era: u64,
}

/// Limits on the store's size and load. Limits on the state have to be equal at all members, as
/// they decide what comes of an entry.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Entries in the log before it is compacted into a snapshot, and messages in the outbox.
    pub log: usize,
    /// Keys in the state.
    pub keys: usize,
    /// Length of a key or value, in bytes.
    pub value_bytes: usize,
    /// Client sessions in the state.
    pub sessions: usize,
    /// Keys that one transaction may name in its checks and sets.
    pub txn_keys: usize,
    /// Client calls in flight at this member; as a leader, it takes as many reads of each member.
    pub calls: usize,
    /// Committed changes that are retained for watchers.
    pub history: usize,
}
