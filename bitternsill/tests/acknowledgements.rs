//! What was acknowledged holds after all replicas were killed at that moment, with real processes.

use soak::backend::{Backend, Withdrawal};
use soak::clock::Millis;
use soak::fleet::Fleet;
use soak::history::{BackendState, Policy, Reply};
use soak::settings::{RECONNECT_MS, Size};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const SIZE: Size = Size {
    routers: 4,
    replicas: 3,
};
/// A test that waits this long for one step has failed.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than the interval between periodic saves of the backends that a router knows.
const CALM: Duration = Duration::from_millis(1_500);
/// Time between the two kills: the routers are back by then, and have just read their disks.
const BETWEEN_KILLS: Duration = Duration::from_millis(1_000);
/// The supervisors restart the routers within this time.
const RESTART_TIME: Duration = Duration::from_millis(1_000);
/// Concurrent requests to each router, more than one backend has slots for.
const CONCURRENT_REQUESTS: u64 = 10;
/// How long requests are sent at the end.
const MEASURED: Duration = Duration::from_millis(1_500);
/// Processing time and number of events of a request.
const WORK: &str = "20,0";

/// A fleet under test.
struct Routers {
    fleet: Fleet,
    folder: PathBuf,
}

impl Routers {
    async fn start(name: &str) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_bitternsill"));
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        let fleet = Fleet::start(program, &folder, SIZE).unwrap();
        fleet.configure(&folder).await.unwrap();
        Routers { fleet, folder }
    }

    /// Kills all replicas, again as soon as they have come back, and waits until they are back.
    async fn kill_replicas_twice(&self) {
        self.fleet.kill_replicas();
        sleep(BETWEEN_KILLS).await;
        self.fleet.kill_replicas();
        sleep(RESTART_TIME).await;
    }

    /// The value of a metric of a router, once it can be read.
    async fn metric(&self, router: usize, name: &str) -> u64 {
        let started_at = Instant::now();
        loop {
            if let Some(value) = self.fleet.metric(router, name).await {
                return value;
            }
            assert!(
                started_at.elapsed() < TIMEOUT,
                "router {router} has no metric {name}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends requests to all routers for a while.
    async fn send_requests(&self, duration: Duration) {
        let mut tasks = JoinSet::new();
        for number in 0..SIZE.routers {
            for _ in 0..CONCURRENT_REQUESTS {
                let url = format!("http://{}/safe/x", self.fleet.addresses.frontend(number));
                tasks.spawn(send_requests(self.fleet.client.clone(), url, duration));
            }
        }
        tasks.join_all().await;
    }

    /// Waits until all backends execute requests.
    async fn wait_until_all_serve(&self, backends: usize) {
        let started_at = Instant::now();
        while self.executions_since(0).len() < backends {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "some backends get no requests"
            );
            self.send_requests(Duration::from_millis(100)).await;
        }
    }

    /// The number of executions that arrived at each backend since a time.
    fn executions_since(&self, since: Millis) -> BTreeMap<u64, usize> {
        let mut counts = BTreeMap::new();
        let history = self.fleet.recorder.lock();
        for execution in &history.executions {
            if execution.arrived_at >= since {
                *counts.entry(execution.backend).or_default() += 1;
            }
        }
        counts
    }

    /// The backends whose withdrawal was acknowledged.
    fn withdrawn_backends(&self) -> Vec<u64> {
        let history = self.fleet.recorder.lock();
        let withdrawn = history
            .backends
            .iter()
            .filter(|event| event.state == BackendState::Withdrawn);
        withdrawn.map(|event| event.backend).collect()
    }

    async fn stop(self) {
        self.fleet.stop().await;
        let _ = std::fs::remove_dir_all(self.folder);
    }
}

async fn send_requests(client: reqwest::Client, url: String, duration: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < duration {
        let request = client
            .post(&url)
            .header("host", "h")
            .header("authorization", "Bearer key1")
            .header("x-request-id", format!("{:016x}", fastrand::u64(..)))
            .header("x-soak-work", WORK)
            .header("x-deadline-ms", "3000");
        // Whether it is served is not what the test is about.
        let _ = request.send().await;
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// Guards against routers that send requests to a backend whose draining or deregistration was
/// acknowledged: the majority that had the record had it only in memory, all replicas were killed,
/// and came back with the backend as ready.
#[test]
fn acknowledged_withdrawals_survive_two_kills_of_all_replicas() {
    runtime().block_on(async {
        let routers = Routers::start("withdrawals").await;
        let mut backends = Vec::new();
        for _ in 0..4 {
            backends.push(
                Backend::start(routers.fleet.environment.clone())
                    .await
                    .unwrap(),
            );
        }
        routers.wait_until_all_serve(backends.len()).await;
        sleep(CALM).await;

        let leaving = &backends[2..];
        let late: Vec<_> = leaving.iter().map(Backend::send_late_heartbeat).collect();
        tokio::time::timeout(TIMEOUT, async {
            tokio::join!(
                leaving[0].withdraw(Withdrawal::Deregister),
                leaving[1].withdraw(Withdrawal::Drain)
            )
        })
        .await
        .expect("both withdrawals are acknowledged");
        routers.kill_replicas_twice().await;
        sleep(Duration::from_millis(RECONNECT_MS)).await;
        for heartbeat in late {
            heartbeat.arrive().await;
        }
        let since = routers.fleet.clock.now();
        routers.send_requests(MEASURED).await;

        let counts = routers.executions_since(since);
        let withdrawn: Vec<u64> = routers.withdrawn_backends();
        drop(backends);
        routers.stop().await;
        assert_eq!(withdrawn.len(), 2, "both withdrawals were acknowledged");
        let served: usize = counts.values().sum();
        assert!(served > 100, "only {served} requests were executed");
        for backend in withdrawn {
            assert_eq!(
                counts.get(&backend),
                None,
                "backend {backend} got requests after its acknowledged withdrawal: {counts:?}"
            );
        }
    });
}

/// Guards against configurations and versions of weights that are acknowledged before they are on
/// disk.
#[test]
fn acknowledged_changes_survive_two_kills_of_all_replicas() {
    runtime().block_on(async {
        let routers = Routers::start("changes").await;
        let operator = &routers.fleet.operator;
        for round in 0..2 {
            let base = 1 + round;
            assert_eq!(
                operator.configure(base, base + 1, Policy::Relaxed).await,
                Reply::Acknowledged
            );
            assert_eq!(
                operator.announce_weights(base + 1).await,
                Reply::Acknowledged
            );
            routers.kill_replicas_twice().await;
            assert_eq!(operator.read_back(TIMEOUT).await, Some(base + 1));
            for router in 0..SIZE.routers {
                let in_force = routers.metric(router, "configuration_version").await;
                assert_eq!(in_force, base + 1, "router {router}");
            }
            // An older version of the weights would be accepted as new if the newest one was lost.
            let metric = "weights_named{model=\"m\"}";
            for router in 0..SIZE.replicas {
                assert_eq!(routers.metric(router, metric).await, base + 1);
            }
        }
        routers.stop().await;
    });
}
