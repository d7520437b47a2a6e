//! Dispatch decisions of a gatherer: selects replicas for the parts of a query, hedges them, and
//! rejects queries under overload.
//!
//! The crate does no I/O. A program passes [`Event`]s to an [`Aggregator`] and executes the
//! [`Action`]s that it returns: `bitternsill` on sockets, `bitternsill-simhost` on the simulator's
//! line protocol.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod calls;
pub mod dispatcher;
pub mod interface;
mod timers;
pub mod wire;

pub use dispatcher::Aggregator;
pub use interface::{Action, Event, Settings};
