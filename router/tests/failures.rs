//! Backends that fail requests although they report to be healthy, and stale connections.

mod common;

use common::*;
use control::directory::{Key, Value};
use router::clock;
use std::collections::BTreeMap;

fn failure() -> String {
    answer("500 Internal Server Error", "X-Response-Seal: s\r\n", "why")
}

#[tokio::test]
async fn retries_safe_request_after_backend_failure() {
    let failing = FakeBackend::start(vec![Action::Respond(failure())]).await;
    let healthy = FakeBackend::start(vec![Action::Respond(success("ok"))]).await;
    let router = Router::start(&[&failing, &healthy]).await;
    for _ in 0..20 {
        let answer = router.response_to("/safe/", KEY).await;
        assert_eq!((status(&answer), body(&answer)), ("200", "ok"), "{answer}");
    }
    assert!(failing.count() >= 1);
}

#[tokio::test]
async fn returns_backend_failure_if_all_fail() {
    let (first, second) = (
        FakeBackend::start(vec![Action::Respond(failure())]).await,
        FakeBackend::start(vec![Action::Respond(failure())]).await,
    );
    let router = Router::start(&[&first, &second]).await;
    let answer = router.response_to("/safe/", KEY).await;
    assert_eq!((status(&answer), body(&answer)), ("500", "why"));
    assert_eq!(header(&answer, "x-response-seal").as_deref(), Some("s"));
    assert_eq!(
        first.count() + second.count(),
        2,
        "as many as the route's attempts"
    );
}

#[tokio::test]
async fn returns_failure_if_retry_breaks() {
    let actions = || {
        vec![
            Action::Respond(failure()),
            Action::RespondAndReset(String::new()),
        ]
    };
    let first = FakeBackend::start(actions()).await;
    let second = first.clone();
    let router = Router::start(&[&first, &second]).await;
    let answer = router.response_to("/safe/", KEY).await;
    assert_eq!((status(&answer), body(&answer)), ("500", "why"));
}

#[tokio::test]
async fn does_not_retry_unsafe_request_after_failure() {
    let (first, second) = (
        FakeBackend::start(vec![Action::Respond(failure())]).await,
        FakeBackend::start(vec![Action::Respond(failure())]).await,
    );
    let router = Router::start(&[&first, &second]).await;
    assert_eq!(status(&router.response_to("/unsafe/", KEY).await), "500");
    assert_eq!(first.count() + second.count(), 1);
}

#[tokio::test]
async fn reported_failures_make_backend_suspected() {
    let failing = FakeBackend::start(vec![Action::Respond(failure())]).await;
    let healthy = FakeBackend::start(vec![Action::Respond(success("ok"))]).await;
    let others = [
        FakeBackend::start(vec![Action::Respond(success("ok"))]).await,
        healthy.clone(),
        healthy.clone(),
    ];
    let router = Router::start(&[&failing, &healthy, &others[0], &others[1], &others[2]]).await;
    let reported = [("i-0".into(), 2)];
    router.fleet.record_failures(&"n2".into(), &reported);
    assert_eq!(
        router.fleet.directory.lock().unwrap().suspicion("i-0"),
        None,
        "reports of one router do not suffice"
    );
    router.fleet.record_failures(&"n3".into(), &reported);
    router.table.refresh(&router.fleet);
    for _ in 0..20 {
        assert_eq!(status(&router.response_to("/unsafe/", KEY).await), "200");
    }
    assert_eq!(failing.count(), 0);
}

#[tokio::test]
async fn uses_suspected_backend_as_last_resort() {
    let only = FakeBackend::start(vec![Action::Respond(success("ok"))]).await;
    let router = Router::start(&[&only]).await;
    for reporter in ["n2", "n3"] {
        router
            .fleet
            .record_failures(&reporter.into(), &[("i-0".into(), 2)]);
    }
    router.table.refresh(&router.fleet);
    assert_eq!(status(&router.response_to("/unsafe/", KEY).await), "200");
}

#[tokio::test]
async fn records_backend_failure() {
    let failing = FakeBackend::start(vec![Action::Respond(failure())]).await;
    let router = Router::start(&[&failing]).await;
    router.response_to("/unsafe/", KEY).await;
    assert_eq!(
        router.table.failures().drain(),
        BTreeMap::from([("i-0".into(), 1)])
    );
}

#[tokio::test]
async fn records_overdue_backend() {
    let hanging = FakeBackend::start(vec![Action::Hang]).await;
    let router = Router::start(&[&hanging]).await;
    let client = router.send("/unsafe/", KEY).await;
    let recorded = async {
        while !router.table.failures().drain().contains_key("i-0") {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, recorded)
        .await
        .expect("a failure is recorded while the request is pending");
    drop(client);
}

#[tokio::test]
async fn suspicion_numbers_continue_across_evaluators() {
    let router = Router::start(&[]).await;
    let key = Key::Suspicion("i-9".into());
    let former = control::directory::Suspicion {
        number: 7,
        lasts_ms: 3_000,
    };
    router.fleet.put(key, Value::Suspicion(former));
    for reporter in ["n2", "n3"] {
        router
            .fleet
            .record_failures(&reporter.into(), &[("i-9".into(), 2)]);
    }
    let newest = router.fleet.directory.lock().unwrap().suspicion("i-9");
    assert_eq!(newest.map(|suspicion| suspicion.number), Some(8));
}

#[tokio::test]
async fn unsafe_request_skips_long_idle_connections_after_stale_one() {
    let backend = FakeBackend::start(vec![Action::Respond(success("ok"))]).await;
    let router = Router::start(&[&backend]).await;
    let known = router.table.backend("i-0").unwrap();
    let idle = async || {
        let mut connection = known.connect(TEST_TIMEOUT, true).await.unwrap();
        assert!(connection.wait_until_ready().await);
        known.return_connection(connection);
    };
    let much_later = || clock::now() + 1_000;
    idle().await;
    let connection = known.take_idle(false, much_later());
    known.return_connection(connection.expect("idle connections are used until one was stale"));
    known.record_stale_connection(400);
    assert!(
        known.take_idle(true, clock::now()).is_none(),
        "connections that were idle for as long are dropped"
    );
    idle().await;
    assert!(
        known.take_idle(false, much_later()).is_none(),
        "the connection was idle for more than 200 ms"
    );
    assert!(
        known.take_idle(false, clock::now()).is_some(),
        "the connection was hardly idle"
    );
    idle().await;
    assert!(
        known.take_idle(true, much_later()).is_some(),
        "repeatable requests may use the connection"
    );
}
