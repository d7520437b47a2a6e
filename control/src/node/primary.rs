//! What a primary tracks about its backups and witnesses.

use super::lease::Lease;
use super::timing::Timing;
use crate::Millis;
use crate::message::Echo;
use crate::state::Position;
use crate::view::{ReplicaId, View};
use std::collections::{BTreeMap, BTreeSet};

/// The stage of a primary's work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// Synchronizing its backups with its own state.
    Starting {
        since: Millis,
        synced: BTreeSet<ReplicaId>,
    },
    /// No change is in flight.
    Ready,
    /// One change is in flight.
    Replicating {
        since: Millis,
        stored: BTreeSet<ReplicaId>,
    },
}

/// The progress of state transfer to a replica.
#[derive(Debug, Clone, Default)]
pub(super) struct Transfer {
    /// The last update that the replica reported as stored.
    pub(super) stored: Option<Position>,
    /// The last update that was sent to the replica.
    pub(super) sent: Option<Position>,
    /// When the replica last made progress, or was last sent updates or a full state.
    pub(super) progressed_at: Millis,
    /// The number of full states sent since the replica last stored the newest update.
    pub(super) installs: u32,
}

/// The last reply of a replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contact {
    /// When it was received.
    pub(super) at: Millis,
    /// The replica's own clock in its last heartbeat reply.
    pub(super) echo: Option<Echo>,
}

/// The state of a primary.
#[derive(Debug)]
pub(super) struct Primary {
    pub(super) stage: Stage,
    /// When this view began.
    pub(super) since: Millis,
    /// When the first of the consecutive views of this primary began.
    pub(super) leading_since: Millis,
    pub(super) lease: Lease,
    /// Whether heartbeats were sent since this primary began to lead in its view.
    pub(super) has_announced_lead: bool,
    /// When the lease was found to have expired, until it is held again.
    pub(super) lease_lost_at: Option<Millis>,
    pub(super) contacts: BTreeMap<ReplicaId, Contact>,
    pub(super) transfers: BTreeMap<ReplicaId, Transfer>,
    /// Replicas outside the in-sync set that ask to join, with when they last did.
    pub(super) joiners: BTreeMap<ReplicaId, Millis>,
    /// The in-sync set of the newest view that this primary proposed in the current epoch. Another
    /// proposer may still complete that proposal after it was abandoned here, so no change is
    /// acknowledged without these replicas.
    pub(super) proposed: BTreeSet<ReplicaId>,
    /// Replicas whose processes are shutting down.
    pub(super) leaving: BTreeSet<ReplicaId>,
    pub(super) heartbeat_at: Millis,
    /// No further change is replicated before this time, so that a joiner can catch up.
    pub(super) writes_stalled_until: Millis,
}

impl Primary {
    pub(super) fn new(lease: Lease, contacts: BTreeMap<ReplicaId, Contact>, now: Millis) -> Self {
        Primary {
            stage: Stage::Starting {
                since: now,
                synced: BTreeSet::new(),
            },
            since: now,
            leading_since: now,
            lease,
            has_announced_lead: false,
            lease_lost_at: None,
            contacts,
            transfers: BTreeMap::new(),
            joiners: BTreeMap::new(),
            proposed: BTreeSet::new(),
            leaving: BTreeSet::new(),
            heartbeat_at: now,
            writes_stalled_until: 0,
        }
    }

    pub(super) fn record_contact(&mut self, from: &ReplicaId, now: Millis) {
        self.contacts
            .entry(from.clone())
            .or_insert(Contact {
                at: now,
                echo: None,
            })
            .at = now;
    }

    pub(super) fn last_contact(&self, replica: &ReplicaId) -> Millis {
        self.contacts
            .get(replica)
            .map_or(self.since, |contact| contact.at)
    }

    /// In-sync replicas that do not reply, or have not stored what they were sent, for too long.
    pub(super) fn unresponsive(
        &self,
        view: &View,
        own: &ReplicaId,
        timing: &Timing,
        now: Millis,
    ) -> BTreeSet<ReplicaId> {
        let timeout = timing.replication_timeout;
        let is_late = |replica: &ReplicaId| match &self.stage {
            Stage::Starting { since, synced } => {
                now >= since + timeout && !synced.contains(replica)
            }
            Stage::Replicating { since, stored } => {
                now >= since + timeout && !stored.contains(replica)
            }
            Stage::Ready => false,
        };
        let others = view.in_sync.iter().filter(|replica| *replica != own);
        others
            .filter(|r| now >= self.last_contact(r) + timing.replica_timeout || is_late(r))
            .cloned()
            .collect()
    }

    /// A responsive joiner that stores every change which may have been acknowledged. While this
    /// primary starts, these include its tail, which an earlier primary may have acknowledged;
    /// later the last committed change suffices, as the change in flight was sent to the joiner
    /// too.
    pub(super) fn caught_up(
        &self,
        last: Position,
        committed: Position,
        timeout: Millis,
        now: Millis,
    ) -> Option<ReplicaId> {
        let is_responsive = |at: Millis| now < at + timeout;
        let is_starting = matches!(self.stage, Stage::Starting { .. });
        let is_caught_up = |replica: &ReplicaId| {
            let stored = self
                .transfers
                .get(replica)
                .and_then(|transfer| transfer.stored);
            stored.is_some_and(|stored| stored == last || !is_starting && stored == committed)
        };
        let mut joiners = self
            .joiners
            .iter()
            .filter(|(replica, at)| is_responsive(**at) && is_caught_up(replica));
        joiners
            .find(|(replica, _)| !self.leaving.contains(*replica))
            .map(|(replica, _)| replica.clone())
    }

    /// A witness outside the in-sync set from which nothing was received for `timeout`.
    pub(super) fn unresponsive_witness(
        &self,
        wanted: &View,
        own: &ReplicaId,
        timeout: Millis,
        now: Millis,
    ) -> Option<ReplicaId> {
        let mut witnesses = wanted
            .witnesses
            .difference(&wanted.in_sync)
            .filter(|witness| *witness != own);
        witnesses
            .find(|witness| now >= self.last_contact(witness) + timeout)
            .cloned()
    }
}

/// The view with `replica` added to the in-sync set and the witnesses. The joiner replaces the
/// replica on a former disk of the same machine. A new machine replaces an unresponsive witness, so
/// that the majority does not depend on a lost witness when the next replica fails.
pub(super) fn with_joiner(
    mut view: View,
    replica: &ReplicaId,
    unresponsive: Option<ReplicaId>,
) -> View {
    // Two processes cannot share an address, so the former one has exited and its disk is lost.
    let is_former = |other: &ReplicaId| other.address == replica.address && other != replica;
    let was_witness = view
        .witnesses
        .iter()
        .any(|other| other == replica || is_former(other));
    view.in_sync.retain(|other| !is_former(other));
    view.witnesses.retain(|other| !is_former(other));
    if let Some(unresponsive) = unresponsive.filter(|_| !was_witness) {
        view.witnesses.remove(&unresponsive);
    }
    view.in_sync.insert(replica.clone());
    view.witnesses.insert(replica.clone());
    view
}
