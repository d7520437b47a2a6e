//! Times and counts of a replica.

use crate::Millis;

/// Times and counts of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a grant of the lease lasts.
    pub lease: Millis,
    /// By how much the holder stops before its lease ends.
    pub lease_margin: Millis,
    /// Time between two heartbeats of the primary.
    pub heartbeat_interval: Millis,
    /// A replica that was not heard for so long is taken out of the in-sync set.
    pub replica_timeout: Millis,
    /// A disk write that takes longer makes a primary resign.
    pub storage_timeout: Millis,
    /// Added to a candidate's wait for each candidate before it.
    pub election_stagger: Millis,
    /// Time between two attempts to be taken in.
    pub join_interval: Millis,
    /// What a replica was sent is sent again after this where no answer came.
    pub retransmit_interval: Millis,
    /// For how long no change is ordered where a replica can't catch up otherwise.
    pub write_stall: Millis,
    /// A call that waits longer gets no clear answer.
    pub call_timeout: Millis,
    /// A witness that was not heard for so long is taken out where enough others are left.
    pub witness_timeout: Millis,
    /// How many replicas have to store a change before it is acknowledged.
    pub replication_factor: usize,
}

impl Timing {
    /// The usual times, for a system that bears the loss of `faults` replicas. There are two copies
    /// at least, as one alone would be lost with its disk.
    pub fn tolerating(faults: usize) -> Self {
        Timing {
            lease: 1_000,
            lease_margin: 150,
            heartbeat_interval: 200,
            replica_timeout: 750,
            storage_timeout: 700,
            election_stagger: 150,
            join_interval: 250,
            retransmit_interval: 400,
            write_stall: 1_000,
            call_timeout: 3_500,
            witness_timeout: 750,
            replication_factor: faults.max(1) + 1,
        }
    }

    /// The fewest witnesses that are left when a silent one is taken out: so many that a majority
    /// outlives the faults.
    pub fn min_witnesses(&self) -> usize {
        2 * self.replication_factor - 1
    }
}
