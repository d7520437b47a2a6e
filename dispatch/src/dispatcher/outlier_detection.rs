//! Outlier detection: how slow each server is, and whether it fails, is an outlier among its peers
//! or is unresponsive.

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
    /// smoothed delay is high. The limit is lowered once for all attempts that were sent before it
    /// was last lowered, as they say nothing of the lower one.
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
    /// How long a part is expected to take at a server, in nanoseconds: the highest of what its
    /// slowness and its last probe say, its recent delay, and the age of its oldest attempt.
    pub(super) fn expected_time(&self, id: ServerId, class: usize, shard: u32) -> f64 {
        let s = &self.servers[&id];
        let fresh = self.latency_target / 2;
        let base = self.slowness(s, class) * self.part_latency[class].median;
        let probed = match s.probe_answered_at {
            seen if s.probe_sent_at > seen
                && self.now > s.probe_sent_at + PROBE_TIMEOUT_TICKS * self.settings.tick =>
            {
                3.0 + s.probed_load
            }
            seen if seen > 0 && seen + fresh / 2 > self.now => 1.0 + s.probed_load,
            _ => 2.0,
        };
        let own = if s.recent_delay.at + fresh > self.now {
            Some(&s.recent_delay)
        } else {
            self.shards.get(&shard)
        };
        let own = own.map_or(0.0, |delay| delay.decayed(self.now));
        let out_for = self.oldest_attempt.get(&id).map_or(0, |o| self.now - o.0);
        (base * probed / 2.0).max(own).max(out_for as f64)
    }

    /// Updates the statistics of a server by the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, attempt: &Attempt, outcome: Outcome, took: Time) {
        let (latency_target, now, common_fault) = (
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
        // Where no connection can be made to any server it is no server's fault.
        let refused = outcome == Outcome::ConnectFailed && common_fault < OUTLIER_SLOWNESS;
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
            // It would have taken at least this long.
            Outcome::Cancelled | Outcome::TimedOut if ratio > server.slowness[attempt.class].0 => {
                ratio
            }
            _ => return,
        };
        // An error is evidence on its class alone; a slow or broken server is so for all classes.
        for (class, (slowness, at)) in server.slowness.iter_mut().enumerate() {
            if class == attempt.class || outcome != Outcome::Error {
                // The older what was known, the more the new counts.
                let old = ((now - *at) as f64 / self.latency_target as f64).min(1.0);
                *slowness += EWMA_WEIGHT * (1.0 + old) * (sample - *slowness);
                *at = now;
            }
        }
    }

    /// Whether idle connections have recently been found broken.
    pub(super) fn idle_connections_reset(&self) -> bool {
        self.idle_resets.shortest > 0
            && self.now
                < self.idle_resets.last
                    + (SLOWNESS_DECAY_TARGETS * self.latency_target as f64) as Time
    }

    /// A server's slowness; it decays to 1 while nothing new is learned.
    pub(super) fn slowness(&self, server: &Server, class: usize) -> f64 {
        let (slowness, at) = server.slowness[class];
        1.0 + (slowness - 1.0)
            * (1.0 - (self.now - at) as f64 / (SLOWNESS_DECAY_TARGETS * self.latency_target as f64))
                .max(0.0)
    }

    /// Whether a server fails its requests and is not to be retried yet, which is for `ratio` of
    /// the least latency target.
    pub(super) fn is_failing(&self, server: &Server, ratio: f64) -> bool {
        let again = server.last_error + (ratio * self.latency_target as f64) as Time;
        server.errors > FAILING_ERROR_RATE && (self.now < again || !server.calls.is_empty())
    }

    /// Whether a server is ejected for being much slower than usual and than its median peer.
    pub(super) fn is_outlier(&self, server: &Server, class: usize) -> bool {
        self.slowness(server, class) > OUTLIER_SLOWNESS.max(2.0 * self.median_slowness[class])
    }

    /// Updates what is derived from all attempts and servers: the oldest attempt at each server,
    /// whether the fault is common to many, and the median slowness of each class.
    pub(super) fn update_health_summary(&mut self) {
        self.oldest_attempt.clear();
        for attempt in self.attempts_in_flight.values() {
            let oldest_attempt = self
                .oldest_attempt
                .entry(attempt.server)
                .or_insert((attempt.at, attempt.class));
            *oldest_attempt = (attempt.at, attempt.class).min(*oldest_attempt);
        }
        let is_unresponsive = self
            .oldest_attempt
            .iter()
            .filter(|(id, (at, class))| self.is_unresponsive(**id, *at, *class))
            .count();
        self.common_fault = is_unresponsive as f64 > COMMON_FAULT_RATIO * self.ready as f64;
        for class in 0..self.median_slowness.len() {
            let ready = self.servers.values().filter(|s| s.ready);
            let mut median_slowness: Vec<f64> = ready.map(|s| self.slowness(s, class)).collect();
            median_slowness.sort_by(f64::total_cmp);
            self.median_slowness[class] = median_slowness
                .get(median_slowness.len() / 2)
                .copied()
                .unwrap_or(1.0);
        }
    }

    /// Whether a server has answered nothing since an attempt was sent to it, for long.
    pub(super) fn is_unresponsive(&self, id: ServerId, at: Time, class: usize) -> bool {
        let no_answer_since = self.servers.get(&id).is_some_and(|s| s.last_answer < at);
        no_answer_since
            && (self.now - at) as f64 >= UNRESPONSIVE_P95S * self.attempt_latency[class].p95
    }
}
