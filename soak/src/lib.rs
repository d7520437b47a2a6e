//! For development only: a soak test of the router fleet.
//!
//! A run starts router processes on loopback addresses, in front of simulated backends that speak
//! the published protocol. The seed determines overlapping series of signals, restarts, disk losses
//! and configuration changes. Clients reuse their connections until the router closes them, and
//! sometimes cancel early. All observations are recorded in a [`history::History`], which
//! [`check::violations`] checks against the rules.

#![forbid(unsafe_code)]

pub mod availability;
pub mod backend;
pub mod check;
pub mod client;
pub mod clock;
pub mod fleet;
pub mod history;
pub mod latency;
pub mod link;
pub mod network;
pub mod operator;
pub mod run;
pub mod schedule;
pub mod settings;
pub mod supervisor;
