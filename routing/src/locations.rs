//! The index of kept prompts: which backends keep the shared start of a prompt, and whether the
//! store does.
//!
//! Each shared start (prefix) has one owner among the routers, which sees every request for it. A
//! request names the backend that it would go to; where nobody keeps the prefix yet, that backend
//! is noted at once, so that the next request finds it before any event could tell. Events of
//! backends and stores take away what has given way.

use crate::Millis;
use crate::prompt::Prompt;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Backends that are remembered for a prefix; the least recently used one gives way.
const HOLDERS: usize = 6;
/// Prefixes that are remembered; some of the least recently used ones give way.
const PREFIXES: usize = 16_384;
/// A backend is taken to keep a prefix for so long after its last use, where no event has said
/// otherwise.
const KEPT: Millis = 20_000;
/// The store is taken to keep a prefix for so long after it was last saved or used.
const STORED: Millis = 60_000;
/// A prefix is not saved again so soon.
const SAVE_AGAIN: Millis = 2_500;

/// Identifies the shared start of a prompt: the wall around its tenant, its model, and its last
/// part that others share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixKey(pub u64);

impl PrefixKey {
    /// The key of a part that ends a shared start.
    pub fn of_part(wall: &str, model: &str, part: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        (wall, model, part).hash(&mut hasher);
        PrefixKey(hasher.finish())
    }

    /// The key of a prompt's shared start; none where it shares nothing.
    pub fn of(wall: &str, prompt: &Prompt) -> Option<Self> {
        let last = prompt.shared().last()?;
        Some(Self::of_part(wall, &prompt.model, &last.id))
    }
}

/// A backend and the version of the weights with which it reads a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The backend's instance id.
    pub backend: CompactString,
    /// The version of the weights.
    pub version: u64,
}

/// What an owner knows of a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Located {
    /// Where it is kept, the most recently used first.
    pub holders: Vec<Placement>,
    /// Whether the store has it under some version.
    pub stored: Option<u64>,
    /// Whether the asker is to have it saved at the store.
    pub save: bool,
}

impl Located {
    /// Whether a backend keeps the prefix under this version.
    pub fn is_held_by(&self, backend: &str, version: u64) -> bool {
        self.holders
            .iter()
            .any(|holder| holder.backend == backend && holder.version == version)
    }
}

#[derive(Debug)]
struct Holder {
    placement: Placement,
    used: Millis,
}

/// A prefix at the store.
#[derive(Debug, Clone, Copy)]
struct Stored {
    version: u64,
    generation: u64,
    used: Millis,
}

#[derive(Debug, Default)]
struct Prefix {
    holders: Vec<Holder>,
    stored: Option<Stored>,
    saving: Option<(u64, Millis)>,
    used: Millis,
}

/// What one router knows of the prefixes that it owns.
#[derive(Debug, Default)]
pub struct Locations {
    prefixes: HashMap<PrefixKey, Prefix>,
}

impl Locations {
    /// Where a prefix is kept. Where it is kept nowhere under the planned version, the planned
    /// backend will keep it. `generation` is the store's, which changes when the store has lost
    /// everything; none where it does not answer.
    pub fn locate(
        &mut self,
        key: PrefixKey,
        planned: &Placement,
        wants_save: bool,
        generation: Option<u64>,
        now: Millis,
    ) -> Located {
        self.make_room();
        let prefix = self.prefixes.entry(key).or_default();
        prefix.used = now;
        prefix.expire(generation, now);
        let located = Located {
            holders: prefix
                .holders
                .iter()
                .map(|holder| holder.placement.clone())
                .collect(),
            stored: prefix.use_stored(now),
            save: wants_save && prefix.begin_save(planned.version, generation, now),
        };
        if !located
            .holders
            .iter()
            .any(|holder| holder.version == planned.version)
        {
            prefix.note(planned, now);
        }
        located
    }

    /// A request for a prefix goes to a backend, which keeps it from now on.
    pub fn placed(&mut self, key: PrefixKey, placement: &Placement, now: Millis) {
        self.make_room();
        self.prefixes.entry(key).or_default().note(placement, now);
    }

    /// A backend keeps a prefix no more; nothing is noted of prefixes that nobody asked for.
    pub fn evicted(&mut self, key: PrefixKey, placement: &Placement) {
        if let Some(prefix) = self.prefixes.get_mut(&key) {
            prefix
                .holders
                .retain(|holder| holder.placement != *placement);
        }
    }

    /// The store keeps a prefix no more.
    pub fn evicted_from_store(&mut self, key: PrefixKey, version: u64) {
        if let Some(prefix) = self.prefixes.get_mut(&key) {
            prefix.stored = prefix.stored.filter(|stored| stored.version != version);
        }
    }

    /// How many prefixes are known.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// The least recently used eighth gives way, so that this is not done for every prefix.
    fn make_room(&mut self) {
        if self.prefixes.len() < PREFIXES {
            return;
        }
        let mut ages: Vec<Millis> = self.prefixes.values().map(|prefix| prefix.used).collect();
        let (_, bound, _) = ages.select_nth_unstable(PREFIXES / 8);
        let bound = *bound;
        self.prefixes.retain(|_, prefix| prefix.used > bound);
    }
}

impl Prefix {
    fn expire(&mut self, generation: Option<u64>, now: Millis) {
        self.holders.retain(|holder| now < holder.used + KEPT);
        let is_there =
            |stored: &Stored| Some(stored.generation) == generation && now < stored.used + STORED;
        self.stored = self.stored.filter(is_there);
    }

    fn note(&mut self, placement: &Placement, now: Millis) {
        self.used = now;
        self.holders
            .retain(|holder| holder.placement.backend != placement.backend);
        self.holders.insert(
            0,
            Holder {
                placement: placement.clone(),
                used: now,
            },
        );
        self.holders.truncate(HOLDERS);
    }

    /// The version under which the store has the prefix, which it is about to be asked for.
    fn use_stored(&mut self, now: Millis) -> Option<u64> {
        let stored = self.stored.as_mut()?;
        stored.used = now;
        Some(stored.version)
    }

    /// Whether the prefix is to be saved now: the store lacks it, and nobody has just begun to save
    /// it.
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
        self.saving = Some((version, now + SAVE_AGAIN));
        self.stored = Some(Stored {
            version,
            generation,
            used: now,
        });
        true
    }
}
