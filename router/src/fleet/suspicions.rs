//! Suspected backends: routers report failed requests to the replica node that evaluates the
//! backend, and that node publishes its suspicions.

use super::Fleet;
use crate::clock;
use crate::protocol::Request;
use crate::rendezvous;
use crate::sync::lock;
use compact_str::CompactString;
use control::directory::{Key, MemberStatus, Suspicion, Value};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

impl Fleet {
    /// Reports failures that this router observed to the nodes that evaluate the backends.
    pub fn report_failures(&self, failures: &BTreeMap<CompactString, u32>) {
        let mut by_evaluator: BTreeMap<SocketAddrV4, Vec<(CompactString, u32)>> = BTreeMap::new();
        for (backend, count) in failures {
            if let Some(evaluator) = self.evaluator(backend) {
                by_evaluator
                    .entry(evaluator)
                    .or_default()
                    .push((backend.clone(), *count));
            }
        }
        let reporter = &self.settings.node_name;
        for (evaluator, failures) in by_evaluator {
            if evaluator == self.settings.internal_address() {
                self.record_failures(reporter, &failures);
            } else {
                self.links.send(
                    evaluator,
                    Request::Failures {
                        reporter: reporter.clone(),
                        failures,
                    },
                );
            }
        }
    }

    /// The node that evaluates a backend's failures, chosen by rendezvous hashing from the replica
    /// nodes that are up.
    fn evaluator(&self, backend: &str) -> Option<SocketAddrV4> {
        let directory = lock(&self.directory);
        let candidates = directory
            .members()
            .filter(|(_, member)| member.replica.is_some() && member.status == MemberStatus::Up);
        candidates
            .max_by_key(|(name, _)| rendezvous::score(&(backend, name.as_str())))
            .map(|(_, member)| member.internal)
    }

    /// Records failures that a router observed, and publishes new suspicions.
    pub fn record_failures(&self, reporter: &CompactString, failures: &[(CompactString, u32)]) {
        let now = clock::now();
        for (backend, count) in failures {
            let suspected =
                lock(&self.outlier_detector).record_failures(backend, reporter, *count, now);
            if let Some(lasts_ms) = suspected {
                self.suspect(backend, lasts_ms);
            }
        }
        lock(&self.outlier_detector).prune(now);
    }

    fn suspect(&self, backend: &CompactString, lasts_ms: u64) {
        let current = lock(&self.directory).suspicion(backend);
        let number = current.map_or(1, |current| current.number + 1);
        log::info!(
            "backend {backend} is suspected for {lasts_ms} ms: several routers reported failed requests"
        );
        self.put(
            Key::Suspicion(backend.clone()),
            Value::Suspicion(Suspicion { number, lasts_ms }),
        );
    }
}
