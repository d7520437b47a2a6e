//! Consistency check of a replicated store in which each key has one writer and its values only
//! increase: no value that was read is lost, reads within a session are monotonic, and all replicas
//! have the same values at the end.

use std::collections::BTreeMap;
use std::fmt;

/// Identifies one connection of a client to a process.
pub type SessionId = u64;

/// A violation of consistency.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A session read a lower value of a key than it had read before.
    Regressed {
        /// The process that was read from.
        process: usize,
        /// The key.
        key: String,
        /// The earlier value, and the lower value that was read afterwards.
        values: (u64, u64),
    },
    /// A value was read that was never written.
    Unwritten {
        /// The process that was read from.
        process: usize,
        /// The key.
        key: String,
        /// The value.
        value: u64,
    },
    /// The final value of a process is lower than one that was read before.
    Lost {
        /// The process.
        process: usize,
        /// The key.
        key: String,
        /// The highest value that was read, and the final value of the process.
        values: (u64, Option<u64>),
    },
    /// Two processes have different final values.
    Diverged {
        /// The key.
        key: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Regressed {
                process,
                key,
                values,
            } => {
                write!(
                    f,
                    "process {process} returned {key} = {} and later {}",
                    values.0, values.1
                )
            }
            Violation::Unwritten {
                process,
                key,
                value,
            } => {
                write!(
                    f,
                    "process {process} returned {key} = {value}, which was never written"
                )
            }
            Violation::Lost {
                process,
                key,
                values,
            } => {
                write!(
                    f,
                    "{key} was read as {}, but the final value of process {process} is {:?}",
                    values.0, values.1
                )
            }
            Violation::Diverged { key } => {
                write!(f, "processes have different final values of {key}")
            }
        }
    }
}

/// The writes and reads of one test.
#[derive(Debug, Default)]
pub struct History {
    written: BTreeMap<String, u64>,
    /// The last value of each key that each session read from a process.
    sessions: BTreeMap<(usize, SessionId, String), u64>,
    highest_read: BTreeMap<String, u64>,
    violations: Vec<Violation>,
}

impl History {
    /// Records that a writer is about to write a value, higher than its earlier values of the key.
    pub fn record_write(&mut self, key: &str, value: u64) {
        let written = self.written.entry(key.to_owned()).or_insert(0);
        *written = (*written).max(value);
    }

    /// Records a value that a session read from a process.
    pub fn record_read(&mut self, process: usize, session: SessionId, key: &str, value: u64) {
        if self.written.get(key).is_none_or(|written| value > *written) {
            self.violations.push(Violation::Unwritten {
                process,
                key: key.to_owned(),
                value,
            });
            return;
        }
        let last = self
            .sessions
            .insert((process, session, key.to_owned()), value);
        if let Some(last) = last.filter(|last| *last > value) {
            self.violations.push(Violation::Regressed {
                process,
                key: key.to_owned(),
                values: (last, value),
            });
        }
        let highest_read = self.highest_read.entry(key.to_owned()).or_insert(0);
        *highest_read = (*highest_read).max(value);
    }

    /// The highest value of each key that any session has read.
    pub fn highest_read(&self) -> &BTreeMap<String, u64> {
        &self.highest_read
    }

    /// Returns all violations, given the final values of each process.
    pub fn check(mut self, replicas: &BTreeMap<usize, BTreeMap<String, u64>>) -> Vec<Violation> {
        for (key, highest_read) in &self.highest_read {
            for (process, values) in replicas {
                let value = values.get(key).copied();
                if value.is_none_or(|value| value < *highest_read) {
                    self.violations.push(Violation::Lost {
                        process: *process,
                        key: key.clone(),
                        values: (*highest_read, value),
                    });
                }
            }
            let mut values = replicas.values().map(|values| values.get(key));
            let first = values.next();
            if values.any(|value| Some(value) != first) {
                self.violations
                    .push(Violation::Diverged { key: key.clone() });
            }
        }
        self.violations
    }
}

#[cfg(test)]
mod tests;
