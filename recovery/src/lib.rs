//! Recovery of a gatherer from its start until full service: the peers to query, the conditions and
//! time limits of each phase, and the queries admitted meanwhile. The crate has no sockets, clock,
//! files or randomness: callers pass in time and answers, and get phases and decisions.
//!
//! Invariant: no gatherer waits for the phase of another. Peers are only queried for their state,
//! they answer in any phase, and recovery continues without answers that do not arrive in time. So
//! waits cannot be circular, and each is bounded.

#![forbid(unsafe_code)]

pub mod capacity;
pub mod phase;
pub mod slow_start;

/// An instant or a duration, in nanoseconds of a monotonic clock.
pub type Time = u64;
