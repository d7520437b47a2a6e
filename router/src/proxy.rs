//! The data plane: requests of clients, sent on to backends.

mod answer;
pub mod attempt;
pub mod backend;
pub mod connection;
pub mod events;
pub mod exchange;
pub mod fault_log;
pub mod headers;
pub mod ingress;
pub mod kept;
pub mod known_weights;
pub mod locator;
pub mod pending;
pub mod pick;
pub mod relay;
pub mod salt;
pub mod stores;
pub mod table;
