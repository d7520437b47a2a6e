//! The minimum version of a model's weights that requests may start on.
//!
//! Operators announce new versions of weights. Requests may start on older versions for a grace
//! period after the announcement, regardless of when a router learns of it. As the clocks of
//! routers differ, updates between them carry the age of the announcement. If two reports of an
//! announcement differ, the earlier time is used, as an error can then only shorten the grace
//! period.

use crate::Millis;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An announced version, as routers report it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedVersion {
    /// Name of the model.
    pub model: CompactString,
    /// Version of its weights.
    pub version: u64,
    /// Time since the announcement, in milliseconds.
    pub age_ms: Millis,
}

/// How long a superseded version is retained after its grace period. Requests waiting at a backend
/// are withdrawn some time after the backend has become ineligible, and need the version's deadline
/// until then.
const SUPERSEDED_RETENTION: Millis = 5_000;

/// The announced versions of one model's weights.
#[derive(Debug, Default)]
struct Versions {
    /// Versions that no newer one has superseded, with the times of their announcements.
    announced: BTreeMap<u64, Millis>,
    /// Versions whose announcement times a previous process saved.
    restored: BTreeSet<u64>,
    /// Recently superseded versions.
    superseded: BTreeMap<u64, Millis>,
    /// The newest version that was pruned.
    newest_pruned: u64,
}

impl Versions {
    /// Moves the versions before `minimum` to the superseded ones, and prunes the oldest of these.
    fn supersede_before(&mut self, minimum: u64, grace_period: Millis, now: Millis) {
        let current = self.announced.split_off(&minimum);
        for (version, announced_at) in std::mem::replace(&mut self.announced, current) {
            let earliest = self.superseded.entry(version).or_insert(announced_at);
            *earliest = announced_at.min(*earliest);
        }
        while let Some(oldest) = self.superseded.first_entry()
            && now >= *oldest.get() + grace_period + SUPERSEDED_RETENTION
        {
            self.newest_pruned = oldest.remove_entry().0;
        }
        self.restored = self.restored.split_off(&minimum);
    }
}

/// The announced versions of all models, and the minimum version that follows from them.
#[derive(Debug, Default)]
pub struct VersionFloors {
    models: HashMap<CompactString, Versions>,
}

impl VersionFloors {
    /// Records that a version was announced at `at`. Each version keeps the time of its own
    /// announcement. If a newer version reset the grace period, no version would ever be required
    /// while announcements are more frequent than the period.
    pub fn record(&mut self, model: &str, version: u64, at: Millis) {
        let announced_at = self
            .models
            .entry(model.into())
            .or_default()
            .announced
            .entry(version)
            .or_insert(at);
        *announced_at = at.min(*announced_at);
    }

    /// Records the announcement of a version as a previous process saved it.
    pub fn restore(&mut self, model: &str, version: u64, at: Millis) {
        self.record(model, version, at);
        if let Some(versions) = self.models.get_mut(model) {
            versions.restored.insert(version);
        }
    }

    /// Returns whether the announcement time of a version was restored.
    pub fn is_restored(&self, model: &str, version: u64) -> bool {
        self.models
            .get(model)
            .is_some_and(|versions| versions.restored.contains(&version))
    }

    /// Returns whether a version is known.
    pub fn contains(&self, model: &str, version: u64) -> bool {
        self.models
            .get(model)
            .is_some_and(|versions| versions.announced.contains_key(&version))
    }

    /// When a version was announced; `None` if it is unknown or superseded.
    pub fn announced_at(&self, model: &str, version: u64) -> Option<Millis> {
        let versions = self.models.get(model)?;
        versions.announced.get(&version).copied()
    }

    /// The versions that are not superseded, with their ages.
    pub fn announced(&self, now: Millis) -> Vec<AnnouncedVersion> {
        let of_model = |(model, versions): (&CompactString, &Versions)| {
            let to_report = |(version, announced_at): (&u64, &Millis)| AnnouncedVersion {
                model: model.clone(),
                version: *version,
                age_ms: now.saturating_sub(*announced_at),
            };
            versions.announced.iter().map(to_report).collect::<Vec<_>>()
        };
        self.models.iter().flat_map(of_model).collect()
    }

    /// The minimum version of a model's weights that a request may start on now, given that older
    /// ones may be used for `grace_period` after an announcement; `None` if every version is
    /// allowed.
    pub fn minimum(&mut self, model: &str, grace_period: Millis, now: Millis) -> Option<u64> {
        let versions = self.models.get_mut(model)?;
        let is_effective = |announced_at: &Millis| now >= *announced_at + grace_period;
        let minimum = versions
            .announced
            .iter()
            .rev()
            .find(|(_, announced_at)| is_effective(announced_at))
            .map(|(version, _)| *version)?;
        versions.supersede_before(minimum, grace_period, now);
        Some(minimum)
    }

    /// The time until which requests may start on this version, given that older ones may be used
    /// for `grace_period`; `None` if there is no newer version. It follows from the announcement of
    /// the next version, even if that version has been superseded since.
    pub fn start_deadline(
        &self,
        model: &str,
        version: u64,
        grace_period: Millis,
    ) -> Option<Millis> {
        let versions = self.models.get(model)?;
        if version < versions.newest_pruned {
            return Some(0);
        }
        let newer = versions
            .announced
            .range(version + 1..)
            .chain(versions.superseded.range(version + 1..));
        newer
            .map(|(_, announced_at)| *announced_at + grace_period)
            .min()
    }

    /// Returns whether the grace period of every version is over.
    pub fn all_effective(&self, grace_period: Millis, now: Millis) -> bool {
        self.models
            .values()
            .flat_map(|versions| versions.announced.values())
            .all(|announced_at| now >= *announced_at + grace_period)
    }
}
