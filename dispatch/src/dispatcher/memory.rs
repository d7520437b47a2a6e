//! What outlives a restart: exports what was learned of servers and classes, and restores it.

use super::parameters::{FAILURE_SLOWNESS, MIN_CONCURRENCY};
use super::state::Server;
use super::{Aggregator, LatencyEstimate};
use crate::interface::{Learned, LearnedLatency, LearnedServer};

impl Aggregator {
    /// What was learned of classes, and of at most `most` servers whose outcomes were recorded
    /// since this last returned them. Changes are tracked from the first call on.
    pub fn learned(&mut self, most: usize) -> Learned {
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
        let servers = (0..most)
            .map_while(|_| changed_servers.pop_first())
            .filter_map(server)
            .collect();
        self.changed_servers = Some(changed_servers);
        let part_latency = |p: &LatencyEstimate| LearnedLatency {
            median: p.median,
            p95: p.p95,
            least: p.least,
            answers: p.recent.len(),
        };
        let [parts, attempts] = [&self.part_latency, &self.attempt_latency]
            .map(|all| all.iter().map(part_latency).collect());
        Learned {
            servers,
            parts,
            attempts,
        }
    }

    /// Takes over what an earlier incarnation of this process had learned, as a warning only: no
    /// server is taken for better than a new one. It counts as recorded one latency target ago, so
    /// that the first answers that say otherwise have double weight.
    pub(super) fn restore(&mut self, learned: &Learned) {
        let at = self.now.saturating_sub(self.latency_target);
        for (id, memory) in &learned.servers {
            let Some(server) = self.servers.get_mut(id).filter(|s| s.outcomes == 0.0) else {
                continue;
            };
            for (own, slowness) in server.slowness.iter_mut().zip(&memory.slowness) {
                *own = (slowness.clamp(1.0, FAILURE_SLOWNESS), at);
            }
            server.limit = memory.limit.clamp(MIN_CONCURRENCY, server.limit);
            server.delay = memory.delay.clamp(0.0, 1.0);
            (server.errors, server.last_error) = (memory.errors.clamp(0.0, 1.0), at);
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
