//! The store on the loop: its links to other members and to those who watch it, and its file. What
//! a member decides is in the package `store`, which does no I/O. It stands off the request path
//! and is no input to the decision module.

pub mod cli;
pub mod client;
pub mod disk;
pub mod links;
pub mod requests;
