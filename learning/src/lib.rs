//! What a gatherer has learned, kept across its restarts: the picture, its ageing, the file's
//! format and the steps of writing it. Nothing here opens a file or asks what time it is.
#![forbid(unsafe_code)]

pub mod age;
pub mod file;
pub mod picture;
pub mod steps;
