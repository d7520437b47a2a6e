//! The durable control state: the configuration in force, the target versions of weights, the owner
//! of the rollout, and the fingerprints of accepted configurations.

use crate::changes::{Change, Outcome, Rejection};
use crate::configuration::{self, Configuration};
use crate::view::{Epoch, ReplicaId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Accepted configurations whose fingerprints are retained, so that a retry is recognized. At a
/// thousand a day this covers four days; a later retry gets [`Outcome::Unknown`].
pub const RETAINED_CONFIGURATIONS: usize = 4096;

/// The position of a change in the log: its index, and the epoch that ordered it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The index of the change, from 1.
    pub index: u64,
    /// The epoch in which it was ordered.
    pub epoch: Epoch,
}

/// A change at its position.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Update {
    /// The position in the log.
    pub position: Position,
    /// The change.
    pub change: Change,
}

/// Identifies a configuration together with the version that it replaces: the idempotency key of
/// its submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The fingerprint of a body that replaces version `base`: the first 128 bits of SHA-256.
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

/// A configuration as the operator submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// Its version.
    pub version: u64,
    /// The body, byte for byte.
    pub body: Arc<[u8]>,
}

/// The target version of a model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightsTarget {
    /// The version.
    pub version: u64,
    /// The index of the change that set it.
    pub index: u64,
}

/// The replicated state after a prefix of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    /// The position of the last applied change.
    pub position: Position,
    /// The configuration in force.
    pub configuration: Option<StoredConfiguration>,
    /// The target version of each model's weights.
    pub weights: BTreeMap<CompactString, WeightsTarget>,
    /// Versions and fingerprints of the accepted configurations, oldest first.
    pub(crate) accepted: Vec<(u64, Fingerprint)>,
    /// The replica that sends orders to backends, or did so last; `None` before the first one.
    pub rollout_owner: Option<ReplicaId>,
}

impl ControlState {
    /// The version of the configuration in force; 0 where there is none.
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Whether this very configuration was accepted before.
    fn is_accepted(&self, fingerprint: Fingerprint) -> bool {
        self.accepted
            .iter()
            .rev()
            .any(|(_, known)| *known == fingerprint)
    }

    /// Whether a configuration that replaces this version may have been accepted so long ago that
    /// its fingerprint is no longer retained.
    fn may_have_been_evicted(&self, base: u64) -> bool {
        let oldest = self.accepted.first().map_or(0, |(version, _)| *version);
        self.accepted.len() >= RETAINED_CONFIGURATIONS && base < oldest
    }

    /// The outcome of a change that needs no replication: a rejection, or that it was committed
    /// before. `None` where it has to be replicated and applied.
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

    /// Applies a committed update.
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

    /// The retained versions of configurations, in the order in which they were accepted.
    pub fn history(&self) -> impl Iterator<Item = u64> + '_ {
        self.accepted.iter().map(|(version, _)| *version)
    }
}
