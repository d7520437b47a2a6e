//! One replica of the control state: primary or backup, and witness.
//!
//! The primary orders one change at a time. A change is acknowledged once every in-sync replica has stored it; a
//! replica that falls silent is taken out of the in-sync set by a new view, and taken in again once it has caught
//! up. Only an in-sync replica may become primary, so every acknowledged change outlives a failover. The lease that
//! a majority of witnesses grants makes reads current and singleton work exclusive.

mod handling;
mod leading;
mod primary;
mod standing;

use primary::{Primary, Stage};

use crate::Millis;
use crate::changes::{Change, Outcome};
use crate::message::{Envelope, Message};
use crate::proposer::Attempt;
use crate::state::{ControlState, Position, Update};
use crate::storage::{Record, Recovered};
use crate::view::{Ballot, Epoch, ReplicaId, View};
use crate::witness::Witness;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Times and counts of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a grant of the lease lasts.
    pub lease: Millis,
    /// By how much the holder stops before its lease ends.
    pub lease_margin: Millis,
    /// Time between two heartbeats of the primary.
    pub heartbeat: Millis,
    /// A replica that was not heard for so long is taken out of the in-sync set.
    pub silence: Millis,
    /// A disk write that takes longer makes a primary resign.
    pub storage_patience: Millis,
    /// Added to a candidate's wait for each candidate before it.
    pub stagger: Millis,
    /// Time between two attempts to be taken in.
    pub join_interval: Millis,
    /// A change that waits longer gets no clear answer.
    pub change_patience: Millis,
    /// A witness that was not heard for so long is taken out where enough others are left.
    pub witness_silence: Millis,
    /// How many replicas have to store a change before it is acknowledged.
    pub copies: usize,
}

impl Timing {
    /// The usual times, for a system that bears the loss of `faults` replicas.
    pub fn tolerating(faults: usize) -> Self {
        Timing {
            lease: 1_000,
            lease_margin: 150,
            heartbeat: 200,
            silence: 750,
            storage_patience: 700,
            stagger: 150,
            join_interval: 250,
            change_patience: 3_500,
            witness_silence: 2_000,
            copies: faults + 1,
        }
    }
}

/// Identifies a caller that waits for the outcome of its change.
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
struct Waiting {
    ticket: Ticket,
    change: Change,
    since: Millis,
}

#[derive(Debug)]
enum Role {
    Outside,
    Backup,
    Primary(Box<Primary>),
}

/// One replica.
#[derive(Debug)]
pub struct ControlNode {
    id: ReplicaId,
    timing: Timing,
    witness: Witness,
    view: Option<View>,
    state: ControlState,
    tail: Option<Update>,
    tail_ticket: Option<Ticket>,
    role: Role,
    attempt: Option<Attempt>,
    round: u64,
    heard_primary: Millis,
    current_at: Option<Millis>,
    retry_at: Millis,
    join_at: Millis,
    known: BTreeSet<ReplicaId>,
    queue: VecDeque<Waiting>,
    made: u64,
    durable: u64,
    waiting_since: Millis,
    held: VecDeque<(u64, Envelope)>,
    inbox: VecDeque<Envelope>,
    effects: Vec<Effect>,
}

impl ControlNode {
    /// A replica that starts with what its disk holds.
    pub fn new(id: ReplicaId, recovered: Recovered, timing: Timing, now: Millis) -> Self {
        let accepted = recovered.votes.accepted.clone();
        let view = accepted.map(|accepted| accepted.previous.unwrap_or(accepted.view));
        // The primary on file asks for its role back at once; others wait for it.
        let own = view.as_ref().is_some_and(|view| view.primary == id);
        let heard_primary = if own { 0 } else { now };
        ControlNode {
            witness: Witness::new(recovered.votes, timing.lease, now),
            role: if view.is_some() { Role::Backup } else { Role::Outside },
            state: recovered.state,
            tail: recovered.tail,
            id,
            timing,
            view,
            tail_ticket: None,
            attempt: None,
            round: 0,
            heard_primary,
            current_at: None,
            retry_at: 0,
            join_at: 0,
            known: BTreeSet::new(),
            queue: VecDeque::new(),
            made: 0,
            durable: 0,
            waiting_since: now,
            held: VecDeque::new(),
            inbox: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Which replica this is.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// The committed state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The newest view that is known to be decided.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// The epoch of that view; 0 where there is none.
    pub fn epoch(&self) -> Epoch {
        self.view.as_ref().map_or(0, |view| view.epoch)
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
            disk: self.id.disk,
            votes: self.witness.votes().clone(),
            state: self.state.clone(),
            tail: self.tail.clone(),
        }
    }

    /// Whether this replica is the primary, is in step with its backups and holds the lease at `now`; then the committed
    /// state is the newest, and singleton work may be done under the epoch as fencing token.
    pub fn leads(&self, now: Millis) -> Option<Epoch> {
        self.lease(now).map(|(epoch, _)| epoch)
    }

    /// The epoch under which this replica leads, and until when as far as its lease is known now.
    pub fn lease(&self, now: Millis) -> Option<(Epoch, Millis)> {
        match &self.role {
            Role::Primary(primary)
                if now < primary.lease_until && !matches!(primary.stage, Stage::Starting { .. }) =>
            {
                Some((self.epoch(), primary.lease_until))
            }
            _ => None,
        }
    }

    /// When the committed state here was last known to be the newest: the primary said so, or this replica led.
    pub fn current_at(&self, now: Millis) -> Option<Millis> {
        if self.leads(now).is_some() { Some(now) } else { self.current_at }
    }

    /// Other replicas that are known to exist, of which one may be asked to be taken in.
    pub fn know(&mut self, replicas: BTreeSet<ReplicaId>) {
        self.known = replicas;
    }

    /// Takes what has to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Founds a new system with this view; only where no other view was ever known.
    pub fn found(&mut self, view: View, now: Millis) {
        let others: Vec<ReplicaId> = view.participants().into_iter().collect();
        for other in others {
            self.send(other, Message::Found { view: view.clone() });
        }
        self.work(now);
    }

    /// A change that a caller asks for; the outcome comes as an effect.
    pub fn submit(&mut self, ticket: Ticket, change: Change, now: Millis) {
        if !matches!(self.role, Role::Primary(_)) {
            self.effects.push(Effect::Reply { ticket, outcome: Outcome::Unknown });
            return;
        }
        self.queue.push_back(Waiting { ticket, change, since: now });
        self.order_next(now);
        self.work(now);
    }

    /// The writes up to this one are on disk.
    pub fn stored(&mut self, sequence: u64, now: Millis) {
        self.durable = self.durable.max(sequence);
        self.waiting_since = now;
        self.release();
        self.work(now);
    }

    /// A message from another replica.
    pub fn receive(&mut self, envelope: Envelope, now: Millis) {
        if envelope.to == self.id {
            self.inbox.push_back(envelope);
            self.work(now);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        self.expire_waiting(now);
        match &self.role {
            Role::Primary(_) => self.tick_primary(now),
            Role::Backup => self.tick_backup(now),
            Role::Outside => {}
        }
        self.ask_to_join(now);
        if self.attempt.as_ref().is_some_and(|attempt| now >= attempt.begun + self.timing.silence) {
            self.abandon_attempt(now);
        }
        self.work(now);
    }

    /// The process is about to end: a primary hands its role over.
    pub fn resign(&mut self, cause: &'static str, now: Millis) {
        if !matches!(self.role, Role::Primary(_)) {
            return;
        }
        let epoch = self.epoch();
        self.attempt = None;
        self.enter(Role::Backup, cause);
        self.heard_primary = now + 2 * self.timing.lease;
        for other in self.others() {
            self.send(other, Message::Resign { epoch });
        }
        self.witness.release(&self.id.clone());
        self.work(now);
    }

    // ---- state changes -------------------------------------------------------------------------------------

    /// The one place where the role changes.
    fn enter(&mut self, role: Role, cause: &'static str) {
        let was_primary = matches!(self.role, Role::Primary(_));
        let before = self.role();
        self.role = role;
        if was_primary && !matches!(self.role, Role::Primary(_)) {
            // Whoever waits can't be told what will become of its change.
            self.tail_ticket.take().into_iter().for_each(|ticket| {
                self.effects.push(Effect::Reply { ticket, outcome: Outcome::Unknown });
            });
            while let Some(waiting) = self.queue.pop_front() {
                let outcome = Outcome::Unknown;
                self.effects.push(Effect::Reply { ticket: waiting.ticket, outcome });
            }
        }
        if self.role() != before {
            self.effects.push(Effect::Entered { role: self.role(), epoch: self.epoch(), cause });
        }
    }

    fn set_stage(&mut self, stage: Stage, cause: &'static str) {
        let before = self.role();
        if let Role::Primary(primary) = &mut self.role {
            primary.stage = stage;
        }
        if self.role() != before {
            self.effects.push(Effect::Entered { role: self.role(), epoch: self.epoch(), cause });
        }
    }

    /// A view is known to be decided.
    fn learn(&mut self, view: View, ballot: &Ballot, now: Millis) {
        if view.epoch <= self.epoch() {
            return;
        }
        if self.witness.learn(&view, ballot) {
            self.store(vec![Record::Votes(self.witness.votes().clone())], now);
        }
        if self.attempt.as_ref().is_some_and(|attempt| attempt.epoch() <= view.epoch) {
            self.attempt = None;
        }
        let (leads, takes_part) = (view.primary == self.id, view.participants().contains(&self.id));
        let kept = match &mut self.role {
            Role::Primary(primary) => Some((primary.lease_until, std::mem::take(&mut primary.heard))),
            _ => None,
        };
        self.view = Some(view);
        self.heard_primary = now;
        if leads {
            let (lease_until, mut heard) = kept.unwrap_or_default();
            // Silence counts from here on, also through later views of the same primary.
            for replica in self.others() {
                heard.entry(replica).or_insert(now);
            }
            let primary = Primary {
                stage: Stage::Starting { since: now, synced: BTreeSet::new() },
                since: now,
                lease_until,
                grants: BTreeMap::new(),
                heard,
                joiners: BTreeMap::new(),
                heartbeat_at: now,
            };
            self.enter(Role::Primary(Box::new(primary)), "a view with this primary was decided");
            self.lead(now);
        } else if takes_part {
            self.enter(Role::Backup, "a view with another primary was decided");
        } else {
            self.enter(Role::Outside, "a view without this replica was decided");
        }
    }

    // ---- plumbing ------------------------------------------------------------------------------------------

    fn others(&self) -> Vec<ReplicaId> {
        let participants = self.view.as_ref().map(View::participants).unwrap_or_default();
        participants.into_iter().filter(|replica| *replica != self.id).collect()
    }

    /// Sends once everything that was to be stored so far is on disk.
    fn send_stored(&mut self, to: ReplicaId, message: Message) {
        let envelope = Envelope { from: self.id.clone(), to, message };
        self.held.push_back((self.made, envelope));
        self.release();
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        let envelope = Envelope { from: self.id.clone(), to, message };
        self.dispatch(envelope);
    }

    fn dispatch(&mut self, envelope: Envelope) {
        if envelope.to == self.id {
            self.inbox.push_back(envelope);
        } else {
            self.effects.push(Effect::Send(Box::new(envelope)));
        }
    }

    fn release(&mut self) {
        while self.held.front().is_some_and(|(after, _)| *after <= self.durable) {
            if let Some((_, envelope)) = self.held.pop_front() {
                self.dispatch(envelope);
            }
        }
    }

    fn store(&mut self, records: Vec<Record>, now: Millis) {
        if self.durable == self.made {
            self.waiting_since = now;
        }
        self.made += 1;
        self.effects.push(Effect::Store { sequence: self.made, records });
    }

    fn storage_is_stuck(&self, now: Millis) -> bool {
        self.durable < self.made && now >= self.waiting_since + self.timing.storage_patience
    }

    /// Handles what this replica has said to itself, and what came from others.
    fn work(&mut self, now: Millis) {
        while let Some(Envelope { from, message, .. }) = self.inbox.pop_front() {
            self.handle(from, message, now);
        }
    }

    fn last(&self) -> Position {
        self.tail.as_ref().map_or(self.state.position, |tail| tail.position)
    }

    fn is_primary_of(&self, replica: &ReplicaId, epoch: Epoch) -> bool {
        self.view.as_ref().is_some_and(|view| view.epoch == epoch && view.primary == *replica)
    }
}
