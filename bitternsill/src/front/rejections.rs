//! Counts requests rejected before they become queries, by reason, and logs them at a limited rate.
//!
//! A gatherer that rejects all requests, for example in a new deployment, looks idle otherwise. The
//! operator must be able to see this in the log and in the output of `ready`.

use crate::limits::Limits;
use dispatch::interface::Time;
use std::collections::BTreeMap;
use std::fmt;

/// Requests rejected for one reason.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reason {
    count: u64,
    /// The value of `count` when the reason was last logged.
    logged_count: u64,
    logged_at: Time,
    example: String,
}

/// A report to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The reason.
    pub why: String,
    /// The number of rejections since this reason was last logged.
    pub new: u64,
    /// The latest rejected request.
    pub example: String,
}

/// Rejections by reason. The number of reasons is bounded; further ones are counted together. The
/// counts are not persisted.
#[derive(Debug, Default)]
pub struct Rejections {
    reasons: BTreeMap<String, Reason>,
}

/// The reason that combines all reasons past the bound.
const OTHERS: &str = "other reasons";

impl Rejections {
    /// Counts a rejected request. Returns a report at once for a new reason, and at a limited rate
    /// after that.
    pub fn record(
        &mut self,
        why: &str,
        request: &str,
        now: Time,
        limits: &Limits,
    ) -> Option<Report> {
        let known = self.reasons.contains_key(why) || self.reasons.len() < limits.rejection_reasons;
        let why = if known { why } else { OTHERS };
        let example: String = request
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
    /// Writes a line per reason, the most frequent first.
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
