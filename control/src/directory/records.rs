//! What records are about and what they say.

use crate::view::ReplicaId;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// One life of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin(pub u64);

/// Who wrote a record, and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Who wrote it.
    pub origin: Origin,
    /// Its number, from 1.
    pub counter: u64,
}

/// How far each origin is known.
pub type VersionVector = BTreeMap<Origin, u64>;

/// What a record is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A backend, by its instance id.
    Backend(CompactString),
    /// A member of the fleet, by its node name.
    Member(CompactString),
    /// The last order given to a backend, by its instance id.
    Order(CompactString),
    /// The last time a backend was suspected of failing requests, by its instance id.
    Suspicion(CompactString),
}

/// How a backend stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BackendPhase {
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Has left.
    Gone,
}

/// A backend as it registered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Backend {
    /// Its service.
    pub service: CompactString,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: CompactString,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How it stands.
    pub phase: BackendPhase,
    /// The number of the heartbeat that said so.
    pub sequence: u64,
    /// Its heartbeats have stopped coming.
    pub unresponsive: bool,
    /// The node that takes its heartbeats.
    pub owner: CompactString,
    /// Version of each model's weights that it has.
    pub models: Vec<(CompactString, u64)>,
}

/// Whether a member is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It is.
    Up,
    /// A monitor misses its heartbeats.
    Down,
    /// It has left in order.
    Left,
}

/// A member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its zone.
    pub zone: CompactString,
    /// Where its internal protocol listens.
    pub internal: SocketAddrV4,
    /// Where it takes calls of backends and operators.
    pub control: Option<SocketAddrV4>,
    /// The replica of the control state that it runs, if any.
    pub replica: Option<ReplicaId>,
    /// Its present life.
    pub incarnation: u64,
    /// Rises with each life and each refutation.
    pub revision: u64,
    /// Whether it is there.
    pub status: MemberStatus,
}

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OrderPhase {
    /// The backend is about to load weights: send it nothing.
    InProgress,
    /// It has the version.
    Done,
    /// It was not given, or not taken: send requests as before.
    Withdrawn,
}

/// An order to a backend.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token under which it is given.
    pub fencing_token: u64,
    /// Its number under that token.
    pub number: u64,
    /// The model.
    pub model: CompactString,
    /// The version.
    pub version: u64,
    /// How far it has come.
    pub phase: OrderPhase,
}

/// Several routers saw a backend fail requests: it is to be avoided for a while, counted from when
/// this becomes known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    /// Rises with each suspicion of this backend.
    pub number: u64,
    /// For how long, in milliseconds.
    pub lasts_ms: u64,
}

/// The content of a record.
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
    /// Whether this holds where another record of the same thing is held. All holders decide alike,
    /// whatever they heard first: two of equal rank, as of one heartbeat that two nodes have taken,
    /// are told apart by what they say.
    pub(super) fn outranks(&self, other: &Value) -> bool {
        (self.rank(), self) > (other.rank(), other)
    }

    /// Of two records of one thing, the one of the higher rank holds.
    fn rank(&self) -> (u64, u64) {
        match self {
            Value::Backend(backend) if backend.phase == BackendPhase::Gone => (u64::MAX, 0),
            Value::Backend(backend) => (backend.sequence, u64::from(backend.unresponsive)),
            Value::Member(member) => {
                let later = match member.status {
                    MemberStatus::Up => 0,
                    MemberStatus::Down => 1,
                    MemberStatus::Left => 2,
                };
                (member.revision, later)
            }
            Value::Order(order) => (order.fencing_token, order.number),
            Value::Suspicion(suspicion) => (suspicion.number, 0),
        }
    }
}

/// A record as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it is about.
    pub key: Key,
    /// Who wrote it.
    pub stamp: Stamp,
    /// What it says.
    pub value: Value,
}
