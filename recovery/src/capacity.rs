//! Estimate of the capacity of index hosts that warm up, as a share of what clients ask, by the
//! results of admitted queries.
//!
//! The settings state the least that cold hosts can take, but not how much clients ask. So the
//! admitted share starts at that least, grows multiplicatively while admitted queries are answered
//! completely and fast, and shrinks when they are not. Each share is judged by the first queries
//! admitted under it, in whatever order they end: fast results come first, so by the first results
//! alone hosts that begin to queue would pass for healthy.

use crate::Time;

/// Queries by which a share is judged. A larger sample would delay a gatherer with few clients.
const SAMPLE_SIZE: u32 = 8;
/// A complete answer is fast within this fraction of its time-out. Hosts that begin to queue still
/// answer completely, but more slowly.
const FAST_FRACTION: f64 = 0.5;
/// Failed queries in a sample at which the share is decreased.
const FAILURES_TO_DECREASE: u32 = 2;
/// Factor of an increase; larger than that of a decrease, as each increase is judged by itself.
const INCREASE_FACTOR: f64 = 2.0;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.75;
/// Least share: without admitted queries no sample would ever be complete.
const MIN_SHARE: f64 = 1.0 / SAMPLE_SIZE as f64;

/// Result of a query.
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
    /// Result of a query that took this fraction of its time-out.
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

/// Estimate of the index hosts' capacity, as a share of what this gatherer's clients ask.
#[derive(Debug, Clone)]
pub struct CapacityEstimate {
    share: f64,
    /// A query's result is waited for no longer than this: its client may have left.
    query_timeout: Time,
    /// Queries admitted from here on belong to the sample.
    sample_from: Time,
    /// When the last query of the sample was admitted.
    sample_until: Option<Time>,
    sample: Sample,
    proven: bool,
}

impl CapacityEstimate {
    /// An estimate that starts at a share (above 0, to 1). Queries end within `query_timeout`
    /// nanoseconds.
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

    /// Whether all queries were admitted, and answered completely and fast.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// When the sample is evaluated with the results it has, once it is complete.
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

    /// Counts the result of a query that was admitted at this time.
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

    /// Adjusts the share once the sample allows it, and starts the next sample.
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
