//! State machine commands in log entries, and their JSON encoding.

use serde_json::{Value as Json, json};

/// The command of one log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Sets or removes a key unconditionally.
    Put(Change),
    /// Opens a session whose id is the revision of this entry. The caller recognizes its own
    /// session by the nonce.
    Open(u64),
    /// Changes several keys atomically.
    Txn(Txn),
}

/// A transaction: all sets are applied if all checks hold, otherwise none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// Id of the session.
    pub session: u64,
    /// Number of the request in its session, from 1. Retries are idempotent, as they carry the
    /// number of the first attempt.
    pub request: u64,
    /// Preconditions; all have to hold.
    pub checks: Vec<Check>,
    /// Changes, applied together.
    pub sets: Vec<Change>,
}

/// A precondition on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// The key.
    pub key: String,
    /// The expected state of the key.
    pub expects: Expects,
}

/// Expected state of a key.
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
    /// Number of keys named in checks and sets.
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

    /// Parses a command from JSON; `None` if the JSON is not a valid command.
    pub fn read(json: &Json) -> Option<Command> {
        if let Some(nonce) = json["open"].as_u64() {
            return Some(Command::Open(nonce));
        }
        if json["txn"].is_object() {
            return Some(Command::Txn(Txn::read(&json["txn"])?));
        }
        Some(Command::Put(change_from_json(json)?))
    }

    /// Size of the command, to be checked against the store's bounds.
    pub(crate) fn size(&self) -> Size {
        let change_bytes = |change: &Change| {
            change
                .key
                .len()
                .max(change.value.as_ref().map_or(0, String::len))
        };
        match self {
            Command::Put(change) => Size {
                longest_bytes: change_bytes(change),
                keys: 1,
            },
            Command::Open(_) => Size::default(),
            Command::Txn(txn) => {
                let expected = txn.checks.iter().map(|check| match &check.expects {
                    Expects::Is(value) => check.key.len().max(value.len()),
                    _ => check.key.len(),
                });
                let longest = txn
                    .sets
                    .iter()
                    .map(change_bytes)
                    .chain(expected)
                    .max()
                    .unwrap_or(0);
                Size {
                    longest_bytes: longest,
                    keys: txn.sets.len() + txn.checks.len(),
                }
            }
        }
    }
}

impl Txn {
    /// The transaction as JSON: `checks` are pairs of a key and its expected state, `sets` pairs of
    /// a key and its value or null.
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

    /// Parses a transaction from JSON; `None` if the JSON is not a valid transaction.
    pub fn read(json: &Json) -> Option<Txn> {
        let check = |json: &Json| {
            let expects = match &json[1] {
                expected if expected["absent"] == true => Expects::Absent,
                expected if expected["at"].is_u64() => Expects::At(expected["at"].as_u64()?),
                expected => Expects::Is(expected["is"].as_str()?.to_owned()),
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

/// Parses a change from JSON; `None` if the JSON is not a valid change. A null value removes the
/// key.
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
