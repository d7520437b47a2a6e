//! Outlier detection over the failures that several routers observe.
//!
//! In a large fleet each router sends a backend too few requests to judge it. Therefore one router
//! collects the failures that all routers observed at a backend, and suspects the backend once more
//! than one router has reported enough of them. Suspicions expire; consecutive ones last longer.

use crate::Millis;
use compact_str::CompactString;
use std::collections::{HashMap, VecDeque};

/// How long a failure counts.
const WINDOW: Millis = 2_000;
/// Number of failures within the window from which a backend is suspected.
const SUSPICION_THRESHOLD: u32 = 4;
/// Maximum number of failures per router that count within the window. It is below the threshold,
/// so that a faulty router alone can't cause a suspicion.
const MAX_FAILURES_PER_REPORTER: u32 = 2;
/// Duration of the first suspicion.
const BASE_DURATION: Millis = 1_000;
/// Upper bound of a suspicion's duration, which doubles with each consecutive one.
const MAX_DURATION: Millis = 8_000;
/// A suspicion is consecutive if it begins within this time after the end of the previous one.
const CONSECUTIVE_WITHIN: Millis = 6_000;
/// Percentage of a service's backends that may be suspected at once.
const MAX_SUSPECTED_PERCENT: usize = 30;

/// The failures that one router reported.
#[derive(Debug)]
struct FailureReport {
    reporter: CompactString,
    failures: u32,
    at: Millis,
}

/// The reports about one backend, and its latest suspicion.
#[derive(Debug, Default)]
struct BackendState {
    reports: VecDeque<FailureReport>,
    suspicion_duration: Millis,
    suspected_until: Millis,
}

/// Detects outliers among the backends that this router judges.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    backends: HashMap<CompactString, BackendState>,
}

impl OutlierDetector {
    /// Records failures that a router observed. Returns the duration of a suspicion that begins
    /// now, if any.
    pub fn record_failures(
        &mut self,
        backend: &CompactString,
        reporter: &CompactString,
        failures: u32,
        now: Millis,
    ) -> Option<Millis> {
        let state = self.backends.entry(backend.clone()).or_default();
        if now < state.suspected_until {
            return None;
        }
        state.reports.push_back(FailureReport {
            reporter: reporter.clone(),
            failures,
            at: now,
        });
        state.expire_reports(now);
        (state.counted_failures() >= SUSPICION_THRESHOLD).then(|| state.suspect(now))
    }

    /// Removes backends without recent reports or suspicions.
    pub fn prune(&mut self, now: Millis) {
        self.backends.retain(|_, state| {
            state.expire_reports(now);
            !state.reports.is_empty() || now < state.suspected_until + CONSECUTIVE_WITHIN
        });
    }

    /// Number of backends with recent reports or suspicions.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Returns whether no backend has recent reports or suspicions.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }
}

impl BackendState {
    fn expire_reports(&mut self, now: Millis) {
        while self
            .reports
            .front()
            .is_some_and(|report| now >= report.at + WINDOW)
        {
            self.reports.pop_front();
        }
    }

    fn counted_failures(&self) -> u32 {
        let mut by_reporter: HashMap<&CompactString, u32> = HashMap::new();
        for report in &self.reports {
            let failures = by_reporter.entry(&report.reporter).or_default();
            *failures = (*failures + report.failures).min(MAX_FAILURES_PER_REPORTER);
        }
        by_reporter.values().sum()
    }

    fn suspect(&mut self, now: Millis) -> Millis {
        let is_consecutive =
            self.suspicion_duration > 0 && now < self.suspected_until + CONSECUTIVE_WITHIN;
        self.suspicion_duration = if is_consecutive {
            (2 * self.suspicion_duration).min(MAX_DURATION)
        } else {
            BASE_DURATION
        };
        self.suspected_until = now + self.suspicion_duration;
        self.reports.clear();
        self.suspicion_duration
    }
}

/// Returns whether suspicions apply. If more than 30 % of a service's backends
/// are suspected, the requests or the network are more likely at fault than the backends.
pub fn is_within_ejection_limit(suspected: usize, total: usize) -> bool {
    100 * suspected <= MAX_SUSPECTED_PERCENT * total
}
