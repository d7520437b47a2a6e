//! What a member keeps across its restarts: a file of JSON lines, read back in order.

use super::packet::{self, Change, Entries, Position, Snapshot};
use raftbare::{Log, LogEntries, Node, NodeId};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// One line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The present term.
    Term(u64),
    /// Who has this member's vote in it.
    Vote(Option<u64>),
    /// Entries at their place; they replace what stood there and after.
    Append(Entries),
    /// Everything up to a place.
    Snapshot(Snapshot),
}

impl Record {
    fn write(&self) -> String {
        let json = match self {
            Record::Term(term) => json!({"term": term}),
            Record::Vote(vote) => json!({"vote": vote}),
            Record::Append(entries) => json!({"append": packet::write_entries(entries)}),
            Record::Snapshot(snapshot) => json!({"snapshot": packet::write_snapshot(snapshot)}),
        };
        json.to_string() + "\n"
    }

    fn read(line: &str) -> Option<Record> {
        let json: Json = serde_json::from_str(line).ok()?;
        if let Some(term) = json["term"].as_u64() {
            return Some(Record::Term(term));
        }
        if json["append"].is_object() {
            return Some(Record::Append(packet::read_entries(&json["append"])?));
        }
        if json["snapshot"].is_object() {
            return Some(Record::Snapshot(packet::read_snapshot(&json["snapshot"])?));
        }
        json.get("vote").map(|vote| Record::Vote(vote.as_u64()))
    }
}

/// What a file kept.
#[derive(Debug, Default)]
pub struct Kept {
    term: u64,
    vote: Option<u64>,
    snapshot: Snapshot,
    log: Option<LogEntries>,
    changes: BTreeMap<Position, Change>,
}

impl Kept {
    /// True where nothing was kept.
    pub fn is_empty(&self) -> bool {
        self.term == 0 && self.log.is_none()
    }

    fn take(&mut self, record: Record) {
        match record {
            Record::Term(term) => {
                if term != self.term {
                    self.vote = None;
                }
                self.term = term;
            }
            Record::Vote(vote) => self.vote = vote,
            Record::Snapshot(snapshot) => {
                self.log = Some(super::after(snapshot.position));
                self.snapshot = snapshot;
            }
            Record::Append(entries) => {
                self.changes.extend(entries.changes().map(|(position, change)| (position, change.clone())));
                let log = self.log.get_or_insert_with(|| super::after(Position::default()));
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
        let log = self.log.unwrap_or_else(|| super::after(self.snapshot.position));
        let log = Log::new(self.snapshot.config(), log);
        let node = Node::restart(id, self.term.into(), self.vote.map(NodeId::new), log);
        (node, self.snapshot, self.changes)
    }
}

/// The file.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
}

impl Journal {
    /// Opens the file and reads what it kept; a last line cut short by a crash is dropped.
    pub fn open(path: &Path) -> io::Result<(Journal, Kept)> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(problem) if problem.kind() == io::ErrorKind::NotFound => String::new(),
            Err(problem) => return Err(problem),
        };
        let mut kept = Kept::default();
        let mut whole = 0;
        for line in text.split_inclusive('\n').filter(|line| line.ends_with('\n')) {
            let Some(record) = Record::read(line) else {
                // A member that made up for a spoilt line could break a promise it has given.
                let what = format!("{}: a line is no record", path.display());
                return Err(io::Error::new(io::ErrorKind::InvalidData, what));
            };
            kept.take(record);
            whole += line.len();
        }
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        file.set_len(whole as u64)?;
        Ok((Journal { path: path.to_owned(), file }, kept))
    }

    /// Adds a record; it is on the disk when this returns.
    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        self.file.write_all(record.write().as_bytes())?;
        self.file.sync_data()
    }

    /// Replaces everything, by a new file in the old one's place.
    pub fn rewrite(&mut self, records: &[Record]) -> io::Result<()> {
        let beside = self.path.with_extension("new");
        let mut file = File::create(&beside)?;
        for record in records {
            file.write_all(record.write().as_bytes())?;
        }
        file.sync_all()?;
        std::fs::rename(&beside, &self.path)?;
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        Ok(())
    }
}
