//! Client calls: sessions, transactions, linearizable reads, and the history for watchers.
//!
//! Every member applies every entry, so the called member reads the outcome from its own state, and
//! no response has to be routed back. Until then the member submits the command to the leader again
//! at each heartbeat interval. A command that is committed twice is applied once, because its
//! session detects the duplicate (Raft, dissertation, 6.3). After the call's timeout the outcome is
//! unknown.
//!
//! Reads follow Raft's ReadIndex (dissertation, 6.4): the leader records its commit index and
//! confirms with a majority that it still leads. The called member answers once it has applied the
//! entries up to that index.

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
    /// Brings this member's state up to date with every change acknowledged before the call.
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
    /// The nonce that identifies the session.
    Open(u64),
    Txn(Txn),
    /// The read index, once received from the leader.
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

/// A read at the leader that a majority has yet to confirm.
struct PendingRead {
    /// The member that reads.
    from: u64,
    /// The member's number for the read, and the member's incarnation.
    key: (u64, u64),
    /// The read index.
    index: u64,
    /// Responses to messages from this sequence number on confirm the read.
    confirmed_from: Option<u64>,
    confirmed_by: BTreeSet<u64>,
}

/// Calls in flight at a member, and reads that the member confirms as the leader.
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

    /// Handles the broadcast of a leader's message: responses to this message and later ones
    /// confirm the reads received before it.
    pub(super) fn on_broadcast(&mut self, sequence: u64) {
        for read in &mut self.reads {
            read.confirmed_from.get_or_insert(sequence);
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

    /// Replies to reads whose read index has been applied.
    pub(super) fn on_applied(&mut self, applied: u64) {
        let is_ready = |pending: &Pending| match pending.kind {
            PendingKind::Read(Some(index)) => index <= applied,
            _ => false,
        };
        for id in self.ids(is_ready) {
            self.reply(id, Reply::Read(applied));
        }
    }

    /// Retains the changes of an entry for watchers. Changes of one entry are dropped together.
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

    /// Handles a snapshot that replaces entries which would have been applied one by one. Replies
    /// to transactions whose outcome the snapshot holds.
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
    /// Starts a call. [`Store::take_replies`] returns the reply within `timeout` nanoseconds.
    ///
    /// # Errors
    ///
    /// [`TooManyCalls`] if the limit of calls in flight is reached.
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

    /// Drops a call whose reply is no longer needed. Its command may still be applied.
    pub fn cancel_call(&mut self, id: CallId) {
        self.calls.pending.remove(&id);
    }

    /// Takes the replies since the last call.
    pub fn take_replies(&mut self) -> Vec<(CallId, Reply)> {
        std::mem::take(&mut self.calls.replies)
    }

    /// Changes committed after a revision, in order.
    ///
    /// # Errors
    ///
    /// [`Compacted`] if the history no longer covers that revision.
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
            .filter(move |(changed_at, _)| *changed_at > revision))
    }

    /// Whether a command is within the store's bounds.
    pub(super) fn fits(&self, command: &Command) -> bool {
        let size = command.size();
        size.longest_bytes <= self.bounds.value_bytes && size.keys <= self.bounds.txn_keys
    }

    /// Submits unanswered calls again, and replies to calls that have timed out.
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

    /// Starts a read of any member, including this one, as the leader. The read index is the
    /// current commit index, whether or not it is durable here: a former leader may have
    /// acknowledged entries that are durable on other members.
    pub(super) fn begin_read(&mut self, from: u64, key: (u64, u64), now: Time) {
        let (commit, term) = (self.node.commit_index(), self.node.current_term());
        // Until a leader has committed an entry of its own term, its commit index may lack entries
        // that its predecessor acknowledged.
        let knows_commit = self.node.log().entries().get_term(commit) == Some(term);
        if !self.is_leader() || !knows_commit {
            return;
        }
        // Members repeat a read until they receive the index: only the latest repetition is kept.
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
            confirmed_from: None,
            confirmed_by: BTreeSet::from([self.id()]),
        });
        // Carries out queued actions first, so that the heartbeat is a separate message with a
        // sequence number of its own.
        self.process_actions(now);
        self.node.heartbeat();
        self.process_actions(now);
        self.answer_reads();
    }

    /// Handles a member's response to the leader's message with this sequence number.
    pub(super) fn on_append_response(&mut self, from: u64, term: u64, sequence: u64) {
        if !self.is_leader() || term != self.node.current_term().get() {
            return;
        }
        for read in &mut self.calls.reads {
            if read.confirmed_from.is_some_and(|first| sequence >= first) {
                read.confirmed_by.insert(from);
            }
        }
        self.answer_reads();
    }

    /// Sends the read index of reads that a majority has confirmed.
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

    /// Handles the read index of a read, which is answered once that index is applied.
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
