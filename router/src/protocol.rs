//! Messages between the routers of a fleet.
//!
//! Messages are encoded with postcard: types and fields may be renamed, but variants and fields
//! must not be reordered, and new variants go last.

use compact_str::CompactString;
use control::changes::{Change, Outcome};
use control::digest::{Range, Summary};
use control::directory::{Backend, Member, Record, VersionVector};
use control::history::TextUpdate;
use control::message::Envelope;
use control::state::{Position, WeightsTarget};
use control::view::{Epoch, ReplicaId};
use routing::prefix_index::{Placement, PrefixKey, PrefixLocation};
use routing::version_floor::AnnouncedVersion;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Maximum size of a message; a larger one closes the connection.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Maximum number of times that a call is forwarded.
pub const MAX_HOPS: u8 = 2;

/// A request. New variants go last, as postcard encodes a variant by its index.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// A message between replicas of the control state; one-way.
    Replica(Box<Envelope>),
    /// Pulls all state that is newer than the sender's.
    Pull(PullRequest),
    /// Submits an operator's change.
    Submit {
        /// The change.
        change: Change,
        /// How many more times the call may be forwarded.
        hops: u8,
    },
    /// Reads the latest configuration.
    ReadConfiguration {
        /// How many more times the call may be forwarded.
        hops: u8,
    },
    /// A backend's heartbeat or deregistration.
    Register {
        /// Instance id of the backend.
        id: CompactString,
        /// The backend's record.
        backend: Backend,
    },
    /// Compares the digests of a range of records.
    Compare {
        /// The range.
        range: Range,
    },
    /// Asks a router that reads a store's events whether the store is available.
    StoreStatus {
        /// Address of the store.
        store: SocketAddrV4,
    },
    /// Looks up a prefix at its owner.
    Locate {
        /// The prefix.
        key: PrefixKey,
        /// The backend that gets the request if no backend has the prefix cached.
        planned: Placement,
        /// Whether the prefix is worth saving to the KV store.
        should_save: bool,
    },
    /// Notifies the owner of a prefix which backend gets a request with it; one-way.
    Placed {
        /// The prefix.
        key: PrefixKey,
        /// The backend that will cache it.
        placement: Placement,
    },
    /// Notifies an owner of prefixes that a backend evicted, with their versions; one-way.
    Evicted {
        /// Instance id of the backend.
        backend: CompactString,
        /// The prefixes.
        prefixes: Vec<(PrefixKey, u64)>,
    },
    /// Notifies an owner of prefixes that a store evicted, with their versions; one-way.
    EvictedFromStore {
        /// The prefixes.
        prefixes: Vec<(PrefixKey, u64)>,
    },
    /// Fetches records by the hashes of their keys.
    Fetch {
        /// The hashes.
        keys: Vec<u64>,
    },
    /// Reports how many requests a router saw backends fail; one-way.
    Failures {
        /// Name of the router.
        reporter: CompactString,
        /// Instance ids and numbers of failures.
        failures: Vec<(CompactString, u32)>,
    },
}

/// A response. New variants go last.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// Response to a pull.
    Pulled(Box<Pulled>),
    /// Outcome of a submitted change.
    Outcome(Outcome),
    /// The latest configuration. The outer `None` means that it can't be determined, the inner one
    /// that there is none yet.
    Configuration(Option<Option<Vec<u8>>>),
    /// The registration is acknowledged; the address for later heartbeats.
    Registered(Option<SocketAddrV4>),
    /// Status of the store; `None` if the router does not know it.
    StoreStatus(Option<StoreStatus>),
    /// Location of the prefix.
    Located(PrefixLocation),
    /// Digests of the range.
    Summary(Summary),
    /// The requested records.
    Records(Vec<Record>),
    /// The registration is not acknowledged.
    NotRegistered,
}

/// Availability of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Generation of the store's contents, if it is available.
    pub generation: Option<u64>,
}

/// A pull of all state that is newer than the sender's.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PullRequest {
    /// Name of the sender.
    pub name: CompactString,
    /// The sender's member record.
    pub member: Member,
    /// The sender's position for each origin.
    pub vector: VersionVector,
    /// Position of the sender's control state.
    pub position: Position,
    /// Version of the sender's configuration, as a base for deltas.
    pub base: Option<u64>,
    /// The latest epoch that the sender knows.
    pub epoch: Epoch,
    /// How long the response may wait for updates, in milliseconds.
    pub wait_ms: u64,
    /// Members whose heartbeats the sender misses, with their revisions.
    pub missing: Vec<(CompactString, u64)>,
}

/// The response to a pull: all state that is newer than the sender's.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pulled {
    /// Newer records.
    pub records: Vec<Record>,
    /// The responder's position for each origin.
    pub vector: VersionVector,
    /// The control state, if it is newer.
    pub state: Option<PublishedState>,
    /// The latest epoch and its primary.
    pub leader: Option<(Epoch, ReplicaId)>,
    /// Time since the responder's control state was last confirmed as the latest, in milliseconds;
    /// `None` if it never was.
    pub age_ms: Option<u64>,
    /// How long the response waited for updates, in milliseconds.
    pub delay_ms: u64,
    /// Announced versions of weights.
    pub announced_weights: Vec<AnnouncedVersion>,
}

/// The committed control state as routers use it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PublishedState {
    /// Position of the last change.
    pub position: Position,
    /// Update of the configuration; `None` if it has not changed.
    pub configuration: Option<TextUpdate>,
    /// The latest version of each model's weights.
    pub weights: BTreeMap<CompactString, WeightsTarget>,
}

/// A message on a connection between routers. A request with the id 0 is one-way.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// A request and its id.
    Request(u32, Request),
    /// The response to the request with that id.
    Response(u32, Response),
}

/// A heartbeat between members, sent as a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberHeartbeat {
    /// Name of the sender.
    pub name: CompactString,
    /// Incarnation of the sender.
    pub incarnation: u64,
}
