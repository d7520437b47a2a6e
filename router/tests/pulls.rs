//! Pulls of many routers at the same moment.

mod common;

use common::*;
use control::directory::{Member, MemberStatus, VersionVector};
use control::state::Position;
use futures_util::FutureExt;
use router::fleet::{Fleet, Pull};
use router::links::{self, Answer, Service};
use router::protocol::{PullRequest, Request, Response};
use std::sync::Arc;
use std::time::Duration;

/// A router that asks; one that knows a configuration names it as its base.
fn asks(number: u64, base: Option<u64>, wait_ms: u64) -> Request {
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

fn answer_now(fleet: &Arc<Fleet>, request: Request) -> Option<Answer> {
    fleet
        .clone()
        .answer(request)
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
async fn few_answers_with_everything_are_in_memory_at_once() {
    let router = Router::start(&[]).await;
    large_configuration(&router.fleet);
    let mut held: Vec<Answer> = Vec::new();
    while let Some(answer) = answer_now(&router.fleet, asks(held.len() as u64, None, 0)) {
        assert!(matches!(&answer.response, Response::Pulled(pulled) if pulled.state.is_some()));
        held.push(answer);
        assert!(held.len() < 12, "there is a bound");
    }
    assert!(held.len() >= 4, "and it lets some through: {}", held.len());
    let mut waiting = router.fleet.clone().answer(asks(100, None, 0));
    assert!((&mut waiting).now_or_never().is_none());
    // An answer was written.
    drop(held.pop());
    assert!(waiting.now_or_never().is_some(), "the next one is made");
}

#[tokio::test]
async fn who_has_the_configuration_is_not_held_up_by_those_who_lack_it() {
    let router = Router::start(&[]).await;
    large_configuration(&router.fleet);
    let mut held: Vec<Answer> = Vec::new();
    while let Some(answer) = answer_now(&router.fleet, asks(held.len() as u64, None, 0)) {
        held.push(answer);
    }
    let own = router.fleet.directory.lock().unwrap().vector().clone();
    let Request::Pull(mut informed) = asks(50, Some(2), 0) else {
        unreachable!()
    };
    informed.vector = own;
    informed.position.index = 2;
    assert!(answer_now(&router.fleet, Request::Pull(informed)).is_some());
}

#[tokio::test(start_paused = true)]
async fn waiting_for_the_first_configuration_holds_nobody_up() {
    let fleet = Router::without_configuration();
    let vector = fleet.directory.lock().unwrap().vector().clone();
    let mut waiting: Vec<_> = (0..50)
        .map(|number| {
            let Request::Pull(mut request) = asks(number, None, 60_000) else {
                unreachable!()
            };
            // Whoever asked before knows the members.
            request.vector = vector.clone();
            request
                .vector
                .insert(control::directory::Origin(1), u64::MAX);
            request.epoch = u64::MAX;
            fleet.clone().answer(Request::Pull(request))
        })
        .collect();
    for answer in &mut waiting {
        assert!(answer.now_or_never().is_none(), "there is no news yet");
    }
    publish(&fleet, 1, CONFIGURATION);
    fleet.announce();
    // Answers leave one after the other, as each is written.
    for answer in waiting {
        let answer = answer.await.expect("an answer");
        assert!(matches!(&answer.response, Response::Pulled(pulled) if pulled.state.is_some()));
    }
}

#[tokio::test]
async fn a_node_that_never_heard_of_a_primary_says_so() {
    let asked = Router::start(&[]).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!()
    };
    tokio::spawn(links::serve(listener, asked.fleet.clone(), Arc::default()));
    let asker = Router::without_configuration();
    assert_eq!(
        asker.pull(address, Duration::ZERO, || {}).await,
        Pull::OutOfTouch
    );
    assert_eq!(
        asker.published.lock().unwrap().version(),
        Some(1),
        "what it has is taken all the same"
    );
}
