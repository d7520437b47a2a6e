//! Settings of the routers of a run, and all listening addresses.

use serde_json::json;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;

/// Time between two heartbeats of a backend.
pub const HEARTBEAT_MS: u64 = 400;
/// From SIGTERM to SIGKILL.
pub const GRACE_MS: u64 = 8_000;
/// Time for a configuration to be in force everywhere.
pub const CONFIG_APPLY_MS: u64 = 2_000;
/// Time after which no request begins on older weights.
pub const VERSION_MS: u64 = 6_000;
/// Time between orders of two holders of the lease.
pub const LEASE_MS: u64 = 3_000;
/// The time-out of every route.
pub const ROUTE_TIMEOUT_MS: u64 = 3_000;
/// The time without faults after which a router is in contact with the others again.
pub const CONTACT_MS: u64 = 3_000;

const FRONTEND_PORT: u16 = 8_388;
const READINESS_PORT: u16 = 8_384;
const CONTROL_PORT: u16 = 8_381;
const INTERNAL_PORTS: (u16, u16) = (7_560, 7_575);
const METRICS_PORT: u16 = 9_464;

/// How many routers there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// All of them.
    pub routers: usize,
    /// Those with a disk, which come first.
    pub replicas: usize,
}

/// Loopback addresses of one run. Runs beside each other differ in their network.
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

    /// Where backends listen, on ports of their own.
    pub fn backends(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 200, 1)
    }

    /// The address for clients.
    pub fn frontend(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.router(number), FRONTEND_PORT)
    }

    /// The address for backends and operators.
    pub fn control(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.router(number), CONTROL_PORT)
    }

    /// The address of the metrics.
    pub fn metrics(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.router(number), METRICS_PORT)
    }
}

/// The port of the metrics page, for the command line.
pub fn metrics_port() -> String {
    METRICS_PORT.to_string()
}

/// The settings file of a router.
pub fn of_router(
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
        "bounds": {"configApplyMs": CONFIG_APPLY_MS, "ackTimeoutMs": 4_000, "drainTimeoutMs": 2_000,
                   "gracePeriodS": GRACE_MS / 1_000, "retryBudgetRatio": 0.2, "retryBudgetSlack": 60,
                   "budgetWindowS": 10, "leaseMs": LEASE_MS, "versionMs": VERSION_MS},
    })
}
