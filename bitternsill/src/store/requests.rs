//! Requests of clients and their responses: lines of JSON, from operators' commands and other
//! gatherers.

use crate::net::Token;
use serde_json::{Value as Json, json};
use store::command::{Change, Txn};
use store::member::{Call, Reply};
use store::message::MalformedMessage;

use store::state::State;

/// The recipient of the reply to a call.
#[derive(Debug, Clone)]
pub enum Requester {
    /// A connection that sent a line.
    Connection {
        /// The connection.
        token: Token,
        /// The `id` of the line, which is returned in the response.
        id: Json,
        /// Prefix of the keys that a read returns.
        prefix: String,
    },
    /// An object of this gatherer, which gets [`Message::Replied`](crate::front::Message::Replied).
    Internal(Token),
}

/// A request.
#[derive(Debug)]
pub enum Request {
    /// A call of the store.
    Call(Call, Requester),
    /// A read of this member's state, which may be stale.
    StaleRead(Requester),
    /// A watch of changes committed after this revision.
    Watch(u64),
    /// A read of this gatherer's audit log.
    AuditLog {
        /// The connection.
        token: Token,
        /// Number of the segment, from 0.
        segment: u64,
        /// Offset in the segment, in bytes.
        from: u64,
    },
}

/// Parses a request; `None` if the JSON is not a request.
///
/// # Errors
///
/// [`MalformedMessage`] if the request is not valid.
pub fn parse(json: &Json, token: Token) -> Option<Result<Request, MalformedMessage>> {
    let kind = json.get("ask")?;
    let prefix = json["prefix"].as_str().unwrap_or_default().to_owned();
    let requester = Requester::Connection {
        token,
        id: json["id"].clone(),
        prefix,
    };
    Some(match kind.as_str() {
        Some("open") => Ok(Request::Call(Call::Open, requester)),
        Some("txn") => match Txn::read(&json["txn"]) {
            Some(txn) => Ok(Request::Call(Call::Txn(txn), requester)),
            None => Err(MalformedMessage(
                "`txn` must have `session`, `request`, `checks` and `sets`",
            )),
        },
        Some("read") if json["stale"] == true => Ok(Request::StaleRead(requester)),
        Some("read") => Ok(Request::Call(Call::Read, requester)),
        Some("watch") => match json["from"].as_u64() {
            Some(from) => Ok(Request::Watch(from)),
            None => Err(MalformedMessage(
                "`from` must be the revision after which changes are sent",
            )),
        },
        Some("trail") => {
            let number = |key: &str| json[key].as_u64().unwrap_or(0);
            Ok(Request::AuditLog {
                token,
                segment: number("segment"),
                from: number("from"),
            })
        }
        _ => Err(MalformedMessage(
            "`ask` must be open, txn, read, watch or trail",
        )),
    })
}

/// The response to a call.
pub fn response(reply: &Reply, id: &Json, prefix: &str, state: &State) -> String {
    let mut json = match reply {
        Reply::Opened(session) => json!({"opened": session}),
        Reply::Txn(outcome) => json!({"made": outcome.json()}),
        Reply::Read(revision) => json!({"revision": revision, "keys": keys(state, prefix)}),
        Reply::Unknown => json!({"unknown": true}),
    };
    json["id"] = id.clone();
    json.to_string() + "\n"
}

/// The response to a stale read, marked as stale.
pub fn stale_response(id: &Json, prefix: &str, revision: u64, state: &State) -> String {
    json!({"id": id, "stale": true, "revision": revision, "keys": keys(state, prefix)}).to_string()
        + "\n"
}

fn keys(state: &State, prefix: &str) -> Json {
    state
        .with_prefix(prefix)
        .map(|(key, versioned)| json!([key, versioned.value, versioned.revision]))
        .collect()
}

/// A change in a watch from a revision on.
pub fn watch_line(revision: u64, change: &Change) -> String {
    json!({"revision": revision, "key": change.key, "value": change.value}).to_string() + "\n"
}

/// A change in a watch from the present state on.
pub(super) fn plain_watch_line(change: &Change) -> String {
    json!({"key": change.key, "value": change.value}).to_string() + "\n"
}
