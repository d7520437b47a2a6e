//! The settings file of a process.

use compact_str::CompactString;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "BITTERNSILL_SETTINGS";

/// Why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// No path was given.
    #[error("no settings file is given: set {PATH_VARIABLE} to its path or pass --settings")]
    NoPath,
    /// The file can't be read.
    #[error("{path}: {error}; check the path and its permissions")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// A value is missing or has the wrong type.
    #[error("{path}: at {at}: {error}")]
    Value {
        /// The file.
        path: PathBuf,
        /// Path of the value in the file.
        at: String,
        /// The cause.
        error: String,
    },
}

/// Addresses to listen on.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Listen {
    /// For clients.
    pub frontend: Option<SocketAddrV4>,
    /// For readiness checks.
    pub readiness: Option<SocketAddrV4>,
    /// For backends and operators.
    pub control_plane: Option<SocketAddrV4>,
}

/// Resource limits of the process.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ProcessLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// File descriptors.
    pub file_descriptors: u64,
    /// Disk space in megabytes.
    pub disk_mb: u64,
}

/// Simultaneous failures that the system has to tolerate.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FaultTolerance {
    /// Number of machines.
    pub machines: usize,
}

/// The service-level objectives of the deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Bounds {
    /// Time for which a machine has to be in contact with the others without a fault before the
    /// bounds apply to it, in milliseconds.
    pub contact_ms: u64,
    /// Time within which a configuration is in force everywhere, in milliseconds.
    pub config_apply_ms: u64,
    /// Time within which an operator's call is acknowledged, in milliseconds.
    pub ack_timeout_ms: u64,
    /// Time within which a draining backend stops getting requests, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_period_s: f64,
    /// Retries permitted per request.
    pub retry_budget_ratio: f64,
    /// Window of the retry budget, in seconds.
    pub budget_window_s: f64,
    /// Retries that are permitted regardless of the number of requests.
    pub retry_budget_slack: f64,
    /// Time within which two holders of a lease must not alternate, in milliseconds.
    pub lease_ms: u64,
    /// Time within which new weights are deployed everywhere, in milliseconds.
    pub version_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            contact_ms: 3_000,
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

/// The settings of a process. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// Name of the node.
    pub node_name: CompactString,
    /// Address of the node.
    pub ip_address: Ipv4Addr,
    /// Zone of the node.
    pub zone: CompactString,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<CompactString, CompactString>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// First and last port for the protocol between routers.
    pub internal_port_range: (u16, u16),
    /// Control addresses of the nodes that a starting node contacts first.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether this machine counts towards the fault tolerance.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// Resource limits.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Persistent data directory, if there is one.
    #[serde(default)]
    pub data_directory: Option<PathBuf>,
    /// Heartbeat interval of backends, in milliseconds.
    #[serde(default = "default_heartbeat_interval_ms")]
    pub heartbeat_interval_ms: u64,
    /// Simultaneous failures to tolerate.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Service-level objectives.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_heartbeat_interval_ms() -> u64 {
    1_000
}

impl Settings {
    /// Reads a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let bytes = std::fs::read(path).map_err(|error| SettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
        Self::parse(path, &bytes)
    }

    /// Parses settings; `path` is used in error messages.
    pub fn parse(path: &Path, bytes: &[u8]) -> Result<Self, SettingsError> {
        let value = |at: String, error: String| SettingsError::Value {
            path: path.to_owned(),
            at,
            error,
        };
        let json = &mut serde_json::Deserializer::from_slice(bytes);
        let settings: Settings = serde_path_to_error::deserialize(json)
            .map_err(|error| value(error.path().to_string(), error.inner().to_string()))?;
        let (first, last) = settings.internal_port_range;
        if first == 0 || last < first {
            let error =
                format!("[{first}, {last}] is not a port range: give the first and the last port");
            return Err(value("internalPortRange".to_owned(), error));
        }
        if settings.seeds.is_empty() {
            let error = "is empty: give the control address of at least one node".to_owned();
            return Err(value("seeds".to_owned(), error));
        }
        if settings.bounds.budget_window_s <= 0.0 {
            let error = format!(
                "{} is not a valid duration: it must be greater than 0",
                settings.bounds.budget_window_s
            );
            return Err(value("bounds.budgetWindowS".to_owned(), error));
        }
        Ok(settings)
    }

    /// This node's address for the protocol between routers.
    pub fn internal_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip_address, self.internal_port_range.0)
    }

    /// The address for the protocol between routers of the node with this control address. All
    /// nodes use the same port.
    pub fn internal_address_of(&self, control: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(*control.ip(), self.internal_port_range.0)
    }

    /// Returns whether this node has a replica of the control state.
    pub fn has_replica(&self) -> bool {
        self.counts_for_quorum && self.data_directory.is_some()
    }
}
