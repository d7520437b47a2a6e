//! For development only: a soak test of the router fleet.
//!
//! A run starts routers as processes of their own on loopback addresses, in front of backends that
//! speak the published protocol. Its seed decides which signals, restarts, losses and configuration
//! changes happen, in overlapping series. Clients reuse their connections until the process at the
//! other end is gone, and some cancel early. Everything observed is recorded in a
//! [`history::History`], which [`check::violations`] checks against the rules.

#![forbid(unsafe_code)]

pub mod backend;
pub mod check;
pub mod client;
pub mod clock;
pub mod history;
pub mod link;
pub mod network;
pub mod operator;
pub mod run;
pub mod schedule;
pub mod settings;
pub mod supervisor;
