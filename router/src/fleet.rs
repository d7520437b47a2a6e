//! What a router knows of its fleet, and how it gets to know it: pulls by version vectors, and
//! member heartbeats.

mod faults;
mod members;
mod named_weights;
mod operators;
mod peers;
mod pulls;
mod registration;
mod service;

pub use named_weights::UnfinishedVersion;
pub use pulls::{PULL_WAIT, Pull};

use crate::clock;
use crate::disk::Known;
use crate::links::{Links, lock};
use crate::metrics::Counters;
use crate::proxy::stores::Stores;
use crate::published::Published;
use crate::replica::ReplicaHandle;
use crate::settings::Settings;
use compact_str::CompactString;
use control::Millis;
use control::directory::{Directory, Key, Member, MemberStatus, Origin, Value};
use control::failure_detector::FailureDetector;
use control::view::{Epoch, ReplicaId};
use peers::Peers;
use pulls::WHOLE_ANSWERS_KB;
use routing::faults::FaultEvidence;
use routing::locations::Locations;
use routing::version_floor::VersionFloors;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Semaphore, watch};

/// How long one try to reach a node with a replica may take.
const FORWARD_PATIENCE: Duration = Duration::from_millis(900);
/// A monitored member with its incarnation: after it was taken for down and came back, its silence
/// is counted anew.
pub type MonitoredLife = (CompactString, u64);

/// The shared state of a router.
pub struct Fleet {
    /// The settings of the process.
    pub settings: Arc<Settings>,
    /// Connections to other routers.
    pub links: Links,
    /// What this router did.
    pub counters: Counters,
    /// Soft state.
    pub directory: Mutex<Directory>,
    /// Durable state, as committed.
    pub published: Mutex<Published>,
    /// Since when versions of weights are named.
    version_floors: Mutex<VersionFloors>,
    /// Stores of kept prompts.
    pub stores: Stores,
    /// Where the shared starts of prompts are kept that this router owns.
    pub locations: Mutex<Locations>,
    /// Faults of the backends that this node judges.
    evidence: Mutex<FaultEvidence>,
    /// The replica that this node runs, if any.
    pub replica: Option<ReplicaHandle>,
    /// This process's own life.
    pub incarnation: u64,
    /// Members whose heartbeats this node receives.
    pub monitored: Mutex<FailureDetector<MonitoredLife>>,
    heard_backends: Mutex<FailureDetector<CompactString>>,
    /// The highest number of a heartbeat that was heard of each backend, also of those that said
    /// nothing new.
    heartbeat_numbers: Mutex<BTreeMap<CompactString, u64>>,
    leader: Mutex<Option<(Epoch, ReplicaId)>>,
    /// When the control state, as pulled from others, was last known to be the newest.
    pulled_current_at: Mutex<Option<Millis>>,
    /// When the process started.
    begun: Millis,
    leaving: AtomicBool,
    news: watch::Sender<u64>,
    peers: watch::Sender<Peers>,
    whole_answers: Arc<Semaphore>,
}

impl Fleet {
    /// A router that knows nothing yet.
    pub fn new(
        settings: Arc<Settings>,
        replica: Option<ReplicaHandle>,
        incarnation: u64,
    ) -> Arc<Self> {
        let now = clock::now();
        let fleet = Fleet {
            links: Links::default(),
            counters: Counters::default(),
            directory: Mutex::new(Directory::new(Origin(incarnation))),
            published: Mutex::new(Published::default()),
            version_floors: Mutex::default(),
            stores: Stores::default(),
            locations: Mutex::default(),
            evidence: Mutex::default(),
            replica,
            incarnation,
            monitored: Mutex::new(FailureDetector::new(now)),
            heard_backends: Mutex::new(FailureDetector::new(now)),
            heartbeat_numbers: Mutex::default(),
            leader: Mutex::new(None),
            pulled_current_at: Mutex::new(None),
            begun: now,
            leaving: AtomicBool::new(false),
            news: watch::Sender::new(0),
            peers: watch::Sender::default(),
            whole_answers: Arc::new(Semaphore::new(WHOLE_ANSWERS_KB as usize)),
            settings,
        };
        let fleet = Arc::new(fleet);
        fleet.put(
            Key::Member(fleet.settings.node_name.clone()),
            Value::Member(fleet.own_member(1)),
        );
        fleet
    }

    /// Is told whenever anything has changed.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Tells that something has changed.
    pub fn announce(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Rises with every change.
    pub fn changes(&self) -> u64 {
        *self.news.borrow()
    }

    /// Takes what was known when this node's former process ended. Heartbeats that come since are
    /// newer.
    pub fn restore(&self, known: Known) {
        self.restore_named_weights(known.named_weights);
        for (key, value) in known.records {
            if key == Key::Member(self.settings.node_name.clone()) {
                continue;
            }
            if let Key::Backend(id) = &key {
                lock(&self.heard_backends).record_heartbeat(id.clone());
            }
            self.put(key, value);
        }
    }

    /// What this node is.
    fn own_member(&self, revision: u64) -> Member {
        Member {
            zone: self.settings.zone.clone(),
            internal: self.settings.internal_address(),
            control: self.settings.listen.control_plane,
            replica: self.replica.as_ref().map(|replica| replica.id.clone()),
            incarnation: self.incarnation,
            revision,
            status: if self.leaving.load(Ordering::Relaxed) {
                MemberStatus::Left
            } else {
                MemberStatus::Up
            },
        }
    }

    /// The process is about to end.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.announce();
    }

    /// Whether the process is about to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Writes a record of this node's own.
    pub fn put(&self, key: Key, value: Value) -> bool {
        let changed = lock(&self.directory).put(key, value);
        if changed {
            self.announce();
        }
        changed
    }

    /// The newest primary that this node has heard of.
    pub fn leader(&self) -> Option<(Epoch, ReplicaId)> {
        lock(&self.leader).clone()
    }

    /// Takes news of who is primary.
    pub fn hear_of_leader(&self, leader: Option<(Epoch, ReplicaId)>) {
        let mut known = lock(&self.leader);
        let newer =
            |(epoch, _): &(Epoch, ReplicaId)| known.as_ref().is_none_or(|known| *epoch > known.0);
        if let Some(leader) = leader.filter(newer) {
            *known = Some(leader);
            drop(known);
            self.announce();
        }
    }

    /// Members that hold replicas and are not known to have left, with whether they are thought to
    /// be up.
    pub fn replica_members(&self) -> Vec<(CompactString, Member)> {
        let directory = lock(&self.directory);
        let members = directory
            .members()
            .filter(|(_, member)| member.replica.is_some());
        members
            .map(|(name, member)| (name.clone(), member.clone()))
            .collect()
    }

    /// How many members take traffic, this one included.
    pub fn members_up(&self) -> usize {
        let directory = lock(&self.directory);
        directory
            .members()
            .filter(|(_, member)| member.status == MemberStatus::Up)
            .count()
            .max(1)
    }
}
