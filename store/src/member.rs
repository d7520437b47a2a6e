//! A member: a log that a majority commits, over a Raft library, and the state that it makes.
//!
//! What has to be kept goes out as numbered writes. A packet waits until every write before it is done, and so does what is
//! committed: nothing is acknowledged, voted or shown that a loss of power could take back.

use crate::Time;
use crate::kept::Kept;
use crate::packet::{self, Body, Change, Packet, Position, Snapshot};
use crate::record::Record;
use raftbare::{Action, LogEntries, LogEntry, LogIndex, LogPosition, Node, NodeId, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

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

/// Something that has to be on the disk before what follows it is told to anyone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Counted from 1; they are to be done in this order.
    pub number: u64,
    /// Whether the records take the place of all that the file held.
    pub replaces: bool,
    /// The records.
    pub records: Vec<Record>,
}

/// A change that the store does not take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge;

/// A packet from a member of another store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OtherStore {
    /// Who sent it.
    pub from: u64,
    /// The store that it is of.
    pub theirs: u64,
    /// The store that this member is of.
    pub own: u64,
}

impl std::fmt::Display for OtherStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let OtherStore { from, theirs, own } = self;
        write!(f, "member {from} is of store {theirs:016x}, and this one of store {own:016x}")
    }
}

impl std::error::Error for OtherStore {}

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
    /// Which store this is, as far as it is known; 0 where it is not.
    cluster: u64,
    /// Which start of this member this is.
    start: u64,
    /// Writes not handed out yet, and the number of the last one made; none are made where nothing is kept.
    writes: Option<Vec<Write>>,
    made: u64,
    /// The last write that is done.
    done: u64,
    /// For writes that are not done: where the log ended when they were made.
    ends: VecDeque<(u64, u64)>,
    /// Up to where the log is on the disk.
    durable: u64,
    /// Packets, each behind the write that it waits for.
    outbox: VecDeque<(u64, u64, Packet)>,
    /// What came to be committed, each with its entry's place; of a snapshot each key with the snapshot's.
    committed: VecDeque<(u64, Change)>,
    due: Option<Time>,
    alone: bool,
}

impl Store {
    /// Starts a member; with what its file kept it goes on from that. Where nothing is kept all is in memory.
    pub fn start(
        membership: &Membership,
        pace: Pace,
        bounds: Bounds,
        seed: u64,
        kept: Option<Kept>,
        now: Time,
    ) -> Store {
        let id = NodeId::new(membership.id);
        let mut rng = fastrand::Rng::with_seed(seed);
        let keeps = kept.is_some();
        let kept = kept.unwrap_or_default();
        let (fresh, start, mut cluster) = (kept.is_empty(), kept.starts + 1, kept.cluster);
        let (node, snapshot, changes) =
            if fresh { (Node::start(id), Snapshot::default(), BTreeMap::new()) } else { kept.into_node(id) };
        if fresh && cluster == 0 && membership.begins {
            cluster = rng.u64(1..);
        }
        let mut store = Store {
            applied: snapshot.position.index,
            state: snapshot.state,
            node,
            pace,
            bounds,
            rng,
            changes,
            wanted: BTreeMap::new(),
            cluster,
            start,
            writes: keeps.then(Vec::new),
            made: 0,
            done: 0,
            ends: VecDeque::new(),
            durable: 0,
            outbox: VecDeque::new(),
            committed: VecDeque::new(),
            due: None,
            alone: membership.members.len() == 1,
        };
        // What the file gave back is on the disk.
        store.durable = store.end();
        store.keep(Record::Start(start));
        if cluster != 0 {
            store.keep(Record::Cluster(cluster));
        }
        if fresh && membership.begins {
            let members: Vec<NodeId> = membership.members.iter().copied().map(NodeId::new).collect();
            store.node.create_cluster(&members);
        }
        store.settle(now);
        store
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

    /// Which store this is; 0 while that is not known.
    pub fn cluster(&self) -> u64 {
        self.cluster
    }

    /// Which start of this member this is, counted from 1.
    pub fn starts(&self) -> u64 {
        self.start
    }

    /// Writes to be done, in their order.
    pub fn take_writes(&mut self) -> Vec<Write> {
        self.writes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Every write up to this one is on the disk.
    pub fn written(&mut self, number: u64) {
        self.done = self.done.max(number);
        while self.ends.front().is_some_and(|(number, _)| *number <= self.done) {
            self.durable = self.ends.pop_front().map_or(self.durable, |(_, end)| end);
        }
        self.apply();
    }

    /// Packets for other members that wait for no write.
    pub fn take_outbox(&mut self) -> Vec<(u64, Packet)> {
        let ready = self.outbox.iter().take_while(|(after, ..)| *after <= self.done).count();
        self.outbox.drain(..ready).map(|(_, to, packet)| (to, packet)).collect()
    }

    /// The place of the last entry that is applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Changes committed since this was last asked, each with its revision: the place of its entry.
    pub fn take_committed(&mut self) -> VecDeque<(u64, Change)> {
        std::mem::take(&mut self.committed)
    }

    /// Wants a value to stand in the store; it is proposed again until it does, or is replaced here.
    pub fn put(&mut self, key: &str, value: &str, now: Time) -> Result<(), TooLarge> {
        let full = !self.state.contains_key(key) && self.state.len() >= self.bounds.keys;
        if full || value.len() > self.bounds.value_bytes || key.len() > self.bounds.value_bytes {
            return Err(TooLarge);
        }
        self.wanted.insert(key.to_owned(), value.to_owned());
        self.propose_wanted();
        self.settle(now);
        Ok(())
    }

    /// The timer is due: the leader speaks, another member stands for election.
    pub fn timer(&mut self, now: Time) {
        if self.due.is_some_and(|at| at <= now) {
            self.node.handle_election_timeout();
            self.propose_wanted();
            self.settle(now);
        }
    }

    /// Takes a packet from another member; one of another store is refused. A member that knows no store yet is of the
    /// first one that speaks to it, as its file has nothing that could be lost by that.
    pub fn receive(&mut self, packet: Packet, now: Time) -> Result<(), OtherStore> {
        let from = packet.from;
        if self.cluster == 0 && packet.cluster != 0 {
            self.cluster = packet.cluster;
            self.keep(Record::Cluster(self.cluster));
        }
        if packet.cluster != 0 && packet.cluster != self.cluster {
            return Err(OtherStore { from, theirs: packet.cluster, own: self.cluster });
        }
        match packet.body {
            Body::Put(change) => {
                if self.leads() && change.value.len() <= self.bounds.value_bytes {
                    self.propose(change);
                }
            }
            Body::Snapshot(snapshot) => self.install(snapshot),
            mut body => {
                if let Body::Vote { last } = &mut body {
                    *last = self.judged(*last);
                }
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
        self.settle(now);
        Ok(())
    }

    /// The end of a candidate's log as it is put to the library, which gives its vote by length alone. A candidate's log is
    /// as good as this member's where its last term is later, or the same and it is as long; by length a member that missed
    /// what was committed could lead, and others would take its log for theirs.
    fn judged(&self, last: Position) -> Position {
        let own = Position::from(self.node.log().last_position());
        let as_good = (last.term, last.index) >= (own.term, own.index);
        Position { index: if as_good { last.index.max(own.index) } else { 0 }, ..last }
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
                self.outbox.push_back((self.made, leader.get(), packet));
            }
        }
    }

    fn packet(&self, body: Body) -> Packet {
        let (from, term) = (self.node.id().get(), self.node.current_term().get());
        Packet { from, cluster: self.cluster, term, sequence: 0, body }
    }

    /// Carries out what the library asks for, in its order, then applies what is committed.
    fn settle(&mut self, now: Time) {
        while let Some(action) = self.node.actions_mut().next() {
            match action {
                Action::SetElectionTimeout => {
                    let wait = match self.node.role() {
                        Role::Leader => self.pace.heartbeat,
                        _ => self.pace.election + self.rng.u64(0..=self.pace.election),
                    };
                    self.due = Some(now + wait);
                }
                Action::SaveCurrentTerm => self.keep(Record::Term(self.node.current_term().get())),
                Action::SaveVotedFor => self.keep(Record::Vote(self.node.voted_for().map(NodeId::get))),
                Action::AppendLogEntries(entries) => {
                    let record = Record::Append(packet::Entries::new(&entries, &self.changes));
                    self.keep(record);
                }
                Action::BroadcastMessage(message) => {
                    let peers: Vec<u64> = self.node.peers().map(NodeId::get).collect();
                    let packet = Packet::from_message(&message, self.cluster, &self.changes);
                    self.outbox.extend(peers.into_iter().map(|peer| (self.made, peer, packet.clone())));
                }
                Action::SendMessage(to, message) => {
                    let packet = Packet::from_message(&message, self.cluster, &self.changes);
                    self.outbox.push_back((self.made, to.get(), packet));
                }
                Action::InstallSnapshot(to) => {
                    let snapshot = self.snapshot();
                    let packet = snapshot.map(|snapshot| self.packet(Body::Snapshot(snapshot)));
                    self.outbox.extend(packet.map(|packet| (self.made, to.get(), packet)));
                }
            }
        }
        // Packets to a member that is gone must not pile up.
        while self.outbox.len() > self.bounds.log {
            self.outbox.pop_front();
        }
        self.apply();
    }

    /// Where the log ends.
    fn end(&self) -> u64 {
        self.node.log().entries().last_position().index.get()
    }

    /// Applies what is committed and on this member's own disk: a lone member's entry is committed as it is made.
    fn apply(&mut self) {
        let durable = if self.writes.is_some() { self.durable } else { u64::MAX };
        while self.applied < self.node.commit_index().get().min(durable) {
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
                        self.committed.push_back((position.index, change.clone()));
                    }
                }
            }
            self.applied += 1;
        }
        if self.node.log().entries().len() > self.bounds.log {
            self.compact();
        }
    }

    fn snapshot(&self) -> Option<Snapshot> {
        let index = LogIndex::new(self.applied);
        let (position, config) = self.node.log().get_position_and_config(index)?;
        let members = config.voters.iter().map(|id| id.get()).collect();
        Some(Snapshot { position: Position::from(position), members, state: self.state.clone() })
    }

    /// Folds the applied part of the log into a snapshot.
    fn compact(&mut self) {
        // Nothing is folded twice: a member that cannot apply would write its whole file again at every event.
        let folded = self.node.log().snapshot_position().index.get();
        let Some(snapshot) = self.snapshot().filter(|snapshot| snapshot.position.index > folded) else {
            return;
        };
        if self.node.handle_snapshot_installed(snapshot.position.into(), snapshot.config()) {
            self.forget_changes();
            self.rewrite(snapshot);
        }
    }

    /// Takes the place of a log that the leader no longer has.
    fn install(&mut self, snapshot: Snapshot) {
        if snapshot.position.index <= self.applied {
            return;
        }
        if self.node.handle_snapshot_installed(snapshot.position.into(), snapshot.config()) {
            self.applied = snapshot.position.index;
            self.state = snapshot.state.clone();
            let told = |(key, value): (&String, &String)| {
                (snapshot.position.index, Change { key: key.clone(), value: value.clone() })
            };
            self.committed.extend(self.state.iter().map(told));
            self.forget_changes();
            self.rewrite(snapshot);
        }
    }

    fn forget_changes(&mut self) {
        self.changes = self.changes.split_off(&Position { index: self.applied + 1, term: 0 });
    }

    fn keep(&mut self, record: Record) {
        self.write(false, vec![record]);
    }

    fn write(&mut self, replaces: bool, records: Vec<Record>) {
        let end = self.end();
        let Some(writes) = &mut self.writes else { return };
        self.made += 1;
        self.ends.push_back((self.made, end));
        writes.push(Write { number: self.made, replaces, records });
    }

    fn rewrite(&mut self, snapshot: Snapshot) {
        let records = vec![
            Record::Start(self.start),
            Record::Cluster(self.cluster),
            Record::Snapshot(snapshot),
            Record::Term(self.node.current_term().get()),
            Record::Vote(self.node.voted_for().map(NodeId::get)),
            Record::Append(packet::Entries::new(self.node.log().entries(), &self.changes)),
        ];
        self.write(true, records);
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
pub(crate) fn after(position: Position) -> LogEntries {
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
        Store::start(&membership, pace, bounds, id, None, 0)
    }

    impl Cluster {
        fn run(&mut self, time: Time) {
            for _ in 0..time / MS {
                self.now += MS;
                let mut packets = Vec::new();
                for store in self.members.values_mut() {
                    store.timer(self.now);
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
            self.members.get_mut(&id).unwrap().put(key, value, now).unwrap();
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
        let mut store = Store::start(&membership, pace, bounds, 1, None, 0);
        for i in 0..100 {
            store.put("a", &i.to_string(), 0).unwrap();
            assert_eq!(store.state()["a"], i.to_string());
        }
        assert_eq!(store.put("b", "longer than ten bytes", 0), Err(TooLarge));
        store.put("b", "", 0).unwrap();
        assert_eq!(store.put("c", "", 0), Err(TooLarge));
        assert!(store.node.log().entries().len() <= 9 && store.changes.len() <= 9, "the log is folded");
        assert_eq!((store.due(), store.take_outbox().len()), (None, 0));
    }
}
