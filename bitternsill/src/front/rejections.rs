//! Requests that are rejected before they become queries, counted by reason and logged at a limited
//! rate.
//!
//! A gatherer that understands none of its requests serves nobody and looks idle. Whoever starts it
//! on a new deployment has to see that from the log and from `ready`.

use crate::limits::Limits;
use dispatch::interface::Time;
use std::collections::BTreeMap;
use std::fmt;

/// Requests rejected for one reason.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reason {
    count: u64,
    /// How many of them had been counted when this was last logged.
    logged_count: u64,
    logged_at: Time,
    example: String,
}

/// What is to be logged now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Why they were rejected.
    pub why: String,
    /// How many since this reason was last logged.
    pub new: u64,
    /// What the latest of them requested.
    pub example: String,
}

/// Rejections by reason, up to a bound on reasons; those past it are counted together. In memory
/// only: after a restart the counts begin at 0.
#[derive(Debug, Default)]
pub struct Rejections {
    reasons: BTreeMap<String, Reason>,
}

/// The reason that stands for all past the bound.
const OTHERS: &str = "other reasons";

impl Rejections {
    /// Counts a rejected request. Returns what is to be logged: at once for a new reason, and at a
    /// limited rate after that.
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
            logged_count: 0,
            logged_at: 0,
            example: String::new(),
        };
        let reason = self.reasons.entry(why.to_owned()).or_insert_with(new);
        reason.count += 1;
        reason.example = example;
        if reason.logged_count > 0 && now < reason.logged_at + limits.rejection_log_interval {
            return None;
        }
        let new = reason.count - reason.logged_count;
        (reason.logged_count, reason.logged_at) = (reason.count, now);
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
