//! Encoding of messages as lines of JSON.
//!
//! The keys and words are the wire format, which members of other versions read: they stay the same
//! when code is renamed.

use super::{Envelope, MalformedMessage, Message};
use crate::command::Command;
use crate::log::{
    read_entries, read_position, read_snapshot, write_entries, write_position, write_snapshot,
};
use crate::rejoin::{FileState, PeerStatus, StatusRequest, StatusResponse};
use serde_json::{Value as Json, json};

impl Message {
    /// The fields of the message itself, without those of the envelope.
    fn to_json(&self) -> Json {
        match self {
            Message::RequestVote { last } | Message::AppendEntriesResponse { last } => {
                json!({"last": write_position(*last)})
            }
            Message::RequestVoteResponse { granted } => json!({"granted": granted}),
            Message::AppendEntries { commit, entries } => {
                json!({"commit": commit, "log": write_entries(entries)})
            }
            Message::InstallSnapshot {
                snapshot,
                requested_by,
            } => {
                let mut json = write_snapshot(snapshot);
                json["restores"] = (*requested_by).into();
                json
            }
            Message::Propose(command) => command.json(),
            Message::ReadIndex {
                number,
                incarnation,
            } => json!({"number": number, "life": incarnation}),
            Message::ReadIndexResponse {
                number,
                incarnation,
                index,
            } => json!({"number": number, "life": incarnation, "index": index}),
            Message::StatusRequest(request) => json!({
                "life": request.incarnation, "past": word_for(FILE_STATE_WORDS, request.file_state), "starts": request.starts,
                "asks_as": request.generation, "last": write_position(request.last)
            }),
            Message::StatusResponse(response) => json!({
                "life": response.incarnation, "what": word_for(PEER_STATUS_WORDS, response.status), "known": response.generation, "newer": response.superseded,
                "last": write_position(response.last)
            }),
            Message::Bootstrap {
                incarnation,
                snapshot,
            } => {
                let mut json = write_snapshot(snapshot);
                json["life"] = (*incarnation).into();
                json
            }
            Message::BootstrapAccepted => json!({}),
            Message::AlreadyBootstrapped { incarnation } => json!({"life": incarnation}),
            Message::SnapshotRequest {
                incarnation,
                term,
                last,
            } => {
                json!({"life": incarnation, "least_term": term, "last": write_position(*last)})
            }
        }
    }

    fn from_json(json: &Json) -> Result<Message, MalformedMessage> {
        let number = |key: &'static str| json[key].as_u64().ok_or(MalformedMessage(key));
        let last = || read_position(&json["last"]).ok_or(MalformedMessage("last"));
        Ok(
            match json["kind"].as_str().ok_or(MalformedMessage("kind"))? {
                "vote" => Message::RequestVote { last: last()? },
                "voted" => Message::RequestVoteResponse {
                    granted: json["granted"]
                        .as_bool()
                        .ok_or(MalformedMessage("granted"))?,
                },
                "append" => Message::AppendEntries {
                    commit: number("commit")?,
                    entries: read_entries(&json["log"]).ok_or(MalformedMessage("log"))?,
                },
                "appended" => Message::AppendEntriesResponse { last: last()? },
                "snapshot" => Message::InstallSnapshot {
                    snapshot: read_snapshot(json).ok_or(MalformedMessage("snapshot"))?,
                    requested_by: json["restores"].as_u64().unwrap_or(0),
                },
                "put" => Message::Propose(Command::read(json).ok_or(MalformedMessage("put"))?),
                "read" => Message::ReadIndex {
                    number: number("number")?,
                    incarnation: number("life")?,
                },
                "read at" => Message::ReadIndexResponse {
                    number: number("number")?,
                    incarnation: number("life")?,
                    index: number("index")?,
                },
                "ask" => Message::StatusRequest(StatusRequest {
                    incarnation: number("life")?,
                    file_state: value_of(FILE_STATE_WORDS, &json["past"])
                        .ok_or(MalformedMessage("past"))?,
                    generation: number("asks_as")?,
                    starts: number("starts")?,
                    last: last()?,
                }),
                "told" => Message::StatusResponse(StatusResponse {
                    incarnation: number("life")?,
                    status: value_of(PEER_STATUS_WORDS, &json["what"])
                        .ok_or(MalformedMessage("what"))?,
                    generation: number("known")?,
                    superseded: json["newer"].as_bool().ok_or(MalformedMessage("newer"))?,
                    last: last()?,
                }),
                "found" => Message::Bootstrap {
                    incarnation: number("life")?,
                    snapshot: read_snapshot(json).ok_or(MalformedMessage("snapshot"))?,
                },
                "joined" => Message::BootstrapAccepted,
                "begun" => Message::AlreadyBootstrapped {
                    incarnation: number("life")?,
                },
                "fetch" => Message::SnapshotRequest {
                    incarnation: number("life")?,
                    term: number("least_term")?,
                    last: last()?,
                },
                _ => return Err(MalformedMessage("unknown kind")),
            },
        )
    }
}

impl Envelope {
    /// Encodes the message as a line, including the newline.
    pub fn write(&self) -> String {
        let mut json = self.message.to_json();
        json["kind"] = self.message.kind().into();
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
                .map(|(id, generation)| json!([id, generation]))
                .collect();
        }
        json.to_string() + "\n"
    }

    /// Parses a line.
    ///
    /// # Errors
    ///
    /// [`MalformedMessage`] with the field that is missing or invalid.
    pub fn read(line: &[u8]) -> Result<Envelope, MalformedMessage> {
        let json: Json = serde_json::from_slice(line).map_err(|_| MalformedMessage("not JSON"))?;
        let number = |key: &'static str| json[key].as_u64().ok_or(MalformedMessage(key));
        let message = Message::from_json(&json)?;
        // Earlier versions send no store id, starts or generations.
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
            .ok_or(MalformedMessage("generations"))?;
        Ok(Envelope {
            from,
            cluster,
            term,
            sequence,
            starts,
            generation,
            generations,
            message,
        })
    }
}

/// Wire words of [`FileState`].
const FILE_STATE_WORDS: &[(FileState, &str)] = &[
    (FileState::Missing, "none"),
    (FileState::Claimed, "claimed"),
    (FileState::Intact, "whole"),
];

/// Wire words of [`PeerStatus`].
const PEER_STATUS_WORDS: &[(PeerStatus, &str)] = &[
    (PeerStatus::Empty, "empty"),
    (PeerStatus::Joined, "joined"),
    (PeerStatus::Unverified, "whole"),
    (PeerStatus::Lost, "lost"),
    (PeerStatus::Active, "sound"),
];

fn word_for<T: PartialEq>(words: &[(T, &'static str)], value: T) -> &'static str {
    words
        .iter()
        .find(|(known, _)| *known == value)
        .map_or("", |(_, word)| word)
}

fn value_of<T: Copy>(words: &[(T, &'static str)], word: &Json) -> Option<T> {
    words
        .iter()
        .find(|(_, known)| word == known)
        .map(|(value, _)| *value)
}
