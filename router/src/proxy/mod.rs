//! The data plane: requests of clients, sent on to backends.

pub mod attempt;
pub mod backend;
pub mod connection;
pub mod exchange;
pub mod headers;
pub mod ingress;
pub mod pick;
pub mod relay;
pub mod stores;
pub mod table;
