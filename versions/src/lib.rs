//! Versions of the configuration in a fleet of gatherers: which version a gatherer may serve under
//! ([`lease`]), when the whole fleet may switch ([`rollout`]), and the audit of what was served
//! under which version ([`audit_log`], [`audit`]). No sockets, clock, files or randomness: times
//! and responses come in, decisions go out.
//!
//! A gatherer serves under a version for a stated time after it last *queried* the store and the
//! response confirmed the version as active. It measures that time on its own monotonic clock, so
//! it stops without having to be told.
//!
//! The router fleet distributes its configuration by other means, see the package `control`.

#![forbid(unsafe_code)]

pub mod audit;
pub mod audit_log;
pub mod lease;
pub mod registration;
pub mod rollout;
pub mod status;

/// A moment or a duration, in nanoseconds of a monotonic clock.
pub type Time = u64;

/// A version of the configuration: the store revision at which it was made active; 0 for the
/// configuration in a gatherer's own file.
pub type Version = u64;

/// Nanoseconds in a millisecond.
const NANOS_PER_MS: Time = 1_000_000;
