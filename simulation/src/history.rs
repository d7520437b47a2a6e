//! Checks what clients read from the replicas of a store, where one writer per key writes growing
//! values: no committed value is lost, reads of a session are monotonic, and in the end all
//! replicas agree.

use std::collections::BTreeMap;
use std::fmt;

/// A client's session with one process, from its connection to its end.
pub type SessionId = u64;

/// A violation of consistency.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A session read a value after a higher one of the same key.
    Regressed {
        /// The process that was read from.
        process: usize,
        /// The key.
        key: String,
        /// The first value, and the lower one that was read after it.
        values: (u64, u64),
    },
    /// A value was read that was never written.
    Invented {
        /// The process that was read from.
        process: usize,
        /// The key.
        key: String,
        /// The value.
        value: u64,
    },
    /// In the end a process does not have a value that was read before.
    Lost {
        /// The process.
        process: usize,
        /// The key.
        key: String,
        /// The highest value that was read, and the final one of this process.
        values: (u64, Option<u64>),
    },
    /// In the end two processes have different values.
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
                    "process {process} showed {key} as {} and then as {}",
                    values.0, values.1
                )
            }
            Violation::Invented {
                process,
                key,
                value,
            } => {
                write!(
                    f,
                    "process {process} showed {key} as {value}, which nobody wrote"
                )
            }
            Violation::Lost {
                process,
                key,
                values,
            } => {
                write!(
                    f,
                    "{key} was shown as {}, and process {process} ends with {:?}",
                    values.0, values.1
                )
            }
            Violation::Diverged { key } => {
                write!(f, "processes end with different values of {key}")
            }
        }
    }
}

/// All writes and reads.
#[derive(Debug, Default)]
pub struct History {
    written: BTreeMap<String, u64>,
    /// The last value of each key in each session with a process.
    sessions: BTreeMap<(usize, SessionId, String), u64>,
    highest_read: BTreeMap<String, u64>,
    violations: Vec<Violation>,
}

impl History {
    /// A writer is about to write a value. Values of a key only grow.
    pub fn record_write(&mut self, key: &str, value: u64) {
        let written = self.written.entry(key.to_owned()).or_insert(0);
        *written = (*written).max(value);
    }

    /// A session read a value from a process.
    pub fn record_read(&mut self, process: usize, session: SessionId, key: &str, value: u64) {
        if self.written.get(key).is_none_or(|written| value > *written) {
            self.violations.push(Violation::Invented {
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

    /// The highest value of each key that was read.
    pub fn highest_read(&self) -> &BTreeMap<String, u64> {
        &self.highest_read
    }

    /// All violations, given the final values of each process.
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
