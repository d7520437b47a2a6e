//! Slow start: which classes are admitted while index hosts warm up, and when rejected clients
//! should retry.
//!
//! The total capacity of the index hosts is assumed to grow linearly, from a configured share to
//! all of it over a configured time. Clients are spread over the gatherers, so each gatherer admits
//! the same share of its own queries and need not know how many gatherers are up. This share is a
//! minimum: more is admitted if [`crate::capacity`] estimates more. Classes are admitted in the
//! order of their value. The retry times of rejected clients are spread over an interval.

use crate::Time;

/// The decision on a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The query is admitted.
    Admitted,
    /// The query is rejected; the client should retry after this time, in nanoseconds.
    RetryAfter(Time),
}

/// Slow start of the index hosts.
#[derive(Debug, Clone)]
pub struct SlowStart {
    /// Capacity of cold hosts, as a share (0 to 1) of the warm capacity.
    pub initial_share: f64,
    /// Time until all hosts are warm, in nanoseconds.
    pub duration: Time,
    /// Maximum retry time, in nanoseconds.
    pub max_retry_after: Time,
    /// For each class, the number of classes admitted before it.
    ranks: Vec<usize>,
}

impl SlowStart {
    /// Creates a slow start; `values` has the value of a query of each class, relative to its work.
    pub fn new(
        initial_share: f64,
        duration: Time,
        max_retry_after: Time,
        values: &[f64],
    ) -> SlowStart {
        let mut order: Vec<usize> = (0..values.len()).collect();
        order.sort_by(|a, b| values[*b].total_cmp(&values[*a]).then(a.cmp(b)));
        let mut ranks = vec![0; values.len()];
        for (rank, class) in order.into_iter().enumerate() {
            ranks[class] = rank;
        }
        SlowStart {
            initial_share: initial_share.clamp(0.0, 1.0),
            duration,
            max_retry_after,
            ranks,
        }
    }

    /// Capacity after this time, as a share of the warm capacity.
    pub fn capacity_share(&self, elapsed: Time) -> f64 {
        if elapsed >= self.duration {
            return 1.0;
        }
        self.initial_share + (1.0 - self.initial_share) * elapsed as f64 / self.duration as f64
    }

    /// The fraction of a class's queries to admit, if this share of all queries is admitted.
    pub fn class_share(&self, class: usize, share: f64) -> f64 {
        (share * self.class_count() - self.rank(class) as f64).clamp(0.0, 1.0)
    }

    fn class_count(&self) -> f64 {
        self.ranks.len().max(1) as f64
    }

    /// Rank of a class. Classes that newer settings have added rank last.
    fn rank(&self, class: usize) -> usize {
        let last = self.ranks.len().saturating_sub(1);
        self.ranks.get(class).copied().unwrap_or(last)
    }

    /// Decides whether to admit a query of a class after this time. `estimated_share` is the
    /// estimated capacity; `random` is uniform in 0 to 1, drawn for each query.
    pub fn admit(
        &self,
        class: usize,
        elapsed: Time,
        estimated_share: f64,
        random: f64,
    ) -> Admission {
        let share = self.capacity_share(elapsed).max(estimated_share);
        if random < self.class_share(class, share) || elapsed >= self.duration {
            return Admission::Admitted;
        }
        Admission::RetryAfter(self.retry_after(class, elapsed, random))
    }

    /// Retry time: at most the time until half of the class's queries are admitted. Jitter over the
    /// second half of that time keeps clients from retrying together.
    fn retry_after(&self, class: usize, elapsed: Time, random: f64) -> Time {
        let half_admitted = (self.rank(class) as f64 + 0.5) / self.class_count();
        let growth = (1.0 - self.initial_share).max(f64::MIN_POSITIVE);
        let at = (half_admitted - self.initial_share) / growth * self.duration as f64;
        let wait = (at.max(0.0) as Time)
            .saturating_sub(elapsed)
            .max(self.duration / 64)
            .min(self.max_retry_after);
        wait / 2 + (wait as f64 / 2.0 * random.clamp(0.0, 1.0)) as Time
    }
}

#[cfg(test)]
mod tests;
