//! Admission control and load shedding: which queries are taken, and which are rejected because
//! their answers would come too late.

use super::Aggregator;
use super::parameters::{HOT_SHARD_RATIO, LATENCY_WINDOW, MAX_BACKLOG_RATIO, MAX_START_RATIO};
use super::state::{Part, Query, Timer};
use crate::interface::{Action, Event, PartId, Time};

impl Aggregator {
    /// Takes a query and sets its deadline.
    ///
    /// The latency target counts from the client's first request. Of a retry that is not marked as
    /// one only its time-out tells: an unusual one ends with the client's deadline.
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
        let usual = &mut self.usual_timeouts[class];
        if !is_retry {
            usual.push_front(client_timeout);
            usual.truncate(LATENCY_WINDOW / 2);
        }
        let like = usual
            .iter()
            .filter(|u| u.abs_diff(client_timeout) <= client_timeout / 64)
            .count();
        let left = c.deadline.saturating_sub(client_timeout);
        let again = Time::from(is_retry || !self.settings.retries_marked);
        let age = if like * 16 >= usual.len() {
            left / 2 * Time::from(is_retry)
        } else {
            left * again
        };
        let wanted = client_timeout.min(c.latency_target.saturating_sub(age));
        let useful_until = self.now + wanted.saturating_sub(2 * self.settings.tick);
        let time_budget = if is_retry || age > 0 {
            c.latency_target
        } else {
            wanted
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
            // A class with partial answers reserves time for its second step.
            let reserved = (1.2 * self.part_latency[class].p95)
                .clamp(0.2 * c.latency_target as f64, 0.6 * c.latency_target as f64);
            self.timers.set(
                useful_until.saturating_sub(reserved as Time),
                Timer::PartialAnswer(number),
            );
        }
        self.queries.insert(number, query);
    }

    /// Whether a shard of a query recently took too much of the time that the query has left, even
    /// at its best replica.
    pub(super) fn has_hot_shard(&self, query: &Query) -> bool {
        let left = HOT_SHARD_RATIO * query.useful_until.saturating_sub(self.now) as f64;
        let left = left.max(2.0 * self.part_latency[query.class].median);
        let best = |(_, p): (PartId, &Part)| {
            let all = self.replicas(p.shard).into_iter();
            all.map(|id| self.expected_time(id, query.class, p.shard))
                .reduce(f64::min)
                .unwrap_or(0.0)
        };
        let thin = self.recent_answers.len() < self.ready;
        thin && !query.started && self.parts_of(query).any(|part| best(part) > left)
    }

    /// Whether a query that needs every part is too late for its slowest part or, once started, a
    /// usual one.
    pub(super) fn is_late(&self, query: &Query) -> bool {
        let (c, part_latency) = (
            &self.settings.classes[query.class],
            &self.part_latency[query.class],
        );
        let needed = if query.started {
            part_latency.median
        } else {
            part_latency
                .p95
                .min(MAX_START_RATIO * query.time_budget as f64)
        };
        c.needs_all()
            && (self.now as f64 + needed > query.useful_until as f64 || self.has_hot_shard(query))
    }

    /// Sheds load: ends queries that can no longer be answered in time, and rejects those of least
    /// value for their work while more parts are blocked than servers answer in the time that is
    /// left.
    pub(super) fn shed(&mut self, out: &mut Vec<Action>) {
        let (mut expired, mut waiting, mut backlog) = (Vec::new(), Vec::new(), 0.0);
        for (&number, query) in &self.queries {
            let class = &self.settings.classes[query.class];
            let pending = self.parts_of(query).filter(|p| p.1.pending).count();
            if self.has_lost_part(query) || pending > 0 && self.is_late(query) {
                expired.push(number);
            } else if self.blocked.contains(&number) {
                // Of a class with partial answers only the floor must be sent.
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
        // Before that the rate of answers is not known.
        let knows_rate = self
            .started_at
            .is_some_and(|at| at + self.latency_target < self.now);
        let most = MAX_BACKLOG_RATIO * self.recent_answers.len() as f64;
        waiting.sort_by(|a, b| a.value.total_cmp(&b.value).then(b.number.cmp(&a.number)));
        for query in waiting {
            // A query that waits alone is never too much.
            if !knows_rate || backlog - query.parts <= most {
                break;
            }
            backlog -= query.parts;
            self.abandon(query.number, out);
        }
    }

    /// Whether a query that needs every part has one that may not be sent again.
    fn has_lost_part(&self, query: &Query) -> bool {
        let is_lost = |p: &Part| !p.done && !p.pending && p.in_flight.is_empty();
        let class = &self.settings.classes[query.class];
        class.needs_all() && self.parts_of(query).any(|p| is_lost(p.1))
    }
}

/// A query that has not started as its parts are blocked.
struct WaitingQuery {
    /// Value for each nanosecond of work.
    value: f64,
    number: u64,
    /// How many of its parts must be sent.
    parts: f64,
}
