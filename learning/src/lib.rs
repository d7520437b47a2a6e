//! What a gatherer has learned of hosts and query classes, retained across its restarts: the
//! snapshot, its aging, the file format and the steps of an atomic write. Nothing here opens a file
//! or reads a clock.

#![forbid(unsafe_code)]

pub mod age;
pub mod atomic_write;
pub mod file;
pub mod snapshot;
