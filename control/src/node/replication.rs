//! Replication by the primary: one change at a time, stored by every required replica before it is
//! committed and acknowledged.
//!
//! Invariant: every replica that may become the primary of a later view stores every acknowledged
//! change. A view that this primary proposed and then abandoned would break the invariant: if a
//! witness has accepted that view, another proposer may still have it decided, with its other
//! in-sync set. A change therefore needs the acknowledgements of every view that this primary has
//! proposed, see [`ControlNode::required_acks`].

use super::pending_calls::PendingChange;
use super::primary::Stage;
use super::{ControlNode, Effect, Role};
use crate::Millis;
use crate::changes::Outcome;
use crate::message::Message;
use crate::state::{Position, Update};
use crate::view::ReplicaId;
use std::collections::BTreeSet;

impl ControlNode {
    /// Completes the start once every required replica, this one among them, stores the same state.
    pub(super) fn finish_start(&mut self, now: Millis) {
        let Some(view) = self.view() else { return };
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let Stage::Starting { synced, .. } = &primary.stage else {
            return;
        };
        if !self.required_acks().is_subset(synced) {
            return;
        }
        if view.in_sync.len() < self.min_in_sync() {
            return self.reconsider_view(now);
        }
        self.set_stage(Stage::Ready, "every in-sync replica has the same state");
        self.commit_tail(now);
        self.announce_lead(now);
        self.reconsider_view(now);
        self.confirm_calls(now);
        self.replicate_next(now);
    }

    /// The replicas that have to store a change before it is acknowledged: the in-sync set of the
    /// current view, and that of any view that this primary has proposed to follow it.
    pub(super) fn required_acks(&self) -> BTreeSet<ReplicaId> {
        let mut required = self
            .view()
            .map(|view| view.in_sync.clone())
            .unwrap_or_default();
        if let Role::Primary(primary) = &self.role {
            required.extend(primary.proposed.iter().cloned());
        }
        if let Some(attempt) = &self.attempt {
            required.extend(attempt.target().in_sync.iter().cloned());
        }
        required
    }

    /// Completes the current stage if all required acknowledgements have arrived. Abandoning a view
    /// change may reduce the required set without a further reply.
    pub(super) fn finish_stage(&mut self, now: Millis) {
        self.finish_start(now);
        self.finish_replication(now);
    }

    /// The smallest in-sync set that accepts changes: the replication factor, or the number of
    /// replicas where the fleet has fewer.
    pub(super) fn min_in_sync(&self) -> usize {
        let possible = self.view().map_or(1, |view| view.witnesses.len());
        self.timing.replication_factor.min(possible)
    }

    /// Replicates the next pending change, if none is in flight.
    pub(super) fn replicate_next(&mut self, now: Millis) {
        while self.leading_epoch(now).is_some()
            && self.attempt.is_none()
            && !self.is_storage_stalled(now)
        {
            let Role::Primary(primary) = &self.role else {
                return;
            };
            if primary.stage != Stage::Ready || now < primary.writes_stalled_until {
                return;
            }
            let Some(pending) = self.calls.next_change() else {
                return;
            };
            match self.state.evaluate(&pending.change) {
                Some(outcome) => {
                    self.calls.resolve(pending, outcome);
                    self.confirm_calls(now);
                }
                None => self.replicate(pending, now),
            }
        }
    }

    fn replicate(&mut self, pending: PendingChange, now: Millis) {
        let previous = self.last_position();
        let position = Position {
            index: self.state.position.index + 1,
            epoch: self.epoch(),
        };
        let update = Update {
            position,
            change: pending.change,
        };
        self.tail_ticket = Some(pending.ticket);
        self.append(update, now);
        self.set_stage(
            Stage::Replicating {
                since: now,
                stored: BTreeSet::new(),
            },
            "a change is being stored",
        );
        let mut receivers = self.required_acks();
        let Role::Primary(primary) = &self.role else {
            return;
        };
        receivers.extend(primary.joiners.keys().cloned());
        for replica in receivers {
            self.stream(&replica, previous);
        }
        self.synchronize_own();
    }

    /// Sends the newest update to a replica that stores, or was sent, all updates before it.
    fn stream(&mut self, replica: &ReplicaId, previous: Position) {
        let (last, own) = (self.last_position(), self.id().clone());
        let is_in_sync = self
            .view()
            .is_some_and(|view| view.in_sync.contains(replica));
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let transfer = primary.transfers.entry(replica.clone()).or_default();
        let has_all =
            is_in_sync || transfer.stored == Some(previous) || transfer.sent == Some(previous);
        if !has_all || *replica == own {
            return;
        }
        transfer.sent = Some(last);
        let epoch = self.epoch();
        if let Some(update) = self.tail.clone() {
            let updates = vec![update];
            self.send(
                replica.clone(),
                Message::Replicate {
                    epoch,
                    previous,
                    updates,
                },
            );
        }
    }

    /// The position before the update that is being replicated.
    pub(super) fn position_before_tail(&self) -> Position {
        self.state.position
    }

    pub(super) fn finish_replication(&mut self, now: Millis) {
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let Stage::Replicating { stored, .. } = &primary.stage else {
            return;
        };
        if self.required_acks().is_subset(stored) {
            self.set_stage(Stage::Ready, "all required replicas have stored the change");
            self.commit_tail(now);
            self.reconsider_view(now);
            self.replicate_next(now);
        }
    }

    /// Commits the tail, which every required replica stores, and acknowledges it.
    fn commit_tail(&mut self, now: Millis) {
        let position = self.last_position();
        self.commit_up_to(position, now);
        if let Some(ticket) = self.tail_ticket.take() {
            self.effects.push(Effect::Reply {
                ticket,
                outcome: Outcome::Committed,
            });
        }
        self.broadcast_committed();
    }

    pub(super) fn broadcast_committed(&mut self) {
        let (epoch, position) = (self.epoch(), self.state.position);
        for other in self.others() {
            self.send(other, Message::Committed { epoch, position });
        }
    }
}
