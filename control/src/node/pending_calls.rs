//! Callers that wait: changes that are not ordered yet, and answers that a majority has to confirm.
//!
//! A change that is stored proves by itself that this replica is the primary: every in-sync replica
//! has taken it. An answer without one (a refusal, a change made before, the newest configuration)
//! proves nothing, so it waits for a sequence of heartbeats that began after the call came, and
//! that a majority of the witnesses granted.

use super::primary::Stage;
use super::{ControlNode, Effect, Role, Ticket};
use crate::Millis;
use crate::changes::{Change, Outcome, ReadOutcome};
use std::collections::VecDeque;

/// A change that is not ordered yet.
#[derive(Debug)]
pub(super) struct PendingChange {
    pub(super) ticket: Ticket,
    pub(super) change: Change,
    since: Millis,
}

/// What a caller is told once that is confirmed.
#[derive(Debug)]
enum Answer {
    Outcome(Outcome),
    ReadOutcome,
}

impl Answer {
    fn unknown(ticket: Ticket, answer: &Answer) -> Effect {
        match answer {
            Answer::Outcome(_) => Effect::Reply {
                ticket,
                outcome: Outcome::Unknown,
            },
            Answer::ReadOutcome => Effect::Read {
                ticket,
                reading: ReadOutcome::Unknown,
            },
        }
    }
}

/// An answer that a majority has to confirm.
#[derive(Debug)]
struct Unconfirmed {
    ticket: Ticket,
    answer: Answer,
    since: Millis,
    /// The sequence of heartbeats that confirms it; none where it has not begun.
    sequence: Option<u64>,
}

/// All callers that wait.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    changes: VecDeque<PendingChange>,
    unconfirmed: Vec<Unconfirmed>,
}

impl PendingCalls {
    pub(super) fn submit(&mut self, ticket: Ticket, change: Change, now: Millis) {
        self.changes.push_back(PendingChange {
            ticket,
            change,
            since: now,
        });
    }

    pub(super) fn read(&mut self, ticket: Ticket, now: Millis) {
        self.unconfirmed.push(Unconfirmed {
            ticket,
            answer: Answer::ReadOutcome,
            since: now,
            sequence: None,
        });
    }

    /// A change was judged without being made.
    pub(super) fn resolve(&mut self, waiting: PendingChange, outcome: Outcome) {
        let PendingChange { ticket, since, .. } = waiting;
        let answer = Answer::Outcome(outcome);
        self.unconfirmed.push(Unconfirmed {
            ticket,
            answer,
            since,
            sequence: None,
        });
    }

    pub(super) fn next_change(&mut self) -> Option<PendingChange> {
        self.changes.pop_front()
    }

    /// Answers that no sequence of heartbeats has begun for.
    fn needs_heartbeat(&self) -> bool {
        self.unconfirmed.iter().any(|call| call.sequence.is_none())
    }

    fn await_heartbeat(&mut self, sequence: u64) {
        self.unconfirmed.iter_mut().for_each(|call| {
            call.sequence.get_or_insert(sequence);
        });
    }

    /// Takes out those that this sequence confirms.
    fn confirmed_by(&mut self, confirmed: u64) -> Vec<Unconfirmed> {
        let is_confirmed =
            |call: &Unconfirmed| call.sequence.is_some_and(|sequence| sequence <= confirmed);
        let calls = std::mem::take(&mut self.unconfirmed);
        let (confirmed, left) = calls.into_iter().partition(is_confirmed);
        self.unconfirmed = left;
        confirmed
    }

    /// Takes out those that have waited too long, and says what they are told.
    fn expire(&mut self, now: Millis, timeout: Millis) -> Vec<Effect> {
        let is_late = |since: Millis| now >= since.saturating_add(timeout);
        let late = self
            .changes
            .iter()
            .take_while(|waiting| is_late(waiting.since))
            .count();
        let late = self.changes.drain(..late);
        let mut replies: Vec<Effect> = late
            .map(|waiting| Effect::Reply {
                ticket: waiting.ticket,
                outcome: Outcome::Unknown,
            })
            .collect();
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let (late, left): (Vec<_>, Vec<_>) = unconfirmed
            .into_iter()
            .partition(|call| is_late(call.since));
        self.unconfirmed = left;
        replies.extend(
            late.into_iter()
                .map(|call| Answer::unknown(call.ticket, &call.answer)),
        );
        replies
    }

    /// Nobody can be told anything here.
    pub(super) fn give_up(&mut self) -> Vec<Effect> {
        self.expire(Millis::MAX, 0)
    }
}

impl ControlNode {
    /// Has a majority confirm what is to be answered, and answers what is confirmed.
    pub(super) fn confirm_calls(&mut self, now: Millis) {
        // Until this replica is in step with its backups it does not know what an earlier primary
        // has acknowledged.
        if !self.knows_what_is_committed() {
            return;
        }
        if self.calls.needs_heartbeat() {
            let sequence = self.send_heartbeats(now);
            self.calls.await_heartbeat(sequence);
        }
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let Some(confirmed) = self
            .view()
            .and_then(|view| primary.lease.confirmed_sequence(view))
        else {
            return;
        };
        for call in self.calls.confirmed_by(confirmed) {
            let ticket = call.ticket;
            let effect = match call.answer {
                Answer::Outcome(outcome) => Effect::Reply { ticket, outcome },
                Answer::ReadOutcome => {
                    let reading = ReadOutcome::Latest(self.state.configuration.clone());
                    Effect::Read { ticket, reading }
                }
            };
            self.effects.push(effect);
        }
    }

    /// Whether this replica is primary and in step with its backups.
    pub(super) fn knows_what_is_committed(&self) -> bool {
        matches!(&self.role, Role::Primary(primary) if !matches!(primary.stage, Stage::Starting { .. }))
    }

    pub(super) fn expire_calls(&mut self, now: Millis) {
        let replies = self.calls.expire(now, self.timing.call_timeout);
        self.effects.extend(replies);
    }
}
