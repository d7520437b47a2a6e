//! Messages between members: Raft's, and those for proposals, reads and admission. The encoding,
//! one JSON object a line, is in `codec`.

use crate::command::Command;
use crate::log::{Entries, Position, Snapshot};
use crate::rejoin::{StatusRequest, StatusResponse};
use raftbare::{LogIndex, Message as RaftMessage, MessageHeader, MessageSeqNo, NodeId};
use std::collections::BTreeMap;
use std::fmt;

mod codec;

/// A message. Names of Raft's remote procedure calls are those of the paper.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Message {
    /// A candidate requests a vote.
    RequestVote {
        /// Position of its last entry.
        last: Position,
    },
    /// The response to a candidate.
    RequestVoteResponse {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries of the leader, or its heartbeat.
    AppendEntries {
        /// The leader's commit index.
        commit: u64,
        /// Entries; none in a heartbeat.
        entries: Entries,
    },
    /// The response to a leader.
    AppendEntriesResponse {
        /// Position of the member's last entry.
        last: Position,
    },
    /// The leader's state, in place of entries that it has compacted, or for a member that has lost
    /// its file.
    InstallSnapshot {
        /// The state.
        snapshot: Snapshot,
        /// The incarnation that requested it; 0 if none did.
        restores: u64,
    },
    /// A member asks the leader to propose a command.
    Propose(Command),
    /// A member asks the leader for the read index (Raft, dissertation, 6.4).
    ReadIndex {
        /// The member's number for the read.
        number: u64,
        /// The member's incarnation.
        incarnation: u64,
    },
    /// The response, once a majority has confirmed that the leader still leads.
    ReadIndexResponse {
        /// The member's number for the read.
        number: u64,
        /// The incarnation that asked: a later one may have used the number again.
        incarnation: u64,
        /// Index up to which the member has to apply.
        index: u64,
    },
    /// A member that has just started asks what the others know of it.
    StatusRequest(StatusRequest),
    /// The response to a status request.
    StatusResponse(StatusResponse),
    /// A member bootstraps the store, with the receiver in it.
    Bootstrap {
        /// The incarnation that bootstraps it.
        incarnation: u64,
        /// The state that the store starts with.
        snapshot: Snapshot,
    },
    /// The response to a bootstrap, once it is persisted.
    #[default]
    BootstrapAccepted,
    /// The other response to a bootstrap: a store exists in which members have voted.
    AlreadyBootstrapped {
        /// The incarnation that was bootstrapping.
        incarnation: u64,
    },
    /// A member that has lost its file asks the leader for its committed state.
    SnapshotRequest {
        /// The incarnation that asks.
        incarnation: u64,
        /// Least term of a leader that may respond.
        term: u64,
        /// Position up to which that leader must have committed.
        last: Position,
    },
}

/// A message with its sender.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Envelope {
    /// The sender.
    pub from: u64,
    /// Id of the sender's store; 0 while it is unknown.
    pub cluster: u64,
    /// The sender's term.
    pub term: u64,
    /// Sequence number of the library's message; 0 for others.
    pub sequence: u64,
    /// How often the sender has started.
    pub starts: u64,
    /// The sender's generation: how often it has lost its file.
    pub generation: u64,
    /// Generations of other members, as far as the sender knows.
    pub generations: BTreeMap<u64, u64>,
    /// The message.
    pub message: Message,
}

/// A line that is not a valid message; with the field that is missing or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedMessage(pub &'static str);

impl fmt::Display for MalformedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no packet: {}", self.0)
    }
}

impl std::error::Error for MalformedMessage {}

/// Kinds of message in the wire format with their descriptions, for `describe asyncapi`.
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

impl Message {
    /// The library's message; `None` for messages that are not Raft's own.
    pub fn into_raft(self, from: u64, term: u64, sequence: u64) -> Option<RaftMessage> {
        let header = MessageHeader {
            from: NodeId::new(from),
            term: term.into(),
            seqno: MessageSeqNo::new(sequence),
        };
        Some(match self {
            Message::RequestVote { last } => RaftMessage::RequestVoteCall {
                header,
                last_position: last.into(),
            },
            Message::RequestVoteResponse { granted } => RaftMessage::RequestVoteReply {
                header,
                vote_granted: granted,
            },
            Message::AppendEntries { commit, entries } => RaftMessage::AppendEntriesCall {
                header,
                commit_index: LogIndex::new(commit),
                entries: entries.to_log(),
            },
            Message::AppendEntriesResponse { last } => RaftMessage::AppendEntriesReply {
                header,
                last_position: last.into(),
            },
            _ => return None,
        })
    }

    /// The kind in the wire format.
    fn kind(&self) -> &'static str {
        match self {
            Message::RequestVote { .. } => "vote",
            Message::RequestVoteResponse { .. } => "voted",
            Message::AppendEntries { .. } => "append",
            Message::AppendEntriesResponse { .. } => "appended",
            Message::InstallSnapshot { .. } => "snapshot",
            Message::Propose(_) => "put",
            Message::ReadIndex { .. } => "read",
            Message::ReadIndexResponse { .. } => "read at",
            Message::StatusRequest(_) => "ask",
            Message::StatusResponse(_) => "told",
            Message::Bootstrap { .. } => "found",
            Message::BootstrapAccepted => "joined",
            Message::AlreadyBootstrapped { .. } => "begun",
            Message::SnapshotRequest { .. } => "fetch",
        }
    }
}

impl Envelope {
    /// Wraps a message of the library. The member fills in the sender.
    pub fn from_raft(raft: &RaftMessage, commands: &BTreeMap<Position, Command>) -> Envelope {
        let message = match raft {
            RaftMessage::RequestVoteCall { last_position, .. } => Message::RequestVote {
                last: (*last_position).into(),
            },
            RaftMessage::RequestVoteReply { vote_granted, .. } => Message::RequestVoteResponse {
                granted: *vote_granted,
            },
            RaftMessage::AppendEntriesCall {
                commit_index,
                entries,
                ..
            } => Message::AppendEntries {
                commit: commit_index.get(),
                entries: Entries::new(entries, commands),
            },
            RaftMessage::AppendEntriesReply { last_position, .. } => {
                Message::AppendEntriesResponse {
                    last: (*last_position).into(),
                }
            }
        };
        Envelope {
            term: raft.term().get(),
            sequence: raft.seqno().get(),
            message,
            ..Envelope::default()
        }
    }
}
