//! One replica of the control state: primary or backup, and witness.
//!
//! Primary-backup replication with views, as in Viewstamped Replication (Oki and Liskov, PODC 1988;
//! Liskov and Cowling, 2012) and with an in-sync set as in PacificA (Lin et al., 2008):
//!
//! - The primary replicates one change at a time. A change is committed, and acknowledged to its
//!   caller, once every in-sync replica has stored it.
//! - An unresponsive replica is removed from the in-sync set by a new view, and added again once it
//!   has caught up. Only an in-sync replica may become primary, so no acknowledged change is lost
//!   by a failover.
//! - The witnesses decide views by Paxos and grant the primary its lease. The lease makes singleton
//!   work exclusive. A reply that no stored change proves (a rejection, a read) is confirmed by a
//!   majority of the witnesses after the call was received.
//!
//! Each submodule implements one part of [`ControlNode`].

mod catch_up;
mod durability;
mod effect;
mod heartbeats;
mod lease;
mod membership;
mod messaging;
mod pending_calls;
mod primary;
mod recent_updates;
mod replica_log;
mod replication;
mod rollout_owner;
mod timing;
mod view_change;

pub use effect::{Effect, RoleName, Ticket};
pub use timing::Timing;

use messaging::Requester;
use pending_calls::PendingCalls;
use primary::{Primary, Stage};
use recent_updates::RecentUpdates;
use replica_log::EarlySynchronize;

use crate::Millis;
use crate::changes::{Change, Outcome, ReadOutcome};
use crate::message::Envelope;
use crate::proposer::Attempt;
use crate::rollout::Vacancy;
use crate::state::{ControlState, Position, Update};
use crate::storage::Recovered;
use crate::view::{Epoch, Incarnation, ReplicaId, View};
use crate::witness::Witness;
use std::collections::{BTreeSet, VecDeque};

#[derive(Debug)]
enum Role {
    /// Not part of the newest view that this replica knows.
    Outside,
    Backup,
    Primary(Box<Primary>),
}

/// The identity of a replica, and how it was started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The replica's id, which includes that of its disk.
    pub id: ReplicaId,
    /// Drawn at random for this run of the process.
    pub incarnation: Incarnation,
    /// Whether its disk has been in use since the system's first start, so that it may vote on the
    /// first view.
    pub may_bootstrap: bool,
}

/// One replica, as a state machine without I/O: the program feeds it calls, messages, finished disk
/// writes and the time, and carries out the [`Effect`]s that it returns.
///
/// All times are milliseconds of one monotonic clock.
#[derive(Debug)]
pub struct ControlNode {
    identity: Identity,
    timing: Timing,
    witness: Witness,
    /// The committed state.
    state: ControlState,
    /// The stored update that is not known to be committed; there is at most one.
    tail: Option<Update>,
    /// The caller that submitted the tail to this replica, if any.
    tail_ticket: Option<Ticket>,
    recent_updates: RecentUpdates,
    role: Role,
    /// Whether the process is shutting down.
    leaving: bool,
    /// The view change that this replica is proposing.
    attempt: Option<Attempt>,
    /// When the attempt's unanswered requests are sent again.
    retransmit_at: Millis,
    /// The highest proposal round that this replica has used or seen.
    proposal_round: u64,
    /// When the primary was last heard from. Shifted to postpone or hasten a takeover.
    last_primary_contact: Millis,
    /// See [`ControlNode::current_at`].
    current_at: Option<Millis>,
    /// No view is proposed before this time.
    next_attempt_at: Millis,
    /// When the next request to join or leave is sent.
    join_at: Millis,
    known_replicas: BTreeSet<ReplicaId>,
    calls: PendingCalls,
    /// The owner of the rollout in the committed state, unless the ownership is vacant.
    last_rollout_owner: Option<ReplicaId>,
    vacancy: Vacancy,
    /// The sequence number of the newest disk write.
    last_write: u64,
    /// The sequence number of the newest write known to be on disk.
    last_durable_write: u64,
    /// When the disk last finished a write, or was given one while none was pending.
    write_pending_since: Millis,
    /// Replies in order, each with the write that has to be durable before it is sent.
    pending_replies: VecDeque<(u64, Envelope)>,
    early_synchronize: Option<EarlySynchronize>,
    inbox: VecDeque<Envelope>,
    effects: Vec<Effect>,
}

impl ControlNode {
    /// A replica that starts from the records recovered from its disk.
    pub fn new(identity: Identity, recovered: Recovered, timing: Timing, now: Millis) -> Self {
        let view = recovered.votes.decided.as_ref();
        // The recorded primary tries to resume leadership at once; the others wait for it to do so.
        let is_recorded_primary = view.is_some_and(|view| view.primary == identity.id);
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
            last_primary_contact: if is_recorded_primary { 0 } else { now },
            current_at: None,
            next_attempt_at: 0,
            join_at: 0,
            known_replicas: BTreeSet::new(),
            calls: PendingCalls::default(),
            last_rollout_owner: None,
            vacancy: Vacancy::default(),
            last_write: 0,
            last_durable_write: 0,
            write_pending_since: now,
            pending_replies: VecDeque::new(),
            early_synchronize: None,
            inbox: VecDeque::new(),
            effects: Vec::new(),
        };
        node.track_rollout_owner(now);
        node
    }

    /// The id of this replica.
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

    /// The epoch of [`ControlNode::view`]; 0 where there is none.
    pub fn epoch(&self) -> Epoch {
        self.witness.votes().epoch()
    }

    /// The current role.
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

    /// The content of a snapshot of this replica.
    pub fn snapshot(&self) -> Recovered {
        Recovered {
            disk: self.identity.id.disk,
            votes: self.witness.votes().clone(),
            state: self.state.clone(),
            tail: self.tail.clone(),
        }
    }

    /// The current epoch where this replica is the primary, has synchronized its backups and holds
    /// the lease at `now`. Singleton work may then be done.
    pub fn leading_epoch(&self, now: Millis) -> Option<Epoch> {
        self.lease(now).map(|(epoch, _)| epoch)
    }

    /// The epoch in which this replica leads, and when its lease expires unless it is renewed.
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
        let duration = self.lease_on_holder();
        self.view()
            .map_or(0, |view| primary.lease.expires_at(view, duration))
    }

    /// The duration of a grant as its holder measures it.
    fn lease_on_holder(&self) -> Millis {
        self.timing.lease - self.timing.lease_margin
    }

    /// Whether this replica is the primary, has synchronized its backups, and no other replica can
    /// have become primary by `now`.
    ///
    /// This holds while the primary has the lease. After an even partition it also holds without the
    /// lease, while half of the witnesses grant the heartbeats: then no replica acknowledges changes.
    fn is_only_primary(&self, now: Millis) -> bool {
        let Role::Primary(primary) = &self.role else {
            return false;
        };
        let duration = self.lease_on_holder();
        let until = self.view().map_or(0, |view| {
            primary.lease.excludes_others_until(view, duration)
        });
        !matches!(primary.stage, Stage::Starting { .. }) && now < until
    }

    /// The last time at which the committed state here was certainly the newest one: this replica
    /// was the only primary then, or the only primary confirmed the state by a heartbeat. `None` if
    /// neither has happened since the start.
    pub fn current_at(&self, now: Millis) -> Option<Millis> {
        if self.is_only_primary(now) {
            Some(now)
        } else {
            self.current_at
        }
    }

    /// Sets the other replicas that are known to exist. One outside every view asks them to join.
    pub fn set_known_replicas(&mut self, replicas: BTreeSet<ReplicaId>) {
        self.known_replicas = replicas;
    }

    /// Removes and returns the effects that the program has to carry out, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Submits a change. Its outcome is returned as [`Effect::Reply`] with the ticket.
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

    /// Reads the newest configuration linearizably. The result is returned as [`Effect::Read`] with
    /// the ticket.
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

    /// Advances the time; to be called several times within each heartbeat interval.
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

    /// The only place where the role changes, so that no caller's ticket outlives the primary role.
    fn transition(&mut self, role: Role, cause: &'static str) {
        let was_primary = matches!(self.role, Role::Primary(_));
        let before = self.role();
        self.role = role;
        if was_primary && !matches!(self.role, Role::Primary(_)) {
            // A successor may still commit pending changes, so their outcome is unknown here.
            self.tail_ticket.take().into_iter().for_each(|ticket| {
                self.effects.push(Effect::Reply {
                    ticket,
                    outcome: Outcome::Unknown,
                });
            });
            self.effects.extend(self.calls.cancel_all());
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
