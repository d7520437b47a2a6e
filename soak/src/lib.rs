//! For development only: a soak of the router fleet.
//!
//! A run starts routers as processes of their own on loopback addresses, before backends that speak
//! the published protocol, and draws by its seed which signals, restarts, losses and changes come,
//! in series that overlap. Clients keep using their open connections until the process behind them
//! is gone, and some leave early. What everybody saw is kept in a [`history::History`], which
//! [`check::violations`] holds against the rules.

#![forbid(unsafe_code)]

pub mod backend;
pub mod check;
pub mod client;
pub mod clock;
pub mod fleet;
pub mod history;
pub mod network;
pub mod operator;
pub mod run;
pub mod schedule;
pub mod settings;
pub mod way;
