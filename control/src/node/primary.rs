//! What a primary keeps of its backups and witnesses.

use super::lease::Lease;
use crate::Millis;
use crate::message::Echo;
use crate::state::Position;
use crate::view::{ReplicaId, View};
use std::collections::{BTreeMap, BTreeSet};

/// What a primary is doing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// Bringing its backups to its own state.
    Starting {
        since: Millis,
        synced: BTreeSet<ReplicaId>,
    },
    /// Nothing is under way.
    Ready,
    /// A change is being stored everywhere.
    Replicating {
        since: Millis,
        stored: BTreeSet<ReplicaId>,
    },
}

/// What a replica stores, and what it was sent to store more.
#[derive(Debug, Clone, Default)]
pub(super) struct Transfer {
    /// Its last stored change, as it said.
    pub(super) stored: Option<Position>,
    /// The last change that it was sent.
    pub(super) sent: Option<Position>,
    /// When it last stored something more, or was sent what it lacked.
    pub(super) progressed_at: Millis,
    /// How many whole states it was sent since it was last in step.
    pub(super) installs: u32,
}

/// When a replica was heard last.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contact {
    /// When.
    pub(super) at: Millis,
    /// The replica's own clock in its last answer to a heartbeat.
    pub(super) echo: Option<Echo>,
}

#[derive(Debug)]
pub(super) struct Primary {
    pub(super) stage: Stage,
    pub(super) since: Millis,
    pub(super) lease: Lease,
    pub(super) heard: BTreeMap<ReplicaId, Contact>,
    pub(super) transfers: BTreeMap<ReplicaId, Transfer>,
    /// Replicas outside the in-sync set that ask to be taken in, with when they last did.
    pub(super) joiners: BTreeMap<ReplicaId, Millis>,
    /// The in-sync set of the newest view that this primary proposed in the present epoch. As the
    /// proposal may be decided by whoever finds it, also after it was given up here, nothing is
    /// acknowledged without these.
    pub(super) proposed: BTreeSet<ReplicaId>,
    /// Replicas whose processes are about to end.
    pub(super) leaving: BTreeSet<ReplicaId>,
    pub(super) heartbeat_at: Millis,
    /// Until then no further change is ordered, so that a joiner can catch up.
    pub(super) writes_stalled_until: Millis,
}

impl Primary {
    pub(super) fn new(lease: Lease, heard: BTreeMap<ReplicaId, Contact>, now: Millis) -> Self {
        Primary {
            stage: Stage::Starting {
                since: now,
                synced: BTreeSet::new(),
            },
            since: now,
            lease,
            heard,
            transfers: BTreeMap::new(),
            joiners: BTreeMap::new(),
            proposed: BTreeSet::new(),
            leaving: BTreeSet::new(),
            heartbeat_at: now,
            writes_stalled_until: 0,
        }
    }

    pub(super) fn record_contact(&mut self, from: &ReplicaId, now: Millis) {
        self.heard
            .entry(from.clone())
            .or_insert(Contact {
                at: now,
                echo: None,
            })
            .at = now;
    }

    pub(super) fn last_contact(&self, replica: &ReplicaId) -> Millis {
        self.heard.get(replica).map_or(self.since, |heard| heard.at)
    }

    /// In-sync replicas that were not heard, or have not stored what they were sent, for longer
    /// than `timeout`.
    pub(super) fn unresponsive(
        &self,
        view: &View,
        own: &ReplicaId,
        timeout: Millis,
        now: Millis,
    ) -> BTreeSet<ReplicaId> {
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
            .filter(|r| now >= self.last_contact(r) + timeout || is_late(r))
            .cloned()
            .collect()
    }

    /// A replica that asks to be taken in, was heard lately, and stores everything that may have
    /// been acknowledged. While this primary starts, that is its last change, which an earlier
    /// primary may have acknowledged; later the last committed one, as what is under way was sent
    /// to the joiner too.
    pub(super) fn caught_up(
        &self,
        last: Position,
        committed: Position,
        timeout: Millis,
        now: Millis,
    ) -> Option<ReplicaId> {
        let is_here = |at: Millis| now < at + timeout;
        let is_starting = matches!(self.stage, Stage::Starting { .. });
        let is_in_step = |replica: &ReplicaId| {
            let stored = self
                .transfers
                .get(replica)
                .and_then(|transfer| transfer.stored);
            stored.is_some_and(|stored| stored == last || !is_starting && stored == committed)
        };
        let mut joiners = self
            .joiners
            .iter()
            .filter(|(replica, at)| is_here(**at) && is_in_step(replica));
        joiners
            .find(|(replica, _)| !self.leaving.contains(*replica))
            .map(|(replica, _)| replica.clone())
    }

    /// A witness outside the in-sync set that was not heard for so long, or is about to end.
    pub(super) fn unresponsive_witness(
        &self,
        wanted: &View,
        own: &ReplicaId,
        timeout: Millis,
        now: Millis,
    ) -> Option<ReplicaId> {
        let mut idle = wanted
            .witnesses
            .difference(&wanted.in_sync)
            .filter(|witness| *witness != own);
        idle.find(|witness| now >= self.last_contact(witness) + timeout)
            .cloned()
    }
}

/// A view with one more in-sync replica. It takes the place of a former disk of the same machine; a
/// new machine takes that of a witness that has fallen silent, so that the next loss does not meet
/// a majority that counts the dead.
pub(super) fn with_joiner(
    mut view: View,
    replica: &ReplicaId,
    unresponsive: Option<ReplicaId>,
) -> View {
    // Two processes can't have one address, so the former one has ended and its disk is gone.
    let is_former = |other: &ReplicaId| other.address == replica.address && other != replica;
    let has_place = view
        .witnesses
        .iter()
        .any(|other| other == replica || is_former(other));
    view.in_sync.retain(|other| !is_former(other));
    view.witnesses.retain(|other| !is_former(other));
    if let Some(unresponsive) = unresponsive.filter(|_| !has_place) {
        view.witnesses.remove(&unresponsive);
    }
    view.in_sync.insert(replica.clone());
    view.witnesses.insert(replica.clone());
    view
}
