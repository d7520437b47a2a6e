//! Decides which pending parts are sent now: orders the queries, starts queries as a whole, and
//! sends canary requests ahead of queries that might crash servers (see "The Tail at Scale").

use super::Aggregator;
use super::parameters::{
    CANARY_TRUST_MEDIANS, CLEARLY_FASTER_RATIO, COMMON_FAULT_RATIO, WIDE_QUERY_RATIO,
};
use super::state::{PendingPart, Query, Timer};
use crate::interface::{Action, PartId, ServerId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Whether a query is trusted not to crash servers.
struct CanaryStatus {
    /// The ratio of the ready servers that the query reaches.
    reach: f64,
    /// Time after which a canary that is still in flight is trusted.
    trust_after: Time,
    /// Whether a canary is in flight at a server that is not unresponsive.
    is_in_flight: bool,
    /// Whether the query is assumed not to crash servers.
    is_trusted: bool,
}

impl Aggregator {
    /// Starts attempts for pending parts while servers have capacity.
    pub(super) fn start_pending(&mut self, out: &mut Vec<Action>) {
        let mut order: Vec<(bool, bool, Time, u64)> = Vec::new();
        for (&number, query) in &self.queries {
            if !self.is_late(query) && self.parts_of(query).any(|p| p.1.pending) {
                // Queries that can be answered from fewer parts come last, except in their second
                // step.
                let comes_last =
                    !self.settings.classes[query.class].needs_all() && !query.in_second_step;
                order.push((comes_last, !query.started, query.useful_until, number));
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

    /// Starts the pending parts of a query. Returns false if servers lack the capacity for one.
    fn start_parts(&mut self, number: u64, out: &mut Vec<Action>) -> bool {
        let query = &self.queries[&number];
        let class = query.class;
        let canary = self.canary_status(query);
        if !canary.is_trusted && (canary.is_in_flight || self.now < query.probe_until) {
            return true;
        }
        let needs_canary = self.needs_canary(query, &canary);
        let starts_whole = !query.started && self.settings.classes[class].needs_all();
        let mut pending = self.pending_parts(query);
        let row = if query.started {
            BTreeMap::new()
        } else {
            self.least_loaded_row(class, &pending)
        };
        // A query that needs every part starts only when each has a server with capacity. If it
        // were started in part, it would occupy servers that other queries could use.
        let mut off_row = pending.iter().filter(|p| !row.contains_key(&p.id));
        if starts_whole
            && off_row.any(|p| self.select_replica(p.id, class, p.shard, false).is_none())
        {
            return false;
        }
        if needs_canary {
            // Shards whose replicas are all outliers are avoided, as a canary proves nothing there.
            let has_healthy_replica = |p: &PendingPart| {
                self.replicas(p.shard)
                    .iter()
                    .any(|s| !self.is_outlier(&self.servers[s], class))
            };
            let canary_at = pending.iter().position(has_healthy_replica).unwrap_or(0);
            pending = vec![pending[canary_at]];
            let trusted_at = self.now + canary.trust_after;
            self.timers.set(trusted_at, Timer::Wake);
            let query = self.queries.get_mut(&number).expect("looked up above");
            query.canary = Some(pending[0].id);
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

    /// The pending parts of a query in order of decreasing weight.
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

    /// The canary status of a query. A query that crashes servers does so when a part begins, so a
    /// canary that is still in flight after a while shows that the query is safe.
    fn canary_status(&self, query: &Query) -> CanaryStatus {
        let max_servers = if self.settings.call_parts > 1 {
            self.settings.cells as usize
        } else {
            usize::MAX
        };
        let reach = query.parts.len().min(max_servers) as f64 / self.ready_count.max(1) as f64;
        let trust_after =
            (CANARY_TRUST_MEDIANS * reach * self.part_latency[query.class].median) as Time;
        let is_calm = self.now >= self.suspect_until && reach <= COMMON_FAULT_RATIO;
        // A canary proves nothing once its server is unresponsive.
        let is_responsive = |part: &PartId| {
            self.attempts_in_flight
                .range((*part, 0)..=(*part, u32::MAX))
                .any(|(_, a)| !self.is_unresponsive(a.server, a.at, a.class))
        };
        let canary = query
            .canary
            .filter(is_responsive)
            .and_then(|part| self.parts.get(&part));
        let sent_at = canary.and_then(|part| part.first_sent).unwrap_or(self.now);
        CanaryStatus {
            reach,
            trust_after,
            is_in_flight: canary.is_some(),
            is_trusted: query.done > 0
                || query.in_second_step
                || is_calm && sent_at + trust_after <= self.now,
        }
    }

    /// Whether a query sends a canary first. With a short time budget there is no time to wait for
    /// one, so only very wide queries do, or all while servers crash.
    fn needs_canary(&self, query: &Query, canary: &CanaryStatus) -> bool {
        let class = &self.settings.classes[query.class];
        let max_reach = if query.time_budget < class.latency_target {
            COMMON_FAULT_RATIO
        } else {
            WIDE_QUERY_RATIO
        };
        let is_wide = query.parts.len() > self.settings.replication_factor as usize
            && canary.reach > max_reach;
        !query.started && !canary.is_trusted && (is_wide || self.now < self.suspect_until)
    }

    /// The server that a pending part is sent to: the one whose idle connection was reset, else the
    /// one in its row, else any replica.
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
        // A part leaves its row for a replica that is clearly faster and has no more calls in
        // flight.
        if resend_to.is_none()
            && self.settings.replication_factor > 1
            && let (Some(current), Some(other)) =
                (target, self.select_replica(id, class, shard, false))
            && self.servers[&other].calls.len() <= self.servers[&current].calls.len()
            && self.expected_time(current, class, shard)
                > CLEARLY_FASTER_RATIO * self.expected_time(other, class, shard)
        {
            return Some(other);
        }
        target
    }
}
