//! From when on only backends with a named version of a model's weights may be used.
//!
//! A version's time runs from when it was named, wherever and whenever a router hears of it. News
//! therefore tell how long ago that was, and of two accounts of one moment the earlier one holds:
//! it can only err to the safe side.

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

/// A version that is required no more is remembered for so long after it was, for requests that
/// still wait by it: they are withdrawn later than backends become ineligible.
const REMEMBERED_FOR: Millis = 5_000;

/// The versions of one model's weights.
#[derive(Debug, Default)]
struct Versions {
    /// Those that were named and that a newer one has not replaced, and since when.
    named: BTreeMap<u64, Millis>,
    /// Those that were replaced lately.
    replaced: BTreeMap<u64, Millis>,
    /// The newest version that was forgotten.
    forgotten: u64,
}

impl Versions {
    /// A newer version is required than these.
    fn replace_before(&mut self, least: u64, patience: Millis, now: Millis) {
        let kept = self.named.split_off(&least);
        for (version, since) in std::mem::replace(&mut self.named, kept) {
            let known = self.replaced.entry(version).or_insert(since);
            *known = since.min(*known);
        }
        while let Some(oldest) = self.replaced.first_entry()
            && now >= *oldest.get() + patience + REMEMBERED_FOR
        {
            self.forgotten = oldest.remove_entry().0;
        }
    }
}

/// The versions of weights that were named, and since when.
#[derive(Debug, Default)]
pub struct VersionFloors {
    models: HashMap<CompactString, Versions>,
}

impl VersionFloors {
    /// Each version keeps the moment from which its time runs, whatever is named after it: the time
    /// of a newer one begins later, and until it is over the older one is what is required.
    pub fn hear(&mut self, model: &str, version: u64, at: Millis) {
        let since = self
            .models
            .entry(model.into())
            .or_default()
            .named
            .entry(version)
            .or_insert(at);
        *since = at.min(*since);
    }

    /// Whether this version has been heard of.
    pub fn knows(&self, model: &str, version: u64) -> bool {
        self.models
            .get(model)
            .is_some_and(|versions| versions.named.contains_key(&version))
    }

    /// Every version that still says something.
    pub fn named(&self, now: Millis) -> Vec<NamedVersion> {
        let of_model = |(model, versions): (&CompactString, &Versions)| {
            let tell = |(version, since): (&u64, &Millis)| NamedVersion {
                model: model.clone(),
                version: *version,
                age_ms: now.saturating_sub(*since),
            };
            versions.named.iter().map(tell).collect::<Vec<_>>()
        };
        self.models.iter().flat_map(of_model).collect()
    }

    /// The least version of a model's weights on which a request may start now, where older ones
    /// may be used for `patience` from when a version was named.
    pub fn least(&mut self, model: &str, patience: Millis, now: Millis) -> Option<u64> {
        let versions = self.models.get_mut(model)?;
        let is_due = |since: &Millis| now >= *since + patience;
        let least = versions
            .named
            .iter()
            .rev()
            .find(|(_, since)| is_due(since))
            .map(|(version, _)| *version)?;
        versions.replace_before(least, patience, now);
        Some(least)
    }

    /// Until when requests may start on this version, where older ones may be used for `patience`;
    /// none while there is no newer one. That moment is the next version's, whatever has replaced
    /// that one since.
    pub fn last_start(&self, model: &str, version: u64, patience: Millis) -> Option<Millis> {
        let versions = self.models.get(model)?;
        if version < versions.forgotten {
            return Some(0);
        }
        let newer = versions
            .named
            .range(version + 1..)
            .chain(versions.replaced.range(version + 1..));
        newer.map(|(_, since)| *since + patience).min()
    }

    /// Whether every version was named longer ago than `patience`.
    pub fn are_settled(&self, patience: Millis, now: Millis) -> bool {
        self.models
            .values()
            .flat_map(|versions| versions.named.values())
            .all(|since| now >= *since + patience)
    }
}
