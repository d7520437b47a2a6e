//! The snapshot of a gatherer's statistics of each host and each query class.
//!
//! Field names in files are fixed: a renamed field keeps its stored name by `serde(rename)`.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Wall clock time, in milliseconds since the Unix epoch, or a duration in milliseconds.
pub type UnixMillis = u64;

/// Latency statistics of a query class, in nanoseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassStats {
    /// Name of the class.
    pub name: String,
    /// Median latency of a shard's part of a query.
    pub median: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// Least median observed.
    pub least: f64,
    /// Median and 95th percentile of answered attempts alone.
    #[serde(rename = "tries")]
    pub attempts: (f64, f64),
    /// Number of answers in these statistics, at most those of a window.
    pub weight: f64,
}

/// Statistics of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostStats {
    /// When the host last started, by the endpoint list; 0 for long ago.
    #[serde(rename = "born")]
    pub started: UnixMillis,
    /// Latency for each class, relative to the peers of the host.
    pub slowness: Vec<f32>,
    /// Smoothed delay, as a fraction of the latency target.
    pub delay: f32,
    /// Concurrency limit.
    pub limit: f32,
    /// Smoothed error rate.
    pub errors: f32,
    /// Number of answers in these statistics, where older ones count less.
    pub weight: f32,
    /// When these were last updated.
    #[serde(rename = "judged")]
    pub updated_at: UnixMillis,
}

/// The deployment that a snapshot belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Names of the classes, in order.
    pub classes: Vec<String>,
    /// Number of cells.
    pub cells: u32,
    /// Number of consecutive cells that hold a shard.
    pub reach: u32,
}

/// All learned statistics. A clone shares the hosts, which are in a persistent map.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// The deployment.
    pub fleet: Fleet,
    /// When the snapshot was taken.
    pub taken_at: UnixMillis,
    /// The classes, in the order of the fleet.
    pub classes: Vec<ClassStats>,
    /// The hosts by their names in the endpoint list.
    pub hosts: OrdMap<Arc<str>, HostStats>,
}

impl Snapshot {
    /// An empty snapshot.
    pub fn new(fleet: Fleet) -> Snapshot {
        Snapshot {
            fleet,
            taken_at: 0,
            classes: Vec::new(),
            hosts: OrdMap::new(),
        }
    }
}
