//! The durable control state: the configuration in force, the versions of weights, who gives
//! orders, and what was acknowledged.

use crate::changes::{Change, Outcome, Rejection};
use crate::configuration::{self, Configuration};
use crate::view::{Epoch, ReplicaId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How many accepted configurations are remembered, so that one sent again is known. At a thousand
/// a day these are four days; what is sent again later gets no clear answer.
pub const RETAINED_CONFIGURATIONS: usize = 4096;

/// The position of a change: who ordered it, and its number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The number of the change, from 1.
    pub index: u64,
    /// The epoch in which it was ordered.
    pub epoch: Epoch,
}

/// A change at its position.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Update {
    /// Its position.
    pub position: Position,
    /// What changes.
    pub change: Change,
}

/// Identifies a configuration together with the version that it builds on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The fingerprint of a body sent on top of a version.
    pub fn of(base: u64, body: &[u8]) -> Self {
        let digest = Sha256::new()
            .chain_update(base.to_be_bytes())
            .chain_update(body)
            .finalize();
        let mut short = [0; 16];
        short.copy_from_slice(&digest[..16]);
        Fingerprint(short)
    }
}

/// A configuration as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// Its version.
    pub version: u64,
    /// The body, byte for byte.
    pub body: Arc<[u8]>,
}

/// The version that a model's weights are to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightsTarget {
    /// The version.
    pub version: u64,
    /// The index of the change that named it.
    pub index: u64,
}

/// The durable control state after some number of changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    /// The last change.
    pub position: Position,
    /// The configuration in force.
    pub configuration: Option<StoredConfiguration>,
    /// The newest version of each model's weights that was named.
    pub weights: BTreeMap<CompactString, WeightsTarget>,
    pub(crate) accepted: Vec<(u64, Fingerprint)>,
    /// Who gives orders to backends, or gave them last; none before the first one.
    pub rollout_owner: Option<ReplicaId>,
}

impl ControlState {
    /// The version of the configuration in force; 0 where there is none.
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Whether this very configuration was taken before.
    fn is_accepted(&self, fingerprint: Fingerprint) -> bool {
        self.accepted
            .iter()
            .rev()
            .any(|(_, known)| *known == fingerprint)
    }

    /// Whether a configuration that builds on this version may have been taken so long ago that it
    /// is not remembered.
    fn may_have_been_evicted(&self, base: u64) -> bool {
        let oldest = self.accepted.first().map_or(0, |(version, _)| *version);
        self.accepted.len() >= RETAINED_CONFIGURATIONS && base < oldest
    }

    /// What a change would come to now: nothing to do, a refusal, or that it is to be made.
    pub fn evaluate(&self, change: &Change) -> Option<Outcome> {
        match change {
            Change::Configuration { base, body } => self.evaluate_configuration(*base, body),
            Change::Weights { model, version } => {
                let known = self
                    .weights
                    .get(model)
                    .is_some_and(|target| target.version >= *version);
                known.then_some(Outcome::Committed)
            }
            Change::RolloutOwner { replica } => {
                (self.rollout_owner.as_ref() == Some(replica)).then_some(Outcome::Committed)
            }
        }
    }

    fn evaluate_configuration(&self, base: u64, body: &[u8]) -> Option<Outcome> {
        if self.is_accepted(Fingerprint::of(base, body)) {
            return Some(Outcome::Committed);
        }
        if self.may_have_been_evicted(base) {
            return Some(Outcome::Unknown);
        }
        if base != self.version() {
            return Some(Outcome::Rejected(Rejection::VersionConflict {
                current: self.version(),
            }));
        }
        match Configuration::parse(body) {
            Err(problem) => Some(Outcome::Rejected(Rejection::Invalid(problem.to_string()))),
            Ok(parsed) if parsed.version <= base => {
                let problem = configuration::ConfigurationError::StaleVersion {
                    found: parsed.version,
                    current: base,
                };
                Some(Outcome::Rejected(Rejection::Invalid(problem.to_string())))
            }
            Ok(_) => None,
        }
    }

    /// Makes a change that was judged to be made.
    pub fn apply(&mut self, update: &Update) {
        self.position = update.position;
        match &update.change {
            Change::Configuration { base, body } => {
                let Ok(parsed) = Configuration::parse(body) else {
                    return;
                };
                self.accepted
                    .push((parsed.version, Fingerprint::of(*base, body)));
                if self.accepted.len() > RETAINED_CONFIGURATIONS {
                    self.accepted.remove(0);
                }
                self.configuration = Some(StoredConfiguration {
                    version: parsed.version,
                    body: body.clone(),
                });
            }
            Change::Weights { model, version } => {
                let target = WeightsTarget {
                    version: *version,
                    index: update.position.index,
                };
                self.weights.insert(model.clone(), target);
            }
            Change::RolloutOwner { replica } => self.rollout_owner = Some(replica.clone()),
        }
    }

    /// Versions of configurations in the order in which they were accepted.
    pub fn history(&self) -> impl Iterator<Item = u64> + '_ {
        self.accepted.iter().map(|(version, _)| *version)
    }
}
