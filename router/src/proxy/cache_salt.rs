//! The text under which backends and stores keep parts of prompts: the wall around a tenant, and
//! the version that made them.

use compact_str::{CompactString, format_compact};

/// What stands between the wall and the version.
const VERSION_MARK: char = 'v';

/// A salt as events tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheSalt<'a> {
    /// The wall around a tenant.
    pub cache_namespace: &'a str,
    /// The version of the weights.
    pub version: u64,
}

impl<'a> CacheSalt<'a> {
    /// Reads a salt; none where it is no router's.
    pub fn read(text: &'a str) -> Option<Self> {
        let (cache_namespace, version) = text.rsplit_once(VERSION_MARK)?;
        Some(CacheSalt {
            cache_namespace,
            version: version.parse().ok()?,
        })
    }
}

/// The text for a wall and a version; 0 where the version is not known.
pub fn salt(cache_namespace: &str, version: Option<u64>) -> CompactString {
    format_compact!("{cache_namespace}{VERSION_MARK}{}", version.unwrap_or(0))
}
