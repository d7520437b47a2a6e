//! Announced versions of weights: when each was announced, and which requests that rules out.

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

/// Requests are no longer sent to backends without the new weights this long before these are due
/// everywhere, in milliseconds: they may queue there before they start.
const SEND_MARGIN: Millis = 1_300;
/// Requests that queue at such a backend are withdrawn this long before, in milliseconds.
const START_MARGIN: Millis = 300;
/// A response that was in transit for longer, in milliseconds, says less about the time of an
/// announcement than what is known here.
const MAX_RESPONSE_DELAY: Millis = 500;

/// Bounds of the time at which another router sent a response, on this router's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct SendTimeBounds {
    /// Earliest possible time.
    pub(super) earliest: Millis,
    /// Latest possible time.
    pub(super) latest: Millis,
}

/// A version that some backend should have and lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncompleteRollout {
    /// The oldest such version of its model.
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

    /// Restores the announcements that were saved by a previous process. The ages are lower bounds,
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
            // Earlier than this start, which distinguishes it from what is recorded from now on.
            floors.record(&model, version, now.saturating_sub(age_ms.max(1)));
        }
    }

    /// Assumes an age for each version that this node has recovered and whose age nobody has told
    /// since it started at `started_at`: the other nodes have lost it as well.
    ///
    /// How much of its time had passed is unknown, so all of it counts as passed. No time counts
    /// until the machines have been in contact for a while, however, and for so long requests may
    /// still start on older versions.
    pub fn assume_announcements(
        &self,
        recovered: &BTreeMap<CompactString, WeightsTarget>,
        started_at: Millis,
    ) {
        let bounds = &self.settings.bounds;
        let passed = bounds.version_ms.saturating_sub(bounds.contact_ms);
        let mut floors = lock(&self.version_floors);
        for (model, WeightsTarget { version, .. }) in recovered {
            let is_unknown = floors
                .announced_at(model, *version)
                .is_some_and(|announced_at| announced_at >= started_at);
            if is_unknown {
                log::info!("the age of version {version} of {model} is lost");
                floors.record(model, *version, started_at.saturating_sub(passed));
            }
        }
    }

    /// Merges the announcements that another router reported. The earliest time that its response
    /// allows counts.
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
