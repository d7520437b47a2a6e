//! Which pending parts are sent now: the order of queries, queries that start as a whole, and
//! scouts sent ahead of queries that might crash servers.

use super::Aggregator;
use super::parameters::{
    CLEARLY_FASTER_RATIO, COMMON_FAULT_RATIO, SCOUT_TRUST_MEDIANS, WIDE_QUERY_RATIO,
};
use super::state::{PendingPart, Query, Timer};
use crate::interface::{Action, PartId, ServerId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of whether a query crashes servers.
struct Scouting {
    /// The ratio of the ready servers that the query reaches.
    reach: f64,
    /// How long a scout must survive to be trusted.
    trust_after: Time,
    /// A scout is in flight at a server that still responds.
    is_in_flight: bool,
    /// The query does not crash servers, as far as can be told.
    is_proved: bool,
}

impl Aggregator {
    /// Starts attempts for pending parts, as far as servers have capacity.
    pub(super) fn start_pending(&mut self, out: &mut Vec<Action>) {
        let mut order: Vec<(bool, bool, Time, u64)> = Vec::new();
        for (&number, query) in &self.queries {
            if !self.is_late(query) && self.parts_of(query).any(|p| p.1.pending) {
                // What can be answered from fewer parts yields until its last step.
                let yields =
                    !self.settings.classes[query.class].needs_all() && !query.in_second_step;
                order.push((yields, !query.started, query.useful_until, number));
            }
        }
        order.sort_unstable();
        let mut blocked = BTreeSet::new();
        for (_, _, _, number) in order {
            if !self.start_parts(number, out) {
                blocked.insert(number);
            }
        }
        self.blocked = blocked;
    }

    /// Starts the pending parts of a query. Returns false where servers lack the capacity for one.
    fn start_parts(&mut self, number: u64, out: &mut Vec<Action>) -> bool {
        let query = &self.queries[&number];
        let class = query.class;
        let scouting = self.scouting(query);
        if !scouting.is_proved && (scouting.is_in_flight || self.now < query.probe_until) {
            return true;
        }
        let needs_scout = self.needs_scout(query, &scouting);
        let starts_whole = !query.started && self.settings.classes[class].needs_all();
        let mut pending = self.pending_parts(query);
        let row = if query.started {
            BTreeMap::new()
        } else {
            self.least_loaded_row(class, &pending)
        };
        // A query that needs every part starts only when each has a server with capacity: half
        // done, it would hold servers that others could use.
        let mut off_row = pending.iter().filter(|p| !row.contains_key(&p.id));
        if starts_whole
            && off_row.any(|p| self.select_replica(p.id, class, p.shard, false).is_none())
        {
            return false;
        }
        if needs_scout {
            // At a server that is unresponsive or an outlier it would prove nothing.
            let has_sound_replica = |p: &PendingPart| {
                self.replicas(p.shard)
                    .iter()
                    .any(|s| !self.is_outlier(&self.servers[s], class))
            };
            let scout = pending.iter().position(has_sound_replica).unwrap_or(0);
            pending = vec![pending[scout]];
            let trusted_at = self.now + scouting.trust_after;
            self.timers.set(trusted_at, Timer::Wake);
            let query = self.queries.get_mut(&number).expect("looked up above");
            query.scout = Some(pending[0].id);
        }
        let mut all_started = true;
        for part in pending {
            match self.target(part, class, row.get(&part.id).copied()) {
                Some(target) => {
                    self.start_attempt(part.id, target, out);
                }
                None => all_started = false,
            }
        }
        all_started
    }

    /// The pending parts of a query, those of most weight first.
    fn pending_parts(&self, query: &Query) -> Vec<PendingPart> {
        let parts = self.parts_of(query).filter(|p| p.1.pending);
        let mut pending: Vec<_> = parts
            .map(|(id, part)| PendingPart {
                id,
                shard: part.shard,
                weight: part.weight,
            })
            .collect();
        pending.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id)));
        pending
    }

    /// Whether a query that crashes servers does so as a part begins: a scout that stays alive
    /// proves the query harmless. A query with a short time budget cannot wait for one.
    fn scouting(&self, query: &Query) -> Scouting {
        let calls = if self.settings.call_parts > 1 {
            self.settings.cells as usize
        } else {
            usize::MAX
        };
        let reach = query.parts.len().min(calls) as f64 / self.ready.max(1) as f64;
        let trust_after =
            (SCOUT_TRUST_MEDIANS * reach * self.part_latency[query.class].median) as Time;
        let is_calm = self.now >= self.suspect_until && reach <= COMMON_FAULT_RATIO;
        // A scout whose server has become unresponsive proves nothing any more.
        let is_sound = |part: &PartId| {
            self.attempts_in_flight
                .range((*part, 0)..=(*part, u32::MAX))
                .any(|(_, a)| !self.is_unresponsive(a.server, a.at, a.class))
        };
        let scout = query
            .scout
            .filter(is_sound)
            .and_then(|part| self.parts.get(&part));
        let since = scout.and_then(|part| part.first_sent).unwrap_or(self.now);
        Scouting {
            reach,
            trust_after,
            is_in_flight: scout.is_some(),
            is_proved: query.done > 0
                || query.in_second_step
                || is_calm && since + trust_after <= self.now,
        }
    }

    fn needs_scout(&self, query: &Query, scouting: &Scouting) -> bool {
        let class = &self.settings.classes[query.class];
        let most = if query.time_budget < class.latency_target {
            COMMON_FAULT_RATIO
        } else {
            WIDE_QUERY_RATIO
        };
        let is_wide =
            query.parts.len() > self.settings.replication_factor as usize && scouting.reach > most;
        !query.started && !scouting.is_proved && (is_wide || self.now < self.suspect_until)
    }

    /// The server that a pending part is sent to: where its idle connection broke, else in its row,
    /// else any replica.
    fn target(
        &mut self,
        part: PendingPart,
        class: usize,
        in_row: Option<ServerId>,
    ) -> Option<ServerId> {
        let PendingPart { id, shard, .. } = part;
        let resend_to = self.parts[&id]
            .resend_to
            .filter(|s| self.has_capacity(*s, class));
        let preferred = resend_to
            .or(in_row)
            .filter(|s| self.has_capacity(*s, class));
        let target = preferred.or_else(|| self.select_replica(id, class, shard, false));
        // A part leaves its row for a replica with no more calls in flight that is clearly faster.
        if resend_to.is_none()
            && self.settings.replication_factor > 1
            && let (Some(here), Some(there)) =
                (target, self.select_replica(id, class, shard, false))
            && self.servers[&there].calls.len() <= self.servers[&here].calls.len()
            && self.expected_time(here, class, shard)
                > CLEARLY_FASTER_RATIO * self.expected_time(there, class, shard)
        {
            return Some(there);
        }
        target
    }
}
