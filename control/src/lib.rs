//! Control state of a router fleet, as state machines without I/O, clocks or randomness.
//!
//! The program feeds these types with messages, times and finished disk writes, and carries out the
//! effects that they return. Durable state (configuration, weight versions) is replicated from a
//! primary to its backups ([`node`]); witnesses store only their votes and decide failover
//! ([`witness`], [`proposer`]). Soft state (backends, members) spreads by anti-entropy with version
//! vectors ([`directory`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod changes;
pub mod configuration;
pub mod delta;
pub mod digest;
pub mod directory;
pub mod failure_detector;
pub mod history;
pub mod json_depth;
pub mod message;
pub mod node;
pub mod proposer;
pub mod ring;
pub mod rollout;

pub mod state;
pub mod storage;
pub mod view;
pub mod witness;

/// A moment or a duration on a monotonic clock, in milliseconds.
pub type Millis = u64;
