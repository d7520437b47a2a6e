//! Which queries are taken, and which are refused or given up as they would come too late.

use super::*;

impl Aggregator {
    pub(super) fn admit(&mut self, event: &Event) {
        let Event::Query {
            id,
            number,
            class,
            parts,
            patience,
            repeat,
        } = *event
        else {
            return;
        };
        self.taken.push_back(self.now);
        let c = &self.settings.classes[class];
        // The aim runs from the first try. A try of no usual patience ends with its client's
        // deadline.
        let usual = &mut self.usual[class];
        if !repeat {
            usual.push_front(patience);
            usual.truncate(WINDOW / 2);
        }
        let like = usual
            .iter()
            .filter(|u| u.abs_diff(patience) <= patience / 64)
            .count();
        let left = c.deadline.saturating_sub(patience);
        let again = Time::from(repeat || !self.settings.repeats_marked);
        let age = if like * 16 >= usual.len() {
            left / 2 * Time::from(repeat)
        } else {
            left * again
        };
        let wanted = patience.min(c.aim.saturating_sub(age));
        let useful = self.now + wanted.saturating_sub(2 * self.settings.tick);
        let time = if repeat || age > 0 { c.aim } else { wanted };
        let query = Query {
            id,
            class,
            time,
            expected: parts as usize,
            useful,
            ..Query::default()
        };
        self.timers.set(useful, Timer::End(number));
        if c.floor < c.need && c.second_step > 0 {
            // A class with partial answers keeps time for its second step.
            let kept = (1.2 * self.pace[class].p95).clamp(0.2 * c.aim as f64, 0.6 * c.aim as f64);
            self.timers
                .set(useful.saturating_sub(kept as Time), Timer::Cut(number));
        }
        self.queries.insert(number, query);
    }

    /// Whether a shard of a query lately took too much of the time that it has left, even at its
    /// best holder.
    pub(super) fn hot(&self, query: &Query) -> bool {
        let left = HOT_SHARE * query.useful.saturating_sub(self.now) as f64;
        let left = left.max(2.0 * self.pace[query.class].median);
        let best = |(_, p): (PartId, &Part)| {
            let all = self.replicas(p.shard).into_iter();
            all.map(|id| self.expected(id, query.class, p.shard))
                .reduce(f64::min)
                .unwrap_or(0.0)
        };
        let thin = self.answers.len() < self.ready;
        thin && !query.started && self.parts_of(query).any(|part| best(part) > left)
    }

    /// Whether a query that needs every part is too late for its slowest part or, once started, a
    /// usual one.
    pub(super) fn late(&self, query: &Query) -> bool {
        let (c, pace) = (&self.settings.classes[query.class], &self.pace[query.class]);
        let needed = if query.started {
            pace.median
        } else {
            pace.p95.min(START_BY * query.time as f64)
        };
        c.needs_all() && (self.now as f64 + needed > query.useful as f64 || self.hot(query))
    }

    /// Ends what can no longer be answered in time, and refuses what would only wait.
    pub(super) fn shed(&mut self, out: &mut Vec<Action>) {
        let (mut lost, mut fresh, mut held) = (Vec::new(), Vec::new(), 0.0);
        for (&number, query) in &self.queries {
            let c = &self.settings.classes[query.class];
            let waiting = self.parts_of(query).filter(|p| p.1.held).count();
            let stuck = |p: &Part| !p.done && !p.held && p.live.is_empty(); // It may not be sent again
            let over = c.needs_all() && self.parts_of(query).any(|p| stuck(p.1));
            if over || waiting > 0 && self.late(query) {
                lost.push(number);
            } else if self.lacking.contains(&number) {
                // Of a partial class only the floor must be sent.
                let must = waiting as f64 * c.floor;
                held += must;
                let work = query.parts.len() as f64 * self.pace[query.class].median;
                if waiting > 0 && !query.started {
                    fresh.push((c.worth / work, number, must));
                }
            }
        }
        lost.into_iter()
            .for_each(|number| self.give_up(number, out));
        let warm = self.started.is_some_and(|at| at + self.aim < self.now);
        fresh.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        for (_, number, must) in fresh {
            // A query that waits alone is never too much.
            if !warm || held - must <= HELD_SHARE * self.answers.len() as f64 {
                break;
            }
            held -= must;
            self.give_up(number, out);
        }
    }
}
