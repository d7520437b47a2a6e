//! Latency estimates: percentiles over a window, which determine the delay of hedged requests.

use super::parameters::{INITIAL_P95_RATIO, LATENCY_WINDOW};
use crate::interface::Time;
use std::collections::VecDeque;

/// Percentiles of the recent latencies of one class, in nanoseconds.
#[derive(Debug, Default, Clone)]
pub struct LatencyEstimate {
    pub(super) recent: VecDeque<Time>,
    pub(super) median: f64,
    /// The 95th percentile.
    pub p95: f64,
    pub(super) least: f64,
}

impl LatencyEstimate {
    /// Creates the estimate used before any answer, derived from the latency target.
    pub fn starting(latency_target: Time) -> Self {
        let p95 = INITIAL_P95_RATIO * latency_target as f64;
        LatencyEstimate {
            recent: VecDeque::new(),
            median: p95 / 3.0,
            p95,
            least: p95,
        }
    }

    /// Adds the latency of one answer.
    pub fn add(&mut self, took: Time) {
        self.recent.push_front(took);
        self.recent.truncate(LATENCY_WINDOW);
        let mut sorted = Vec::from(self.recent.clone());
        sorted.sort_unstable();
        let at = |percent: usize| sorted[sorted.len() * percent / 100].max(1) as f64;
        if sorted.len() < LATENCY_WINDOW / 12 {
            // Too few samples for percentiles; the slowest is an upper bound of a part's work.
            self.least = self.p95.min(at(99));
            return;
        }
        (self.median, self.p95) = (at(50), at(95));
        self.least = self
            .median
            .min(self.least * (1.0 + 0.1 / LATENCY_WINDOW as f64));
    }
}
