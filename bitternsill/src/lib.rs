//! The gatherer: one process on sockets. `main.rs` starts it; everything else is in this library,
//! so that tests can use it.
#![forbid(unsafe_code)]

pub mod admin;
pub mod cli;
pub mod config;
pub mod conform;
pub mod core;
pub mod describe;
pub mod fleet;
pub mod front;
pub mod learned;
pub mod limits;
pub mod net;
pub mod recovery;
pub mod serve;
pub mod store;
pub mod versions;
