//! The state of a member as recovered from its file by replaying the records in order.

use crate::command::Command;
use crate::log::{Entries, Position, Snapshot, empty_log};
use crate::record::Record;
use crate::rejoin::{Peer, Status};
use crate::state::Capacity;
use raftbare::{Log, LogEntries, Node, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// State recovered from a member's file.
#[derive(Debug, Default)]
pub struct PersistedState {
    /// Number of starts of the member.
    pub starts: u64,
    /// Id of the store; 0 if the file has none.
    pub cluster: u64,
    /// The member's generation: the number of times that its file was lost.
    pub generation: u64,
    /// Known generations, starts and incarnations of other members.
    pub peers: BTreeMap<u64, Peer>,
    /// Whether the member belongs to a store, but has not voted in it yet.
    pub joined: bool,
    bootstrapping: bool,
    lost: bool,
    term: u64,
    vote: Option<u64>,
    snapshot: Snapshot,
    log: Option<LogEntries>,
    commands: BTreeMap<Position, Command>,
}

impl PersistedState {
    /// Replays the records of a file.
    pub fn from_records(records: Vec<Record>) -> PersistedState {
        let mut persisted = PersistedState::default();
        records
            .into_iter()
            .for_each(|record| persisted.replay(record));
        persisted
    }

    /// State of a member of this store whose file is missing.
    pub fn lost_file(cluster: u64) -> PersistedState {
        PersistedState {
            cluster,
            lost: true,
            ..PersistedState::default()
        }
    }

    /// Whether the member may have voted.
    pub fn has_voted(&self) -> bool {
        self.term > 0 && !self.bootstrapping && !self.joined
    }

    /// Whether the member has never belonged to a store.
    pub fn is_empty(&self) -> bool {
        self.term == 0 && self.log.is_none() && !self.lost
    }

    /// The member's status at its start.
    pub fn status(&self) -> Status {
        match self {
            PersistedState { lost: true, .. } => Status::Lost,
            persisted if persisted.is_empty() => Status::Empty,
            PersistedState {
                bootstrapping: true,
                ..
            } => Status::Bootstrapping,
            _ => Status::Unverified,
        }
    }

    /// Records of a new store of these members, which starts with every entry of this file,
    /// committed or not. Entries that the file lacks are lost, even if other members have
    /// acknowledged them.
    ///
    /// The new era is later than the file's. It is also at least the wall clock `clock_s`, in
    /// seconds: repeated restores of one backup would otherwise get equal eras.
    pub fn into_new_store(
        mut self,
        cluster: u64,
        members: &BTreeSet<u64>,
        clock_s: u64,
    ) -> Vec<Record> {
        let mut snapshot = std::mem::take(&mut self.snapshot);
        let (from, last) = (snapshot.position.index, self.last(&snapshot));
        // The file also holds commands of entries that a later leader has replaced: only entries of
        // the log are applied.
        let positions = self
            .log
            .iter()
            .flat_map(|log| log.iter_with_positions())
            .map(|(at, _)| at.into());
        // The bounds of the running store do not limit recovery by an operator.
        let capacity = Capacity {
            keys: usize::MAX,
            sessions: usize::MAX,
        };
        for at in positions.filter(|at: &Position| at.index > from) {
            if let Some(command) = self.commands.get(&at) {
                snapshot.state.apply(at.index, command, capacity);
            }
        }
        let era = (snapshot.state.era() + 1).max(clock_s);
        snapshot.state.begin_era(era);
        (snapshot.position, snapshot.members) = (last, members.clone());
        vec![
            Record::Cluster(cluster),
            Record::Snapshot(snapshot),
            Record::Term(last.term),
            Record::Bootstrapping(true),
        ]
    }

    fn last(&self, snapshot: &Snapshot) -> Position {
        self.log
            .as_ref()
            .map_or(snapshot.position, |log| log.last_position().into())
    }

    /// Members according to the latest configuration in the file.
    pub fn members(&self) -> BTreeSet<u64> {
        match &self.log {
            Some(log) => {
                let log = Log::new(self.snapshot.config(), log.clone());
                log.latest_config()
                    .unique_nodes()
                    .map(NodeId::get)
                    .collect()
            }
            None => self.snapshot.members.clone(),
        }
    }

    fn replay(&mut self, record: Record) {
        match record {
            Record::Start(count) => self.starts = self.starts.max(count),
            Record::Cluster(id) => self.cluster = id,
            Record::Term(term) => {
                if term != self.term {
                    self.vote = None;
                }
                (self.term, self.joined) = (term, false);
            }
            Record::Generation(generation) => self.generation = generation,
            Record::Peer(id, peer) => drop(self.peers.insert(id, peer)),
            Record::Joined => self.joined = true,
            Record::Bootstrapping(bootstrapping) => {
                (self.bootstrapping, self.joined) = (bootstrapping, false)
            }
            Record::Lost => self.lost = true,
            Record::Vote(vote) => self.vote = vote,
            Record::Snapshot(snapshot) => {
                self.log = Some(empty_log(snapshot.position));
                self.snapshot = snapshot;
            }
            Record::Append(entries) => self.append(&entries),
        }
    }

    fn append(&mut self, entries: &Entries) {
        let commands = entries.commands();
        self.commands
            .extend(commands.map(|(position, command)| (position, command.clone())));
        let log = self
            .log
            .get_or_insert_with(|| empty_log(Position::default()));
        // Entries that start inside the log replace its tail.
        let retained = entries
            .after
            .index
            .saturating_sub(log.prev_position().index.get());
        log.truncate(usize::try_from(retained).unwrap_or(usize::MAX));
        for entry in entries.to_log().iter() {
            log.push(entry);
        }
    }

    /// Restores the Raft node; returns it with the snapshot and the commands of the log's entries.
    pub fn into_node(self, id: NodeId) -> (Node, Snapshot, BTreeMap<Position, Command>) {
        let log = self
            .log
            .unwrap_or_else(|| empty_log(self.snapshot.position));
        let log = Log::new(self.snapshot.config(), log);
        let node = Node::restart(id, self.term.into(), self.vote.map(NodeId::new), log);
        (node, self.snapshot, self.commands)
    }

    /// Names and values that `store show` prints.
    pub fn summary(&self) -> Vec<(&'static str, String)> {
        let last = self.last(&self.snapshot);
        let mut keys: Vec<&str> = self.snapshot.state.keys().map(|(key, _)| key).collect();
        keys.extend(self.commands.values().flat_map(|command| match command {
            Command::Put(change) => vec![change.key.as_str()],
            Command::Open(_) => Vec::new(),
            Command::Txn(txn) => txn.sets.iter().map(|set| set.key.as_str()).collect(),
        }));
        keys.sort_unstable();
        keys.dedup();
        vec![
            (
                "store",
                if self.cluster == 0 {
                    "not known".to_owned()
                } else {
                    format!("{:016x}", self.cluster)
                },
            ),
            ("starts", self.starts.to_string()),
            ("files lost before", self.generation.to_string()),
            ("standing", self.status().to_string()),
            ("term", self.term.to_string()),
            (
                "vote",
                self.vote.map_or("none".to_owned(), |id| id.to_string()),
            ),
            (
                "snapshot up to entry",
                self.snapshot.position.index.to_string(),
            ),
            (
                "last entry",
                format!("{} of term {}", last.index, last.term),
            ),
            ("keys", keys.join(" ")),
        ]
    }
}

#[cfg(test)]
mod tests;
