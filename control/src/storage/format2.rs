//! Storage format 2: the control state, and its conversion to the current format.

use crate::state::{ControlState, Fingerprint, Position, StoredConfiguration, WeightsTarget};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The control state in format 2, which has no owner of the rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStateV2 {
    /// The position of the last applied change.
    pub position: Position,
    /// The configuration in force.
    pub configuration: Option<StoredConfiguration>,
    /// The target version of each model's weights.
    pub weights: BTreeMap<CompactString, WeightsTarget>,
    /// Versions and fingerprints of accepted configurations.
    pub accepted: Vec<(u64, Fingerprint)>,
}

impl From<ControlStateV2> for ControlState {
    /// The owner of the rollout is unknown. No order can be in flight, as routers of two versions
    /// never run at the same time.
    fn from(former: ControlStateV2) -> Self {
        let ControlStateV2 {
            position,
            configuration,
            weights,
            accepted,
        } = former;
        ControlState {
            position,
            configuration,
            weights,
            accepted,
            rollout_owner: None,
        }
    }
}
