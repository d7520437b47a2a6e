//! Ends queries: with a complete or partial answer, a rejection or a failure.

use super::Aggregator;
use super::state::Part;
use crate::interface::{Action, Effect, PartId};

impl Aggregator {
    /// Answers a query that is complete. If its time is up, answers it from the parts received so
    /// far, or abandons it.
    pub(super) fn finish_if_complete(&mut self, number: u64, time_up: bool, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&number) else {
            return;
        };
        let c = &self.settings.classes[query.class];
        let all = query.done >= query.expected && query.parts.len() >= query.expected;
        let complete = all || (!query.in_second_step && c.need < 1.0 && query.weight >= c.need);
        if !complete && !time_up {
            return;
        }
        // If the first step ends at the deadline, no time is left for the second one.
        let is_expired =
            c.second_step > 0 && !query.in_second_step && self.now >= query.useful_until;
        if is_expired || !(complete || (c.floor < c.need && query.weight >= c.floor)) {
            return self.abandon(number, out);
        }
        let is_complete = complete && (!query.in_second_step || query.first_step_complete);
        out.push(Action::Answer {
            query: query.id,
            complete: is_complete,
        });
        if c.second_step > 0 && !query.in_second_step {
            (query.in_second_step, query.first_step_complete) = (true, complete);
            query.expected = (c.second_step as usize).min(query.done);
            (query.done, query.weight) = (0, 0.0);
            let old = std::mem::take(&mut query.parts);
            return self.drop_parts(&old, out);
        }
        self.remove_query(number, out);
    }

    /// Ends a query that can no longer be answered. It is rejected, which tells the client that a
    /// retry is safe, unless a part that is not idempotent may have run; then it fails.
    pub(super) fn abandon(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&number) else {
            return;
        };
        let is_unsafe = self.settings.classes[query.class].effect == Effect::Unsafe;
        let may_have_run = |p: &Part| p.done || !p.in_flight.is_empty() || p.may_have_run.is_some();
        let must_fail = is_unsafe && self.parts_of(query).any(|(_, p)| may_have_run(p));
        let rejection = Action::Reject {
            query: query.id,
            retry_after: self.settings.max_retry_after,
        };
        out.push(if must_fail {
            Action::Fail { query: query.id }
        } else {
            rejection
        });
        self.remove_query(number, out);
    }

    pub(super) fn remove_query(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&number) else {
            return;
        };
        self.drop_parts(&query.parts, out);
    }

    fn drop_parts(&mut self, ids: &[PartId], out: &mut Vec<Action>) {
        for id in ids {
            let in_flight = self
                .parts
                .remove(id)
                .map_or_else(Vec::new, |part| part.in_flight);
            in_flight
                .into_iter()
                .for_each(|attempt| self.cancel(*id, attempt, out));
        }
    }

    pub(super) fn cancel(&mut self, part: PartId, attempt: u32, out: &mut Vec<Action>) {
        let can_cancel =
            self.settings.can_cancel && self.attempts_in_flight.contains_key(&(part, attempt));
        out.extend(can_cancel.then_some(Action::Cancel { part, attempt }));
    }
}
