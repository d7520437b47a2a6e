//! One member of a small replicated store, for configuration and state. It has no sockets, clock,
//! files or randomness of its own: time, packets and news of finished writes come in; packets,
//! writes and committed changes go out.
//!
//! The one rule that everything else rests on: what a member tells others, and what it says is
//! committed, is told only after every write that came before it is on the disk.

#![forbid(unsafe_code)]

pub mod command;
pub mod kept;
pub mod member;
pub mod packet;
pub mod record;
pub mod rejoin;
pub mod state;

/// A moment or a duration, in nanoseconds of a clock that only moves forward.
pub type Time = u64;
