//! Fault simulation for tests; linked into no program that serves.
//!
//! - [`link`]: a relay between two processes that can stall, delay or reset each direction
//! - [`timeline`]: random sequences of faults for a group of processes
//! - [`scenarios`]: random scenarios for the deployment's test bench, and a table of outcomes
//! - [`history`]: checks what clients read from replicas for consistency
//! - [`orders`]: all permutations of a few items

#![forbid(unsafe_code)]

pub mod history;
pub mod link;
pub mod orders;
pub mod scenarios;
pub mod timeline;
