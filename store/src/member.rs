//! A member of the store: Raft's log and elections over the library `raftbare`, and the state
//! machine that the committed entries drive.
//!
//! Invariant: a power failure cannot undo an acknowledgement, a vote or a change reported as
//! committed. Durable state is issued as numbered writes ([`Store::take_writes`]). Each message
//! waits until the writes issued before it are completed ([`Store::take_outbox`]), and entries are
//! applied only once they are on this member's disk. `raft_messages` explains the one exception, a
//! leader's entries.
//!
//! Submodules: `client_calls` (sessions, transactions and linearizable reads), `proposals`,
//! `apply` (state machine, compaction, snapshots), `persistence`, `receive` (messages from other
//! members), `raft_messages` (where the library differs from Raft) and `rejoining` (admission of
//! newly started members).

use crate::Time;
use crate::command::{Change, Command};
use crate::log::{Entries, Position};
use crate::message::{Envelope, Message};
use crate::persisted::PersistedState;
use crate::record::Record;
use crate::rejoin::{Rejoin, Status};
use crate::state::State;
use persistence::Persistence;
use raftbare::{Action, Node, NodeId, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod apply;
mod client_calls;
mod config;
mod error;
mod persistence;
mod proposals;
mod raft_messages;
mod receive;
mod rejoining;

pub use client_calls::{Call, CallId, Reply};
pub use config::{Bounds, Membership, Timing};
pub use error::{Compacted, OtherStore, TooLarge, TooManyCalls};
pub use persistence::Write;

/// A committed change with its revision, which is the index of its log entry.
pub type Revised = (u64, Change);

/// A message that may be sent once a write is completed.
struct Outgoing {
    /// Number of the write.
    after_write: u64,
    to: u64,
    envelope: Envelope,
}

/// The last time that a member was sent missing entries.
struct Resend {
    term: u64,
    at: Time,
}

/// State to which this member has to catch up before it may vote again; see [`crate::rejoin`].
#[derive(Clone, Copy, PartialEq, Eq)]
struct CatchUpTarget {
    /// Lowest term of the leader.
    term: u64,
    /// Position up to which that leader must have committed.
    last: Position,
}

/// One member of the store.
pub struct Store {
    node: Node,
    timing: Timing,
    bounds: Bounds,
    rng: fastrand::Rng,
    /// Commands of the log's entries, as the library's log holds none.
    commands: BTreeMap<Position, Command>,
    state: State,
    /// Index of the last applied entry.
    applied: u64,
    /// Values that this member proposes again until they are committed.
    pending_puts: BTreeMap<String, String>,
    /// Id of the store; 0 while it is unknown.
    cluster: u64,
    /// Number of this start of the member, from 1.
    start: u64,
    persistence: Persistence,
    outbox: VecDeque<Outgoing>,
    resends: BTreeMap<u64, Resend>,
    /// Committed changes since the last [`Store::take_committed`].
    committed: VecDeque<Revised>,
    /// When the election or heartbeat timer expires.
    timer_at: Option<Time>,
    /// When [`Store::send_status`] sends unanswered messages again.
    status_request_at: Option<Time>,
    members: BTreeSet<u64>,
    era: u64,
    rejoin: Rejoin,
    /// Members that have accepted the store which this one bootstraps.
    accepted: BTreeSet<u64>,
    /// Whether, as far as this member knows, no member can have voted in this store yet.
    never_voted: bool,
    catch_up_target: Option<CatchUpTarget>,
    calls: client_calls::Calls,
}

impl Store {
    /// Starts a member with the state of its file, or entirely in memory if `persisted` is `None`.
    /// `seed` is for election timeouts and the ids of stores, sessions and incarnations.
    pub fn start(
        membership: &Membership,
        timing: Timing,
        bounds: Bounds,
        seed: u64,
        persisted: Option<PersistedState>,
        now: Time,
    ) -> Store {
        let id = NodeId::new(membership.id);
        let mut rng = fastrand::Rng::with_seed(seed);
        let keeps_file = persisted.is_some();
        let persisted = persisted.unwrap_or_default();
        let (start, cluster) = (persisted.starts + 1, persisted.cluster);
        let status = persisted.status();
        let bootstraps = membership.bootstraps;
        let rejoin = Rejoin::new(
            status,
            membership.members.len(),
            bootstraps,
            rng.u64(1..),
            persisted.generation,
            persisted.peers.clone(),
        );
        let never_voted = persisted.joined || status == Status::Bootstrapping;
        let (node, snapshot, commands) = match status {
            Status::Empty => (Node::start(id), Default::default(), BTreeMap::new()),
            _ => persisted.into_node(id),
        };
        // Entries recovered from the file are on the disk.
        let durable_index = node.log().last_position().index.get();
        let mut store = Store {
            applied: snapshot.position.index,
            state: snapshot.state,
            node,
            timing,
            bounds,
            rng,
            commands,
            pending_puts: BTreeMap::new(),
            cluster,
            start,
            persistence: Persistence::new(keeps_file, durable_index),
            outbox: VecDeque::new(),
            resends: BTreeMap::new(),
            committed: VecDeque::new(),
            timer_at: None,
            status_request_at: None,
            members: membership.members.clone(),
            era: membership.era,
            rejoin,
            accepted: BTreeSet::new(),
            never_voted,
            catch_up_target: None,
            calls: client_calls::Calls::new(snapshot.position.index),
        };
        store.persist(Record::Start(start));
        // A single-member store needs no status responses.
        if status == Status::Empty && bootstraps && store.members.len() == 1 {
            store.bootstrap();
        }
        store.send_status(now);
        store.process_actions(now);
        store
    }

    /// The committed state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The last value of a key in this member's log with its revision, committed or not. For a
    /// restarted member that cannot reach the others this is the best available value.
    pub fn latest_known(&self, key: &str) -> Option<(u64, &str)> {
        let unapplied = self.unapplied().rev().filter_map(|(position, command)| {
            let sets = match command {
                Command::Put(change) => std::slice::from_ref(change),
                Command::Txn(txn) => &txn.sets[..],
                Command::Open(_) => &[],
            };
            let set = sets.iter().find(|set| set.key == key)?;
            Some((position.index, set.value.as_deref()?))
        });
        let applied = || {
            let versioned = self.state.versioned(key)?;
            Some((versioned.revision, versioned.value.as_str()))
        };
        unapplied.max().or_else(applied)
    }

    /// Whether this member regards itself as the leader; a newer leader may exist.
    pub fn is_leader(&self) -> bool {
        self.node.role() == Role::Leader
    }

    /// When [`Store::timer`] has to be called next.
    pub fn due(&self) -> Option<Time> {
        let timer_at = self
            .timer_at
            .filter(|_| self.is_active() && !self.never_voted);
        // A single-member store needs no elections, heartbeats or status requests.
        let member_timers = [timer_at, self.status_request_at]
            .into_iter()
            .flatten()
            .min()
            .filter(|_| self.members.len() > 1);
        [member_timers, self.calls.due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Status of this member, which votes only while active.
    pub fn status(&self) -> Status {
        self.rejoin.status()
    }

    /// The condition for which this member waits before it votes, as a sentence for operators.
    pub fn waiting_for(&self) -> Option<String> {
        let bootstrap = || "the store has not been bootstrapped yet".to_owned();
        self.rejoin
            .waiting_for()
            .or_else(|| (self.never_voted && self.is_active()).then(bootstrap))
    }

    /// This member's generation: the number of times that its file was lost.
    pub fn generation(&self) -> u64 {
        self.rejoin.generation()
    }

    fn is_active(&self) -> bool {
        self.rejoin.status() == Status::Active
    }

    /// Id of the store; 0 while it is unknown.
    pub fn cluster(&self) -> u64 {
        self.cluster
    }

    /// Number of this start of the member, from 1.
    pub fn starts(&self) -> u64 {
        self.start
    }

    /// Index of the last applied entry: the revision of [`Store::state`].
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Takes the messages whose writes are completed, with their receivers.
    pub fn take_outbox(&mut self) -> Vec<(u64, Envelope)> {
        let completed = self.persistence.last_completed();
        let (ready, waiting) = std::mem::take(&mut self.outbox)
            .into_iter()
            .partition::<VecDeque<_>, _>(|outgoing| outgoing.after_write <= completed);
        self.outbox = waiting;
        ready
            .into_iter()
            .map(|outgoing| (outgoing.to, outgoing.envelope))
            .collect()
    }

    /// Takes the changes committed since the last call.
    pub fn take_committed(&mut self) -> VecDeque<Revised> {
        std::mem::take(&mut self.committed)
    }

    /// Handles expired timers: heartbeats, elections, unanswered client calls and status requests.
    pub fn timer(&mut self, now: Time) {
        self.retry_calls(now);
        if self.status_request_at.is_some_and(|at| at <= now) {
            self.send_status(now);
        }
        if self.is_active() && !self.never_voted && self.timer_at.is_some_and(|at| at <= now) {
            self.node.handle_election_timeout();
            self.propose_pending_puts();
        }
        self.process_actions(now);
    }

    /// Carries out the library's actions in order, then applies committed entries.
    fn process_actions(&mut self, now: Time) {
        while let Some(action) = self.node.actions_mut().next() {
            self.process_action(action, now);
        }
        // The outbox is bounded: messages to a member that is down must not accumulate.
        while self.outbox.len() > self.bounds.log {
            self.outbox.pop_front();
        }
        self.apply();
    }

    fn process_action(&mut self, action: Action, now: Time) {
        match action {
            Action::SetElectionTimeout => {
                let wait = match self.node.role() {
                    Role::Leader => self.timing.heartbeat,
                    _ => self.timing.election + self.rng.u64(0..=self.timing.election),
                };
                self.timer_at = Some(now + wait);
            }
            Action::SaveCurrentTerm => {
                self.never_voted = false;
                self.persist(Record::Term(self.node.current_term().get()));
            }
            Action::SaveVotedFor => {
                self.persist(Record::Vote(self.node.voted_for().map(NodeId::get)));
            }
            Action::AppendLogEntries(entries) => {
                let entries = Entries::new(&entries, &self.commands);
                self.persist(Record::Append(entries));
            }
            Action::BroadcastMessage(message) => {
                self.calls.on_broadcast(message.seqno().get());
                let peers: Vec<u64> = self.node.peers().map(NodeId::get).collect();
                let (after_write, envelope) = self.wrap_raft(&message);
                self.outbox.extend(peers.into_iter().map(|to| Outgoing {
                    after_write,
                    to,
                    envelope: envelope.clone(),
                }));
            }
            Action::SendMessage(to, message) => {
                let (after_write, envelope) = self.wrap_raft(&message);
                let to = to.get();
                if !self.is_duplicate_resend(to, &envelope, now) {
                    self.outbox.push_back(Outgoing {
                        after_write,
                        to,
                        envelope,
                    });
                }
            }
            Action::InstallSnapshot(to) => {
                if let Some(snapshot) = self.snapshot() {
                    let message = Message::InstallSnapshot {
                        snapshot,
                        requested_by: 0,
                    };
                    self.send(to.get(), message);
                }
            }
        }
    }

    /// Queues a message that waits for every write issued so far.
    fn send(&mut self, to: u64, message: Message) {
        let envelope = self.envelope(message);
        self.outbox.push_back(Outgoing {
            after_write: self.persistence.last_issued(),
            to,
            envelope,
        });
    }

    fn id(&self) -> u64 {
        self.node.id().get()
    }

    /// Position of the log's last entry.
    fn last_position(&self) -> Position {
        self.node.log().last_position().into()
    }
}

#[cfg(test)]
mod tests;
