//! What a replica does with each message.

use super::primary::Stage;
use super::{ControlNode, Effect, Role};
use crate::Millis;
use crate::message::Message;
use crate::state::{ControlState, Position, Update};
use crate::storage::Record;
use crate::view::{Accepted, Ballot, Epoch, ReplicaId, View};
use crate::witness::Vote;

impl ControlNode {
    pub(super) fn handle(&mut self, from: ReplicaId, message: Message, now: Millis) {
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

    pub(super) fn on_found(&mut self, view: View, now: Millis) {
        if self.view.is_some() || self.witness.accepted().is_some() {
            return;
        }
        let ballot = Ballot { round: 0, proposer: view.primary.clone() };
        self.learn(view, &ballot, now);
    }

    pub(super) fn on_heartbeat(
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
            if self.state.position >= committed {
                self.current_at = Some(now);
            }
        }
        let granted = current && self.witness.grant(&from, epoch, now);
        let newer = self.witness.accepted().filter(|accepted| accepted.view.epoch > epoch).cloned();
        let known = self.epoch();
        self.send(from, Message::HeartbeatReply { epoch, sent_at, granted, known, newer });
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_heartbeat_reply(
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

    pub(super) fn decided_ballot(&self) -> Ballot {
        let accepted = self.witness.accepted().filter(|accepted| accepted.view.epoch == self.epoch());
        let unknown = Ballot { round: 0, proposer: self.id.clone() };
        accepted.map_or(unknown, |accepted| accepted.ballot.clone())
    }

    pub(super) fn on_prepare(&mut self, from: ReplicaId, epoch: Epoch, ballot: Ballot, now: Millis) {
        let (vote, has_to_be_stored) = self.witness.prepare(epoch, &ballot, now);
        if has_to_be_stored {
            self.store(vec![Record::Votes(self.witness.votes().clone())], now);
        }
        self.send_stored(from, Message::PrepareReply { epoch, ballot, vote });
    }

    pub(super) fn on_vote(
        &mut self,
        from: ReplicaId,
        epoch: Epoch,
        ballot: &Ballot,
        vote: Vote,
        now: Millis,
    ) {
        let Some(attempt) = self.attempt.as_mut().filter(|a| a.ballot == *ballot && a.epoch() == epoch)
        else {
            return;
        };
        let progress = attempt.voted(&from, vote);
        self.proceed(progress, now);
    }

    pub(super) fn on_accept(&mut self, from: ReplicaId, proposal: Accepted, now: Millis) {
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

    pub(super) fn on_accept_reply(
        &mut self,
        from: ReplicaId,
        epoch: Epoch,
        ballot: &Ballot,
        yes: bool,
        now: Millis,
    ) {
        let Some(attempt) = self.attempt.as_mut().filter(|a| a.ballot == *ballot && a.epoch() == epoch)
        else {
            return;
        };
        let progress = attempt.accepted(&from, yes);
        self.proceed(progress, now);
    }

    pub(super) fn on_synchronize(&mut self, from: ReplicaId, epoch: Epoch, last: Position) {
        if self.is_primary_of(&from, epoch) {
            let same = self.last() == last;
            self.send_stored(from, Message::SynchronizeReply { epoch, last, same });
        }
    }

    pub(super) fn on_install(
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

    pub(super) fn on_replicate(&mut self, from: ReplicaId, epoch: Epoch, update: Update, now: Millis) {
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

    pub(super) fn on_replicated(&mut self, from: ReplicaId, epoch: Epoch, position: Position, now: Millis) {
        if epoch != self.epoch() || position != self.last() {
            return;
        }
        let Role::Primary(primary) = &mut self.role else { return };
        if let Stage::Replicating { stored, .. } = &mut primary.stage {
            stored.insert(from);
            self.finish_replication(now);
        }
    }

    pub(super) fn on_join(&mut self, from: ReplicaId, last: Position, now: Millis) {
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

    pub(super) fn on_resign(&mut self, from: ReplicaId, epoch: Epoch, now: Millis) {
        if !self.is_primary_of(&from, epoch) {
            return;
        }
        self.witness.release(&from);
        self.heard_primary = now.saturating_sub(self.timing.lease);
    }
}
