//! The audit: checks the gatherers' audit logs for queries served under a version that was no
//! longer valid.
//!
//! Queries may be accepted under a version within the validity after the gatherer sent the last
//! query that confirmed the version. Every log is audited on its own clock, because clocks of
//! different machines are not comparable.

mod finding;
mod overlap;
mod replay;
mod segments;

pub use finding::Finding;
pub use overlap::{Overlap, overlaps};
pub use replay::replay;
pub use segments::LogDigest;

use crate::audit_log::{Corruption, Defect};
use crate::{NANOS_PER_MS, Time, Version};
use std::collections::{BTreeMap, BTreeSet};

/// The segments of one log, by their number.
pub type Segments = BTreeMap<u64, String>;

/// A period in which a gatherer served under a version, on its own clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Span {
    /// The incarnation.
    pub incarnation: u64,
    /// The wall clock minus the gatherer's own clock at the start of the incarnation, in
    /// milliseconds; converts the gatherer's times for display.
    pub wall_offset_ms: i64,
    /// The version.
    pub version: Version,
    /// When the first and the last query were accepted.
    pub accepted: (Time, Time),
    /// The number of queries.
    pub count: u64,
}

impl Span {
    /// The wall clock when the first query was accepted, in milliseconds.
    pub fn first_wall_ms(&self) -> i64 {
        self.wall_offset_ms + to_ms(self.accepted.0)
    }

    /// The wall clock when the last query was accepted, in milliseconds.
    pub fn last_wall_ms(&self) -> i64 {
        self.wall_offset_ms + to_ms(self.accepted.1)
    }
}

/// A command of an operator that the gatherer executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorCall {
    /// The wall clock time of execution, in milliseconds.
    pub wall_ms: i64,
    /// The version under which the command was executed.
    pub version: Version,
    /// The command.
    pub call: String,
}

/// The result of the audit for one gatherer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// The periods of service, in order of their start.
    pub spans: Vec<Span>,
    /// The commands of operators, in order of their execution.
    pub calls: Vec<OperatorCall>,
    /// The findings.
    pub findings: Vec<Finding>,
    /// The incarnation that was still running at the end of the log, and its running time at its
    /// last entry.
    pub running: Option<(u64, Time)>,
}

/// Audits all logs of one gatherer, each from the oldest segment that is left.
///
/// `fetched` is the log that was just fetched from the gatherer; only in this log an incarnation
/// may still be running. `digests` has every log that the gatherer ever reported to the store, by
/// log number. `active` has every version that the store remembers as active, now or formerly.
pub fn audit_gatherer(
    logs: &[Segments],
    fetched: Option<u64>,
    digests: &BTreeMap<u64, LogDigest>,
    active: &BTreeSet<Version>,
) -> Report {
    let mut report = Report::default();
    let mut known_logs = BTreeSet::new();
    for log in logs {
        let number = segments::log_number(log);
        known_logs.extend(number);
        let (entries, corruption) = segments::join(log, digests);
        let mut one = replay(&entries, corruption, active);
        let is_final = fetched.is_none() || number != fetched;
        if let Some((incarnation, after)) = one.running.filter(|_| is_final) {
            report
                .findings
                .push(Finding::EndMissing { incarnation, after });
        }
        report.spans.append(&mut one.spans);
        report.calls.append(&mut one.calls);
        report.findings.append(&mut one.findings);
    }
    if logs.is_empty() {
        report.findings.push(Finding::NoLog);
    } else if digests.keys().any(|log| !known_logs.contains(log)) {
        report.findings.push(Finding::Corrupt(Corruption {
            line: 0,
            defect: Defect::LogMissing,
        }));
    }
    report.spans.sort_by_key(Span::first_wall_ms);
    report.calls.sort_by_key(|call| call.wall_ms);
    report
}

fn to_ms(time: Time) -> i64 {
    (time / NANOS_PER_MS) as i64
}

#[cfg(test)]
mod tests;
