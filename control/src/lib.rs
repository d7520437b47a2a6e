//! Control state of a router fleet, without I/O, clocks or randomness.
//!
//! The program feeds these types with messages, times and finished disk writes, and carries out the
//! effects they return. Durable state (configuration, weight versions) is replicated from a primary
//! to its backups; witnesses store only epochs and decide failover. Soft state (backends, members)
//! spreads by version vectors.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod changes;
pub mod configuration;
pub mod delta;
pub mod digest;
pub mod directory;
pub mod failure_detector;
pub mod history;
pub mod message;
pub mod node;
pub mod proposer;
pub mod ring;
pub mod rollout;

pub mod state;
pub mod storage;
pub mod view;
pub mod witness;

/// A moment or a duration on a steady clock, in milliseconds.
pub type Millis = u64;
