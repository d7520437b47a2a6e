//! The endpoint list and the settings: what changes when discovery or an operator says so.

use super::Aggregator;
use super::parameters::{DISCOVERY_BACKOFF_MAX, DISCOVERY_BACKOFF_MIN, INITIAL_CONCURRENCY};
use super::state::{DiscoveryFailures, Server, Timer};
use crate::interface::{Endpoint, ListKind, ServerId, ServerStatus, Settings};
use std::collections::BTreeSet;

impl Aggregator {
    /// Sets the timer for the next discovery call, with exponential backoff and jitter.
    pub(super) fn discovery_failed(&mut self, refused: bool) {
        // All aggregators fail together and would retry together: the more there are, the more
        // they spread.
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
        let (first, most) = if self.ready > 0 {
            let first = DISCOVERY_BACKOFF_MIN << size.saturating_sub(4).min(spread);
            (first, DISCOVERY_BACKOFF_MAX)
        } else {
            (max_age >> 4, max_age)
        };
        let wait = (first << retries.min(size)).min(most);
        let jitter = self.rng.u64(..1 + wait);
        let at = self.now.saturating_add(wait).saturating_add(jitter);
        self.timers.set(at, Timer::Watch);
    }

    /// Takes other settings: each class goes on from one of before, or starts anew.
    pub(super) fn update_settings(&mut self, settings: &Settings, from: &[Option<usize>]) {
        fn carry<T: Clone>(old: &mut Vec<T>, new: Vec<T>, from: &[Option<usize>]) {
            let kept = |(new, from): (T, &Option<usize>)| from.map_or(new, |at| old[at].clone());
            *old = new.into_iter().zip(from).map(kept).collect();
        }
        let new = Aggregator::new(settings.clone(), 0);
        carry(&mut self.part_latency, new.part_latency, from);
        carry(&mut self.attempt_latency, new.attempt_latency, from);
        carry(&mut self.usual_timeouts, new.usual_timeouts, from);
        carry(&mut self.median_slowness, new.median_slowness, from);
        self.servers
            .values_mut()
            .for_each(|s| carry(&mut s.slowness, vec![(1.0, 0); from.len()], from));
        (self.latency_target, self.settings) = (new.latency_target, new.settings);
    }

    /// Takes an update of the endpoint list and rebuilds the index of ready servers by cell.
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
            // A new incarnation begins with slow start, whatever was known of the one before; so
            // does a server that an operator includes again.
            let back = std::mem::replace(&mut server.excluded, e.excluded) && !e.excluded;
            if back
                || e.started_at > 0
                    && server
                        .slow_start_from
                        .is_none_or(|from| e.started_at > from)
            {
                server.limit = INITIAL_CONCURRENCY / 2.0;
                server.slowness.fill((1.0, 0));
                (server.errors, server.outcomes) = (0.0, 0.0);
                server.slow_start_from = Some(if back { self.now } else { e.started_at });
                server.recent_sends.retain(|at| *at >= e.started_at);
                server.slow_start_turn = self.rng.f64();
            }
        }
        // Servers are replaced under new ids for as long as the aggregator runs.
        self.servers
            .retain(|_, s| !s.removed || !s.calls.is_empty());
        self.ready = self.servers.values().filter(|s| s.ready).count();
        self.holders = vec![Vec::new(); self.settings.cells as usize];
        for (&id, server) in self.servers.iter().filter(|s| s.1.ready) {
            self.holders[server.cell as usize].push(id);
        }
    }
}
