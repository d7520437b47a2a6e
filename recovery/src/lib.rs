//! What a gatherer does between its start and full service: whom it asks, what it waits for and how
//! long, which queries it takes meanwhile. No sockets, clock, files or randomness: time and answers
//! come in, the phase and what to do go out.
//!
//! Nobody waits for a phase of another: peers are only asked for what they know, answer in any
//! phase, and what they do not answer in time is done without. So no circle of waits can form, and
//! each wait has a bound.

#![forbid(unsafe_code)]

pub mod bearing;
pub mod phase;
pub mod ramp;

/// A moment or a duration, in nanoseconds of a clock that only moves forward.
pub type Time = u64;
