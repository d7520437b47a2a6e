//! Where a part goes: first sends to the least-loaded, copies, and attempts after failures.

use super::*;

impl Aggregator {
    pub(super) fn room(&self, id: ServerId, class: usize) -> bool {
        let Some(server) = self.servers.get(&id) else {
            return false;
        };
        let joins = server.calls.can_join(self.now, self.settings.call_parts);
        server.ready
            && !self.sick(server, class)
            && !self.failing(server, 1.0)
            && (joins || server.calls.len() as f64 + 1.0 <= server.limit)
            && self.cold_room(server)
    }

    /// The server with the fewest calls out; then the one expected to be quickest, ties at random.
    pub(super) fn least(&mut self, ids: &[ServerId], class: usize, shard: u32) -> Option<ServerId> {
        let fewest = ids.iter().map(|id| self.servers[id].calls.len()).min()?;
        let alike = ids
            .iter()
            .filter(|id| self.servers[*id].calls.len() == fewest);
        let times: Vec<_> = alike
            .map(|id| (self.expected(*id, class, shard), *id))
            .collect();
        let quickest = times.iter().map(|t| t.0).fold(f64::MAX, f64::min);
        let ties: Vec<_> = times
            .iter()
            .filter(|t| t.0 <= ROW_LEFT * quickest)
            .collect();
        Some(ties[self.rng.usize(0..ties.len())].1)
    }

    pub(super) fn dispatch(&mut self, out: &mut Vec<Action>) {
        let mut order: Vec<(bool, bool, Time, u64)> = Vec::new();
        for (&number, query) in &self.queries {
            if !self.late(query) && self.parts_of(query).any(|p| p.1.held) {
                // What can be answered from less gives way until its last step.
                let gives_way = !self.settings.classes[query.class].needs_all() && !query.second;
                order.push((gives_way, !query.started, query.useful, number));
            }
        }
        order.sort_unstable();
        let mut lacking = BTreeSet::new();
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
            let enough = (SCOUT_WAIT * share * self.pace[query.class].median) as Time;
            let calm = self.now >= self.doubt_until && share <= COMMON;
            // One whose server has fallen silent proves nothing any more.
            let waits = |s: &Sent| !self.silent(s.server, s.at, s.class);
            let sound = |p: &PartId| {
                self.sends
                    .range((*p, 0)..=(*p, u32::MAX))
                    .any(|s| waits(s.1))
            };
            let scout = query.scout.filter(sound).and_then(|p| self.parts.get(&p));
            let since = scout.and_then(|p| p.first_sent).unwrap_or(self.now);
            let proved = query.done > 0 || query.second || calm && since + enough <= self.now;
            if !proved && (scout.is_some() || self.now < query.wait_until) {
                continue;
            }
            let held = self.parts_of(query).filter(|p| p.1.held);
            let mut held: Vec<_> = held.map(|(id, p)| (id, p.shard, p.weight)).collect();
            held.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
            let class = query.class;
            let most = if query.time < self.settings.classes[class].aim {
                COMMON
            } else {
                WIDE
            };
            let wide = query.parts.len() > self.settings.reach as usize && share > most;
            let alone = !query.started && !proved && (wide || self.now < self.doubt_until);
            let gang = !query.started && self.settings.classes[class].needs_all();
            let row = if query.started {
                BTreeMap::new()
            } else {
                self.row(class, &held)
            };
            // A query that needs every part starts only when each has room, so none is left half
            // done.
            let mut off_row = held.iter().filter(|(id, ..)| !row.contains_key(id));
            if gang && off_row.any(|(id, shard, _)| self.other(*id, class, *shard, false).is_none())
            {
                lacking.insert(number);
                continue;
            }
            if alone {
                // At a server that is silent or sick it would prove nothing.
                let sound = |p: &(PartId, u32, f64)| {
                    self.replicas(p.1)
                        .iter()
                        .any(|s| !self.sick(&self.servers[s], class))
                };
                let first = held.iter().position(sound).unwrap_or(0);
                held = vec![held[first]];
                self.timers.set(self.now + enough, Timer::Beat);
                self.queries.get_mut(&number).expect("in order").scout = Some(held[0].0);
            }
            for (id, shard, _) in held {
                let again = self.parts[&id].again.filter(|s| self.room(*s, class));
                let in_row = again
                    .or(row.get(&id).copied())
                    .filter(|s| self.room(*s, class));
                let mut target = in_row.or_else(|| self.other(id, class, shard, false));
                // A part leaves its row for a holder with no more out that is clearly quicker.
                if again.is_none()
                    && self.settings.reach > 1
                    && let (Some(here), Some(there)) = (target, self.other(id, class, shard, false))
                    && self.servers[&there].calls.len() <= self.servers[&here].calls.len()
                    && self.expected(here, class, shard)
                        > ROW_LEFT * self.expected(there, class, shard)
                {
                    target = Some(there);
                }
                let Some(target) = target else {
                    lacking.insert(number);
                    continue;
                };
                self.send(id, target, out);
            }
        }
        self.lacking = lacking;
    }

    /// The least-loaded row: for each part the server that one offset of the placement rule gives.
    pub(super) fn row(
        &mut self,
        class: usize,
        held: &[(PartId, u32, f64)],
    ) -> BTreeMap<PartId, ServerId> {
        let mut best = None;
        for offset in 0..self.settings.reach {
            let (mut cells, mut row, mut load) = (BTreeMap::new(), BTreeMap::new(), 0);
            for &(id, shard, _) in held {
                let cell = ((shard + offset) % self.settings.cells) as usize;
                if !cells.contains_key(&cell) || self.settings.call_parts == 1 {
                    let mut free = self.holders[cell].clone();
                    free.retain(|id| self.room(*id, class));
                    let chosen = self.least(&free, class, shard);
                    load += chosen.map_or(0, |id| self.servers[&id].calls.len());
                    cells.insert(cell, chosen);
                }
                row.extend(cells[&cell].map(|server| (id, server)));
            }
            let key = (held.len() - row.len(), load, self.rng.u32(..));
            if best.as_ref().is_none_or(|(least, _)| key < *least) {
                best = Some((key, row));
            }
        }
        best.map(|b| b.1).unwrap_or_default()
    }

    /// A holder off the row, one not yet tried first; idle sick ones only when the shard has no
    /// other.
    pub(super) fn other(
        &mut self,
        id: PartId,
        class: usize,
        shard: u32,
        copy: bool,
    ) -> Option<ServerId> {
        let mut free = self.replicas(shard);
        let alone = free.len() == 1;
        let idle = |s: &Server| {
            let fits = s.calls.len() as f64 + 1.0 <= if alone { s.limit } else { LEAST_LIMIT };
            fits && (alone || !self.failing(s, FAILING_TRY)) && self.cold_room(s)
        };
        let none = !copy && !free.iter().any(|id| self.room(*id, class));
        free.retain(|id| {
            if none {
                idle(&self.servers[id])
            } else {
                self.room(*id, class)
            }
        });
        let tried = self.parts.get(&id).map_or(&[][..], |p| &p.tried);
        let untried: Vec<_> = free
            .iter()
            .copied()
            .filter(|s| !tried.contains(s))
            .collect();
        self.least(
            if copy || !untried.is_empty() {
                &untried
            } else {
                &free
            },
            class,
            shard,
        )
    }

    pub(super) fn send(&mut self, id: PartId, target: ServerId, out: &mut Vec<Action>) -> bool {
        let Some(part) = self.parts.get(&id) else {
            return false;
        };
        let Some(query) = self.queries.get(&part.number) else {
            return false;
        };
        let c = &self.settings.classes[query.class];
        let (attempt, first, alone) = (part.attempts, part.attempts == 0, part.live.is_empty());
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
        if over || !(alone || self.settings.second_copies) || !first && !self.budget_left(0.0) {
            self.parts.get_mut(&id).expect("looked up above").held &= !over; // a lack of budget passes
            return false;
        }
        let (number, shard, class, until) = (part.number, part.shard, query.class, query.useful);
        let breaking = self.breaking();
        let Some(server) = self.servers.get_mut(&target) else {
            return false;
        };
        // While idle connections break, one idle for as long is closed first, and a new one made.
        let used = if server.calls.is_empty() {
            server.used
        } else {
            0
        };
        let mut idle = if used > 0 { self.now - used } else { 0 };
        if breaking && idle as f64 > STALE * self.stale.0 as f64 {
            idle = 0;
            out.push(Action::Close(target));
        }
        let call = server.calls.begin(self.now, self.settings.call_parts);
        server.sent.push_front(self.now);
        server.sent.truncate(4 * WINDOW);
        let part = self.parts.get_mut(&id).expect("looked up above");
        part.attempts += 1;
        part.live.push(attempt);
        part.tried.push(target);
        part.held = false;
        if first {
            part.first_sent = Some(self.now);
            self.tokens = (self.tokens + COPY_SHARE).min(COPY_SAVED);
            if self.settings.classes[class].effect == Effect::Safe && self.settings.second_copies {
                let first = self.pace[class].p95.min(SILENT * self.tries[class].p95);
                self.timers.set(self.now + first as Time, Timer::Copy(id));
            }
        } else if self.settings.budget.is_some() {
            self.extras.push_back(self.now);
        }
        let query = self.queries.get_mut(&number).expect("looked up above");
        query.started = query.scout != Some(id) || query.second;
        let (server, at, lost) = (target, self.now, false);
        self.sends.insert(
            (id, attempt),
            Sent {
                server,
                at,
                call,
                class,
                shard,
                idle,
                lost,
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
    pub(super) fn copy(&mut self, id: PartId, out: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id) else {
            return;
        };
        let Some(query) = self.queries.get(&part.number) else {
            return;
        };
        let late = self.now as f64 + self.pace[query.class].median > query.useful as f64;
        if part.done || part.held || part.live.len() != 1 || late {
            return;
        }
        let (class, shard) = (query.class, part.shard);
        let Some(sent) = self.sends.get(&(id, part.live[0])) else {
            return;
        };
        let rescue = !self.common && self.silent(sent.server, sent.at, class);
        // While parts wait for room a copy would only push them back: all servers are slow, or too
        // few.
        let waits = [self.pace[class].p95, SILENT * self.tries[class].p95]
            .map(|wait| sent.at + wait as Time);
        // A wide query's last parts are worth a copy whatever was saved up: all its other work
        // hangs on them.
        let spare = COPY_SHARE * query.expected as f64;
        let last = spare >= 2.0 && (query.expected - query.done) as f64 <= spare;
        let free = (last || self.tokens >= 1.0)
            && self.lacking.is_empty()
            && self.budget_left(BUDGET_KEPT);
        if !(rescue || free && self.now >= waits[0]) {
            let next = waits.into_iter().filter(|at| *at > self.now).min();
            next.into_iter()
                .for_each(|at| self.timers.set(at, Timer::Copy(id)));
            return;
        }
        if let Some(target) = self.other(id, class, shard, true)
            && self.send(id, target, out)
        {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
    }

    /// Whether the told budget has room for one more attempt after leaving `kept` of it.
    pub(super) fn budget_left(&self, kept: f64) -> bool {
        let Some(budget) = self.settings.budget else {
            return true;
        };
        let all = budget.free as f64 + budget.ratio * self.taken.len() as f64;
        self.extras.len() as f64 + 1.0 <= all * (1.0 - kept)
    }
}
