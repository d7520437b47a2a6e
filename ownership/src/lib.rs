//! Singleton roles of a gatherer fleet: leases with fencing tokens, the election order, and the
//! work that the owner of each role does. No sockets, clock, files or randomness: the time, the
//! state of the replicated store and its responses come in; store transactions and permits for side
//! effects go out.
//!
//! These leases are entries in the replicated store of the gatherers (package `bitternsill-store`).
//! The router fleet has leases and rollouts of its own over its control state; those are in the
//! package `control` and share no code or data with these.
//!
//! A lease expires on its owner's own monotonic clock before any other gatherer can acquire it. An
//! owner that was suspended notices when it asks for a [`role::Permit`] right before a side effect.
//! Which side effects cannot be fenced where they land, and how many can be late, is stated by
//! [`role::Target::guard`].

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

/// A moment or a duration, in nanoseconds of a monotonic clock.
pub type Time = u64;

/// A fencing token: each grant of a role has a higher one than every grant before it.
///
/// The derived order is part of the contract: the era goes before the revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The store's era. An operator who restores the store from a backup starts a later era, as
    /// revisions then repeat.
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

    /// Reads the stored form; `None` if it is not a token.
    pub fn from_json(json: &serde_json::Value) -> Option<Token> {
        Some(Token {
            era: json[0].as_u64()?,
            revision: json[1].as_u64()?,
        })
    }
}
