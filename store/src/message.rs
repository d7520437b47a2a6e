//! Messages between members: Raft's own, and messages for proposals, reads and admission. `codec`
//! encodes them as one JSON object per line.

use crate::command::Command;
use crate::log::{Entries, Position, Snapshot};
use crate::rejoin::{StatusRequest, StatusResponse};
use raftbare::{LogIndex, Message as RaftMessage, MessageHeader, MessageSeqNo, NodeId};
use std::collections::BTreeMap;
use std::fmt;

mod codec;

/// A message. Raft's remote procedure calls have the names of the paper.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Message {
    /// A candidate requests a vote.
    RequestVote {
        /// Position of the candidate's last entry.
        last: Position,
    },
    /// The response to a candidate.
    RequestVoteResponse {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Log entries from the leader, or its heartbeat.
    AppendEntries {
        /// The leader's commit index.
        commit: u64,
        /// The entries; empty in a heartbeat.
        entries: Entries,
    },
    /// The response to a leader.
    AppendEntriesResponse {
        /// Position of the member's last entry.
        last: Position,
    },
    /// The leader's state, sent instead of compacted entries, or to a member that has lost its
    /// file.
    InstallSnapshot {
        /// The state.
        snapshot: Snapshot,
        /// The incarnation that requested the snapshot to restore a lost file; 0 if none did.
        requested_by: u64,
    },
    /// A member asks the leader to propose a command.
    Propose(Command),
    /// A member asks the leader for the read index (Raft, dissertation, 6.4).
    ReadIndex {
        /// Number that the member has given the read.
        number: u64,
        /// The member's incarnation.
        incarnation: u64,
    },
    /// The response to a read index request, sent once a majority has confirmed the leader.
    ReadIndexResponse {
        /// Number that the member has given the read.
        number: u64,
        /// The incarnation that sent the request: a later one may reuse the number.
        incarnation: u64,
        /// Index up to which the member has to apply.
        index: u64,
    },
    /// A newly started member asks the others what they know about its file.
    StatusRequest(StatusRequest),
    /// The response to a status request.
    StatusResponse(StatusResponse),
    /// A member bootstraps the store, and the receiver belongs to it.
    Bootstrap {
        /// The incarnation that bootstraps the store.
        incarnation: u64,
        /// The store's initial state.
        snapshot: Snapshot,
    },
    /// The response to a bootstrap, sent once it is persisted.
    #[default]
    BootstrapAccepted,
    /// The negative response to a bootstrap: a store exists whose members may already have voted.
    AlreadyBootstrapped {
        /// The incarnation that was bootstrapping.
        incarnation: u64,
    },
    /// A member that has lost its file asks the leader for its committed state.
    SnapshotRequest {
        /// The incarnation that sends the request.
        incarnation: u64,
        /// Lowest term of a leader that may respond.
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
    /// Sequence number of a Raft message; 0 for other messages.
    pub sequence: u64,
    /// Number of starts of the sender.
    pub starts: u64,
    /// The sender's generation: the number of times that its file was lost.
    pub generation: u64,
    /// Generations of other members that the sender knows of.
    pub generations: BTreeMap<u64, u64>,
    /// The message.
    pub message: Message,
}

/// A line that is not a valid message, with the field that is missing or invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedMessage(pub &'static str);

impl fmt::Display for MalformedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed message: {}", self.0)
    }
}

impl std::error::Error for MalformedMessage {}

/// Message kinds of the wire format with their descriptions, for `describe asyncapi`.
pub const KINDS: &[(&str, &str)] = &[
    ("vote", "A candidate requests a vote"),
    ("voted", "The response to a vote request"),
    ("append", "Log entries from the leader, or its heartbeat"),
    ("appended", "The response to the leader's entries"),
    (
        "snapshot",
        "The leader's state, sent instead of compacted log entries",
    ),
    ("put", "A member asks the leader to propose an entry"),
    (
        "read",
        "A member asks the leader for the read index: the entry to apply before it answers a read",
    ),
    (
        "read at",
        "The read index, sent once a majority has confirmed the leader",
    ),
    (
        "ask",
        "A newly started member asks the others what they know about its file",
    ),
    ("told", "The response to a newly started member"),
    (
        "found",
        "A member bootstraps the store, and the receiver belongs to it",
    ),
    ("joined", "The receiver has accepted the bootstrap"),
    (
        "begun",
        "The bootstrap is rejected: a store exists whose members may already have voted",
    ),
    (
        "fetch",
        "A member that has lost its file asks the leader for its committed state",
    ),
];

impl Message {
    /// Converts the message to the library's type; `None` for messages that are not Raft's own.
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

    /// The message kind in the wire format.
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
    /// Wraps a message of the library. [`Store`](crate::member::Store) fills in the sender.
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
