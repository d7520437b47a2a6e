//! What members of the store say to each other: one JSON object a line.

use crate::command::Command;
use crate::rejoin::{Ask, Past, Told, What};
use crate::state::State;
use raftbare::{
    ClusterConfig, LogEntries, LogEntry, LogIndex, Message, MessageHeader, MessageSeqNo, NodeId,
};
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A place in the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Counted from 1; 0 stands before the first entry.
    pub index: u64,
    /// The term it was written in.
    pub term: u64,
}

/// A key and its new value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The value; none where the key is gone.
    pub value: Option<String>,
}

/// The state at a place in the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The last entry it covers.
    pub position: Position,
    /// The members at that place.
    pub members: BTreeSet<u64>,
    /// Everything that the entries up to there made.
    pub state: State,
}

impl Snapshot {
    /// The members, as the library has them.
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
    /// A new term.
    Term(u64),
    /// The members.
    Members(BTreeSet<u64>),
    /// Something for the state to do.
    Command(Command),
}

/// A stretch of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entries {
    /// What stands before it.
    pub after: Position,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Entries {
    /// A stretch of the library's log, with what its commands say.
    pub fn new(log: &LogEntries, commands: &BTreeMap<Position, Command>) -> Entries {
        let mut stretch = Entries {
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
                    // What is not known cannot be passed on; the rest goes when it is.
                    None => break,
                },
            };
            stretch.entries.push(entry);
        }
        stretch
    }

    /// The library's form of it.
    pub fn log(&self) -> LogEntries {
        let mut log = crate::member::after(self.after);
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

    /// The commands in it, each with its place.
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

/// What a packet says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Body {
    /// A candidate asks for a vote.
    Vote {
        /// The end of its log.
        last: Position,
    },
    /// The answer to that.
    Voted {
        /// Whether it is given.
        granted: bool,
    },
    /// The leader's entries, or its heartbeat.
    Append {
        /// What is committed.
        commit: u64,
        /// The entries.
        entries: Entries,
    },
    /// The answer to that.
    Appended {
        /// The end of the member's log.
        last: Position,
    },
    /// The state in place of a log that the leader no longer has, or for the life of a member that
    /// has lost its file.
    Snapshot {
        /// The state.
        snapshot: Snapshot,
        /// The life that asked for it; 0 where none did.
        restores: u64,
    },
    /// A member wants the leader to propose this.
    Propose(Command),
    /// A member asks the leader up to where it must have applied, to answer a read of this number.
    Read {
        /// The number.
        number: u64,
        /// The life of the member that asks.
        life: u64,
    },
    /// The answer to that, once the leader is known to lead.
    ReadAt {
        /// The number.
        number: u64,
        /// The life that asked: a later one may have used the number again.
        life: u64,
        /// The place.
        index: u64,
    },
    /// A member that has just started asks what others know of it.
    Ask(Ask),
    /// The answer to that.
    Told(Told),
    /// A member that begins the store says that the receiver is part of it.
    Found {
        /// The life that begins it.
        life: u64,
        /// What the store begins with.
        snapshot: Snapshot,
    },
    /// The answer to that, once it is kept.
    #[default]
    Joined,
    /// Another answer to that: there is a store already, in which others have voted.
    Begun {
        /// The life that wanted to begin it.
        life: u64,
    },
    /// A member that has lost its file asks the leader for what is committed.
    Fetch {
        /// The life that asks.
        life: u64,
        /// The least term of a leader that may answer.
        term: u64,
        /// How far what it has committed must go.
        last: Position,
    },
}

/// One packet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Packet {
    /// Who sent it.
    pub from: u64,
    /// Which store the sender is of; 0 where it does not know that yet.
    pub cluster: u64,
    /// The sender's term.
    pub term: u64,
    /// The sender's count.
    pub sequence: u64,
    /// Which start of the sender this is.
    pub starts: u64,
    /// How often the sender has lost its file.
    pub generation: u64,
    /// How often others have, as far as the sender knows.
    pub generations: BTreeMap<u64, u64>,
    /// What it says.
    pub body: Body,
}

/// A line that is no packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoPacket(pub &'static str);

impl fmt::Display for NoPacket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no packet: {}", self.0)
    }
}

impl std::error::Error for NoPacket {}

/// The kinds of packet with what each is for: written and read by it, and what `describe asyncapi`
/// prints.
pub const KINDS: &[(&str, &str)] = &[
    ("vote", "A candidate asks for a vote"),
    ("voted", "The answer to a candidate"),
    ("append", "The leader's entries, or its heartbeat"),
    ("appended", "The answer to the leader"),
    (
        "snapshot",
        "The state in place of entries that the leader no longer has",
    ),
    ("put", "A member wants the leader to propose an entry"),
    (
        "read",
        "A member asks the leader up to where it must have applied, to answer a read",
    ),
    (
        "read at",
        "The answer to that, once the leader is known to lead",
    ),
    (
        "ask",
        "A member that has just started asks what others know of it",
    ),
    ("told", "The answer to one that asks"),
    (
        "found",
        "A member that begins the store says that the receiver is part of it",
    ),
    ("joined", "The answer to one that begins the store"),
    (
        "begun",
        "Another answer to that: there is a store already, in which others have voted",
    ),
    (
        "fetch",
        "A member that has lost its file asks the leader for what is committed",
    ),
];

impl Body {
    /// The library's message, where the packet is one.
    pub fn into_message(self, from: u64, term: u64, sequence: u64) -> Option<Message> {
        let header = MessageHeader {
            from: NodeId::new(from),
            term: term.into(),
            seqno: MessageSeqNo::new(sequence),
        };
        Some(match self {
            Body::Vote { last } => Message::RequestVoteCall {
                header,
                last_position: last.into(),
            },
            Body::Voted { granted } => Message::RequestVoteReply {
                header,
                vote_granted: granted,
            },
            Body::Append { commit, entries } => Message::AppendEntriesCall {
                header,
                commit_index: LogIndex::new(commit),
                entries: entries.log(),
            },
            Body::Appended { last } => Message::AppendEntriesReply {
                header,
                last_position: last.into(),
            },
            _ => return None,
        })
    }

    fn kind(&self) -> &'static str {
        match self {
            Body::Vote { .. } => "vote",
            Body::Voted { .. } => "voted",
            Body::Append { .. } => "append",
            Body::Appended { .. } => "appended",
            Body::Snapshot { .. } => "snapshot",
            Body::Propose(_) => "put",
            Body::Read { .. } => "read",
            Body::ReadAt { .. } => "read at",
            Body::Ask(_) => "ask",
            Body::Told(_) => "told",
            Body::Found { .. } => "found",
            Body::Joined => "joined",
            Body::Begun { .. } => "begun",
            Body::Fetch { .. } => "fetch",
        }
    }
}

impl Packet {
    /// The packet that carries a message of the library; who sends it is put in by the member.
    pub fn from_message(message: &Message, commands: &BTreeMap<Position, Command>) -> Packet {
        let body = match message {
            Message::RequestVoteCall { last_position, .. } => Body::Vote {
                last: (*last_position).into(),
            },
            Message::RequestVoteReply { vote_granted, .. } => Body::Voted {
                granted: *vote_granted,
            },
            Message::AppendEntriesCall {
                commit_index,
                entries,
                ..
            } => Body::Append {
                commit: commit_index.get(),
                entries: Entries::new(entries, commands),
            },
            Message::AppendEntriesReply { last_position, .. } => Body::Appended {
                last: (*last_position).into(),
            },
        };
        Packet {
            term: message.term().get(),
            sequence: message.seqno().get(),
            body,
            ..Packet::default()
        }
    }

    /// The line, with its end.
    pub fn write(&self) -> String {
        let mut json = match &self.body {
            Body::Vote { last } | Body::Appended { last } => json!({"last": write_position(*last)}),
            Body::Voted { granted } => json!({"granted": granted}),
            Body::Append { commit, entries } => {
                json!({"commit": commit, "log": write_entries(entries)})
            }
            Body::Snapshot { snapshot, restores } => {
                let mut json = write_snapshot(snapshot);
                json["restores"] = (*restores).into();
                json
            }
            Body::Propose(command) => command.json(),
            Body::Read { number, life } => json!({"number": number, "life": life}),
            Body::ReadAt {
                number,
                life,
                index,
            } => json!({"number": number, "life": life, "index": index}),
            Body::Ask(ask) => json!({
                "life": ask.life, "past": word(PASTS, ask.past), "starts": ask.starts,
                "asks_as": ask.generation, "last": write_position(ask.last)
            }),
            Body::Told(told) => json!({
                "life": told.life, "what": word(WHATS, told.what), "known": told.generation, "newer": told.newer,
                "last": write_position(told.last)
            }),
            Body::Found { life, snapshot } => {
                let mut json = write_snapshot(snapshot);
                json["life"] = (*life).into();
                json
            }
            Body::Joined => json!({}),
            Body::Begun { life } => json!({"life": life}),
            Body::Fetch { life, term, last } => {
                json!({"life": life, "least_term": term, "last": write_position(*last)})
            }
        };
        json["kind"] = self.body.kind().into();
        json["from"] = self.from.into();
        json["cluster"] = self.cluster.into();
        json["term"] = self.term.into();
        json["sequence"] = self.sequence.into();
        json["started"] = self.starts.into();
        if self.generation > 0 {
            json["generation"] = self.generation.into();
        }
        if !self.generations.is_empty() {
            json["generations"] = self
                .generations
                .iter()
                .map(|(id, of)| json!([id, of]))
                .collect();
        }
        json.to_string() + "\n"
    }

    /// Reads a line.
    pub fn read(line: &[u8]) -> Result<Packet, NoPacket> {
        let json: Json = serde_json::from_slice(line).map_err(|_| NoPacket("not JSON"))?;
        let number = |key: &'static str| json[key].as_u64().ok_or(NoPacket(key));
        let last = || read_position(&json["last"]).ok_or(NoPacket("last"));
        let body = match json["kind"].as_str().ok_or(NoPacket("kind"))? {
            "vote" => Body::Vote { last: last()? },
            "voted" => Body::Voted {
                granted: json["granted"].as_bool().ok_or(NoPacket("granted"))?,
            },
            "append" => Body::Append {
                commit: number("commit")?,
                entries: read_entries(&json["log"]).ok_or(NoPacket("log"))?,
            },
            "appended" => Body::Appended { last: last()? },
            "snapshot" => Body::Snapshot {
                snapshot: read_snapshot(&json).ok_or(NoPacket("snapshot"))?,
                restores: json["restores"].as_u64().unwrap_or(0),
            },
            "put" => Body::Propose(Command::read(&json).ok_or(NoPacket("put"))?),
            "read" => Body::Read {
                number: number("number")?,
                life: number("life")?,
            },
            "read at" => Body::ReadAt {
                number: number("number")?,
                life: number("life")?,
                index: number("index")?,
            },
            "ask" => Body::Ask(Ask {
                life: number("life")?,
                past: meant(PASTS, &json["past"]).ok_or(NoPacket("past"))?,
                generation: number("asks_as")?,
                starts: number("starts")?,
                last: last()?,
            }),
            "told" => Body::Told(Told {
                life: number("life")?,
                what: meant(WHATS, &json["what"]).ok_or(NoPacket("what"))?,
                generation: number("known")?,
                newer: json["newer"].as_bool().ok_or(NoPacket("newer"))?,
                last: last()?,
            }),
            "found" => Body::Found {
                life: number("life")?,
                snapshot: read_snapshot(&json).ok_or(NoPacket("snapshot"))?,
            },
            "joined" => Body::Joined,
            "begun" => Body::Begun {
                life: number("life")?,
            },
            "fetch" => Body::Fetch {
                life: number("life")?,
                term: number("least_term")?,
                last: last()?,
            },
            _ => return Err(NoPacket("unknown kind")),
        };
        // A member of an earlier build names no store.
        let cluster = json["cluster"].as_u64().unwrap_or(0);
        let (from, term, sequence) = (number("from")?, number("term")?, number("sequence")?);
        let starts = json["started"].as_u64().unwrap_or(0);
        let generation = json["generation"].as_u64().unwrap_or(0);
        let pair = |json: &Json| Some((json[0].as_u64()?, json[1].as_u64()?));
        let generations = json["generations"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default();
        let generations = generations
            .iter()
            .map(pair)
            .collect::<Option<_>>()
            .ok_or(NoPacket("generations"))?;
        Ok(Packet {
            from,
            cluster,
            term,
            sequence,
            starts,
            generation,
            generations,
            body,
        })
    }
}

const PASTS: &[(Past, &str)] = &[
    (Past::None, "none"),
    (Past::Claimed, "claimed"),
    (Past::Whole, "whole"),
];
const WHATS: &[(What, &str)] = &[
    (What::Empty, "empty"),
    (What::Joined, "joined"),
    (What::Whole, "whole"),
    (What::Lost, "lost"),
    (What::Sound, "sound"),
];

fn word<T: PartialEq>(all: &[(T, &'static str)], meant: T) -> &'static str {
    all.iter()
        .find(|(value, _)| *value == meant)
        .map_or("", |(_, word)| word)
}

fn meant<T: Copy>(all: &[(T, &'static str)], word: &Json) -> Option<T> {
    all.iter()
        .find(|(_, known)| word == known)
        .map(|(value, _)| *value)
}

fn write_position(position: Position) -> Json {
    json!([position.index, position.term])
}

fn read_position(json: &Json) -> Option<Position> {
    Some(Position {
        index: json[0].as_u64()?,
        term: json[1].as_u64()?,
    })
}

/// A stretch of the log as JSON.
pub fn write_entries(entries: &Entries) -> Json {
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

/// A stretch of the log from JSON.
pub fn read_entries(json: &Json) -> Option<Entries> {
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
pub fn write_snapshot(snapshot: &Snapshot) -> Json {
    json!({"position": write_position(snapshot.position), "members": snapshot.members, "state": snapshot.state.json()})
}

/// A snapshot from JSON.
pub fn read_snapshot(json: &Json) -> Option<Snapshot> {
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
