//! The replicated store on the event loop: connections to other members and to clients, and the
//! member's file. The protocol is in the package `store`, which does no I/O. The store is off the
//! request path, and dispatch decisions do not depend on it.

pub mod cli;
pub mod client;
pub mod disk;
mod file_writer;
mod peer;
pub mod requests;
pub mod server;
pub mod service;
