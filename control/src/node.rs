//! One replica of the control state: primary or backup, and witness.
//!
//! The primary orders one change at a time. A change is acknowledged once every in-sync replica has stored it; a
//! replica that falls silent is taken out of the in-sync set by a new view, and taken in again once it has caught
//! up. Only an in-sync replica may become primary, so every acknowledged change outlives a failover. The lease that
//! a majority of witnesses grants makes reads current and singleton work exclusive.

use crate::Millis;
use crate::changes::{Change, Outcome};
use crate::message::{Envelope, Message};
use crate::proposer::{Attempt, Progress};
use crate::state::{ControlState, Position, Update};
use crate::storage::{Record, Recovered};
use crate::view::{Accepted, Ballot, Epoch, ReplicaId, View};
use crate::witness::{Vote, Witness};
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

/// What a primary is doing.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Bringing its backups to its own state.
    Starting { since: Millis, synced: BTreeSet<ReplicaId> },
    /// Nothing is under way.
    Ready,
    /// A change is being stored everywhere.
    Replicating { since: Millis, stored: BTreeSet<ReplicaId> },
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    change: Change,
    since: Millis,
}

/// A replica that asks to be taken in.
#[derive(Debug, Clone, Default)]
struct Joiner {
    installed: Option<Position>,
    sent_at: Option<Millis>,
    heard: Millis,
}

#[derive(Debug)]
struct Primary {
    stage: Stage,
    since: Millis,
    lease_until: Millis,
    grants: BTreeMap<Millis, BTreeSet<ReplicaId>>,
    heard: BTreeMap<ReplicaId, Millis>,
    joiners: BTreeMap<ReplicaId, Joiner>,
    heartbeat_at: Millis,
}

impl Primary {
    fn last_heard(&self, replica: &ReplicaId) -> Millis {
        self.heard.get(replica).copied().unwrap_or(self.since)
    }

    /// In-sync replicas that were not heard, or have not stored what they were sent, for longer than `patience`.
    fn unresponsive(
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
    fn has_time_for_joiners(&self, view: &View) -> bool {
        match &self.stage {
            Stage::Ready => true,
            // Every backup is in step and yet the start has not ended: there are too few copies.
            Stage::Starting { synced, .. } => synced.len() + 1 >= view.in_sync.len(),
            Stage::Replicating { .. } => false,
        }
    }

    /// Replicas outside the in-sync set that store the primary's last change.
    fn caught_up(&self, last: Position, patience: Millis, now: Millis) -> Vec<ReplicaId> {
        let caught_up = self
            .joiners
            .iter()
            .filter(|(_, joiner)| now < joiner.heard + patience && joiner.installed == Some(last));
        caught_up.map(|(replica, _)| replica.clone()).collect()
    }

    /// A witness outside the in-sync set that was not heard for so long.
    fn silent_witness(
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

    // ---- messages ------------------------------------------------------------------------------------------

    fn handle(&mut self, from: ReplicaId, message: Message, now: Millis) {
        if let Role::Primary(primary) = &mut self.role {
            primary.heard.insert(from.clone(), now);
        }
        match message {
            Message::Found { view } => self.on_found(view, now),
            Message::Heartbeat { epoch, committed, sent_at } => {
                self.on_heartbeat(from, epoch, committed, sent_at, now);
            }
            Message::HeartbeatReply { epoch, sent_at, granted, known, newer } => {
                self.on_heartbeat_reply(from, epoch, sent_at, granted, known, newer, now);
            }
            Message::Prepare { epoch, ballot } => self.on_prepare(from, epoch, ballot, now),
            Message::PrepareReply { epoch, ballot, vote } => self.on_vote(from, epoch, &ballot, vote, now),
            Message::Accept { proposal } => self.on_accept(from, proposal, now),
            Message::AcceptReply { epoch, ballot, yes } => {
                self.on_accept_reply(from, epoch, &ballot, yes, now);
            }
            Message::Decided { view, ballot } => self.learn(view, &ballot, now),
            Message::Synchronize { epoch, last } => self.on_synchronize(from, epoch, last),
            Message::SynchronizeReply { epoch, last, same } => {
                self.on_synchronize_reply(from, epoch, last, same, now);
            }
            Message::Install { epoch, state, tail } => self.on_install(from, epoch, state, tail, now),
            Message::Installed { epoch, last } => self.on_synchronize_reply(from, epoch, last, true, now),
            Message::Replicate { epoch, update } => self.on_replicate(from, epoch, update, now),
            Message::Replicated { epoch, position } => self.on_replicated(from, epoch, position, now),
            Message::Committed { epoch, position } => {
                if self.is_primary_of(&from, epoch) {
                    self.commit_up_to(position);
                }
            }
            Message::Join { epoch: _, last } => self.on_join(from, last, now),
            Message::Resign { epoch } => self.on_resign(from, epoch, now),
        }
    }

    fn on_found(&mut self, view: View, now: Millis) {
        if self.view.is_some() || self.witness.accepted().is_some() {
            return;
        }
        let ballot = Ballot { round: 0, proposer: view.primary.clone() };
        self.learn(view, &ballot, now);
    }

    fn on_heartbeat(
        &mut self,
        from: ReplicaId,
        epoch: Epoch,
        committed: Position,
        sent_at: Millis,
        now: Millis,
    ) {
        let accepted = self.witness.accepted().cloned();
        // A heartbeat proves that its view was decided.
        if let Some(accepted) = accepted.filter(|accepted| {
            accepted.view.epoch == epoch && accepted.view.primary == from && epoch > self.epoch()
        }) {
            self.learn(accepted.view, &accepted.ballot, now);
        }
        let current = self.is_primary_of(&from, epoch);
        if current {
            self.heard_primary = now;
            self.commit_up_to(committed);
        }
        let granted = current && self.witness.grant(&from, epoch, now);
        let newer = self.witness.accepted().filter(|accepted| accepted.view.epoch > epoch).cloned();
        let known = self.epoch();
        self.send(from, Message::HeartbeatReply { epoch, sent_at, granted, known, newer });
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn on_heartbeat_reply(
        &mut self,
        from: ReplicaId,
        epoch: Epoch,
        sent_at: Millis,
        granted: bool,
        known: Epoch,
        newer: Option<Accepted>,
        now: Millis,
    ) {
        let Some(view) = self.view.clone().filter(|view| view.epoch == epoch) else { return };
        if let Some(Accepted { view: later, previous: None, ballot }) = newer {
            return self.learn(later, &ballot, now);
        }
        let Role::Primary(primary) = &mut self.role else { return };
        if granted {
            let grants = primary.grants.entry(sent_at).or_default();
            grants.insert(from.clone());
            if view.has_majority(grants) {
                let until = sent_at + self.timing.lease - self.timing.lease_margin;
                primary.lease_until = primary.lease_until.max(until);
                primary.grants = primary.grants.split_off(&sent_at);
            }
        }
        if known < epoch {
            let ballot = self.decided_ballot();
            self.send(from, Message::Decided { view, ballot });
        }
        self.order_next(now);
    }

    fn decided_ballot(&self) -> Ballot {
        let accepted = self.witness.accepted().filter(|accepted| accepted.view.epoch == self.epoch());
        let unknown = Ballot { round: 0, proposer: self.id.clone() };
        accepted.map_or(unknown, |accepted| accepted.ballot.clone())
    }

    fn on_prepare(&mut self, from: ReplicaId, epoch: Epoch, ballot: Ballot, now: Millis) {
        let (vote, has_to_be_stored) = self.witness.prepare(epoch, &ballot, now);
        if has_to_be_stored {
            self.store(vec![Record::Votes(self.witness.votes().clone())], now);
        }
        self.send_stored(from, Message::PrepareReply { epoch, ballot, vote });
    }

    fn on_vote(&mut self, from: ReplicaId, epoch: Epoch, ballot: &Ballot, vote: Vote, now: Millis) {
        let Some(attempt) = self.attempt.as_mut().filter(|a| a.ballot == *ballot && a.epoch() == epoch)
        else {
            return;
        };
        let progress = attempt.voted(&from, vote);
        self.proceed(progress, now);
    }

    fn on_accept(&mut self, from: ReplicaId, proposal: Accepted, now: Millis) {
        let (epoch, ballot) = (proposal.view.epoch, proposal.ballot.clone());
        if let Some(previous) = proposal.previous.clone() {
            self.learn(previous, &ballot, now);
        }
        let yes = self.witness.accept(proposal);
        if yes {
            self.store(vec![Record::Votes(self.witness.votes().clone())], now);
        }
        self.send_stored(from, Message::AcceptReply { epoch, ballot, yes });
    }

    fn on_accept_reply(&mut self, from: ReplicaId, epoch: Epoch, ballot: &Ballot, yes: bool, now: Millis) {
        let Some(attempt) = self.attempt.as_mut().filter(|a| a.ballot == *ballot && a.epoch() == epoch)
        else {
            return;
        };
        let progress = attempt.accepted(&from, yes);
        self.proceed(progress, now);
    }

    fn on_synchronize(&mut self, from: ReplicaId, epoch: Epoch, last: Position) {
        if self.is_primary_of(&from, epoch) {
            let same = self.last() == last;
            self.send_stored(from, Message::SynchronizeReply { epoch, last, same });
        }
    }

    fn on_install(
        &mut self,
        from: ReplicaId,
        epoch: Epoch,
        state: ControlState,
        tail: Option<Update>,
        now: Millis,
    ) {
        if !self.is_primary_of(&from, epoch) || state.position.index < self.state.position.index {
            return;
        }
        let newer = state.position.index > self.state.position.index;
        (self.state, self.tail) = (state, tail);
        let record = Record::Install { state: self.state.clone(), tail: self.tail.clone() };
        self.store(vec![record], now);
        let last = self.last();
        self.send_stored(from, Message::Installed { epoch, last });
        if newer {
            self.effects.push(Effect::Committed);
        }
    }

    fn on_replicate(&mut self, from: ReplicaId, epoch: Epoch, update: Update, now: Millis) {
        if !self.is_primary_of(&from, epoch) {
            return;
        }
        let position = update.position;
        if position.index == self.last().index + 1 {
            // The primary orders a change only once the one before it is committed.
            let before = self.last();
            self.commit_up_to(before);
            self.tail = Some(update.clone());
            self.store(vec![Record::Update(update)], now);
        } else if position != self.last() {
            return;
        }
        self.send_stored(from, Message::Replicated { epoch, position });
    }

    fn on_replicated(&mut self, from: ReplicaId, epoch: Epoch, position: Position, now: Millis) {
        if epoch != self.epoch() || position != self.last() {
            return;
        }
        let Role::Primary(primary) = &mut self.role else { return };
        if let Stage::Replicating { stored, .. } = &mut primary.stage {
            stored.insert(from);
            self.finish_replication(now);
        }
    }

    fn on_join(&mut self, from: ReplicaId, last: Position, now: Millis) {
        let own_last = self.last();
        let Some(view) = self.view.clone().filter(|view| !view.in_sync.contains(&from)) else { return };
        let Role::Primary(primary) = &mut self.role else { return };
        let joiner = primary.joiners.entry(from.clone()).or_default();
        joiner.heard = now;
        joiner.installed = (last == own_last).then_some(last);
        let has_to_be_sent = joiner.installed.is_none()
            && joiner.sent_at.is_none_or(|at| now >= at + 2 * self.timing.join_interval);
        let epoch = view.epoch;
        let ballot = self.decided_ballot();
        self.send(from.clone(), Message::Decided { view, ballot });
        if has_to_be_sent {
            if let Role::Primary(primary) = &mut self.role {
                primary.joiners.entry(from.clone()).or_default().sent_at = Some(now);
            }
            let (state, tail) = (self.state.clone(), self.tail.clone());
            self.send(from, Message::Install { epoch, state, tail });
        }
        self.reconsider_view(now);
    }

    fn on_resign(&mut self, from: ReplicaId, epoch: Epoch, now: Millis) {
        if !self.is_primary_of(&from, epoch) {
            return;
        }
        self.witness.release(&from);
        self.heard_primary = now.saturating_sub(self.timing.lease);
    }

    // ---- the primary ---------------------------------------------------------------------------------------

    /// Tells everyone of the new view, and brings the backups into step.
    fn lead(&mut self, now: Millis) {
        let Some(view) = self.view.clone() else { return };
        let ballot = self.decided_ballot();
        for other in self.others() {
            self.send(other, Message::Decided { view: view.clone(), ballot: ballot.clone() });
        }
        self.send_heartbeats(now);
        self.resend(now);
        self.finish_start(now);
    }

    fn send_heartbeats(&mut self, now: Millis) {
        let (epoch, committed) = (self.epoch(), self.state.position);
        let own = self.witness.grant(&self.id.clone(), epoch, now);
        let interval = self.timing.heartbeat;
        if let Role::Primary(primary) = &mut self.role {
            primary.heartbeat_at = now + interval;
            primary.grants.retain(|sent_at, _| sent_at + 2_000 > now);
            let grants = primary.grants.entry(now).or_default();
            if own {
                grants.insert(self.id.clone());
            }
            if self.view.as_ref().is_some_and(|view| view.has_majority(grants)) {
                primary.lease_until = now + self.timing.lease - self.timing.lease_margin;
            }
        }
        for other in self.others() {
            self.send(other, Message::Heartbeat { epoch, committed, sent_at: now });
        }
    }

    /// Sends again what backups have not answered.
    fn resend(&mut self, _now: Millis) {
        let (epoch, last) = (self.epoch(), self.last());
        let Some(view) = &self.view else { return };
        let Role::Primary(primary) = &self.role else { return };
        let (done, message) = match &primary.stage {
            Stage::Starting { synced, .. } => (synced, Message::Synchronize { epoch, last }),
            Stage::Replicating { stored, .. } => match &self.tail {
                Some(update) => (stored, Message::Replicate { epoch, update: update.clone() }),
                None => return,
            },
            Stage::Ready => return,
        };
        let pending: Vec<ReplicaId> =
            view.in_sync.iter().filter(|r| **r != self.id && !done.contains(*r)).cloned().collect();
        for replica in pending {
            self.send(replica, message.clone());
        }
    }

    fn on_synchronize_reply(
        &mut self,
        from: ReplicaId,
        epoch: Epoch,
        last: Position,
        same: bool,
        now: Millis,
    ) {
        if epoch != self.epoch() || last != self.last() {
            return;
        }
        let in_sync = self.view.as_ref().is_some_and(|view| view.in_sync.contains(&from));
        let (state, tail) = (self.state.clone(), self.tail.clone());
        let Role::Primary(primary) = &mut self.role else { return };
        if !in_sync {
            let joiner = primary.joiners.entry(from).or_default();
            joiner.heard = now;
            joiner.installed = same.then_some(last);
            return self.reconsider_view(now);
        }
        if let Stage::Starting { synced, .. } = &mut primary.stage {
            if same {
                synced.insert(from);
                self.finish_start(now);
            } else {
                self.send(from, Message::Install { epoch, state, tail });
            }
        }
    }

    /// Ends the start once every in-sync replica has the same state.
    fn finish_start(&mut self, now: Millis) {
        let Some(view) = &self.view else { return };
        let Role::Primary(primary) = &self.role else { return };
        let Stage::Starting { synced, .. } = &primary.stage else { return };
        let all = view.in_sync.iter().all(|replica| *replica == self.id || synced.contains(replica));
        if !all {
            return;
        }
        if view.in_sync.len() < self.timing.copies.min(self.possible_copies()) {
            return self.reconsider_view(now);
        }
        self.set_stage(Stage::Ready, "every in-sync replica has the same state");
        self.commit_tail();
        self.reconsider_view(now);
        self.order_next(now);
    }

    /// How many replicas there are at all: a system smaller than the wished number of copies works with what it has.
    fn possible_copies(&self) -> usize {
        self.view.as_ref().map_or(1, |view| view.witnesses.len())
    }

    /// Orders the next waiting change, if nothing else is under way.
    fn order_next(&mut self, now: Millis) {
        while self.leads(now).is_some() && self.attempt.is_none() && !self.storage_is_stuck(now) {
            let Role::Primary(primary) = &self.role else { return };
            if primary.stage != Stage::Ready {
                return;
            }
            let Some(waiting) = self.queue.pop_front() else { return };
            match self.state.judge(&waiting.change) {
                Some(outcome) => self.effects.push(Effect::Reply { ticket: waiting.ticket, outcome }),
                None => self.replicate(waiting, now),
            }
        }
    }

    fn replicate(&mut self, waiting: Waiting, now: Millis) {
        let epoch = self.epoch();
        let position = Position { index: self.state.position.index + 1, epoch };
        let update = Update { position, change: waiting.change };
        self.tail = Some(update.clone());
        self.tail_ticket = Some(waiting.ticket);
        self.set_stage(
            Stage::Replicating { since: now, stored: BTreeSet::new() },
            "a change is being stored",
        );
        self.resend(now);
        self.store(vec![Record::Update(update)], now);
        let own = self.id.clone();
        self.send_stored(own, Message::Replicated { epoch, position });
    }

    fn finish_replication(&mut self, now: Millis) {
        let Some(view) = &self.view else { return };
        let Role::Primary(primary) = &self.role else { return };
        let Stage::Replicating { stored, .. } = &primary.stage else { return };
        if view.in_sync.iter().all(|replica| stored.contains(replica)) {
            self.set_stage(Stage::Ready, "the change is stored everywhere");
            self.commit_tail();
            self.reconsider_view(now);
            self.order_next(now);
        }
    }

    /// The primary's stored change is on every in-sync disk.
    fn commit_tail(&mut self) {
        let position = self.last();
        self.commit_up_to(position);
        if let Some(ticket) = self.tail_ticket.take() {
            self.effects.push(Effect::Reply { ticket, outcome: Outcome::Done });
        }
        let epoch = self.epoch();
        for other in self.others() {
            self.send(other, Message::Committed { epoch, position });
        }
    }

    fn commit_up_to(&mut self, position: Position) {
        if let Some(tail) = self.tail.take_if(|tail| tail.position == position) {
            self.state.apply(&tail);
            self.effects.push(Effect::Committed);
        }
    }

    fn tick_primary(&mut self, now: Millis) {
        if self.storage_is_stuck(now) {
            return self.resign("the disk does not answer", now);
        }
        let Role::Primary(primary) = &self.role else { return };
        let without_lease = now >= primary.lease_until && now >= primary.since + self.timing.lease;
        if now >= primary.heartbeat_at {
            self.send_heartbeats(now);
            self.resend(now);
        }
        if without_lease {
            self.attempt = None;
            self.heard_primary = now;
            return self.enter(Role::Backup, "the lease ended");
        }
        self.reconsider_view(now);
        self.order_next(now);
    }

    /// Asks for another view where replicas have fallen silent or others have caught up.
    fn reconsider_view(&mut self, now: Millis) {
        if self.attempt.is_some() || now < self.retry_at {
            return;
        }
        let Some(view) = self.view.clone() else { return };
        let Role::Primary(primary) = &self.role else { return };
        let out = primary.unresponsive(&view, &self.id, self.timing.silence, now);
        let mut wanted = view.clone();
        wanted.in_sync.retain(|replica| !out.contains(replica));
        let blocked = wanted.in_sync.len() < view.in_sync.len();
        if blocked || primary.has_time_for_joiners(&view) {
            for replica in primary.caught_up(self.last(), self.timing.silence, now) {
                let silence = self.timing.silence;
                let silent = primary.silent_witness(&wanted, &self.id, silence, now);
                wanted = with_joiner(wanted, &replica, silent);
            }
        }
        let silence = self.timing.witness_silence;
        if let Some(witness) = primary.silent_witness(&wanted, &self.id, silence, now)
            && view.witnesses.len() > 2 * self.timing.copies - 1
        {
            wanted.witnesses.remove(&witness);
        }
        let enough = wanted.in_sync.len() >= self.timing.copies.min(self.possible_copies());
        if wanted != view && (enough || wanted.in_sync.len() > view.in_sync.len()) {
            self.attempt_view(wanted, false, now);
        }
    }

    // ---- backups and candidates ----------------------------------------------------------------------------

    fn tick_backup(&mut self, now: Millis) {
        let Some(view) = &self.view else { return };
        if self.attempt.is_some() || now < self.retry_at || !view.in_sync.contains(&self.id) {
            return;
        }
        let before = view.in_sync.iter().filter(|r| **r != view.primary && **r < self.id).count() as u64;
        let own = view.primary == self.id;
        let wait = if own { 0 } else { self.timing.lease + before * self.timing.stagger };
        if now < self.heard_primary + wait || self.storage_is_stuck(now) {
            return;
        }
        let wanted = View {
            epoch: view.epoch + 1,
            primary: self.id.clone(),
            in_sync: BTreeSet::from([self.id.clone()]),
            witnesses: view.witnesses.clone(),
        };
        self.attempt_view(wanted, true, now);
    }

    /// Begins an attempt to have a view decided.
    fn attempt_view(&mut self, mut wanted: View, takes_over: bool, now: Millis) {
        let Some(current) = self.view.clone() else { return };
        wanted.epoch = current.epoch + 1;
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: self.id.clone() };
        let attempt = Attempt::new(ballot.clone(), current, wanted, takes_over, now);
        let epoch = attempt.epoch();
        let audience = attempt.audience();
        self.attempt = Some(attempt);
        for witness in audience {
            self.send(witness, Message::Prepare { epoch, ballot: ballot.clone() });
        }
    }

    fn abandon_attempt(&mut self, now: Millis) {
        self.attempt = None;
        let place =
            self.view.as_ref().map_or(0, |view| view.in_sync.iter().filter(|r| **r < self.id).count());
        self.retry_at = now + 50 + place as u64 * self.timing.stagger / 2;
    }

    fn proceed(&mut self, progress: Progress, now: Millis) {
        match progress {
            Progress::Waiting => {}
            Progress::Accept(proposal) => {
                let audience = self.attempt.as_ref().map(Attempt::audience).unwrap_or_default();
                for witness in audience {
                    self.send(witness, Message::Accept { proposal: proposal.clone() });
                }
            }
            Progress::Decided(view) => {
                let Some(attempt) = self.attempt.take() else { return };
                let mut informed = attempt.current.participants();
                informed.extend(view.participants());
                informed.remove(&self.id);
                for replica in informed {
                    let (view, ballot) = (view.clone(), attempt.ballot.clone());
                    self.send(replica, Message::Decided { view, ballot });
                }
                self.learn(view, &attempt.ballot, now);
            }
            Progress::Failed { round } => {
                self.round = self.round.max(round);
                self.abandon_attempt(now);
            }
            Progress::Overtaken(accepted) => {
                self.attempt = None;
                let decided = accepted.previous.unwrap_or(accepted.view);
                self.learn(decided, &accepted.ballot, now);
                self.abandon_attempt(now);
            }
        }
    }

    /// A replica that does not store every change asks the primary, or whoever is known, to be taken in.
    fn ask_to_join(&mut self, now: Millis) {
        let in_sync = self.view.as_ref().is_some_and(|view| view.in_sync.contains(&self.id));
        if in_sync || now < self.join_at || self.storage_is_stuck(now) {
            return;
        }
        self.join_at = now + self.timing.join_interval;
        let (epoch, last) = (self.epoch(), self.last());
        let participants = self.view.as_ref().map(View::participants).unwrap_or_default();
        let mut asked = participants;
        asked.extend(self.known.iter().cloned());
        asked.remove(&self.id);
        for replica in asked {
            self.send(replica, Message::Join { epoch, last });
        }
    }

    fn expire_waiting(&mut self, now: Millis) {
        let patience = self.timing.change_patience;
        while self.queue.front().is_some_and(|waiting| now >= waiting.since + patience) {
            if let Some(waiting) = self.queue.pop_front() {
                let outcome = Outcome::Unknown;
                self.effects.push(Effect::Reply { ticket: waiting.ticket, outcome });
            }
        }
    }
}

/// A view with one more in-sync replica. It takes the place of a former disk of the same node; a new node takes that of a
/// witness that has fallen silent, so that the next loss does not meet a majority that counts the dead.
fn with_joiner(mut view: View, replica: &ReplicaId, silent: Option<ReplicaId>) -> View {
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
