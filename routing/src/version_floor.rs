//! From when on only backends with a newly named version of a model's weights may be used.

use crate::Millis;
use compact_str::CompactString;
use std::collections::HashMap;

/// A version that was named.
#[derive(Debug, Clone, Copy)]
struct Named {
    version: u64,
    since: Millis,
}

/// The versions that this router has heard of, and since when.
#[derive(Debug, Default)]
pub struct VersionFloors {
    named: HashMap<CompactString, Named>,
}

impl VersionFloors {
    /// The least version of a model's weights on which a request may start now, where `version` is the newest one named and
    /// older ones may be used for `patience` from when this router heard of it.
    pub fn least(&mut self, model: &str, version: u64, patience: Millis, now: Millis) -> Option<u64> {
        let named = Named { version, since: now };
        let known = self.named.entry(model.into()).or_insert(named);
        if known.version != version {
            *known = named;
        }
        (now >= known.since + patience).then_some(version)
    }
}
