//! A member of the store: Raft's log and elections over the library `raftbare`, and the state
//! machine that the committed entries drive.
//!
//! Invariant: nothing is acknowledged, voted or shown as committed that a power failure could take
//! back. What has to be durable goes out as numbered writes ([`Store::take_writes`]); each message
//! waits until the writes before it are completed ([`Store::take_outbox`]), and entries are applied
//! only once they are on this member's disk. The one exception, entries of a leader, is explained
//! in `raft_messages`.
//!
//! The module's parts: `client_calls` (sessions, transactions and linearizable reads), `proposals`,
//! `apply` (state machine, compaction, snapshots), `persistence`, `receive` (messages of other
//! members), `raft_messages` (where the library differs from Raft) and `rejoining` (admission of
//! members that have just started).

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

/// A committed change with its revision: the index of its entry.
pub type Revised = (u64, Change);

/// A message that waits for a write before it may be sent.
struct Outgoing {
    /// Number of the write.
    after: u64,
    to: u64,
    envelope: Envelope,
}

/// When a member was last sent entries that it lacked.
struct Resend {
    term: u64,
    at: Time,
}

/// What this member has to catch up to before it may vote again: see [`crate::rejoin`].
#[derive(Clone, Copy, PartialEq, Eq)]
struct CatchUpBar {
    /// Least term of the leader.
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
    /// Commands of the log's entries, which the library does not hold.
    commands: BTreeMap<Position, Command>,
    state: State,
    /// Index of the last applied entry.
    applied: u64,
    /// Values that this member proposes until they are committed.
    wanted: BTreeMap<String, String>,
    /// Id of the store; 0 while it is unknown.
    cluster: u64,
    /// Which start of this member this is, from 1.
    start: u64,
    persistence: Persistence,
    outbox: VecDeque<Outgoing>,
    resends: BTreeMap<u64, Resend>,
    /// Committed changes that have not been taken yet.
    committed: VecDeque<Revised>,
    /// When the election or heartbeat timer expires.
    timer_at: Option<Time>,
    /// When unanswered messages of [`Store::send_status`] are sent again.
    status_request_at: Option<Time>,
    members: BTreeSet<u64>,
    era: u64,
    rejoin: Rejoin,
    /// Members that have accepted the store that this one bootstraps.
    accepted: BTreeSet<u64>,
    /// Whether nobody can have voted in this store yet, as far as this member knows.
    never_voted: bool,
    catch_up_bar: Option<CatchUpBar>,
    calls: client_calls::Calls,
}

impl Store {
    /// Starts a member, from what its file holds; with `None` it keeps no file, and everything is
    /// in memory. `seed` is for election timeouts and the ids of sessions and incarnations.
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
        // What was recovered from the file is on the disk.
        let durable_index = node.log().last_position().index.get();
        let mut store = Store {
            applied: snapshot.position.index,
            state: snapshot.state,
            node,
            timing,
            bounds,
            rng,
            commands,
            wanted: BTreeMap::new(),
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
            catch_up_bar: None,
            calls: client_calls::Calls::new(snapshot.position.index),
        };
        store.persist(Record::Start(start));
        // A lone member has nobody to ask.
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

    /// The last value of a key in this member's log with its revision, committed or not: all that
    /// a member has to go by that has just started and cannot reach the others.
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

    /// Whether this member takes itself for the leader.
    pub fn is_leader(&self) -> bool {
        self.node.role() == Role::Leader
    }

    /// When [`Store::timer`] has to be called next.
    pub fn due(&self) -> Option<Time> {
        let timer_at = self
            .timer_at
            .filter(|_| self.is_active() && !self.never_voted);
        // A lone member has nobody to hear from.
        let others = [timer_at, self.status_request_at]
            .into_iter()
            .flatten()
            .min()
            .filter(|_| self.members.len() > 1);
        [others, self.calls.due()].into_iter().flatten().min()
    }

    /// Whether this member votes and counts, and if not, why.
    pub fn status(&self) -> Status {
        self.rejoin.status()
    }

    /// What this member waits for before it votes and counts, as a sentence for operators.
    pub fn waiting_for(&self) -> Option<String> {
        let bootstrap = || "the member that begins the store has not done so yet".to_owned();
        self.rejoin
            .waiting_for()
            .or_else(|| (self.never_voted && self.is_active()).then(bootstrap))
    }

    /// How often this member has lost its file.
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

    /// Which start of this member this is, from 1.
    pub fn starts(&self) -> u64 {
        self.start
    }

    /// Index of the last applied entry: the revision of [`Store::state`].
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Messages to other members, with their receivers, whose writes are all completed.
    pub fn take_outbox(&mut self) -> Vec<(u64, Envelope)> {
        let completed = self.persistence.last_completed();
        let (ready, waiting) = std::mem::take(&mut self.outbox)
            .into_iter()
            .partition::<VecDeque<_>, _>(|outgoing| outgoing.after <= completed);
        self.outbox = waiting;
        ready
            .into_iter()
            .map(|outgoing| (outgoing.to, outgoing.envelope))
            .collect()
    }

    /// Changes committed since this was last called.
    pub fn take_committed(&mut self) -> VecDeque<Revised> {
        std::mem::take(&mut self.committed)
    }

    /// Handles expired timers: heartbeats and elections, calls that have no answer yet, and status
    /// requests.
    pub fn timer(&mut self, now: Time) {
        self.retry_calls(now);
        if self.status_request_at.is_some_and(|at| at <= now) {
            self.send_status(now);
        }
        if self.is_active() && !self.never_voted && self.timer_at.is_some_and(|at| at <= now) {
            self.node.handle_election_timeout();
            self.propose_wanted();
        }
        self.process_actions(now);
    }

    /// Carries out the library's actions in their order, then applies what is committed.
    fn process_actions(&mut self, now: Time) {
        while let Some(action) = self.node.actions_mut().next() {
            self.process_action(action, now);
        }
        // Messages to a member that is down must not pile up.
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
                let (after, envelope) = self.gated(&message);
                self.outbox.extend(peers.into_iter().map(|to| Outgoing {
                    after,
                    to,
                    envelope: envelope.clone(),
                }));
            }
            Action::SendMessage(to, message) => {
                let (after, envelope) = self.gated(&message);
                let to = to.get();
                if !self.is_duplicate_resend(to, &envelope, now) {
                    self.outbox.push_back(Outgoing {
                        after,
                        to,
                        envelope,
                    });
                }
            }
            Action::InstallSnapshot(to) => {
                if let Some(snapshot) = self.snapshot() {
                    let message = Message::InstallSnapshot {
                        snapshot,
                        restores: 0,
                    };
                    self.send(to.get(), message);
                }
            }
        }
    }

    /// Queues a message behind every write that has been issued.
    fn send(&mut self, to: u64, message: Message) {
        let envelope = self.envelope(message);
        self.outbox.push_back(Outgoing {
            after: self.persistence.last_issued(),
            to,
            envelope,
        });
    }

    fn id(&self) -> u64 {
        self.node.id().get()
    }

    /// Position of the log's last entry.
    fn last(&self) -> Position {
        self.node.log().last_position().into()
    }
}

#[cfg(test)]
mod tests;
