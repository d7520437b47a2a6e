//! Outlier detection: estimates how slow each server is, and detects servers that fail, are much
//! slower than their peers or are unresponsive.

use super::Aggregator;
use super::parameters::{
    COMMON_FAULT_RATIO, CONCURRENCY_DECREASE, EWMA_WEIGHT, FAILING_ERROR_RATE, FAILURE_SLOWNESS,
    MAX_OUTCOME_COUNT, MIN_CONCURRENCY, OUTLIER_SLOWNESS, PROBE_TIMEOUT_TICKS, SLOW_DELAY_RATIO,
    SLOWNESS_DECAY_TARGETS, UNRESPONSIVE_P95S,
};
use super::state::{Attempt, Server};
use crate::interface::{Outcome, ServerId, Time};

impl Server {
    /// Adjusts the concurrency limit by the delay of an answer, given as a ratio of the latency
    /// target: additive increase while the limit is in use, multiplicative decrease while the
    /// smoothed delay is high. Attempts that were sent before the last decrease don't decrease the
    /// limit again, as they say nothing about the lower limit.
    fn adjust_limit(&mut self, delay: f64, sent_at: Time, now: Time) {
        self.delay += EWMA_WEIGHT * (delay - self.delay);
        let is_slow = self.delay > SLOW_DELAY_RATIO;
        if is_slow && sent_at >= self.limit_lowered_at {
            self.limit = (self.limit * CONCURRENCY_DECREASE).max(MIN_CONCURRENCY);
            self.limit_lowered_at = now;
        } else if !is_slow && self.calls.len() as f64 + 2.0 > self.limit {
            self.limit += 1.0 / self.limit;
        }
    }
}

impl Aggregator {
    /// How long a part is expected to take at a server, in nanoseconds. This is the maximum of an
    /// estimate from the server's slowness and last probe, its recent delay (the shard's if the
    /// server has none), and the age of its oldest attempt.
    pub(super) fn expected_time(&self, id: ServerId, class: usize, shard: u32) -> f64 {
        let s = &self.servers[&id];
        let max_age = self.latency_target / 2;
        let base = self.slowness(s, class) * self.part_latency[class].median;
        let load = match s.probe_answered_at {
            answered_at
                if s.probe_sent_at > answered_at
                    && self.now > s.probe_sent_at + PROBE_TIMEOUT_TICKS * self.settings.tick =>
            {
                3.0 + s.probed_load
            }
            answered_at if answered_at > 0 && answered_at + max_age / 2 > self.now => {
                1.0 + s.probed_load
            }
            _ => 2.0,
        };
        let recent_delay = if s.recent_delay.at + max_age > self.now {
            Some(&s.recent_delay)
        } else {
            self.shards.get(&shard)
        };
        let recent_delay = recent_delay.map_or(0.0, |delay| delay.decayed(self.now));
        let oldest_age = self.oldest_attempt.get(&id).map_or(0, |o| self.now - o.0);
        (base * load / 2.0).max(recent_delay).max(oldest_age as f64)
    }

    /// Updates the statistics of a server with the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, attempt: &Attempt, outcome: Outcome, took: Time) {
        let (latency_target, now, median_slowness) = (
            self.settings.classes[attempt.class].latency_target,
            self.now,
            self.median_slowness[attempt.class],
        );
        let ratio = (took as f64 / self.part_latency[attempt.class].median).min(FAILURE_SLOWNESS);
        let Some(server) = self.servers.get_mut(&attempt.server) else {
            return;
        };
        server.last_answer = if matches!(outcome, Outcome::Ok | Outcome::Error) {
            now
        } else {
            server.last_answer
        };
        if let Some(changed_servers) = &mut self.changed_servers {
            changed_servers.insert(attempt.server);
            server.outcomes = (server.outcomes + 1.0).min(MAX_OUTCOME_COUNT);
        }
        // If most servers refuse connections, the cause is not the server.
        let refused = outcome == Outcome::ConnectFailed && median_slowness < OUTLIER_SLOWNESS;
        let failed = refused || matches!(outcome, Outcome::Error | Outcome::Rejected);
        server.last_error = if failed { now } else { server.last_error };
        if failed || outcome == Outcome::Ok {
            server.errors += EWMA_WEIGHT * (f64::from(u8::from(failed)) - server.errors);
        }
        let sample = match outcome {
            Outcome::Ok => {
                server.adjust_limit(took as f64 / latency_target as f64, attempt.at, now);
                ratio
            }
            Outcome::Error => FAILURE_SLOWNESS,
            Outcome::Reset | Outcome::ConnectFailed | Outcome::Rejected => {
                server.limit = MIN_CONCURRENCY;
                FAILURE_SLOWNESS
            }
            // The elapsed time is a lower bound of the latency.
            Outcome::Cancelled | Outcome::TimedOut if ratio > server.slowness[attempt.class].0 => {
                ratio
            }
            _ => return,
        };
        // Errors may concern one class only; slowness and broken connections concern all classes.
        for (class, (slowness, at)) in server.slowness.iter_mut().enumerate() {
            if class == attempt.class || outcome != Outcome::Error {
                // The older the previous estimate, the higher the weight of the sample.
                let age = ((now - *at) as f64 / self.latency_target as f64).min(1.0);
                *slowness += EWMA_WEIGHT * (1.0 + age) * (sample - *slowness);
                *at = now;
            }
        }
    }

    /// Whether connections were recently reset after an idle time.
    pub(super) fn idle_connections_reset(&self) -> bool {
        self.idle_resets.shortest > 0
            && self.now
                < self.idle_resets.last
                    + (SLOWNESS_DECAY_TARGETS * self.latency_target as f64) as Time
    }

    /// A server's slowness, which decays to 1 without new samples.
    pub(super) fn slowness(&self, server: &Server, class: usize) -> f64 {
        let (slowness, at) = server.slowness[class];
        1.0 + (slowness - 1.0)
            * (1.0 - (self.now - at) as f64 / (SLOWNESS_DECAY_TARGETS * self.latency_target as f64))
                .max(0.0)
    }

    /// Whether a server fails its requests and must not be tried again yet. It may be tried again
    /// once its last error is older than `ratio` of the lowest latency target and it is idle.
    pub(super) fn is_failing(&self, server: &Server, ratio: f64) -> bool {
        let retry_at = server.last_error + (ratio * self.latency_target as f64) as Time;
        server.errors > FAILING_ERROR_RATE && (self.now < retry_at || !server.calls.is_empty())
    }

    /// Whether a server is ejected because it is much slower than normal and than its median peer.
    pub(super) fn is_outlier(&self, server: &Server, class: usize) -> bool {
        self.slowness(server, class) > OUTLIER_SLOWNESS.max(2.0 * self.median_slowness[class])
    }

    /// Recomputes the oldest attempt at each server, whether many servers have a common fault, and
    /// the median slowness by class.
    pub(super) fn update_health_summary(&mut self) {
        self.oldest_attempt.clear();
        for attempt in self.attempts_in_flight.values() {
            let oldest_attempt = self
                .oldest_attempt
                .entry(attempt.server)
                .or_insert((attempt.at, attempt.class));
            *oldest_attempt = (attempt.at, attempt.class).min(*oldest_attempt);
        }
        let unresponsive = self
            .oldest_attempt
            .iter()
            .filter(|(id, (at, class))| self.is_unresponsive(**id, *at, *class))
            .count();
        self.common_fault = unresponsive as f64 > COMMON_FAULT_RATIO * self.ready_count as f64;
        for class in 0..self.median_slowness.len() {
            let ready = self.servers.values().filter(|s| s.ready);
            let mut slowness: Vec<f64> = ready.map(|s| self.slowness(s, class)).collect();
            slowness.sort_by(f64::total_cmp);
            self.median_slowness[class] = slowness.get(slowness.len() / 2).copied().unwrap_or(1.0);
        }
    }

    /// Whether a server is unresponsive: the attempt is old, and the server has not answered since
    /// it was sent.
    pub(super) fn is_unresponsive(&self, id: ServerId, at: Time, class: usize) -> bool {
        let no_answer_since = self.servers.get(&id).is_some_and(|s| s.last_answer < at);
        no_answer_since
            && (self.now - at) as f64 >= UNRESPONSIVE_P95S * self.attempt_latency[class].p95
    }
}
