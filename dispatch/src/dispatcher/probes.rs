//! Load probes: measures how fast servers respond before a query is sent.

use super::Aggregator;
use super::parameters::{
    FAILURE_SLOWNESS, INITIAL_P95_RATIO, PROBE_TIMEOUT_TICKS, PROBE_VALIDITY_RATIO,
};
use super::state::{Query, Timer};
use crate::interface::{Action, Outcome, ServerId, Time};

impl Aggregator {
    /// Records the outcome and the latency of a probe. Its load report is ignored, as the server's
    /// answers say as much.
    pub(super) fn probe_ended(&mut self, id: ServerId, outcome: Outcome, took: Time) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        (server.probe_answered_at, server.probed_load) = (
            self.now,
            if outcome == Outcome::Ok {
                1.0
            } else {
                FAILURE_SLOWNESS
            },
        );
        server.probed_load += (took / (PROBE_TIMEOUT_TICKS * self.settings.tick).max(1)) as f64;
    }

    /// While recent answers are few and slow, probes two replicas of each shard (power of two
    /// choices), and lets the query wait some ticks for their answers. Nothing is probed if a probe
    /// costs more than wasted work: with many aggregators each of them always has few answers, and
    /// their probes would overload the servers.
    pub(super) fn send_probes(&mut self, out: &mut Vec<Action>) {
        let s = &self.settings;
        let is_slow = |q: &Query| {
            self.part_latency[q.class].p95
                > INITIAL_P95_RATIO * s.classes[q.class].latency_target as f64
        };
        let new = self
            .queries
            .iter()
            .filter(|q| q.1.probe_until == 0 && is_slow(q.1));
        let may_probe = s.can_probe
            && s.probe_price <= s.waste_price
            && self.recent_answers.len() < self.ready_count;
        let new: Vec<u64> = new.map(|q| *q.0).filter(|_| may_probe).collect();
        for number in new {
            let query = self.queries.get_mut(&number).expect("listed above");
            query.probe_until = self.now + PROBE_TIMEOUT_TICKS * self.settings.tick;
            self.timers.set(query.probe_until, Timer::Wake);
            let (class, parts) = (query.class, query.parts.clone());
            for shard in parts
                .iter()
                .filter_map(|p| self.parts.get(p))
                .map(|p| p.shard)
                .collect::<Vec<_>>()
            {
                let mut available = self.replicas(shard);
                available.retain(|id| self.has_capacity(*id, class));
                self.rng.shuffle(&mut available);
                for id in available.into_iter().take(2) {
                    let server = self.servers.get_mut(&id).expect("a replica is known");
                    if self.now
                        > server.probe_answered_at.max(server.probe_sent_at)
                            + (PROBE_VALIDITY_RATIO * self.latency_target as f64) as Time
                    {
                        server.probe_sent_at = self.now;
                        out.push(Action::Probe(id));
                    }
                }
            }
        }
    }
}
