//! The platform's front: HTTP/1.1 for clients, frames for index hosts, discovery over HTTP. Thin.

pub mod client;
pub mod discovery;
pub mod frames;
pub mod link;
pub mod query;
