//! The order in which a router that has no state yet asks for all of it.
//!
//! After a loss of power all routers start at once, and each needs the full state. If each asked
//! every seed, the seeds' links would be saturated by as many copies as there are seeds.

use std::collections::BTreeMap;
use std::future::Future;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::watch;

/// An upstream is asked once those before it have failed, or after this time for each of them.
const TURN: Duration = Duration::from_millis(200);

/// The turns of the upstreams of one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartTurns(BTreeMap<SocketAddrV4, u32>);

impl StartTurns {
    /// The turns at a node of this name. The order differs between nodes, so that no upstream is
    /// asked by all at once. A node that has state needs updates only, and asks all at once.
    pub fn new(
        node_name: &str,
        upstreams: impl Iterator<Item = SocketAddrV4>,
        has_state: bool,
    ) -> Self {
        if has_state {
            return StartTurns(BTreeMap::new());
        }
        let mut order: Vec<SocketAddrV4> = upstreams.collect();
        order.sort_by_key(|address| {
            let mut hasher = DefaultHasher::new();
            (node_name, address).hash(&mut hasher);
            hasher.finish()
        });
        StartTurns(order.into_iter().zip(0..).collect())
    }

    /// How many upstreams are asked before this one.
    pub fn position(&self, upstream: SocketAddrV4) -> u32 {
        self.0.get(&upstream).copied().unwrap_or(0)
    }

    /// Completes when it is the turn of an upstream. `failures` counts the failed pulls of all.
    pub fn wait(
        &self,
        upstream: SocketAddrV4,
        mut failures: watch::Receiver<u32>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let position = self.position(upstream);
        async move {
            let had_failed = *failures.borrow_and_update();
            let all_failed = failures.wait_for(|failed| *failed >= had_failed + position);
            // Either way this upstream is next.
            let _ = tokio::time::timeout(position * TURN, all_failed).await;
        }
    }
}
