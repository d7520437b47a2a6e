//! Which gatherers are gone for good: those whose own word in the store has not changed for long,
//! by the clock of one that saw it stand still all the while.

use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// What one owner has seen of the gatherers' words.
#[derive(Debug, Default)]
pub struct Keeper {
    seen: BTreeMap<String, (u64, Time)>,
}

impl Keeper {
    /// The revisions at which each gatherer last spoke.
    pub fn sees<'a>(&mut self, words: impl Iterator<Item = (&'a str, u64)>, now: Time) {
        let mut before = std::mem::take(&mut self.seen);
        for (name, revision) in words {
            let known = before.remove(name).filter(|(known, _)| *known == revision);
            self.seen
                .insert(name.to_owned(), known.unwrap_or((revision, now)));
        }
    }

    /// Who has been silent for so long, each with the revision of its last word; whoever goes on
    /// without a store is never gone, as it may be serving.
    pub fn gone<'a>(
        &'a self,
        after: Time,
        goes_on: &'a BTreeSet<String>,
        now: Time,
    ) -> impl Iterator<Item = (&'a str, u64)> {
        let silent = move |(name, (revision, since)): (&'a String, &'a (u64, Time))| {
            let gone = now.saturating_sub(*since) >= after && !goes_on.contains(name);
            gone.then_some((name.as_str(), *revision))
        };
        self.seen.iter().filter_map(silent)
    }

    /// When somebody may be gone next.
    pub fn due(&self, after: Time) -> Option<Time> {
        self.seen
            .values()
            .map(|(_, since)| since.saturating_add(after))
            .min()
    }

    /// The work is another's now: what was seen before says nothing later.
    pub fn clear(&mut self) {
        self.seen.clear();
    }
}

#[cfg(test)]
mod tests;
