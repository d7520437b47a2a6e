//! Changes of the control state, and what comes of them.

use crate::state::StoredConfiguration;
use crate::view::ReplicaId;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A change that an operator asks for, or a primary.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A whole configuration on top of a version.
    Configuration {
        /// The version that it builds on; 0 for the first.
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
    /// From now on this replica gives orders to backends. The primary asks for it before its first
    /// order.
    RolloutOwner {
        /// The replica.
        replica: ReplicaId,
    },
}

impl Change {
    /// How many bytes it takes, about.
    pub fn bytes(&self) -> usize {
        match self {
            Change::Configuration { body, .. } => body.len(),
            Change::Weights { model, .. } => model.len(),
            Change::RolloutOwner { replica } => replica.node.len(),
        }
    }
}

/// Why a change is not made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// It builds on a version that is not the current one.
    VersionConflict {
        /// The current version.
        current: u64,
    },
    /// It is not valid; the text says where and what is allowed.
    Invalid(String),
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was made, now or before.
    Committed,
    /// It was not made and never will be.
    Rejected(Rejection),
    /// Nobody can tell at present: ask again, here or elsewhere.
    Unknown,
}

/// What came of a question for the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The newest configuration; none where there is none yet. At a moment after the question came,
    /// a majority of the witnesses confirmed that no other replica leads.
    Latest(Option<StoredConfiguration>),
    /// Nobody can tell here at present: ask again, or elsewhere.
    Unknown,
}
