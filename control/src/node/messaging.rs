//! Messages between replicas: receiving, dispatching to the module that handles them, and sending.
//!
//! Messages of a replica to itself, as its own witness or backup, go through the same inbox, so
//! local and remote requests share one code path.

use super::{ControlNode, Effect, Identity, Role, heartbeats};
use crate::Millis;
use crate::message::{Envelope, Message};
use crate::view::{Incarnation, ReplicaId, View};

/// The sender of a request, to which the reply is addressed. The reply carries the incarnation, so
/// a restarted process drops replies to requests from before its restart.
#[derive(Debug, Clone)]
pub(super) struct Requester {
    pub(super) replica: ReplicaId,
    pub(super) incarnation: Incarnation,
}

impl ControlNode {
    /// Handles a message from another replica. Messages to a former disk of this machine, and
    /// replies to a former process, are dropped.
    pub fn receive(&mut self, envelope: Envelope, now: Millis) {
        let is_stale = envelope
            .in_reply_to
            .is_some_and(|incarnation| incarnation != self.identity.incarnation);
        if envelope.to == self.identity.id && !is_stale {
            self.inbox.push_back(envelope);
            self.process_inbox(now);
        }
    }

    /// Handles all received messages, and those that this replica has sent itself.
    pub(super) fn process_inbox(&mut self, now: Millis) {
        while let Some(envelope) = self.inbox.pop_front() {
            // Only a reply proves that messages get through in both directions.
            if let Role::Primary(primary) = &mut self.role
                && envelope.in_reply_to.is_some()
            {
                primary.record_contact(&envelope.from, now);
            }
            self.handle(envelope, now);
        }
    }

    fn handle(&mut self, envelope: Envelope, now: Millis) {
        let Envelope {
            from,
            incarnation,
            message,
            ..
        } = envelope;
        let requester = Requester {
            replica: from.clone(),
            incarnation,
        };
        match message {
            Message::Heartbeat {
                epoch,
                sequence,
                committed,
                echo,
            } => {
                self.on_heartbeat(requester, epoch, sequence, committed, echo, now);
            }
            Message::HeartbeatReply {
                epoch,
                sequence,
                granted,
                other_view,
                wants_view,
                sent_at,
            } => {
                let reply = heartbeats::HeartbeatReply {
                    sequence,
                    granted,
                    other_view,
                    wants_view,
                    sent_at,
                    incarnation,
                };
                self.on_heartbeat_reply(from, epoch, reply, now);
            }
            Message::Prepare { current, number } => {
                self.on_prepare(requester, current, number, now)
            }
            Message::PrepareReply { number, vote } => self.on_vote(&from, &number, vote, now),
            Message::Accept { current, proposal } => {
                self.on_accept(requester, current, proposal, now)
            }
            Message::AcceptReply { number, answer } => {
                self.on_accept_reply(&from, &number, answer, now)
            }
            Message::Decided { view } => self.learn(view, now),
            Message::Synchronize { epoch } => self.on_synchronize(requester, epoch),
            Message::StoredPositions {
                epoch,
                last,
                committed,
            } => {
                if epoch == self.epoch() {
                    self.on_stored_positions(from, last, committed, now);
                }
            }
            Message::Install { epoch, state, tail } => {
                self.on_install(requester, epoch, state, tail, now)
            }
            Message::Replicate {
                epoch,
                previous,
                updates,
            } => {
                self.on_replicate(requester, epoch, previous, updates, now);
            }
            Message::Committed { epoch, position } => {
                if self.is_primary_of(&from, epoch) {
                    self.commit_up_to(position, now);
                }
            }
            Message::Join { last, committed } => self.on_join(from, last, committed, now),
            Message::Leave { epoch } => self.on_leave(from, epoch, now),
            Message::Resign { epoch } => self.on_resign(from, epoch, now),
        }
    }

    pub(super) fn others(&self) -> Vec<ReplicaId> {
        let participants = self.view().map(View::participants).unwrap_or_default();
        participants
            .into_iter()
            .filter(|replica| *replica != self.identity.id)
            .collect()
    }

    pub(super) fn envelope(
        &self,
        to: ReplicaId,
        in_reply_to: Option<Incarnation>,
        message: Message,
    ) -> Envelope {
        let Identity {
            id, incarnation, ..
        } = &self.identity;
        Envelope {
            from: id.clone(),
            incarnation: *incarnation,
            to,
            in_reply_to,
            message,
        }
    }

    /// Sends a message that is not a reply.
    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        let envelope = self.envelope(to, None, message);
        self.dispatch(envelope);
    }

    pub(super) fn reply(&mut self, requester: Requester, message: Message) {
        let envelope = self.envelope(requester.replica, Some(requester.incarnation), message);
        self.dispatch(envelope);
    }

    pub(super) fn dispatch(&mut self, envelope: Envelope) {
        if envelope.to == self.identity.id {
            self.inbox.push_back(envelope);
        } else {
            self.effects.push(Effect::Send(Box::new(envelope)));
        }
    }
}
