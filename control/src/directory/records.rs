//! The records of the directory: their keys, values and conflict resolution.

use crate::view::ReplicaId;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Identifies one incarnation of a node, which writes records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin(pub u64);

/// Identifies a write: its origin and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The origin of the record.
    pub origin: Origin,
    /// The number of the record within its origin, from 1.
    pub counter: u64,
}

/// The last known record number of each origin.
pub type VersionVector = BTreeMap<Origin, u64>;

/// The key of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A backend, by its instance id.
    Backend(CompactString),
    /// A member of the fleet, by its node name.
    Member(CompactString),
    /// The last order that was sent to a backend, by its instance id.
    Order(CompactString),
    /// The last suspicion that a backend fails requests, by its instance id.
    Suspicion(CompactString),
}

/// The lifecycle phase of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BackendPhase {
    /// Accepts requests.
    Ready,
    /// Completes its current requests and accepts no others.
    Draining,
    /// Has deregistered.
    Gone,
}

/// A registered backend, as of its last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Backend {
    /// The name of its service.
    pub service: CompactString,
    /// The address that accepts requests.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: CompactString,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// The lifecycle phase.
    pub phase: BackendPhase,
    /// The sequence number of the heartbeat that reported this.
    pub sequence: u64,
    /// Its heartbeats have stopped.
    pub unresponsive: bool,
    /// The node that receives its heartbeats.
    pub owner: CompactString,
    /// Its models, each with the version of the weights.
    pub models: Vec<(CompactString, u64)>,
}

/// The status of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// Present in the fleet.
    Up,
    /// A monitor no longer receives its heartbeats.
    Down,
    /// Has left by a graceful shutdown.
    Left,
}

/// A member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its zone.
    pub zone: CompactString,
    /// The address of its internal protocol.
    pub internal: SocketAddrV4,
    /// The address that accepts calls from backends and operators.
    pub control: Option<SocketAddrV4>,
    /// The replica of the control state that it runs, if any.
    pub replica: Option<ReplicaId>,
    /// The current incarnation of its process.
    pub incarnation: u64,
    /// Rises with each incarnation, and each time that the member refutes being down.
    pub revision: u64,
    /// Whether the member is present.
    pub status: MemberStatus,
}

/// The progress of an order, as routers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OrderPhase {
    /// The backend is about to load weights, so no requests are sent to it.
    InProgress,
    /// The backend has the version.
    Done,
    /// The order was not sent or not accepted, so requests are sent as before.
    Withdrawn,
}

/// An order to a backend.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token of the order.
    pub fencing_token: u64,
    /// The number of the order under that token.
    pub number: u64,
    /// The model.
    pub model: CompactString,
    /// The version.
    pub version: u64,
    /// The progress of the order.
    pub phase: OrderPhase,
}

/// A suspicion, raised by several routers, that a backend fails requests. Each router avoids the
/// backend for `lasts_ms` from the time at which it learns of the suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    /// Rises with each suspicion of this backend.
    pub number: u64,
    /// How long the backend is avoided, in milliseconds.
    pub lasts_ms: u64,
}

/// The value of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// A backend.
    Backend(Backend),
    /// A member.
    Member(Member),
    /// An order.
    Order(Order),
    /// A suspicion.
    Suspicion(Suspicion),
}

impl Value {
    /// Whether this is a withdrawal of a backend: it is draining or has deregistered, and no router
    /// may send it requests once that is acknowledged.
    pub fn is_withdrawal(&self) -> bool {
        matches!(self, Value::Backend(backend) if backend.phase != BackendPhase::Ready)
    }

    /// Whether this value replaces another one of the same key. All nodes decide alike, whichever
    /// value they received first: values of equal rank, as when two nodes record the same
    /// heartbeat, are ordered by their content.
    pub(super) fn outranks(&self, other: &Value) -> bool {
        (self.rank(), self) > (other.rank(), other)
    }

    /// Of two values of one key, the one with the higher rank is kept.
    fn rank(&self) -> (u64, u64) {
        match self {
            Value::Backend(backend) if backend.phase == BackendPhase::Gone => (u64::MAX, 0),
            Value::Backend(backend) => (backend.sequence, u64::from(backend.unresponsive)),
            Value::Member(member) => {
                let status_rank = match member.status {
                    MemberStatus::Up => 0,
                    MemberStatus::Down => 1,
                    MemberStatus::Left => 2,
                };
                (member.revision, status_rank)
            }
            Value::Order(order) => (order.fencing_token, order.number),
            Value::Suspicion(suspicion) => (suspicion.number, 0),
        }
    }
}

/// A record as it is sent between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: Key,
    /// The write that produced the record.
    pub stamp: Stamp,
    /// The value.
    pub value: Value,
}
