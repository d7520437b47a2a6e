//! The platform's protocols: HTTP/1.1 for clients, frames for index hosts, and discovery over HTTP.

pub mod client;
pub mod discovery;
pub mod frames;
pub mod link;
pub mod query;
