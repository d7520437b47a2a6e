//! Pending calls: changes that are not replicated yet, and replies that a majority has to confirm.
//!
//! A newly committed change proves that this replica was the primary, as every in-sync replica has
//! stored the change. Other replies (a rejection, a change that was committed before, the newest
//! configuration) lack this proof: a successor may have been elected meanwhile. Such a reply waits
//! for a heartbeat that was sent after the call was received and that a majority of the witnesses
//! granted. This is the read-index protocol of Raft (Ongaro, dissertation, section 6.4).

use super::primary::Stage;
use super::{ControlNode, Effect, Role, Ticket};
use crate::Millis;
use crate::changes::{Change, Outcome, ReadOutcome};
use std::collections::VecDeque;

/// A change that is not replicated yet.
#[derive(Debug)]
pub(super) struct PendingChange {
    pub(super) ticket: Ticket,
    pub(super) change: Change,
    since: Millis,
}

/// The reply to a caller, to be sent once it is confirmed.
#[derive(Debug)]
enum Answer {
    Outcome(Outcome),
    LatestConfiguration,
}

impl Answer {
    fn unknown(ticket: Ticket, answer: &Answer) -> Effect {
        match answer {
            Answer::Outcome(_) => Effect::Reply {
                ticket,
                outcome: Outcome::Unknown,
            },
            Answer::LatestConfiguration => Effect::Read {
                ticket,
                reading: ReadOutcome::Unknown,
            },
        }
    }
}

/// A reply that a majority has to confirm.
#[derive(Debug)]
struct Unconfirmed {
    ticket: Ticket,
    answer: Answer,
    since: Millis,
    /// The sequence number of the heartbeat that confirms the reply; `None` until one is sent.
    sequence: Option<u64>,
}

/// All pending calls of a primary.
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
            answer: Answer::LatestConfiguration,
            since: now,
            sequence: None,
        });
    }

    /// Queues the outcome of a change that needs no replication.
    pub(super) fn resolve(&mut self, pending: PendingChange, outcome: Outcome) {
        let PendingChange { ticket, since, .. } = pending;
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

    /// Whether there are replies for which no heartbeat was sent.
    fn needs_heartbeat(&self) -> bool {
        self.unconfirmed.iter().any(|call| call.sequence.is_none())
    }

    fn await_heartbeat(&mut self, sequence: u64) {
        self.unconfirmed.iter_mut().for_each(|call| {
            call.sequence.get_or_insert(sequence);
        });
    }

    /// Removes and returns the replies that this heartbeat confirms.
    fn confirmed_by(&mut self, confirmed: u64) -> Vec<Unconfirmed> {
        let is_confirmed =
            |call: &Unconfirmed| call.sequence.is_some_and(|sequence| sequence <= confirmed);
        let calls = std::mem::take(&mut self.unconfirmed);
        let (confirmed, remaining) = calls.into_iter().partition(is_confirmed);
        self.unconfirmed = remaining;
        confirmed
    }

    /// Removes the calls that have been pending for `timeout`, and returns their replies.
    fn expire(&mut self, now: Millis, timeout: Millis) -> Vec<Effect> {
        let is_late = |since: Millis| now >= since.saturating_add(timeout);
        let late = self
            .changes
            .iter()
            .take_while(|pending| is_late(pending.since))
            .count();
        let late = self.changes.drain(..late);
        let mut replies: Vec<Effect> = late
            .map(|pending| Effect::Reply {
                ticket: pending.ticket,
                outcome: Outcome::Unknown,
            })
            .collect();
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let (late, remaining): (Vec<_>, Vec<_>) = unconfirmed
            .into_iter()
            .partition(|call| is_late(call.since));
        self.unconfirmed = remaining;
        replies.extend(
            late.into_iter()
                .map(|call| Answer::unknown(call.ticket, &call.answer)),
        );
        replies
    }

    /// Removes all calls, as after the loss of the primary role, and returns their replies.
    pub(super) fn cancel_all(&mut self) -> Vec<Effect> {
        self.expire(Millis::MAX, 0)
    }
}

impl ControlNode {
    /// Sends a heartbeat for unconfirmed replies, and sends those that are confirmed.
    pub(super) fn confirm_calls(&mut self, now: Millis) {
        // Until its backups are synchronized, this replica does not know which changes an earlier
        // primary has acknowledged.
        if !self.is_synchronized_primary() {
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
                Answer::LatestConfiguration => {
                    let reading = ReadOutcome::Latest(self.state.configuration.clone());
                    Effect::Read { ticket, reading }
                }
            };
            self.effects.push(effect);
        }
    }

    /// Whether this replica is primary and has synchronized its backups.
    pub(super) fn is_synchronized_primary(&self) -> bool {
        matches!(&self.role, Role::Primary(primary) if !matches!(primary.stage, Stage::Starting { .. }))
    }

    pub(super) fn expire_calls(&mut self, now: Millis) {
        let replies = self.calls.expire(now, self.timing.call_timeout);
        self.effects.extend(replies);
    }
}
