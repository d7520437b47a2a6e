//! A member: a log that a majority commits, over a Raft library, and the state that it makes.
//!
//! What has to be kept goes out as numbered writes. A packet waits until every write before it is
//! done, and so does what is committed: nothing is acknowledged, voted or shown that a loss of
//! power could take back.

use crate::Time;
use crate::command::Command;
use crate::kept::Kept;
use crate::packet::{self, Body, Change, Packet, Position, Snapshot};
use crate::record::Record;
use crate::rejoin::{Rejoin, Standing};
use crate::state::{Room, State};
use raftbare::{Action, LogEntries, LogEntry, LogIndex, LogPosition, Node, NodeId, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod calls;
mod rejoining;
mod speech;

pub use calls::{Call, CallId, Compacted, Reply, TooMany};

/// How often a leader speaks, and how long a member waits for it (once to twice that long, at
/// random).
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
    /// The era of a store that it begins: later than that of any store before it, as a wall clock
    /// in seconds tells; 0 where nobody asks for one.
    pub era: u64,
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
    /// Sessions that are held.
    pub sessions: usize,
    /// Keys that one change names at the most.
    pub txn_keys: usize,
    /// What is asked through this member at once, and of a leader to be read.
    pub calls: usize,
    /// Changes that are kept for those who watch from a revision on.
    pub history: usize,
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
        write!(
            f,
            "member {from} is of store {theirs:016x}, and this one of store {own:016x}"
        )
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
    commands: BTreeMap<Position, Command>,
    state: State,
    applied: u64,
    /// What this member wants to stand in the store, until it does.
    wanted: BTreeMap<String, String>,
    /// Which store this is, as far as it is known; 0 where it is not.
    cluster: u64,
    /// Which start of this member this is.
    start: u64,
    /// Writes not handed out yet, and the number of the last one made; none are made where nothing
    /// is kept.
    writes: Option<Vec<Write>>,
    made: u64,
    /// The last write that is done.
    done: u64,
    /// The last write of anything but entries of the log: a term, a vote, what this member is.
    promised: u64,
    /// For writes that are not done: where the log ended when they were made.
    ends: VecDeque<(u64, u64)>,
    /// Up to where the log is on the disk.
    durable: u64,
    /// Packets, each behind the write that it waits for.
    outbox: VecDeque<(u64, u64, Packet)>,
    /// To each member: in which term, and when, it was last sent what it lacked.
    resent: BTreeMap<u64, (u64, Time)>,
    /// What came to be committed, each with its entry's place; of a snapshot each key with the
    /// snapshot's.
    committed: VecDeque<(u64, Change)>,
    due: Option<Time>,
    /// When what was not answered is asked again.
    ask_at: Option<Time>,
    members: BTreeSet<u64>,
    era: u64,
    rejoin: Rejoin,
    /// The members that are part of the store that this one begins.
    joined: BTreeSet<u64>,
    /// Whether nobody can have voted here yet.
    unvoted: bool,
    /// What a leader must have committed before this member counts again.
    bar: Option<(u64, Position)>,
    calls: calls::Calls,
}

impl Store {
    /// Starts a member; with what its file kept it goes on from that. Where nothing is kept all is
    /// in memory.
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
        let (start, cluster, standing) = (kept.starts + 1, kept.cluster, kept.standing());
        let (count, begins, life) = (membership.members.len(), membership.begins, rng.u64(1..));
        let rejoin = Rejoin::new(
            standing,
            count,
            begins,
            life,
            kept.generation,
            kept.peers.clone(),
        );
        let unvoted = kept.joined || standing == Standing::Founding;
        let (node, snapshot, commands) = match standing {
            Standing::Empty => (Node::start(id), Snapshot::default(), BTreeMap::new()),
            _ => kept.into_node(id),
        };
        let mut store = Store {
            applied: snapshot.position.index,
            state: snapshot.state,
            node,
            pace,
            bounds,
            rng,
            commands,
            wanted: BTreeMap::new(),
            cluster,
            start,
            writes: keeps.then(Vec::new),
            made: 0,
            done: 0,
            promised: 0,
            ends: VecDeque::new(),
            durable: 0,
            outbox: VecDeque::new(),
            resent: BTreeMap::new(),
            committed: VecDeque::new(),
            due: None,
            ask_at: None,
            members: membership.members.clone(),
            era: membership.era,
            rejoin,
            joined: BTreeSet::new(),
            unvoted,
            bar: None,
            calls: calls::Calls::new(snapshot.position.index),
        };
        // What the file gave back is on the disk.
        store.durable = store.end();
        store.keep(Record::Start(start));
        // A lone member has nobody to ask.
        if standing == Standing::Empty && begins && count == 1 {
            store.found();
        }
        store.speak(now);
        store.settle(now);
        store
    }

    /// What is committed.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The last value of a key that this member has seen, with its revision, be it committed yet or
    /// not: all that one has to go by that has just started and hears of nobody.
    pub fn foreseen(&self, key: &str) -> Option<(u64, &str)> {
        let ahead = self
            .commands
            .range(
                Position {
                    index: self.applied + 1,
                    term: 0,
                }..,
            )
            .rev();
        let set = ahead.filter_map(|(at, command)| {
            let sets = match command {
                Command::Put(change) => std::slice::from_ref(change),
                Command::Txn(txn) => &txn.sets[..],
                Command::Open(_) => &[],
            };
            let set = sets.iter().find(|set| set.key == key)?;
            Some((at.index, set.value.as_deref()?))
        });
        let held = || {
            self.state
                .held(key)
                .map(|held| (held.revision, held.value.as_str()))
        };
        set.max().or_else(held)
    }

    /// Whether this member leads.
    pub fn leads(&self) -> bool {
        self.node.role() == Role::Leader
    }

    /// When [`Store::timer`] wants to run.
    pub fn due(&self) -> Option<Time> {
        // A lone member has nobody to hear from.
        let due = self.due.filter(|_| self.takes_part() && !self.unvoted);
        let others = [due, self.ask_at]
            .into_iter()
            .flatten()
            .min()
            .filter(|_| self.members.len() > 1);
        [others, self.calls.due()].into_iter().flatten().min()
    }

    /// What this member may do.
    pub fn standing(&self) -> Standing {
        self.rejoin.standing()
    }

    /// What it waits for before it votes and counts, in words.
    pub fn waits_for(&self) -> Option<String> {
        let begins = || "the member that begins the store has not done so yet".to_owned();
        self.rejoin
            .waits_for()
            .or_else(|| (self.unvoted && self.takes_part()).then(begins))
    }

    /// How often it has lost its file.
    pub fn generation(&self) -> u64 {
        self.rejoin.generation()
    }

    fn takes_part(&self) -> bool {
        self.rejoin.standing() == Standing::Sound
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
        while self
            .ends
            .front()
            .is_some_and(|(number, _)| *number <= self.done)
        {
            self.durable = self.ends.pop_front().map_or(self.durable, |(_, end)| end);
        }
        self.apply();
    }

    /// Packets for other members that wait for no write.
    pub fn take_outbox(&mut self) -> Vec<(u64, Packet)> {
        let done = self.done;
        let (ready, waits) = std::mem::take(&mut self.outbox)
            .into_iter()
            .partition(|p| p.0 <= done);
        self.outbox = waits;
        let ready: VecDeque<(u64, u64, Packet)> = ready;
        ready
            .into_iter()
            .map(|(_, to, packet)| (to, packet))
            .collect()
    }

    /// The place of the last entry that is applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Changes committed since this was last asked, each with its revision: the place of its entry.
    pub fn take_committed(&mut self) -> VecDeque<(u64, Change)> {
        std::mem::take(&mut self.committed)
    }

    /// Wants a value to stand in the store; it is proposed again until it does, or is replaced
    /// here.
    pub fn put(&mut self, key: &str, value: &str, now: Time) -> Result<(), TooLarge> {
        let full = self.state.get(key).is_none() && self.state.len() >= self.bounds.keys;
        if full || value.len() > self.bounds.value_bytes || key.len() > self.bounds.value_bytes {
            return Err(TooLarge);
        }
        self.wanted.insert(key.to_owned(), value.to_owned());
        self.propose_wanted();
        self.settle(now);
        Ok(())
    }

    /// The timer is due: the leader speaks, another member stands for election, one that waits for
    /// answers asks again.
    pub fn timer(&mut self, now: Time) {
        self.press(now);
        if self.ask_at.is_some_and(|at| at <= now) {
            self.speak(now);
        }
        if self.takes_part() && !self.unvoted && self.due.is_some_and(|at| at <= now) {
            self.node.handle_election_timeout();
            self.propose_wanted();
        }
        self.settle(now);
    }

    /// Takes a packet from another member; one of another store is refused.
    pub fn receive(&mut self, packet: Packet, now: Time) -> Result<(), OtherStore> {
        let Packet {
            from,
            cluster,
            term,
            sequence,
            starts,
            generation,
            generations,
            body,
        } = packet;
        let other = OtherStore {
            from,
            theirs: cluster,
            own: self.cluster,
        };
        let foreign = cluster != 0 && self.cluster != 0 && cluster != self.cluster;
        // A store that begins takes in whoever has never voted in another, and hears of one that
        // there is already.
        let begins = match &body {
            Body::Found { .. } => self.unvoted || self.takes_part(),
            Body::Begun { .. } => self.rejoin.standing() == Standing::Founding,
            _ => false,
        };
        if foreign && !begins {
            return Err(other);
        }
        if !foreign && self.cluster != 0 && cluster != 0 {
            self.learn(from, generation);
            generations
                .into_iter()
                .for_each(|(member, generation)| self.learn(member, generation));
        }
        let introduces = matches!(body, Body::Ask(_) | Body::Found { .. });
        if !introduces && self.rejoin.is_over(from, generation) {
            return Ok(());
        }
        match body {
            Body::Ask(ask) => self.answer(from, &ask, term),
            Body::Told(told) => {
                let verdict = self.rejoin.told(from, cluster, term, told);
                self.judge(verdict, now);
            }
            Body::Found { life, snapshot } => self.join(from, cluster, life, snapshot),
            Body::Joined => self.joined(from),
            Body::Begun { life } => {
                if self.rejoin.begun(life) {
                    self.lose();
                    self.speak(now);
                }
            }
            Body::Fetch { life, term, last } => self.restore(from, life, term, last),
            Body::Snapshot { snapshot, restores } if restores != 0 => {
                self.catch_up(from, term, restores, snapshot)
            }
            // What follows is for members that vote and count.
            _ if !self.takes_part() => {}
            Body::Propose(command) => {
                if self.leads() && self.fits(&command) {
                    self.hand_in(command);
                }
            }
            Body::Read { number, life } => self.begin_read(from, (number, life), now),
            Body::ReadAt {
                number,
                life,
                index,
            } if life == self.rejoin.life() => self.read_at(number, index),
            Body::ReadAt { .. } => {}
            Body::Snapshot { snapshot, .. } => self.install(snapshot),
            mut body => {
                if self.cluster == 0 && cluster != 0 {
                    // A file of the first format does not say which store it is of.
                    self.cluster = cluster;
                    self.keep(Record::Cluster(cluster));
                }
                if let Body::Vote { last } = &mut body {
                    *last = self.judged(*last);
                }
                let last = if let Body::Appended { last } = &body {
                    Some(*last)
                } else {
                    None
                };
                self.rejoin.heard(from, starts, term, last);
                if let Body::Append { entries, .. } = &body {
                    self.follow(from, term);
                    for (position, command) in entries.commands() {
                        self.commands.insert(position, command.clone());
                    }
                }
                if let Body::Appended { .. } = &body {
                    self.heard(from, term, sequence);
                }
                if let Some(message) = body.into_message(from, term, sequence) {
                    self.node.handle_message(message);
                }
                self.propose_wanted();
            }
        }
        self.settle(now);
        Ok(())
    }

    fn propose(&mut self, command: Command) {
        if let Command::Put(Change {
            key,
            value: Some(value),
        }) = &command
            && self.state.get(key) == Some(value)
        {
            return;
        }
        let position = self.node.propose_command();
        if !position.is_invalid() {
            self.commands.insert(Position::from(position), command);
        }
    }

    /// Whether something stands in the log and is not applied yet. A command whose entry another
    /// leader took out of the log is kept beside it for a while, and is not under way.
    fn is_under_way(&self, command: &Command) -> bool {
        let entries = self.node.log().entries();
        let stands = |position: &Position| {
            let term = entries.get_term(LogIndex::new(position.index));
            term.is_some_and(|term| term.get() == position.term)
        };
        let ahead = self.commands.range(
            Position {
                index: self.applied + 1,
                term: 0,
            }..,
        );
        ahead
            .filter(|(position, _)| stands(position))
            .any(|(_, ahead)| ahead == command)
    }

    /// Proposes what is wanted and not yet on its way, or hands it to the leader.
    fn propose_wanted(&mut self) {
        self.wanted
            .retain(|key, value| self.state.get(key) != Some(value));
        let change = |(key, value): (&String, &String)| Change {
            key: key.clone(),
            value: Some(value.clone()),
        };
        let wanted: Vec<Command> = self.wanted.iter().map(change).map(Command::Put).collect();
        wanted.into_iter().for_each(|command| self.hand_in(command));
    }

    /// Has something proposed, unless it is on its way already.
    fn hand_in(&mut self, command: Command) {
        if self.is_under_way(&command) {
            return;
        }
        if self.leads() {
            self.propose(command);
        } else if let Some(leader) = self.leader() {
            let packet = self.packet(Body::Propose(command));
            self.outbox.push_back((self.made, leader, packet));
        }
    }

    /// The member that leads or may do so, where it is another one.
    fn leader(&self) -> Option<u64> {
        self.node
            .voted_for()
            .filter(|id| *id != self.node.id())
            .map(NodeId::get)
    }

    fn id(&self) -> u64 {
        self.node.id().get()
    }

    fn packet(&self, body: Body) -> Packet {
        let term = self.node.current_term().get();
        self.signed(Packet {
            term,
            body,
            ..Packet::default()
        })
    }

    /// A packet with what this member is and what it knows of others.
    fn signed(&self, packet: Packet) -> Packet {
        let (from, cluster, generation) = (self.id(), self.cluster, self.rejoin.generation());
        let (starts, generations) = (self.start, self.generations());
        Packet {
            from,
            cluster,
            starts,
            generation,
            generations,
            ..packet
        }
    }

    /// How often others have lost their files, as far as this member knows.
    pub fn generations(&self) -> BTreeMap<u64, u64> {
        let peers = self
            .rejoin
            .peers()
            .iter()
            .filter(|(_, peer)| peer.generation > 0);
        peers.map(|(id, peer)| (*id, peer.generation)).collect()
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
                Action::SaveCurrentTerm => {
                    self.unvoted = false;
                    self.keep(Record::Term(self.node.current_term().get()));
                }
                Action::SaveVotedFor => {
                    self.keep(Record::Vote(self.node.voted_for().map(NodeId::get)))
                }
                Action::AppendLogEntries(entries) => {
                    let record = Record::Append(packet::Entries::new(&entries, &self.commands));
                    self.keep(record);
                }
                Action::BroadcastMessage(message) => {
                    self.calls.spoke(message.seqno().get());
                    let peers: Vec<u64> = self.node.peers().map(NodeId::get).collect();
                    let (after, packet) = self.message(&message);
                    self.outbox
                        .extend(peers.into_iter().map(|peer| (after, peer, packet.clone())));
                }
                Action::SendMessage(to, message) => {
                    let (after, packet) = self.message(&message);
                    if !self.is_too_soon(to.get(), &packet, now) {
                        self.outbox.push_back((after, to.get(), packet));
                    }
                }
                Action::InstallSnapshot(to) => {
                    let snapshot = self.snapshot();
                    let body = |snapshot| Body::Snapshot {
                        snapshot,
                        restores: 0,
                    };
                    let packet = snapshot.map(|snapshot| self.packet(body(snapshot)));
                    self.outbox
                        .extend(packet.map(|packet| (self.made, to.get(), packet)));
                }
            }
        }
        // Packets to a member that is gone must not pile up.
        while self.outbox.len() > self.bounds.log {
            self.outbox.pop_front();
        }
        self.apply();
    }

    /// Up to where the log is on the disk, where any is kept.
    fn on_disk(&self) -> u64 {
        if self.writes.is_some() {
            self.durable
        } else {
            u64::MAX
        }
    }

    fn last(&self) -> Position {
        self.node.log().last_position().into()
    }

    /// Where the log ends.
    fn end(&self) -> u64 {
        self.last().index
    }

    /// Applies what is committed and on this member's own disk: a lone member's entry is committed
    /// as it is made.
    fn apply(&mut self) {
        while self.applied < self.node.commit_index().get().min(self.on_disk()) {
            let index = LogIndex::new(self.applied + 1);
            let entries = self.node.log().entries();
            let (Some(entry), Some(term)) = (entries.get_entry(index), entries.get_term(index))
            else {
                break;
            };
            if entry == LogEntry::Command {
                let position = Position {
                    index: index.get(),
                    term: term.get(),
                };
                if let Some(command) = self.commands.get(&position) {
                    let room = Room {
                        keys: self.bounds.keys,
                        sessions: self.bounds.sessions,
                    };
                    let (changes, done) = self.state.apply(position.index, command, room);
                    self.calls
                        .note(position.index, &changes, self.bounds.history);
                    self.committed
                        .extend(changes.into_iter().map(|change| (position.index, change)));
                    self.calls.done(done);
                }
            }
            self.applied += 1;
        }
        if self.node.log().entries().len() > self.bounds.log {
            self.compact();
        }
        self.calls.applied(self.applied);
    }

    fn snapshot(&self) -> Option<Snapshot> {
        let index = LogIndex::new(self.applied);
        let (position, config) = self.node.log().get_position_and_config(index)?;
        let members = config.voters.iter().map(|id| id.get()).collect();
        Some(Snapshot {
            position: Position::from(position),
            members,
            state: self.state.clone(),
        })
    }

    /// Folds the applied part of the log into a snapshot.
    fn compact(&mut self) {
        // Nothing is folded twice: a member that cannot apply would write its whole file again at
        // every event.
        let folded = self.node.log().snapshot_position().index.get();
        let Some(snapshot) = self
            .snapshot()
            .filter(|snapshot| snapshot.position.index > folded)
        else {
            return;
        };
        if self
            .node
            .handle_snapshot_installed(snapshot.position.into(), snapshot.config())
        {
            self.forget_commands();
            self.rewrite(snapshot);
        }
    }

    /// Takes the place of a log that the leader no longer has.
    fn install(&mut self, snapshot: Snapshot) {
        if snapshot.position.index <= self.applied {
            return;
        }
        if self
            .node
            .handle_snapshot_installed(snapshot.position.into(), snapshot.config())
        {
            self.take_state(snapshot);
        }
    }

    /// Takes a snapshot's state for this member's own.
    fn take_state(&mut self, snapshot: Snapshot) {
        self.applied = snapshot.position.index;
        self.state = snapshot.state.clone();
        let told = |(key, held): (&str, &crate::state::Held)| {
            (
                snapshot.position.index,
                Change {
                    key: key.to_owned(),
                    value: Some(held.value.clone()),
                },
            )
        };
        self.committed.extend(self.state.keys().map(told));
        self.calls.skipped(self.applied, &self.state);
        self.forget_commands();
        self.rewrite(snapshot);
    }

    fn forget_commands(&mut self) {
        self.commands = self.commands.split_off(&Position {
            index: self.applied + 1,
            term: 0,
        });
    }

    fn keep(&mut self, record: Record) {
        self.write(false, vec![record]);
    }

    fn write(&mut self, replaces: bool, records: Vec<Record>) {
        let end = self.end();
        let Some(writes) = &mut self.writes else {
            return;
        };
        self.made += 1;
        if !matches!(records[..], [Record::Append(_)]) {
            self.promised = self.made;
        }
        self.ends.push_back((self.made, end));
        writes.push(Write {
            number: self.made,
            replaces,
            records,
        });
    }

    fn rewrite(&mut self, snapshot: Snapshot) {
        let mut records = vec![
            Record::Start(self.start),
            Record::Cluster(self.cluster),
            Record::Snapshot(snapshot),
        ];
        records.push(Record::Generation(self.rejoin.generation()));
        records.extend(
            self.rejoin
                .peers()
                .iter()
                .map(|(id, peer)| Record::Peer(*id, *peer)),
        );
        records.push(Record::Term(self.node.current_term().get()));
        records.push(Record::Vote(self.node.voted_for().map(NodeId::get)));
        records.push(Record::Append(packet::Entries::new(
            self.node.log().entries(),
            &self.commands,
        )));
        match self.rejoin.standing() {
            Standing::Founding => records.push(Record::Founding(true)),
            Standing::Lost => records.push(Record::Lost),
            _ if self.unvoted => records.push(Record::Joined),
            _ => {}
        }
        self.write(true, records);
    }
}

impl From<LogPosition> for Position {
    fn from(position: LogPosition) -> Self {
        Position {
            index: position.index.get(),
            term: position.term.get(),
        }
    }
}

impl From<Position> for LogPosition {
    fn from(position: Position) -> Self {
        LogPosition {
            term: position.term.into(),
            index: LogIndex::new(position.index),
        }
    }
}

/// An empty log after a position.
pub(crate) fn after(position: Position) -> LogEntries {
    LogEntries::new(position.into())
}

#[cfg(test)]
mod tests;
