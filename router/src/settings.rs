//! The settings file of a process: reading and checking.

use compact_str::CompactString;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Names the environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "BITTERNSILL_SETTINGS";

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// No path was given.
    #[error("no settings file is named: set {PATH_VARIABLE} to its path or pass --settings")]
    NoPath,
    /// The file can't be read.
    #[error("{path}: {problem}; check the path and its permissions")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        problem: std::io::Error,
    },
    /// A value is missing or of another kind.
    #[error("{path}: at {at}: {problem}")]
    Value {
        /// The file.
        path: PathBuf,
        /// The place in it.
        at: String,
        /// What is wrong.
        problem: String,
    },
}

/// Addresses to listen on.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Listen {
    /// For clients.
    pub frontend: Option<SocketAddrV4>,
    /// For the platform's question whether clients may come.
    pub readiness: Option<SocketAddrV4>,
    /// For backends and operators.
    pub control_plane: Option<SocketAddrV4>,
}

/// What the process may use.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ProcessLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Descriptors.
    pub file_descriptors: u64,
    /// Disk in megabytes.
    pub disk_mb: u64,
}

/// What may be lost at once with every promise kept.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FaultTolerance {
    /// Machines that count.
    pub machines: usize,
}

/// The times and shares that this deployment promises.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Bounds {
    /// Time for a configuration to be in force everywhere.
    pub config_apply_ms: u64,
    /// Time for an operator's call to be acknowledged.
    pub ack_timeout_ms: u64,
    /// Time for a draining backend to be left alone.
    pub drain_timeout_ms: u64,
    /// Seconds from SIGTERM to SIGKILL.
    pub grace_period_s: f64,
    /// Repeats permitted for each request.
    pub retry_budget_ratio: f64,
    /// Seconds over which repeats are counted.
    pub budget_window_s: f64,
    /// Repeats permitted however few the requests.
    pub retry_budget_slack: f64,
    /// Time within which two holders of a singleton role must not take turns.
    pub lease_ms: u64,
    /// Time for new weights to be everywhere.
    pub version_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            config_apply_ms: 2_000,
            ack_timeout_ms: 4_000,
            drain_timeout_ms: 2_000,
            grace_period_s: 8.0,
            retry_budget_ratio: 0.1,
            budget_window_s: 10.0,
            retry_budget_slack: 10.0,
            lease_ms: 3_000,
            version_ms: 6_000,
        }
    }
}

/// The settings of one process. Fields that this program does not know are skipped.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The node's name.
    pub node_name: CompactString,
    /// Its own address.
    pub ip_address: Ipv4Addr,
    /// Its zone.
    pub zone: CompactString,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<CompactString, CompactString>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// First and last port for the fleet's own protocol.
    pub internal_port_range: (u16, u16),
    /// Control addresses of a few nodes.
    pub seeds: Vec<SocketAddrV4>,
    /// The whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// The loss of this machine counts.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// What the process may use.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// The folder that lasts, where there is one.
    #[serde(default)]
    pub data_directory: Option<PathBuf>,
    /// Time between two heartbeats of a backend.
    #[serde(default = "default_heartbeat_interval_ms")]
    pub heartbeat_interval_ms: u64,
    /// What may be lost at once.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// What the deployment promises.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_heartbeat_interval_ms() -> u64 {
    1_000
}

impl Settings {
    /// Reads a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let bytes = std::fs::read(path).map_err(|problem| SettingsError::Unreadable {
            path: path.to_owned(),
            problem,
        })?;
        Self::parse(path, &bytes)
    }

    /// Reads the text of a settings file; `path` is for messages.
    pub fn parse(path: &Path, bytes: &[u8]) -> Result<Self, SettingsError> {
        let value = |at: String, problem: String| SettingsError::Value {
            path: path.to_owned(),
            at,
            problem,
        };
        let json = &mut serde_json::Deserializer::from_slice(bytes);
        let settings: Settings = serde_path_to_error::deserialize(json)
            .map_err(|problem| value(problem.path().to_string(), problem.inner().to_string()))?;
        let (first, last) = settings.internal_port_range;
        if first == 0 || last < first {
            let problem =
                format!("[{first}, {last}] is no range: give the first and the last port");
            return Err(value("internalPortRange".to_owned(), problem));
        }
        if settings.seeds.is_empty() {
            let problem = "is empty: name the control address of one node at least".to_owned();
            return Err(value("seeds".to_owned(), problem));
        }
        if settings.bounds.budget_window_s <= 0.0 {
            let problem = format!(
                "{} is no time: allowed is above 0",
                settings.bounds.budget_window_s
            );
            return Err(value("bounds.budgetWindowS".to_owned(), problem));
        }
        Ok(settings)
    }

    /// Where the fleet's own protocol listens on this node.
    pub fn internal_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip_address, self.internal_port_range.0)
    }

    /// Where the fleet's own protocol listens on the node with this control address: ports are
    /// alike on all nodes.
    pub fn internal_address_of(&self, control: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(*control.ip(), self.internal_port_range.0)
    }

    /// Whether this node holds a replica of the control state.
    pub fn has_replica(&self) -> bool {
        self.counts_for_quorum && self.data_directory.is_some()
    }
}
