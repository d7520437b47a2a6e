//! The depth of JSON documents. The parser of large documents recurses into nested values, so the
//! depth is bounded before it runs.

/// The greatest depth of nested lists and objects in a document from outside.
pub const MAX_JSON_DEPTH: usize = 128;

/// The byte offset of the first list or object that is nested deeper than `max_depth`; `None` if
/// there is none. The document may be malformed.
pub fn first_too_deep(json: &[u8], max_depth: usize) -> Option<usize> {
    let mut depth = 0;
    let mut is_in_string = false;
    let mut is_escaped = false;
    for (offset, byte) in json.iter().enumerate() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_in_string => is_escaped = true,
            b'"' => is_in_string = !is_in_string,
            _ if is_in_string => {}
            b'[' | b'{' if depth == max_depth => return Some(offset),
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    None
}
