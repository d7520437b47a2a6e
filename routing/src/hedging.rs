//! Limits the number of hedged requests ("The Tail at Scale", Dean and Barroso, 2013).
//!
//! The hedge delay is determined by [`LatencyEstimate`], which the gatherer uses too.

pub use dispatch::dispatcher::LatencyEstimate;

/// Tokens that each first attempt adds to the budget.
const HEDGES_PER_REQUEST: f64 = 0.1;
/// Maximum number of saved tokens.
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
    /// Adds the tokens that a first attempt earns.
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
