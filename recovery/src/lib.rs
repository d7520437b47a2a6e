//! Recovery of a gatherer after its start, until it serves in full: which peers it queries, what it
//! waits for and how long, and which queries it admits meanwhile. No sockets, clock, files or
//! randomness: time and answers come in, the phase and decisions go out.
//!
//! Invariant: no gatherer waits for the phase of another. Peers are only asked for what they know,
//! they answer in any phase, and recovery goes on without an answer that does not come in time. So
//! waits cannot be circular, and each has a bound.

#![forbid(unsafe_code)]

pub mod capacity;
pub mod phase;
pub mod slow_start;

/// An instant or a duration, in nanoseconds of a monotonic clock.
pub type Time = u64;
