//! What follows from the end of an attempt: its part is done or pending again, or its query is
//! suspected of crashing servers.

use super::Aggregator;
use super::parameters::{CRASH_SUSPICION_TARGETS, MIN_RUN_RATIO};
use super::state::{AnswerRate, Attempt};
use crate::interface::{Action, Outcome, PartId, Time};

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) part: PartId,
    pub(super) number: u32,
    pub(super) outcome: Outcome,
    pub(super) took: Time,
}

impl Aggregator {
    /// Handles the end of an attempt; one that is not in flight is ignored.
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

    /// Updates the recent delays of the attempt's shard and server, and frees its call.
    fn record_delay(&mut self, attempt: &Attempt, ended: &EndedAttempt) {
        let (now, delay) = (self.now, ended.took as f64);
        let is_answer = ended.outcome == Outcome::Ok;
        // A superseded attempt was slow by its server, not by its shard.
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

    /// Whether a connection broke at once when used after a long idle time. That is evidence on the
    /// connection, not on its server or query: the part is sent there again, and only if no
    /// connection can be made then was it a crash.
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

    /// Whether an attempt that was no idle reset shows that its server has crashed.
    fn is_crash(&self, attempt: &Attempt, ended: &EndedAttempt) -> bool {
        let is_ready = self.servers.get(&attempt.server).is_some_and(|s| s.ready);
        let part = self.parts.get(&ended.part);
        let was_resent = part.is_some_and(|p| p.resend_to == Some(attempt.server));
        is_ready
            && (ended.outcome == Outcome::Reset
                || was_resent && ended.outcome == Outcome::ConnectFailed)
    }

    /// Crashes at one moment have an outside cause; crashes that go on have it among the queries,
    /// so each has to prove itself by a scout for a while.
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

    /// The first answer to a part wins: its other attempts are cancelled.
    fn complete_part(&mut self, attempt: &Attempt, ended: &EndedAttempt, out: &mut Vec<Action>) {
        let Some(part) = self.parts.get_mut(&ended.part) else {
            return;
        };
        (part.done, part.pending) = (true, false);
        let (number, weight, others) = (part.number, part.weight, part.in_flight.clone());
        // From the send on, so that a stall of this process is not taken for slow servers.
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

    /// Adds an answer to the smoothed rate of answers of each warmed-up server.
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

    /// Where no part of a query has been answered when a server crashes under it, the query itself
    /// is the first suspect: only one of its parts stays in flight as a scout, or it is abandoned.
    fn suspect_query(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&number) else {
            return;
        };
        if query.done > 0 || query.in_second_step {
            return;
        }
        let in_flight = |p: &&PartId| self.parts.get(p).is_some_and(|p| !p.in_flight.is_empty());
        query.scout = query.parts.iter().find(in_flight).copied();
        if query.scout.is_none() {
            self.suspect_until = self.now + CRASH_SUSPICION_TARGETS * self.latency_target;
            self.abandon(number, out);
        }
    }
}
