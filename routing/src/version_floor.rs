//! From when on only backends with a named version of a model's weights may be used.

use crate::Millis;
use compact_str::CompactString;
use std::collections::{BTreeMap, HashMap};

/// The versions of weights that were named, and since when.
#[derive(Debug, Default)]
pub struct VersionFloors {
    named: HashMap<CompactString, BTreeMap<u64, Millis>>,
}

impl VersionFloors {
    /// Each version keeps the moment from which its time runs, whatever is named after it: the time of a newer one begins
    /// later, and until it is over the older one is what is required.
    pub fn hear(&mut self, model: &str, version: u64, at: Millis) {
        self.named.entry(model.into()).or_default().entry(version).or_insert(at);
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
}
