//! Requests with prompts: backend selection by cached prefix, and the KV cache transfers requested
//! from backends.

mod common;

use common::*;
use control::configuration::KvStore;
use control::directory::{BackendPhase, Key, Member, MemberStatus, Value};
use router::fleet::PrefixLookup;
use router::protocol::{Request, Response};
use router::proxy::cache_salt::{CacheSalt, salt};
use router::proxy::cache_watcher;
use router::proxy::kv_events::KvEvent;
use router::proxy::prefix_locator::PrefixLocator;
use routing::prefix_index::{Placement, PrefixKey};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

const PROMPT: &str =
    "X-Model-Name: m\r\nX-Token-Counts: 900,10\r\nX-Prompt-Prefix: a:300,b:500,own:100\r\n";

/// Starts two backends that report no load, and a router.
async fn start_two_backends() -> (FakeBackend, FakeBackend, Router) {
    let first = FakeBackend::start(vec![Action::Respond(success("1"))]).await;
    let second = FakeBackend::start(vec![Action::Respond(success("2"))]).await;
    let router = Router::start(&[&first, &second]).await;
    (first, second, router)
}

fn add_store(router: &Router) -> SocketAddrV4 {
    let address: SocketAddrV4 = "127.0.0.1:9".parse().unwrap();
    let store = KvStore {
        address,
        zone: "a".into(),
        kv_capacity: 100_000,
        max_concurrent: 4,
    };
    router
        .fleet
        .stores
        .reconfigure(&BTreeMap::from([(address, store)]));
    router.fleet.stores.mark_available(address, 1);
    address
}

#[tokio::test]
async fn routes_to_cached_prefix() {
    let (first, second, router) = start_two_backends().await;
    for _ in 0..6 {
        assert_eq!(
            status(
                &router
                    .response_to("/unsafe/", &format!("{KEY}{PROMPT}"))
                    .await
            ),
            "200"
        );
    }
    let counts = [first.count(), second.count()];
    assert!(
        counts.contains(&6),
        "all requests go to one backend: {counts:?}"
    );
    assert_eq!(router.fleet.prefix_index.lock().unwrap().len(), 1);
}

#[tokio::test]
async fn fetches_cached_and_saves_uncached_prefix() {
    let (first, second, router) = start_two_backends().await;
    let store = add_store(&router);
    router
        .response_to("/unsafe/", &format!("{KEY}{PROMPT}"))
        .await;
    let sent = if first.count() == 1 {
        first.request(0)
    } else {
        second.request(0)
    };
    assert_eq!(header(&sent, "kv-save"), Some(store.to_string()), "{sent}");
    assert_eq!(
        header(&sent, "kv-fetch"),
        Some(store.to_string()),
        "the prefix is looked up in the store even if it is unknown, as a miss is cheap"
    );
    let salt = header(&sent, "cache-salt").expect("a salt");
    assert_eq!(CacheSalt::parse(&salt).map(|salt| salt.version), Some(1));
    router
        .response_to("/unsafe/", &format!("{KEY}{PROMPT}"))
        .await;
    let again = if first.count() == 2 {
        first.request(1)
    } else {
        second.request(1)
    };
    assert_eq!(
        header(&again, "kv-save"),
        None,
        "the first request already saves the prefix"
    );
}

#[tokio::test]
async fn fetches_from_busy_but_not_draining_replica() {
    let busy = Action::Respond(answer(
        "200 OK",
        "X-Response-Seal: s\r\nX-Server-Load: 4,50,4\r\n",
        "1",
    ));
    let first = FakeBackend::start(vec![busy.clone()]).await;
    let second = FakeBackend::start(vec![busy]).await;
    let router = Router::start(&[&first, &second]).await;
    router
        .response_to("/unsafe/", &format!("{KEY}{PROMPT}"))
        .await;
    let holder = if first.count() == 1 { 0 } else { 1 };
    let (holder_backend, other) = if holder == 0 {
        (&first, &second)
    } else {
        (&second, &first)
    };
    router
        .response_to("/unsafe/", &format!("{KEY}{PROMPT}"))
        .await;
    assert_eq!(other.count(), 1, "the holder has reported a queue");
    assert_eq!(
        header(&other.request(0), "kv-fetch"),
        Some(holder_backend.address.to_string())
    );

    let draining = control::directory::BackendPhase::Draining;
    register(&router.fleet, holder, holder_backend, 2, draining);
    router.table.refresh(&router.fleet);
    let prompt = PROMPT.replace("b:500", "c:500");
    let key = PrefixKey::of_segment("tt1-", "m", "c");
    let current = Placement {
        backend: format!("i-{holder}").into(),
        version: 1,
    };
    router
        .fleet
        .prefix_index
        .lock()
        .unwrap()
        .record_placement(key, &current, router::clock::now());
    router
        .response_to("/unsafe/", &format!("{KEY}{prompt}"))
        .await;
    assert_eq!(other.count(), 2);
    assert_eq!(header(&other.request(1), "kv-fetch"), None);
}

#[tokio::test]
async fn evicted_prefix_is_not_used() {
    let (_first, _second, router) = start_two_backends().await;
    router
        .response_to("/unsafe/", &format!("{KEY}{PROMPT}"))
        .await;
    let locator = PrefixLocator::new(router.fleet.clone());
    let cache_namespace = "tt1-";
    let key = PrefixKey::of_segment(cache_namespace, "m", "b");
    let lookup = PrefixLookup {
        key,
        fallback: Placement {
            backend: "fallback".into(),
            version: 9,
        },
        should_save: false,
    };
    let holder = router
        .fleet
        .look_up_prefix(&lookup)
        .replicas
        .last()
        .expect("a holder")
        .backend
        .clone();
    locator.notify_evictions(
        &holder,
        &[KvEvent {
            key,
            version: 2,
            is_cached: false,
        }],
    );
    assert!(
        router
            .fleet
            .look_up_prefix(&lookup)
            .is_cached_by(&holder, 1),
        "only another version was evicted"
    );
    locator.notify_evictions(
        &holder,
        &[KvEvent {
            key,
            version: 1,
            is_cached: true,
        }],
    );
    assert!(
        router
            .fleet
            .look_up_prefix(&lookup)
            .is_cached_by(&holder, 1)
    );
    locator.notify_evictions(
        &holder,
        &[KvEvent {
            key,
            version: 1,
            is_cached: false,
        }],
    );
    assert!(
        !router
            .fleet
            .look_up_prefix(&lookup)
            .is_cached_by(&holder, 1)
    );
}

/// Guards against a failure after a power loss of all routers, in which half of the requests were
/// late for seconds. The backends had kept running with full caches, but the routers had lost the
/// prefix index, so prompts were sent to other backends and prefilled again.
#[tokio::test]
async fn started_router_learns_prefixes_cached_by_backends() {
    let salt = salt("tt1-", Some(1));
    let events = format!(
        r#"{{"epoch":1,"nextPageToken":4,"lost":true,"events":[[1,"+","{salt}","kept",300,"m"],
        [2,"+","{salt}","gone",300,"m"],[3,"-","{salt}","gone",0,"m"]]}}"#
    );
    let backend = FakeBackend::start(vec![
        Action::Respond(answer("200 OK", "", &events)),
        Action::Hang,
    ])
    .await;
    let fleet = Router::without_configuration();
    let member = Member {
        zone: "a".into(),
        internal: fleet.settings.internal_address(),
        control: None,
        replica: None,
        incarnation: 1,
        revision: 1,
        status: MemberStatus::Up,
    };
    fleet.put(
        Key::Member(fleet.settings.node_name.clone()),
        Value::Member(member),
    );
    register(&fleet, 0, &backend, 1, BackendPhase::Ready);
    let locator = PrefixLocator::new(fleet.clone());
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let watching = tokio::spawn(cache_watcher::run(fleet.clone(), locator, client));
    let cached_by = |segment: &str| {
        let lookup = PrefixLookup {
            key: PrefixKey::of_segment("tt1-", "m", segment),
            fallback: Placement {
                backend: "other".into(),
                version: 1,
            },
            should_save: false,
        };
        fleet.look_up_prefix(&lookup).replicas
    };
    let has_learned = async {
        while fleet.prefix_index.lock().unwrap().is_empty() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, has_learned)
        .await
        .expect("the router learns of a prefix");
    let expected = Placement {
        backend: "i-0".into(),
        version: 1,
    };
    assert_eq!(cached_by("kept"), [expected]);
    assert_eq!(
        cached_by("gone"),
        [],
        "the segment was evicted after it was cached"
    );
    watching.abort();
}

#[tokio::test]
async fn owner_answers_lookups() {
    let (_first, _second, router) = start_two_backends().await;
    let service: Arc<router::fleet::Fleet> = router.fleet.clone();
    let placement = |backend: &str| Placement {
        backend: backend.into(),
        version: 1,
    };
    let lookup = |backend: &str| Request::Locate {
        key: PrefixKey(3),
        planned: placement(backend),
        should_save: false,
    };
    use router::links::Service;
    let response_to = async |request| {
        service
            .clone()
            .handle(request)
            .await
            .map(|answer| answer.response)
    };
    let located = async |backend| match response_to(lookup(backend)).await {
        Some(Response::Located(located)) => located.replicas,
        other => panic!("{other:?}"),
    };
    assert!(located("b1").await.is_empty());
    assert_eq!(located("b2").await, [placement("b1")]);
    let placed = Request::Placed {
        key: PrefixKey(3),
        placement: placement("b2"),
    };
    assert!(response_to(placed).await.is_none());
    let evicted = Request::Evicted {
        backend: "b1".into(),
        prefixes: vec![(PrefixKey(3), 1)],
    };
    assert!(response_to(evicted).await.is_none());
    assert_eq!(located("b3").await, [placement("b2")]);
}

#[test]
fn salt_round_trips() {
    let text = salt("s0a1b-", Some(12));
    assert_eq!(
        CacheSalt::parse(&text),
        Some(CacheSalt {
            cache_namespace: "s0a1b-",
            version: 12
        })
    );
    assert_eq!(CacheSalt::parse("somebody else's"), None);
    assert_ne!(salt("w", Some(1)), salt("w", Some(2)));
}
