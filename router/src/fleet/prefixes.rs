//! Answers prefix lookups as the owner of a prefix.

use super::Fleet;
use crate::clock;
use crate::sync::lock;
use compact_str::CompactString;
use routing::prefix_index::{Placement, PrefixKey, PrefixLocation};

/// A lookup of a prefix at its owner.
#[derive(Debug, Clone)]
pub struct PrefixLookup {
    /// The prefix.
    pub key: PrefixKey,
    /// The backend that gets the request if no backend has the prefix cached.
    pub fallback: Placement,
    /// Whether the prefix is worth saving to the KV store.
    pub should_save: bool,
}

impl Fleet {
    /// Looks up a prefix that this router owns.
    pub fn look_up_prefix(&self, lookup: &PrefixLookup) -> PrefixLocation {
        let generation = self
            .stores
            .store_for(lookup.key)
            .map(|store| store.generation);
        let PrefixLookup {
            key,
            fallback,
            should_save,
        } = lookup;
        lock(&self.prefix_index).look_up(*key, fallback, *should_save, generation, clock::now())
    }

    /// Records prefixes that a backend evicted.
    pub fn record_evictions(&self, backend: &CompactString, prefixes: &[(PrefixKey, u64)]) {
        let mut index = lock(&self.prefix_index);
        for (key, version) in prefixes {
            index.record_eviction(
                *key,
                &Placement {
                    backend: backend.clone(),
                    version: *version,
                },
            );
        }
    }

    /// Records prefixes that a store evicted.
    pub fn record_store_evictions(&self, prefixes: &[(PrefixKey, u64)]) {
        let mut index = lock(&self.prefix_index);
        prefixes
            .iter()
            .for_each(|(key, version)| index.record_store_eviction(*key, *version));
    }
}
