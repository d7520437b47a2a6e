//! Changes of the control state, and their outcomes.

use crate::state::StoredConfiguration;
use crate::view::ReplicaId;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A change, as submitted by an operator or by the primary itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A complete configuration that replaces a version.
    Configuration {
        /// The version that it replaces; 0 for the first.
        base: u64,
        /// The body, byte for byte.
        body: Arc<[u8]>,
    },
    /// A new version of a model's weights.
    Weights {
        /// The model.
        model: CompactString,
        /// The version.
        version: u64,
    },
    /// Makes a replica the owner of the weights rollout, which sends orders to backends. The new
    /// owner is committed before its first order.
    RolloutOwner {
        /// The replica.
        replica: ReplicaId,
    },
}

impl Change {
    /// Its approximate size in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Change::Configuration { body, .. } => body.len(),
            Change::Weights { model, .. } => model.len(),
            Change::RolloutOwner { replica } => replica.node.len(),
        }
    }
}

/// Why a change is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The configuration replaces a version that is not the current one.
    VersionConflict {
        /// The current version.
        current: u64,
    },
    /// The configuration is invalid. The text names the field and the allowed values.
    Invalid(String),
}

/// The outcome of a submitted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is committed, by this or by an earlier submission.
    Committed,
    /// The change was not and will not be committed.
    Rejected(Rejection),
    /// The change may or may not be committed: retry here or at another router. Retries are
    /// idempotent.
    Unknown,
}

/// The outcome of a read of the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The newest configuration; `None` before the first one. After the read was received, a
    /// majority of the witnesses confirmed that no other replica leads.
    Latest(Option<StoredConfiguration>),
    /// This replica cannot tell at present: retry here or at another router.
    Unknown,
}
