//! One owner at a time for each kind of work that is done on behalf of a whole fleet. No sockets,
//! clock, files or randomness: time, what the store holds and its answers come in; changes to be
//! made there, and whether an effect may be made, go out.
//!
//! A lease ends by itself, on its owner's own monotonic clock, before anybody else can take it; an
//! owner that stood still finds so when it asks for leave right before an effect. What cannot be
//! checked where it lands is named, and bounded.

#![forbid(unsafe_code)]

pub mod choose;
pub mod follow;
pub mod job;
pub mod keeping;
pub mod keys;
pub mod kind;
pub mod lease;
pub mod probes;
pub mod rollout;

/// A moment or a duration, in nanoseconds of a clock that only moves forward.
pub type Time = u64;

/// By what an owner is told from every one before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The store's era: each store that an operator begins anew has a later one.
    pub era: u64,
    /// The revision at which the grant was made.
    pub revision: u64,
}

impl std::fmt::Display for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl Token {
    /// The token as JSON.
    pub fn json(self) -> serde_json::Value {
        serde_json::json!([self.era, self.revision])
    }

    /// A token from JSON.
    pub fn read(json: &serde_json::Value) -> Option<Token> {
        Some(Token {
            era: json[0].as_u64()?,
            revision: json[1].as_u64()?,
        })
    }
}
