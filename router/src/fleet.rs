//! The state of the fleet as this router knows it. Updates arrive through pulls with version
//! vectors, and through heartbeats.

mod announced_weights;
mod confirmation;
mod durability;
mod members;
mod peers;
mod prefixes;
mod primary_calls;
mod pulls;
mod registration;
mod request_handler;
mod suspicions;

pub use announced_weights::IncompleteRollout;
pub use confirmation::ConfigurationInUse;
pub use durability::FleetSave;
pub use prefixes::PrefixLookup;
pub use pulls::{PULL_WAIT, Pull};

use crate::clock;
use crate::counters::Counters;
use crate::disk::PersistedFleet;
use crate::kv_stores::KvStores;
use crate::links::Links;
use crate::published::Published;
use crate::replica::handle::ReplicaHandle;
use crate::settings::Settings;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::{BackendPhase, Directory, Key, Member, MemberStatus, Origin, Value};
use control::failure_detector::FailureDetector;
use control::view::{Epoch, ReplicaId};
use peers::Peers;
use pulls::FULL_STATE_BUDGET_KB;
use routing::outlier_detection::OutlierDetector;
use routing::prefix_index::PrefixIndex;
use routing::version_floor::VersionFloors;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, watch};

/// Time limit of one forwarded call to a replica node.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// A monitored member with its revision. A member that was down and rejoins has a new revision, so
/// its failure detection starts over.
pub type MonitoredIncarnation = (CompactString, u64);

/// The state that all parts of a router share.
pub struct Fleet {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Connections to other routers.
    pub links: Links,
    /// Event counters.
    pub counters: Counters,
    /// Soft state: members, backends, orders and suspicions.
    pub directory: Mutex<Directory>,
    /// Durable state, as committed.
    pub published: Mutex<Published>,
    /// Announced versions of weights.
    version_floors: Mutex<VersionFloors>,
    /// Availability of the KV stores.
    pub stores: KvStores,
    /// Index of the prompt prefixes that this router owns.
    pub prefix_index: Mutex<PrefixIndex>,
    /// Reported failures of the backends that this node evaluates.
    outlier_detector: Mutex<OutlierDetector>,
    /// The replica that this node runs, if any.
    pub replica: Option<ReplicaHandle>,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Failure detector of the members that send heartbeats to this node.
    pub monitored: Mutex<FailureDetector<MonitoredIncarnation>>,
    monitored_backends: Mutex<FailureDetector<CompactString>>,
    /// The highest sequence number of each backend's heartbeats, including those without new
    /// content.
    heartbeat_sequences: Mutex<BTreeMap<CompactString, u64>>,
    leader: Mutex<Option<(Epoch, ReplicaId)>>,
    /// Time as of which the control state pulled from other nodes was the latest.
    current_as_of: Mutex<Option<Millis>>,
    /// When the process started.
    started_at: Millis,
    is_shutting_down: AtomicBool,
    changes: watch::Sender<u64>,
    peers: watch::Sender<Peers>,
    /// Requests to save withdrawals of backends that are only in memory.
    save_requests: Notify,
    /// The number of updates with withdrawals that are on disk.
    saved_withdrawals: watch::Sender<u64>,
    full_state_permits: Arc<Semaphore>,
}

impl Fleet {
    /// Creates the initial state of a router.
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
            stores: KvStores::default(),
            prefix_index: Mutex::default(),
            outlier_detector: Mutex::default(),
            replica,
            incarnation,
            monitored: Mutex::new(FailureDetector::new(now)),
            monitored_backends: Mutex::new(FailureDetector::new(now)),
            heartbeat_sequences: Mutex::default(),
            leader: Mutex::new(None),
            current_as_of: Mutex::new(None),
            started_at: now,
            is_shutting_down: AtomicBool::new(false),
            changes: watch::Sender::new(0),
            peers: watch::Sender::default(),
            save_requests: Notify::new(),
            saved_withdrawals: watch::Sender::default(),
            full_state_permits: Arc::new(Semaphore::new(FULL_STATE_BUDGET_KB as usize)),
            settings,
        };
        let fleet = Arc::new(fleet);
        fleet.put(
            Key::Member(fleet.settings.node_name.clone()),
            Value::Member(fleet.local_member(1)),
        );
        fleet
    }

    /// Subscribes to changes of any part of the state.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Notifies subscribers of a change.
    pub fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// A counter that every change increments.
    pub fn change_count(&self) -> u64 {
        *self.changes.borrow()
    }

    /// Restores the state that a previous process saved, before anything is received: heartbeats that
    /// are received later are newer.
    pub fn restore(&self, saved: PersistedFleet) {
        log_restored(&saved);
        self.restore_announcements(saved.announced_weights);
        for (key, value) in saved.records {
            if key == Key::Member(self.settings.node_name.clone()) {
                continue;
            }
            if let Key::Backend(id) = &key {
                lock(&self.monitored_backends).record_heartbeat(id.clone());
            }
            self.put(key, value);
        }
        // All restored withdrawals are on the disk that they come from.
        let point = lock(&self.directory).save_point();
        self.record_saved(point);
    }

    /// This node's own member record.
    fn local_member(&self, revision: u64) -> Member {
        Member {
            zone: self.settings.zone.clone(),
            internal: self.settings.internal_address(),
            control: self.settings.listen.control_plane,
            replica: self.replica.as_ref().map(|replica| replica.id.clone()),
            incarnation: self.incarnation,
            revision,
            status: if self.is_shutting_down.load(Ordering::Relaxed) {
                MemberStatus::Left
            } else {
                MemberStatus::Up
            },
        }
    }

    /// Begins a graceful shutdown.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
        self.notify_change();
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.load(Ordering::Relaxed)
    }

    /// Writes a record that originates at this node.
    pub fn put(&self, key: Key, value: Value) -> bool {
        let changed = self.update_directory(|directory| directory.put(key, value));
        if changed {
            self.notify_change();
        }
        changed
    }

    /// The latest primary that this node knows, with its epoch.
    pub fn leader(&self) -> Option<(Epoch, ReplicaId)> {
        lock(&self.leader).clone()
    }

    /// Records a primary, if its epoch is newer.
    pub fn observe_leader(&self, leader: Option<(Epoch, ReplicaId)>) {
        let mut known = lock(&self.leader);
        let newer =
            |(epoch, _): &(Epoch, ReplicaId)| known.as_ref().is_none_or(|known| *epoch > known.0);
        if let Some(leader) = leader.filter(newer) {
            *known = Some(leader);
            drop(known);
            self.notify_change();
        }
    }

    /// Members with replicas, in any status.
    pub fn replica_members(&self) -> Vec<(CompactString, Member)> {
        let directory = lock(&self.directory);
        let members = directory
            .members()
            .filter(|(_, member)| member.replica.is_some());
        members
            .map(|(name, member)| (name.clone(), member.clone()))
            .collect()
    }

    /// Number of members that are up, at least 1.
    pub fn members_up(&self) -> usize {
        let directory = lock(&self.directory);
        directory
            .members()
            .filter(|(_, member)| member.status == MemberStatus::Up)
            .count()
            .max(1)
    }
}

/// Logs how many backends were restored in each phase, and what was restored of those that accept
/// no requests.
fn log_restored(saved: &PersistedFleet) {
    let backends = saved.records.iter().filter_map(|record| match record {
        (Key::Backend(id), Value::Backend(backend)) => Some((id, backend)),
        _ => None,
    });
    let mut ready = 0;
    let mut withdrawn = 0;
    for (id, backend) in backends {
        if backend.phase == BackendPhase::Ready {
            ready += 1;
        } else {
            withdrawn += 1;
            log::debug!("restored backend {id} as {:?}", backend.phase);
        }
    }
    log::info!("restored {ready} ready backends and {withdrawn} draining or deregistered ones");
}
