//! SRU and Z39.50 without I/O: codecs, queries, records, result sets, merging, and session
//! selection.
//!
//! This crate opens no connections, does not block, and reads no clock. Callers pass in bytes,
//! events and times, and perform the returned actions. The catalogue front of the main program
//! connects it to sockets.
#![forbid(unsafe_code)]

pub mod ber;
pub mod cql;
pub mod fault;
pub mod host;
pub mod index;
pub mod merge;
pub mod operation;
pub mod pool;
pub mod record;
pub mod rpn;
pub mod session;
pub mod sets;
pub mod sort;
pub mod sru;
pub mod work;
pub mod z3950;

/// Escapes text for XML.
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            // XML 1.0 cannot represent the other control characters.
            c if c < ' ' && !matches!(c, '\t' | '\n' | '\r') => out.push(' '),
            c => out.push(c),
        }
    }
    out
}
