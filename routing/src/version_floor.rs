//! From when on only backends with a named version of a model's weights may be used.
//!
//! A version's time runs from when it was named, wherever and whenever a router hears of it. News therefore tell how long ago that
//! was, and of two accounts of one moment the earlier one holds: it can only err to the safe side.

use crate::Millis;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// A named version, as routers tell each other of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The model.
    pub model: CompactString,
    /// The version of its weights.
    pub version: u64,
    /// So many milliseconds ago it was named.
    pub age_ms: Millis,
}

/// The versions of weights that were named, and since when.
#[derive(Debug, Default)]
pub struct VersionFloors {
    named: HashMap<CompactString, BTreeMap<u64, Millis>>,
}

impl VersionFloors {
    /// Each version keeps the moment from which its time runs, whatever is named after it: the time of a newer one begins
    /// later, and until it is over the older one is what is required.
    pub fn hear(&mut self, model: &str, version: u64, at: Millis) {
        let since = self.named.entry(model.into()).or_default().entry(version).or_insert(at);
        *since = at.min(*since);
    }

    /// Whether this version has been heard of.
    pub fn knows(&self, model: &str, version: u64) -> bool {
        self.named.get(model).is_some_and(|named| named.contains_key(&version))
    }

    /// Every version that still says something.
    pub fn named(&self, now: Millis) -> Vec<NamedVersion> {
        let of_model = |(model, named): (&CompactString, &BTreeMap<u64, Millis>)| {
            let tell = |(version, since): (&u64, &Millis)| NamedVersion {
                model: model.clone(),
                version: *version,
                age_ms: now.saturating_sub(*since),
            };
            named.iter().map(tell).collect::<Vec<_>>()
        };
        self.named.iter().flat_map(of_model).collect()
    }

    /// The least version of a model's weights on which a request may start now, where older ones may be used for `patience`
    /// from when a version was named.
    pub fn least(&mut self, model: &str, patience: Millis, now: Millis) -> Option<u64> {
        let named = self.named.get_mut(model)?;
        let is_due = |since: &Millis| now >= *since + patience;
        let least = named.iter().rev().find(|(_, since)| is_due(since)).map(|(version, _)| *version)?;
        // Older versions say nothing any more.
        *named = named.split_off(&least);
        Some(least)
    }

    /// Until when requests may start on this version, where older ones may be used for `patience`; none while there is no newer
    /// one.
    pub fn last_start(&self, model: &str, version: u64, patience: Millis) -> Option<Millis> {
        let newer = self.named.get(model)?.range(version + 1..);
        newer.map(|(_, since)| *since + patience).min()
    }

    /// Whether every version was named longer ago than `patience`.
    pub fn are_settled(&self, patience: Millis, now: Millis) -> bool {
        self.named.values().flat_map(BTreeMap::values).all(|since| now >= *since + patience)
    }
}
