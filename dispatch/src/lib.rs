//! Dispatch decisions of a gatherer: where a query's parts go, when it is hedged, and when
//! it is rejected.
//!
//! No I/O: a program feeds [`Aggregator`] with [`Event`]s and carries out the [`Action`]s it
//! returns. `bitternsill` does so on sockets, `bitternsill-simhost` on the simulator's wire.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod calls;
pub mod dispatcher;
pub mod interface;
mod timers;
pub mod wire;

pub use dispatcher::Aggregator;
pub use interface::{Action, Event, Settings};
