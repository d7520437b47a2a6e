//! Settings of the routers of a run, and the addresses of all listeners.

use serde_json::json;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;

/// The interval between heartbeats of a backend.
pub const HEARTBEAT_MS: u64 = 400;
/// The time from SIGTERM to SIGKILL.
pub const GRACE_PERIOD_MS: u64 = 8_000;
/// The longest time from the acknowledgement of a configuration until all routers apply it.
pub const CONFIG_APPLY_MS: u64 = 2_000;
/// The longest time after the acknowledgement of a weight version in which requests may still
/// start on older weights.
pub const WEIGHTS_APPLY_MS: u64 = 6_000;
/// The least time between orders of two lease holders.
pub const LEASE_MS: u64 = 3_000;
/// How long requests may still reach a backend after the acknowledgement of its withdrawal.
pub const DRAIN_TIMEOUT_MS: u64 = 2_000;
/// The time-out of every route.
pub const ROUTE_TIMEOUT_MS: u64 = 3_000;
/// The time without faults after which a router is considered connected to the others again.
pub const RECONNECT_MS: u64 = 3_000;

const FRONTEND_PORT: u16 = 8_388;
const READINESS_PORT: u16 = 8_384;
const CONTROL_PORT: u16 = 8_381;
const INTERNAL_PORTS: (u16, u16) = (7_560, 7_575);
const METRICS_PORT: u16 = 9_464;

/// The number of routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// All routers.
    pub routers: usize,
    /// Routers with a replica of the control state on disk. They have the lowest numbers.
    pub replicas: usize,
}

/// The loopback addresses of one run. Concurrent runs differ in their network.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// The second byte of every address.
    pub network: u8,
}

impl Addresses {
    /// The address of a router.
    pub fn router(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(
            127,
            self.network,
            (number / 200) as u8,
            1 + (number % 200) as u8,
        )
    }

    /// The address of all backends, which differ in their port.
    pub fn backends(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 200, 1)
    }

    /// The address of a router for clients.
    pub fn frontend(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.router(number), FRONTEND_PORT)
    }

    /// The address of a router for backends and operators.
    pub fn control(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.router(number), CONTROL_PORT)
    }

    /// The address of a router's readiness checks.
    pub fn readiness(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.router(number), READINESS_PORT)
    }

    /// The address of a router's metrics.
    pub fn metrics(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.router(number), METRICS_PORT)
    }
}

/// The metrics port, as a command-line argument.
pub fn metrics_port() -> String {
    METRICS_PORT.to_string()
}

/// The contents of a router's settings file.
pub fn router_settings(
    size: Size,
    addresses: Addresses,
    number: usize,
    data: &Path,
    bootstrap: bool,
) -> serde_json::Value {
    let at = |port: u16| SocketAddrV4::new(addresses.router(number), port).to_string();
    let seeds: Vec<String> = (0..size.replicas.min(3))
        .map(|seed| addresses.control(seed).to_string())
        .collect();
    let has_replica = number < size.replicas;
    let zone = format!("z{}", number % 3);
    json!({
        "nodeName": format!("router-{number}"),
        "ipAddress": addresses.router(number).to_string(),
        "zone": zone,
        "zones": {"z0": "r", "z1": "r", "z2": "r"},
        "listen": {"frontend": at(FRONTEND_PORT), "readiness": at(READINESS_PORT), "controlPlane": at(CONTROL_PORT)},
        "internalPortRange": [INTERNAL_PORTS.0, INTERNAL_PORTS.1],
        "seeds": seeds,
        "bootstrap": bootstrap,
        "countsForQuorum": has_replica,
        "dataDirectory": has_replica.then(|| data.display().to_string()),
        "heartbeatIntervalMs": HEARTBEAT_MS,
        "faultTolerance": {"machines": (size.replicas - 1) / 2, "zones": 0, "regions": 0},
        "bounds": {"configApplyMs": CONFIG_APPLY_MS, "ackTimeoutMs": 4_000, "drainTimeoutMs": DRAIN_TIMEOUT_MS,
                   "gracePeriodS": GRACE_PERIOD_MS / 1_000, "retryBudgetRatio": 0.2, "retryBudgetSlack": 60,
                   "budgetWindowS": 10, "leaseMs": LEASE_MS, "versionMs": WEIGHTS_APPLY_MS},
    })
}
