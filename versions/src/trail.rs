//! What a gatherer notes of its own acts: each line carries the hash of all before it, so that a
//! trail that was cut or altered shows where. Acts are counted over stretches of time by version,
//! class and outcome; what changes stands by itself.

use crate::standing::Standing;
use crate::{Time, Version};
use serde_json::{Value as Json, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

/// Something noted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mark {
    /// A segment of the trail begins.
    Follows {
        /// A random number that the trail has had from its first segment on: one that was lost is
        /// not taken for the next.
        trail: u64,
        /// Which one, counted from 0.
        segment: u64,
        /// The hash of the last line of the one before it; empty where there was none.
        hash: String,
    },
    /// A life of the gatherer began, at this wall clock (milliseconds; for people, nothing is
    /// judged by it).
    Began {
        /// Its name.
        name: String,
        /// A random number that tells this life from others.
        life: u64,
        /// The wall clock.
        wall: u64,
        /// How long what it is told holds.
        validity: Time,
    },
    /// The store answered what was asked then: this version is active.
    Proved {
        /// When it was asked.
        asked: Time,
        /// The version.
        version: Version,
    },
    /// It runs this version from now on; whether it goes on under it without a store.
    Runs {
        /// The version.
        version: Version,
        /// Whether it is a keeper.
        keeper: bool,
    },
    /// Its standing changed.
    Stands {
        /// The new one.
        standing: Standing,
    },
    /// So many queries of a class ended so, all taken under this version, between two moments.
    Acts {
        /// The version under which they were taken.
        version: Version,
        /// The class.
        class: String,
        /// What became of them.
        outcome: String,
        /// When the first and the last of them was taken.
        taken: (Time, Time),
        /// How many.
        count: u64,
    },
    /// An operator's call was carried out under this version.
    Called {
        /// The version.
        version: Version,
        /// The call.
        call: String,
    },
    /// So many entries that were to stand before this one could not be written.
    Lost {
        /// How many.
        count: u64,
    },
    /// The life ended in order: it did nothing after this.
    Ended,
}

/// A mark and when it was made, on the gatherer's own clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// When.
    pub at: Time,
    /// What.
    pub mark: Mark,
}

const STANDINGS: [Standing; 5] = [
    Standing::Current,
    Standing::Behind,
    Standing::Straggler,
    Standing::Kept,
    Standing::ShutOut,
];

impl Entry {
    fn json(&self) -> Json {
        let mut json = match &self.mark {
            Mark::Follows {
                trail,
                segment,
                hash,
            } => {
                json!({"trail": trail, "segment": segment, "follows": hash})
            }
            Mark::Began {
                name,
                life,
                wall,
                validity,
            } => {
                json!({"began": name, "life": life, "wall": wall, "validity": validity})
            }
            Mark::Proved { asked, version } => json!({"proved": version, "asked": asked}),
            Mark::Runs { version, keeper } => json!({"runs": version, "keeper": keeper}),
            Mark::Stands { standing } => json!({"stands": standing.to_string()}),
            Mark::Acts {
                version,
                class,
                outcome,
                taken,
                count,
            } => {
                json!({"acts": version, "class": class, "outcome": outcome, "taken": [taken.0, taken.1], "count": count})
            }
            Mark::Called { version, call } => json!({"called": call, "version": version}),
            Mark::Lost { count } => json!({"lost": count}),
            Mark::Ended => json!({"ended": true}),
        };
        json["at"] = self.at.into();
        json
    }

    fn read(json: &Json) -> Option<Entry> {
        let number = |key: &str| json[key].as_u64();
        let text = |key: &str| json[key].as_str().map(str::to_owned);
        let mark = if let Some(hash) = text("follows") {
            Mark::Follows {
                trail: number("trail")?,
                segment: number("segment")?,
                hash,
            }
        } else if let Some(name) = text("began") {
            Mark::Began {
                name,
                life: number("life")?,
                wall: number("wall")?,
                validity: number("validity")?,
            }
        } else if let Some(version) = number("proved") {
            Mark::Proved {
                asked: number("asked")?,
                version,
            }
        } else if let Some(version) = number("runs") {
            Mark::Runs {
                version,
                keeper: json["keeper"].as_bool()?,
            }
        } else if let Some(word) = text("stands") {
            let standing = STANDINGS
                .into_iter()
                .find(|standing| standing.to_string() == word)?;
            Mark::Stands { standing }
        } else if let Some(version) = number("acts") {
            let taken = (json["taken"][0].as_u64()?, json["taken"][1].as_u64()?);
            let (class, outcome) = (text("class")?, text("outcome")?);
            Mark::Acts {
                version,
                class,
                outcome,
                taken,
                count: number("count")?,
            }
        } else if let Some(count) = number("lost") {
            Mark::Lost { count }
        } else if json["ended"] == true {
            Mark::Ended
        } else {
            Mark::Called {
                version: number("version")?,
                call: text("called")?,
            }
        };
        Some(Entry {
            at: number("at")?,
            mark,
        })
    }
}

/// What the next line of a trail is bound to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain {
    /// Lines so far.
    pub length: u64,
    /// The hash of the last one; empty before the first.
    pub hash: String,
}

impl Chain {
    /// The line of an entry, without its end.
    pub fn line(&mut self, entry: &Entry) -> String {
        let text = entry.json().to_string();
        self.bind(&text);
        format!("{} {text}", self.hash)
    }

    fn bind(&mut self, text: &str) {
        let mut hash = Sha256::new();
        hash.update(self.hash.as_bytes());
        hash.update(self.length.to_le_bytes());
        hash.update(text.as_bytes());
        // Half of it is plenty to tell a change by, and half of the bytes.
        self.hash = hash.finalize()[..16]
            .iter()
            .fold(String::new(), |mut hex, byte| {
                let _ = write!(hex, "{byte:02x}");
                hex
            });
        self.length += 1;
    }
}

/// Where a trail does not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong with it.
    pub why: &'static str,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.why)
    }
}

/// Reads a trail from its first line on: as much as holds, what the next line is bound to, and
/// where it holds no longer.
pub fn read(text: &str) -> (Vec<Entry>, Chain, Option<Broken>) {
    let (mut entries, mut chain) = (Vec::new(), Chain::default());
    for (at, line) in text.split_inclusive('\n').enumerate() {
        let broken = |why| Some(Broken { line: at + 1, why });
        let Some(whole) = line.strip_suffix('\n') else {
            return (entries, chain, broken("it is cut short"));
        };
        let Some((hash, json)) = whole.split_once(' ') else {
            return (entries, chain, broken("it has no hash"));
        };
        let mut next = chain.clone();
        next.bind(json);
        if next.hash != hash {
            return (
                entries,
                chain,
                broken("it does not follow from those before it"),
            );
        }
        let entry = serde_json::from_str(json)
            .ok()
            .and_then(|json| Entry::read(&json));
        let Some(entry) = entry else {
            return (entries, chain, broken("it makes no sense"));
        };
        entries.push(entry);
        chain = next;
    }
    (entries, chain, None)
}

/// Acts counted since they were last noted.
#[derive(Debug, Default)]
pub struct Ledger {
    acts: BTreeMap<(Version, String, &'static str), (Time, Time, u64)>,
}

impl Ledger {
    /// A query of a class that was taken then, under this version, has ended so.
    pub fn count(&mut self, version: Version, class: &str, outcome: &'static str, taken: Time) {
        // No key is made for what is there already: this is on the way of each query.
        let known = self
            .acts
            .iter_mut()
            .find(|((of, name, how), _)| *of == version && name == class && *how == outcome);
        match known {
            Some((_, (first, last, count))) => {
                (*first, *last, *count) = ((*first).min(taken), (*last).max(taken), *count + 1);
            }
            None => drop(
                self.acts
                    .insert((version, class.to_owned(), outcome), (taken, taken, 1)),
            ),
        }
    }

    /// What was counted, and nothing is any more.
    pub fn take(&mut self, at: Time) -> Vec<Entry> {
        let acts = std::mem::take(&mut self.acts).into_iter();
        acts.map(|((version, class, outcome), (first, last, count))| {
            let (outcome, taken) = (outcome.to_owned(), (first, last));
            Entry {
                at,
                mark: Mark::Acts {
                    version,
                    class,
                    outcome,
                    taken,
                    count,
                },
            }
        })
        .collect()
    }
}

#[cfg(test)]
mod tests;
