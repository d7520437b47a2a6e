//! SRU and Z39.50 without sockets: codecs, queries, records, result sets, merging, and the choice
//! of sessions.
//!
//! Nothing here opens, waits, or asks what time it is: bytes, events and times come in, and what to
//! say or do goes out. The program's catalogue front puts it on sockets.
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

/// Text as XML has it.
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            // XML 1.0 has no way to write the other control characters.
            c if c < ' ' && !matches!(c, '\t' | '\n' | '\r') => out.push(' '),
            c => out.push(c),
        }
    }
    out
}
