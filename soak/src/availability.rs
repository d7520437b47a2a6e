//! Measures what a fleet serves while its control state can't be confirmed as the latest: after a
//! kill of all routers, and while the control state has no majority.

use crate::backend::Backend;
use crate::client::Clients;
use crate::clock::Millis;
use crate::fleet::{Fleet, StartError};
use crate::history::{Outcome, Policy, Reply};
use crate::settings::Size;
use crate::supervisor::RouterFault;
use std::fmt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// How long each phase is measured.
const PHASE: Duration = Duration::from_secs(6);
/// The time between two phases, in which the fleet recovers.
const RECOVERY: Duration = Duration::from_secs(6);
/// The time-out of one readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(100);
/// The pause between two checks of a router.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The number of backends.
const BACKENDS: usize = 6;
/// The number of clients, and the longest pause of a client between two requests.
const CLIENTS: usize = 60;
const CLIENT_PAUSE: Duration = Duration::from_millis(100);

/// The events that are counted, by the names of their metrics.
const COUNTERS: [&str; 5] = [
    "copies_total",
    "repeats_total",
    "requests_by_unconfirmed_configuration_total",
    "copies_withheld_total",
    "repeats_withheld_total",
];

/// The requests and counters of one phase.
#[derive(Debug, Clone, Default)]
pub struct Phase {
    /// The fault of the phase.
    pub name: &'static str,
    /// Requests that were sent.
    pub sent: usize,
    /// Requests that were served.
    pub served: usize,
    /// Increases of the counters of [`COUNTERS`]; those of older builds may be missing.
    counts: [u64; COUNTERS.len()],
    /// When each router was ready again, since the start of the phase.
    ready_after: Vec<Duration>,
    /// When each router had confirmed state again, since the start of the phase.
    confirmed_after: Vec<Duration>,
}

impl fmt::Display for Phase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {} sent, {} served",
            self.name, self.sent, self.served
        )?;
        for (name, count) in COUNTERS.iter().zip(self.counts) {
            write!(formatter, ", {name} {count}")?;
        }
        for (what, times) in [
            ("ready", &self.ready_after),
            ("confirmed", &self.confirmed_after),
        ] {
            let ms: Vec<u128> = times.iter().map(Duration::as_millis).collect();
            if !ms.is_empty() {
                write!(formatter, ", {what} after {ms:?} ms")?;
            }
        }
        Ok(())
    }
}

/// Measures a new fleet.
///
/// # Errors
/// The fleet can't be started.
pub async fn measure(program: &Path, folder: &Path, size: Size) -> Result<Vec<Phase>, StartError> {
    let fleet = Arc::new(Fleet::start(program, folder, size)?);
    fleet.configure(folder).await?;
    let mut backends = Vec::new();
    for _ in 0..BACKENDS {
        backends.push(Backend::start(fleet.environment.clone()).await?);
    }
    let (stop, stopped) = watch::channel(false);
    let clients = start_clients(&fleet, stopped);
    sleep(RECOVERY).await;

    let calm = phase(&fleet, "calm", || {}).await;
    let kill = || (0..size.routers).for_each(|router| fleet.inject(router, RouterFault::Kill));
    let mut killed = phase(&fleet, "all routers killed", kill).await;
    // The counters have started again with the processes.
    killed.counts = counts(&fleet).await;
    sleep(RECOVERY).await;
    // An acknowledged change shows that the replicas have a leader before the last phase begins.
    while fleet.operator.configure(1, 2, Policy::Relaxed).await == Reply::Unknown {}
    let majority = size.replicas / 2 + 1;
    let suspend = || {
        (0..majority).for_each(|replica| fleet.inject(replica, RouterFault::Suspend(PHASE)));
    };
    let no_majority = phase(&fleet, "no majority of the replicas", suspend).await;

    // The clients hold receivers, so an error is impossible.
    let _ = stop.send(true);
    clients.join_all().await;
    fleet.stop().await;
    Ok(vec![calm, killed, no_majority])
}

fn start_clients(fleet: &Fleet, stopped: watch::Receiver<bool>) -> JoinSet<()> {
    let clients = Arc::new(Clients {
        clock: fleet.clock,
        recorder: fleet.recorder.clone(),
        frontends: (0..fleet.size.routers)
            .map(|number| fleet.addresses.frontend(number))
            .collect(),
        cancelled_permille: 0,
        next_id: AtomicU64::new(1),
    });
    let mut tasks = JoinSet::new();
    for _ in 0..CLIENTS {
        tasks.spawn(clients.clone().run(CLIENT_PAUSE, stopped.clone()));
    }
    tasks
}

/// Measures one phase that begins with `begin`.
async fn phase(fleet: &Arc<Fleet>, name: &'static str, begin: impl FnOnce()) -> Phase {
    let before = counts(fleet).await;
    let from = fleet.clock.now();
    begin();
    let started_at = Instant::now();
    let mut checks = JoinSet::new();
    for router in 0..fleet.size.routers {
        let fleet = fleet.clone();
        checks.spawn(async move {
            let ready = wait_until(started_at, || is_ready(&fleet, router)).await;
            let confirmed = wait_until(started_at, || is_confirmed(&fleet, router)).await;
            (ready, confirmed)
        });
    }
    let times = checks.join_all().await;
    sleep(PHASE.saturating_sub(started_at.elapsed())).await;
    let (sent, served) = requests_between(fleet, from, fleet.clock.now());
    let after = counts(fleet).await;
    Phase {
        name,
        sent,
        served,
        counts: std::array::from_fn(|index| after[index].saturating_sub(before[index])),
        ready_after: times.iter().filter_map(|(ready, _)| *ready).collect(),
        confirmed_after: times
            .iter()
            .filter_map(|(_, confirmed)| *confirmed)
            .collect(),
    }
}

/// When a condition is first met; `None` if it is not within the phase.
async fn wait_until<F: Future<Output = bool>>(
    started_at: Instant,
    is_met: impl Fn() -> F,
) -> Option<Duration> {
    // A process that is about to be killed still answers.
    sleep(CHECK_INTERVAL).await;
    while started_at.elapsed() < PHASE {
        if is_met().await {
            return Some(started_at.elapsed());
        }
        sleep(CHECK_INTERVAL).await;
    }
    None
}

async fn is_ready(fleet: &Fleet, router: usize) -> bool {
    let url = format!("http://{}/v1/readiness", fleet.addresses.readiness(router));
    let response = timeout(READINESS_TIMEOUT, fleet.client.get(url).send()).await;
    response.is_ok_and(|response| response.is_ok_and(|response| response.status() == 200))
}

async fn is_confirmed(fleet: &Fleet, router: usize) -> bool {
    let age = timeout(READINESS_TIMEOUT, fleet.metric(router, "control_age_ms")).await;
    age.is_ok_and(|age| age.is_some())
}

/// The sums of the counters over all routers.
async fn counts(fleet: &Fleet) -> [u64; COUNTERS.len()] {
    let mut counts = [0; COUNTERS.len()];
    for router in 0..fleet.size.routers {
        for (count, name) in counts.iter_mut().zip(COUNTERS) {
            *count += fleet.metric(router, name).await.unwrap_or(0);
        }
    }
    counts
}

/// How many requests were sent in a period, and how many of these were served.
fn requests_between(fleet: &Fleet, from: Millis, to: Millis) -> (usize, usize) {
    let history = fleet.recorder.lock();
    let outcomes: Vec<Outcome> = history
        .requests
        .iter()
        .filter(|request| (from..to).contains(&request.sent_at))
        .map(|request| request.outcome)
        .filter(|outcome| *outcome != Outcome::NotSent)
        .collect();
    let is_served = |outcome: &&Outcome| **outcome == Outcome::Served;
    (outcomes.len(), outcomes.iter().filter(is_served).count())
}
