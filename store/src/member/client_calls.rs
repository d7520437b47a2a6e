//! Client calls: sessions, transactions, linearizable reads, and the history for watchers.
//!
//! Every member applies every entry, so the member that was called sees the outcome in its own
//! state, and no response has to be routed back. Until then it submits the command to the leader
//! again at each heartbeat interval. A command that is committed twice is applied once, by its
//! session (Raft, dissertation, 6.3). After the call's timeout the outcome is unknown.
//!
//! Reads follow Raft's ReadIndex (dissertation, 6.4): the leader notes its commit index, confirms
//! with a majority that it still leads, and the calling member answers once it has applied up to
//! that index.

use super::{Compacted, Revised, Store, TooManyCalls};
use crate::Time;
use crate::command::{Change, Command, Txn};
use crate::message::Message;
use crate::state::{Completion, Outcome, Rejection, State};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The caller's number for a call, unique in this member's incarnation.
pub type CallId = u64;

/// A client call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Opens a session.
    Open,
    /// Applies a transaction.
    Txn(Txn),
    /// Brings this member's state at least up to whatever was acknowledged to anyone before the
    /// call.
    Read,
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Id of the new session.
    Opened(u64),
    /// Outcome of the transaction.
    Txn(Outcome),
    /// The state is up to date, at this revision.
    Read(u64),
    /// The call timed out. A transaction may have been applied, or may yet be.
    Unknown,
}

/// A call in flight.
struct Pending {
    kind: PendingKind,
    deadline: Time,
}

enum PendingKind {
    /// The nonce that tells the session from others.
    Open(u64),
    Txn(Txn),
    /// The read index, once the leader has sent it.
    Read(Option<u64>),
}

impl PendingKind {
    fn is_completed_by(&self, completion: &Completion) -> bool {
        match (self, completion) {
            (PendingKind::Open(own), Completion::SessionOpened { nonce, .. }) => own == nonce,
            (
                PendingKind::Txn(txn),
                Completion::Txn {
                    session, request, ..
                },
            ) => (txn.session, txn.request) == (*session, *request),
            _ => false,
        }
    }
}

/// A read at the leader, until a majority has confirmed that it still leads.
struct PendingRead {
    /// The member that reads.
    from: u64,
    /// That member's number for the read, and its incarnation.
    key: (u64, u64),
    /// The read index.
    index: u64,
    /// Responses to the leader's message of this sequence number or a later one confirm.
    after: Option<u64>,
    confirmed_by: BTreeSet<u64>,
}

/// Calls in flight at a member, and reads that it confirms as the leader.
pub(super) struct Calls {
    pending: BTreeMap<CallId, Pending>,
    replies: Vec<(CallId, Reply)>,
    reads: Vec<PendingRead>,
    retry_at: Option<Time>,
    /// Recently committed changes, complete after the revision `compacted_to`.
    history: VecDeque<Revised>,
    compacted_to: u64,
}

impl Calls {
    pub(super) fn new(compacted_to: u64) -> Calls {
        Calls {
            pending: BTreeMap::new(),
            replies: Vec::new(),
            reads: Vec::new(),
            retry_at: None,
            history: VecDeque::new(),
            compacted_to,
        }
    }

    /// When calls are retried or time out.
    pub(super) fn due(&self) -> Option<Time> {
        self.retry_at
    }

    /// The leader has sent a message to all members: responses from here on confirm reads that
    /// came before it.
    pub(super) fn on_broadcast(&mut self, sequence: u64) {
        for read in &mut self.reads {
            read.after.get_or_insert(sequence);
        }
    }

    fn reply(&mut self, id: CallId, reply: Reply) {
        if self.pending.remove(&id).is_some() {
            self.replies.push((id, reply));
        }
        if self.pending.is_empty() {
            self.retry_at = None;
        }
    }

    fn ids(&self, filter: impl Fn(&Pending) -> bool) -> Vec<CallId> {
        self.pending
            .iter()
            .filter(|(_, pending)| filter(pending))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Replies to calls that an applied entry completes.
    pub(super) fn complete(&mut self, completion: Option<Completion>) {
        let Some(completion) = completion else {
            return;
        };
        for id in self.ids(|pending| pending.kind.is_completed_by(&completion)) {
            let reply = match &completion {
                Completion::SessionOpened { session, .. } => Reply::Opened(*session),
                Completion::Txn { outcome, .. } => Reply::Txn(outcome.clone()),
            };
            self.reply(id, reply);
        }
    }

    /// Replies to reads whose index is applied.
    pub(super) fn on_applied(&mut self, applied: u64) {
        let is_ready = |pending: &Pending| match pending.kind {
            PendingKind::Read(Some(index)) => index <= applied,
            _ => false,
        };
        for id in self.ids(is_ready) {
            self.reply(id, Reply::Read(applied));
        }
    }

    /// Retains what an entry changed, for watchers. Changes of one entry are dropped together.
    pub(super) fn record_history(&mut self, revision: u64, changes: &[Change], limit: usize) {
        self.history
            .extend(changes.iter().map(|change| (revision, change.clone())));
        while self.history.len() > limit {
            let Some((dropped, _)) = self.history.pop_front() else {
                break;
            };
            self.compacted_to = dropped;
            while self
                .history
                .front()
                .is_some_and(|(revision, _)| *revision == dropped)
            {
                self.history.pop_front();
            }
        }
    }

    /// A snapshot has replaced entries that would have been applied one by one: replies to
    /// transactions whose outcome it holds.
    pub(super) fn on_snapshot_installed(&mut self, revision: u64, state: &State) {
        self.history.clear();
        self.compacted_to = revision;
        let outcome = |pending: &Pending| match &pending.kind {
            PendingKind::Txn(txn) => state.outcome(txn.session, txn.request).cloned(),
            _ => None,
        };
        let completed: Vec<(CallId, Outcome)> = self
            .pending
            .iter()
            .filter_map(|(id, pending)| Some((*id, outcome(pending)?)))
            .collect();
        for (id, outcome) in completed {
            self.reply(id, Reply::Txn(outcome));
        }
    }
}

impl Store {
    /// Starts a call; the reply comes by [`Store::take_replies`] within `timeout` nanoseconds.
    ///
    /// # Errors
    ///
    /// [`TooManyCalls`] if as many calls as allowed are in flight.
    pub fn call(
        &mut self,
        id: CallId,
        call: Call,
        timeout: Time,
        now: Time,
    ) -> Result<(), TooManyCalls> {
        if self.calls.pending.len() >= self.bounds.calls {
            return Err(TooManyCalls);
        }
        let kind = match call {
            Call::Open => PendingKind::Open(self.rng.u64(..)),
            Call::Txn(txn) => PendingKind::Txn(txn),
            Call::Read => PendingKind::Read(None),
        };
        let outcome = match &kind {
            PendingKind::Txn(txn) if !self.fits(&Command::Txn(txn.clone())) => {
                Some(Outcome::Rejected(Rejection::TooLarge))
            }
            PendingKind::Txn(txn) => self.state.outcome(txn.session, txn.request).cloned(),
            _ => None,
        };
        let deadline = now.saturating_add(timeout);
        self.calls.pending.insert(id, Pending { kind, deadline });
        if let Some(outcome) = outcome {
            self.calls.reply(id, Reply::Txn(outcome));
        } else {
            self.calls.retry_at = Some(now);
            self.retry_calls(now);
        }
        self.process_actions(now);
        Ok(())
    }

    /// Drops a call whose reply nobody waits for. Its command may still be applied.
    pub fn cancel_call(&mut self, id: CallId) {
        self.calls.pending.remove(&id);
    }

    /// Replies since this was last called.
    pub fn take_replies(&mut self) -> Vec<(CallId, Reply)> {
        std::mem::take(&mut self.calls.replies)
    }

    /// Changes committed after a revision, in order.
    ///
    /// # Errors
    ///
    /// [`Compacted`] if the history does not reach back so far.
    pub fn changes_since(
        &self,
        revision: u64,
    ) -> Result<impl Iterator<Item = &Revised>, Compacted> {
        if revision < self.calls.compacted_to {
            return Err(Compacted(self.calls.compacted_to));
        }
        Ok(self
            .calls
            .history
            .iter()
            .filter(move |(at, _)| *at > revision))
    }

    /// Whether a command is within the store's bounds.
    pub(super) fn fits(&self, command: &Command) -> bool {
        let size = command.size();
        size.longest_bytes <= self.bounds.value_bytes && size.keys <= self.bounds.txn_keys
    }

    /// Submits calls without a reply again, and replies to those that timed out.
    pub(super) fn retry_calls(&mut self, now: Time) {
        if self.calls.retry_at.is_none_or(|at| at > now) {
            return;
        }
        for id in self.calls.ids(|pending| pending.deadline <= now) {
            self.calls.reply(id, Reply::Unknown);
        }
        let deadlines = self.calls.pending.values().map(|pending| pending.deadline);
        let Some(first) = deadlines.min() else {
            return;
        };
        self.calls.retry_at = Some(first.min(now + self.timing.heartbeat));
        if self.is_active() {
            self.submit_calls(now);
        }
    }

    fn submit_calls(&mut self, now: Time) {
        let (mut commands, mut reads) = (Vec::new(), Vec::new());
        for (id, pending) in &self.calls.pending {
            match &pending.kind {
                PendingKind::Open(nonce) => commands.push(Command::Open(*nonce)),
                PendingKind::Txn(txn) => commands.push(Command::Txn(txn.clone())),
                PendingKind::Read(None) => reads.push(*id),
                PendingKind::Read(Some(_)) => {}
            }
        }
        for command in commands {
            self.submit(command);
        }
        let incarnation = self.rejoin.incarnation();
        for number in reads {
            if self.is_leader() {
                self.begin_read(self.id(), (number, incarnation), now);
            } else if let Some(leader) = self.leader() {
                let message = Message::ReadIndex {
                    number,
                    incarnation,
                };
                self.send(leader, message);
            }
        }
    }

    /// Takes a read of a member, this one included, as the leader. The read index is the commit
    /// index at this moment, be it on the leader's own disk or not: a former leader may have
    /// acknowledged entries that are on the disks of others.
    pub(super) fn begin_read(&mut self, from: u64, key: (u64, u64), now: Time) {
        let (commit, term) = (self.node.commit_index(), self.node.current_term());
        // A leader that has committed nothing in its own term may not know yet what its
        // predecessor acknowledged.
        let knows_commit = self.node.log().entries().get_term(commit) == Some(term);
        if !self.is_leader() || !knows_commit {
            return;
        }
        // A member repeats its read until it has the index: only the last repetition counts.
        self.calls
            .reads
            .retain(|read| (read.from, read.key) != (from, key));
        if self.calls.reads.len() >= self.bounds.calls * self.members.len() {
            return;
        }
        self.calls.reads.push(PendingRead {
            from,
            key,
            index: commit.get(),
            after: None,
            confirmed_by: BTreeSet::from([self.id()]),
        });
        // Actions that the library has queued are carried out first, so that the heartbeat is a
        // message of its own.
        self.process_actions(now);
        self.node.heartbeat();
        self.process_actions(now);
        self.answer_reads();
    }

    /// A member has responded to the leader's message of this sequence number.
    pub(super) fn on_append_response(&mut self, from: u64, term: u64, sequence: u64) {
        if !self.is_leader() || term != self.node.current_term().get() {
            return;
        }
        for read in &mut self.calls.reads {
            if read.after.is_some_and(|after| sequence >= after) {
                read.confirmed_by.insert(from);
            }
        }
        self.answer_reads();
    }

    /// Sends the index of reads that a majority has confirmed.
    fn answer_reads(&mut self) {
        if !self.is_leader() {
            return self.calls.reads.clear();
        }
        let majority = self.members.len() / 2 + 1;
        let (confirmed, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.calls.reads)
            .into_iter()
            .partition(|read| read.confirmed_by.len() >= majority);
        self.calls.reads = waiting;
        for read in confirmed {
            let ((number, incarnation), index) = (read.key, read.index);
            if read.from == self.id() {
                self.on_read_index(number, index);
            } else {
                let message = Message::ReadIndexResponse {
                    number,
                    incarnation,
                    index,
                };
                self.send(read.from, message);
            }
        }
    }

    /// The leader has confirmed a read of this member: it is answered once its index is applied.
    pub(super) fn on_read_index(&mut self, number: u64, read_index: u64) {
        if let Some(Pending {
            kind: PendingKind::Read(index),
            ..
        }) = self.calls.pending.get_mut(&number)
        {
            index.get_or_insert(read_index);
        }
        self.calls.on_applied(self.applied);
    }
}
