//! Bringing new weights to backends of which some do not answer.
//!
//! Story: a version was named, and one sound backend got its first order 6.6 s later, after
//! requests must not begin on older weights any more. Three others had crashed or did not answer.
//!
//! Evidence: the log of orders. Two or three orders are given at a time. Those that did not answer
//! were asked again before others had been asked once, as backends were taken by their ids; and a
//! backend that crashed after it had taken its order kept its place for 4 s, so that for two
//! seconds nobody got an order.

mod common;

use common::model_backend::ModelBackend;
use common::*;
use control::directory::{BackendPhase, OrderPhase};
use control::rollout::RolloutOwnership;
use control::state::{Position, WeightsTarget};
use control::view::ReplicaId;
use router::fleet::Fleet;
use router::protocol::PublishedState;
use router::replica::{ReplicaHandle, Shown};
use router::weights::Orders;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Less than a backend that says nothing could keep a place for, and more than it may.
const SOON: Duration = Duration::from_millis(3_200);

/// A node that holds the lease, with these backends, as version 2 is named.
fn leader(backends: &[SocketAddrV4]) -> (Arc<Fleet>, ReplicaHandle) {
    let id = ReplicaId {
        disk: 1,
        node: "n1".into(),
        address: "127.0.0.1:7560".parse().unwrap(),
    };
    let (handle, _) = ReplicaHandle::new(id);
    handle.show(Shown {
        lease: Some((1, u64::MAX)),
        rollout_ownership: RolloutOwnership::Owned,
        ..Shown::default()
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
    assert!(fleet.published.lock().unwrap().take(named));
    (fleet, handle)
}

/// Whether all sound backends get their orders soon, where the first ones behave like this.
async fn others_are_reached(unsound: &[Act]) -> bool {
    let mut backends = Vec::new();
    for _ in 0..2 {
        backends.push(StandIn::start(unsound.to_vec()).await);
    }
    let holds = Act::Say(answer("200 OK", "", "{}"));
    for _ in 0..3 {
        backends.push(StandIn::start(vec![holds.clone()]).await);
    }
    let addresses: Vec<SocketAddrV4> = backends.iter().map(|backend| backend.address).collect();
    let (fleet, handle) = leader(&addresses);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let orders = tokio::spawn(Orders::new(fleet, handle, client).run());
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
async fn backends_that_do_not_answer_leave_their_places_to_others() {
    let report = Act::Say(answer(
        "200 OK",
        "",
        r#"{"models":[{"name":"m","version":1}],"sequence":0}"#,
    ));
    let taken = Act::SayAndClose(answer("202 Accepted", "", "{}"));
    let unresponsive = others_are_reached(&[Act::Hang]).await;
    let silent_to_orders = others_are_reached(&[report.clone(), Act::Hang]).await;
    let crashed = others_are_reached(&[report, taken, Act::Hang]).await;
    assert_eq!(
        (unresponsive, silent_to_orders, crashed),
        (true, true, true),
        "with backends that are silent, that report and are silent to orders, and that crash after an order"
    );
}

/// What the directory says of the last order to a backend.
fn phase_of(fleet: &Fleet, at: usize) -> Option<OrderPhase> {
    let directory = fleet.directory.lock().unwrap();
    directory.order(&format!("i-{at}")).map(|order| order.phase)
}

/// Story: after a change of the primary, backends got neither requests nor an order for three
/// seconds. Cause: routers had been told that they were about to load, and the order was not given
/// any more as the lease was lost in between.
#[tokio::test]
async fn a_backend_whose_order_was_not_given_gets_requests_again_at_once() {
    let backend = ModelBackend::start(1).await;
    let (fleet, handle) = leader(&[backend.address]);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let orders = tokio::spawn(Orders::new(fleet.clone(), handle.clone(), client).run());
    let becomes = async |phase| {
        while phase_of(&fleet, 0) != Some(phase) {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(PATIENCE, becomes(OrderPhase::InProgress))
        .await
        .expect("it is announced");
    handle.show(Shown::default());
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

/// Story: after troubles of the ways between machines, a backend that answered every call stayed on
/// old weights for as long as its heartbeats did not come through. Found by reading, not seen in
/// service. Cause: silence is told from heartbeats alone, and who was silent got no order, whether
/// or not it could have been given one.
#[tokio::test]
async fn a_backend_whose_heartbeats_stopped_and_that_answers_gets_its_order() {
    let backend = ModelBackend::start(1).await;
    let (fleet, handle) = leader(&[backend.address]);
    mark_silent(&fleet, 0);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let orders = tokio::spawn(Orders::new(fleet, handle, client).run());
    let brought = async {
        while backend.version() != 2 {
            tokio::task::yield_now().await;
        }
    };
    let in_time = tokio::time::timeout(SOON, brought).await.is_ok();
    orders.abort();
    assert!(in_time, "it has version {}", backend.version());
}
