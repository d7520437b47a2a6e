//! Statistics that a gatherer has learned about hosts and query classes, retained across restarts:
//! the snapshot, its aging, the file format and the steps of an atomic write. The package does no
//! I/O and reads no clock.

#![forbid(unsafe_code)]

pub mod age;
pub mod atomic_write;
pub mod file;
pub mod snapshot;
