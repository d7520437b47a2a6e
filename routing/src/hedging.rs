//! How many copies may follow sends. When one follows is told by [`Pace`], which the gatherer's
//! decision module has.

pub use dispatch::dispatcher::LatencyEstimate;

/// Copies per first send, and the most that may be saved up.
const COPY_SHARE: f64 = 0.1;
const COPY_SAVED: f64 = 4.0;

/// What is left of the copies that sends allow.
#[derive(Debug, Clone)]
pub struct CopyAllowance(f64);

impl Default for CopyAllowance {
    fn default() -> Self {
        CopyAllowance(1.0)
    }
}

impl CopyAllowance {
    /// A first send adds its share.
    pub fn sent(&mut self) {
        self.0 = (self.0 + COPY_SHARE).min(COPY_SAVED);
    }

    /// Whether one more copy may be sent.
    pub fn is_left(&self) -> bool {
        self.0 >= 1.0
    }

    /// A copy was sent.
    pub fn take(&mut self) {
        self.0 = (self.0 - 1.0).max(0.0);
    }
}
