//! What is asked of the store from outside the member: by this gatherer's own parts, and in lines
//! of JSON by operators' commands and other gatherers.

use super::links::StoreService;
use crate::front::{Gatherer, Message};
use crate::net::{Net, Token};
use dispatch::interface::Time;
use serde_json::{Value as Json, json};
use store::command::{Change, Txn};
use store::member::{Call, CallId, Reply};

use store::state::State;

/// Who waits for an answer.
#[derive(Debug, Clone)]
pub enum Requester {
    /// A connection that asked in a line: the number that it gave, and for a read which keys it
    /// wants.
    Connection {
        /// The connection.
        token: Token,
        /// What the line had under `id`; it comes back.
        id: Json,
        /// For a read: keys that begin so.
        prefix: String,
    },
    /// An object of this gatherer, which is told by a message.
    Internal(Token),
}

/// What a line asks.
#[derive(Debug)]
pub enum Request {
    /// A call of the store, and who waits.
    Call(Call, Requester),
    /// Keys as this member has them, which may be old.
    StaleRead(Requester),
    /// Everything that was committed after a revision, and what will be.
    Watch(u64),
    /// This gatherer's own trail from a place on.
    Trail {
        /// Who waits.
        token: Token,
        /// The segment, counted from 0.
        segment: u64,
        /// How many bytes of it are known already.
        from: u64,
    },
}

/// Reads a line that asks something; `None` where it does not, `Err` where it cannot be understood.
pub fn parse(json: &Json, token: Token) -> Option<Result<Request, &'static str>> {
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
            None => Err("`txn` has `session`, `request`, `checks` and `sets`"),
        },
        Some("read") if json["stale"] == true => Ok(Request::StaleRead(requester)),
        Some("read") => Ok(Request::Call(Call::Read, requester)),
        Some("watch") => match json["from"].as_u64() {
            Some(from) => Ok(Request::Watch(from)),
            None => Err("`from` is the revision after which changes are told"),
        },
        Some("trail") => {
            let number = |key: &str| json[key].as_u64().unwrap_or(0);
            Ok(Request::Trail {
                token,
                segment: number("segment"),
                from: number("from"),
            })
        }
        _ => Err("`ask` is open, txn, read, watch or trail"),
    })
}

/// The answer to a line.
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

/// The answer to a read that may be old, and says so.
pub fn stale_response(id: &Json, prefix: &str, revision: u64, state: &State) -> String {
    json!({"id": id, "stale": true, "revision": revision, "keys": keys(state, prefix)}).to_string()
        + "\n"
}

fn keys(state: &State, prefix: &str) -> Json {
    state
        .with_prefix(prefix)
        .map(|(key, held)| json!([key, held.value, held.revision]))
        .collect()
}

/// One line of a watch that began at a revision.
pub fn watch_line(revision: u64, change: &Change) -> String {
    json!({"revision": revision, "key": change.key, "value": change.value}).to_string() + "\n"
}

impl StoreService {
    /// Asks the store something; whoever waits is told within the patience.
    pub fn submit(
        &mut self,
        call: Call,
        requester: Requester,
        patience: Time,
        net: &mut Net<Gatherer>,
    ) {
        let id: CallId = self.next_call();
        match self.store_mut().call(id, call, patience, net.now()) {
            Ok(()) => drop(self.waiting.insert(id, requester)),
            // As much is asked already as may be: it is not known either.
            Err(_) => self.reply(&requester, Reply::Unknown, net),
        }
        self.dispatch(net);
    }

    /// Tells whoever waits what came of what they asked.
    pub(super) fn reply(&self, requester: &Requester, reply: Reply, net: &mut Net<Gatherer>) {
        match requester {
            Requester::Connection { token, id, prefix } => {
                let line = response(&reply, id, prefix, self.store().state());
                net.post(*token, Message::Line(line));
            }
            Requester::Internal(token) => net.post(*token, Message::Replied(reply)),
        }
    }
}
