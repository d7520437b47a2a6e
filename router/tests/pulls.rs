//! Simultaneous pulls of many routers.

mod common;

use common::*;
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

/// A pull; a router with a configuration states it as the base.
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
        name: format!("asker-{number}").into(),
        member,
        vector: VersionVector::new(),
        position,
        base,
        epoch: 0,
        wait_ms,
        missing: Vec::new(),
    })
}

fn answer_now(fleet: &Arc<Fleet>, request: Request) -> Option<Reply> {
    fleet
        .clone()
        .handle(request)
        .now_or_never()
        .map(|answer| answer.expect("an answer"))
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
    while let Some(answer) = answer_now(&router.fleet, pull_request(current.len() as u64, None, 0))
    {
        assert!(matches!(&answer.response, Response::Pulled(pulled) if pulled.state.is_some()));
        current.push(answer);
        assert!(current.len() < 12, "there is a bound");
    }
    assert!(
        current.len() >= 4,
        "and it lets some through: {}",
        current.len()
    );
    let mut waiting = router.fleet.clone().handle(pull_request(100, None, 0));
    assert!((&mut waiting).now_or_never().is_none());
    // A response was written.
    drop(current.pop());
    assert!(waiting.now_or_never().is_some(), "the next one is made");
}

#[tokio::test]
async fn full_responses_do_not_delay_updates() {
    let router = Router::start(&[]).await;
    large_configuration(&router.fleet);
    let mut current: Vec<Reply> = Vec::new();
    while let Some(answer) = answer_now(&router.fleet, pull_request(current.len() as u64, None, 0))
    {
        current.push(answer);
    }
    let own = router.fleet.directory.lock().unwrap().vector().clone();
    let Request::Pull(mut informed) = pull_request(50, Some(2), 0) else {
        unreachable!()
    };
    informed.vector = own;
    informed.position.index = 2;
    assert!(answer_now(&router.fleet, Request::Pull(informed)).is_some());
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
            // The previous sender knows the members.
            request.vector = vector.clone();
            request
                .vector
                .insert(control::directory::Origin(1), u64::MAX);
            request.epoch = u64::MAX;
            fleet.clone().handle(Request::Pull(request))
        })
        .collect();
    for answer in &mut waiting {
        assert!(answer.now_or_never().is_none(), "there is no news yet");
    }
    publish(&fleet, 1, CONFIGURATION);
    fleet.notify_change();
    // Responses are released one after the other, as each is written.
    for answer in waiting {
        let answer = answer.await.expect("an answer");
        assert!(matches!(&answer.response, Response::Pulled(pulled) if pulled.state.is_some()));
    }
}

#[tokio::test]
async fn node_without_primary_reports_no_age() {
    let asked = Router::start(&[]).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!()
    };
    tokio::spawn(links::serve(listener, asked.fleet.clone(), Arc::default()));
    let requester = Router::without_configuration();
    assert_eq!(
        requester.pull(address, Duration::ZERO, || {}).await,
        Pull::Stale
    );
    assert_eq!(
        requester.published.lock().unwrap().version(),
        Some(1),
        "what it has is taken all the same"
    );
}

/// Incident: routers of one zone went on with an old configuration for seconds, as the node that
/// they followed had been cut off from the rest of the core, and told so only when it had waited
/// for updates as long as it was asked to.
#[tokio::test]
async fn node_that_becomes_stale_answers_before_its_wait_is_over() {
    const WAIT_MS: u64 = 60_000;
    let id = ReplicaId {
        disk: 1,
        node: "n1".into(),
        address: "127.0.0.1:7560".parse().unwrap(),
    };
    let (replica, _) = ReplicaHandle::new(id);
    replica.publish_status(ReplicaStatus {
        current_at: Some(router::clock::now()),
        ..ReplicaStatus::default()
    });
    let fleet = Fleet::new(Arc::new(Router::settings()), Some(replica), 1);
    publish(&fleet, 1, CONFIGURATION);
    let Request::Pull(mut informed) = pull_request(1, Some(1), WAIT_MS) else {
        unreachable!()
    };
    // It has everything, also the record of itself that its question brings.
    informed.vector = fleet.directory.lock().unwrap().vector().clone();
    informed
        .vector
        .insert(control::directory::Origin(1), u64::MAX);
    let answer = fleet.handle(Request::Pull(informed));
    let answer = tokio::time::timeout(PATIENCE, answer).await;
    let answer = answer.expect("an answer before the wait is over");
    let Some(Response::Pulled(pulled)) = answer.map(|reply| reply.response) else {
        panic!("no answer to a pull")
    };
    assert!(pulled.age_ms.is_some_and(|age| age >= 1_000), "{pulled:?}");
}
