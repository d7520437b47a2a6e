//! Singleton roles of a gatherer fleet: leases with fencing tokens, the election order, and the
//! work that the owner of each role does. The package does no I/O and reads no clock or random
//! numbers: its inputs are the time, the state of the replicated store and the store's responses,
//! its outputs are store transactions and permits for side effects.
//!
//! These leases are entries in the replicated store of the gatherers (package `bitternsill-store`).
//! The leases and rollouts of the router fleet are in the package `control`, and share no code or
//! data with these.
//!
//! A lease expires on its owner's own monotonic clock before any other gatherer can acquire it. An
//! owner that was suspended notices when it requests a [`role::Permit`] right before a side effect.
//! [`role::Target::guard`] states which targets cannot reject late side effects by the fencing
//! token, and how many of these can arrive there.

#![forbid(unsafe_code)]

pub mod election;
pub mod failure_detector;
pub mod health_check;
pub mod job;
pub mod keys;
pub mod lease;
pub mod observer;
pub mod role;
pub mod rollout;

/// A point in time or a duration, in nanoseconds of a monotonic clock.
pub type Time = u64;

/// A fencing token: each grant of a role has a higher one than every grant before it.
///
/// The derived order is part of the contract: eras are compared before revisions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The store's era. An operator who restores the store from a backup starts a later era,
    /// because revisions repeat after a restore.
    pub era: u64,
    /// The store revision at which the grant was committed.
    pub revision: u64,
}

impl std::fmt::Display for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl Token {
    /// The stored form: `[era, revision]`.
    pub fn to_json(self) -> serde_json::Value {
        serde_json::json!([self.era, self.revision])
    }

    /// Parses the stored form; `None` if `json` is not a token.
    pub fn from_json(json: &serde_json::Value) -> Option<Token> {
        Some(Token {
            era: json[0].as_u64()?,
            revision: json[1].as_u64()?,
        })
    }
}
