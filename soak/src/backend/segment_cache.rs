//! The cache of prompt segments of a backend, which is never full.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// The key of a segment: the salt under which it is cached, and its id.
type Key = (String, String);

/// Which request computed each cached segment.
#[derive(Debug, Default)]
pub(super) struct SegmentCache(Mutex<HashMap<Key, u64>>);

impl SegmentCache {
    /// Uses those of the segments that are cached under the salt, and caches the others. Returns the
    /// requests that computed the used ones.
    pub(super) fn use_segments(&self, request: u64, salt: &str, segments: &[String]) -> Vec<u64> {
        let mut cached = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut reused = Vec::new();
        for segment in segments {
            let key = (salt.to_owned(), segment.clone());
            let computed_by = *cached.entry(key).or_insert(request);
            if computed_by != request {
                reused.push(computed_by);
            }
        }
        reused
    }
}
