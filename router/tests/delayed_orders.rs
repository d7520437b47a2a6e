//! Orders for new weights that were abandoned and arrive late, and backends that have older weights
//! again.
//!
//! Incident: at the end of a day a fifth of the backends had an older version of their weights, and
//! a tenth of the requests was rejected. All of these backends had accepted the order for the
//! latest version seconds before, and had begun to serve it. The order for the previous version had
//! got no response in time: it was in transit all the while, arrived when the newer one was
//! completed, and rolled the backend back. No order was repeated, and all routers went on to
//! request the latest version, which the backend rejected.
//!
//! Evidence: in each of three rounds the backends that were rolled back (18, 23 and 21) were among
//! those whose last order but one had got no response, and no other backend was; under one fencing
//! token, and without any restart. The metrics counted each of them as having the latest version to
//! the end of the day: a completed order outranked heartbeats, and a router's own record of a
//! backend's version could only rise.

mod common;

use common::model_backend::ModelBackend;
use common::*;
use control::directory::{Key, Order, OrderPhase, Value};
use control::rollout::{OrderGrant, RolloutOwnership};
use control::state::{Position, WeightsTarget};
use control::view::ReplicaId;
use router::fleet::Fleet;
use router::protocol::PublishedState;
use router::replica::handle::{ReplicaHandle, ReplicaStatus};
use router::weights::RolloutController;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::task::JoinHandle;

const HEARTBEAT_MS: u64 = 100;
const PROMPT: &str =
    "X-Model-Name: m\r\nX-Token-Counts: 100,10\r\nX-Prompt-Prefix: aa:50,bb:50\r\n";

/// A node that holds the lease and rolls out weights.
struct Leader {
    fleet: Arc<Fleet>,
    orders: JoinHandle<()>,
}

/// A node with a replica that stays current for as long as a test takes.
fn node() -> (Arc<Fleet>, ReplicaHandle) {
    let id = ReplicaId {
        disk: 1,
        node: "n1".into(),
        address: "127.0.0.1:7560".parse().unwrap(),
    };
    let (handle, _) = ReplicaHandle::new(id);
    let current_at = Some(router::clock::now() + 60_000);
    let lease = Some((1, u64::MAX));
    handle.publish_status(ReplicaStatus {
        lease,
        rollout_ownership: RolloutOwnership::Owned,
        order_grant: Some(OrderGrant {
            fencing_token: 3,
            expires_at: u64::MAX,
        }),
        current_at,
        ..ReplicaStatus::default()
    });
    let mut settings = Router::settings();
    settings.heartbeat_interval_ms = HEARTBEAT_MS;
    (
        Fleet::new(Arc::new(settings), Some(handle.clone()), 1),
        handle,
    )
}

impl Leader {
    fn start() -> Self {
        let (fleet, handle) = node();
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let orders = tokio::spawn(RolloutController::new(fleet.clone(), handle, client).run());
        Leader { fleet, orders }
    }

    fn name_version(&self, version: u64) {
        name_version(&self.fleet, version);
    }

    /// Waits until the directory states that the backend's order for a version is completed.
    async fn is_done(&self, version: u64) {
        until("the order is done", || {
            self.order().is_some_and(|order| is_done(&order, version))
        })
        .await;
    }

    fn order(&self) -> Option<Order> {
        self.fleet.directory.lock().unwrap().order("i-0").cloned()
    }
}

impl Drop for Leader {
    fn drop(&mut self) {
        self.orders.abort();
    }
}

fn is_done(order: &Order, version: u64) -> bool {
    order.version == version && order.phase == OrderPhase::Done
}

fn name_version(fleet: &Fleet, version: u64) {
    let weights = BTreeMap::from([(
        "m".into(),
        WeightsTarget {
            version,
            index: version,
        },
    )]);
    let position = Position {
        index: version,
        epoch: 1,
    };
    let named = PublishedState {
        position,
        configuration: None,
        weights,
    };
    assert!(fleet.published.lock().unwrap().apply_update(named));
}

async fn until(what: &str, is_so: impl Fn() -> bool) {
    let so = async {
        while !is_so() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(PATIENCE, so)
        .await
        .unwrap_or_else(|_| panic!("in time: {what}"));
}

/// The order for version 2 is delayed in transit, version 3 is announced and loaded, and then the
/// first order arrives.
#[tokio::test]
async fn late_order_does_not_roll_back_backend() {
    let backend = ModelBackend::start(1).await;
    backend.hold_up_orders(1);
    let leader = Leader::start();
    assert!(heartbeat(&leader.fleet, 0, backend.address, 1, 1).await);
    leader.name_version(2);
    until("the first order is on its way", || {
        backend.delayed_orders() == 1
    })
    .await;
    leader.name_version(3);
    leader.is_done(3).await;
    assert_eq!(backend.version(), 3);
    let answers = backend.deliver_late_orders();
    assert_eq!(
        (answers, backend.version()),
        (vec![409], 3),
        "the late order, and the version behind it"
    );
}

/// Heartbeats with an older version are believed, whatever rolled the backend back, and whether or
/// not they stated the newer version in between.
#[tokio::test]
async fn reorders_backend_that_reports_older_version() {
    for tells_newer in [true, false] {
        let backend = ModelBackend::start(1).await;
        let leader = Leader::start();
        assert!(heartbeat(&leader.fleet, 0, backend.address, 1, 1).await);
        leader.name_version(2);
        leader.is_done(2).await;
        if tells_newer {
            assert!(heartbeat(&leader.fleet, 0, backend.address, 2, 2).await);
        }
        backend.has_version(1);
        assert!(heartbeat(&leader.fleet, 0, backend.address, 3, 1).await);
        until("it is brought to the version again", || {
            backend.version() == 2
        })
        .await;
        assert_eq!(backend.taken_orders(), 2);
    }
}

/// A router that overestimates the version of a backend sends it requests that it rejects, for as
/// long as it does so.
#[tokio::test]
async fn routes_by_latest_reported_version() {
    for tells_newer in [true, false] {
        let backend = ModelBackend::start(1).await;
        let router = Router::start_on(node().0, CONFIGURATION, &[]).await;
        let done = Order {
            fencing_token: 1,
            number: 1,
            model: "m".into(),
            version: 2,
            phase: OrderPhase::Done,
        };
        assert!(heartbeat(&router.fleet, 0, backend.address, 1, 1).await);
        router
            .fleet
            .put(Key::Order("i-0".into()), Value::Order(done));
        backend.has_version(2);
        if tells_newer {
            assert!(heartbeat(&router.fleet, 0, backend.address, 2, 2).await);
        }
        router.table.refresh(&router.fleet);
        assert_eq!(
            ask(&router).await,
            "200",
            "it has the version that its order brought"
        );
        backend.has_version(1);
        assert!(heartbeat(&router.fleet, 0, backend.address, 3, 1).await);
        router.table.refresh(&router.fleet);
        assert_eq!(
            ask(&router).await,
            "200",
            "it has older weights again, and says so"
        );
    }
}

async fn ask(router: &Router) -> String {
    let answer = router.ask("/safe/", &format!("{KEY}{PROMPT}")).await;
    status(&answer).to_owned()
}
