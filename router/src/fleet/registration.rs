//! Heartbeats of backends: taking them, passing them on, and noticing that they have stopped.

use super::{FORWARD_PATIENCE, Fleet};
use crate::links::lock;
use crate::protocol::{Request, Response};
use compact_str::CompactString;
use control::Millis;
use control::directory::{Backend, BackendPhase, Key, Member, MemberStatus, Value};
use control::rollout::is_contradicted;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long the end of a backend may take to reach a majority of the nodes that hold the control
/// state.
const DRAIN_SPREAD: Duration = Duration::from_millis(400);
/// How long a heartbeat may take altogether; its sender goes elsewhere after a second.
const REGISTRATION_PATIENCE: Duration = Duration::from_millis(900);

impl Fleet {
    /// Takes a backend's heartbeat or end, here or at a node with a replica. The value says whether
    /// it is acknowledged, and where later heartbeats should go.
    pub async fn register(
        &self,
        id: CompactString,
        backend: Backend,
    ) -> Option<Option<SocketAddrV4>> {
        if self.replica.is_some() && !self.is_leaving() {
            return self.take_backend(id, backend).await;
        }
        tokio::time::timeout(REGISTRATION_PATIENCE, self.pass_on(id, backend))
            .await
            .ok()
            .flatten()
    }

    async fn pass_on(&self, id: CompactString, backend: Backend) -> Option<Option<SocketAddrV4>> {
        for member in self.replicas_for(&id) {
            let request = Request::Register {
                id: id.clone(),
                backend: backend.clone(),
            };
            let asked = self
                .links
                .ask(member.internal, request, FORWARD_PATIENCE / 2)
                .await;
            if let Some(Response::Registered(address)) = asked {
                return Some(address);
            }
        }
        None
    }

    /// Nodes with replicas that are up: the leader's zone does not matter, this node's own does.
    pub fn nearest_replicas(&self) -> Vec<(CompactString, Member)> {
        let mut members = self.replica_members();
        members.retain(|(name, member)| {
            member.status == MemberStatus::Up && *name != self.settings.node_name
        });
        members.sort_by_key(|(name, member)| (member.zone != self.settings.zone, name.clone()));
        members
    }

    /// Takes a backend's heartbeat or end at a node with a replica. A heartbeat is acknowledged
    /// where it reaches the fleet; an end only once a majority of the nodes that hold the control
    /// state know it, as the acknowledgement binds all routers.
    pub(super) async fn take_backend(
        &self,
        id: CompactString,
        mut backend: Backend,
    ) -> Option<Option<SocketAddrV4>> {
        let leaves = backend.phase != BackendPhase::Ready;
        if !leaves && !self.takes_registrations() {
            return None;
        }
        backend.owner = self.settings.node_name.clone();
        let key = Key::Backend(id.clone());
        if backend.phase == BackendPhase::Gone {
            lock(&self.heard_backends).remove(&id);
        } else {
            lock(&self.heard_backends).record_heartbeat(id.clone());
        }
        let zone = backend.zone.clone();
        let address = self.address_for(&id, &zone);
        if self.is_newest(&id, &backend) {
            self.put_backend(key.clone(), backend);
        }
        // An end that a newer heartbeat has taken back is not acknowledged: that would bind all
        // routers.
        if leaves
            && !(self.takes_no_more_requests(&key)
                && self.reaches_majority(&key, DRAIN_SPREAD).await)
        {
            return None;
        }
        Some(address)
    }

    fn takes_no_more_requests(&self, key: &Key) -> bool {
        let directory = lock(&self.directory);
        matches!(directory.get(key), Some(Value::Backend(backend)) if backend.phase != BackendPhase::Ready)
    }

    /// Whether no heartbeat of a higher number was heard here. An end counts whenever it comes.
    fn is_newest(&self, id: &CompactString, backend: &Backend) -> bool {
        if backend.phase == BackendPhase::Gone {
            return true;
        }
        let mut numbers = lock(&self.heartbeat_numbers);
        let newest = numbers.entry(id.clone()).or_default();
        *newest = backend.sequence.max(*newest);
        *newest == backend.sequence
    }

    /// Writes a backend's record where it says something new. A heartbeat that only counts up is
    /// not passed on, unless it contradicts an order that is said to be done: only its number tells
    /// others that it is newer than that.
    fn put_backend(&self, key: Key, mut backend: Backend) -> bool {
        let mut directory = lock(&self.directory);
        if let Some(Value::Backend(held)) = directory.get(&key) {
            if held.phase == BackendPhase::Gone || held.sequence > backend.sequence {
                return false;
            }
            let counts_up = Backend {
                sequence: held.sequence,
                ..backend.clone()
            };
            let is_contradiction = match &key {
                Key::Backend(id) => directory
                    .order(id)
                    .is_some_and(|order| is_contradicted(&backend, order)),
                _ => false,
            };
            if counts_up == *held && !is_contradiction {
                return false;
            }
            // A deregistration carries nothing but the id.
            if backend.phase == BackendPhase::Gone {
                backend = Backend {
                    phase: BackendPhase::Gone,
                    ..held.clone()
                };
            }
        }
        let changed = directory.put(key, Value::Backend(backend));
        drop(directory);
        if changed {
            self.announce();
        }
        changed
    }

    /// Where a backend should send its heartbeats: to a node with a replica in its zone. Backends
    /// are spread over these.
    fn address_for(&self, id: &str, zone: &str) -> Option<SocketAddrV4> {
        let members = self.replica_members();
        let near = members
            .iter()
            .filter(|(_, m)| m.zone == zone && m.status == MemberStatus::Up);
        let near = near.max_by_key(|(name, _)| place(id, name));
        let near = near.and_then(|(_, member)| member.control);
        near.or(self.settings.listen.control_plane)
    }

    /// Nodes with replicas that may take a backend's heartbeat, those of this node's zone first, in
    /// an order that differs by backend.
    fn replicas_for(&self, id: &str) -> Vec<Member> {
        let mut members = self.nearest_replicas();
        members.sort_by_key(|(name, member)| {
            (
                member.zone != self.settings.zone,
                std::cmp::Reverse(place(id, name)),
            )
        });
        members.into_iter().map(|(_, member)| member).collect()
    }

    /// Marks backends as silent whose heartbeats have stopped coming here. A node that is cut off
    /// can't tell: they go to other nodes, and it does not learn which of these are there.
    pub fn watch_backends(&self, now: Millis) {
        if !self.takes_registrations() {
            return;
        }
        let patience = 5 * self.settings.heartbeat_interval_ms / 2;
        self.forget_heartbeat_numbers();
        let orphans = self.orphaned_backends();
        let unresponsive = {
            let mut heard = lock(&self.heard_backends);
            heard.advance(now);
            for id in orphans {
                if !heard.is_monitored(&id) {
                    heard.record_heartbeat(id);
                }
            }
            heard.expired(patience)
        };
        for id in unresponsive {
            lock(&self.heard_backends).remove(&id);
            self.mark_silent(id);
        }
    }

    /// Forgets the numbers of backends that nobody knows any more.
    fn forget_heartbeat_numbers(&self) {
        let directory = lock(&self.directory);
        let is_known = |id: &CompactString| directory.get(&Key::Backend(id.clone())).is_some();
        lock(&self.heartbeat_numbers).retain(|id, _| is_known(id));
    }

    /// Backends whose heartbeats went to a node that is not there any more.
    fn orphaned_backends(&self) -> Vec<CompactString> {
        let directory = lock(&self.directory);
        let is_up = |name: &CompactString| {
            let member = directory.get(&Key::Member(name.clone()));
            matches!(member, Some(Value::Member(member)) if member.status == MemberStatus::Up)
        };
        let heard = |backend: &Backend| {
            backend.unresponsive || backend.phase == BackendPhase::Gone || is_up(&backend.owner)
        };
        directory
            .backends()
            .filter(|(_, backend)| !heard(backend))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn mark_silent(&self, id: CompactString) {
        let key = Key::Backend(id.clone());
        let held = match lock(&self.directory).get(&key) {
            Some(Value::Backend(backend)) => backend.clone(),
            _ => return,
        };
        let owner = Key::Member(held.owner.clone());
        let other_hears = held.owner != self.settings.node_name
            && matches!(lock(&self.directory).get(&owner), Some(Value::Member(m)) if m.status == MemberStatus::Up);
        if !held.unresponsive && held.phase != BackendPhase::Gone && !other_hears {
            log::info!("backend {id} is silent");
            self.put(
                key,
                Value::Backend(Backend {
                    unresponsive: true,
                    ..held
                }),
            );
        }
    }
}

/// A member's place in the order in which it is chosen for a backend.
pub(super) fn place(backend: &str, member: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (backend, member).hash(&mut hasher);
    hasher.finish()
}
