//! The index of prefix caches: which backends have the KV cache of a shared prompt prefix, and
//! whether the KV store has it.
//!
//! Each prefix has one owner among the routers, which handles all lookups of it. A lookup names the
//! backend that the request would be sent to. If no backend caches the prefix yet, that backend is
//! recorded immediately. Otherwise a second lookup, before the first request has filled the cache,
//! would place the same prefix at another backend. Eviction events of backends and stores remove
//! entries.

use crate::Millis;
use crate::prompt::Prompt;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of backends per prefix; the least recently used one is evicted.
const MAX_REPLICAS: usize = 6;
/// Maximum number of prefixes; the least recently used ones are evicted.
const MAX_PREFIXES: usize = 16_384;
/// A backend is assumed to cache a prefix for this long after its last use, unless an event says
/// otherwise.
const REPLICA_TTL: Millis = 20_000;
/// The store is assumed to have a prefix for this long after it was last saved or used.
const STORED_TTL: Millis = 60_000;
/// Minimum time between two saves of a prefix.
const MIN_SAVE_INTERVAL: Millis = 2_500;

/// Identifies a shared prompt prefix: a hash of the tenant's cache namespace, the model, and the id
/// of the last shared segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixKey(pub u64);

impl PrefixKey {
    /// The key of the prefix that ends with a segment.
    pub fn of_segment(namespace: &str, model: &str, segment: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        (namespace, model, segment).hash(&mut hasher);
        PrefixKey(hasher.finish())
    }

    /// The key of a prompt's shared prefix; `None` if it shares no segment.
    pub fn of_prompt(namespace: &str, prompt: &Prompt) -> Option<Self> {
        let last = prompt.shared_segments().last()?;
        Some(Self::of_segment(namespace, &prompt.model, &last.id))
    }
}

/// A backend, and the version of the weights with which it computed a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Instance id of the backend.
    pub backend: CompactString,
    /// Version of the weights.
    pub version: u64,
}

/// Where a prefix is cached: the owner's answer to a lookup.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixLocation {
    /// Backends that cache the prefix, the most recently used first.
    pub replicas: Vec<Placement>,
    /// Version of the weights for which the store has it, if any.
    pub stored_version: Option<u64>,
    /// Whether the caller should save it to the store.
    pub should_save: bool,
}

impl PrefixLocation {
    /// Returns whether a backend caches the prefix for this version of the weights.
    pub fn is_cached_by(&self, backend: &str, version: u64) -> bool {
        self.replicas
            .iter()
            .any(|replica| replica.backend == backend && replica.version == version)
    }
}

/// A backend that caches a prefix.
#[derive(Debug)]
struct Replica {
    placement: Placement,
    last_used: Millis,
}

/// A prefix in the KV store.
#[derive(Debug, Clone, Copy)]
struct Stored {
    version: u64,
    generation: u64,
    last_used: Millis,
}

/// The index entry of one prefix.
#[derive(Debug, Default)]
struct Entry {
    replicas: Vec<Replica>,
    stored: Option<Stored>,
    /// The version that is being saved, and until when it is not saved again.
    saving: Option<(u64, Millis)>,
    last_used: Millis,
}

/// The prefixes that one router owns.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    prefixes: HashMap<PrefixKey, Entry>,
}

impl PrefixIndex {
    /// Looks up a prefix. If no backend caches it for the version of `fallback`, the request goes to
    /// that backend, which is recorded as a replica. `generation` is the generation of the KV store,
    /// which changes when the store loses its contents; `None` if the store does not respond.
    pub fn look_up(
        &mut self,
        key: PrefixKey,
        fallback: &Placement,
        should_save: bool,
        generation: Option<u64>,
        now: Millis,
    ) -> PrefixLocation {
        self.evict_least_recently_used();
        let entry = self.prefixes.entry(key).or_default();
        entry.last_used = now;
        entry.expire(generation, now);
        let location = PrefixLocation {
            replicas: entry
                .replicas
                .iter()
                .map(|replica| replica.placement.clone())
                .collect(),
            stored_version: entry.use_stored(now),
            should_save: should_save && entry.begin_save(fallback.version, generation, now),
        };
        if !location
            .replicas
            .iter()
            .any(|replica| replica.version == fallback.version)
        {
            entry.record_use(fallback, now);
        }
        location
    }

    /// Records that a backend caches a prefix, as a request for it is sent there.
    pub fn record_placement(&mut self, key: PrefixKey, placement: &Placement, now: Millis) {
        self.evict_least_recently_used();
        self.prefixes
            .entry(key)
            .or_default()
            .record_use(placement, now);
    }

    /// Records that a backend evicted a prefix. Does not create entries.
    pub fn record_eviction(&mut self, key: PrefixKey, placement: &Placement) {
        if let Some(entry) = self.prefixes.get_mut(&key) {
            entry
                .replicas
                .retain(|replica| replica.placement != *placement);
        }
    }

    /// Records that the store evicted a prefix.
    pub fn record_store_eviction(&mut self, key: PrefixKey, version: u64) {
        if let Some(entry) = self.prefixes.get_mut(&key) {
            entry.stored = entry.stored.filter(|stored| stored.version != version);
        }
    }

    /// Number of prefixes in the index.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether the index has no prefixes.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Evicts the least recently used eighth of the prefixes together, to amortize the selection.
    fn evict_least_recently_used(&mut self) {
        if self.prefixes.len() < MAX_PREFIXES {
            return;
        }
        let mut last_uses: Vec<Millis> = self
            .prefixes
            .values()
            .map(|entry| entry.last_used)
            .collect();
        let (_, cutoff, _) = last_uses.select_nth_unstable(MAX_PREFIXES / 8);
        let cutoff = *cutoff;
        self.prefixes.retain(|_, entry| entry.last_used > cutoff);
    }
}

impl Entry {
    fn expire(&mut self, generation: Option<u64>, now: Millis) {
        self.replicas
            .retain(|replica| now < replica.last_used + REPLICA_TTL);
        let is_current = |stored: &Stored| {
            Some(stored.generation) == generation && now < stored.last_used + STORED_TTL
        };
        self.stored = self.stored.filter(is_current);
    }

    fn record_use(&mut self, placement: &Placement, now: Millis) {
        self.last_used = now;
        self.replicas
            .retain(|replica| replica.placement.backend != placement.backend);
        self.replicas.insert(
            0,
            Replica {
                placement: placement.clone(),
                last_used: now,
            },
        );
        self.replicas.truncate(MAX_REPLICAS);
    }

    /// Returns the stored version, if any, and records its use.
    fn use_stored(&mut self, now: Millis) -> Option<u64> {
        let stored = self.stored.as_mut()?;
        stored.last_used = now;
        Some(stored.version)
    }

    /// Returns whether the prefix should be saved now: the store lacks it, and no save of it began
    /// recently. Records the save, so that only one of two concurrent lookups saves it.
    fn begin_save(&mut self, version: u64, generation: Option<u64>, now: Millis) -> bool {
        let Some(generation) = generation else {
            return false;
        };
        if self.stored.is_some_and(|stored| stored.version == version) {
            return false;
        }
        if self
            .saving
            .is_some_and(|(saved, until)| saved == version && now < until)
        {
            return false;
        }
        self.saving = Some((version, now + MIN_SAVE_INTERVAL));
        self.stored = Some(Stored {
            version,
            generation,
            last_used: now,
        });
        true
    }
}
