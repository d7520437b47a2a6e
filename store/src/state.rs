//! The replicated state machine: keys with the revisions of their last change, and client sessions
//! with the outcomes of their last requests.
//!
//! Invariant: [`State::apply`] is deterministic. Every member applies the same entries in the same
//! order with the same capacity, so all members reach the same state.

use crate::command::{Change, Command, Expects, Txn};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fmt;

/// Key that holds the store's era. A store recovered from a member's file has a later era than the
/// store that it replaces.
pub const ERA: &str = "era";

/// Limits of the state. They have to be equal at all members, as they decide outcomes of entries.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Maximum number of keys.
    pub keys: usize,
    /// Maximum number of sessions; the least recently used session is evicted first.
    pub sessions: usize,
}

/// A value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedValue {
    /// The value.
    pub value: String,
    /// Revision of the last change: the index of the log entry that made it.
    pub revision: u64,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Applied at this revision.
    Applied(u64),
    /// Rejected, with no effect.
    Rejected(Rejection),
}

/// Why a transaction was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// A check on this key failed; with the revision of the key's last change, if the key exists.
    CheckFailed(String, Option<u64>),
    /// The state has no capacity for more keys.
    Full,
    /// The session does not exist or was evicted, so an earlier attempt of the request may have
    /// been applied.
    UnknownSession,
    /// The session has already made a later request.
    StaleRequest,
    /// The transaction names too many keys, or a key or value is too long.
    TooLarge,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::CheckFailed(key, Some(revision)) => {
                write!(
                    f,
                    "check of {key} failed: last changed at revision {revision}"
                )
            }
            Rejection::CheckFailed(key, None) => {
                write!(f, "check of {key} failed: the key does not exist")
            }
            Rejection::Full => f.write_str("the store has reached its maximum number of keys"),
            Rejection::UnknownSession => f.write_str("unknown or evicted session"),
            Rejection::StaleRequest => f.write_str("the session has already made a later request"),
            Rejection::TooLarge => {
                f.write_str("the transaction names too many keys, or a key or value is too long")
            }
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Session {
    /// Number of the last request; 0 before the first one.
    request: u64,
    /// Outcome of the last request.
    outcome: Outcome,
    /// Revision at which the session was last used.
    last_used: u64,
}

/// Completion of a client call by an applied entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion {
    /// A session was opened.
    SessionOpened {
        /// The caller's nonce.
        nonce: u64,
        /// Id of the session.
        session: u64,
    },
    /// A transaction was applied or rejected.
    Txn {
        /// Id of the session.
        session: u64,
        /// Number of the request in the session.
        request: u64,
        /// Outcome of the transaction.
        outcome: Outcome,
    },
}

/// Keys and sessions as of the last applied entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    keys: BTreeMap<String, VersionedValue>,
    sessions: BTreeMap<u64, Session>,
}

impl State {
    /// Sets the era in the initial state of a store.
    pub fn begin_era(&mut self, era: u64) {
        self.keys.insert(
            ERA.to_owned(),
            VersionedValue {
                value: era.to_string(),
                revision: 0,
            },
        );
    }

    /// The store's era; 0 if it has none.
    pub fn era(&self) -> u64 {
        self.get(ERA).and_then(|era| era.parse().ok()).unwrap_or(0)
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.keys.get(key).map(|versioned| versioned.value.as_str())
    }

    /// The value of a key with its revision.
    pub fn versioned(&self, key: &str) -> Option<&VersionedValue> {
        self.keys.get(key)
    }

    /// All keys, in order.
    pub fn keys(&self) -> impl Iterator<Item = (&str, &VersionedValue)> {
        self.keys
            .iter()
            .map(|(key, versioned)| (key.as_str(), versioned))
    }

    /// Keys with this prefix, in order.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a VersionedValue)> {
        let from = self.keys.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, versioned)| (key.as_str(), versioned))
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Outcome of a session's request; `None` unless it is the session's last request.
    pub fn outcome(&self, session: u64, request: u64) -> Option<&Outcome> {
        let last = self.sessions.get(&session)?;
        (last.request == request && request > 0).then_some(&last.outcome)
    }

    /// Applies the command of the entry with this index. Returns the changes, and the completion
    /// of a client call, if any.
    pub fn apply(
        &mut self,
        revision: u64,
        command: &Command,
        capacity: Capacity,
    ) -> (Vec<Change>, Option<Completion>) {
        match command {
            // Members propose a value until it is set, so the same value may be committed again.
            Command::Put(change) if self.get(&change.key) == change.value.as_deref() => {
                (Vec::new(), None)
            }
            Command::Put(change) => {
                let fits = self.keys.contains_key(&change.key) || self.keys.len() < capacity.keys;
                (
                    if fits {
                        self.set([change], revision)
                    } else {
                        Vec::new()
                    },
                    None,
                )
            }
            Command::Open(nonce) => {
                let completion = self.open_session(*nonce, revision, capacity);
                (Vec::new(), Some(completion))
            }
            Command::Txn(txn) => {
                let (changes, outcome) = self.transact(revision, txn, capacity);
                let completion = Completion::Txn {
                    session: txn.session,
                    request: txn.request,
                    outcome,
                };
                (changes, Some(completion))
            }
        }
    }

    fn open_session(&mut self, nonce: u64, revision: u64, capacity: Capacity) -> Completion {
        let session = Session {
            request: 0,
            outcome: Outcome::Rejected(Rejection::StaleRequest),
            last_used: revision,
        };
        self.sessions.insert(revision, session);
        while self.sessions.len() > capacity.sessions {
            let least_recent = self
                .sessions
                .iter()
                .min_by_key(|(_, session)| session.last_used);
            let Some(least_recent) = least_recent.map(|(id, _)| *id) else {
                break;
            };
            self.sessions.remove(&least_recent);
        }
        Completion::SessionOpened {
            nonce,
            session: revision,
        }
    }

    fn transact(&mut self, revision: u64, txn: &Txn, capacity: Capacity) -> (Vec<Change>, Outcome) {
        let rejected = |rejection| (Vec::new(), Outcome::Rejected(rejection));
        let Some(session) = self.sessions.get_mut(&txn.session) else {
            return rejected(Rejection::UnknownSession);
        };
        session.last_used = revision;
        // A retry of the last request gets the outcome of its first attempt.
        if txn.request == session.request && txn.request > 0 {
            return (Vec::new(), session.outcome.clone());
        }
        if txn.request < session.request || txn.request == 0 {
            return rejected(Rejection::StaleRequest);
        }
        let (changes, outcome) = match self.rejection(txn, capacity) {
            Some(rejection) => rejected(rejection),
            None => (self.set(&txn.sets, revision), Outcome::Applied(revision)),
        };
        if let Some(session) = self.sessions.get_mut(&txn.session) {
            (session.request, session.outcome) = (txn.request, outcome.clone());
        }
        (changes, outcome)
    }

    fn rejection(&self, txn: &Txn, capacity: Capacity) -> Option<Rejection> {
        let failed = txn.checks.iter().find(|check| {
            let found = self.keys.get(&check.key);
            !match &check.expects {
                Expects::Absent => found.is_none(),
                Expects::At(revision) => {
                    found.is_some_and(|versioned| versioned.revision == *revision)
                }
                Expects::Is(value) => found.is_some_and(|versioned| versioned.value == *value),
            }
        });
        if let Some(check) = failed {
            let found = self
                .keys
                .get(&check.key)
                .map(|versioned| versioned.revision);
            return Some(Rejection::CheckFailed(check.key.clone(), found));
        }
        let new = txn
            .sets
            .iter()
            .filter(|set| set.value.is_some() && !self.keys.contains_key(&set.key));
        (self.keys.len() + new.count() > capacity.keys).then_some(Rejection::Full)
    }

    fn set<'a>(
        &mut self,
        sets: impl IntoIterator<Item = &'a Change>,
        revision: u64,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for set in sets {
            match &set.value {
                Some(value) => {
                    self.keys.insert(
                        set.key.clone(),
                        VersionedValue {
                            value: value.clone(),
                            revision,
                        },
                    );
                }
                None => drop(self.keys.remove(&set.key)),
            }
            changes.push(set.clone());
        }
        changes
    }

    /// The state as JSON, in the form used by snapshots.
    pub fn json(&self) -> Json {
        let keys: Vec<Json> = self
            .keys
            .iter()
            .map(|(key, versioned)| json!([key, versioned.value, versioned.revision]))
            .collect();
        let session = |(id, session): (&u64, &Session)| {
            json!([
                id,
                session.request,
                session.outcome.json(),
                session.last_used
            ])
        };
        let sessions: Vec<Json> = self.sessions.iter().map(session).collect();
        json!({"keys": keys, "sessions": sessions})
    }

    /// Parses a state from JSON; `None` if the JSON is not a valid state. The first version of the
    /// format has neither revisions nor sessions: its keys count as changed at the revision `at`.
    pub fn read(json: &Json, at: u64) -> Option<State> {
        let mut state = State::default();
        if !json["keys"].is_array() {
            for (key, value) in json.as_object()? {
                let value = value.as_str()?.to_owned();
                state.keys.insert(
                    key.clone(),
                    VersionedValue {
                        value,
                        revision: at,
                    },
                );
            }
            return Some(state);
        }
        for key in json["keys"].as_array()? {
            let versioned = VersionedValue {
                value: key[1].as_str()?.to_owned(),
                revision: key[2].as_u64()?,
            };
            state.keys.insert(key[0].as_str()?.to_owned(), versioned);
        }
        for session in json["sessions"].as_array()? {
            let (request, last_used) = (session[1].as_u64()?, session[3].as_u64()?);
            let id = session[0].as_u64()?;
            let session = Session {
                request,
                outcome: Outcome::read(&session[2])?,
                last_used,
            };
            state.sessions.insert(id, session);
        }
        Some(state)
    }
}

impl Outcome {
    /// The outcome as JSON.
    pub fn json(&self) -> Json {
        match self {
            Outcome::Applied(revision) => json!({"applied": revision}),
            Outcome::Rejected(Rejection::CheckFailed(key, found)) => {
                json!({"refused": "differs", "key": key, "found": found})
            }
            Outcome::Rejected(rejection) => {
                let word = REJECTION_WORDS
                    .iter()
                    .find(|(known, _)| known == rejection)
                    .map(|(_, word)| *word);
                json!({"refused": word})
            }
        }
    }

    /// Parses an outcome from JSON; `None` if the JSON is not a valid outcome.
    pub fn read(json: &Json) -> Option<Outcome> {
        if let Some(revision) = json["applied"].as_u64() {
            return Some(Outcome::Applied(revision));
        }
        let word = json["refused"].as_str()?;
        if word == "differs" {
            let key = json["key"].as_str()?.to_owned();
            return Some(Outcome::Rejected(Rejection::CheckFailed(
                key,
                json["found"].as_u64(),
            )));
        }
        let (rejection, _) = REJECTION_WORDS.iter().find(|(_, known)| *known == word)?;
        Some(Outcome::Rejected(rejection.clone()))
    }
}

/// Words of rejections in JSON, except for failed checks.
const REJECTION_WORDS: &[(Rejection, &str)] = &[
    (Rejection::Full, "full"),
    (Rejection::UnknownSession, "no session"),
    (Rejection::StaleRequest, "past"),
    (Rejection::TooLarge, "too large"),
];

#[cfg(test)]
mod tests;
