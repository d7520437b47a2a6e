//! How queries end: answered complete or in part, rejected, or failed.

use super::Aggregator;
use super::state::Part;
use crate::interface::{Action, Effect, PartId};

impl Aggregator {
    /// Answers a query that is complete. When its time is up, answers it from the parts that are in
    /// or abandons it.
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
        // A first step that ends at the last moment leaves no time for a second: that query is
        // over.
        let over = c.second_step > 0 && !query.in_second_step && self.now >= query.useful_until;
        if over || !(complete || (c.floor < c.need && query.weight >= c.floor)) {
            return self.abandon(number, out);
        }
        let honest = complete && (!query.in_second_step || query.first_step_complete);
        out.push(Action::Answer {
            query: query.id,
            complete: honest,
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

    /// Ends a query that cannot be answered any more: it is failed where a part with side effects
    /// may have run, as the client must not take a retry for harmless then, and else rejected.
    pub(super) fn abandon(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&number) else {
            return;
        };
        let unsafe_class = self.settings.classes[query.class].effect == Effect::Unsafe;
        let ran = |p: &Part| p.done || !p.in_flight.is_empty() || p.may_have_run.is_some();
        let ran = unsafe_class && self.parts_of(query).any(|(_, p)| ran(p));
        let rejected = Action::Reject {
            query: query.id,
            retry_after: self.settings.max_retry_after,
        };
        out.push(if ran {
            Action::Fail { query: query.id }
        } else {
            rejected
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
