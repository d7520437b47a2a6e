//! Announced versions of weights: when each was announced, and the deadlines that follow for
//! requests on older versions.

use super::Fleet;
use crate::clock;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::BackendPhase;
use control::rollout::{PendingReason, outdated_by_reason};
use control::state::WeightsTarget;
use routing::version_floor::AnnouncedVersion;
use std::collections::BTreeMap;

/// Routers stop sending requests to backends without the new weights this long before the deadline,
/// in milliseconds, as requests may queue at a backend before they start.
const SEND_MARGIN: Millis = 1_300;
/// Requests that still queue at such a backend are withdrawn this long before the deadline, in
/// milliseconds.
const START_MARGIN: Millis = 300;
/// Ages in a response that may have been in transit for longer, in milliseconds, are too inaccurate
/// to replace known announcement times.
const MAX_RESPONSE_DELAY: Millis = 500;

/// Bounds of the time at which another router sent a response, on this router's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct SendTimeBounds {
    /// Earliest possible time.
    pub(super) earliest: Millis,
    /// Latest possible time.
    pub(super) latest: Millis,
}

/// A version that some backends still lack.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncompleteRollout {
    /// The oldest version of its model that some backend lacks.
    pub announced: AnnouncedVersion,
    /// Number of backends that lack it.
    pub outdated: u64,
}

impl Fleet {
    /// Numbers of backends that lack the latest version of some weights, by the reason why no order
    /// is in progress.
    pub fn outdated_by_reason(&self) -> BTreeMap<PendingReason, u64> {
        let published = lock(&self.published);
        outdated_by_reason(&lock(&self.directory), published.weights())
    }

    /// The oldest incomplete rollout of each model.
    pub fn incomplete_rollouts(&self) -> Vec<IncompleteRollout> {
        let announced = self.announced_weights();
        let mut oldest: BTreeMap<CompactString, IncompleteRollout> = BTreeMap::new();
        let directory = lock(&self.directory);
        let ready = directory
            .backends()
            .filter(|(_, backend)| backend.phase == BackendPhase::Ready);
        let current: Vec<(&CompactString, u64)> = ready
            .flat_map(|(_, backend)| {
                backend
                    .models
                    .iter()
                    .map(|(model, version)| (model, *version))
            })
            .collect();
        for announced in announced {
            let lacks = |(model, version): &&(&CompactString, u64)| {
                **model == announced.model && *version < announced.version
            };
            let outdated = current.iter().filter(lacks).count() as u64;
            let is_older = oldest
                .get(&announced.model)
                .is_none_or(|known| announced.version < known.announced.version);
            if outdated > 0 && is_older {
                oldest.insert(
                    announced.model.clone(),
                    IncompleteRollout {
                        announced,
                        outdated,
                    },
                );
            }
        }
        oldest.into_values().collect()
    }

    /// The minimum version of a model's weights that a backend needs to be sent requests now.
    pub fn min_version(&self, model: &str) -> Option<u64> {
        let timeout = self.settings.bounds.version_ms.saturating_sub(SEND_MARGIN);
        lock(&self.version_floors).minimum(model, timeout, clock::now())
    }

    /// The time until which a request may start on this version; `None` while there is no newer
    /// one.
    pub fn start_deadline(&self, model: &str, version: u64) -> Option<Millis> {
        let timeout = self.settings.bounds.version_ms.saturating_sub(START_MARGIN);
        lock(&self.version_floors).start_deadline(model, version, timeout)
    }

    /// The announced versions, with their ages.
    pub fn announced_weights(&self) -> Vec<AnnouncedVersion> {
        lock(&self.version_floors).announced(clock::now())
    }

    /// Returns whether the deadlines of all versions have passed.
    pub fn all_weights_effective(&self) -> bool {
        lock(&self.version_floors).all_effective(self.settings.bounds.version_ms, clock::now())
    }

    /// Restores the announcements that a previous process saved. The saved ages are lower bounds,
    /// as time has passed since.
    pub(super) fn restore_announcements(&self, announced: Vec<AnnouncedVersion>) {
        let now = clock::now();
        let mut floors = lock(&self.version_floors);
        for AnnouncedVersion {
            model,
            version,
            age_ms,
        } in announced
        {
            floors.restore(&model, version, now.saturating_sub(age_ms));
        }
    }

    /// Assumes an age for each recovered version whose age was not restored, and for which no node
    /// has reported an announcement before this one started at `started_at`: the other nodes have
    /// lost it as well.
    ///
    /// The elapsed part of such a version's deadline is unknown, so the full time counts as
    /// elapsed, except for `contact_ms`: bounds apply only once the machines have been in contact
    /// for that long, and until then requests may still start on older versions.
    pub fn assume_announcements(
        &self,
        recovered: &BTreeMap<CompactString, WeightsTarget>,
        started_at: Millis,
    ) {
        let bounds = &self.settings.bounds;
        let elapsed_ms = bounds.version_ms.saturating_sub(bounds.contact_ms);
        let mut floors = lock(&self.version_floors);
        for (model, WeightsTarget { version, .. }) in recovered {
            let is_announced_since_start = floors
                .announced_at(model, *version)
                .is_some_and(|announced_at| announced_at >= started_at);
            if is_announced_since_start && !floors.is_restored(model, *version) {
                log::info!(
                    "no node knows when version {version} of {model} was announced: assuming {elapsed_ms} ms before this start"
                );
                floors.record(model, *version, started_at.saturating_sub(elapsed_ms));
            }
        }
    }

    /// Merges the announcements that another router reported, with the earliest announcement times
    /// that its response allows.
    pub(super) fn merge_announcements(
        &self,
        announced: Vec<AnnouncedVersion>,
        sent: SendTimeBounds,
    ) {
        let mut floors = lock(&self.version_floors);
        let was_prompt = sent.latest.saturating_sub(sent.earliest) <= MAX_RESPONSE_DELAY;
        for AnnouncedVersion {
            model,
            version,
            age_ms,
        } in announced
        {
            if was_prompt || !floors.contains(&model, version) {
                floors.record(&model, version, sent.earliest.saturating_sub(age_ms));
            }
        }
    }

    /// Records new versions as announced now, unless another router reports an earlier time.
    pub(super) fn announce_weights(&self, weights: &BTreeMap<CompactString, WeightsTarget>) {
        let now = clock::now();
        let mut floors = lock(&self.version_floors);
        for (model, target) in weights {
            floors.record(model, target.version, now);
        }
    }
}
