//! Evidence against backends: told to the node with a replica that judges them, and published by
//! it.

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
    /// Tells the judges of these backends of faults that this router saw.
    pub fn report_faults(&self, faults: &BTreeMap<CompactString, u32>) {
        let mut by_judge: BTreeMap<SocketAddrV4, Vec<(CompactString, u32)>> = BTreeMap::new();
        for (backend, count) in faults {
            if let Some(judge) = self.judge_of(backend) {
                by_judge
                    .entry(judge)
                    .or_default()
                    .push((backend.clone(), *count));
            }
        }
        let reporter = &self.settings.node_name;
        for (judge, faults) in by_judge {
            if judge == self.settings.internal_address() {
                self.take_faults(reporter, &faults);
            } else {
                self.links.send(
                    judge,
                    Request::Faults {
                        reporter: reporter.clone(),
                        faults,
                    },
                );
            }
        }
    }

    /// The node that judges a backend: every router that knows the same members finds the same one.
    fn judge_of(&self, backend: &str) -> Option<SocketAddrV4> {
        let directory = lock(&self.directory);
        let judges = directory
            .members()
            .filter(|(_, member)| member.replica.is_some() && member.status == MemberStatus::Up);
        judges
            .max_by_key(|(name, _)| rendezvous::score(&(backend, name.as_str())))
            .map(|(_, member)| member.internal)
    }

    /// Takes faults that a router saw, and publishes which backends are suspected from now on.
    pub fn take_faults(&self, reporter: &CompactString, faults: &[(CompactString, u32)]) {
        let now = clock::now();
        for (backend, count) in faults {
            let suspected = lock(&self.evidence).record_failures(backend, reporter, *count, now);
            if let Some(lasts_ms) = suspected {
                self.suspect(backend, lasts_ms);
            }
        }
        lock(&self.evidence).prune(now);
    }

    fn suspect(&self, backend: &CompactString, lasts_ms: u64) {
        let held = lock(&self.directory).suspicion(backend);
        let number = held.map_or(1, |held| held.number + 1);
        log::info!(
            "backend {backend} is suspected for {lasts_ms} ms: several routers saw it fail requests"
        );
        self.put(
            Key::Suspicion(backend.clone()),
            Value::Suspicion(Suspicion { number, lasts_ms }),
        );
    }
}
