//! Errors of a member.

use std::error::Error;
use std::fmt;

/// A change that exceeds the store's [`Bounds`](super::Bounds).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge;

impl fmt::Display for TooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the change exceeds the bounds of the store")
    }
}

impl Error for TooLarge {}

/// A message from a member of a different store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OtherStore {
    /// The sender.
    pub from: u64,
    /// The sender's store.
    pub theirs: u64,
    /// The store of this member.
    pub own: u64,
}

impl fmt::Display for OtherStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OtherStore { from, theirs, own } = self;
        write!(
            f,
            "member {from} belongs to store {theirs:016x}, this one to store {own:016x}"
        )
    }
}

impl Error for OtherStore {}

/// This member has reached its limit of client calls in flight; see [`Bounds`](super::Bounds).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManyCalls;

impl fmt::Display for TooManyCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too many client calls in flight")
    }
}

impl Error for TooManyCalls {}

/// The history of changes no longer covers the requested revision, but is complete after this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Compacted(pub u64);

impl fmt::Display for Compacted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "changes up to revision {} have been compacted", self.0)
    }
}

impl Error for Compacted {}
