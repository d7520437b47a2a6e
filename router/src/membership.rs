//! The tasks that keep this node in touch with its fleet.

pub mod anti_entropy;
pub mod bootstrap;
pub mod heartbeats;
