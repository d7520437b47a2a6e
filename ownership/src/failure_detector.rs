//! Detects gatherers that have failed permanently: their entry in the store has not changed for a
//! time-out, on the clock of an owner that observed the entry throughout.

use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// The last revision of one gatherer's entry, and when that revision was first observed.
#[derive(Debug, Clone, Copy)]
struct LastChange {
    revision: u64,
    since: Time,
}

/// One owner's observations of the gatherers' entries.
#[derive(Debug, Default)]
pub struct FailureDetector {
    observed: BTreeMap<String, LastChange>,
}

impl FailureDetector {
    /// Records the current revision of each gatherer's entry.
    pub fn observe<'a>(&mut self, revisions: impl Iterator<Item = (&'a str, u64)>, now: Time) {
        let mut before = std::mem::take(&mut self.observed);
        for (name, revision) in revisions {
            let unchanged = before
                .remove(name)
                .filter(|known| known.revision == revision);
            let last_change = unchanged.unwrap_or(LastChange {
                revision,
                since: now,
            });
            self.observed.insert(name.to_owned(), last_change);
        }
    }

    /// The gatherers whose entry has not changed for `timeout`, each with the revision of the
    /// entry. Members of `autonomous` never expire: they keep serving without a store, so an
    /// unchanged entry does not show that they have failed.
    pub fn expired<'a>(
        &'a self,
        timeout: Time,
        autonomous: &'a BTreeSet<String>,
        now: Time,
    ) -> impl Iterator<Item = (&'a str, u64)> {
        self.observed
            .iter()
            .filter(move |(name, last_change)| {
                now.saturating_sub(last_change.since) >= timeout && !autonomous.contains(*name)
            })
            .map(|(name, last_change)| (name.as_str(), last_change.revision))
    }

    /// The earliest time at which a gatherer may expire.
    pub fn next_expiry(&self, timeout: Time) -> Option<Time> {
        self.observed
            .values()
            .map(|last_change| last_change.since.saturating_add(timeout))
            .min()
    }

    /// Removes all observations; called when the role has moved to another owner. Entries may then
    /// change unobserved, so the time-outs have to restart.
    pub fn clear(&mut self) {
        self.observed.clear();
    }
}

#[cfg(test)]
mod tests;
