//! What a primary does: heartbeats, bringing backups into step, ordering changes, asking for other views.

use super::primary::{Stage, with_joiner};
use super::{ControlNode, Effect, Role, Waiting};
use crate::Millis;
use crate::changes::Outcome;
use crate::message::Message;
use crate::state::{Position, Update};
use crate::storage::Record;
use crate::view::{Epoch, ReplicaId};
use std::collections::BTreeSet;

impl ControlNode {
    /// Tells everyone of the new view, and brings the backups into step.
    pub(super) fn lead(&mut self, now: Millis) {
        let Some(view) = self.view.clone() else { return };
        let ballot = self.decided_ballot();
        for other in self.others() {
            self.send(other, Message::Decided { view: view.clone(), ballot: ballot.clone() });
        }
        self.send_heartbeats(now);
        self.resend(now);
        self.finish_start(now);
    }

    pub(super) fn send_heartbeats(&mut self, now: Millis) {
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
    pub(super) fn resend(&mut self, _now: Millis) {
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

    pub(super) fn on_synchronize_reply(
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
    pub(super) fn finish_start(&mut self, now: Millis) {
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
    pub(super) fn possible_copies(&self) -> usize {
        self.view.as_ref().map_or(1, |view| view.witnesses.len())
    }

    /// Orders the next waiting change, if nothing else is under way.
    pub(super) fn order_next(&mut self, now: Millis) {
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

    pub(super) fn replicate(&mut self, waiting: Waiting, now: Millis) {
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

    pub(super) fn finish_replication(&mut self, now: Millis) {
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
    pub(super) fn commit_tail(&mut self) {
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

    pub(super) fn commit_up_to(&mut self, position: Position) {
        if let Some(tail) = self.tail.take_if(|tail| tail.position == position) {
            self.state.apply(&tail);
            self.effects.push(Effect::Committed);
        }
    }

    pub(super) fn tick_primary(&mut self, now: Millis) {
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
    pub(super) fn reconsider_view(&mut self, now: Millis) {
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
}
