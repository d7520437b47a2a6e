//! Time-outs, intervals and the replication factor of a replica.

use crate::Millis;

/// The number of seeds of a system in which at least as many machines have replicas.
const MAX_SEEDS: usize = 3;

/// Time-outs and intervals, all in milliseconds, and the replication factor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Duration of a lease grant, from when the witness grants it.
    pub lease: Millis,
    /// The holder stops this long before its lease expires, to allow for clock drift.
    pub lease_margin: Millis,
    /// A primary that lost its lease steps down after this time, also where no other replica can
    /// have become primary.
    pub minority_timeout: Millis,
    /// Time between two heartbeats of the primary.
    pub heartbeat_interval: Millis,
    /// A replica that does not reply for this long is removed from the in-sync set.
    pub replica_timeout: Millis,
    /// A replica that replies, and has not stored what it was sent after this time, is removed from
    /// the in-sync set: its disk is slow.
    pub replication_timeout: Millis,
    /// An attempt to have a view decided is abandoned after this time.
    pub attempt_timeout: Millis,
    /// A primary whose disk write takes longer steps down.
    pub storage_timeout: Millis,
    /// Added to a candidate's election time-out for each candidate that precedes it.
    pub election_stagger: Millis,
    /// Time between two requests to join or to leave.
    pub join_interval: Millis,
    /// Updates that were not acknowledged are sent again after this time.
    pub retransmit_interval: Millis,
    /// For how long writes are stalled where a replica cannot catch up otherwise.
    pub write_stall: Millis,
    /// A call that is pending for longer gets an unknown outcome.
    pub call_timeout: Millis,
    /// A witness that is unresponsive for this long is removed where enough others are left.
    pub witness_timeout: Millis,
    /// How many replicas have to store a change before it is acknowledged.
    pub replication_factor: usize,
    /// The owner of the rollout may send orders for this long after it was confirmed as the owner.
    pub order_grant: Millis,
    /// The ownership of a replica that is unresponsive for this long is vacated.
    pub owner_timeout: Millis,
}

impl Timing {
    /// The default timing, for a system that tolerates the loss of `faults` replicas. The
    /// replication factor is at least two, as a single copy would be lost with its disk.
    pub fn tolerating(faults: usize) -> Self {
        Timing {
            lease: 500,
            lease_margin: 100,
            minority_timeout: 15_000,
            heartbeat_interval: 100,
            replica_timeout: 450,
            replication_timeout: 750,
            attempt_timeout: 750,
            storage_timeout: 700,
            election_stagger: 150,
            join_interval: 250,
            retransmit_interval: 400,
            write_stall: 1_000,
            call_timeout: 3_500,
            witness_timeout: 750,
            replication_factor: faults.max(1) + 1,
            order_grant: 600,
            owner_timeout: 1_500,
        }
    }

    /// The fewest witnesses that remain when an unresponsive one is removed: a majority of them
    /// survives the tolerated faults.
    pub fn min_witnesses(&self) -> usize {
        2 * self.replication_factor - 1
    }

    /// The fewest replicas of a first view that is decided by the replicas of `seeds` machines.
    ///
    /// The view has to survive the tolerated faults. With one fault, two replicas do: both store
    /// each change, and either decides the next view alone once the other's disk is lost. With more
    /// faults it takes a full set of witnesses. Where there are fewer than [`MAX_SEEDS`] seeds, no
    /// other replicas exist.
    pub fn min_first_view(&self, seeds: usize) -> usize {
        let survivable = if self.replication_factor == 2 {
            2
        } else {
            self.min_witnesses()
        };
        if seeds < MAX_SEEDS {
            survivable.min(seeds)
        } else {
            survivable
        }
    }
}
