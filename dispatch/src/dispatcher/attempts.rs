//! Where a part goes: first sends to the least-loaded, copies, and attempts after failures.

use super::Aggregator;
use super::parameters::{
    BUDGET_RESERVED_FOR_RETRIES, CLEARLY_FASTER_RATIO, COMMON_FAULT_RATIO, HEDGES_PER_PART,
    IDLE_CLOSE_RATIO, LATENCY_WINDOW, MAX_SAVED_HEDGES, MIN_CONCURRENCY, SCOUT_TRUST_MEDIANS,
    SOLE_REPLICA_RETRY_RATIO, UNRESPONSIVE_P95S, WIDE_QUERY_RATIO,
};
use super::state::{Attempt, Server, Timer};
use crate::interface::{Action, Effect, PartId, ServerId, Time};
use std::collections::{BTreeMap, BTreeSet};

impl Aggregator {
    pub(super) fn has_capacity(&self, id: ServerId, class: usize) -> bool {
        let Some(server) = self.servers.get(&id) else {
            return false;
        };
        let joins = server.calls.can_join(self.now, self.settings.call_parts);
        server.ready
            && !self.is_outlier(server, class)
            && !self.is_failing(server, 1.0)
            && (joins || server.calls.len() as f64 + 1.0 <= server.limit)
            && self.slow_start_allows(server)
    }

    /// The server with the fewest calls out; then the one expected to be quickest, ties at random.
    pub(super) fn least_loaded(
        &mut self,
        ids: &[ServerId],
        class: usize,
        shard: u32,
    ) -> Option<ServerId> {
        let fewest = ids.iter().map(|id| self.servers[id].calls.len()).min()?;
        let alike = ids
            .iter()
            .filter(|id| self.servers[*id].calls.len() == fewest);
        let times: Vec<_> = alike
            .map(|id| (self.expected_time(*id, class, shard), *id))
            .collect();
        let quickest = times.iter().map(|t| t.0).fold(f64::MAX, f64::min);
        let ties: Vec<_> = times
            .iter()
            .filter(|t| t.0 <= CLEARLY_FASTER_RATIO * quickest)
            .collect();
        Some(ties[self.rng.usize(0..ties.len())].1)
    }

    pub(super) fn start_pending(&mut self, out: &mut Vec<Action>) {
        let mut order: Vec<(bool, bool, Time, u64)> = Vec::new();
        for (&number, query) in &self.queries {
            if !self.is_late(query) && self.parts_of(query).any(|p| p.1.pending) {
                // What can be answered from less gives way until its last step.
                let gives_way =
                    !self.settings.classes[query.class].needs_all() && !query.in_second_step;
                order.push((gives_way, !query.started, query.useful_until, number));
            }
        }
        order.sort_unstable();
        let mut blocked = BTreeSet::new();
        for (_, _, _, number) in order {
            let query = &self.queries[&number];
            // A deadly query kills as its part begins: a scout that lives on proves it. Haste
            // allows none.
            let calls = if self.settings.call_parts > 1 {
                self.settings.cells as usize
            } else {
                usize::MAX
            };
            let share = query.parts.len().min(calls) as f64 / self.ready.max(1) as f64;
            let enough =
                (SCOUT_TRUST_MEDIANS * share * self.part_latency[query.class].median) as Time;
            let calm = self.now >= self.suspect_until && share <= COMMON_FAULT_RATIO;
            // One whose server has fallen silent proves nothing any more.
            let waits = |s: &Attempt| !self.is_unresponsive(s.server, s.at, s.class);
            let sound = |p: &PartId| {
                self.attempts_in_flight
                    .range((*p, 0)..=(*p, u32::MAX))
                    .any(|s| waits(s.1))
            };
            let scout = query.scout.filter(sound).and_then(|p| self.parts.get(&p));
            let since = scout.and_then(|p| p.first_sent).unwrap_or(self.now);
            let proved =
                query.done > 0 || query.in_second_step || calm && since + enough <= self.now;
            if !proved && (scout.is_some() || self.now < query.probe_until) {
                continue;
            }
            let pending = self.parts_of(query).filter(|p| p.1.pending);
            let mut pending: Vec<_> = pending.map(|(id, p)| (id, p.shard, p.weight)).collect();
            pending.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
            let class = query.class;
            let most = if query.time_budget < self.settings.classes[class].latency_target {
                COMMON_FAULT_RATIO
            } else {
                WIDE_QUERY_RATIO
            };
            let wide =
                query.parts.len() > self.settings.replication_factor as usize && share > most;
            let alone = !query.started && !proved && (wide || self.now < self.suspect_until);
            let gang = !query.started && self.settings.classes[class].needs_all();
            let row = if query.started {
                BTreeMap::new()
            } else {
                self.least_loaded_row(class, &pending)
            };
            // A query that needs every part starts only when each has room, so none is left half
            // done.
            let mut off_row = pending.iter().filter(|(id, ..)| !row.contains_key(id));
            if gang
                && off_row
                    .any(|(id, shard, _)| self.select_replica(*id, class, *shard, false).is_none())
            {
                blocked.insert(number);
                continue;
            }
            if alone {
                // At a server that is silent or sick it would prove nothing.
                let sound = |p: &(PartId, u32, f64)| {
                    self.replicas(p.1)
                        .iter()
                        .any(|s| !self.is_outlier(&self.servers[s], class))
                };
                let first = pending.iter().position(sound).unwrap_or(0);
                pending = vec![pending[first]];
                self.timers.set(self.now + enough, Timer::Wake);
                self.queries.get_mut(&number).expect("in order").scout = Some(pending[0].0);
            }
            for (id, shard, _) in pending {
                let again = self.parts[&id]
                    .resend_to
                    .filter(|s| self.has_capacity(*s, class));
                let in_row = again
                    .or(row.get(&id).copied())
                    .filter(|s| self.has_capacity(*s, class));
                let mut target = in_row.or_else(|| self.select_replica(id, class, shard, false));
                // A part leaves its row for a holder with no more out that is clearly quicker.
                if again.is_none()
                    && self.settings.replication_factor > 1
                    && let (Some(here), Some(there)) =
                        (target, self.select_replica(id, class, shard, false))
                    && self.servers[&there].calls.len() <= self.servers[&here].calls.len()
                    && self.expected_time(here, class, shard)
                        > CLEARLY_FASTER_RATIO * self.expected_time(there, class, shard)
                {
                    target = Some(there);
                }
                let Some(target) = target else {
                    blocked.insert(number);
                    continue;
                };
                self.start_attempt(id, target, out);
            }
        }
        self.blocked = blocked;
    }

    /// The least-loaded row: for each part the server that one offset of the placement rule gives.
    pub(super) fn least_loaded_row(
        &mut self,
        class: usize,
        pending: &[(PartId, u32, f64)],
    ) -> BTreeMap<PartId, ServerId> {
        let mut best = None;
        for offset in 0..self.settings.replication_factor {
            let (mut cells, mut row, mut load) = (BTreeMap::new(), BTreeMap::new(), 0);
            for &(id, shard, _) in pending {
                let cell = ((shard + offset) % self.settings.cells) as usize;
                if !cells.contains_key(&cell) || self.settings.call_parts == 1 {
                    let mut free = self.holders[cell].clone();
                    free.retain(|id| self.has_capacity(*id, class));
                    let chosen = self.least_loaded(&free, class, shard);
                    load += chosen.map_or(0, |id| self.servers[&id].calls.len());
                    cells.insert(cell, chosen);
                }
                row.extend(cells[&cell].map(|server| (id, server)));
            }
            let key = (pending.len() - row.len(), load, self.rng.u32(..));
            if best.as_ref().is_none_or(|(least, _)| key < *least) {
                best = Some((key, row));
            }
        }
        best.map(|b| b.1).unwrap_or_default()
    }

    /// A holder off the row, one not yet tried first; idle sick ones only when the shard has no
    /// other.
    pub(super) fn select_replica(
        &mut self,
        id: PartId,
        class: usize,
        shard: u32,
        copy: bool,
    ) -> Option<ServerId> {
        let mut free = self.replicas(shard);
        let alone = free.len() == 1;
        let idle = |s: &Server| {
            let fits = s.calls.len() as f64 + 1.0 <= if alone { s.limit } else { MIN_CONCURRENCY };
            fits && (alone || !self.is_failing(s, SOLE_REPLICA_RETRY_RATIO))
                && self.slow_start_allows(s)
        };
        let none = !copy && !free.iter().any(|id| self.has_capacity(*id, class));
        free.retain(|id| {
            if none {
                idle(&self.servers[id])
            } else {
                self.has_capacity(*id, class)
            }
        });
        let attempted = self.parts.get(&id).map_or(&[][..], |p| &p.attempted);
        let untried: Vec<_> = free
            .iter()
            .copied()
            .filter(|s| !attempted.contains(s))
            .collect();
        self.least_loaded(
            if copy || !untried.is_empty() {
                &untried
            } else {
                &free
            },
            class,
            shard,
        )
    }

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
        let c = &self.settings.classes[query.class];
        let (attempt, first, alone) =
            (part.attempts, part.attempts == 0, part.in_flight.is_empty());
        let may_repeat = match c.effect {
            Effect::Safe => true,
            Effect::Keyed => {
                alone
                    && part
                        .may_have_run
                        .is_none_or(|at| self.now < at + c.key_lifetime)
            }
            Effect::Unsafe => alone && part.may_have_run.is_none(),
        };
        let over = part.attempts >= c.max_attempts || !first && !may_repeat;
        if over || !(alone || self.settings.can_hedge) || !first && !self.has_budget(0.0) {
            self.parts.get_mut(&id).expect("looked up above").pending &= !over; // a lack of budget passes
            return false;
        }
        let (number, shard, class, until) =
            (part.number, part.shard, query.class, query.useful_until);
        let breaking = self.idle_connections_reset();
        let Some(server) = self.servers.get_mut(&target) else {
            return false;
        };
        // While idle connections break, one idle for as long is closed first, and a new one made.
        let used = if server.calls.is_empty() {
            server.last_used
        } else {
            0
        };
        let mut idle = if used > 0 { self.now - used } else { 0 };
        if breaking && idle as f64 > IDLE_CLOSE_RATIO * self.idle_resets.shortest as f64 {
            idle = 0;
            out.push(Action::Close(target));
        }
        let call = server.calls.begin(self.now, self.settings.call_parts);
        server.recent_sends.push_front(self.now);
        server.recent_sends.truncate(4 * LATENCY_WINDOW);
        let part = self.parts.get_mut(&id).expect("looked up above");
        part.attempts += 1;
        part.in_flight.push(attempt);
        part.attempted.push(target);
        part.pending = false;
        if first {
            part.first_sent = Some(self.now);
            self.hedge_tokens = (self.hedge_tokens + HEDGES_PER_PART).min(MAX_SAVED_HEDGES);
            if self.settings.classes[class].effect == Effect::Safe && self.settings.can_hedge {
                let first = self.part_latency[class]
                    .p95
                    .min(UNRESPONSIVE_P95S * self.attempt_latency[class].p95);
                self.timers.set(self.now + first as Time, Timer::Hedge(id));
            }
        } else if self.settings.budget.is_some() {
            self.retries.push_back(self.now);
        }
        let query = self.queries.get_mut(&number).expect("looked up above");
        query.started = query.scout != Some(id) || query.in_second_step;
        let (server, at, superseded) = (target, self.now, false);
        self.attempts_in_flight.insert(
            (id, attempt),
            Attempt {
                server,
                at,
                call,
                class,
                shard,
                idle,
                superseded,
            },
        );
        out.push(Action::Send {
            part: id,
            server: target,
            until,
        });
        true
    }

    /// One copy of a part pending at its timer; without an allowance only once its server is found
    /// silent.
    pub(super) fn hedge(&mut self, id: PartId, out: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id) else {
            return;
        };
        let Some(query) = self.queries.get(&part.number) else {
            return;
        };
        let late =
            self.now as f64 + self.part_latency[query.class].median > query.useful_until as f64;
        if part.done || part.pending || part.in_flight.len() != 1 || late {
            return;
        }
        let (class, shard) = (query.class, part.shard);
        let Some(sent) = self.attempts_in_flight.get(&(id, part.in_flight[0])) else {
            return;
        };
        let rescue = !self.common_fault && self.is_unresponsive(sent.server, sent.at, class);
        // While parts wait for room a copy would only push them back: all servers are slow, or too
        // few.
        let waits = [
            self.part_latency[class].p95,
            UNRESPONSIVE_P95S * self.attempt_latency[class].p95,
        ]
        .map(|wait| sent.at + wait as Time);
        // A wide query's last parts are worth a copy whatever was saved up: all its other work
        // hangs on them.
        let spare = HEDGES_PER_PART * query.expected as f64;
        let last = spare >= 2.0 && (query.expected - query.done) as f64 <= spare;
        let free = (last || self.hedge_tokens >= 1.0)
            && self.blocked.is_empty()
            && self.has_budget(BUDGET_RESERVED_FOR_RETRIES);
        if !(rescue || free && self.now >= waits[0]) {
            let next = waits.into_iter().filter(|at| *at > self.now).min();
            next.into_iter()
                .for_each(|at| self.timers.set(at, Timer::Hedge(id)));
            return;
        }
        if let Some(target) = self.select_replica(id, class, shard, true)
            && self.start_attempt(id, target, out)
        {
            self.hedge_tokens = (self.hedge_tokens - 1.0).max(0.0);
        }
    }

    /// Whether the told budget has room for one more attempt after leaving `kept` of it.
    pub(super) fn has_budget(&self, kept: f64) -> bool {
        let Some(budget) = self.settings.budget else {
            return true;
        };
        let all = budget.free as f64 + budget.ratio * self.admissions.len() as f64;
        self.retries.len() as f64 + 1.0 <= all * (1.0 - kept)
    }
}
