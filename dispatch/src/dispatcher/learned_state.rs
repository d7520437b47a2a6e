//! Exports the learned statistics of servers and classes, and restores them after a restart.

use super::parameters::{FAILURE_SLOWNESS, MIN_CONCURRENCY};
use super::state::Server;
use super::{Aggregator, LatencyEstimate};
use crate::interface::{Learned, LearnedLatency, LearnedServer};

impl Aggregator {
    /// Returns the statistics of all classes, and of at most `max_servers` servers with outcomes
    /// that no earlier call has returned. Changes are tracked from the first call on.
    pub fn learned(&mut self, max_servers: usize) -> Learned {
        let server = |id| {
            let s: &Server = self.servers.get(&id)?;
            let slowness = s.slowness.iter().map(|s| s.0).collect();
            let (delay, limit, errors) = (s.delay, s.limit, s.errors);
            Some((
                id,
                LearnedServer {
                    slowness,
                    delay,
                    limit,
                    errors,
                    answers: s.outcomes,
                },
            ))
        };
        let mut changed_servers = self.changed_servers.take().unwrap_or_default();
        let servers = (0..max_servers)
            .map_while(|_| changed_servers.pop_first())
            .filter_map(server)
            .collect();
        self.changed_servers = Some(changed_servers);
        let to_learned = |estimate: &LatencyEstimate| LearnedLatency {
            median: estimate.median,
            p95: estimate.p95,
            least: estimate.least,
            answers: estimate.recent.len(),
        };
        let [parts, attempts] = [&self.part_latency, &self.attempt_latency]
            .map(|estimates| estimates.iter().map(to_learned).collect());
        Learned {
            servers,
            parts,
            attempts,
        }
    }

    /// Restores the statistics that an earlier incarnation of this process had learned. They can
    /// only make a server look worse than an unknown one, never better. They are dated one latency
    /// target back, so that the first new outcomes have double weight.
    pub(super) fn restore(&mut self, learned: &Learned) {
        let at = self.now.saturating_sub(self.latency_target);
        for (id, stored) in &learned.servers {
            let Some(server) = self.servers.get_mut(id).filter(|s| s.outcomes == 0.0) else {
                continue;
            };
            for (own, slowness) in server.slowness.iter_mut().zip(&stored.slowness) {
                *own = (slowness.clamp(1.0, FAILURE_SLOWNESS), at);
            }
            server.limit = stored.limit.clamp(MIN_CONCURRENCY, server.limit);
            server.delay = stored.delay.clamp(0.0, 1.0);
            (server.errors, server.last_error) = (stored.errors.clamp(0.0, 1.0), at);
        }
        for (own, stored) in [
            (&mut self.part_latency, &learned.parts),
            (&mut self.attempt_latency, &learned.attempts),
        ] {
            let new = own
                .iter_mut()
                .zip(stored)
                .filter(|(own, stored)| own.recent.is_empty() && stored.answers > 0);
            for (own, stored) in new {
                (own.median, own.p95, own.least) = (
                    stored.median.max(1.0),
                    stored.p95.max(1.0),
                    stored.least.max(1.0),
                );
            }
        }
    }
}
