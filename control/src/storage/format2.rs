//! What format 2 kept of the control state, and what becomes of it in the present format.

use crate::state::{ControlState, Fingerprint, Position, StoredConfiguration, WeightsTarget};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The control state without the one that gives orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStateV2 {
    /// The last change.
    pub position: Position,
    /// The configuration in force.
    pub configuration: Option<StoredConfiguration>,
    /// The newest version of each model's weights that was named.
    pub weights: BTreeMap<CompactString, WeightsTarget>,
    /// Accepted configurations.
    pub accepted: Vec<(u64, Fingerprint)>,
}

impl From<ControlStateV2> for ControlState {
    /// Nobody is known to have given orders. Routers of two versions don't run at the same time, so
    /// none is under way.
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
