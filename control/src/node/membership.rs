//! Membership of the replication group: bootstrap, joining, leaving, and removal of unresponsive
//! replicas.
//!
//! Invariant: the removal of a member never makes the in-sync set smaller than the replication
//! factor, so each acknowledged change keeps that many copies. One joiner is added at a time.

use super::primary::with_joiner;
use super::{ControlNode, Role};
use crate::Millis;
use crate::message::Message;
use crate::proposer::Intent;
use crate::state::Position;
use crate::view::{BOOTSTRAP_EPOCH, Epoch, ReplicaId, View};
use std::collections::BTreeSet;

impl ControlNode {
    /// Proposes the first view of a new system to the electorate, which consists of the replicas at
    /// the addresses of the seeds at the system's first start. Several of them may propose; only
    /// one view is decided. `replicas` become its members; there have to be enough of them, see
    /// [`Timing::min_first_view`](super::Timing::min_first_view).
    pub fn bootstrap(
        &mut self,
        electorate: BTreeSet<ReplicaId>,
        replicas: BTreeSet<ReplicaId>,
        now: Millis,
    ) {
        if replicas.len() < self.timing.min_first_view(electorate.len()) {
            return;
        }
        let Some(current) = View::bootstrap(electorate) else {
            return;
        };
        let Some(primary) = replicas.first().cloned() else {
            return;
        };
        if !self.identity.may_bootstrap || self.view().is_some() || self.attempt.is_some() {
            return;
        }
        let epoch = BOOTSTRAP_EPOCH + 1;
        let wanted = View {
            epoch,
            primary,
            in_sync: replicas.clone(),
            witnesses: replicas,
        };
        self.propose_view(current, wanted, Intent::Change, now);
        self.process_inbox(now);
    }

    /// Starts a graceful shutdown: a primary steps down, and the others are asked to remove this
    /// replica from the in-sync set.
    pub fn leave(&mut self, now: Millis) {
        self.leaving = true;
        self.resign("the process is shutting down", now);
        self.join_at = now;
        self.tick_membership(now);
        self.process_inbox(now);
    }

    /// Whether the process may exit: no change requires this replica's acknowledgement or its copy.
    pub fn can_shut_down(&self) -> bool {
        self.view()
            .is_none_or(|view| !view.in_sync.contains(self.id()))
    }

    /// Asks to join if this replica is outside the in-sync set, and to leave if it is shutting
    /// down. All known replicas are asked, as the primary may not be known here.
    pub(super) fn tick_membership(&mut self, now: Millis) {
        if now < self.join_at || self.is_storage_stalled(now) {
            return;
        }
        let is_in_sync = self
            .view()
            .is_some_and(|view| view.in_sync.contains(self.id()));
        let message = match (self.leaving, is_in_sync) {
            (true, true) => Message::Leave {
                epoch: self.epoch(),
            },
            (false, false) => Message::Join {
                last: self.last_position(),
                committed: self.state.position,
            },
            _ => return,
        };
        self.join_at = now + self.timing.join_interval;
        let mut asked = self.view().map(View::participants).unwrap_or_default();
        asked.extend(self.known_replicas.iter().cloned());
        asked.remove(self.id());
        for replica in asked {
            self.send(replica, message.clone());
        }
    }

    pub(super) fn on_join(
        &mut self,
        from: ReplicaId,
        last: Position,
        committed: Position,
        now: Millis,
    ) {
        let Some(view) = self
            .view()
            .filter(|view| !view.in_sync.contains(&from))
            .cloned()
        else {
            return;
        };
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        primary.joiners.insert(from.clone(), now);
        primary.leaving.remove(&from);
        self.send(from.clone(), Message::Decided { view });
        self.on_stored_positions(from, last, committed, now);
    }

    pub(super) fn on_leave(&mut self, from: ReplicaId, epoch: Epoch, now: Millis) {
        if epoch != self.epoch() {
            return;
        }
        if let Role::Primary(primary) = &mut self.role {
            primary.leaving.insert(from);
            self.reconsider_view(now);
        }
    }

    /// Proposes another view where replicas are unresponsive or leaving, or a joiner has caught up.
    pub(super) fn reconsider_view(&mut self, now: Millis) {
        if self.attempt.is_some() || now < self.next_attempt_at {
            return;
        }
        let Some(view) = self.view().cloned() else {
            return;
        };
        let wanted = self.wanted_view(&view, now);
        // Another proposer may still complete a proposal that this replica abandoned. Deciding the
        // next view, even with the same members, rules that out.
        let has_open_proposal = !self.required_acks().is_subset(&view.in_sync);
        if wanted != view || has_open_proposal {
            self.propose_view(view, wanted, Intent::Change, now);
        }
    }

    /// The view that this primary prefers at present.
    fn wanted_view(&self, view: &View, now: Millis) -> View {
        let mut wanted = view.clone();
        let Role::Primary(primary) = &self.role else {
            return wanted;
        };
        let (own, timing) = (self.id(), &self.timing);
        let unresponsive = primary.unresponsive(view, own, timing, now);
        let unresponsive_witness =
            |wanted: &View| primary.unresponsive_witness(wanted, own, timing.witness_timeout, now);
        let joiner = primary.caught_up(
            self.last_position(),
            self.state.position,
            timing.replica_timeout,
            now,
        );
        if let Some(joiner) = &joiner {
            wanted.in_sync.insert(joiner.clone());
        }
        let leaving = primary
            .leaving
            .iter()
            .filter(|member| !unresponsive.contains(*member));
        for member in unresponsive.iter().chain(leaving) {
            if wanted.in_sync.len() > self.min_in_sync() {
                wanted.in_sync.remove(member);
            }
        }
        if let Some(joiner) = &joiner {
            let replaced = unresponsive_witness(&wanted);
            return with_joiner(wanted, joiner, replaced);
        }
        if view.witnesses.len() > self.timing.min_witnesses()
            && let Some(witness) = unresponsive_witness(&wanted)
        {
            wanted.witnesses.remove(&witness);
        }
        wanted
    }
}
