//! A router of the fleet: forwards clients' requests to backends ([`proxy`]), shares the fleet's
//! state with the other routers ([`fleet`], [`replica`], [`membership`]), rolls out weights
//! ([`weights`]), and serves the API for operators and backends ([`control_api`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cli;
pub mod client_server;
pub mod clock;
pub mod control_api;
pub mod counters;
pub mod disk;
pub mod fleet;
pub mod frame;
pub mod kv_stores;
pub mod links;
pub mod listener;
pub mod membership;
pub mod metrics;
pub mod protocol;
pub mod proxy;
pub mod published;
pub mod readiness;
pub mod rendezvous;
pub mod replica;
pub mod response_body;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod socket;
pub mod status;
pub mod sync;
pub mod traffic;
pub mod upstreams;
pub mod weights;
