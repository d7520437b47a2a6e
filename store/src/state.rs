//! What the log's entries make: keys with the revisions of their last change, and sessions with
//! what came of their last requests. Every member applies the same entries in the same order and
//! comes to the same.

use crate::command::{Command, Expects, Txn};
use crate::packet::Change;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fmt;

/// The key that says which life of the store this is: each that is begun anew has a higher number
/// than those before it.
pub const ERA: &str = "era";

/// What bounds it; the same at every member.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// Keys that are held.
    pub keys: usize,
    /// Sessions that are held; the one unused longest gives way.
    pub sessions: usize,
}

/// A key's value, and when it came to have it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// The value.
    pub value: String,
    /// The revision of its last change.
    pub revision: u64,
}

/// What came of a change of several keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was made, at this revision.
    Applied(u64),
    /// Nothing was changed.
    Refused(Refusal),
}

/// Why nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// A key is not as was expected; the revision of its last change, if it is there.
    Differs(String, Option<u64>),
    /// The store has no room for so many keys.
    Full,
    /// The store does not have, or no longer has, this session: whether its request was made before
    /// it cannot say.
    NoSession,
    /// The session has made later requests than this one.
    Past,
    /// It names too many keys, or one of its texts is too long.
    TooLarge,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Differs(key, Some(revision)) => {
                write!(
                    f,
                    "{key} is not as was expected: it was changed at revision {revision}"
                )
            }
            Refusal::Differs(key, None) => {
                write!(f, "{key} is not as was expected: it is not there")
            }
            Refusal::Full => f.write_str("the store has no room for more keys"),
            Refusal::NoSession => f.write_str("the store does not know this session"),
            Refusal::Past => f.write_str("the session has made later requests"),
            Refusal::TooLarge => f.write_str("it names too many keys, or a text is too long"),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Session {
    /// Its last request and what came of it; none of it yet at 0.
    request: u64,
    outcome: Outcome,
    /// The revision at which it was last heard of.
    used: u64,
}

/// What a caller may have waited for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Done {
    /// The session of this number has this id.
    Opened(u64, u64),
    /// This came of a session's request.
    Made(u64, u64, Outcome),
}

/// Keys and sessions at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    keys: BTreeMap<String, Held>,
    sessions: BTreeMap<u64, Session>,
}

impl State {
    /// Says which life of the store this is, at its begin.
    pub fn begin_era(&mut self, era: u64) {
        self.keys.insert(
            ERA.to_owned(),
            Held {
                value: era.to_string(),
                revision: 0,
            },
        );
    }

    /// Which life of the store this is; 0 where it does not say.
    pub fn era(&self) -> u64 {
        self.get(ERA).and_then(|era| era.parse().ok()).unwrap_or(0)
    }

    /// A key's value.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.keys.get(key).map(|held| held.value.as_str())
    }

    /// A key's value and revision.
    pub fn held(&self, key: &str) -> Option<&Held> {
        self.keys.get(key)
    }

    /// Every key, in order.
    pub fn keys(&self) -> impl Iterator<Item = (&str, &Held)> {
        self.keys.iter().map(|(key, held)| (key.as_str(), held))
    }

    /// Keys that begin so, in order.
    pub fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Held)> {
        let from = self.keys.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, held)| (key.as_str(), held))
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// What came of a session's request, where it is the last one.
    pub fn outcome(&self, session: u64, request: u64) -> Option<&Outcome> {
        let of = self.sessions.get(&session)?;
        (of.request == request && request > 0).then_some(&of.outcome)
    }

    /// Applies an entry at its place: what changed, and what somebody may have waited for.
    pub fn apply(
        &mut self,
        revision: u64,
        command: &Command,
        room: Room,
    ) -> (Vec<Change>, Option<Done>) {
        match command {
            // Wanted again and again until it stands: what stands already has not changed.
            Command::Put(change) if self.get(&change.key) == change.value.as_deref() => {
                (Vec::new(), None)
            }
            Command::Put(change) => {
                let fits = self.keys.contains_key(&change.key) || self.keys.len() < room.keys;
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
                let outcome = Outcome::Refused(Refusal::Past);
                self.sessions.insert(
                    revision,
                    Session {
                        request: 0,
                        outcome,
                        used: revision,
                    },
                );
                while self.sessions.len() > room.sessions {
                    let oldest = self.sessions.iter().min_by_key(|(_, session)| session.used);
                    let Some(oldest) = oldest.map(|(id, _)| *id) else {
                        break;
                    };
                    self.sessions.remove(&oldest);
                }
                (Vec::new(), Some(Done::Opened(*nonce, revision)))
            }
            Command::Txn(txn) => {
                let (changes, outcome) = self.transact(revision, txn, room);
                (changes, Some(Done::Made(txn.session, txn.request, outcome)))
            }
        }
    }

    fn transact(&mut self, revision: u64, txn: &Txn, room: Room) -> (Vec<Change>, Outcome) {
        let refused = |why| (Vec::new(), Outcome::Refused(why));
        let Some(session) = self.sessions.get_mut(&txn.session) else {
            return refused(Refusal::NoSession);
        };
        session.used = revision;
        // Made before: it has come twice.
        if txn.request == session.request && txn.request > 0 {
            return (Vec::new(), session.outcome.clone());
        }
        if txn.request < session.request || txn.request == 0 {
            return refused(Refusal::Past);
        }
        let (changes, outcome) = match self.refusal(txn, room) {
            Some(why) => refused(why),
            None => (self.set(&txn.sets, revision), Outcome::Applied(revision)),
        };
        if let Some(session) = self.sessions.get_mut(&txn.session) {
            (session.request, session.outcome) = (txn.request, outcome.clone());
        }
        (changes, outcome)
    }

    fn refusal(&self, txn: &Txn, room: Room) -> Option<Refusal> {
        let differs = txn.checks.iter().find(|check| {
            let held = self.keys.get(&check.key);
            !match &check.expects {
                Expects::Absent => held.is_none(),
                Expects::At(revision) => held.is_some_and(|held| held.revision == *revision),
                Expects::Is(value) => held.is_some_and(|held| held.value == *value),
            }
        });
        if let Some(check) = differs {
            let found = self.keys.get(&check.key).map(|held| held.revision);
            return Some(Refusal::Differs(check.key.clone(), found));
        }
        let new = txn
            .sets
            .iter()
            .filter(|set| set.value.is_some() && !self.keys.contains_key(&set.key));
        (self.keys.len() + new.count() > room.keys).then_some(Refusal::Full)
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
                        Held {
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

    /// The state as JSON.
    pub fn json(&self) -> Json {
        let keys: Vec<Json> = self
            .keys
            .iter()
            .map(|(key, held)| json!([key, held.value, held.revision]))
            .collect();
        let session =
            |(id, of): (&u64, &Session)| json!([id, of.request, of.outcome.json(), of.used]);
        let sessions: Vec<Json> = self.sessions.iter().map(session).collect();
        json!({"keys": keys, "sessions": sessions})
    }

    /// A state from JSON, also of the first form, which had keys and values alone: those count as
    /// changed at this revision.
    pub fn read(json: &Json, at: u64) -> Option<State> {
        let mut state = State::default();
        if !json["keys"].is_array() {
            for (key, value) in json.as_object()? {
                let value = value.as_str()?.to_owned();
                state.keys.insert(
                    key.clone(),
                    Held {
                        value,
                        revision: at,
                    },
                );
            }
            return Some(state);
        }
        for key in json["keys"].as_array()? {
            let held = Held {
                value: key[1].as_str()?.to_owned(),
                revision: key[2].as_u64()?,
            };
            state.keys.insert(key[0].as_str()?.to_owned(), held);
        }
        for of in json["sessions"].as_array()? {
            let (request, used) = (of[1].as_u64()?, of[3].as_u64()?);
            let session = Session {
                request,
                outcome: Outcome::read(&of[2])?,
                used,
            };
            state.sessions.insert(of[0].as_u64()?, session);
        }
        Some(state)
    }
}

impl Outcome {
    /// The outcome as JSON.
    pub fn json(&self) -> Json {
        match self {
            Outcome::Applied(revision) => json!({"applied": revision}),
            Outcome::Refused(Refusal::Differs(key, found)) => {
                json!({"refused": "differs", "key": key, "found": found})
            }
            Outcome::Refused(why) => {
                let word = REFUSALS
                    .iter()
                    .find(|(known, _)| known == why)
                    .map(|(_, word)| *word);
                json!({"refused": word})
            }
        }
    }

    /// An outcome from JSON.
    pub fn read(json: &Json) -> Option<Outcome> {
        if let Some(revision) = json["applied"].as_u64() {
            return Some(Outcome::Applied(revision));
        }
        let word = json["refused"].as_str()?;
        if word == "differs" {
            let key = json["key"].as_str()?.to_owned();
            return Some(Outcome::Refused(Refusal::Differs(
                key,
                json["found"].as_u64(),
            )));
        }
        let why = REFUSALS.iter().find(|(_, known)| *known == word)?;
        Some(Outcome::Refused(why.0.clone()))
    }
}

const REFUSALS: &[(Refusal, &str)] = &[
    (Refusal::Full, "full"),
    (Refusal::NoSession, "no session"),
    (Refusal::Past, "past"),
    (Refusal::TooLarge, "too large"),
];

#[cfg(test)]
mod tests;
