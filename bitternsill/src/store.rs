//! The replicated store on the event loop: connections to other members and clients, and the file.
//! What a member decides is in the package `store`, which does no I/O. The store is off the request
//! path, and no input of dispatch decisions.

pub mod cli;
pub mod client;
pub mod disk;
mod file_writer;
mod peer;
pub mod requests;
pub mod server;
pub mod service;
