//! Which replica a part is sent to.

use super::Aggregator;
use super::parameters::{CLEARLY_FASTER_RATIO, MIN_CONCURRENCY, SOLE_REPLICA_RETRY_RATIO};
use super::state::{PendingPart, Server};
use crate::interface::{PartId, ServerId};
use std::collections::BTreeMap;

impl Aggregator {
    /// Whether a server may be sent one more part of a class now.
    pub(super) fn has_capacity(&self, id: ServerId, class: usize) -> bool {
        let Some(server) = self.servers.get(&id) else {
            return false;
        };
        let joins = server.calls.can_join(self.now, self.settings.call_parts);
        server.ready
            && !self.is_outlier(server, class)
            && !self.is_failing(server, 1.0)
            && (joins || server.calls.len() as f64 + 1.0 <= server.limit)
            && self.slow_start_allows(server)
    }

    /// The server with the fewest calls in flight, then the one expected to be fastest; ties are
    /// broken at random, so that aggregators do not all pick the same one.
    pub(super) fn least_loaded(
        &mut self,
        ids: &[ServerId],
        class: usize,
        shard: u32,
    ) -> Option<ServerId> {
        let fewest = ids.iter().map(|id| self.servers[id].calls.len()).min()?;
        let alike = ids
            .iter()
            .filter(|id| self.servers[*id].calls.len() == fewest);
        let times: Vec<_> = alike
            .map(|id| (self.expected_time(*id, class, shard), *id))
            .collect();
        let quickest = times.iter().map(|t| t.0).fold(f64::MAX, f64::min);
        let ties: Vec<_> = times
            .iter()
            .filter(|t| t.0 <= CLEARLY_FASTER_RATIO * quickest)
            .collect();
        Some(ties[self.rng.usize(0..ties.len())].1)
    }

    /// The least-loaded row of servers. A row holds for each part the replica at one offset of the
    /// placement rule, so that the parts of a query share as few calls as possible.
    pub(super) fn least_loaded_row(
        &mut self,
        class: usize,
        pending: &[PendingPart],
    ) -> BTreeMap<PartId, ServerId> {
        let mut best = None;
        for offset in 0..self.settings.replication_factor {
            let (mut cells, mut row, mut load) = (BTreeMap::new(), BTreeMap::new(), 0);
            for &PendingPart { id, shard, .. } in pending {
                let cell = ((shard + offset) % self.settings.cells) as usize;
                if !cells.contains_key(&cell) || self.settings.call_parts == 1 {
                    let mut free = self.holders[cell].clone();
                    free.retain(|id| self.has_capacity(*id, class));
                    let chosen = self.least_loaded(&free, class, shard);
                    load += chosen.map_or(0, |id| self.servers[&id].calls.len());
                    cells.insert(cell, chosen);
                }
                row.extend(cells[&cell].map(|server| (id, server)));
            }
            let key = (pending.len() - row.len(), load, self.rng.u32(..));
            if best.as_ref().is_none_or(|(least, _)| key < *least) {
                best = Some((key, row));
            }
        }
        best.map(|b| b.1).unwrap_or_default()
    }

    /// The replica that a part is sent to outside the row, preferably one not attempted yet.
    /// Outliers are taken only while idle, and only when the shard has no other replica.
    pub(super) fn select_replica(
        &mut self,
        id: PartId,
        class: usize,
        shard: u32,
        is_hedge: bool,
    ) -> Option<ServerId> {
        let mut free = self.replicas(shard);
        let is_sole = free.len() == 1;
        let is_idle = |s: &Server| {
            let fits =
                s.calls.len() as f64 + 1.0 <= if is_sole { s.limit } else { MIN_CONCURRENCY };
            fits && (is_sole || !self.is_failing(s, SOLE_REPLICA_RETRY_RATIO))
                && self.slow_start_allows(s)
        };
        let none_has_capacity = !is_hedge && !free.iter().any(|id| self.has_capacity(*id, class));
        free.retain(|id| {
            if none_has_capacity {
                is_idle(&self.servers[id])
            } else {
                self.has_capacity(*id, class)
            }
        });
        let attempted = self.parts.get(&id).map_or(&[][..], |p| &p.attempted);
        let unattempted: Vec<_> = free
            .iter()
            .copied()
            .filter(|s| !attempted.contains(s))
            .collect();
        self.least_loaded(
            if is_hedge || !unattempted.is_empty() {
                &unattempted
            } else {
                &free
            },
            class,
            shard,
        )
    }
}
