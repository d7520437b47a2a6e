//! bitternsill: one gatherer on sockets. `main.rs` starts it; everything else is here, so that
//! tests reach it.
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
