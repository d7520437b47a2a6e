//! Routers that start without any state, as all do after a power loss of the whole system.
//!
//! Guards against saturated links of the seeds: when each of 90 routers requested the full state of
//! 97 KB from all three seeds, most requests of clients were rejected for 0.6 s.

mod common;

use common::*;
use router::fleet::Fleet;
use router::settings::Settings;
use router::upstreams::{self, initial_pull_order::InitialPullOrder};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

const SEEDS: usize = 3;
/// Time between the first pulls from two seeds if the first seed does not respond.
const STAGGER_INTERVAL: Duration = Duration::from_millis(200);

fn seeds() -> Vec<SocketAddrV4> {
    let seed = |number| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7560);
    (1..=SEEDS as u8).map(seed).collect()
}

/// Returns when the first pull from each seed may start if pulls fail at these times.
async fn start_times(failures_at: &[Duration]) -> Vec<Duration> {
    let pull_order = InitialPullOrder::new("n1", seeds().into_iter(), false);
    let failures = Arc::new(watch::Sender::new(0));
    let started_at = Instant::now();
    for at in failures_at.iter().copied() {
        let failures = failures.clone();
        tokio::spawn(async move {
            tokio::time::sleep(at).await;
            failures.send_modify(|failed| *failed += 1);
        });
    }
    let waiting = seeds().into_iter().map(|seed| {
        let turn = pull_order.wait_for_turn(seed, failures.subscribe());
        async move {
            turn.await;
            started_at.elapsed()
        }
    });
    let mut times = futures_util::future::join_all(waiting).await;
    times.sort();
    times
}

#[tokio::test(start_paused = true)]
async fn next_seed_has_its_turn_after_failure_or_silence() {
    let millis = |times: [u64; SEEDS]| times.map(Duration::from_millis).to_vec();
    assert_eq!(start_times(&[]).await, millis([0, 200, 400]));
    let one = Duration::from_millis(30);
    assert_eq!(start_times(&[one]).await, millis([0, 30, 400]));
    let two = Duration::from_millis(50);
    assert_eq!(start_times(&[one, two]).await, millis([0, 30, 50]));
}

#[test]
fn first_seeds_of_many_routers_differ() {
    const ROUTERS: usize = 300;
    let mut firsts: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
    for router in 0..ROUTERS {
        let pull_order = InitialPullOrder::new(&format!("n{router}"), seeds().into_iter(), false);
        let first = seeds()
            .into_iter()
            .find(|seed| pull_order.position(*seed) == 0);
        *firsts.entry(first.expect("a first seed")).or_default() += 1;
    }
    // No seed is the first one of more than twice its share of routers.
    assert_eq!(firsts.len(), SEEDS);
    assert!(
        firsts.values().all(|count| *count <= 2 * ROUTERS / SEEDS),
        "{firsts:?}"
    );
}

/// Three seeds that listen on loopback, and settings of a router with these seeds.
async fn listening_seeds() -> (Vec<TcpListener>, Settings) {
    let bind = |number: u8, port| {
        TcpListener::bind(SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, number), port))
    };
    for _ in 0..10 {
        let first = bind(2, 0).await.expect("a free port");
        let port = first.local_addr().expect("an address").port();
        let (Ok(second), Ok(third)) = (bind(3, port).await, bind(4, port).await) else {
            continue;
        };
        let text = format!(
            r#"{{"nodeName":"n1","ipAddress":"127.0.0.1","zone":"a","listen":{{}},
             "internalPortRange":[{port},{port}],
             "seeds":["127.0.0.2:1","127.0.0.3:1","127.0.0.4:1"]}}"#
        );
        let settings = Settings::parse(Path::new("settings.json"), text.as_bytes());
        return (vec![first, second, third], settings.expect("settings"));
    }
    panic!("no port is free on three addresses")
}

/// Seeds that accept connections and never respond are contacted one after the other.
#[tokio::test]
async fn starting_router_asks_one_seed_at_a_time() {
    let (seeds, settings) = listening_seeds().await;
    let fleet = Fleet::new(Arc::new(settings), None, 1);
    let started_at = Instant::now();
    let pulling = tokio::spawn(upstreams::run(fleet));
    let connected = seeds.iter().map(|seed| async move {
        let connection = seed.accept().await.expect("a connection");
        (started_at.elapsed(), connection)
    });
    let connected =
        tokio::time::timeout(TEST_TIMEOUT, futures_util::future::join_all(connected)).await;
    pulling.abort();
    let connected = connected.expect("a connection to every seed");
    let mut times: Vec<Duration> = connected.iter().map(|(at, _)| *at).collect();
    times.sort();
    assert!(times[1] - times[0] >= STAGGER_INTERVAL / 2, "{times:?}");
    assert!(times[2] - times[1] >= STAGGER_INTERVAL / 2, "{times:?}");
}
