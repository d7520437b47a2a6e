//! Staggers the first pulls of a router that has no state yet.
//!
//! After a power failure all routers start at once, and each needs the full state. If every router
//! pulled from all seeds at the same time, each seed would send it one full copy, and the copies
//! would saturate the seeds' links.

use std::collections::BTreeMap;
use std::future::Future;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::watch;

/// Maximum wait for each upstream that comes earlier in the order. The wait ends sooner if all
/// earlier upstreams have failed.
const STAGGER_INTERVAL: Duration = Duration::from_millis(200);

/// The order in which one router first pulls from its upstreams: the position of each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InitialPullOrder(BTreeMap<SocketAddrV4, u32>);

impl InitialPullOrder {
    /// The order at the node with this name. It differs between nodes, so that they do not all pull
    /// from the same upstream first. A node that has state needs only updates, and pulls from all
    /// upstreams at once.
    pub fn new(
        node_name: &str,
        upstreams: impl Iterator<Item = SocketAddrV4>,
        has_state: bool,
    ) -> Self {
        if has_state {
            return InitialPullOrder(BTreeMap::new());
        }
        let mut order: Vec<SocketAddrV4> = upstreams.collect();
        order.sort_by_key(|address| {
            let mut hasher = DefaultHasher::new();
            (node_name, address).hash(&mut hasher);
            hasher.finish()
        });
        InitialPullOrder(order.into_iter().zip(0..).collect())
    }

    /// Number of upstreams that precede this one.
    pub fn position(&self, upstream: SocketAddrV4) -> u32 {
        self.0.get(&upstream).copied().unwrap_or(0)
    }

    /// Completes when the first pull from the upstream may start. `failures` counts the failed
    /// pulls from all upstreams.
    pub fn wait_for_turn(
        &self,
        upstream: SocketAddrV4,
        mut failures: watch::Receiver<u32>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let position = self.position(upstream);
        async move {
            let initial_failures = *failures.borrow_and_update();
            let earlier_failed = failures.wait_for(|count| *count >= initial_failures + position);
            // After a timeout the pull starts although the earlier ones have not failed.
            let _ = tokio::time::timeout(position * STAGGER_INTERVAL, earlier_failed).await;
        }
    }
}
