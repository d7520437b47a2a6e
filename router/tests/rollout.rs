//! Rollout of new weights to backends of which some are unresponsive.
//!
//! Incident: a version was announced, and one healthy backend got its first order 6.6 s later,
//! after the deadline of the rollout. Three others had crashed or were unresponsive.
//!
//! Evidence: the log of orders. Two or three orders are sent at a time. Unresponsive backends got a
//! second order before others had got their first, as backends were ordered by id; and a backend
//! that crashed after accepting its order occupied a slot for 4 s, so that for two seconds no order
//! was sent.

mod common;

use common::model_backend::ModelBackend;
use common::*;
use control::Millis;
use control::directory::{BackendPhase, OrderPhase};
use control::rollout::{OrderGrant, RolloutOwnership};
use control::state::{Position, WeightsTarget};
use control::view::{Epoch, ReplicaId};
use router::fleet::Fleet;
use router::protocol::PublishedState;
use router::replica::handle::{ReplicaHandle, ReplicaStatus};
use router::weights::RolloutController;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// More than an unresponsive backend may occupy a slot, and less than it could.
const SOON: Duration = Duration::from_millis(3_200);

/// A node that holds the lease, with these backends, when version 2 is announced.
fn leader(backends: &[SocketAddrV4]) -> (Arc<Fleet>, ReplicaHandle) {
    owner(backends, Some((1, u64::MAX)))
}

/// The owner of the rollout, with these backends, when version 2 is announced.
fn owner(backends: &[SocketAddrV4], lease: Option<(Epoch, Millis)>) -> (Arc<Fleet>, ReplicaHandle) {
    let id = ReplicaId {
        disk: 1,
        node: "n1".into(),
        address: "127.0.0.1:7560".parse().unwrap(),
    };
    let (handle, _) = ReplicaHandle::new(id);
    handle.publish_status(ReplicaStatus {
        lease,
        rollout_ownership: RolloutOwnership::Owned,
        order_grant: Some(OrderGrant {
            fencing_token: 3,
            expires_at: u64::MAX,
        }),
        ..ReplicaStatus::default()
    });
    let fleet = Fleet::new(Arc::new(Router::settings()), Some(handle.clone()), 1);
    for (at, address) in backends.iter().enumerate() {
        register_at(&fleet, at, *address, 1, BackendPhase::Ready);
    }
    let weights = BTreeMap::from([(
        "m".into(),
        WeightsTarget {
            version: 2,
            index: 1,
        },
    )]);
    let named = PublishedState {
        position: Position { index: 1, epoch: 1 },
        configuration: None,
        weights,
    };
    assert!(fleet.published.lock().unwrap().apply_update(named));
    (fleet, handle)
}

/// Returns whether all healthy backends get their orders soon if the first ones behave like this.
async fn others_are_reached(unsound: &[Action]) -> bool {
    let mut backends = Vec::new();
    for _ in 0..2 {
        backends.push(FakeBackend::start(unsound.to_vec()).await);
    }
    let holds = Action::Respond(answer("200 OK", "", "{}"));
    for _ in 0..3 {
        backends.push(FakeBackend::start(vec![holds.clone()]).await);
    }
    let addresses: Vec<SocketAddrV4> = backends.iter().map(|backend| backend.address).collect();
    let (fleet, handle) = leader(&addresses);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let orders = tokio::spawn(RolloutController::new(fleet, handle, client).run());
    let reached = async {
        while backends[2..].iter().any(|backend| backend.count() == 0) {
            tokio::task::yield_now().await;
        }
    };
    let in_time = tokio::time::timeout(SOON, reached).await.is_ok();
    orders.abort();
    in_time
}

#[tokio::test]
async fn unresponsive_backends_do_not_block_rollout() {
    let report = Action::Respond(answer(
        "200 OK",
        "",
        r#"{"models":[{"name":"m","version":1}],"sequence":0}"#,
    ));
    let taken = Action::RespondAndClose(answer("202 Accepted", "", "{}"));
    let unresponsive = others_are_reached(&[Action::Hang]).await;
    let ignores_orders = others_are_reached(&[report.clone(), Action::Hang]).await;
    let crashed = others_are_reached(&[report, taken, Action::Hang]).await;
    assert_eq!(
        (unresponsive, ignores_orders, crashed),
        (true, true, true),
        "with backends that are silent, that report and are silent to orders, and that crash after an order"
    );
}

/// The phase of the last order to a backend, by the directory.
fn phase_of(fleet: &Fleet, at: usize) -> Option<OrderPhase> {
    let directory = fleet.directory.lock().unwrap();
    directory.order(&format!("i-{at}")).map(|order| order.phase)
}

/// Incident: after a change of the primary, backends got neither requests nor an order for three
/// seconds. Cause: routers had been notified that the backends were about to load, and the orders
/// were not sent as the lease was lost in between.
#[tokio::test]
async fn withdrawn_order_readmits_backend() {
    let backend = ModelBackend::start(1).await;
    let (fleet, handle) = leader(&[backend.address]);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let orders = tokio::spawn(RolloutController::new(fleet.clone(), handle.clone(), client).run());
    let becomes = async |phase| {
        while phase_of(&fleet, 0) != Some(phase) {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(PATIENCE, becomes(OrderPhase::InProgress))
        .await
        .expect("it is announced");
    handle.publish_status(ReplicaStatus::default());
    tokio::time::timeout(PATIENCE, becomes(OrderPhase::Withdrawn))
        .await
        .expect("it is taken back");
    assert_eq!(
        (backend.taken_orders(), backend.version()),
        (0, 1),
        "no order was given"
    );
    orders.abort();
}

/// Incident: after network faults, a backend that responded to every call stayed on old weights for
/// as long as its heartbeats were lost. Found in review, not seen in service. Cause: only
/// heartbeats decide whether a backend is unresponsive, and unresponsive backends got no order,
/// although they might have accepted it.
#[tokio::test]
async fn orders_backend_without_heartbeats() {
    let backend = ModelBackend::start(1).await;
    let (fleet, handle) = leader(&[backend.address]);
    mark_unresponsive(&fleet, 0);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let orders = tokio::spawn(RolloutController::new(fleet, handle, client).run());
    let brought = async {
        while backend.version() != 2 {
            tokio::task::yield_now().await;
        }
    };
    let in_time = tokio::time::timeout(SOON, brought).await.is_ok();
    orders.abort();
    assert!(in_time, "it has version {}", backend.version());
}

/// Incident: while the primary of the control state changed every few seconds, backends got orders
/// in half of the time or less. Cause: only the primary sent orders, and each one waited for the
/// time of a lease after another had sent any.
#[tokio::test]
async fn owner_sends_orders_while_another_node_leads() {
    let backend = ModelBackend::start(1).await;
    let (fleet, handle) = owner(&[backend.address], None);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let orders = tokio::spawn(RolloutController::new(fleet, handle, client).run());
    let brought = async {
        while backend.version() != 2 {
            tokio::task::yield_now().await;
        }
    };
    let in_time = tokio::time::timeout(SOON, brought).await.is_ok();
    orders.abort();
    assert!(in_time, "it has version {}", backend.version());
}
