//! The clock of a run.

use std::time::Instant;

/// Milliseconds since a run began.
pub type Millis = u64;

/// Tells the time since a run began.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A run begins now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Now.
    pub fn now(&self) -> Millis {
        self.0.elapsed().as_millis() as Millis
    }
}
