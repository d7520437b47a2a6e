//! What an entry of the log asks the state to do, and how it is written.

use crate::packet::Change;
use serde_json::{Value as Json, json};

/// One entry's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// A key gets a value, whatever it had.
    Put(Change),
    /// A session begins; its id is the revision of this entry. The number tells its caller from
    /// others.
    Open(u64),
    /// Several keys change together, or none does.
    Txn(Txn),
}

/// A change of several keys, made whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The session that it is of.
    pub session: u64,
    /// Its number there; one that is repeated has the number it had.
    pub request: u64,
    /// What has to be so for it to be made.
    pub checks: Vec<Check>,
    /// What it changes.
    pub sets: Vec<Change>,
}

/// What has to be so of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// The key.
    pub key: String,
    /// What is expected of it.
    pub expects: Expects,
}

/// What is expected of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expects {
    /// It is not there.
    Absent,
    /// It was last changed at this revision.
    At(u64),
    /// It has this value.
    Is(String),
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

    /// A command from JSON.
    pub fn read(json: &Json) -> Option<Command> {
        if let Some(nonce) = json["open"].as_u64() {
            return Some(Command::Open(nonce));
        }
        if json["txn"].is_object() {
            return Some(Command::Txn(Txn::read(&json["txn"])?));
        }
        Some(Command::Put(read_change(json)?))
    }

    /// Bytes of its longest text, and how many keys it names.
    pub fn size(&self) -> (usize, usize) {
        let of = |change: &Change| {
            change
                .key
                .len()
                .max(change.value.as_ref().map_or(0, String::len))
        };
        match self {
            Command::Put(change) => (of(change), 1),
            Command::Open(_) => (0, 0),
            Command::Txn(txn) => {
                let expected = txn.checks.iter().map(|check| match &check.expects {
                    Expects::Is(value) => check.key.len().max(value.len()),
                    _ => check.key.len(),
                });
                let longest = txn.sets.iter().map(of).chain(expected).max().unwrap_or(0);
                (longest, txn.sets.len() + txn.checks.len())
            }
        }
    }
}

impl Txn {
    /// The change as JSON: `checks` are pairs of a key and what is expected, `sets` pairs of a key
    /// and its value or null.
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

    /// A change from JSON; `None` where something is missing or of another kind.
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

/// A change from JSON; a key without a value is gone.
pub fn read_change(json: &Json) -> Option<Change> {
    let value = match json.get("value")? {
        Json::Null => None,
        value => Some(value.as_str()?.to_owned()),
    };
    Some(Change {
        key: json["key"].as_str()?.to_owned(),
        value,
    })
}
