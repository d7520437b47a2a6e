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
struct Reason {
    count: u64,
    /// How many of them the log has told of, and when it last did.
    logged: (u64, Time),
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
pub struct Rejections {
    reasons: BTreeMap<String, Reason>,
}

/// The reason that stands for all past the bound.
const OTHERS: &str = "other reasons";

impl Rejections {
    /// Notes a request; gives what the log is to say, at once for a new reason and seldom after
    /// that.
    pub fn record(&mut self, why: &str, asked: &str, now: Time, limits: &Limits) -> Option<Report> {
        let known = self.reasons.contains_key(why) || self.reasons.len() < limits.rejection_reasons;
        let why = if known { why } else { OTHERS };
        let example: String = asked
            .chars()
            .take(limits.rejection_example_chars)
            .flat_map(char::escape_default)
            .collect();
        let new = || Reason {
            count: 0,
            logged: (0, 0),
            example: String::new(),
        };
        let reason = self.reasons.entry(why.to_owned()).or_insert_with(new);
        reason.count += 1;
        reason.example = example;
        if reason.logged.0 > 0 && now < reason.logged.1 + limits.rejection_log_interval {
            return None;
        }
        let new = reason.count - reason.logged.0;
        reason.logged = (reason.count, now);
        Some(Report {
            why: why.to_owned(),
            new,
            example: reason.example.clone(),
        })
    }
}

impl fmt::Display for Rejections {
    /// A line for each reason, the most frequent first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut reasons: Vec<_> = self.reasons.iter().collect();
        reasons.sort_by_key(|(_, reason)| std::cmp::Reverse(reason.count));
        for (why, reason) in reasons {
            write!(
                f,
                "\nturned away: {} ({why}), the latest asked for {}",
                reason.count, reason.example
            )?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
