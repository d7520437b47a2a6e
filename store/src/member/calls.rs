//! What is asked of the store through this member: sessions, changes of several keys, reads that
//! are true when they are answered, and what was committed since a revision.
//!
//! Every member applies every entry, so the one that was asked sees the answer there and none has
//! to be sent back. It puts the request to the leader a heartbeat apart until then; a request that
//! comes twice is made once, by its session. When the caller's patience ends it is told that what
//! came of it is not known.

use super::Store;
use crate::Time;
use crate::command::{Command, Txn};
use crate::packet::{Body, Change};
use crate::state::{Done, Outcome, Refusal, State};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A number that its caller gives to what it asks.
pub type CallId = u64;

/// Something that is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// A session.
    Open,
    /// A change of several keys.
    Txn(Txn),
    /// That this member's state be as new as anything that anybody was told before this was asked.
    Read,
}

/// What it comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The session.
    Opened(u64),
    /// What came of the change.
    Made(Outcome),
    /// The state is as new as that now, and at this revision.
    Read(u64),
    /// Nothing was heard in time. A change may or may not have been made, or may yet be.
    Unknown,
}

/// As much is asked through this member as may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooMany;

/// What was committed so early is not kept any more; it is from this revision on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Compacted(pub u64);

/// Something asked, and how long its answer is waited for.
struct Pending {
    what: What,
    until: Time,
}

enum What {
    Open(u64),
    Txn(Txn),
    /// Up to where this member must have applied, once it is told.
    Read(Option<u64>),
}

/// A read for which the leader makes sure that it leads.
struct Reading {
    from: u64,
    /// The asker's number and life.
    asked: (u64, u64),
    index: u64,
    /// Answers to this message of the leader or a later one count.
    after: Option<u64>,
    heard: BTreeSet<u64>,
}

/// What is asked through a member, and of it as a leader.
pub(super) struct Calls {
    pending: BTreeMap<CallId, Pending>,
    replies: Vec<(CallId, Reply)>,
    readings: Vec<Reading>,
    press_at: Option<Time>,
    /// What was committed of late, and the revision after which it is whole.
    history: VecDeque<(u64, Change)>,
    floor: u64,
}

impl Calls {
    pub(super) fn new(floor: u64) -> Calls {
        let (pending, replies, readings) = (BTreeMap::new(), Vec::new(), Vec::new());
        Calls {
            pending,
            replies,
            readings,
            press_at: None,
            history: VecDeque::new(),
            floor,
        }
    }

    pub(super) fn due(&self) -> Option<Time> {
        self.press_at
    }

    /// The leader has spoken to all: reads that waited for that count answers from here on.
    pub(super) fn spoke(&mut self, sequence: u64) {
        for reading in self
            .readings
            .iter_mut()
            .filter(|reading| reading.after.is_none())
        {
            reading.after = Some(sequence);
        }
    }

    fn answer(&mut self, id: CallId, reply: Reply) {
        if self.pending.remove(&id).is_some() {
            self.replies.push((id, reply));
        }
        if self.pending.is_empty() {
            self.press_at = None;
        }
    }

    /// An entry is applied that somebody may have waited for.
    pub(super) fn done(&mut self, done: Option<Done>) {
        let waits = |pending: &Pending| match (&pending.what, &done) {
            (What::Open(nonce), Some(Done::Opened(opened, _))) => nonce == opened,
            (What::Txn(txn), Some(Done::Made(session, request, _))) => {
                (txn.session, txn.request) == (*session, *request)
            }
            _ => false,
        };
        let ids: Vec<CallId> = self
            .pending
            .iter()
            .filter(|(_, p)| waits(p))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            match &done {
                Some(Done::Opened(_, session)) => self.answer(id, Reply::Opened(*session)),
                Some(Done::Made(.., outcome)) => self.answer(id, Reply::Made(outcome.clone())),
                None => {}
            }
        }
    }

    /// Everything up to here is applied.
    pub(super) fn applied(&mut self, applied: u64) {
        let waits = |(_, p): &(&CallId, &Pending)| matches!(p.what, What::Read(Some(index)) if index <= applied);
        let ids: Vec<CallId> = self
            .pending
            .iter()
            .filter(waits)
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .for_each(|id| self.answer(id, Reply::Read(applied)));
    }

    /// Keeps what an entry changed for those who watch from a revision on.
    pub(super) fn note(&mut self, revision: u64, changes: &[Change], most: usize) {
        self.history
            .extend(changes.iter().map(|change| (revision, change.clone())));
        while self.history.len() > most {
            // What one entry changed goes together.
            let Some((gone, _)) = self.history.pop_front() else {
                break;
            };
            self.floor = gone;
            while self
                .history
                .front()
                .is_some_and(|(revision, _)| *revision == gone)
            {
                self.history.pop_front();
            }
        }
    }

    /// A snapshot took the place of what would have been applied one by one.
    pub(super) fn skipped(&mut self, to: u64, state: &State) {
        self.history.clear();
        self.floor = to;
        let known = |p: &Pending| match &p.what {
            What::Txn(txn) => state.outcome(txn.session, txn.request).cloned(),
            _ => None,
        };
        let done: Vec<_> = self
            .pending
            .iter()
            .filter_map(|(id, p)| Some((*id, known(p)?)))
            .collect();
        done.into_iter()
            .for_each(|(id, outcome)| self.answer(id, Reply::Made(outcome)));
    }
}

impl Store {
    /// Asks something, under a number that the caller has not used before in this member's life.
    /// The answer comes by [`Store::take_replies`], within the caller's patience.
    pub fn call(
        &mut self,
        id: CallId,
        call: Call,
        patience: Time,
        now: Time,
    ) -> Result<(), TooMany> {
        if self.calls.pending.len() >= self.bounds.calls {
            return Err(TooMany);
        }
        let what = match call {
            Call::Open => What::Open(self.rng.u64(..)),
            Call::Txn(txn) => What::Txn(txn),
            Call::Read => What::Read(None),
        };
        let too_large = matches!(&what, What::Txn(txn) if !self.fits(&Command::Txn(txn.clone())));
        let known = match &what {
            What::Txn(txn) => self.state.outcome(txn.session, txn.request).cloned(),
            _ => None,
        };
        self.calls.pending.insert(
            id,
            Pending {
                what,
                until: now.saturating_add(patience),
            },
        );
        if too_large {
            self.calls
                .answer(id, Reply::Made(Outcome::Refused(Refusal::TooLarge)));
        } else if let Some(outcome) = known {
            self.calls.answer(id, Reply::Made(outcome));
        } else {
            self.calls.press_at = Some(now);
            self.press(now);
        }
        self.settle(now);
        Ok(())
    }

    /// Nobody waits for this answer any more. What it asked may still be done.
    pub fn forget_call(&mut self, id: CallId) {
        self.calls.pending.remove(&id);
    }

    /// Answers since this was last asked.
    pub fn take_replies(&mut self) -> Vec<(CallId, Reply)> {
        std::mem::take(&mut self.calls.replies)
    }

    /// What was committed after a revision, in order.
    pub fn since(&self, revision: u64) -> Result<impl Iterator<Item = &(u64, Change)>, Compacted> {
        if revision < self.calls.floor {
            return Err(Compacted(self.calls.floor));
        }
        Ok(self
            .calls
            .history
            .iter()
            .filter(move |(at, _)| *at > revision))
    }

    /// Whether a command keeps within what the store takes.
    pub(super) fn fits(&self, command: &Command) -> bool {
        let (bytes, keys) = command.size();
        bytes <= self.bounds.value_bytes && keys <= self.bounds.txn_keys
    }

    /// Puts what has no answer yet to the leader, again if need be, and gives up what is out of its
    /// time.
    pub(super) fn press(&mut self, now: Time) {
        if self.calls.press_at.is_none_or(|at| at > now) {
            return;
        }
        let late: Vec<CallId> = self
            .calls
            .pending
            .iter()
            .filter(|(_, p)| p.until <= now)
            .map(|(id, _)| *id)
            .collect();
        late.into_iter()
            .for_each(|id| self.calls.answer(id, Reply::Unknown));
        let Some(first) = self.calls.pending.values().map(|p| p.until).min() else {
            return;
        };
        self.calls.press_at = Some(first.min(now + self.pace.heartbeat));
        if !self.takes_part() {
            return;
        }
        let (mut commands, mut reads) = (Vec::new(), Vec::new());
        for (id, pending) in &self.calls.pending {
            match &pending.what {
                What::Open(nonce) => commands.push(Command::Open(*nonce)),
                What::Txn(txn) => commands.push(Command::Txn(txn.clone())),
                What::Read(None) => reads.push(*id),
                What::Read(Some(_)) => {}
            }
        }
        commands
            .into_iter()
            .for_each(|command| self.hand_in(command));
        for number in reads {
            if self.leads() {
                self.begin_read(self.id(), (number, self.rejoin.life()), now);
            } else if let Some(leader) = self.leader() {
                let packet = self.packet(Body::Read {
                    number,
                    life: self.rejoin.life(),
                });
                self.outbox.push_back((self.made, leader, packet));
            }
        }
    }

    /// A member, this one perhaps, wants to read: what is committed now is what it has to see, if
    /// this one leads still.
    pub(super) fn begin_read(&mut self, from: u64, asked: (u64, u64), now: Time) {
        let (commit, term) = (self.node.commit_index(), self.node.current_term());
        // One that has committed nothing in its own term may not know what its predecessor told.
        let knows = self.node.log().entries().get_term(commit) == Some(term);
        if !self.leads() || !knows {
            return;
        }
        // It asks again until it has its answer: only the last time counts.
        self.calls
            .readings
            .retain(|reading| (reading.from, reading.asked) != (from, asked));
        if self.calls.readings.len() >= self.bounds.calls * self.members.len() {
            return;
        }
        // Not only what is on this member's own disk: its predecessor may have told what lay on the
        // others'.
        let (index, heard) = (commit.get(), BTreeSet::from([self.id()]));
        self.calls.readings.push(Reading {
            from,
            asked,
            index,
            after: None,
            heard,
        });
        // What is to be sent already goes by itself, so that the next message is a later one.
        self.settle(now);
        self.node.heartbeat();
        self.settle(now);
        self.answer_readings();
    }

    /// A member has answered the leader's message of this number.
    pub(super) fn heard(&mut self, from: u64, term: u64, sequence: u64) {
        if !self.leads() || term != self.node.current_term().get() {
            return;
        }
        for reading in &mut self.calls.readings {
            if reading.after.is_some_and(|after| sequence >= after) {
                reading.heard.insert(from);
            }
        }
        self.answer_readings();
    }

    fn answer_readings(&mut self) {
        if !self.leads() {
            return self.calls.readings.clear();
        }
        let enough = self.members.len() / 2 + 1;
        let (sure, rest) = std::mem::take(&mut self.calls.readings)
            .into_iter()
            .partition(|reading: &Reading| reading.heard.len() >= enough);
        self.calls.readings = rest;
        let sure: Vec<Reading> = sure;
        for Reading {
            from,
            asked: (number, life),
            index,
            ..
        } in sure
        {
            if from == self.id() {
                self.read_at(number, index);
            } else {
                let packet = self.packet(Body::ReadAt {
                    number,
                    life,
                    index,
                });
                self.outbox.push_back((self.made, from, packet));
            }
        }
    }

    /// The leader has said up to where this member must have applied.
    pub(super) fn read_at(&mut self, number: u64, index: u64) {
        if let Some(Pending {
            what: What::Read(at),
            ..
        }) = self.calls.pending.get_mut(&number)
        {
            at.get_or_insert(index);
        }
        self.calls.applied(self.applied);
    }
}
