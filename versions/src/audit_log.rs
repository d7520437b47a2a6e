//! The audit log that a gatherer writes about itself. Each line carries a hash over all lines
//! before it, so that a truncated or altered log shows where. Served queries are counted by
//! version, class and outcome; everything else has an entry of its own.
//!
//! The stored form of the entries must stay readable: logs outlive the program that wrote them.

use crate::status::Status;
use crate::{Time, Version};
use serde_json::{Value as Json, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// The bytes of a line's hash: half of a SHA-256, which is plenty to detect a change.
const HASH_BYTES: usize = 16;

/// What an entry records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A segment of the log begins.
    SegmentStarted {
        /// A random number that all segments of one log share, so that a log that was lost is not
        /// taken for the next one.
        log: u64,
        /// The number of the segment, from 0.
        segment: u64,
        /// The hash of the last line of the segment before; empty for the first one.
        previous_hash: String,
    },
    /// An incarnation of the gatherer started.
    Started {
        /// The gatherer's name.
        name: String,
        /// A random number that identifies the incarnation.
        incarnation: u64,
        /// The wall clock, in milliseconds since the Unix epoch. For display only.
        wall_ms: u64,
        /// The validity of a confirmation.
        validity: Time,
    },
    /// The store confirmed a version as active.
    Confirmed {
        /// When the query was sent.
        queried_at: Time,
        /// The version.
        version: Version,
    },
    /// The gatherer switched to a version.
    Switched {
        /// The version.
        version: Version,
        /// Whether it serves on under the version without a store.
        autonomous: bool,
    },
    /// Its status changed.
    StatusChanged {
        /// The new status.
        status: Status,
    },
    /// Queries were served: a count for one version, class and outcome.
    Served {
        /// The version under which they were accepted.
        version: Version,
        /// Their class.
        class: String,
        /// Their outcome.
        outcome: String,
        /// When the first and the last one were accepted.
        accepted: (Time, Time),
        /// How many.
        count: u64,
    },
    /// A command of an operator was executed.
    OperatorCall {
        /// The version under which it was executed.
        version: Version,
        /// The command.
        call: String,
    },
    /// Entries before this one could not be written.
    EntriesLost {
        /// How many.
        count: u64,
    },
    /// The incarnation shut down gracefully; it did nothing after this.
    Stopped,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// When it was made, on the gatherer's own clock.
    pub at: Time,
    /// What it records.
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

    /// Reads the stored form. A record is identified by the key that only its kind has.
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

/// The hash chain of a segment: what its next line is bound to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HashChain {
    /// The number of lines.
    pub length: u64,
    /// The hash of the last line in hexadecimal; empty before the first one.
    pub hash: String,
}

impl HashChain {
    /// The line of an entry, without its line end.
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

/// What is wrong with a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Defect {
    /// The last line has no line end.
    #[error("it is cut short")]
    Truncated,
    /// A line does not begin with a hash.
    #[error("it has no hash")]
    NoHash,
    /// The hash of a line is not that of its text and the lines before it.
    #[error("it does not follow from those before it")]
    HashMismatch,
    /// The text of a line is no entry.
    #[error("it makes no sense")]
    NoEntry,
    /// A segment does not continue the one before it.
    #[error("its segment does not follow from the one before it")]
    SegmentMismatch,
    /// The log differs from the digest in the store.
    #[error("it is not what the store was told of it")]
    DigestMismatch,
    /// Segments up to the digest in the store are missing.
    #[error("segments that the store was told of are missing")]
    SegmentsMissing,
    /// A log of which the store has a digest is missing.
    #[error("an earlier trail that the store was told of is gone")]
    LogMissing,
}

/// Where a log is corrupt.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {defect}")]
pub struct Corruption {
    /// The line, from 1; 0 where the defect is not in a line.
    pub line: usize,
    /// What is wrong.
    pub defect: Defect,
}

/// What was read from a segment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Segment {
    /// The entries before the corruption, if there is one.
    pub entries: Vec<Entry>,
    /// The hash chain over these entries.
    pub chain: HashChain,
    /// The first corruption. What comes after it is not read.
    pub corruption: Option<Corruption>,
}

impl Segment {
    /// Reads a segment from its first line on, up to the first corruption.
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
        // A search in place of a lookup by key: the key would need an allocation, and this is on
        // the path of every query.
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

    /// The entries for all counts, which start anew.
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
