//! Selects the replica that a part is sent to.

use super::Aggregator;
use super::parameters::{CLEARLY_FASTER_RATIO, LAST_RESORT_RETRY_RATIO, MIN_CONCURRENCY};
use super::state::{PendingPart, Server};
use crate::interface::{PartId, ServerId};
use std::collections::BTreeMap;

impl Aggregator {
    /// Whether a server may be sent another part of a class now.
    pub(super) fn has_capacity(&self, id: ServerId, class: usize) -> bool {
        let Some(server) = self.servers.get(&id) else {
            return false;
        };
        let can_join = server.calls.can_join(self.now, self.settings.call_parts);
        server.ready
            && !self.is_outlier(server, class)
            && !self.is_failing(server, 1.0)
            && (can_join || server.calls.len() as f64 + 1.0 <= server.limit)
            && self.slow_start_allows(server)
    }

    /// Among the servers with the fewest calls in flight, the one expected to be fastest. Ties are
    /// broken at random, so that aggregators do not all pick the same one.
    pub(super) fn least_loaded(
        &mut self,
        ids: &[ServerId],
        class: usize,
        shard: u32,
    ) -> Option<ServerId> {
        let fewest = ids.iter().map(|id| self.servers[id].calls.len()).min()?;
        let least_busy = ids
            .iter()
            .filter(|id| self.servers[*id].calls.len() == fewest);
        let times: Vec<_> = least_busy
            .map(|id| (self.expected_time(*id, class, shard), *id))
            .collect();
        let shortest = times.iter().map(|t| t.0).fold(f64::MAX, f64::min);
        let ties: Vec<_> = times
            .iter()
            .filter(|t| t.0 <= CLEARLY_FASTER_RATIO * shortest)
            .collect();
        Some(ties[self.rng.usize(0..ties.len())].1)
    }

    /// The least-loaded row of servers. A row assigns each part to the replica at the same offset
    /// from the first cell of its shard, so that the parts of a query share as few calls as
    /// possible.
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
                    let mut available = self.ready_by_cell[cell].clone();
                    available.retain(|id| self.has_capacity(*id, class));
                    let chosen = self.least_loaded(&available, class, shard);
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

    /// The replica that a part is sent to outside the row, preferably one that has not been
    /// attempted yet (a hedge uses no other). If no replica has capacity, outliers and failing
    /// servers may be used while they are idle; a sole replica may be used up to its limit.
    pub(super) fn select_replica(
        &mut self,
        id: PartId,
        class: usize,
        shard: u32,
        is_hedge: bool,
    ) -> Option<ServerId> {
        let mut available = self.replicas(shard);
        let is_sole = available.len() == 1;
        let may_use_anyway = |s: &Server| {
            let fits =
                s.calls.len() as f64 + 1.0 <= if is_sole { s.limit } else { MIN_CONCURRENCY };
            fits && (is_sole || !self.is_failing(s, LAST_RESORT_RETRY_RATIO))
                && self.slow_start_allows(s)
        };
        let none_has_capacity =
            !is_hedge && !available.iter().any(|id| self.has_capacity(*id, class));
        available.retain(|id| {
            if none_has_capacity {
                may_use_anyway(&self.servers[id])
            } else {
                self.has_capacity(*id, class)
            }
        });
        let attempted = self.parts.get(&id).map_or(&[][..], |p| &p.attempted);
        let unattempted: Vec<_> = available
            .iter()
            .copied()
            .filter(|s| !attempted.contains(s))
            .collect();
        self.least_loaded(
            if is_hedge || !unattempted.is_empty() {
                &unattempted
            } else {
                &available
            },
            class,
            shard,
        )
    }
}
