//! Background tasks of the fleet's membership: bootstrap, heartbeats and anti-entropy.

pub mod anti_entropy;
pub mod bootstrap;
pub mod heartbeats;
