//! One run: starts routers, backends and clients, executes the schedule, and checks the history.

use crate::backend::{Backend, Withdrawal};
use crate::check::{self, Violation};
use crate::client::Clients;
use crate::clock::Millis;
use crate::fleet::{Fleet, StartError};
use crate::history::{History, Outcome, Policy, Reply, StatusRecord};
use crate::schedule::{self, Action, Scope, Step, WithdrawalStep};
use crate::settings::Size;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;

/// The time for recovery after the schedule, enough for the longest suspension, a grace period and
/// a restart.
const RECOVERY_TIME: Duration = Duration::from_millis(14_000);
/// How long the share of served requests is measured after recovery.
const MEASURED_TIME: Duration = Duration::from_millis(2_000);
/// The interval between polls of a router's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// The time-out of a linearizable read of the configuration.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a draining backend serves on after the acknowledgement.
const DRAIN_TIME: Duration = Duration::from_millis(2_200);
/// How long a backend of the withdrawal series serves on: until routers that were killed meanwhile
/// have been connected again for a while.
const LONG_DRAIN_TIME: Duration = Duration::from_millis(8_000);
/// The time between two kills of all replicas: the processes have started again by then.
const KILL_INTERVAL: Duration = Duration::from_millis(1_000);
/// The number of cancelled requests per thousand.
const CANCELLED_PERMILLE: u64 = 80;

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The router program.
    pub program: PathBuf,
    /// The seed of the schedule. Other random choices differ between runs with the same seed.
    pub seed: u64,
    /// The number of routers.
    pub size: Size,
    /// The number of backends.
    pub backends: usize,
    /// The number of clients.
    pub clients: usize,
    /// The longest pause of a client between two requests.
    pub pause: Duration,
    /// The length of the schedule, in milliseconds.
    pub fault_ms: Millis,
    /// Whether to add a series of faults of the leader while versions of the weights are announced.
    pub leader_faults: bool,
    /// Whether to add a series of partitions of links to backends while versions of the weights are
    /// announced.
    pub partitions: bool,
    /// Whether to add a series of withdrawals of backends, with kills of all replicas as soon as
    /// they are acknowledged.
    pub withdrawals: bool,
    /// Whether to alternate strict and relaxed configurations, in place of the usual changes, while
    /// routers are suspended and all replicas are killed.
    pub policies: bool,
    /// The folder for settings, data and logs. Its former contents are deleted.
    pub folder: PathBuf,
}

/// The result of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// All observations.
    pub history: History,
    /// The violated rules.
    pub violations: Vec<Violation>,
}

impl Report {
    /// The number of responses for each status other than 200.
    fn statuses(&self) -> BTreeMap<u16, usize> {
        let mut statuses = BTreeMap::new();
        for request in &self.history.requests {
            if let Outcome::Status(status) = request.outcome {
                *statuses.entry(status).or_default() += 1;
            }
        }
        statuses
    }

    /// A line with the counts of requests, events, changes and orders.
    pub fn summary(&self) -> String {
        let count = |wanted: fn(&Outcome) -> bool| {
            self.history
                .requests
                .iter()
                .filter(|request| wanted(&request.outcome))
                .count()
        };
        format!(
            "{} requests: {} served, other statuses {:?}, {} cancelled, {} without a complete response, {} timed out; {} router events, {} changes, {} orders, {} bound by a strict policy",
            self.history.requests.len(),
            count(|outcome| *outcome == Outcome::Served),
            self.statuses(),
            count(|outcome| *outcome == Outcome::Cancelled),
            count(|outcome| matches!(outcome, Outcome::NoResponse | Outcome::Truncated)),
            count(|outcome| *outcome == Outcome::TimedOut),
            self.history.router_events.len(),
            self.history.changes.len(),
            self.history.orders.len(),
            check::requests_bound_by_strict_policy(&self.history),
        )
    }
}

/// A run in progress.
struct RunningSoak {
    plan: Plan,
    fleet: Fleet,
    backends: Vec<Mutex<Option<Backend>>>,
    weights: AtomicU64,
    /// The policy of the next configuration.
    policy: std::sync::Mutex<Policy>,
}

/// Executes a run.
///
/// # Errors
/// The run could not be started: see [`StartError`].
pub async fn run(plan: Plan) -> Result<Report, StartError> {
    let fleet = Fleet::start(&plan.program, &plan.folder, plan.size)?;
    let mut backends = Vec::new();
    for _ in 0..plan.backends {
        let backend = Backend::start(fleet.environment.clone()).await?;
        backends.push(Mutex::new(Some(backend)));
    }
    let soak = Arc::new(RunningSoak {
        plan,
        fleet,
        backends,
        weights: AtomicU64::new(1),
        policy: std::sync::Mutex::default(),
    });
    let result = soak.clone().execute().await;
    soak.fleet.stop().await;
    result?;
    let history = soak.fleet.recorder.lock().clone();
    let violations = check::violations(&history);
    Ok(Report {
        history,
        violations,
    })
}

impl RunningSoak {
    async fn execute(self: Arc<Self>) -> Result<(), StartError> {
        self.fleet.configure(&self.plan.folder).await?;
        let (stop, stopped) = watch::channel(false);
        let clients = Arc::new(Clients {
            clock: self.fleet.clock,
            recorder: self.fleet.recorder.clone(),
            frontends: (0..self.plan.size.routers)
                .map(|number| self.fleet.addresses.frontend(number))
                .collect(),
            cancelled_permille: CANCELLED_PERMILLE,
            next_id: AtomicU64::new(1),
        });
        let mut tasks = JoinSet::new();
        for _ in 0..self.plan.clients {
            tasks.spawn(clients.clone().run(self.plan.pause, stopped.clone()));
        }
        for number in 0..self.plan.size.routers {
            tasks.spawn(self.clone().poll_status(number, stopped.clone()));
        }
        self.clone().execute_schedule().await;
        tokio::time::sleep(RECOVERY_TIME).await;
        let recovered_at = self.fleet.clock.now();
        tokio::time::sleep(MEASURED_TIME).await;
        self.record_final_state(recovered_at).await;
        // Sending cannot fail, as `stopped` is still in scope.
        let _ = stop.send(true);
        while tasks.join_next().await.is_some() {}
        Ok(())
    }

    /// The leader of the control state, if a router reports to be the leader.
    async fn leader(&self) -> Option<usize> {
        for number in 0..self.plan.size.replicas {
            if self.fleet.metric(number, "control_leads").await == Some(1) {
                return Some(number);
            }
        }
        None
    }

    async fn execute_schedule(self: Arc<Self>) {
        let Plan {
            size,
            backends,
            fault_ms,
            leader_faults,
            partitions,
            withdrawals,
            policies,
            ..
        } = self.plan;
        let scope = Scope {
            size,
            backends,
            duration: fault_ms,
            leader_faults,
            partitions,
            withdrawals,
            policies,
        };
        let started_at = tokio::time::Instant::now();
        let mut actions = JoinSet::new();
        for Step { at, action } in schedule::draw(scope, self.plan.seed) {
            tokio::time::sleep_until(started_at + Duration::from_millis(at)).await;
            actions.spawn(self.clone().execute_action(action));
        }
        while actions.join_next().await.is_some() {}
    }

    async fn execute_action(self: Arc<Self>, action: Action) {
        match action {
            Action::Router(number, fault) => self.fleet.inject(number, fault),
            Action::Leader(fault) => {
                if let Some(number) = self.leader().await {
                    self.fleet.inject(number, fault);
                }
            }
            Action::Configure { race } => self.configure(race).await,
            Action::SetPolicy(policy) => {
                *self.lock_policy() = policy;
                self.configure(false).await;
            }
            Action::AnnounceWeights => self.announce_weights().await,
            Action::CrashBackend(number) => {
                let mut current = self.backends[number].lock().await;
                if let Some(backend) = current.take() {
                    backend.crash();
                }
                *current = Backend::start(self.fleet.environment.clone()).await.ok();
            }
            Action::HangBackend(number, duration) => {
                self.set_hanging(number, true).await;
                tokio::time::sleep(duration).await;
                self.set_hanging(number, false).await;
            }
            Action::PartitionBackend(number, duration) => {
                self.set_partitioned(number, true).await;
                tokio::time::sleep(duration).await;
                self.set_partitioned(number, false).await;
            }
            Action::ReplaceBackend(number) => {
                if let Some(old) = self.replace_backend(number).await {
                    old.leave(Withdrawal::Drain, DRAIN_TIME, || async {}).await;
                }
            }
            Action::WithdrawBackend(number, step) => self.withdraw_backend(number, step).await,
        }
    }

    /// Starts another backend in place of this one, which is returned.
    async fn replace_backend(&self, number: usize) -> Option<Backend> {
        let new = Backend::start(self.fleet.environment.clone()).await.ok();
        std::mem::replace(&mut *self.backends[number].lock().await, new)
    }

    /// Starts another backend in place of this one, which withdraws. Its last heartbeat arrives
    /// late, and all replicas are killed at the moment of the acknowledgement.
    async fn withdraw_backend(&self, number: usize, step: WithdrawalStep) {
        let Some(old) = self.replace_backend(number).await else {
            return;
        };
        let late_heartbeat = old.send_late_heartbeat();
        let leaving = old.leave(step.withdrawal, LONG_DRAIN_TIME, || async {
            for kill in 0..step.kills {
                if kill > 0 {
                    tokio::time::sleep(KILL_INTERVAL).await;
                }
                self.fleet.kill_replicas();
            }
        });
        let late = async {
            tokio::time::sleep(step.heartbeat_delay).await;
            late_heartbeat.arrive().await
        };
        tokio::join!(leaving, late);
    }

    async fn set_hanging(&self, number: usize, is_hanging: bool) {
        if let Some(backend) = self.backends[number].lock().await.as_ref() {
            backend.set_hanging(is_hanging);
        }
    }

    async fn set_partitioned(&self, number: usize, is_partitioned: bool) {
        if let Some(backend) = self.backends[number].lock().await.as_ref() {
            backend.set_partitioned(is_partitioned);
        }
    }

    fn lock_policy(&self) -> std::sync::MutexGuard<'_, Policy> {
        self.policy
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn configure(&self, race: bool) {
        let Some(base) = self.fleet.operator.read_back(READ_TIMEOUT).await else {
            return;
        };
        let version = base + fastrand::u64(1..4);
        let policy = *self.lock_policy();
        if race {
            tokio::join!(
                self.fleet.operator.configure(base, version, policy),
                self.fleet.operator.configure(base, version, policy)
            );
        } else {
            self.fleet.operator.configure(base, version, policy).await;
        }
    }

    async fn announce_weights(&self) {
        let version = self.weights.fetch_add(1, Ordering::Relaxed) + 1;
        if self.fleet.operator.announce_weights(version).await == Reply::Acknowledged {
            self.fleet
                .environment
                .newest_weights
                .fetch_max(version, Ordering::Relaxed);
        }
    }

    /// Polls the version of a router's configuration until `stopped` is true.
    async fn poll_status(self: Arc<Self>, number: usize, mut stopped: watch::Receiver<bool>) {
        while !*stopped.borrow_and_update() {
            let asked_at = self.fleet.clock.now();
            if let Some(configuration) = self.fleet.metric(number, "configuration_version").await {
                let answered_at = self.fleet.clock.now();
                let status = StatusRecord {
                    router: number,
                    asked_at,
                    answered_at,
                    configuration,
                };
                self.fleet.recorder.lock().statuses.push(status);
            }
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    }

    async fn record_final_state(&self, recovered_at: Millis) {
        let read_back = self.fleet.operator.read_back(READ_TIMEOUT).await;
        let mut configurations = Vec::new();
        for number in 0..self.plan.size.routers {
            configurations.push(
                self.fleet
                    .metric(number, "configuration_version")
                    .await
                    .unwrap_or(0),
            );
        }
        let mut weights = Vec::new();
        for backend in &self.backends {
            weights.push(backend.lock().await.as_ref().map_or(0, Backend::version));
        }
        let mut history = self.fleet.recorder.lock();
        let expected = history.requests.iter().filter(|request| {
            request.sent_at >= recovered_at
                && request.outcome != Outcome::Cancelled
                && request.outcome != Outcome::NotSent
        });
        let outcomes: Vec<bool> = expected
            .map(|request| request.outcome == Outcome::Served)
            .collect();
        let served = outcomes.iter().filter(|served| **served).count();
        let final_state = &mut history.final_state;
        final_state.requests = (outcomes.len() as u32, served as u32);
        (
            final_state.read_back,
            final_state.configurations,
            final_state.weights,
        ) = (read_back, configurations, weights);
    }
}
