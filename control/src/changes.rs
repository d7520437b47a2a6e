//! Changes of the control state, and what comes of them.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A whole configuration on top of a version.
    Configuration {
        /// The version that it builds on; 0 for the first.
        base: u64,
        /// The body, byte for byte.
        body: Vec<u8>,
    },
    /// A new version of a model's weights.
    Weights {
        /// The model.
        model: CompactString,
        /// The version.
        version: u64,
    },
}

/// Why a change is not made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It builds on a version that is not the current one.
    OtherVersion {
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
    Done,
    /// It was not made and never will be.
    Refused(Refusal),
    /// Nobody can tell at present: ask again, here or elsewhere.
    Unknown,
}
