//! Simultaneous pulls of many routers.

mod common;

use common::*;
use control::Millis;
use control::directory::{Member, MemberStatus, VersionVector};
use control::state::Position;
use control::view::ReplicaId;
use futures_util::FutureExt;
use router::fleet::{Fleet, Pull};
use router::links::{self, Reply, Service};
use router::protocol::{PullRequest, Request, Response};
use router::replica::handle::{ReplicaHandle, ReplicaStatus};
use std::sync::Arc;
use std::time::Duration;

/// A pull of a router. A router with a configuration states its version as the base.
fn pull_request(number: u64, base: Option<u64>, wait_ms: u64) -> Request {
    let member = Member {
        zone: "a".into(),
        internal: "127.0.0.1:7560".parse().unwrap(),
        control: None,
        replica: None,
        incarnation: number,
        revision: 1,
        status: MemberStatus::Up,
    };
    let position = if base.is_some() {
        Position { index: 1, epoch: 1 }
    } else {
        Position::default()
    };
    Request::Pull(PullRequest {
        name: format!("requester-{number}").into(),
        member,
        vector: VersionVector::new(),
        position,
        base,
        epoch: 0,
        wait_ms,
        missing: Vec::new(),
    })
}

fn respond_now(fleet: &Arc<Fleet>, request: Request) -> Option<Reply> {
    fleet
        .clone()
        .handle(request)
        .now_or_never()
        .map(|response| response.expect("a response"))
}

/// A node whose replica was confirmed to have the latest state as of this time, or never.
fn fleet_with_replica(current_at: Option<Millis>) -> Arc<Fleet> {
    let id = ReplicaId {
        disk: 1,
        node: "n1".into(),
        address: "127.0.0.1:7560".parse().unwrap(),
    };
    let (replica, _) = ReplicaHandle::new(id, Vec::new());
    let fleet = Fleet::new(Arc::new(Router::settings()), Some(replica), 1);
    publish_current_at(&fleet, current_at);
    fleet
}

fn publish_current_at(fleet: &Fleet, current_at: Option<Millis>) {
    let replica = fleet.replica.as_ref().expect("a replica");
    replica.publish_status(ReplicaStatus {
        current_at,
        ..ReplicaStatus::default()
    });
}

/// A pull of a router that has the first configuration and all records, including its own member
/// record, which its pull states.
fn informed_pull(fleet: &Fleet, wait_ms: u64) -> Request {
    let Request::Pull(mut request) = pull_request(1, Some(1), wait_ms) else {
        unreachable!()
    };
    request.vector = fleet.directory.lock().unwrap().vector().clone();
    request
        .vector
        .insert(control::directory::Origin(1), u64::MAX);
    Request::Pull(request)
}

/// A configuration of about a megabyte.
fn large_configuration(fleet: &Fleet) {
    let padding = " ".repeat(1 << 20);
    publish(
        fleet,
        2,
        &CONFIGURATION.replace("\"version\":1", &format!("{padding}\"version\":2")),
    );
}

#[tokio::test]
async fn limits_full_responses_in_memory() {
    let router = Router::start(&[]).await;
    large_configuration(&router.fleet);
    let mut current: Vec<Reply> = Vec::new();
    while let Some(response) =
        respond_now(&router.fleet, pull_request(current.len() as u64, None, 0))
    {
        assert!(matches!(&response.response, Response::Pulled(pulled) if pulled.state.is_some()));
        current.push(response);
        assert!(current.len() < 12, "the number is limited");
    }
    assert!(
        current.len() >= 4,
        "some are answered at once: {}",
        current.len()
    );
    let mut waiting = router.fleet.clone().handle(pull_request(100, None, 0));
    assert!((&mut waiting).now_or_never().is_none());
    // Writing a response releases its permit.
    drop(current.pop());
    assert!(
        waiting.now_or_never().is_some(),
        "the next response is created"
    );
}

#[tokio::test]
async fn full_responses_do_not_delay_updates() {
    let router = Router::start(&[]).await;
    large_configuration(&router.fleet);
    let mut current: Vec<Reply> = Vec::new();
    while let Some(response) =
        respond_now(&router.fleet, pull_request(current.len() as u64, None, 0))
    {
        current.push(response);
    }
    let own = router.fleet.directory.lock().unwrap().vector().clone();
    let Request::Pull(mut informed) = pull_request(50, Some(2), 0) else {
        unreachable!()
    };
    informed.vector = own;
    informed.position.index = 2;
    assert!(respond_now(&router.fleet, Request::Pull(informed)).is_some());
}

#[tokio::test(start_paused = true)]
async fn waiting_for_first_configuration_takes_no_memory_permit() {
    let fleet = Router::without_configuration();
    let vector = fleet.directory.lock().unwrap().vector().clone();
    let mut waiting: Vec<_> = (0..50)
        .map(|number| {
            let Request::Pull(mut request) = pull_request(number, None, 60_000) else {
                unreachable!()
            };
            // The requester has all records, including those of the requests before.
            request.vector = vector.clone();
            request
                .vector
                .insert(control::directory::Origin(1), u64::MAX);
            request.epoch = u64::MAX;
            fleet.clone().handle(Request::Pull(request))
        })
        .collect();
    for response in &mut waiting {
        assert!(response.now_or_never().is_none(), "there is no update yet");
    }
    publish(&fleet, 1, CONFIGURATION);
    fleet.notify_change();
    // The responses follow one after the other, as dropping each one releases its permit.
    for response in waiting {
        let response = response.await.expect("a response");
        assert!(matches!(&response.response, Response::Pulled(pulled) if pulled.state.is_some()));
    }
}

/// Guards against state that counts as newer than it is: the responder is held up between reading
/// the age of its state and the end of the delay, from which the requester counts the age back.
#[tokio::test]
async fn state_counts_as_no_newer_if_responder_is_held_up() {
    const HELD_UP: Duration = Duration::from_millis(60);
    let confirmed_as_of = router::clock::now();
    let fleet = fleet_with_replica(Some(confirmed_as_of));
    publish(&fleet, 1, CONFIGURATION);
    let requested_at = router::clock::now();
    let mut published = fleet.published.try_lock().ok();
    let response = std::thread::spawn({
        let (fleet, runtime) = (fleet.clone(), tokio::runtime::Handle::current());
        move || {
            let _entered = runtime.enter();
            respond_now(&fleet, pull_request(1, None, 0))
        }
    });
    // At any time this test holds one of the two locks, so the responder waits before each lock.
    while !response.is_finished() {
        std::thread::sleep(HELD_UP);
        let directory = fleet.directory.try_lock();
        drop(published.take());
        std::thread::sleep(HELD_UP);
        published = fleet.published.try_lock().ok();
        drop(directory);
    }
    drop(published);
    let reply = response.join().expect("the responder does not panic");
    let Some(Response::Pulled(pulled)) = reply.map(|reply| reply.response) else {
        panic!("no response to a pull")
    };
    let age = pulled.age_ms.expect("a replica states an age");
    let counts_as_of = requested_at + pulled.delay_ms - age;
    assert!(
        counts_as_of <= confirmed_as_of,
        "state of {confirmed_as_of} ms counts as of {counts_as_of} ms"
    );
}

/// Starts serving the pulls of other nodes.
async fn serve_pulls(fleet: &Arc<Fleet>) -> std::net::SocketAddrV4 {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!()
    };
    tokio::spawn(links::serve(listener, fleet.clone(), Arc::default()));
    address
}

/// Guards against routers that count an old configuration as the latest: the response has a newer
/// one, but as a difference to a text that this router does not have.
#[tokio::test]
async fn update_that_is_not_applied_confirms_nothing() {
    let source = Router::start(&[]).await;
    publish(
        &source.fleet,
        2,
        &CONFIGURATION.replace("\"version\":1", "\"version\":2"),
    );
    let address = serve_pulls(&source.fleet).await;
    let requester = Router::without_configuration();
    publish(&requester, 1, &CONFIGURATION.replace("/open/", "/other/"));
    let pull = async || requester.pull(address, Duration::ZERO, || {}).await;
    assert_eq!(pull().await, Pull::Stale);
    assert_eq!(requester.published.lock().unwrap().version(), Some(1));
    assert_eq!(requester.staleness(), None, "version 1 is not the latest");
    assert_eq!(pull().await, Pull::Current, "the full text is applied");
    assert_eq!(requester.published.lock().unwrap().version(), Some(2));
    assert!(requester.staleness().is_some());
}

#[tokio::test]
async fn node_without_primary_reports_no_age() {
    let fleet = Router::without_configuration();
    let source = Router::start_unconfirmed(fleet, CONFIGURATION, &[]).await;
    let address = serve_pulls(&source.fleet).await;
    let requester = Router::without_configuration();
    assert_eq!(
        requester.pull(address, Duration::ZERO, || {}).await,
        Pull::Stale
    );
    assert_eq!(
        requester.published.lock().unwrap().version(),
        Some(1),
        "its configuration is applied nevertheless"
    );
}

/// Guards against routers that go on with a state of unknown age after a start of all: the replica
/// that they pull from learns soon that its state is the latest, but says so only with the next
/// update.
#[tokio::test]
async fn node_that_becomes_current_answers_before_its_wait_is_over() {
    const WAIT_MS: u64 = 60_000;
    let fleet = fleet_with_replica(None);
    publish(&fleet, 1, CONFIGURATION);
    let response = fleet.clone().handle(informed_pull(&fleet, WAIT_MS));
    tokio::pin!(response);
    assert!((&mut response).now_or_never().is_none(), "nothing to tell");
    publish_current_at(&fleet, Some(router::clock::now()));
    fleet.notify_change();
    let response = tokio::time::timeout(TEST_TIMEOUT, response).await;
    let response = response.expect("a response before the end of the wait");
    let Some(Response::Pulled(pulled)) = response.map(|reply| reply.response) else {
        panic!("no response to a pull")
    };
    assert!(pulled.age_ms.is_some(), "{pulled:?}");
}

/// Guards against routers that keep an old configuration for seconds: the node that they pull from
/// is partitioned from the other replica nodes, but reports itself as stale only at the end of the
/// requested wait.
#[tokio::test]
async fn node_that_becomes_stale_answers_before_its_wait_is_over() {
    const WAIT_MS: u64 = 60_000;
    let fleet = fleet_with_replica(Some(router::clock::now()));
    publish(&fleet, 1, CONFIGURATION);
    let response = fleet.clone().handle(informed_pull(&fleet, WAIT_MS));
    let response = tokio::time::timeout(TEST_TIMEOUT, response).await;
    let response = response.expect("a response before the end of the wait");
    let Some(Response::Pulled(pulled)) = response.map(|reply| reply.response) else {
        panic!("no response to a pull")
    };
    assert!(pulled.age_ms.is_some_and(|age| age >= 1_000), "{pulled:?}");
}
