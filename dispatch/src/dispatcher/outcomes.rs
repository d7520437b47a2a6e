//! Handles the end of an attempt: completes its part, makes it pending again, or suspects its query
//! of crashing servers.

use super::Aggregator;
use super::parameters::{CRASH_SUSPICION_TARGETS, MIN_RUN_RATIO};
use super::state::{AnswerRate, Attempt};
use crate::interface::{Action, Outcome, PartId, Time};

pub(super) struct EndedAttempt {
    pub(super) part: PartId,
    pub(super) number: u32,
    pub(super) outcome: Outcome,
    pub(super) took: Time,
}

impl Aggregator {
    /// Handles the end of an attempt. Attempts that are not in flight are ignored.
    pub(super) fn attempt_ended(&mut self, ended: &EndedAttempt, out: &mut Vec<Action>) {
        let key = (ended.part, ended.number);
        let Some(attempt) = self.attempts_in_flight.remove(&key) else {
            return;
        };
        self.record_delay(&attempt, ended);
        let idle_reset = self.is_idle_reset(&attempt, ended);
        if idle_reset {
            self.record_idle_reset(attempt.idle);
        } else {
            self.record_outcome(&attempt, ended.outcome, ended.took);
        }
        let crashed = !idle_reset && self.is_crash(&attempt, ended);
        if crashed {
            self.record_crash();
        }
        let Some(part) = self.parts.get_mut(&ended.part) else {
            return;
        };
        part.in_flight.retain(|number| *number != ended.number);
        if !ended.outcome.never_ran() {
            let earliest = part
                .may_have_run
                .map_or(attempt.at, |at| at.min(attempt.at));
            part.may_have_run = Some(earliest);
        }
        let is_over = matches!(ended.outcome, Outcome::TimedOut | Outcome::Skipped);
        if ended.outcome == Outcome::Ok && !part.done {
            self.complete_part(&attempt, ended, out);
        } else if !part.done && part.in_flight.is_empty() && !part.pending && !is_over {
            part.pending = true;
            part.resend_to = idle_reset.then_some(attempt.server);
            if crashed {
                let number = part.number;
                self.suspect_query(number, out);
            }
        }
    }

    /// Updates the recent delays of the attempt's shard and server, and removes it from its call.
    fn record_delay(&mut self, attempt: &Attempt, ended: &EndedAttempt) {
        let (now, delay) = (self.now, ended.took as f64);
        let is_answer = ended.outcome == Outcome::Ok;
        // A superseded attempt was slow because of its server, not because of its shard.
        if !attempt.superseded {
            let shard = self.shards.entry(attempt.shard).or_default();
            shard.observe(delay, is_answer, now);
        }
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.recent_delay.observe(delay, is_answer, now);
            let is_broken = matches!(ended.outcome, Outcome::Reset | Outcome::ConnectFailed);
            server.last_used = if is_broken { 0 } else { now };
            server.calls.end(attempt.call);
        }
    }

    /// Whether a connection was reset immediately when used after a long idle time. This is
    /// evidence about the connection, not about its server or query: the part is sent to the same
    /// server again, and only if no connection can be made then is it a crash.
    fn is_idle_reset(&self, attempt: &Attempt, ended: &EndedAttempt) -> bool {
        let min_run = MIN_RUN_RATIO * self.part_latency[attempt.class].median;
        ended.outcome == Outcome::Reset
            && attempt.idle > self.latency_target / 2
            && (ended.took as f64) < min_run
    }

    fn record_idle_reset(&mut self, idle: Time) {
        let shortest = if self.idle_connections_reset() {
            self.idle_resets.shortest
        } else {
            Time::MAX
        };
        self.idle_resets.shortest = shortest.min(idle);
        self.idle_resets.last = self.now;
    }

    /// Whether an attempt shows that its server has crashed, if it was not an idle reset.
    fn is_crash(&self, attempt: &Attempt, ended: &EndedAttempt) -> bool {
        let is_ready = self.servers.get(&attempt.server).is_some_and(|s| s.ready);
        let part = self.parts.get(&ended.part);
        let was_resent = part.is_some_and(|p| p.resend_to == Some(attempt.server));
        is_ready
            && (ended.outcome == Outcome::Reset
                || was_resent && ended.outcome == Outcome::ConnectFailed)
    }

    /// Simultaneous crashes have an external cause. If servers keep crashing, a query is the likely
    /// cause, so for a while every query sends a canary first.
    fn record_crash(&mut self) {
        if self.now <= self.last_crash + self.latency_target / 2 {
            return;
        }
        let suspicion = CRASH_SUSPICION_TARGETS * self.latency_target;
        if self.now < self.last_crash + suspicion {
            self.suspect_until = self.now + suspicion;
        }
        self.last_crash = self.now;
    }

    /// Records the first answer to a part and cancels its other attempts.
    fn complete_part(&mut self, attempt: &Attempt, ended: &EndedAttempt, out: &mut Vec<Action>) {
        let Some(part) = self.parts.get_mut(&ended.part) else {
            return;
        };
        (part.done, part.pending) = (true, false);
        let (number, weight, others) = (part.number, part.weight, part.in_flight.clone());
        // Derived from the send times and `took`, so that a stall of this process does not count as
        // slowness of the servers.
        let took = attempt.at + ended.took - part.first_sent.unwrap_or(attempt.at);
        self.attempt_latency[attempt.class].add(ended.took);
        self.part_latency[attempt.class].add(took);
        self.recent_answers.push_back(self.now);
        let server = self.servers.get(&attempt.server);
        if server.is_some_and(|s| self.is_warmed_up(s)) {
            self.record_answer();
        }
        for other in others {
            self.attempts_in_flight
                .entry((ended.part, other))
                .and_modify(|attempt| attempt.superseded = true);
            self.cancel(ended.part, other, out);
        }
        self.queries
            .entry(number)
            .and_modify(|q| (q.done, q.weight) = (q.done + 1, q.weight + weight));
        self.finish_if_complete(number, false, out);
    }

    /// Adds an answer to the smoothed answer rate per warmed-up server.
    fn record_answer(&mut self) {
        let AnswerRate { rate, last } = self.answer_rate;
        let slow_start = (self.settings.slow_start as f64).max(1.0);
        let servers = self.servers.values();
        let warmed_up = servers
            .filter(|s| s.ready && self.is_warmed_up(s))
            .count()
            .max(1) as f64;
        let decay = (-((self.now - last) as f64) / slow_start).exp();
        self.answer_rate = AnswerRate {
            rate: rate * decay + 1.0 / slow_start / warmed_up,
            last: self.now,
        };
    }

    /// Suspects a query of crashing a server if none of its parts has been answered yet. A part
    /// that is still in flight becomes its canary, and the others wait for it; if none is in
    /// flight, the query is abandoned.
    fn suspect_query(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&number) else {
            return;
        };
        if query.done > 0 || query.in_second_step {
            return;
        }
        let in_flight = |p: &&PartId| self.parts.get(p).is_some_and(|p| !p.in_flight.is_empty());
        query.canary = query.parts.iter().find(in_flight).copied();
        if query.canary.is_none() {
            self.suspect_until = self.now + CRASH_SUSPICION_TARGETS * self.latency_target;
            self.abandon(number, out);
        }
    }
}
