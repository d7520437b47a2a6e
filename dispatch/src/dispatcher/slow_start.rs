//! Slow start: how much a server that has just started is sent.
//!
//! A warming server crashes when all aggregators together send it more than a stated multiple of
//! its present capacity over a window. Aggregators do not talk to each other, so each sends its
//! quota share of that budget; where the share is less than one part, they take turns by chance.

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

    /// Whether a server may be sent one more part as far as its slow start is concerned. Its
    /// capacity is taken to be what a warmed-up server sustains, or one core at the most expensive
    /// class that has been answered.
    pub(super) fn slow_start_allows(&self, server: &Server) -> bool {
        let s = &self.settings;
        let in_slow_start = s.overload_window > 0 && !self.is_warmed_up(server);
        let Some(from) = server.slow_start_from.filter(|_| in_slow_start) else {
            return true;
        };
        let (all, overload_window, age) = (
            f64::from(s.aggregators),
            s.overload_window as f64,
            (self.now.max(from) - from) as f64,
        );
        let capacity = s.initial_capacity + (1.0 - s.initial_capacity) * age / s.slow_start as f64;
        let least = self
            .part_latency
            .iter()
            .map(|p| (!p.recent.is_empty(), p.least));
        let work =
            least.fold((false, 1.0), |a, b| if b > a { b } else { a }).1 + s.call_work as f64;
        let share = s.overload_multiple
            * capacity
            * overload_window
            * (1.0 / all / work).max(self.sustained_rate());
        let (parts, budget, ask) = (
            SLOW_START_UTILIZATION * share,
            share * all,
            SLOW_START_BURST * self.mean_answer_rate() * overload_window,
        );
        // A quota share below one part is rounded up: to one, or to two where two of each
        // aggregator are chance, or one of each is not any more. Of a burst in which too many would
        // send only a part of the aggregators goes on, by their turns.
        let (chance, burst) = (
            budget + 2.0 * budget.sqrt() + 2.0,
            all * (2.0 - (2.0 + ask) * (-ask).exp()),
        );
        let (few, turn) = (
            ask == 0.0 || ask > SLOW_START_BURST * share,
            server.slow_start_turn + age * parts / overload_window,
        );
        let sent = |n: f64| {
            server
                .recent_sends
                .iter()
                .filter(|at| (self.now - **at) as f64 <= n * overload_window)
                .count()
        };
        let closed = turn.fract() * (1.0 - parts) >= SLOW_START_UTILIZATION * parts + 0.5 / all;
        let waits = closed || server.recent_sends.is_empty() && turn < 1.0 || sent(1.0 / parts) > 0;
        let early = if few {
            waits
        } else {
            chance < all && turn.fract() * burst > budget - budget.sqrt()
        };
        let one = parts >= 1.0 || (all..2.0 * all).contains(&chance);
        let most = if one { parts.max(1.0) } else { 2.0 };
        sent(1.0) as f64 + 1.0 <= most && (parts >= 1.0 || sent(2.0 / parts) < 2 && !early)
    }

    /// Parts that a warmed-up server sustains for this aggregator, in parts a nanosecond: the mean
    /// answer rate, or the rate of the busiest server that is not slow, as far as its last attempts
    /// are more than chance.
    pub(super) fn sustained_rate(&self) -> f64 {
        let sound = self
            .servers
            .values()
            .filter(|s| s.ready && self.is_warmed_up(s) && s.delay < SLOW_DELAY_RATIO);
        let span = sound
            .filter_map(|s| s.recent_sends.get(LATENCY_WINDOW - 1))
            .map(|at| self.now - at)
            .min();
        self.mean_answer_rate().max(span.map_or(0.0, |span| {
            CONFIDENT_RATIO * LATENCY_WINDOW as f64 / span.max(self.settings.overload_window) as f64
        }))
    }

    /// Parts that a warmed-up server answers on average for this aggregator, in parts a nanosecond.
    pub(super) fn mean_answer_rate(&self) -> f64 {
        let (AnswerRate { rate, last }, s) = (&self.answer_rate, &self.settings);
        // Soon after the start the average rests on little; one query must not pass for a steady
        // load.
        let known = last
            .saturating_sub(self.started_at.unwrap_or(*last))
            .max(s.overload_window) as f64;
        rate / (1.0 - (-known / s.slow_start as f64).exp())
    }
}
