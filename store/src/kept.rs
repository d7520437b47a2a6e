//! What a member's file kept, read back in order.

use crate::command::Command;
use crate::packet::{Position, Snapshot};
use crate::record::Record;
use crate::rejoin::{Peer, Standing};
use crate::state::Room;
use raftbare::{Log, LogEntries, Node, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// What a file kept.
#[derive(Debug, Default)]
pub struct Kept {
    /// How often the member has started before.
    pub starts: u64,
    /// Which store it is of; 0 where the file does not say.
    pub cluster: u64,
    /// How often the member had lost its file.
    pub generation: u64,
    /// What others are known to have told of themselves.
    pub peers: BTreeMap<u64, Peer>,
    /// Whether the member is part of a store in which it has not voted yet.
    pub joined: bool,
    founding: bool,
    lost: bool,
    term: u64,
    vote: Option<u64>,
    snapshot: Snapshot,
    log: Option<LogEntries>,
    commands: BTreeMap<Position, Command>,
}

impl Kept {
    /// What these records say.
    pub fn of(records: Vec<Record>) -> Kept {
        let mut kept = Kept::default();
        records.into_iter().for_each(|record| kept.take(record));
        kept
    }

    /// A member whose file is gone, though it was once of this store.
    pub fn gone(cluster: u64) -> Kept {
        Kept {
            cluster,
            lost: true,
            ..Kept::default()
        }
    }

    /// Whether the member may have voted.
    pub fn has_voted(&self) -> bool {
        self.term > 0 && !self.founding && !self.joined
    }

    /// True where the member has never been part of a store.
    pub fn is_empty(&self) -> bool {
        self.term == 0 && self.log.is_none() && !self.lost
    }

    /// What the member may do at first.
    pub fn standing(&self) -> Standing {
        match self {
            Kept { lost: true, .. } => Standing::Lost,
            kept if kept.is_empty() => Standing::Empty,
            Kept { founding: true, .. } => Standing::Founding,
            _ => Standing::Unjudged,
        }
    }

    /// The file of a new store of these members that begins with all that this file holds, whether
    /// or not it is committed: what another member had acknowledged and this one has not heard of
    /// is lost. Its era is later than the file's, and no earlier than the wall clock of the step in
    /// seconds: a backup may be put back more than once.
    pub fn anew(mut self, cluster: u64, members: &BTreeSet<u64>, clock: u64) -> Vec<Record> {
        let mut snapshot = std::mem::take(&mut self.snapshot);
        let (from, last) = (snapshot.position.index, self.last(&snapshot));
        // What a later leader replaced stands in the file, but not in the log.
        let positions = self
            .log
            .iter()
            .flat_map(|log| log.iter_with_positions())
            .map(|(at, _)| at.into());
        // An operator's step takes whatever there is, bounds or not.
        let room = Room {
            keys: usize::MAX,
            sessions: usize::MAX,
        };
        for at in positions.filter(|at: &Position| at.index > from) {
            if let Some(command) = self.commands.get(&at) {
                snapshot.state.apply(at.index, command, room);
            }
        }
        let era = (snapshot.state.era() + 1).max(clock);
        snapshot.state.begin_era(era);
        (snapshot.position, snapshot.members) = (last, members.clone());
        vec![
            Record::Cluster(cluster),
            Record::Snapshot(snapshot),
            Record::Term(last.term),
            Record::Founding(true),
        ]
    }

    fn last(&self, snapshot: &Snapshot) -> Position {
        self.log
            .as_ref()
            .map_or(snapshot.position, |log| log.last_position().into())
    }

    /// The members that the file names.
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

    fn take(&mut self, record: Record) {
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
            Record::Founding(founding) => (self.founding, self.joined) = (founding, false),
            Record::Lost => self.lost = true,
            Record::Vote(vote) => self.vote = vote,
            Record::Snapshot(snapshot) => {
                self.log = Some(crate::member::after(snapshot.position));
                self.snapshot = snapshot;
            }
            Record::Append(entries) => {
                self.commands.extend(
                    entries
                        .commands()
                        .map(|(position, command)| (position, command.clone())),
                );
                let log = self
                    .log
                    .get_or_insert_with(|| crate::member::after(Position::default()));
                // Entries that begin inside the log replace its end.
                let kept = entries
                    .after
                    .index
                    .saturating_sub(log.prev_position().index.get());
                log.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
                for entry in entries.log().iter() {
                    log.push(entry);
                }
            }
        }
    }

    /// The member as it was, its state at the snapshot, and what the log's entries say.
    pub fn into_node(self, id: NodeId) -> (Node, Snapshot, BTreeMap<Position, Command>) {
        let log = self
            .log
            .unwrap_or_else(|| crate::member::after(self.snapshot.position));
        let log = Log::new(self.snapshot.config(), log);
        let node = Node::restart(id, self.term.into(), self.vote.map(NodeId::new), log);
        (node, self.snapshot, self.commands)
    }

    /// What `store show` prints.
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
            ("standing", format!("{:?}", self.standing()).to_lowercase()),
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
