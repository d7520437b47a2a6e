//! The cache salt under which backends and stores cache prompt segments. A salt consists of the
//! tenant's cache namespace, which isolates tenants, and the version of the weights.

use compact_str::{CompactString, format_compact};

/// Separator between namespace and version.
const VERSION_SEPARATOR: char = 'v';

/// A parsed cache salt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheSalt<'a> {
    /// The tenant's cache namespace.
    pub cache_namespace: &'a str,
    /// Version of the weights.
    pub version: u64,
}

impl<'a> CacheSalt<'a> {
    /// Parses a salt; `None` if it does not have the format that routers write.
    pub fn parse(text: &'a str) -> Option<Self> {
        let (cache_namespace, version) = text.rsplit_once(VERSION_SEPARATOR)?;
        Some(CacheSalt {
            cache_namespace,
            version: version.parse().ok()?,
        })
    }
}

/// Formats the salt of a namespace and a version; an unknown version is written as 0.
pub fn salt(cache_namespace: &str, version: Option<u64>) -> CompactString {
    format_compact!(
        "{cache_namespace}{VERSION_SEPARATOR}{}",
        version.unwrap_or(0)
    )
}
