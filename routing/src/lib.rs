//! Decisions of a router, without I/O or clocks: where a request goes first, when a copy follows
//! it, what may be repeated, and which parts of prompts are kept where.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod budget;
pub mod faults;
pub mod hedging;
pub mod locations;
pub mod owners;
pub mod prompt;
pub mod rest;
pub mod selection;
pub mod split;
pub mod version_floor;

/// A moment or a duration on a steady clock, in milliseconds.
pub type Millis = u64;
