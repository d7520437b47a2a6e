//! The operator's settings for versions of the configuration.

use serde::Deserialize;
use std::path::PathBuf;

const DEFAULT_VALIDITY_MS: u64 = 10_000;
const DEFAULT_STEADY_MS: u64 = 5_000;
const DEFAULT_NOTE_MS: u64 = 10_000;

/// The section `versions` of an operator's file. The fields have the names of the settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionsSetup {
    /// Milliseconds for which this gatherer serves under its version after the last query that
    /// confirmed it.
    #[serde(default = "validity_ms")]
    pub validity_ms: u64,
    /// Milliseconds for which the store has to respond again before a suspended gatherer accepts
    /// clients.
    #[serde(default = "steady_ms")]
    pub steady_ms: u64,
    /// The folder of the audit log; without it, no audit log is written.
    #[serde(default)]
    pub trail: Option<PathBuf>,
    /// Interval between two records of served queries, in milliseconds.
    #[serde(default = "note_ms")]
    pub note_ms: u64,
    /// For tests: the disk of the audit log counts as full while this file exists.
    #[serde(default)]
    pub test_full_while: Option<PathBuf>,
}

fn validity_ms() -> u64 {
    DEFAULT_VALIDITY_MS
}

fn steady_ms() -> u64 {
    DEFAULT_STEADY_MS
}

fn note_ms() -> u64 {
    DEFAULT_NOTE_MS
}
