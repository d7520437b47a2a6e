//! When a copy follows a send, and how many copies there may be.

/// A moment or a duration, in nanoseconds.
pub type Time = u64;

use std::collections::VecDeque;

/// Answers kept for a class's percentiles.
pub const WINDOW: usize = 96;
/// Before any answer, the copy timer stands at this share of the aim, and the median at a third of that.
pub const START_SHARE: f64 = 0.3;
/// Copies per part sent, and the most that may be saved up.
pub const COPY_SHARE: f64 = 0.1;
const COPY_SAVED: f64 = 4.0;

/// How long answers of one class took lately.
#[derive(Debug, Default, Clone)]
pub struct Pace {
    recent: VecDeque<Time>,
    /// The median.
    pub median: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The least median.
    pub least: f64,
}

impl Pace {
    /// Before any answer: shares of the aim.
    pub fn starting(aim: Time) -> Self {
        let p95 = START_SHARE * aim as f64;
        Pace { recent: VecDeque::new(), median: p95 / 3.0, p95, least: p95 }
    }

    /// One more answer took so long.
    pub fn add(&mut self, took: Time) {
        self.recent.push_front(took);
        self.recent.truncate(WINDOW);
        let mut sorted = Vec::from(self.recent.clone());
        sorted.sort_unstable();
        let at = |percent: usize| sorted[sorted.len() * percent / 100].max(1) as f64;
        if sorted.len() < WINDOW / 12 {
            self.least = self.p95.min(at(99)); // Too few for a usual time; a part costs the longest, at the most
            return;
        }
        (self.median, self.p95) = (at(50), at(95));
        self.least = self.median.min(self.least * (1.0 + 0.1 / WINDOW as f64));
    }
}

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
