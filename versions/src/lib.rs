//! Which version of the configuration a gatherer may act on, when a whole fleet switches, and what
//! the trails say of it afterwards. No sockets, clock, files or randomness: time and answers come
//! in, what to do goes out.
//!
//! A gatherer acts on a version for a stated time after it last *asked* the store and was told that
//! this one is active. It counts that time itself, on its own monotonic clock, so it stops without
//! having to hear that it must.

#![forbid(unsafe_code)]

pub mod audit;
pub mod registration;
pub mod rollout;
pub mod standing;
pub mod trail;

/// A moment or a duration, in nanoseconds of a clock that only moves forward.
pub type Time = u64;

/// A version of the configuration: the revision at which the store made it active; 0 for what a
/// gatherer's own file says.
pub type Version = u64;
