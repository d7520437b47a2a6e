//! Commands that entries of the log hold for the state machine, and their JSON.

use serde_json::{Value as Json, json};

/// A command of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Sets or removes a key unconditionally.
    Put(Change),
    /// Opens a session whose id is the revision of this entry. The nonce tells the caller which
    /// session is its own.
    Open(u64),
    /// Changes several keys atomically.
    Txn(Txn),
}

/// A transaction: all sets are applied if all checks hold, else none is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// Id of the session.
    pub session: u64,
    /// Number of the request in its session, from 1. A retry has the number of the first attempt,
    /// which makes it idempotent.
    pub request: u64,
    /// Preconditions.
    pub checks: Vec<Check>,
    /// Changes.
    pub sets: Vec<Change>,
}

/// A precondition on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// The key.
    pub key: String,
    /// The expectation.
    pub expects: Expects,
}

/// Expectation of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expects {
    /// The key does not exist.
    Absent,
    /// The key was last changed at this revision.
    At(u64),
    /// The key has this value.
    Is(String),
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
}

/// Size of a command.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Size {
    /// Bytes of the longest key or value.
    pub longest_bytes: usize,
    /// Keys that are named.
    pub keys: usize,
}

impl Command {
    /// The command as JSON.
    pub fn json(&self) -> Json {
        match self {
            Command::Put(change) => json!({"key": change.key, "value": change.value}),
            Command::Open(nonce) => json!({"open": nonce}),
            Command::Txn(txn) => json!({"txn": txn.json()}),
        }
    }

    /// A command from JSON; `None` if it has another form.
    pub fn read(json: &Json) -> Option<Command> {
        if let Some(nonce) = json["open"].as_u64() {
            return Some(Command::Open(nonce));
        }
        if json["txn"].is_object() {
            return Some(Command::Txn(Txn::read(&json["txn"])?));
        }
        Some(Command::Put(change_from_json(json)?))
    }

    /// Size of the command, for the store's bounds.
    pub(crate) fn size(&self) -> Size {
        let of = |change: &Change| {
            change
                .key
                .len()
                .max(change.value.as_ref().map_or(0, String::len))
        };
        match self {
            Command::Put(change) => Size {
                longest_bytes: of(change),
                keys: 1,
            },
            Command::Open(_) => Size::default(),
            Command::Txn(txn) => {
                let expected = txn.checks.iter().map(|check| match &check.expects {
                    Expects::Is(value) => check.key.len().max(value.len()),
                    _ => check.key.len(),
                });
                let longest = txn.sets.iter().map(of).chain(expected).max().unwrap_or(0);
                Size {
                    longest_bytes: longest,
                    keys: txn.sets.len() + txn.checks.len(),
                }
            }
        }
    }
}

impl Txn {
    /// The transaction as JSON: `checks` are pairs of a key and its expectation, `sets` pairs of a
    /// key and its value or null.
    pub fn json(&self) -> Json {
        let check = |check: &Check| match &check.expects {
            Expects::Absent => json!([check.key, {"absent": true}]),
            Expects::At(revision) => json!([check.key, {"at": revision}]),
            Expects::Is(value) => json!([check.key, {"is": value}]),
        };
        let checks: Vec<Json> = self.checks.iter().map(check).collect();
        let sets: Vec<Json> = self
            .sets
            .iter()
            .map(|set| json!([set.key, set.value]))
            .collect();
        json!({"session": self.session, "request": self.request, "checks": checks, "sets": sets})
    }

    /// A transaction from JSON; `None` if it has another form.
    pub fn read(json: &Json) -> Option<Txn> {
        let check = |json: &Json| {
            let expects = match &json[1] {
                wanted if wanted["absent"] == true => Expects::Absent,
                wanted if wanted["at"].is_u64() => Expects::At(wanted["at"].as_u64()?),
                wanted => Expects::Is(wanted["is"].as_str()?.to_owned()),
            };
            Some(Check {
                key: json[0].as_str()?.to_owned(),
                expects,
            })
        };
        let set = |json: &Json| {
            let value = match &json[1] {
                Json::Null => None,
                value => Some(value.as_str()?.to_owned()),
            };
            Some(Change {
                key: json[0].as_str()?.to_owned(),
                value,
            })
        };
        Some(Txn {
            session: json["session"].as_u64()?,
            request: json["request"].as_u64()?,
            checks: json["checks"]
                .as_array()?
                .iter()
                .map(check)
                .collect::<Option<_>>()?,
            sets: json["sets"]
                .as_array()?
                .iter()
                .map(set)
                .collect::<Option<_>>()?,
        })
    }
}

/// A change from JSON; `None` if it has another form. A null value removes the key.
fn change_from_json(json: &Json) -> Option<Change> {
    let value = match json.get("value")? {
        Json::Null => None,
        value => Some(value.as_str()?.to_owned()),
    };
    Some(Change {
        key: json["key"].as_str()?.to_owned(),
        value,
    })
}
