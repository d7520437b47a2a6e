//! What observers saw of values that one writer counts up, each under a key of its own: at
//! whichever process they look, a value that anyone was shown must be there again in the end, and
//! one look at one process must never go back.

use std::collections::BTreeMap;
use std::fmt;

/// One observer's look at one process, from connecting to its end.
pub type Look = u64;

/// What is wrong with what was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wrong {
    /// A look saw a value after a higher one of the same key.
    WentBack {
        /// The process that was looked at.
        process: usize,
        /// The key.
        key: String,
        /// The value that it had shown, and the one it showed then.
        values: (u64, u64),
    },
    /// A value was shown that nobody ever wrote.
    Invented {
        /// The process that showed it.
        process: usize,
        /// The key.
        key: String,
        /// The value.
        value: u64,
    },
    /// In the end a process does not hold what some process had shown.
    Lost {
        /// The process.
        process: usize,
        /// The key.
        key: String,
        /// The highest value that was shown, and what this process holds.
        values: (u64, Option<u64>),
    },
    /// In the end two processes do not hold the same.
    Differ {
        /// The key.
        key: String,
    },
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wrong::WentBack {
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
            Wrong::Invented {
                process,
                key,
                value,
            } => {
                write!(
                    f,
                    "process {process} showed {key} as {value}, which nobody wrote"
                )
            }
            Wrong::Lost {
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
            Wrong::Differ { key } => write!(f, "processes end with different values of {key}"),
        }
    }
}

/// Everything that was written and seen.
#[derive(Debug, Default)]
pub struct History {
    written: BTreeMap<String, u64>,
    /// The last value of each key in each look at a process.
    looks: BTreeMap<(usize, Look, String), u64>,
    shown: BTreeMap<String, u64>,
    wrong: Vec<Wrong>,
}

impl History {
    /// A writer is about to write a value; values of a key only grow.
    pub fn writes(&mut self, key: &str, value: u64) {
        let written = self.written.entry(key.to_owned()).or_insert(0);
        *written = (*written).max(value);
    }

    /// A process showed a value in a look.
    pub fn shows(&mut self, process: usize, look: Look, key: &str, value: u64) {
        if self.written.get(key).is_none_or(|written| value > *written) {
            self.wrong.push(Wrong::Invented {
                process,
                key: key.to_owned(),
                value,
            });
            return;
        }
        let last = self.looks.insert((process, look, key.to_owned()), value);
        if let Some(last) = last.filter(|last| *last > value) {
            self.wrong.push(Wrong::WentBack {
                process,
                key: key.to_owned(),
                values: (last, value),
            });
        }
        let shown = self.shown.entry(key.to_owned()).or_insert(0);
        *shown = (*shown).max(value);
    }

    /// The highest value of each key that anyone was shown.
    pub fn shown(&self) -> &BTreeMap<String, u64> {
        &self.shown
    }

    /// What is wrong, with what each process holds in the end.
    pub fn judge(mut self, held: &BTreeMap<usize, BTreeMap<String, u64>>) -> Vec<Wrong> {
        for (key, shown) in &self.shown {
            for (process, held) in held {
                let value = held.get(key).copied();
                if value.is_none_or(|value| value < *shown) {
                    self.wrong.push(Wrong::Lost {
                        process: *process,
                        key: key.clone(),
                        values: (*shown, value),
                    });
                }
            }
            let mut values = held.values().map(|held| held.get(key));
            let first = values.next();
            if values.any(|value| Some(value) != first) {
                self.wrong.push(Wrong::Differ { key: key.clone() });
            }
        }
        self.wrong
    }
}

#[cfg(test)]
mod tests;
