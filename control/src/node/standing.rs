//! What backups, candidates and replicas outside the view do.

use super::{ControlNode, Effect};
use crate::Millis;
use crate::changes::Outcome;
use crate::message::Message;
use crate::proposer::{Attempt, Progress};
use crate::view::{Ballot, View};
use std::collections::BTreeSet;

impl ControlNode {
    pub(super) fn tick_backup(&mut self, now: Millis) {
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
    pub(super) fn attempt_view(&mut self, mut wanted: View, takes_over: bool, now: Millis) {
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

    pub(super) fn abandon_attempt(&mut self, now: Millis) {
        self.attempt = None;
        let place =
            self.view.as_ref().map_or(0, |view| view.in_sync.iter().filter(|r| **r < self.id).count());
        self.retry_at = now + 50 + place as u64 * self.timing.stagger / 2;
    }

    pub(super) fn proceed(&mut self, progress: Progress, now: Millis) {
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
    pub(super) fn ask_to_join(&mut self, now: Millis) {
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

    pub(super) fn expire_waiting(&mut self, now: Millis) {
        let patience = self.timing.change_patience;
        while self.queue.front().is_some_and(|waiting| now >= waiting.since + patience) {
            if let Some(waiting) = self.queue.pop_front() {
                let outcome = Outcome::Unknown;
                self.effects.push(Effect::Reply { ticket: waiting.ticket, outcome });
            }
        }
    }
}
