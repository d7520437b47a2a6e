//! How much a server that has just started is sent.

use super::*;

impl Aggregator {
    pub(super) fn is_warm(&self, server: &Server) -> bool {
        server
            .cold_from
            .is_none_or(|from| from + self.settings.ramp <= self.now)
    }

    /// Whether a cold server's told budget has room: of what a warm one bears, or one core at the
    /// dearest class answered.
    pub(super) fn cold_room(&self, server: &Server) -> bool {
        let s = &self.settings;
        let is_cold = s.fall > 0 && !self.is_warm(server);
        let Some(from) = server.cold_from.filter(|_| is_cold) else {
            return true;
        };
        let (all, fall, age) = (
            f64::from(s.aggregators),
            s.fall as f64,
            (self.now.max(from) - from) as f64,
        );
        let capacity = s.start_capacity + (1.0 - s.start_capacity) * age / s.ramp as f64;
        let least = self.pace.iter().map(|p| (!p.recent.is_empty(), p.least));
        let work =
            least.fold((false, 1.0), |a, b| if b > a { b } else { a }).1 + s.call_work as f64;
        let share = s.tip_multiple * capacity * fall * (1.0 / all / work).max(self.borne());
        let (parts, budget, ask) = (
            COLD_USED * share,
            share * all,
            COLD_BURST * self.usual() * fall,
        );
        // A share below one part is rounded up: to one, or to two where two of each are chance or
        // one of each is not any more. Of a burst that would bring out too many only a share of the
        // aggregators goes on, by their turns.
        let (chance, burst) = (
            budget + 2.0 * budget.sqrt() + 2.0,
            all * (2.0 - (2.0 + ask) * (-ask).exp()),
        );
        let (few, turn) = (
            ask == 0.0 || ask > COLD_BURST * share,
            server.turn + age * parts / fall,
        );
        let sent = |n: f64| {
            server
                .sent
                .iter()
                .filter(|at| (self.now - **at) as f64 <= n * fall)
                .count()
        };
        let closed = turn.fract() * (1.0 - parts) >= COLD_USED * parts + 0.5 / all;
        let waits = closed || server.sent.is_empty() && turn < 1.0 || sent(1.0 / parts) > 0;
        let early = if few {
            waits
        } else {
            chance < all && turn.fract() * burst > budget - budget.sqrt()
        };
        let one = parts >= 1.0 || (all..2.0 * all).contains(&chance);
        let most = if one { parts.max(1.0) } else { 2.0 };
        sent(1.0) as f64 + 1.0 <= most && (parts >= 1.0 || sent(2.0 / parts) < 2 && !early)
    }

    /// Parts that a warm server bears for this aggregator in a nanosecond: what one lately answers
    /// on average, or what the busiest sound one surely does, as far as its last sends are more
    /// than chance.
    pub(super) fn borne(&self) -> f64 {
        let sound = self
            .servers
            .values()
            .filter(|s| s.ready && self.is_warm(s) && s.delay < SLOW_SHARE);
        let span = sound
            .filter_map(|s| s.sent.get(WINDOW - 1))
            .map(|at| self.now - at)
            .min();
        self.usual().max(span.map_or(0.0, |span| {
            SURE * WINDOW as f64 / span.max(self.settings.fall) as f64
        }))
    }

    /// Parts that warm servers answer on average for this aggregator in a nanosecond, as far as it
    /// is known.
    pub(super) fn usual(&self) -> f64 {
        let ((rate, at), s) = (self.borne, &self.settings);
        // Soon after the start the average holds little yet; one query must not pass for a steady
        // load.
        let told = at.saturating_sub(self.started.unwrap_or(at)).max(s.fall) as f64;
        rate / (1.0 - (-told / s.ramp as f64).exp())
    }
}
