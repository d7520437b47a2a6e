//! Updates of the endpoint list and of the settings.

use super::Aggregator;
use super::parameters::{DISCOVERY_BACKOFF_MAX, DISCOVERY_BACKOFF_MIN, INITIAL_CONCURRENCY};
use super::state::{DiscoveryFailures, Server, Timer};
use crate::interface::{Endpoint, ListKind, ServerId, ServerStatus, Settings};
use std::collections::BTreeSet;

impl Aggregator {
    /// Schedules the next discovery call, with exponential backoff and jitter.
    pub(super) fn discovery_failed(&mut self, refused: bool) {
        // An outage hits all aggregators at once. Larger fleets spread their retries over a longer
        // time.
        let max_age = self.settings.max_list_age;
        let size = self.settings.aggregators.max(1).ilog2();
        let failures = &mut self.discovery_failures;
        let (spread, retries) = if refused {
            (2, failures.refused)
        } else {
            (1, failures.unanswered.saturating_sub(1))
        };
        *failures = if refused {
            DiscoveryFailures {
                unanswered: 0,
                refused: failures.refused + 1,
            }
        } else {
            DiscoveryFailures {
                unanswered: failures.unanswered + 1,
                refused: 0,
            }
        };
        let (first, max_wait) = if self.ready_count > 0 {
            let first = DISCOVERY_BACKOFF_MIN << size.saturating_sub(4).min(spread);
            (first, DISCOVERY_BACKOFF_MAX)
        } else {
            (max_age >> 4, max_age)
        };
        let wait = (first << retries.min(size)).min(max_wait);
        let jitter = self.rng.u64(..1 + wait);
        let at = self.now.saturating_add(wait).saturating_add(jitter);
        self.timers.set(at, Timer::Watch);
    }

    /// Replaces the settings. `from` names for each class the old class whose estimates it keeps;
    /// `None` resets them.
    pub(super) fn update_settings(&mut self, settings: &Settings, from: &[Option<usize>]) {
        fn remap<T: Clone>(old: &mut Vec<T>, new: Vec<T>, from: &[Option<usize>]) {
            let old_or_new =
                |(new, from): (T, &Option<usize>)| from.map_or(new, |at| old[at].clone());
            *old = new.into_iter().zip(from).map(old_or_new).collect();
        }
        let new = Aggregator::new(settings.clone(), 0);
        remap(&mut self.part_latency, new.part_latency, from);
        remap(&mut self.attempt_latency, new.attempt_latency, from);
        remap(&mut self.recent_timeouts, new.recent_timeouts, from);
        remap(&mut self.median_slowness, new.median_slowness, from);
        self.servers
            .values_mut()
            .for_each(|s| remap(&mut s.slowness, vec![(1.0, 0); from.len()], from));
        (self.latency_target, self.settings) = (new.latency_target, new.settings);
    }

    /// Applies an update of the endpoint list and rebuilds the index of ready servers by cell.
    pub(super) fn update_endpoints(&mut self, kind: ListKind, entries: &[Endpoint]) {
        self.discovery_failures = DiscoveryFailures::default();
        if kind != ListKind::Partial {
            let listed: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (id, server) in &mut self.servers {
                server.removed |= !listed.contains(id);
                server.ready &= !server.removed;
            }
        }
        for e in entries {
            let slowness = vec![(1.0, 0); self.settings.classes.len()];
            let new = Server {
                limit: INITIAL_CONCURRENCY,
                slowness,
                ..Server::default()
            };
            let server = self.servers.entry(e.server).or_insert(new);
            server.cell = e.cell % self.settings.cells;
            server.ready = e.status == ServerStatus::Ready && !e.excluded;
            server.removed = e.status == ServerStatus::Removed;
            // A restarted server begins with slow start, without the statistics of its previous
            // incarnation. So does a server that an operator includes again.
            let is_reincluded = std::mem::replace(&mut server.excluded, e.excluded) && !e.excluded;
            if is_reincluded
                || e.started_at > 0
                    && server
                        .slow_start_from
                        .is_none_or(|from| e.started_at > from)
            {
                server.limit = INITIAL_CONCURRENCY / 2.0;
                server.slowness.fill((1.0, 0));
                (server.errors, server.outcomes) = (0.0, 0.0);
                server.slow_start_from = Some(if is_reincluded {
                    self.now
                } else {
                    e.started_at
                });
                server.recent_sends.retain(|at| *at >= e.started_at);
                server.slow_start_phase = self.rng.f64();
            }
        }
        // Replacements of servers have new ids, so the map would grow for as long as the process
        // runs.
        self.servers
            .retain(|_, s| !s.removed || !s.calls.is_empty());
        self.ready_count = self.servers.values().filter(|s| s.ready).count();
        self.ready_by_cell = vec![Vec::new(); self.settings.cells as usize];
        for (&id, server) in self.servers.iter().filter(|s| s.1.ready) {
            self.ready_by_cell[server.cell as usize].push(id);
        }
    }
}
