//! Limits how many hedged requests are sent.
//!
//! When a request is hedged follows from [`LatencyEstimate`], the latency estimate that routers
//! share with the gatherer ("The Tail at Scale", Dean and Barroso, 2013).

pub use dispatch::dispatcher::LatencyEstimate;

/// Hedges that each first attempt adds to the budget.
const HEDGES_PER_REQUEST: f64 = 0.1;
/// Largest number of hedges that may be saved up.
const MAX_SAVED_HEDGES: f64 = 4.0;

/// A token bucket of hedged requests, refilled by first attempts.
#[derive(Debug, Clone)]
pub struct HedgeBudget {
    tokens: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        HedgeBudget { tokens: 1.0 }
    }
}

impl HedgeBudget {
    /// Adds the share of a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + HEDGES_PER_REQUEST).min(MAX_SAVED_HEDGES);
    }

    /// Returns whether one more hedge may be sent.
    pub fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Removes the token of a hedge that was sent.
    pub fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
