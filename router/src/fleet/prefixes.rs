//! Answering prefix lookups as the owner of a prefix.

use super::Fleet;
use crate::clock;
use crate::sync::lock;
use compact_str::CompactString;
use routing::prefix_index::{Placement, PrefixKey, PrefixLocation};

/// A lookup to an owner.
#[derive(Debug, Clone)]
pub struct PrefixLookup {
    /// The prefix.
    pub key: PrefixKey,
    /// Where the request would go if the prefix is kept nowhere.
    pub planned: Placement,
    /// Whether the prefix is worth saving at the store.
    pub should_save: bool,
}

impl Fleet {
    /// Answers as the owner of a prefix.
    pub fn look_up_prefix(&self, lookup: &PrefixLookup) -> PrefixLocation {
        let generation = self
            .stores
            .store_for(lookup.key)
            .map(|store| store.generation);
        let PrefixLookup {
            key,
            planned,
            should_save,
        } = lookup;
        lock(&self.locations).look_up(*key, planned, *should_save, generation, clock::now())
    }

    /// A backend keeps these prefixes no more.
    pub fn record_evictions(&self, backend: &CompactString, prefixes: &[(PrefixKey, u64)]) {
        let mut locations = lock(&self.locations);
        for (key, version) in prefixes {
            locations.record_eviction(
                *key,
                &Placement {
                    backend: backend.clone(),
                    version: *version,
                },
            );
        }
    }

    /// A store keeps these prefixes no more.
    pub fn record_store_evictions(&self, prefixes: &[(PrefixKey, u64)]) {
        let mut locations = lock(&self.locations);
        prefixes
            .iter()
            .for_each(|(key, version)| locations.record_store_eviction(*key, *version));
    }
}
