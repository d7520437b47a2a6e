//! The replicated log: positions, entries and snapshots, their conversion to and from the Raft
//! library's types, and their JSON encoding, which is the same in files and in messages.

use crate::command::Command;
use crate::state::State;
use raftbare::{ClusterConfig, LogEntries, LogEntry, LogIndex, LogPosition, NodeId};
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};

/// Position of an entry in the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Index, from 1; 0 is the position before the first entry.
    pub index: u64,
    /// Term of the leader that proposed the entry.
    pub term: u64,
}

impl Position {
    /// Key that compares the ends of two logs: the log with the greater key is more up to date
    /// (Raft, section 5.4.1). The derived order is by index first, for maps of entries.
    pub fn recency(self) -> (u64, u64) {
        (self.term, self.index)
    }
}

/// The state at a position of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Position of the last entry that the snapshot covers.
    pub position: Position,
    /// The members at that position.
    pub members: BTreeSet<u64>,
    /// The state after that entry.
    pub state: State,
}

impl Snapshot {
    /// The members in the library's form.
    pub fn config(&self) -> ClusterConfig {
        ClusterConfig {
            voters: self.members.iter().copied().map(NodeId::new).collect(),
            ..ClusterConfig::new()
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// Start of a leader's term.
    Term(u64),
    /// The membership.
    Members(BTreeSet<u64>),
    /// A command for the state machine.
    Command(Command),
}

/// Consecutive entries of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entries {
    /// Position before the first entry.
    pub after: Position,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Entries {
    /// Entries of the library's log with their commands. Ends before the first entry whose command
    /// this member lacks: later entries cannot be replicated until the command is known.
    pub fn new(log: &LogEntries, commands: &BTreeMap<Position, Command>) -> Entries {
        let mut result = Entries {
            after: log.prev_position().into(),
            entries: Vec::new(),
        };
        for (position, entry) in log.iter_with_positions() {
            let entry = match entry {
                LogEntry::Term(term) => Entry::Term(term.get()),
                LogEntry::ClusterConfig(config) => {
                    Entry::Members(config.voters.iter().map(|id| id.get()).collect())
                }
                LogEntry::Command => match commands.get(&Position::from(position)) {
                    Some(command) => Entry::Command(command.clone()),
                    None => break,
                },
            };
            result.entries.push(entry);
        }
        result
    }

    /// The entries in the library's form.
    pub fn to_log(&self) -> LogEntries {
        let mut log = empty_log(self.after);
        for entry in &self.entries {
            log.push(match entry {
                Entry::Term(term) => LogEntry::Term((*term).into()),
                Entry::Members(members) => LogEntry::ClusterConfig(
                    Snapshot {
                        members: members.clone(),
                        ..Snapshot::default()
                    }
                    .config(),
                ),
                Entry::Command(_) => LogEntry::Command,
            });
        }
        log
    }

    /// The commands among the entries, with their positions.
    pub fn commands(&self) -> impl Iterator<Item = (Position, &Command)> {
        let mut term = self.after.term;
        self.entries.iter().zip(self.after.index + 1..).filter_map(
            move |(entry, index)| match entry {
                Entry::Term(new) => {
                    term = *new;
                    None
                }
                Entry::Command(command) => Some((Position { index, term }, command)),
                Entry::Members(_) => None,
            },
        )
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

/// An empty log that starts after a position.
pub(crate) fn empty_log(position: Position) -> LogEntries {
    LogEntries::new(position.into())
}

pub(crate) fn write_position(position: Position) -> Json {
    json!([position.index, position.term])
}

pub(crate) fn read_position(json: &Json) -> Option<Position> {
    Some(Position {
        index: json[0].as_u64()?,
        term: json[1].as_u64()?,
    })
}

/// Entries as JSON.
pub(crate) fn write_entries(entries: &Entries) -> Json {
    let list: Vec<Json> = entries
        .entries
        .iter()
        .map(|entry| match entry {
            Entry::Term(term) => json!({"term": term}),
            Entry::Members(members) => json!({"members": members}),
            Entry::Command(command) => command.json(),
        })
        .collect();
    json!({"after": write_position(entries.after), "entries": list})
}

/// Parses entries from JSON; `None` if the JSON is not valid.
pub(crate) fn read_entries(json: &Json) -> Option<Entries> {
    let entry = |json: &Json| {
        if let Some(term) = json["term"].as_u64() {
            Some(Entry::Term(term))
        } else if json["members"].is_array() {
            Some(Entry::Members(read_members(&json["members"])?))
        } else {
            Some(Entry::Command(Command::read(json)?))
        }
    };
    let entries = json["entries"]
        .as_array()?
        .iter()
        .map(entry)
        .collect::<Option<_>>()?;
    Some(Entries {
        after: read_position(&json["after"])?,
        entries,
    })
}

/// A snapshot as JSON.
pub(crate) fn write_snapshot(snapshot: &Snapshot) -> Json {
    json!({"position": write_position(snapshot.position), "members": snapshot.members, "state": snapshot.state.json()})
}

/// Parses a snapshot from JSON; `None` if the JSON is not valid.
pub(crate) fn read_snapshot(json: &Json) -> Option<Snapshot> {
    let position = read_position(&json["position"])?;
    let state = State::read(&json["state"], position.index)?;
    Some(Snapshot {
        position,
        members: read_members(&json["members"])?,
        state,
    })
}

fn read_members(json: &Json) -> Option<BTreeSet<u64>> {
    json.as_array()?.iter().map(Json::as_u64).collect()
}
