//! Versions of the configuration in a fleet of gatherers: which version a gatherer may serve under
//! ([`lease`]), when the whole fleet may switch ([`rollout`]), and the audit of the queries served
//! under each version ([`audit_log`], [`audit`]). The package does no I/O and reads no clock or
//! random numbers: its inputs are times and responses, its outputs are decisions.
//!
//! A gatherer serves under a version for a fixed time after it sent the last *query* to the store
//! whose response confirmed the version as active. The gatherer measures that time on its own
//! monotonic clock, so it stops without a message.
//!
//! The distribution of the router fleet's configuration is in the package `control`.

#![forbid(unsafe_code)]

pub mod audit;
pub mod audit_log;
pub mod lease;
pub mod registration;
pub mod rollout;
pub mod status;

/// A point in time or a duration, in nanoseconds of a monotonic clock.
pub type Time = u64;

/// A version of the configuration: the store revision at which it was made active; 0 for the
/// configuration in a gatherer's own file.
pub type Version = u64;

/// Nanoseconds in a millisecond.
const NANOS_PER_MS: Time = 1_000_000;
