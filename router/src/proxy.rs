//! The data plane: forwards client requests to backends and relays the responses.

pub mod attempt;
pub mod backend;
pub mod backend_table;
mod cache_namespace;
pub mod cache_salt;
pub mod cache_watcher;
pub mod connection;
pub mod failure_log;
pub mod forwarder;
pub mod headers;
pub mod in_flight;
pub mod ingress;
pub mod kv_events;
pub mod kv_store_monitor;
pub mod observed_weights;
pub mod prefix_locator;
pub mod relay;
mod response;
pub mod selection;
