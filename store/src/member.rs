//! A small replicated store for configuration and state: a log that a majority commits, over a Raft library.
//!
//! It does no I/O: packets come in and go out, and a file, where there is one, is written through
//! [`file::Journal`]. It stands off the request path and is no input to the decision module.

pub mod file;
pub mod links;
pub mod packet;

use bramblestair::interface::Time;
use file::{Journal, Kept, Record};
use packet::{Body, Change, Packet, Position, Snapshot};
use raftbare::{Action, LogEntries, LogEntry, LogIndex, LogPosition, Node, NodeId, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;

/// How often a leader speaks, and how long a member waits for it (once to twice that long, at random).
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Between two heartbeats.
    pub heartbeat: Time,
    /// Before a member stands for election, at the least.
    pub election: Time,
}

/// What a member is told when it starts.
#[derive(Debug, Clone)]
pub struct Membership {
    /// This member.
    pub id: u64,
    /// Every member, this one included.
    pub members: BTreeSet<u64>,
    /// Whether this member begins the store, where there is none yet.
    pub begins: bool,
}

/// What bounds a store.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Entries of the log before they are folded into a snapshot.
    pub log: usize,
    /// Keys that are held.
    pub keys: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
}

/// A change that the store does not take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge;

/// One member of the store.
pub struct Store {
    node: Node,
    pace: Pace,
    bounds: Bounds,
    rng: fastrand::Rng,
    /// What the log's entries say, by their place.
    changes: BTreeMap<Position, Change>,
    state: BTreeMap<String, String>,
    applied: u64,
    /// What this member wants to stand in the store, until it does.
    wanted: BTreeMap<String, String>,
    journal: Option<Journal>,
    outbox: VecDeque<(u64, Packet)>,
    committed: VecDeque<Change>,
    due: Option<Time>,
    alone: bool,
}

impl Store {
    /// Starts a member; with a journal it goes on from what that kept.
    pub fn start(
        membership: &Membership,
        pace: Pace,
        bounds: Bounds,
        seed: u64,
        journal: Option<(Journal, Kept)>,
        now: Time,
    ) -> io::Result<Store> {
        let id = NodeId::new(membership.id);
        let (journal, kept) = journal.unzip();
        let kept = kept.filter(|kept| !kept.is_empty());
        let fresh = kept.is_none();
        let (node, snapshot, changes) = match kept {
            Some(kept) => kept.into_node(id),
            None => (Node::start(id), Snapshot::default(), BTreeMap::new()),
        };
        let mut store = Store {
            applied: snapshot.position.index,
            state: snapshot.state,
            node,
            pace,
            bounds,
            rng: fastrand::Rng::with_seed(seed),
            changes,
            wanted: BTreeMap::new(),
            journal,
            outbox: VecDeque::new(),
            committed: VecDeque::new(),
            due: None,
            alone: membership.members.len() == 1,
        };
        if fresh && membership.begins {
            let members: Vec<NodeId> = membership.members.iter().copied().map(NodeId::new).collect();
            store.node.create_cluster(&members);
        }
        store.settle(now)?;
        Ok(store)
    }

    /// What is committed.
    pub fn state(&self) -> &BTreeMap<String, String> {
        &self.state
    }

    /// Whether this member leads.
    pub fn leads(&self) -> bool {
        self.node.role() == Role::Leader
    }

    /// When [`Store::timer`] wants to run.
    pub fn due(&self) -> Option<Time> {
        // A lone member has nobody to hear from.
        self.due.filter(|_| !self.alone)
    }

    /// Packets for other members.
    pub fn take_outbox(&mut self) -> VecDeque<(u64, Packet)> {
        std::mem::take(&mut self.outbox)
    }

    /// Changes committed since this was last asked.
    pub fn take_committed(&mut self) -> VecDeque<Change> {
        std::mem::take(&mut self.committed)
    }

    /// Wants a value to stand in the store; it is proposed again until it does, or is replaced here.
    pub fn put(&mut self, key: &str, value: &str, now: Time) -> io::Result<Result<(), TooLarge>> {
        let full = !self.state.contains_key(key) && self.state.len() >= self.bounds.keys;
        if full || value.len() > self.bounds.value_bytes || key.len() > self.bounds.value_bytes {
            return Ok(Err(TooLarge));
        }
        self.wanted.insert(key.to_owned(), value.to_owned());
        self.propose_wanted();
        self.settle(now)?;
        Ok(Ok(()))
    }

    /// The timer is due: the leader speaks, another member stands for election.
    pub fn timer(&mut self, now: Time) -> io::Result<()> {
        if self.due.is_some_and(|at| at <= now) {
            self.node.handle_election_timeout();
            self.propose_wanted();
            self.settle(now)?;
        }
        Ok(())
    }

    /// Takes a packet from another member.
    pub fn receive(&mut self, packet: Packet, now: Time) -> io::Result<()> {
        let from = packet.from;
        match packet.body {
            Body::Put(change) => {
                if self.leads() && change.value.len() <= self.bounds.value_bytes {
                    self.propose(change);
                }
            }
            Body::Snapshot(snapshot) => self.install(snapshot)?,
            body => {
                if let Body::Append { entries, .. } = &body {
                    for (position, change) in entries.changes() {
                        self.changes.insert(position, change.clone());
                    }
                }
                if let Some(message) = body.into_message(from, packet.term, packet.sequence) {
                    self.node.handle_message(message);
                }
                self.propose_wanted();
            }
        }
        self.settle(now)
    }

    fn propose(&mut self, change: Change) {
        if self.state.get(&change.key) == Some(&change.value) {
            return;
        }
        let position = self.node.propose_command();
        if !position.is_invalid() {
            self.changes.insert(Position::from(position), change);
        }
    }

    /// Proposes what is wanted and not yet on its way, or hands it to the leader.
    fn propose_wanted(&mut self) {
        self.wanted.retain(|key, value| self.state.get(key) != Some(value));
        let under_way = |key: &str, value: &str| {
            let ahead = self.changes.range(Position { index: self.applied + 1, term: 0 }..);
            ahead.map(|(_, change)| change).any(|c| c.key == key && c.value == value)
        };
        let wanted: Vec<Change> = self
            .wanted
            .iter()
            .filter(|(key, value)| !under_way(key, value))
            .map(|(key, value)| Change { key: key.clone(), value: value.clone() })
            .collect();
        if self.leads() {
            wanted.into_iter().for_each(|change| self.propose(change));
        } else if let Some(leader) = self.node.voted_for().filter(|id| *id != self.node.id()) {
            for change in wanted {
                let packet = self.packet(Body::Put(change));
                self.outbox.push_back((leader.get(), packet));
            }
        }
    }

    fn packet(&self, body: Body) -> Packet {
        Packet { from: self.node.id().get(), term: self.node.current_term().get(), sequence: 0, body }
    }

    /// Carries out what the library asks for, in its order, then applies what is committed.
    fn settle(&mut self, now: Time) -> io::Result<()> {
        while let Some(action) = self.node.actions_mut().next() {
            match action {
                Action::SetElectionTimeout => {
                    let wait = match self.node.role() {
                        Role::Leader => self.pace.heartbeat,
                        _ => self.pace.election + self.rng.u64(0..=self.pace.election),
                    };
                    self.due = Some(now + wait);
                }
                Action::SaveCurrentTerm => self.keep(Record::Term(self.node.current_term().get()))?,
                Action::SaveVotedFor => self.keep(Record::Vote(self.node.voted_for().map(NodeId::get)))?,
                Action::AppendLogEntries(entries) => {
                    let record = Record::Append(packet::Entries::new(&entries, &self.changes));
                    self.keep(record)?;
                }
                Action::BroadcastMessage(message) => {
                    let peers: Vec<u64> = self.node.peers().map(NodeId::get).collect();
                    let packet = Packet::from_message(&message, &self.changes);
                    self.outbox.extend(peers.into_iter().map(|peer| (peer, packet.clone())));
                }
                Action::SendMessage(to, message) => {
                    self.outbox.push_back((to.get(), Packet::from_message(&message, &self.changes)));
                }
                Action::InstallSnapshot(to) => {
                    let snapshot = self.snapshot();
                    let packet = snapshot.map(|snapshot| self.packet(Body::Snapshot(snapshot)));
                    self.outbox.extend(packet.map(|packet| (to.get(), packet)));
                }
            }
        }
        // Packets to a member that is gone must not pile up.
        while self.outbox.len() > self.bounds.log {
            self.outbox.pop_front();
        }
        self.apply()
    }

    fn apply(&mut self) -> io::Result<()> {
        while self.applied < self.node.commit_index().get() {
            let index = LogIndex::new(self.applied + 1);
            let entries = self.node.log().entries();
            let (Some(entry), Some(term)) = (entries.get_entry(index), entries.get_term(index)) else {
                break;
            };
            if entry == LogEntry::Command {
                let position = Position { index: index.get(), term: term.get() };
                if let Some(change) = self.changes.get(&position) {
                    let held = self.state.contains_key(&change.key) || self.state.len() < self.bounds.keys;
                    if held {
                        self.state.insert(change.key.clone(), change.value.clone());
                        self.committed.push_back(change.clone());
                    }
                }
            }
            self.applied += 1;
        }
        if self.node.log().entries().len() > self.bounds.log {
            self.compact()?;
        }
        Ok(())
    }

    fn snapshot(&self) -> Option<Snapshot> {
        let index = LogIndex::new(self.applied);
        let (position, config) = self.node.log().get_position_and_config(index)?;
        let members = config.voters.iter().map(|id| id.get()).collect();
        Some(Snapshot { position: Position::from(position), members, state: self.state.clone() })
    }

    /// Folds the applied part of the log into a snapshot.
    fn compact(&mut self) -> io::Result<()> {
        let Some(snapshot) = self.snapshot() else { return Ok(()) };
        if self.node.handle_snapshot_installed(snapshot.position.into(), snapshot.config()) {
            self.forget_changes();
            self.rewrite(snapshot)?;
        }
        Ok(())
    }

    /// Takes the place of a log that the leader no longer has.
    fn install(&mut self, snapshot: Snapshot) -> io::Result<()> {
        if snapshot.position.index <= self.applied {
            return Ok(());
        }
        if self.node.handle_snapshot_installed(snapshot.position.into(), snapshot.config()) {
            self.applied = snapshot.position.index;
            self.state = snapshot.state.clone();
            self.committed.extend(
                self.state.iter().map(|(key, value)| Change { key: key.clone(), value: value.clone() }),
            );
            self.forget_changes();
            self.rewrite(snapshot)?;
        }
        Ok(())
    }

    fn forget_changes(&mut self) {
        self.changes = self.changes.split_off(&Position { index: self.applied + 1, term: 0 });
    }

    fn keep(&mut self, record: Record) -> io::Result<()> {
        self.journal.as_mut().map_or(Ok(()), |journal| journal.append(&record))
    }

    fn rewrite(&mut self, snapshot: Snapshot) -> io::Result<()> {
        let Some(journal) = &mut self.journal else { return Ok(()) };
        let records = [
            Record::Snapshot(snapshot),
            Record::Term(self.node.current_term().get()),
            Record::Vote(self.node.voted_for().map(NodeId::get)),
            Record::Append(packet::Entries::new(self.node.log().entries(), &self.changes)),
        ];
        journal.rewrite(&records)
    }
}

impl From<LogPosition> for Position {
    fn from(position: LogPosition) -> Self {
        Position { index: position.index.get(), term: position.term.get() }
    }
}

impl From<Position> for LogPosition {
    fn from(position: Position) -> Self {
        LogPosition { term: position.term.into(), index: LogIndex::new(position.index) }
    }
}

/// An empty log after a position.
fn after(position: Position) -> LogEntries {
    LogEntries::new(position.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Time = 1_000_000;

    /// Three members in one place; packets reach those that are there.
    struct Cluster {
        members: BTreeMap<u64, Store>,
        now: Time,
    }

    fn member(id: u64, begins: bool) -> Store {
        let membership = Membership { id, members: BTreeSet::from([1, 2, 3]), begins };
        let pace = Pace { heartbeat: 10 * MS, election: 50 * MS };
        let bounds = Bounds { log: 8, keys: 100, value_bytes: 100 };
        Store::start(&membership, pace, bounds, id, None, 0).unwrap()
    }

    impl Cluster {
        fn run(&mut self, time: Time) {
            for _ in 0..time / MS {
                self.now += MS;
                let mut packets = Vec::new();
                for store in self.members.values_mut() {
                    store.timer(self.now).unwrap();
                    packets.extend(store.take_outbox());
                }
                for (to, packet) in packets {
                    // Each packet goes through its line.
                    let packet = Packet::read(packet.write().as_bytes()).unwrap();
                    if let Some(store) = self.members.get_mut(&to) {
                        store.receive(packet, self.now).unwrap();
                    }
                }
            }
        }

        fn put(&mut self, id: u64, key: &str, value: &str) {
            let now = self.now;
            self.members.get_mut(&id).unwrap().put(key, value, now).unwrap().unwrap();
        }

        fn value(&self, id: u64, key: &str) -> Option<&str> {
            self.members[&id].state().get(key).map(String::as_str)
        }
    }

    #[test]
    fn a_majority_commits_without_a_lost_member_and_one_that_comes_back_catches_up() {
        let members = (1..=3).map(|id| (id, member(id, id == 1))).collect();
        let mut cluster = Cluster { members, now: 0 };
        cluster.run(300 * MS);
        cluster.put(2, "a", "by a follower");
        cluster.run(100 * MS);
        assert!((1..=3).all(|id| cluster.value(id, "a") == Some("by a follower")));
        let leader = *cluster.members.iter().find(|(_, store)| store.leads()).expect("a leader").0;
        cluster.members.remove(&leader);
        let others: Vec<u64> = cluster.members.keys().copied().collect();
        cluster.run(500 * MS);
        for i in 0..40 {
            cluster.put(others[i % 2], &format!("k{i}"), "v");
            cluster.run(20 * MS);
        }
        assert!(others.iter().all(|id| cluster.value(*id, "k39") == Some("v")), "two of three commit");
        // The log was folded meanwhile, so the one that comes back needs a snapshot.
        let folded = cluster.members[&others[0]].node.log().snapshot_position();
        assert!(folded.index.get() > 8);
        cluster.members.insert(leader, member(leader, false));
        cluster.run(500 * MS);
        let states: Vec<_> = cluster.members.values().map(Store::state).collect();
        assert_eq!(states[0].len(), 41);
        assert!(states.iter().all(|state| *state == states[0]));
        // Without a majority nothing is committed.
        for id in others {
            cluster.members.remove(&id);
        }
        cluster.put(leader, "late", "v");
        cluster.run(500 * MS);
        assert_eq!(cluster.value(leader, "late"), None);
    }

    #[test]
    fn a_lone_member_commits_at_once_and_needs_no_timer() {
        let membership = Membership { id: 0, members: BTreeSet::from([0]), begins: true };
        let pace = Pace { heartbeat: MS, election: MS };
        let bounds = Bounds { log: 8, keys: 2, value_bytes: 10 };
        let mut store = Store::start(&membership, pace, bounds, 1, None, 0).unwrap();
        for i in 0..100 {
            store.put("a", &i.to_string(), 0).unwrap().unwrap();
            assert_eq!(store.state()["a"], i.to_string());
        }
        assert_eq!(store.put("b", "longer than ten bytes", 0).unwrap(), Err(TooLarge));
        store.put("b", "", 0).unwrap().unwrap();
        assert_eq!(store.put("c", "", 0).unwrap(), Err(TooLarge));
        assert!(store.node.log().entries().len() <= 9 && store.changes.len() <= 9, "the log is folded");
        assert_eq!((store.due(), store.take_outbox().len()), (None, 0));
    }
}
