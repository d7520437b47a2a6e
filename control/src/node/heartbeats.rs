//! Heartbeats of the primary, its lease, and the handover of leadership.
//!
//! The primary renews its lease with every heartbeat that a majority of the witnesses grants (Gray
//! and Cheriton, "Leases", SOSP 1989). Times of different clocks are never compared. The primary
//! measures its lease from when the heartbeat was sent, a witness its grant from when the heartbeat
//! was received, so the primary stops before a witness may grant the lease to another one.

use super::primary::Contact;
use super::{ControlNode, Requester, Role};
use crate::Millis;
use crate::message::{Echo, Message};
use crate::state::Position;
use crate::view::{Epoch, Incarnation, ReplicaId, View};

/// The content of a [`Message::HeartbeatReply`] and the incarnation that sent it.
pub(super) struct HeartbeatReply {
    pub(super) sequence: u64,
    pub(super) granted: bool,
    pub(super) other_view: Option<View>,
    pub(super) wants_view: bool,
    pub(super) sent_at: Millis,
    pub(super) incarnation: Incarnation,
}

impl ControlNode {
    /// Sends a heartbeat to all other participants, which asks the witnesses among them for the
    /// lease. Returns its sequence number, which the replies carry.
    pub(super) fn send_heartbeats(&mut self, now: Millis) -> u64 {
        let (id, epoch) = (self.id().clone(), self.epoch());
        let committed = self.is_only_primary(now).then_some(self.state.position);
        let is_granted_here = self.witness.grant(&id, epoch, now);
        let others = self.others();
        let Role::Primary(primary) = &mut self.role else {
            return 0;
        };
        primary.heartbeat_at = now + self.timing.heartbeat_interval;
        let sequence = primary.lease.begin(now);
        if is_granted_here {
            primary.lease.record_grant(id, sequence);
        }
        let echo = |other: &ReplicaId| primary.contacts.get(other).and_then(|contact| contact.echo);
        let echoes: Vec<Option<Echo>> = others.iter().map(echo).collect();
        for (other, echo) in others.into_iter().zip(echoes) {
            self.send(
                other,
                Message::Heartbeat {
                    epoch,
                    sequence,
                    committed,
                    echo,
                },
            );
        }
        sequence
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: Requester,
        epoch: Epoch,
        sequence: u64,
        committed: Option<Position>,
        echo: Option<Echo>,
        now: Millis,
    ) {
        let is_current = self.is_primary_of(&from.replica, epoch) && !self.witness.is_released();
        if is_current {
            self.last_primary_contact = now;
            if let Some(committed) = committed {
                self.commit_up_to(committed, now);
                self.update_freshness(committed, echo);
            }
        }
        let granted = is_current && self.witness.grant(&from.replica, epoch, now);
        let other_view = self.view().filter(|view| view.epoch > epoch).cloned();
        let wants_view = self.epoch() < epoch;
        let reply = Message::HeartbeatReply {
            epoch,
            sequence,
            granted,
            other_view,
            wants_view,
            sent_at: now,
        };
        self.reply(from, reply);
    }

    /// Records the time of the echo as one at which the state here was current. This replica sent a
    /// reply at that time, and the primary was still the only one, with the newest state, when the
    /// reply arrived.
    fn update_freshness(&mut self, committed: Position, echo: Option<Echo>) {
        let own_echo = echo.filter(|echo| {
            echo.incarnation == self.identity.incarnation && self.state.position >= committed
        });
        self.current_at = self.current_at.max(own_echo.map(|echo| echo.at));
    }

    pub(super) fn on_heartbeat_reply(
        &mut self,
        from: ReplicaId,
        epoch: Epoch,
        reply: HeartbeatReply,
        now: Millis,
    ) {
        if let Some(view) = reply.other_view {
            return self.learn(view, now);
        }
        let view = self.view().filter(|view| view.epoch == epoch).cloned();
        let (Some(view), Role::Primary(primary)) = (view, &mut self.role) else {
            return;
        };
        let echo = Some(Echo {
            incarnation: reply.incarnation,
            at: reply.sent_at,
        });
        primary
            .contacts
            .insert(from.clone(), Contact { at: now, echo });
        if reply.granted {
            primary.lease.record_grant(from.clone(), reply.sequence);
        }
        if reply.wants_view {
            self.send(from, Message::Decided { view });
        }
        self.announce_lead(now);
        self.confirm_calls(now);
        self.replicate_next(now);
    }

    /// Sends heartbeats once this primary begins to lead in its view, as they tell the backups that
    /// their state is the newest. The regular ones would do so up to a heartbeat interval later.
    pub(super) fn announce_lead(&mut self, now: Millis) {
        if self.leading_epoch(now).is_none() {
            return;
        }
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        if !std::mem::replace(&mut primary.has_announced_lead, true) {
            self.send_heartbeats(now);
        }
    }

    pub(super) fn tick_primary(&mut self, now: Millis) {
        if self.is_storage_stalled(now) {
            return self.resign("a disk write exceeded the storage time-out", now);
        }
        self.track_lease(now);
        let must_resign = self.must_resign(now);
        let Role::Primary(primary) = &self.role else {
            return;
        };
        if now >= primary.heartbeat_at {
            self.send_heartbeats(now);
            self.retransmit(now);
        }
        if must_resign {
            // Replicas that still receive messages from this one need not wait for their time-out.
            return self.resign("the lease expired", now);
        }
        self.finish_stage(now);
        self.reconsider_view(now);
        self.confirm_calls(now);
        self.replicate_next(now);
    }

    /// Records when the lease was lost.
    fn track_lease(&mut self, now: Millis) {
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let is_settled = now >= primary.since + self.timing.lease;
        let is_lost = is_settled && now >= self.lease_expires_at(primary);
        if let Role::Primary(primary) = &mut self.role {
            primary.lease_lost_at = is_lost.then(|| primary.lease_lost_at.unwrap_or(now));
        }
    }

    /// Whether this primary has lost its lease and has to step down.
    ///
    /// It stays while a majority is out of reach and no other replica can become primary either, so
    /// that its backups know that their state is the newest. It does not stay for longer than
    /// [`Timing::minority_timeout`](super::Timing::minority_timeout), as a witness that grants its
    /// heartbeats may reach a majority that this replica does not reach.
    fn must_resign(&self, now: Millis) -> bool {
        let Role::Primary(primary) = &self.role else {
            return false;
        };
        let Some(lost_at) = primary.lease_lost_at else {
            return false;
        };
        !self.is_only_primary(now)
            || self.has_majority_responded_since(lost_at)
            || now >= lost_at + self.timing.minority_timeout
    }

    /// Whether a majority of the witnesses, this replica among them, has sent anything since then.
    fn has_majority_responded_since(&self, time: Millis) -> bool {
        let (Role::Primary(primary), Some(view)) = (&self.role, self.view()) else {
            return false;
        };
        let has_responded =
            |witness: &&ReplicaId| *witness == self.id() || primary.last_contact(witness) > time;
        view.witnesses.iter().filter(has_responded).count() >= view.majority()
    }

    /// Steps down, where this replica is primary, and releases the lease so that a backup may take
    /// over at once. `cause` is logged.
    pub fn resign(&mut self, cause: &'static str, now: Millis) {
        if !matches!(self.role, Role::Primary(_)) {
            return;
        }
        let epoch = self.epoch();
        self.attempt = None;
        self.transition(Role::Backup, cause);
        self.last_primary_contact = now + 2 * self.timing.lease;
        for other in self.others() {
            self.send(other, Message::Resign { epoch });
        }
        let id = self.id().clone();
        self.witness.release_lease(&id);
        self.process_inbox(now);
    }

    pub(super) fn on_resign(&mut self, from: ReplicaId, epoch: Epoch, now: Millis) {
        if !self.is_primary_of(&from, epoch) {
            return;
        }
        self.witness.release_lease(&from);
        self.last_primary_contact = now.saturating_sub(self.timing.lease);
        self.tick_backup(now);
    }
}
