//! What the routers of a fleet say to each other.

use compact_str::CompactString;
use control::changes::{Change, Outcome};
use control::digest::{Range, Summary};
use control::directory::{Backend, Member, Record, VersionVector};
use control::history::TextUpdate;
use control::message::Envelope;
use control::state::{Position, WeightsTarget};
use control::view::{Epoch, ReplicaId};
use routing::locations::{Located, Placement, PrefixKey};
use routing::version_floor::NamedVersion;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The longest message; a longer one ends the connection.
pub const LONGEST: usize = 16 << 20;
/// How often a call may be passed on.
pub const MOST_HOPS: u8 = 2;

/// What is asked. New kinds go last, as their places are their numbers on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// A message between replicas of the control state; has no answer.
    Replica(Box<Envelope>),
    /// Asks for everything that is newer.
    Pull(PullRequest),
    /// An operator's change.
    Submit {
        /// The change.
        change: Change,
        /// How often it may still be passed on.
        hops: u8,
    },
    /// Asks for the newest configuration.
    ReadConfiguration {
        /// How often it may still be passed on.
        hops: u8,
    },
    /// A backend's heartbeat or end.
    Register {
        /// The backend's instance id.
        id: CompactString,
        /// What it says of itself.
        backend: Backend,
    },
    /// Compares what both hold of a range.
    Compare {
        /// The range.
        range: Range,
    },
    /// Asks a router that reads a store's events whether the store answers.
    StoreStatus {
        /// The store.
        store: SocketAddrV4,
    },
    /// Asks the owner of a prefix where it is kept.
    Locate {
        /// The prefix.
        key: PrefixKey,
        /// Where the request would go if the prefix is kept nowhere.
        planned: Placement,
        /// Whether the prefix is worth saving at the store.
        wants_save: bool,
    },
    /// Tells the owner of a prefix where a request goes; has no answer.
    Placed {
        /// The prefix.
        key: PrefixKey,
        /// The backend that will keep it.
        placement: Placement,
    },
    /// Tells an owner which prefixes a backend keeps no more, with their versions; has no answer.
    Evicted {
        /// The backend's instance id.
        backend: CompactString,
        /// The prefixes.
        prefixes: Vec<(PrefixKey, u64)>,
    },
    /// Tells an owner which prefixes the store keeps no more, with their versions; has no answer.
    EvictedFromStore {
        /// The prefixes.
        prefixes: Vec<(PrefixKey, u64)>,
    },
    /// Asks for records by the hashes of their keys.
    Fetch {
        /// The hashes.
        keys: Vec<u64>,
    },
    /// Tells of faults that a router saw at backends, each with how many; has no answer.
    Faults {
        /// The router's name.
        reporter: CompactString,
        /// The backends' instance ids.
        faults: Vec<(CompactString, u32)>,
    },
}

/// What is answered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// To a pull.
    Pulled(Box<Pulled>),
    /// To a change.
    Outcome(Outcome),
    /// To a question for the configuration: whether it could be told, and its body.
    Configuration(Option<Option<Vec<u8>>>),
    /// To a heartbeat that is acknowledged: where later ones are to go.
    Registered(Option<SocketAddrV4>),
    /// To a question whether a store answers; none where the router does not know.
    StoreStatus(Option<StoreStatus>),
    /// To a question where a prefix is kept.
    Located(Located),
    /// To a comparison.
    Summary(Summary),
    /// To a fetch.
    Records(Vec<Record>),
    /// To a heartbeat that is not acknowledged here.
    NotRegistered,
}

/// How a store stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Its life, where it answers.
    pub generation: Option<u64>,
}

/// Asks for everything that is newer than what the asker has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PullRequest {
    /// The asker's name.
    pub name: CompactString,
    /// What it is.
    pub member: Member,
    /// How far it knows each origin.
    pub vector: VersionVector,
    /// The last change of the control state that it has.
    pub position: Position,
    /// The version of the configuration that it has, as a base for a difference.
    pub base: Option<u64>,
    /// The newest epoch that it knows.
    pub epoch: Epoch,
    /// How long the answer may wait for news.
    pub wait_ms: u64,
    /// Members whose heartbeats it misses, with their incarnations.
    pub missing: Vec<(CompactString, u64)>,
}

/// Everything that is newer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pulled {
    /// Records.
    pub records: Vec<Record>,
    /// How far the answerer knows each origin.
    pub vector: VersionVector,
    /// The control state, where it is newer.
    pub state: Option<PublishedState>,
    /// The newest epoch and its primary.
    pub leader: Option<(Epoch, ReplicaId)>,
    /// So many milliseconds ago the answerer's control state was last known to be the newest; none
    /// where it never was.
    pub age_ms: Option<u64>,
    /// So many milliseconds the answer was held back for news.
    pub held_ms: u64,
    /// Versions of weights whose time runs, or was over last.
    pub named_weights: Vec<NamedVersion>,
}

/// The committed control state as routers use it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PublishedState {
    /// The last change in it.
    pub position: Position,
    /// What the asker lacks of the configuration; none where it has not changed.
    pub configuration: Option<TextUpdate>,
    /// The newest version of each model's weights.
    pub weights: BTreeMap<CompactString, WeightsTarget>,
}

/// One message on a connection between routers. A request with the id 0 has no answer.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// A request and its id.
    Request(u32, Request),
    /// The answer to the request with that id.
    Response(u32, Response),
}

/// A heartbeat between members, as a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberHeartbeat {
    /// The sender's name.
    pub name: CompactString,
    /// Its life.
    pub incarnation: u64,
}
