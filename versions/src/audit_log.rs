//! The audit log that a gatherer writes about itself. Each line has a hash over itself and all
//! lines before it, which shows where a log is truncated or altered. Served queries are counted by
//! version, class and outcome; every other event has an entry of its own.
//!
//! The stored form of the entries must stay readable: logs outlive the program that wrote them.

use crate::status::Status;
use crate::{Time, Version};
use serde_json::{Value as Json, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// The bytes of a line's hash: half of a SHA-256, which is enough to detect a change.
const HASH_BYTES: usize = 16;

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A segment of the log begins.
    SegmentStarted {
        /// A random number that all segments of one log share, so that a lost log and the next one
        /// are not confused.
        log: u64,
        /// The number of the segment, from 0.
        segment: u64,
        /// The hash of the last line of the previous segment; empty for the first segment.
        previous_hash: String,
    },
    /// An incarnation of the gatherer started.
    Started {
        /// The gatherer's name.
        name: String,
        /// A random number that identifies the incarnation.
        incarnation: u64,
        /// The wall clock time, in milliseconds since the Unix epoch. For display only.
        wall_ms: u64,
        /// How long a confirmation is valid.
        validity: Time,
    },
    /// The store confirmed a version as active.
    Confirmed {
        /// When the query to the store was sent.
        queried_at: Time,
        /// The version.
        version: Version,
    },
    /// The gatherer switched to a version.
    Switched {
        /// The version.
        version: Version,
        /// Whether the gatherer is autonomous under the version: it keeps serving without a store.
        autonomous: bool,
    },
    /// The status of the gatherer changed.
    StatusChanged {
        /// The new status.
        status: Status,
    },
    /// The count of served queries for one version, class and outcome.
    Served {
        /// The version under which the queries were accepted.
        version: Version,
        /// The class of the queries.
        class: String,
        /// The outcome of the queries.
        outcome: String,
        /// When the first and the last query were accepted.
        accepted: (Time, Time),
        /// The number of queries.
        count: u64,
    },
    /// An operator's command was executed.
    OperatorCall {
        /// The version under which the command was executed.
        version: Version,
        /// The command.
        call: String,
    },
    /// Entries before this one could not be written.
    EntriesLost {
        /// The number of lost entries.
        count: u64,
    },
    /// The incarnation shut down gracefully, and did nothing after this entry.
    Stopped,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// When the entry was made, on the gatherer's own clock.
    pub at: Time,
    /// The content.
    pub record: Record,
}

impl Record {
    fn to_json(&self) -> Json {
        match self {
            Record::SegmentStarted {
                log,
                segment,
                previous_hash,
            } => json!({"trail": log, "segment": segment, "follows": previous_hash}),
            Record::Started {
                name,
                incarnation,
                wall_ms,
                validity,
            } => {
                json!({"began": name, "life": incarnation, "wall": wall_ms, "validity": validity})
            }
            Record::Confirmed {
                queried_at,
                version,
            } => json!({"proved": version, "asked": queried_at}),
            Record::Switched {
                version,
                autonomous,
            } => json!({"runs": version, "keeper": autonomous}),
            Record::StatusChanged { status } => json!({"stands": status.name()}),
            Record::Served {
                version,
                class,
                outcome,
                accepted: (first, last),
                count,
            } => json!({
                "acts": version,
                "class": class,
                "outcome": outcome,
                "taken": [first, last],
                "count": count,
            }),
            Record::OperatorCall { version, call } => json!({"called": call, "version": version}),
            Record::EntriesLost { count } => json!({"lost": count}),
            Record::Stopped => json!({"ended": true}),
        }
    }

    /// Parses the stored form. Each kind of record is identified by a key that no other kind has.
    fn from_json(json: &Json) -> Option<Record> {
        let number = |key: &str| json[key].as_u64();
        let text = |key: &str| json[key].as_str().map(str::to_owned);
        Some(if let Some(previous_hash) = text("follows") {
            Record::SegmentStarted {
                log: number("trail")?,
                segment: number("segment")?,
                previous_hash,
            }
        } else if let Some(name) = text("began") {
            Record::Started {
                name,
                incarnation: number("life")?,
                wall_ms: number("wall")?,
                validity: number("validity")?,
            }
        } else if let Some(version) = number("proved") {
            Record::Confirmed {
                queried_at: number("asked")?,
                version,
            }
        } else if let Some(version) = number("runs") {
            Record::Switched {
                version,
                autonomous: json["keeper"].as_bool()?,
            }
        } else if let Some(name) = text("stands") {
            let status = Status::from_name(&name)?;
            Record::StatusChanged { status }
        } else if let Some(version) = number("acts") {
            Record::Served {
                version,
                class: text("class")?,
                outcome: text("outcome")?,
                accepted: (json["taken"][0].as_u64()?, json["taken"][1].as_u64()?),
                count: number("count")?,
            }
        } else if let Some(count) = number("lost") {
            Record::EntriesLost { count }
        } else if json["ended"] == true {
            Record::Stopped
        } else {
            Record::OperatorCall {
                version: number("version")?,
                call: text("called")?,
            }
        })
    }
}

impl Entry {
    fn to_json(&self) -> Json {
        let mut json = self.record.to_json();
        json["at"] = self.at.into();
        json
    }

    fn parse(text: &str) -> Option<Entry> {
        let json: Json = serde_json::from_str(text).ok()?;
        Some(Entry {
            at: json["at"].as_u64()?,
            record: Record::from_json(&json)?,
        })
    }
}

/// The state of a segment's hash chain, from which the hash of the next line is computed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HashChain {
    /// The number of lines.
    pub length: u64,
    /// The hash of the last line in hexadecimal; empty before the first one.
    pub hash: String,
}

impl HashChain {
    /// Appends an entry; returns its line without the line end.
    pub fn append(&mut self, entry: &Entry) -> String {
        let text = entry.to_json().to_string();
        self.extend(&text);
        format!("{} {text}", self.hash)
    }

    fn extend(&mut self, text: &str) {
        let mut hash = Sha256::new();
        hash.update(self.hash.as_bytes());
        hash.update(self.length.to_le_bytes());
        hash.update(text.as_bytes());
        self.hash = hash.finalize()[..HASH_BYTES]
            .iter()
            .fold(String::new(), |mut hex, byte| {
                let _ = write!(hex, "{byte:02x}");
                hex
            });
        self.length += 1;
    }
}

/// A kind of corruption of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Defect {
    /// The last line has no line end.
    #[error("it is cut short")]
    Truncated,
    /// A line does not begin with a hash.
    #[error("it has no hash")]
    NoHash,
    /// The hash of a line does not match its text and the lines before it.
    #[error("it does not follow from those before it")]
    HashMismatch,
    /// The text of a line is not an entry.
    #[error("it makes no sense")]
    NoEntry,
    /// A segment does not continue the previous one.
    #[error("its segment does not follow from the one before it")]
    SegmentMismatch,
    /// The log does not match its digest in the store.
    #[error("it is not what the store was told of it")]
    DigestMismatch,
    /// Segments up to the digest in the store are missing.
    #[error("segments that the store was told of are missing")]
    SegmentsMissing,
    /// A log that has a digest in the store is missing.
    #[error("an earlier trail that the store was told of is gone")]
    LogMissing,
}

/// A corruption of a log, and its place.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {defect}")]
pub struct Corruption {
    /// The line, from 1; 0 if the defect is not in a line.
    pub line: usize,
    /// The kind of corruption.
    pub defect: Defect,
}

/// The readable part of a segment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Segment {
    /// The entries, up to the corruption if there is one.
    pub entries: Vec<Entry>,
    /// The hash chain over these entries.
    pub chain: HashChain,
    /// The first corruption. The rest of the segment is not read.
    pub corruption: Option<Corruption>,
}

impl Segment {
    /// Reads a segment up to the first corruption.
    pub fn read(text: &str) -> Segment {
        let mut segment = Segment::default();
        for (index, line) in text.split_inclusive('\n').enumerate() {
            if let Err(defect) = segment.read_line(line) {
                segment.corruption = Some(Corruption {
                    line: index + 1,
                    defect,
                });
                break;
            }
        }
        segment
    }

    fn read_line(&mut self, line: &str) -> Result<(), Defect> {
        let line = line.strip_suffix('\n').ok_or(Defect::Truncated)?;
        let (hash, text) = line.split_once(' ').ok_or(Defect::NoHash)?;
        let mut chain = self.chain.clone();
        chain.extend(text);
        if chain.hash != hash {
            return Err(Defect::HashMismatch);
        }
        self.entries
            .push(Entry::parse(text).ok_or(Defect::NoEntry)?);
        self.chain = chain;
        Ok(())
    }
}

#[derive(Debug)]
struct Tally {
    first: Time,
    last: Time,
    count: u64,
}

/// Counts served queries until they are recorded.
#[derive(Debug, Default)]
pub struct ServedCounter {
    tallies: BTreeMap<(Version, String, &'static str), Tally>,
}

impl ServedCounter {
    /// Counts a query that was accepted at this time under this version.
    pub fn record(
        &mut self,
        version: Version,
        class: &str,
        outcome: &'static str,
        accepted_at: Time,
    ) {
        // A linear search instead of a lookup by key: building the key would allocate, and this
        // runs for every query.
        let known = self
            .tallies
            .iter_mut()
            .find(|(key, _)| key.0 == version && key.1 == class && key.2 == outcome);
        if let Some((_, tally)) = known {
            tally.first = tally.first.min(accepted_at);
            tally.last = tally.last.max(accepted_at);
            tally.count += 1;
            return;
        }
        self.tallies.insert(
            (version, class.to_owned(), outcome),
            Tally {
                first: accepted_at,
                last: accepted_at,
                count: 1,
            },
        );
    }

    /// Takes all counts as entries, and starts counting from 0.
    pub fn drain(&mut self, at: Time) -> Vec<Entry> {
        std::mem::take(&mut self.tallies)
            .into_iter()
            .map(|((version, class, outcome), tally)| Entry {
                at,
                record: Record::Served {
                    version,
                    class,
                    outcome: outcome.to_owned(),
                    accepted: (tally.first, tally.last),
                    count: tally.count,
                },
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
