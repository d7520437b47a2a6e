//! What a member's file kept, read back in order.

use crate::packet::{Change, Position, Snapshot};
use crate::record::Record;
use raftbare::{Log, LogEntries, Node, NodeId};
use std::collections::BTreeMap;

/// What a file kept.
#[derive(Debug, Default)]
pub struct Kept {
    /// How often the member has started before.
    pub starts: u64,
    /// Which store it is of; 0 where the file does not say.
    pub cluster: u64,
    term: u64,
    vote: Option<u64>,
    snapshot: Snapshot,
    log: Option<LogEntries>,
    changes: BTreeMap<Position, Change>,
}

impl Kept {
    /// What these records say.
    pub fn of(records: Vec<Record>) -> Kept {
        let mut kept = Kept::default();
        records.into_iter().for_each(|record| kept.take(record));
        kept
    }

    /// True where the member has never been part of a store.
    pub fn is_empty(&self) -> bool {
        self.term == 0 && self.log.is_none()
    }

    fn take(&mut self, record: Record) {
        match record {
            Record::Start(count) => self.starts = self.starts.max(count),
            Record::Cluster(id) => self.cluster = id,
            Record::Term(term) => {
                if term != self.term {
                    self.vote = None;
                }
                self.term = term;
            }
            Record::Vote(vote) => self.vote = vote,
            Record::Snapshot(snapshot) => {
                self.log = Some(crate::member::after(snapshot.position));
                self.snapshot = snapshot;
            }
            Record::Append(entries) => {
                self.changes.extend(entries.changes().map(|(position, change)| (position, change.clone())));
                let log = self.log.get_or_insert_with(|| crate::member::after(Position::default()));
                // Entries that begin inside the log replace its end.
                let kept = entries.after.index.saturating_sub(log.prev_position().index.get());
                log.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
                for entry in entries.log().iter() {
                    log.push(entry);
                }
            }
        }
    }

    /// The member as it was, its state at the snapshot, and what the log's entries say.
    pub fn into_node(self, id: NodeId) -> (Node, Snapshot, BTreeMap<Position, Change>) {
        let log = self.log.unwrap_or_else(|| crate::member::after(self.snapshot.position));
        let log = Log::new(self.snapshot.config(), log);
        let node = Node::restart(id, self.term.into(), self.vote.map(NodeId::new), log);
        (node, self.snapshot, self.changes)
    }

    /// What `store show` prints.
    pub fn summary(&self) -> Vec<(&'static str, String)> {
        let last = self.log.as_ref().map_or(self.snapshot.position, |log| log.last_position().into());
        let mut keys: Vec<&str> = self.snapshot.state.keys().map(String::as_str).collect();
        keys.extend(self.changes.values().map(|change| change.key.as_str()));
        keys.sort_unstable();
        keys.dedup();
        vec![
            (
                "store",
                if self.cluster == 0 { "not known".to_owned() } else { format!("{:016x}", self.cluster) },
            ),
            ("starts", self.starts.to_string()),
            ("term", self.term.to_string()),
            ("vote", self.vote.map_or("none".to_owned(), |id| id.to_string())),
            ("snapshot up to entry", self.snapshot.position.index.to_string()),
            ("last entry", format!("{} of term {}", last.index, last.term)),
            ("keys", keys.join(" ")),
        ]
    }
}
