//! State changes of a lease, and reasons for releasing a role.

use crate::{Time, Token};
use std::fmt;

/// Why an owner releases the role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The owner is draining, or its status makes it ineligible.
    Ineligible,
    /// An operator has excluded the owner from the role.
    Excluded,
    /// An operator wants the role transferred to this gatherer.
    Transfer(String),
    /// Other gatherers reported that the owner's work fails while their own attempts succeed.
    FaultReported,
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // These texts are stored in grants and must not change.
        f.write_str(match self {
            ReleaseReason::Ineligible => "given up: it drains, or does not stand well",
            ReleaseReason::Excluded => "given up: an operator has forbidden it",
            ReleaseReason::Transfer(_) => "offered: an operator wants it so",
            ReleaseReason::FaultReported => "given up: others can do what it cannot",
        })
    }
}

/// A change in the state of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The role was acquired under this token, for this reason.
    Acquired(Token, String),
    /// A renewal that was requested at this time was committed.
    Renewed(Token, Time),
    /// The lease expired before a renewal was committed.
    Expired(Token),
    /// An expired lease was renewed, as no other gatherer had acquired the role.
    Resumed(Token),
    /// Another grant has replaced this one.
    Lost(Token),
    /// The role was released.
    Released(Token, ReleaseReason),
    /// The role was parked for this reason: no gatherer may acquire it.
    Parked(String),
}
