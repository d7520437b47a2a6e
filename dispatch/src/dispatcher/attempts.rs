//! Starts attempts: first ones, retries after failures, and hedged requests.

use super::Aggregator;
use super::parameters::{
    BUDGET_RESERVED_FOR_RETRIES, HEDGES_PER_PART, IDLE_CLOSE_RATIO, MAX_SAVED_HEDGES,
    SENDS_REMEMBERED, UNRESPONSIVE_P95S,
};
use super::state::{Attempt, Part, Query, Timer};
use crate::interface::{Action, Effect, PartId, ServerId, Time};

impl Aggregator {
    /// Starts an attempt of a part if its class, the limit on attempts and the retry budget allow
    /// it. Returns whether the attempt was started.
    pub(super) fn start_attempt(
        &mut self,
        id: PartId,
        target: ServerId,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(part) = self.parts.get(&id) else {
            return false;
        };
        let Some(query) = self.queries.get(&part.number) else {
            return false;
        };
        let (attempt, is_first) = (part.attempts, part.attempts == 0);
        if !self.may_send(part, query) {
            // While only the retry budget is exhausted, the part stays pending and may be sent
            // later.
            let is_exhausted = self.is_exhausted(part, query);
            self.parts.get_mut(&id).expect("looked up above").pending &= !is_exhausted;
            return false;
        }
        let (number, shard, class, until) =
            (part.number, part.shard, query.class, query.useful_until);
        if !self.servers.contains_key(&target) {
            return false;
        }
        let idle = self.close_if_idle_too_long(target, out);
        let server = self.servers.get_mut(&target).expect("looked up above");
        let call = server.calls.begin(self.now, self.settings.call_parts);
        server.recent_sends.push_front(self.now);
        server.recent_sends.truncate(SENDS_REMEMBERED);
        let part = self.parts.get_mut(&id).expect("looked up above");
        part.attempts += 1;
        part.in_flight.push(attempt);
        part.attempted.push(target);
        part.pending = false;
        if is_first {
            part.first_sent = Some(self.now);
            self.hedge_tokens = (self.hedge_tokens + HEDGES_PER_PART).min(MAX_SAVED_HEDGES);
            if self.settings.classes[class].effect == Effect::Safe && self.settings.can_hedge {
                let [delay, unresponsive] = self.hedge_delays(class);
                let at = self.now + delay.min(unresponsive) as Time;
                self.timers.set(at, Timer::Hedge(id));
            }
        } else if self.settings.budget.is_some() {
            self.retries.push_back(self.now);
        }
        let query = self.queries.get_mut(&number).expect("looked up above");
        query.started = query.canary != Some(id) || query.in_second_step;
        let attempt_in_flight = Attempt {
            server: target,
            at: self.now,
            call,
            class,
            shard,
            idle,
            superseded: false,
        };
        self.attempts_in_flight
            .insert((id, attempt), attempt_in_flight);
        out.push(Action::Send {
            part: id,
            server: target,
            until,
        });
        true
    }

    /// Whether a part can never be sent again: all its attempts are used, or a retry could take
    /// effect twice.
    fn is_exhausted(&self, part: &Part, query: &Query) -> bool {
        let class = &self.settings.classes[query.class];
        let none_in_flight = part.in_flight.is_empty();
        let may_retry = match class.effect {
            Effect::Safe => true,
            // Servers discard duplicates of a key only for its lifetime after the first attempt
            // that may have run; a later one would run again.
            Effect::Keyed => {
                let is_duplicate_discarded = |at: Time| self.now < at + class.key_lifetime;
                none_in_flight && part.may_have_run.is_none_or(is_duplicate_discarded)
            }
            Effect::Unsafe => none_in_flight && part.may_have_run.is_none(),
        };
        part.attempts >= class.max_attempts || part.attempts > 0 && !may_retry
    }

    fn may_send(&self, part: &Part, query: &Query) -> bool {
        !self.is_exhausted(part, query)
            && (part.in_flight.is_empty() || self.settings.can_hedge)
            && (part.attempts == 0 || self.has_budget(0.0))
    }

    /// Closes the connection to a server before use if connections were recently reset after a
    /// similar idle time. Returns how long the connection that will be used has been idle.
    fn close_if_idle_too_long(&mut self, id: ServerId, out: &mut Vec<Action>) -> Time {
        let server = &self.servers[&id];
        if !server.calls.is_empty() || server.last_used == 0 {
            return 0;
        }
        let idle = self.now - server.last_used;
        let max_idle = IDLE_CLOSE_RATIO * self.idle_resets.shortest as f64;
        if self.idle_connections_reset() && idle as f64 > max_idle {
            out.push(Action::Close(id));
            return 0;
        }
        idle
    }

    /// The hedge delays of a class: the regular one, and the one if the server is unresponsive.
    fn hedge_delays(&self, class: usize) -> [f64; 2] {
        [
            self.part_latency[class].p95,
            UNRESPONSIVE_P95S * self.attempt_latency[class].p95,
        ]
    }

    /// Hedges a part that is still in flight when its timer fires. Without a hedge token the part
    /// is hedged only once its server is unresponsive.
    pub(super) fn hedge(&mut self, id: PartId, out: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id) else {
            return;
        };
        let Some(query) = self.queries.get(&part.number) else {
            return;
        };
        let is_late =
            self.now as f64 + self.part_latency[query.class].median > query.useful_until as f64;
        if part.done || part.pending || part.in_flight.len() != 1 || is_late {
            return;
        }
        let (class, shard) = (query.class, part.shard);
        let Some(attempt) = self.attempts_in_flight.get(&(id, part.in_flight[0])) else {
            return;
        };
        let is_rescue =
            !self.common_fault && self.is_unresponsive(attempt.server, attempt.at, class);
        let [hedge_at, rescue_at] = self
            .hedge_delays(class)
            .map(|delay| attempt.at + delay as Time);
        // While parts are blocked, all servers are slow or too few; a hedge would delay those
        // parts.
        let is_allowed = (self.is_almost_done(query) || self.hedge_tokens >= 1.0)
            && self.blocked.is_empty()
            && self.has_budget(BUDGET_RESERVED_FOR_RETRIES);
        if !(is_rescue || is_allowed && self.now >= hedge_at) {
            let next = [hedge_at, rescue_at]
                .into_iter()
                .filter(|at| *at > self.now);
            if let Some(at) = next.min() {
                self.timers.set(at, Timer::Hedge(id));
            }
            return;
        }
        if let Some(target) = self.select_replica(id, class, shard, true)
            && self.start_attempt(id, target, out)
        {
            self.hedge_tokens = (self.hedge_tokens - 1.0).max(0.0);
        }
    }

    /// Whether a wide query waits for only a few parts. These may be hedged without a token, as the
    /// work already done for the query is wasted without them.
    fn is_almost_done(&self, query: &Query) -> bool {
        let spare = HEDGES_PER_PART * query.expected as f64;
        spare >= 2.0 && (query.expected - query.done) as f64 <= spare
    }

    /// Whether the retry budget, if one is configured, allows another attempt without using the
    /// ratio `reserved` (0 to 1) of it.
    pub(super) fn has_budget(&self, reserved: f64) -> bool {
        let Some(budget) = self.settings.budget else {
            return true;
        };
        let permitted = budget.free as f64 + budget.ratio * self.admissions.len() as f64;
        self.retries.len() as f64 + 1.0 <= permitted * (1.0 - reserved)
    }
}
