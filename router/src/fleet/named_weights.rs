//! Since when versions of weights are named, and what that requires of requests here.

use super::Fleet;
use crate::clock;
use crate::links::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::BackendPhase;
use control::rollout::{PendingReason, outdated_by_reason};
use control::state::WeightsTarget;
use routing::version_floor::NamedVersion;
use std::collections::BTreeMap;

/// So long before new weights must be everywhere no request is sent to backends without them any
/// more: it may wait there before it starts.
const SEND_MARGIN: Millis = 1_300;
/// So long before that what waits at such a backend is withdrawn.
const START_MARGIN: Millis = 300;
/// An answer that was on its way for longer says less of when a version was named than what is
/// known here.
const PROMPT_ANSWER: Millis = 500;

/// When an answer of another router was sent, as far as can be told here.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentAt {
    /// Not before this.
    pub(super) earliest: Millis,
    /// Not after this.
    pub(super) latest: Millis,
}

/// A version that some backend lacks which could have it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnfinishedVersion {
    /// The version; the oldest such one of its model.
    pub named: NamedVersion,
    /// How many backends lack it.
    pub lacking: u64,
}

impl Fleet {
    /// How many backends lack the newest version of some weights, by what keeps them from an order.
    pub fn outdated_by_reason(&self) -> BTreeMap<PendingReason, u64> {
        let published = lock(&self.published);
        outdated_by_reason(&lock(&self.directory), published.weights())
    }

    /// The versions of weights that are not everywhere; of each model the oldest one.
    pub fn unfinished_versions(&self) -> Vec<UnfinishedVersion> {
        let named = self.named_weights();
        let mut oldest: BTreeMap<CompactString, UnfinishedVersion> = BTreeMap::new();
        let directory = lock(&self.directory);
        let ready = directory
            .backends()
            .filter(|(_, backend)| backend.phase == BackendPhase::Ready);
        let held: Vec<(&CompactString, u64)> = ready
            .flat_map(|(_, backend)| {
                backend
                    .models
                    .iter()
                    .map(|(model, version)| (model, *version))
            })
            .collect();
        for named in named {
            let lacks = |(model, version): &&(&CompactString, u64)| {
                **model == named.model && *version < named.version
            };
            let lacking = held.iter().filter(lacks).count() as u64;
            let is_older = oldest
                .get(&named.model)
                .is_none_or(|known| named.version < known.named.version);
            if lacking > 0 && is_older {
                oldest.insert(named.model.clone(), UnfinishedVersion { named, lacking });
            }
        }
        oldest.into_values().collect()
    }

    /// The least version of a model's weights to whose backends a request may be sent now.
    pub fn least_version(&self, model: &str) -> Option<u64> {
        let patience = self.settings.bounds.version_ms.saturating_sub(SEND_MARGIN);
        lock(&self.version_floors).least(model, patience, clock::now())
    }

    /// Until when a request may start on this version; none while there is no newer one.
    pub fn last_start(&self, model: &str, version: u64) -> Option<Millis> {
        let patience = self.settings.bounds.version_ms.saturating_sub(START_MARGIN);
        lock(&self.version_floors).last_start(model, version, patience)
    }

    /// The versions that are named, and how long ago.
    pub fn named_weights(&self) -> Vec<NamedVersion> {
        lock(&self.version_floors).named(clock::now())
    }

    /// Whether the time of some version is not over yet.
    pub fn are_weights_settled(&self) -> bool {
        lock(&self.version_floors).are_settled(self.settings.bounds.version_ms, clock::now())
    }

    /// What was known when this node's former process ended: since then more time has passed.
    pub(super) fn restore_named_weights(&self, named: Vec<NamedVersion>) {
        let now = clock::now();
        let mut floors = lock(&self.version_floors);
        for NamedVersion {
            model,
            version,
            age_ms,
        } in named
        {
            floors.hear(&model, version, now.saturating_sub(age_ms));
        }
    }

    /// Takes what another router tells. The earliest moment that its answer permits counts.
    pub(super) fn hear_of_named_weights(&self, named: Vec<NamedVersion>, sent: SentAt) {
        let mut floors = lock(&self.version_floors);
        let was_prompt = sent.latest.saturating_sub(sent.earliest) <= PROMPT_ANSWER;
        for NamedVersion {
            model,
            version,
            age_ms,
        } in named
        {
            if was_prompt || !floors.knows(&model, version) {
                floors.hear(&model, version, sent.earliest.saturating_sub(age_ms));
            }
        }
    }

    /// Versions that are new here are taken to be named now, unless somebody tells that it was
    /// earlier.
    pub(super) fn name_weights_now(&self, weights: &BTreeMap<CompactString, WeightsTarget>) {
        let now = clock::now();
        let mut floors = lock(&self.version_floors);
        for (model, target) in weights {
            floors.hear(model, target.version, now);
        }
    }
}
