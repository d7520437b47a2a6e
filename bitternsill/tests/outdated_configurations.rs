//! Routers whose configuration is older than the last acknowledged one neither execute requests
//! twice nor share cached segments that it forbids, with real processes.

use soak::backend::Backend;
use soak::check;
use soak::fleet::Fleet;
use soak::history::{Kind, Outcome, Policy, ProcessEvent, Reply, Request, Tenant};
use soak::settings::{CONFIG_APPLY_MS, Size};
use soak::supervisor::RouterFault;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

const SIZE: Size = Size {
    routers: 4,
    replicas: 3,
};
const BACKENDS: usize = 3;
/// The number of the router with a replica that returns first.
const REPLICA: usize = 2;
/// The router without a replica.
const WITHOUT_REPLICA: usize = 3;
/// A test that waits this long for one step has failed.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Requests of each tenant to the router under test.
const REQUESTS: u64 = 6;
/// Longer than the time after which a router hedges a request.
const LONG_WORK_MS: u64 = 700;
const SHORT_WORK_MS: u64 = 5;
/// How long the other replicas are down: they return within a second.
const OUTAGE: Duration = Duration::from_millis(1_000);
const SUSPENSION: Duration = Duration::from_millis(3_900);

/// A fleet under test, with a relaxed configuration.
struct Routers {
    fleet: Fleet,
    folder: PathBuf,
    _backends: Vec<Backend>,
}

impl Routers {
    /// Starts a fleet whose backends have cached the first tenant's segments.
    async fn start(name: &str) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_bitternsill"));
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        let fleet = Fleet::start(program, &folder, SIZE).unwrap();
        fleet.configure(&folder).await.unwrap();
        let mut backends = Vec::new();
        for _ in 0..BACKENDS {
            backends.push(Backend::start(fleet.environment.clone()).await.unwrap());
        }
        let routers = Routers {
            fleet,
            folder,
            _backends: backends,
        };
        routers.configure(1, Policy::Relaxed).await;
        routers.wait_until_all_serve().await;
        routers
    }

    async fn configure(&self, base: u64, policy: Policy) {
        let operator = &self.fleet.operator;
        assert_eq!(
            operator.configure(base, base + 1, policy).await,
            Reply::Acknowledged
        );
    }

    /// Waits until every router serves, and every backend executes requests of the first tenant.
    async fn wait_until_all_serve(&self) {
        let started_at = Instant::now();
        for router in 0..SIZE.routers {
            while self.send(router, Tenant::First, SHORT_WORK_MS).await < REQUESTS as usize {
                assert!(
                    started_at.elapsed() < TIMEOUT,
                    "router {router} serves too few"
                );
            }
        }
    }

    /// Sends concurrent requests of a tenant to a router. Returns how many were served.
    async fn send(&self, router: usize, tenant: Tenant, work_ms: u64) -> usize {
        let mut requests = JoinSet::new();
        for _ in 0..REQUESTS {
            let id = fastrand::u64(..);
            let url = format!(
                "http://{}/configured/x",
                self.fleet.addresses.frontend(router)
            );
            let request = self
                .fleet
                .client
                .post(url)
                .header("host", "h")
                .header("authorization", format!("Bearer {}", tenant.api_key()))
                .header("x-request-id", format!("{id:016x}"))
                .header("x-deadline-ms", "3000")
                .header("x-model-name", "m")
                .header("x-token-counts", "200,10")
                .header("x-prompt-prefix", format!("aa:50,{id:x}:150"))
                .header("x-soak-work", format!("{work_ms},0"));
            let clock = self.fleet.clock;
            requests.spawn(async move {
                let sent_at = clock.now();
                let outcome = match request.send().await {
                    Ok(response) if response.status() == 200 => Outcome::Served,
                    Ok(response) => Outcome::Status(response.status().as_u16()),
                    Err(_) => Outcome::NoResponse,
                };
                Request {
                    id,
                    kind: Kind::Configured,
                    tenant,
                    router,
                    sent_at,
                    ended_at: clock.now(),
                    outcome,
                }
            });
        }
        let ended = requests.join_all().await;
        let served = ended
            .iter()
            .filter(|request| request.outcome == Outcome::Served)
            .count();
        self.fleet.recorder.lock().requests.extend(ended);
        served
    }

    /// Waits until a router has started once more.
    async fn wait_until_restarted(&self, router: usize) {
        let has_restarted = || {
            let history = self.fleet.recorder.lock();
            let starts = history
                .router_events
                .iter()
                .filter(|event| event.router == router && event.event == ProcessEvent::Started);
            starts.count() > 1
        };
        let started_at = Instant::now();
        while !has_restarted()
            || self
                .fleet
                .metric(router, "configuration_version")
                .await
                .is_none()
        {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "router {router} is not back"
            );
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Ends the run, and asserts that requests were bound by the strict configuration, that the
    /// router handled some by an older one, and that none was treated as that one allows.
    async fn stop(self, router: usize) {
        let name = "requests_by_unconfirmed_configuration_total";
        let unconfirmed = self.fleet.metric(router, name).await;
        self.fleet.stop().await;
        let history = self.fleet.recorder.lock().clone();
        let _ = std::fs::remove_dir_all(self.folder);
        let found: Vec<String> = check::violations(&history)
            .iter()
            .filter(|violation| ["TWICE", "WALL"].contains(&violation.rule))
            .map(ToString::to_string)
            .collect();
        assert!(found.is_empty(), "{}", found.join("\n"));
        assert!(check::requests_bound_by_strict_policy(&history) >= 2 * REQUESTS as usize);
        assert!(
            unconfirmed.is_some_and(|count| count > 0),
            "{unconfirmed:?}"
        );
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// Guards against a replica that returns first after a kill of all, and serves by the configuration
/// before the last acknowledged one: hedges, and segments of a tenant that is isolated since.
#[test]
fn first_replica_to_return_treats_requests_by_no_older_configuration() {
    runtime().block_on(async {
        let routers = Routers::start("first-to-return").await;
        routers.configure(2, Policy::Strict).await;
        sleep(Duration::from_millis(CONFIG_APPLY_MS + 300)).await;
        for router in 0..SIZE.replicas {
            let outage = if router == REPLICA {
                Duration::ZERO
            } else {
                OUTAGE
            };
            routers.fleet.inject(router, RouterFault::Outage(outage));
        }
        routers.wait_until_restarted(REPLICA).await;
        tokio::join!(
            routers.send(REPLICA, Tenant::First, LONG_WORK_MS),
            routers.send(REPLICA, Tenant::Second, LONG_WORK_MS)
        );
        routers.stop(REPLICA).await;
    });
}

/// Guards against a router that wakes from a suspension, and treats the requests that waited in its
/// sockets by the configuration from before it.
#[test]
fn resumed_router_treats_requests_by_no_older_configuration() {
    runtime().block_on(async {
        let mut routers = Routers::start("resumed").await;
        // The operator does not wait for the suspended router.
        routers.fleet.operator.control.truncate(SIZE.replicas);
        let suspended_at = Instant::now();
        let suspend = RouterFault::Suspend(SUSPENSION);
        routers.fleet.inject(WITHOUT_REPLICA, suspend);
        sleep(Duration::from_millis(100)).await;
        routers.configure(2, Policy::Strict).await;
        let acknowledged_at = Instant::now();
        sleep_until(suspended_at + SUSPENSION - Duration::from_millis(400)).await;
        assert!(acknowledged_at.elapsed() > Duration::from_millis(CONFIG_APPLY_MS));
        tokio::join!(
            routers.send(WITHOUT_REPLICA, Tenant::First, LONG_WORK_MS),
            routers.send(WITHOUT_REPLICA, Tenant::Second, LONG_WORK_MS)
        );
        routers.stop(WITHOUT_REPLICA).await;
    });
}
