//! Estimates the capacity of index hosts that warm up, as a share of the client load, from the
//! results of admitted queries.
//!
//! The settings state the minimum capacity of cold hosts, but not the client load. So the admitted
//! share starts at that minimum, grows multiplicatively while admitted queries get fast, complete
//! answers, and shrinks otherwise. The sample for each share consists of the first queries admitted
//! under it, not of the first results: fast results arrive first, and would hide that hosts begin
//! to queue.

use crate::Time;

/// Number of queries in a sample. A larger sample would delay a gatherer with few clients.
const SAMPLE_SIZE: u32 = 8;
/// A complete answer within this fraction of its time-out is fast. Hosts that begin to queue still
/// answer completely, but more slowly.
const FAST_FRACTION: f64 = 0.5;
/// Failed queries in a sample at which the share is decreased.
const FAILURES_TO_DECREASE: u32 = 2;
/// Factor of an increase. Larger than that of a decrease, as each increase has its own sample.
const INCREASE_FACTOR: f64 = 2.0;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.75;
/// Minimum share: without admitted queries no sample would ever be complete.
const MIN_SHARE: f64 = 1.0 / SAMPLE_SIZE as f64;

/// The result of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryResult {
    /// A complete answer well within the time-out.
    Fast,
    /// A complete answer within the time-out.
    Complete,
    /// A rejection, a failure or a partial answer.
    Failed,
}

impl QueryResult {
    /// Classifies a query that took the fraction `spent` of its time-out.
    pub fn new(spent: f64, complete: bool) -> QueryResult {
        match complete {
            true if spent <= FAST_FRACTION => QueryResult::Fast,
            true => QueryResult::Complete,
            false => QueryResult::Failed,
        }
    }
}

/// Results of a sample.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    admitted: u32,
    fast: u32,
    complete: u32,
    failed: u32,
}

/// Estimate of the index hosts' capacity, as a share of the load from this gatherer's clients.
#[derive(Debug, Clone)]
pub struct CapacityEstimate {
    share: f64,
    /// Maximum wait for the result of a query, whose client may have disconnected.
    query_timeout: Time,
    /// Queries admitted from this time on belong to the sample.
    sample_from: Time,
    /// When the last query of the sample was admitted; `None` while the sample is incomplete.
    sample_until: Option<Time>,
    sample: Sample,
    proven: bool,
}

impl CapacityEstimate {
    /// Creates an estimate that starts at a share (above 0, to 1). Queries end within
    /// `query_timeout` nanoseconds.
    pub fn new(initial_share: f64, query_timeout: Time, now: Time) -> CapacityEstimate {
        CapacityEstimate {
            share: initial_share.clamp(MIN_SHARE, 1.0),
            query_timeout,
            sample_from: now,
            sample_until: None,
            sample: Sample::default(),
            proven: false,
        }
    }

    /// The share of queries that may be admitted.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether all queries were admitted and received fast, complete answers.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// Deadline for evaluating the sample, even if results are missing; `None` while the sample is
    /// incomplete.
    pub fn due(&self) -> Option<Time> {
        Some(self.sample_until?.saturating_add(self.query_timeout))
    }

    /// Counts an admitted query.
    pub fn on_admitted(&mut self, now: Time) {
        if self.sample_until.is_none() {
            self.sample.admitted += 1;
            self.sample_until = (self.sample.admitted >= SAMPLE_SIZE).then_some(now);
        }
    }

    /// Counts the result of a query that was admitted at the time `admitted`.
    pub fn on_completed(&mut self, admitted: Time, result: QueryResult, now: Time) {
        let in_sample =
            admitted >= self.sample_from && self.sample_until.is_none_or(|until| admitted <= until);
        if in_sample {
            match result {
                QueryResult::Fast => self.sample.fast += 1,
                QueryResult::Complete => self.sample.complete += 1,
                QueryResult::Failed => self.sample.failed += 1,
            }
        }
        self.evaluate(now);
    }

    /// Adjusts the share and starts the next sample, once the sample is decisive or overdue.
    pub fn evaluate(&mut self, now: Time) {
        let Sample {
            fast,
            complete,
            failed,
            ..
        } = self.sample;
        let all_ended = fast + complete + failed >= SAMPLE_SIZE;
        if fast >= SAMPLE_SIZE {
            self.proven = self.share >= 1.0;
            self.share = (self.share * INCREASE_FACTOR).min(1.0);
        } else if failed >= FAILURES_TO_DECREASE {
            self.share = (self.share * DECREASE_FACTOR).max(MIN_SHARE);
        } else if !all_ended && self.due().is_none_or(|due| now < due) {
            return;
        }
        self.sample_from = now;
        self.sample_until = None;
        self.sample = Sample::default();
    }
}

#[cfg(test)]
mod tests;
