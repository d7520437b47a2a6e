//! Admission control and load shedding: rejects queries whose answers would be too late.

use super::Aggregator;
use super::parameters::{HOT_SHARD_RATIO, LATENCY_WINDOW, MAX_BACKLOG_RATIO, MAX_START_RATIO};
use super::state::{Part, Query, Timer};
use crate::interface::{Action, Event, PartId, Time};

impl Aggregator {
    /// Admits a query and sets its deadline.
    ///
    /// The latency target counts from the client's first request, so a retry has less time left. A
    /// retry that is not marked as one is recognized by an unusual timeout, which is assumed to end
    /// at the client's overall deadline.
    pub(super) fn admit(&mut self, event: &Event) {
        let Event::Query {
            id,
            number,
            class,
            parts,
            client_timeout,
            is_retry,
        } = *event
        else {
            return;
        };
        self.admissions.push_back(self.now);
        let c = &self.settings.classes[class];
        let recent = &mut self.recent_timeouts[class];
        if !is_retry {
            recent.push_front(client_timeout);
            recent.truncate(LATENCY_WINDOW / 2);
        }
        let similar = recent
            .iter()
            .filter(|timeout| timeout.abs_diff(client_timeout) <= client_timeout / 64)
            .count();
        let elapsed = c.deadline.saturating_sub(client_timeout);
        let may_be_retry = Time::from(is_retry || !self.settings.retries_marked);
        let age = if similar * 16 >= recent.len() {
            elapsed / 2 * Time::from(is_retry)
        } else {
            elapsed * may_be_retry
        };
        let time_left = client_timeout.min(c.latency_target.saturating_sub(age));
        let useful_until = self.now + time_left.saturating_sub(2 * self.settings.tick);
        let time_budget = if is_retry || age > 0 {
            c.latency_target
        } else {
            time_left
        };
        let query = Query {
            id,
            class,
            time_budget,
            expected: parts as usize,
            useful_until,
            ..Query::default()
        };
        self.timers.set(useful_until, Timer::Deadline(number));
        if c.floor < c.need && c.second_step > 0 {
            // The first step ends early enough to leave time for the second one.
            let reserved = (1.2 * self.part_latency[class].p95)
                .clamp(0.2 * c.latency_target as f64, 0.6 * c.latency_target as f64);
            self.timers.set(
                useful_until.saturating_sub(reserved as Time),
                Timer::PartialAnswer(number),
            );
        }
        self.queries.insert(number, query);
    }

    /// Whether one of a query's shards is expected to take too much of its remaining time, even at
    /// the fastest replica.
    pub(super) fn has_hot_shard(&self, query: &Query) -> bool {
        let max_time = HOT_SHARD_RATIO * query.useful_until.saturating_sub(self.now) as f64;
        let max_time = max_time.max(2.0 * self.part_latency[query.class].median);
        let fastest = |(_, p): (PartId, &Part)| {
            let replicas = self.replicas(p.shard).into_iter();
            replicas
                .map(|id| self.expected_time(id, query.class, p.shard))
                .reduce(f64::min)
                .unwrap_or(0.0)
        };
        let few_answers = self.recent_answers.len() < self.ready_count;
        few_answers && !query.started && self.parts_of(query).any(|part| fastest(part) > max_time)
    }

    /// Whether a query that needs every part has too little time left: for the 95th percentile of
    /// its parts before it is started, for the median afterwards.
    pub(super) fn is_late(&self, query: &Query) -> bool {
        let (c, part_latency) = (
            &self.settings.classes[query.class],
            &self.part_latency[query.class],
        );
        let expected_time = if query.started {
            part_latency.median
        } else {
            part_latency
                .p95
                .min(MAX_START_RATIO * query.time_budget as f64)
        };
        c.needs_all()
            && (self.now as f64 + expected_time > query.useful_until as f64
                || self.has_hot_shard(query))
    }

    /// Sheds load: ends queries that can no longer be answered in time. Then rejects waiting
    /// queries, those of least value for their work first, while more parts are blocked than the
    /// servers answer within [`MAX_BACKLOG_RATIO`] of the latency target.
    pub(super) fn shed(&mut self, out: &mut Vec<Action>) {
        let (mut expired, mut waiting, mut backlog) = (Vec::new(), Vec::new(), 0.0);
        for (&number, query) in &self.queries {
            let class = &self.settings.classes[query.class];
            let pending = self.parts_of(query).filter(|p| p.1.pending).count();
            if self.has_lost_part(query) || pending > 0 && self.is_late(query) {
                expired.push(number);
            } else if self.blocked.contains(&number) {
                // In a class with partial answers only the parts up to the floor have to be sent.
                let parts = pending as f64 * class.floor;
                backlog += parts;
                let work = query.parts.len() as f64 * self.part_latency[query.class].median;
                if pending > 0 && !query.started {
                    let value = class.value / work;
                    waiting.push(WaitingQuery {
                        value,
                        number,
                        parts,
                    });
                }
            }
        }
        for number in expired {
            self.abandon(number, out);
        }
        // The rate of answers is known only after a full latency target.
        let is_rate_known = self
            .started_at
            .is_some_and(|at| at + self.latency_target < self.now);
        let max_backlog = MAX_BACKLOG_RATIO * self.recent_answers.len() as f64;
        waiting.sort_by(|a, b| a.value.total_cmp(&b.value).then(b.number.cmp(&a.number)));
        for query in waiting {
            // A query is not rejected for its own parts, so one that waits alone stays.
            if !is_rate_known || backlog - query.parts <= max_backlog {
                break;
            }
            backlog -= query.parts;
            self.abandon(query.number, out);
        }
    }

    /// Whether a query needs every part but has lost one that may not be sent again.
    fn has_lost_part(&self, query: &Query) -> bool {
        let is_lost = |p: &Part| !p.done && !p.pending && p.in_flight.is_empty();
        let class = &self.settings.classes[query.class];
        class.needs_all() && self.parts_of(query).any(|p| is_lost(p.1))
    }
}

/// A query that has not started because its parts are blocked.
struct WaitingQuery {
    /// Value per nanosecond of work.
    value: f64,
    number: u64,
    /// Number of its parts that have to be sent.
    parts: f64,
}
