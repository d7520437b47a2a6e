//! Fault simulation for tests; not part of any production binary.
//!
//! - [`link`]: a relay between two processes that can stall, delay or reset each direction
//! - [`timeline`]: random sequences of faults for a group of processes
//! - [`scenarios`]: random scenarios for the deployment's test bench, and a table of their outcomes
//! - [`history`]: consistency check of the values that clients read from replicas
//! - [`mutation`]: random damage to messages, for tests of parsers
//! - [`orders`]: all permutations of a list

#![forbid(unsafe_code)]

pub mod history;
pub mod link;
pub mod mutation;
pub mod orders;
pub mod scenarios;
pub mod timeline;
