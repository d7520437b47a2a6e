//! Answering prefix lookups as the owner of a prefix.

use super::Fleet;
use crate::clock;
use crate::sync::lock;
use compact_str::CompactString;
use routing::prefix_index::{Placement, PrefixKey, PrefixLocation};

/// A question to an owner.
#[derive(Debug, Clone)]
pub struct Question {
    /// The prefix.
    pub key: PrefixKey,
    /// Where the request would go if the prefix is kept nowhere.
    pub planned: Placement,
    /// Whether the prefix is worth saving at the store.
    pub wants_save: bool,
}

impl Fleet {
    /// Answers as the owner of a prefix.
    pub fn locate(&self, question: &Question) -> PrefixLocation {
        let generation = self.stores.of(question.key).map(|store| store.generation);
        let Question {
            key,
            planned,
            wants_save,
        } = question;
        lock(&self.locations).look_up(*key, planned, *wants_save, generation, clock::now())
    }

    /// A backend keeps these prefixes no more.
    pub fn take_evicted(&self, backend: &CompactString, prefixes: &[(PrefixKey, u64)]) {
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
    pub fn take_evicted_from_store(&self, prefixes: &[(PrefixKey, u64)]) {
        let mut locations = lock(&self.locations);
        prefixes
            .iter()
            .for_each(|(key, version)| locations.record_store_eviction(*key, *version));
    }
}
