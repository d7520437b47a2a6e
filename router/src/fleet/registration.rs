//! Registration of backends: accepts or forwards their heartbeats, and detects missing ones.

use super::{FORWARD_TIMEOUT, Fleet};
use crate::protocol::{Request, Response};
use crate::rendezvous;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::{Backend, BackendPhase, Directory, Key, Member, MemberStatus, Value};
use control::rollout::is_contradicted;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time limit for a withdrawal to reach the disks of a majority of the voters.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of handling a heartbeat. The backend tries another node after a second.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(900);

impl Fleet {
    /// Registers a backend's heartbeat or deregistration, here or at a replica node. Returns `None`
    /// if it is not acknowledged, else the address for later heartbeats.
    pub async fn register(
        &self,
        id: CompactString,
        backend: Backend,
    ) -> Option<Option<SocketAddrV4>> {
        if self.replica.is_some() && !self.is_shutting_down() {
            return self.accept_backend(id, backend).await;
        }
        tokio::time::timeout(REGISTRATION_TIMEOUT, self.forward_registration(id, backend))
            .await
            .ok()
            .flatten()
    }

    async fn forward_registration(
        &self,
        id: CompactString,
        backend: Backend,
    ) -> Option<Option<SocketAddrV4>> {
        for member in self.replicas_for(&id) {
            let request = Request::Register {
                id: id.clone(),
                backend: backend.clone(),
            };
            let response = self
                .links
                .call(member.internal, request, FORWARD_TIMEOUT / 2)
                .await;
            if let Some(Response::Registered(address)) = response {
                return Some(address);
            }
        }
        None
    }

    /// Other replica nodes that are up, those of this node's zone first.
    pub fn nearest_replicas(&self) -> Vec<(CompactString, Member)> {
        let mut members = self.replica_members();
        members.retain(|(name, member)| {
            member.status == MemberStatus::Up && *name != self.settings.node_name
        });
        members.sort_by_key(|(name, member)| (member.zone != self.settings.zone, name.clone()));
        members
    }

    /// Accepts a heartbeat or deregistration at a replica node. A heartbeat is acknowledged if this
    /// node can propagate it to the fleet. A withdrawal is acknowledged only after a majority of the
    /// voters has it on disk: all routers have to honour an acknowledged one, also after all
    /// processes were killed, or the tolerated number of disks was lost while the power failed.
    pub(super) async fn accept_backend(
        &self,
        id: CompactString,
        mut backend: Backend,
    ) -> Option<Option<SocketAddrV4>> {
        let is_withdrawal = backend.phase != BackendPhase::Ready;
        if !is_withdrawal && !self.accepts_registrations() {
            return None;
        }
        backend.owner = self.settings.node_name.clone();
        let phase = backend.phase;
        let key = Key::Backend(id.clone());
        if backend.phase == BackendPhase::Gone {
            lock(&self.monitored_backends).remove(&id);
        } else {
            lock(&self.monitored_backends).record_heartbeat(id.clone());
        }
        let zone = backend.zone.clone();
        let address = self.heartbeat_address(&id, &zone);
        let is_accepted = self.is_newest(&id, &backend) && self.put_backend(key.clone(), backend);
        if is_accepted {
            log::debug!("backend {id} is now {phase:?}");
        }
        // A draining that a newer heartbeat has revoked must not be acknowledged, as routers
        // would keep sending requests to the backend.
        if is_withdrawal
            && !(self.rejects_requests(&key)
                && self.reaches_majority(&key, WITHDRAWAL_TIMEOUT).await)
        {
            log::info!(
                "backend {id}: {phase:?} is not acknowledged, as no majority has it on disk in time"
            );
            return None;
        }
        if is_withdrawal {
            log::info!("backend {id}: {phase:?} is acknowledged");
        }
        Some(address)
    }

    fn rejects_requests(&self, key: &Key) -> bool {
        let directory = lock(&self.directory);
        matches!(directory.get(key), Some(Value::Backend(backend)) if backend.phase != BackendPhase::Ready)
    }

    /// Returns whether this node has received no newer heartbeat of the backend. A deregistration
    /// is always the newest.
    fn is_newest(&self, id: &CompactString, backend: &Backend) -> bool {
        if backend.phase == BackendPhase::Gone {
            return true;
        }
        let mut sequences = lock(&self.heartbeat_sequences);
        let newest = sequences.entry(id.clone()).or_default();
        *newest = backend.sequence.max(*newest);
        *newest == backend.sequence
    }

    /// Writes a backend's record if its content is new. A heartbeat with only a new sequence number
    /// is not propagated, unless it contradicts a completed order: then other nodes need the number
    /// to see that the heartbeat is newer than the order.
    fn put_backend(&self, key: Key, backend: Backend) -> bool {
        let changed = self.update_directory(|directory| {
            let accepted = accepted_record(directory, &key, backend);
            accepted.is_some_and(|backend| directory.put(key, Value::Backend(backend)))
        });
        if changed {
            self.notify_change();
        }
        changed
    }

    /// The address for a backend's heartbeats: a replica node in its zone, chosen by rendezvous
    /// hashing, or this node if there is none.
    fn heartbeat_address(&self, id: &str, zone: &str) -> Option<SocketAddrV4> {
        let members = self.replica_members();
        let candidates = members
            .iter()
            .filter(|(_, m)| m.zone == zone && m.status == MemberStatus::Up);
        let candidates = candidates.max_by_key(|(name, _)| rendezvous::score(&(id, name.as_str())));
        let candidates = candidates.and_then(|(_, member)| member.control);
        candidates.or(self.settings.listen.control_plane)
    }

    /// Replica nodes to forward a backend's heartbeat to: those of this node's zone first, each
    /// group ordered by rendezvous hashing.
    fn replicas_for(&self, id: &str) -> Vec<Member> {
        let mut members = self.nearest_replicas();
        members.sort_by_key(|(name, member)| {
            (
                member.zone != self.settings.zone,
                std::cmp::Reverse(rendezvous::score(&(id, name.as_str()))),
            )
        });
        members.into_iter().map(|(_, member)| member).collect()
    }

    /// Marks backends as unresponsive whose heartbeats to this node have stopped. A partitioned
    /// node marks none: backends send their heartbeats to other nodes meanwhile, and it can't tell
    /// which of these nodes are up.
    pub fn watch_backends(&self, now: Millis) {
        if !self.accepts_registrations() {
            return;
        }
        let timeout = 5 * self.settings.heartbeat_interval_ms / 2;
        self.prune_heartbeat_sequences();
        let orphans = self.orphaned_backends();
        let unresponsive = {
            let mut detector = lock(&self.monitored_backends);
            detector.advance(now);
            for id in orphans {
                if !detector.is_monitored(&id) {
                    detector.record_heartbeat(id);
                }
            }
            detector.expired(timeout)
        };
        for id in unresponsive {
            lock(&self.monitored_backends).remove(&id);
            self.mark_unresponsive(id);
        }
    }

    /// Removes the sequence numbers of backends that were removed.
    fn prune_heartbeat_sequences(&self) {
        let directory = lock(&self.directory);
        let is_known = |id: &CompactString| directory.get(&Key::Backend(id.clone())).is_some();
        lock(&self.heartbeat_sequences).retain(|id, _| is_known(id));
    }

    /// Responsive backends whose heartbeats went to a node that is down.
    fn orphaned_backends(&self) -> Vec<CompactString> {
        let directory = lock(&self.directory);
        let is_up = |name: &CompactString| {
            let member = directory.get(&Key::Member(name.clone()));
            matches!(member, Some(Value::Member(member)) if member.status == MemberStatus::Up)
        };
        let needs_no_monitor = |backend: &Backend| {
            backend.unresponsive || backend.phase == BackendPhase::Gone || is_up(&backend.owner)
        };
        directory
            .backends()
            .filter(|(_, backend)| !needs_no_monitor(backend))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn mark_unresponsive(&self, id: CompactString) {
        let key = Key::Backend(id.clone());
        let current = match lock(&self.directory).get(&key) {
            Some(Value::Backend(backend)) => backend.clone(),
            _ => return,
        };
        let owner = Key::Member(current.owner.clone());
        let other_node_monitors = current.owner != self.settings.node_name
            && matches!(lock(&self.directory).get(&owner), Some(Value::Member(m)) if m.status == MemberStatus::Up);
        if !current.unresponsive && current.phase != BackendPhase::Gone && !other_node_monitors {
            log::info!("backend {id} is unresponsive: its heartbeats have stopped");
            self.put(
                key,
                Value::Backend(Backend {
                    unresponsive: true,
                    ..current
                }),
            );
        }
    }
}

/// The record to write for a backend's heartbeat or deregistration; `None` if it brings nothing new.
fn accepted_record(directory: &Directory, key: &Key, backend: Backend) -> Option<Backend> {
    let Some(Value::Backend(current)) = directory.get(key) else {
        return Some(backend);
    };
    if current.phase == BackendPhase::Gone || current.sequence > backend.sequence {
        return None;
    }
    let same_content = Backend {
        sequence: current.sequence,
        ..backend.clone()
    };
    let is_contradiction = match key {
        Key::Backend(id) => directory
            .order(id)
            .is_some_and(|order| is_contradicted(&backend, order)),
        _ => false,
    };
    if same_content == *current && !is_contradiction {
        return None;
    }
    // A deregistration carries nothing but the id.
    if backend.phase == BackendPhase::Gone {
        return Some(Backend {
            phase: BackendPhase::Gone,
            ..current.clone()
        });
    }
    Some(backend)
}
