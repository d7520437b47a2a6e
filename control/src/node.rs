//! One replica of the control state: primary or backup, and witness.
//!
//! The primary orders one change at a time. A change is acknowledged once every in-sync replica has
//! stored it; a replica that falls silent is taken out of the in-sync set by a new view, and taken
//! in again once it has caught up. Only an in-sync replica may become primary, so every
//! acknowledged change outlives a failover. The lease that a majority of witnesses grants makes
//! singleton work exclusive; whatever else is answered without a change being stored is confirmed
//! by a majority after the call came.

mod lease;
mod membership;
mod orders;
mod pending_calls;
mod primary;
mod recent_updates;
mod replication;
mod timing;
mod views;

pub use timing::Timing;

use pending_calls::PendingCalls;
use primary::{Primary, Stage};
use recent_updates::RecentUpdates;

use crate::Millis;
use crate::changes::{Change, Outcome, ReadOutcome};
use crate::message::{Envelope, Message};
use crate::proposer::Attempt;
use crate::rollout::FormerOwner;
use crate::state::{ControlState, Position, Update};
use crate::storage::{Record, Recovered};
use crate::view::{Epoch, Incarnation, ReplicaId, View};
use crate::witness::Witness;
use std::collections::{BTreeSet, VecDeque};

/// Identifies a caller that waits for an answer.
pub type Ticket = u64;

/// What the program has to do for a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message.
    Send(Box<Envelope>),
    /// Store records, in order; then call [`ControlNode::stored`].
    Store {
        /// The number of the write.
        sequence: u64,
        /// What to store.
        records: Vec<Record>,
    },
    /// Tell a caller what came of its change.
    Reply {
        /// Which caller.
        ticket: Ticket,
        /// What came of it.
        outcome: Outcome,
    },
    /// Tell a caller the newest configuration.
    Read {
        /// Which caller.
        ticket: Ticket,
        /// What it is told.
        reading: ReadOutcome,
    },
    /// The committed state has changed.
    Committed,
    /// The role has changed; for the log.
    Entered {
        /// The new role.
        role: RoleName,
        /// The epoch.
        epoch: Epoch,
        /// Why.
        cause: &'static str,
    },
}

/// The name of a role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// In no view.
    Outside,
    /// Follows a primary.
    Backup,
    /// Primary, and not yet in step with its backups.
    StartingPrimary,
    /// Primary.
    Primary,
}

#[derive(Debug)]
enum Role {
    Outside,
    Backup,
    Primary(Box<Primary>),
}

/// Who a replica is, and how it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The replica.
    pub id: ReplicaId,
    /// Drawn for this run of the process.
    pub incarnation: Incarnation,
    /// Whether it started together with the system, so that it may vote on the first view.
    pub may_bootstrap: bool,
}

/// One replica.
#[derive(Debug)]
pub struct ControlNode {
    identity: Identity,
    timing: Timing,
    witness: Witness,
    state: ControlState,
    tail: Option<Update>,
    tail_ticket: Option<Ticket>,
    recent_updates: RecentUpdates,
    role: Role,
    leaving: bool,
    attempt: Option<Attempt>,
    retransmit_at: Millis,
    proposal_round: u64,
    last_primary_contact: Millis,
    current_at: Option<Millis>,
    next_attempt_at: Millis,
    join_at: Millis,
    known_replicas: BTreeSet<ReplicaId>,
    calls: PendingCalls,
    former_owner: FormerOwner,
    last_write: u64,
    last_durable_write: u64,
    write_pending_since: Millis,
    pending_replies: VecDeque<(u64, Envelope)>,
    inbox: VecDeque<Envelope>,
    effects: Vec<Effect>,
}

impl ControlNode {
    /// A replica that starts with what its disk holds.
    pub fn new(identity: Identity, recovered: Recovered, timing: Timing, now: Millis) -> Self {
        let view = recovered.votes.decided.as_ref();
        // The primary on file asks for its role back at once; others wait for it.
        let own = view.is_some_and(|view| view.primary == identity.id);
        let role = if view.is_some() {
            Role::Backup
        } else {
            Role::Outside
        };
        let last = recovered
            .tail
            .as_ref()
            .map_or(recovered.state.position, |tail| tail.position);
        let mut node = ControlNode {
            witness: Witness::new(recovered.votes, identity.may_bootstrap, timing.lease, now),
            role,
            state: recovered.state,
            tail: recovered.tail,
            tail_ticket: None,
            recent_updates: RecentUpdates::new(last),
            identity,
            timing,
            leaving: false,
            attempt: None,
            retransmit_at: 0,
            proposal_round: 0,
            last_primary_contact: if own { 0 } else { now },
            current_at: None,
            next_attempt_at: 0,
            join_at: 0,
            known_replicas: BTreeSet::new(),
            calls: PendingCalls::default(),
            former_owner: FormerOwner::default(),
            last_write: 0,
            last_durable_write: 0,
            write_pending_since: now,
            pending_replies: VecDeque::new(),
            inbox: VecDeque::new(),
            effects: Vec::new(),
        };
        node.track_rollout_owner(now);
        node
    }

    /// Which replica this is.
    pub fn id(&self) -> &ReplicaId {
        &self.identity.id
    }

    /// The committed state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The newest view that is known to be decided.
    pub fn view(&self) -> Option<&View> {
        self.witness.decided()
    }

    /// The epoch of that view; 0 where there is none.
    pub fn epoch(&self) -> Epoch {
        self.witness.votes().epoch()
    }

    /// The present role.
    pub fn role(&self) -> RoleName {
        match &self.role {
            Role::Outside => RoleName::Outside,
            Role::Backup => RoleName::Backup,
            Role::Primary(primary) if matches!(primary.stage, Stage::Starting { .. }) => {
                RoleName::StartingPrimary
            }
            Role::Primary(_) => RoleName::Primary,
        }
    }

    /// What a snapshot of this replica holds.
    pub fn snapshot(&self) -> Recovered {
        Recovered {
            disk: self.identity.id.disk,
            votes: self.witness.votes().clone(),
            state: self.state.clone(),
            tail: self.tail.clone(),
        }
    }

    /// Whether this replica is the primary, is in step with its backups and holds the lease at
    /// `now`; then singleton work may be done under the epoch as fencing token.
    pub fn leading_epoch(&self, now: Millis) -> Option<Epoch> {
        self.lease(now).map(|(epoch, _)| epoch)
    }

    /// The epoch under which this replica leads, and until when as far as its lease is known now.
    pub fn lease(&self, now: Millis) -> Option<(Epoch, Millis)> {
        match &self.role {
            Role::Primary(primary) if !matches!(primary.stage, Stage::Starting { .. }) => {
                let until = self.lease_expires_at(primary);
                (now < until).then(|| (self.epoch(), until))
            }
            _ => None,
        }
    }

    fn lease_expires_at(&self, primary: &Primary) -> Millis {
        let lasts = self.timing.lease - self.timing.lease_margin;
        self.view()
            .map_or(0, |view| primary.lease.expires_at(view, lasts))
    }

    /// When the committed state here was the newest for certain: this replica led, or its primary
    /// did and knew it then.
    pub fn current_at(&self, now: Millis) -> Option<Millis> {
        if self.leading_epoch(now).is_some() {
            Some(now)
        } else {
            self.current_at
        }
    }

    /// Other replicas that are known to exist, of which one may be asked to be taken in.
    pub fn set_known_replicas(&mut self, replicas: BTreeSet<ReplicaId>) {
        self.known_replicas = replicas;
    }

    /// Takes what has to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// A change that a caller asks for; the outcome comes as an effect.
    pub fn submit(&mut self, ticket: Ticket, change: Change, now: Millis) {
        if !matches!(self.role, Role::Primary(_)) {
            self.effects.push(Effect::Reply {
                ticket,
                outcome: Outcome::Unknown,
            });
            return;
        }
        self.calls.submit(ticket, change, now);
        self.replicate_next(now);
        self.process_inbox(now);
    }

    /// A caller asks for the newest configuration; the answer comes as an effect.
    pub fn read(&mut self, ticket: Ticket, now: Millis) {
        if !matches!(self.role, Role::Primary(_)) {
            self.effects.push(Effect::Read {
                ticket,
                reading: ReadOutcome::Unknown,
            });
            return;
        }
        self.calls.read(ticket, now);
        self.confirm_calls(now);
        self.process_inbox(now);
    }

    /// The writes up to this one are on disk.
    pub fn on_stored(&mut self, sequence: u64, now: Millis) {
        self.last_durable_write = self.last_durable_write.max(sequence);
        self.write_pending_since = now;
        self.release_replies();
        self.process_inbox(now);
    }

    /// A message from another replica.
    pub fn receive(&mut self, envelope: Envelope, now: Millis) {
        let is_late = envelope
            .in_reply_to
            .is_some_and(|incarnation| incarnation != self.identity.incarnation);
        if envelope.to == self.identity.id && !is_late {
            self.inbox.push_back(envelope);
            self.process_inbox(now);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        self.expire_calls(now);
        match &self.role {
            Role::Primary(_) => self.tick_primary(now),
            Role::Backup => self.tick_backup(now),
            Role::Outside => {}
        }
        self.tick_membership(now);
        self.tick_attempt(now);
        self.process_inbox(now);
    }

    // ---- state changes
    // -------------------------------------------------------------------------------------

    /// The one place where the role changes.
    fn transition(&mut self, role: Role, cause: &'static str) {
        let was_primary = matches!(self.role, Role::Primary(_));
        let before = self.role();
        self.role = role;
        if was_primary && !matches!(self.role, Role::Primary(_)) {
            // Whoever waits can't be told what will become of its call.
            self.tail_ticket.take().into_iter().for_each(|ticket| {
                self.effects.push(Effect::Reply {
                    ticket,
                    outcome: Outcome::Unknown,
                });
            });
            self.effects.extend(self.calls.give_up());
        }
        if self.role() != before {
            self.effects.push(Effect::Entered {
                role: self.role(),
                epoch: self.epoch(),
                cause,
            });
        }
    }

    fn set_stage(&mut self, stage: Stage, cause: &'static str) {
        let before = self.role();
        if let Role::Primary(primary) = &mut self.role {
            primary.stage = stage;
        }
        if self.role() != before {
            self.effects.push(Effect::Entered {
                role: self.role(),
                epoch: self.epoch(),
                cause,
            });
        }
    }

    // ---- messages
    // ------------------------------------------------------------------------------------------

    /// Handles what this replica has said to itself, and what came from others.
    fn process_inbox(&mut self, now: Millis) {
        while let Some(envelope) = self.inbox.pop_front() {
            if let Role::Primary(primary) = &mut self.role {
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
                let reply = views::HeartbeatReply {
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

    fn others(&self) -> Vec<ReplicaId> {
        let participants = self.view().map(View::participants).unwrap_or_default();
        participants
            .into_iter()
            .filter(|replica| *replica != self.identity.id)
            .collect()
    }

    fn envelope(
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

    /// Sends a message that answers nothing.
    fn send(&mut self, to: ReplicaId, message: Message) {
        let envelope = self.envelope(to, None, message);
        self.dispatch(envelope);
    }

    fn reply(&mut self, requester: Requester, message: Message) {
        let envelope = self.envelope(requester.replica, Some(requester.incarnation), message);
        self.dispatch(envelope);
    }

    /// Answers once everything that was to be stored so far is on disk.
    fn reply_when_durable(&mut self, requester: Requester, message: Message) {
        let envelope = self.envelope(requester.replica, Some(requester.incarnation), message);
        self.pending_replies.push_back((self.last_write, envelope));
        self.release_replies();
    }

    fn dispatch(&mut self, envelope: Envelope) {
        if envelope.to == self.identity.id {
            self.inbox.push_back(envelope);
        } else {
            self.effects.push(Effect::Send(Box::new(envelope)));
        }
    }

    fn release_replies(&mut self) {
        while self
            .pending_replies
            .front()
            .is_some_and(|(after, _)| *after <= self.last_durable_write)
        {
            if let Some((_, envelope)) = self.pending_replies.pop_front() {
                self.dispatch(envelope);
            }
        }
    }

    fn store(&mut self, records: Vec<Record>, now: Millis) {
        if self.last_durable_write == self.last_write {
            self.write_pending_since = now;
        }
        self.last_write += 1;
        self.effects.push(Effect::Store {
            sequence: self.last_write,
            records,
        });
    }

    fn store_votes(&mut self, now: Millis) {
        let votes = self.witness.votes().clone();
        self.store(vec![Record::Votes(votes)], now);
    }

    fn is_storage_stalled(&self, now: Millis) -> bool {
        self.last_durable_write < self.last_write
            && now >= self.write_pending_since + self.timing.storage_timeout
    }

    fn last_position(&self) -> Position {
        self.tail
            .as_ref()
            .map_or(self.state.position, |tail| tail.position)
    }

    fn is_primary_of(&self, replica: &ReplicaId, epoch: Epoch) -> bool {
        self.view()
            .is_some_and(|view| view.epoch == epoch && view.primary == *replica)
    }
}

/// Who sent a message, in which life: its answer names that life.
#[derive(Debug, Clone)]
struct Requester {
    replica: ReplicaId,
    incarnation: Incarnation,
}
