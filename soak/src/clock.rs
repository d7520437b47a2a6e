//! The clock of a soak run.

use std::time::Instant;

/// Milliseconds since the start of a run.
pub type Millis = u64;

/// Measures the time since the start of a run.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock at 0.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The time since the start.
    pub fn now(&self) -> Millis {
        self.0.elapsed().as_millis() as Millis
    }
}
