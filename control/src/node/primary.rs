//! What a primary keeps of its backups and witnesses.

use crate::Millis;
use crate::state::Position;
use crate::view::{ReplicaId, View};
use std::collections::{BTreeMap, BTreeSet};

/// What a primary is doing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// Bringing its backups to its own state.
    Starting { since: Millis, synced: BTreeSet<ReplicaId> },
    /// Nothing is under way.
    Ready,
    /// A change is being stored everywhere.
    Replicating { since: Millis, stored: BTreeSet<ReplicaId> },
}

/// A replica that asks to be taken in.
#[derive(Debug, Clone, Default)]
pub(super) struct Joiner {
    pub(super) installed: Option<Position>,
    pub(super) sent_at: Option<Millis>,
    pub(super) heard: Millis,
}

#[derive(Debug)]
pub(super) struct Primary {
    pub(super) stage: Stage,
    pub(super) since: Millis,
    pub(super) lease_until: Millis,
    pub(super) grants: BTreeMap<Millis, BTreeSet<ReplicaId>>,
    pub(super) heard: BTreeMap<ReplicaId, Millis>,
    pub(super) joiners: BTreeMap<ReplicaId, Joiner>,
    pub(super) heartbeat_at: Millis,
}

impl Primary {
    pub(super) fn last_heard(&self, replica: &ReplicaId) -> Millis {
        self.heard.get(replica).copied().unwrap_or(self.since)
    }

    /// In-sync replicas that were not heard, or have not stored what they were sent, for longer than `patience`.
    pub(super) fn unresponsive(
        &self,
        view: &View,
        own: &ReplicaId,
        patience: Millis,
        now: Millis,
    ) -> BTreeSet<ReplicaId> {
        let is_late = |replica: &ReplicaId| match &self.stage {
            Stage::Starting { since, synced } => now >= since + patience && !synced.contains(replica),
            Stage::Replicating { since, stored } => now >= since + patience && !stored.contains(replica),
            Stage::Ready => false,
        };
        let others = view.in_sync.iter().filter(|replica| *replica != own);
        others.filter(|r| now >= self.last_heard(r) + patience || is_late(r)).cloned().collect()
    }

    /// Whether replicas may be taken in without holding up anything else.
    pub(super) fn has_time_for_joiners(&self, view: &View) -> bool {
        match &self.stage {
            Stage::Ready => true,
            // Every backup is in step and yet the start has not ended: there are too few copies.
            Stage::Starting { synced, .. } => synced.len() + 1 >= view.in_sync.len(),
            Stage::Replicating { .. } => false,
        }
    }

    /// Replicas outside the in-sync set that store the primary's last change.
    pub(super) fn caught_up(&self, last: Position, patience: Millis, now: Millis) -> Vec<ReplicaId> {
        let caught_up = self
            .joiners
            .iter()
            .filter(|(_, joiner)| now < joiner.heard + patience && joiner.installed == Some(last));
        caught_up.map(|(replica, _)| replica.clone()).collect()
    }

    /// A witness outside the in-sync set that was not heard for so long.
    pub(super) fn silent_witness(
        &self,
        wanted: &View,
        own: &ReplicaId,
        silence: Millis,
        now: Millis,
    ) -> Option<ReplicaId> {
        let mut idle = wanted.witnesses.difference(&wanted.in_sync).filter(|witness| *witness != own);
        idle.find(|witness| now >= self.last_heard(witness) + silence).cloned()
    }
}

/// A view with one more in-sync replica. It takes the place of a former disk of the same node; a new node takes that of a
/// witness that has fallen silent, so that the next loss does not meet a majority that counts the dead.
pub(super) fn with_joiner(mut view: View, replica: &ReplicaId, silent: Option<ReplicaId>) -> View {
    let former = |other: &ReplicaId| other.node == replica.node && other != replica;
    let is_known = view.witnesses.iter().any(|witness| witness.node == replica.node);
    view.in_sync.retain(|other| !former(other));
    view.witnesses.retain(|other| !former(other));
    if let Some(silent) = silent.filter(|_| !is_known) {
        view.witnesses.remove(&silent);
    }
    view.in_sync.insert(replica.clone());
    view.witnesses.insert(replica.clone());
    view
}
