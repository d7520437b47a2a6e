//! For development only, and linked into nothing that serves: links between processes that a test
//! can cut, stall, delay or reset; timelines of faults drawn by a seed; and what observers saw,
//! checked against what may be seen.

#![forbid(unsafe_code)]

pub mod days;
pub mod history;
pub mod link;
pub mod orders;
pub mod timeline;
