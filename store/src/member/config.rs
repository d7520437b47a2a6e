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

/// The members of the store and this member's role among them.
#[derive(Debug, Clone)]
pub struct Membership {
    /// Id of this member.
    pub id: u64,
    /// Ids of all members, including this one.
    pub members: BTreeSet<u64>,
    /// Whether this member bootstraps the store if none exists yet.
    pub bootstraps: bool,
    /// Era of a store that this member bootstraps; 0 for no era. Wall clock seconds make the era
    /// later than that of any earlier store.
    pub era: u64,
}

/// Limits on the store's size and load. Limits on the state have to be equal at all members, as
/// they decide the outcomes of entries.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Log entries before compaction into a snapshot, and also messages in the outbox.
    pub log: usize,
    /// Keys in the state.
    pub keys: usize,
    /// Length of a key or value, in bytes.
    pub value_bytes: usize,
    /// Client sessions in the state.
    pub sessions: usize,
    /// Keys that one transaction may name in its checks and sets.
    pub txn_keys: usize,
    /// Client calls in flight at this member. A leader also accepts this many reads per member.
    pub calls: usize,
    /// Committed changes that are retained for watchers.
    pub history: usize,
}
