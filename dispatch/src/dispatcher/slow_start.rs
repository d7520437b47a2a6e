//! Slow start: limits what a server that has just started is sent.
//!
//! A warming server crashes if all aggregators together send it more than a configured multiple of
//! its current capacity within a window. Aggregators do not communicate, so each uses an equal
//! share of that budget. If the share is less than one part, they take turns at random phases of a
//! cycle.

use super::Aggregator;
use super::parameters::{
    CONFIDENT_RATIO, LATENCY_WINDOW, SLOW_DELAY_RATIO, SLOW_START_BURST, SLOW_START_UTILIZATION,
};
use super::state::{AnswerRate, Server};

impl Aggregator {
    /// Whether a server's slow start is over.
    pub(super) fn is_warmed_up(&self, server: &Server) -> bool {
        server
            .slow_start_from
            .is_none_or(|from| from + self.settings.slow_start <= self.now)
    }

    /// Whether the slow start of a server allows another part. The capacity of a warmed-up server
    /// is estimated as the highest rate that one sustains, but at least one core that serves the
    /// most expensive class answered so far.
    pub(super) fn slow_start_allows(&self, server: &Server) -> bool {
        let s = &self.settings;
        let in_slow_start = s.overload_window > 0 && !self.is_warmed_up(server);
        let Some(from) = server.slow_start_from.filter(|_| in_slow_start) else {
            return true;
        };
        let (aggregators, overload_window, age) = (
            f64::from(s.aggregators),
            s.overload_window as f64,
            (self.now.max(from) - from) as f64,
        );
        let capacity = s.initial_capacity + (1.0 - s.initial_capacity) * age / s.slow_start as f64;
        let least_latency = self
            .part_latency
            .iter()
            .map(|p| (!p.recent.is_empty(), p.least));
        let work = least_latency
            .fold((false, 1.0), |a, b| if b > a { b } else { a })
            .1
            + s.call_work as f64;
        let share = s.overload_multiple
            * capacity
            * overload_window
            * (1.0 / aggregators / work).max(self.sustained_rate());
        // All are parts per window: the quota of this aggregator, the budget of all aggregators,
        // and the demand of this aggregator in a burst.
        let (quota, budget, demand) = (
            SLOW_START_UTILIZATION * share,
            share * aggregators,
            SLOW_START_BURST * self.mean_answer_rate() * overload_window,
        );
        // A quota below one part is rounded up to one or two parts. It is one if one part from each
        // aggregator stays within the budget plus two standard deviations, and two parts do not. If
        // even one part from each exceeds that, a burst is limited to a random subset of them.
        let (max_total, burst_total) = (
            budget + 2.0 * budget.sqrt() + 2.0,
            // The expected total with Poisson arrivals, of which each aggregator sends at most two.
            aggregators * (2.0 - (2.0 + demand) * (-demand).exp()),
        );
        let (may_exceed_share, cycles) = (
            demand == 0.0 || demand > SLOW_START_BURST * share,
            server.slow_start_phase + age * quota / overload_window,
        );
        let sent_within = |windows: f64| {
            server
                .recent_sends
                .iter()
                .filter(|at| (self.now - **at) as f64 <= windows * overload_window)
                .count()
        };
        let is_outside_turn =
            cycles.fract() * (1.0 - quota) >= SLOW_START_UTILIZATION * quota + 0.5 / aggregators;
        let must_wait = is_outside_turn
            || server.recent_sends.is_empty() && cycles < 1.0
            || sent_within(1.0 / quota) > 0;
        let is_too_early = if may_exceed_share {
            must_wait
        } else {
            max_total < aggregators && cycles.fract() * burst_total > budget - budget.sqrt()
        };
        let rounds_up_to_one =
            quota >= 1.0 || (aggregators..2.0 * aggregators).contains(&max_total);
        let max_parts = if rounds_up_to_one {
            quota.max(1.0)
        } else {
            2.0
        };
        sent_within(1.0) as f64 + 1.0 <= max_parts
            && (quota >= 1.0 || sent_within(2.0 / quota) < 2 && !is_too_early)
    }

    /// The rate that a warmed-up server sustains for this aggregator, in parts per nanosecond: the
    /// mean answer rate, or a lower confidence bound of the rate sent to the busiest server that is
    /// not slow, whichever is higher.
    pub(super) fn sustained_rate(&self) -> f64 {
        let healthy = self
            .servers
            .values()
            .filter(|s| s.ready && self.is_warmed_up(s) && s.delay < SLOW_DELAY_RATIO);
        let span = healthy
            .filter_map(|s| s.recent_sends.get(LATENCY_WINDOW - 1))
            .map(|at| self.now - at)
            .min();
        self.mean_answer_rate().max(span.map_or(0.0, |span| {
            CONFIDENT_RATIO * LATENCY_WINDOW as f64 / span.max(self.settings.overload_window) as f64
        }))
    }

    /// The mean rate at which a warmed-up server answers this aggregator, in parts per nanosecond.
    pub(super) fn mean_answer_rate(&self) -> f64 {
        let (AnswerRate { rate, last }, s) = (&self.answer_rate, &self.settings);
        // The average is corrected for the short time observed after the start, which is at least
        // one window: a single query must not count as a steady load.
        let observed = last
            .saturating_sub(self.started_at.unwrap_or(*last))
            .max(s.overload_window) as f64;
        rate / (1.0 - (-observed / s.slow_start as f64).exp())
    }
}
