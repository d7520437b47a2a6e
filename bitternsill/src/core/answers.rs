//! Final answers: every query gets exactly one, from parts that have been answered.

use super::Core;
use super::ports::{Answer, Clients, FailureReason, Hosts, Value};
use super::state::{FirstStep, Query};
use crate::limits::MS;
use dispatch::interface::{Event, QueryId, Time};

/// Tolerance for rounding errors when a sum of weights is compared with a minimum.
const WEIGHT_TOLERANCE: f64 = 0.0001;

/// A query that has received its final answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedQuery {
    /// When the last byte of the request arrived.
    pub arrived: Time,
    /// Its latency as a ratio of its class's latency target.
    pub spent: f64,
    /// Whether it got a complete answer.
    pub complete: bool,
    /// The slot of its class.
    pub class: usize,
    /// `whole`, `partial`, `refused` or `failed`.
    pub outcome: &'static str,
    /// The version of the configuration under which it was accepted.
    pub version: u64,
}

impl Core {
    pub(super) fn answer(&mut self, number: u64, complete: bool, now: Time) {
        let Some(query) = self.queries.get(&number) else {
            return;
        };
        let class = &self.settings.classes[query.class];
        let (floor, need, second_step) = (class.floor, class.need, class.second_step as usize);
        let parts = query.parts.iter().filter_map(|id| self.parts.get(id));
        let mut answered: Vec<(u32, Value)> = parts
            .clone()
            .filter_map(|p| Some((p.shard, p.value.clone()?)))
            .collect();
        let weight: f64 = parts.filter(|p| p.value.is_some()).map(|p| p.weight).sum();
        let all = answered.len() == query.parts.len();
        let enough = if query.first_step.is_some() {
            all
        } else {
            weight + WEIGHT_TOLERANCE >= need
        };
        let is_complete =
            complete && enough && query.first_step.as_ref().is_none_or(|first| first.complete);
        if answered.is_empty() || weight + WEIGHT_TOLERANCE < floor {
            // The dispatcher should not decide this: an answer below the class's floor must never
            // be sent.
            tracing::error!(
                query = &*query.name,
                weight,
                "query failed: the answer has less weight than the floor of its class"
            );
            self.finish(number, Answer::Failed(FailureReason::GivenUp), now);
            self.events.push(Event::ClientLeft {
                id: QueryId(number),
            });
            return;
        }
        if second_step > 0 && query.first_step.is_none() {
            self.second_step(number, answered, is_complete, second_step);
            return;
        }
        answered.sort_by_key(|(shard, _)| *shard);
        if let Some(query) = self.finish(
            number,
            Answer::Served {
                complete: is_complete,
                values: answered,
            },
            now,
        ) {
            tracing::debug!(
                query = &*query.name,
                took = now.saturating_sub(query.arrived) / MS,
                complete = is_complete,
                attempts = query.attempts,
                "query answered"
            );
        }
    }

    /// Starts the second step: adds parts at the answered shards with the highest scores, which the
    /// dispatcher gets in its next turn.
    pub(super) fn second_step(
        &mut self,
        number: u64,
        mut answered: Vec<(u32, Value)>,
        complete: bool,
        max_shards: usize,
    ) {
        answered.sort_by_key(|(shard, _)| *shard);
        let from: Vec<String> = answered
            .iter()
            .map(|(shard, _)| shard.to_string())
            .collect();
        answered.sort_by(|a, b| b.1.score.total_cmp(&a.1.score).then(a.0.cmp(&b.0)));
        answered.truncate(max_shards);
        let weight = 1.0 / answered.len() as f64;
        let parts: Vec<u64> = answered
            .iter()
            .map(|(shard, _)| self.add_part(number, *shard, weight))
            .collect();
        if let Some(query) = self.queries.get_mut(&number) {
            query.first_step = Some(FirstStep {
                shards: from.join("+").into(),
                complete,
            });
            for old in std::mem::replace(&mut query.parts, parts) {
                self.parts.remove(&old);
            }
        }
    }

    /// Returns the queries finished since the last call, and goes on collecting them if `collect`
    /// is set.
    pub fn take_finished(&mut self, collect: bool) -> Vec<FinishedQuery> {
        std::mem::replace(&mut self.finished, collect.then(Vec::new)).unwrap_or_default()
    }

    /// Closes a query and queues its final answer, which is sent at the end of the turn.
    pub(super) fn finish(&mut self, number: u64, answer: Answer, now: Time) -> Option<Query> {
        let query = self.close(number)?;
        if let Some(finished) = &mut self.finished {
            let outcome = match answer {
                Answer::Served { complete: true, .. } => "whole",
                Answer::Served { .. } => "partial",
                Answer::Rejected { .. } => "refused",
                Answer::Failed(_) => "failed",
            };
            let Query {
                arrived,
                class,
                version,
                ..
            } = query;
            let latency_target = self.settings.classes[class].latency_target.max(1);
            let spent = now.saturating_sub(arrived) as f64 / latency_target as f64;
            finished.push(FinishedQuery {
                arrived,
                spent,
                complete: outcome == "whole",
                class,
                outcome,
                version,
            });
        }
        self.answers.push((query.caller, answer));
        Some(query)
    }

    pub(super) fn close(&mut self, number: u64) -> Option<Query> {
        let query = self.queries.remove(&number)?;
        self.callers.remove(&query.caller);
        self.names.remove(&query.name);
        self.deadlines.remove(&(query.deadline, number));
        for part in &query.parts {
            self.parts.remove(part);
        }
        Some(query)
    }

    /// Fails all open queries at shutdown and cancels their attempts.
    pub fn fail_all(&mut self, ports: &mut (impl Clients + Hosts)) {
        for (id, attempt) in self.attempts.drain() {
            ports.cancel(attempt.host, id);
        }
        self.timeouts.clear();
        self.delayed.clear();
        while let Some((&number, _)) = self.queries.first_key_value() {
            if let Some(query) = self.close(number) {
                ports.answer(query.caller, Answer::Failed(FailureReason::Ending));
            }
        }
    }
}
