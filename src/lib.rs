#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod calls;
pub mod choice;
pub mod interface;
mod timers;
pub mod wire;

pub use choice::Aggregator;
pub use interface::{Action, Event, Settings};
