//! What is turned away before it becomes a query, counted by reason and told in the log without
//! flooding it.
//!
//! A gatherer that is spoken to in a way it does not understand serves nobody and looks idle.
//! Whoever starts it on a new deployment has to see that from the log and from `ready`.

use crate::limits::Limits;
use dispatch::interface::Time;
use std::collections::BTreeMap;
use std::fmt;

/// Requests turned away for one reason.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Kind {
    count: u64,
    /// How many of them the log has told of, and when it last did.
    told: (u64, Time),
    example: String,
}

/// What the log is to say now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Why they were turned away.
    pub why: String,
    /// How many since the log last told of this reason.
    pub new: u64,
    /// What the latest of them asked for.
    pub example: String,
}

/// Every reason seen, up to a bound; what comes past that is counted as one more reason. In memory
/// only: after a restart the counts begin at 0.
#[derive(Debug, Default)]
pub struct Turned {
    kinds: BTreeMap<String, Kind>,
}

/// The reason that stands for all past the bound.
const OTHERS: &str = "other reasons";

impl Turned {
    /// Notes a request; gives what the log is to say, at once for a new reason and seldom after
    /// that.
    pub fn note(&mut self, why: &str, asked: &str, now: Time, limits: &Limits) -> Option<Report> {
        let known = self.kinds.contains_key(why) || self.kinds.len() < limits.turned_reasons;
        let why = if known { why } else { OTHERS };
        let example: String = asked
            .chars()
            .take(limits.turned_example)
            .flat_map(char::escape_default)
            .collect();
        let new = || Kind {
            count: 0,
            told: (0, 0),
            example: String::new(),
        };
        let kind = self.kinds.entry(why.to_owned()).or_insert_with(new);
        kind.count += 1;
        kind.example = example;
        if kind.told.0 > 0 && now < kind.told.1 + limits.turned_repeat {
            return None;
        }
        let new = kind.count - kind.told.0;
        kind.told = (kind.count, now);
        Some(Report {
            why: why.to_owned(),
            new,
            example: kind.example.clone(),
        })
    }
}

impl fmt::Display for Turned {
    /// A line for each reason, the most frequent first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut kinds: Vec<_> = self.kinds.iter().collect();
        kinds.sort_by_key(|(_, kind)| std::cmp::Reverse(kind.count));
        for (why, kind) in kinds {
            write!(
                f,
                "\nturned away: {} ({why}), the latest asked for {}",
                kind.count, kind.example
            )?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
