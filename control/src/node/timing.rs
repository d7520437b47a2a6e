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
    pub heartbeat: Millis,
    /// A replica that was not heard for so long is taken out of the in-sync set.
    pub silence: Millis,
    /// A disk write that takes longer makes a primary resign.
    pub storage_patience: Millis,
    /// Added to a candidate's wait for each candidate before it.
    pub stagger: Millis,
    /// Time between two attempts to be taken in.
    pub join_interval: Millis,
    /// What a replica was sent is sent again after this where no answer came.
    pub resend: Millis,
    /// For how long no change is ordered where a replica can't catch up otherwise.
    pub catch_up_pause: Millis,
    /// A call that waits longer gets no clear answer.
    pub call_patience: Millis,
    /// A witness that was not heard for so long is taken out where enough others are left.
    pub witness_silence: Millis,
    /// How many replicas have to store a change before it is acknowledged.
    pub copies: usize,
}

impl Timing {
    /// The usual times, for a system that bears the loss of `faults` replicas. There are two copies
    /// at least, as one alone would be lost with its disk.
    pub fn tolerating(faults: usize) -> Self {
        Timing {
            lease: 1_000,
            lease_margin: 150,
            heartbeat: 200,
            silence: 750,
            storage_patience: 700,
            stagger: 150,
            join_interval: 250,
            resend: 400,
            catch_up_pause: 1_000,
            call_patience: 3_500,
            witness_silence: 750,
            copies: faults.max(1) + 1,
        }
    }

    /// The fewest witnesses that are left when a silent one is taken out: so many that a majority
    /// outlives the faults.
    pub fn min_witnesses(&self) -> usize {
        2 * self.copies - 1
    }
}
