//! One run: everything is started, the schedule is played, and what was seen is checked.

use crate::backend::{Backend, Surroundings};
use crate::check::{self, Violation};
use crate::client::Clients;
use crate::clock::{Clock, Millis};
use crate::fleet::{self, Keeper, Site, Strike};
use crate::history::{History, Outcome, Recorder, Reply, Seen};
use crate::network::Network;
use crate::operator::Operator;
use crate::schedule::{self, Action, Scope, Step};
use crate::settings::{Addresses, Size};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;

/// How long the first configuration may take.
const START_PATIENCE: Duration = Duration::from_secs(20);
/// After the last trouble everything has so long to come back: the longest stop, a grace period and
/// a restart among it.
const RETURN: Duration = Duration::from_millis(14_000);
/// For so long it is seen then how clients are served.
const CALM: Duration = Duration::from_millis(2_000);
/// Time between two looks at all routers.
const LOOK: Duration = Duration::from_millis(400);
/// Patience for a router to tell its figures.
const LOOK_PATIENCE: Duration = Duration::from_millis(800);
/// How long the operator asks for the newest configuration at the end.
const READ_PATIENCE: Duration = Duration::from_secs(4);
/// Of a thousand requests, how many are left early.
const LEAVES: u64 = 80;

/// What is run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The router program.
    pub program: PathBuf,
    /// Decides everything that is drawn but the clients' requests.
    pub seed: u64,
    /// The routers.
    pub size: Size,
    /// The backends.
    pub backends: usize,
    /// The clients.
    pub clients: usize,
    /// The longest pause of a client between two requests.
    pub pause: Duration,
    /// How long there is trouble, in milliseconds.
    pub trouble_ms: Millis,
    /// Whether the primary is struck again and again while versions of the weights are named.
    pub strikes_primary: bool,
    /// Whether ways to backends are cut again and again while versions of the weights are named.
    pub cuts_ways: bool,
    /// Where settings, data and logs go.
    pub folder: PathBuf,
}

/// Why a run could not be made.
#[derive(Debug, Error)]
pub enum RunError {
    /// The system refuses something.
    #[error("{0}; check the program's path, free ports and the limits of the machine")]
    System(#[from] io::Error),
    /// A client for calls can't be made.
    #[error("calls can't be made: {0}")]
    Client(#[from] reqwest::Error),
    /// Nobody took the first configuration.
    #[error("no router took the first configuration; their logs are in {0}")]
    NoStart(PathBuf),
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// Everything that was seen.
    pub history: History,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
}

impl Report {
    /// How many answers had another status than 200, by status.
    fn statuses(&self) -> BTreeMap<u16, usize> {
        let mut statuses = BTreeMap::new();
        for request in &self.history.requests {
            if let Outcome::Status(status) = request.outcome {
                *statuses.entry(status).or_default() += 1;
            }
        }
        statuses
    }

    /// A line with the figures of the run.
    pub fn figures(&self) -> String {
        let count = |wanted: fn(&Outcome) -> bool| {
            self.history
                .requests
                .iter()
                .filter(|request| wanted(&request.outcome))
                .count()
        };
        format!(
            "{} requests: {} served, other answers {:?}, {} left, {} without a whole answer, {} in no time; {} blows, {} changes, {} orders",
            self.history.requests.len(),
            count(|outcome| *outcome == Outcome::Served),
            self.statuses(),
            count(|outcome| *outcome == Outcome::Left),
            count(|outcome| matches!(outcome, Outcome::NoAnswer | Outcome::BrokenOff)),
            count(|outcome| *outcome == Outcome::TimedOut),
            self.history.struck.len(),
            self.history.changes.len(),
            self.history.orders.len(),
        )
    }
}

/// Everything that a run has going.
struct Stage {
    plan: Plan,
    clock: Clock,
    recorder: Arc<Recorder>,
    addresses: Addresses,
    keepers: Vec<Keeper>,
    around: Arc<Surroundings>,
    backends: Vec<Mutex<Option<Backend>>>,
    operator: Operator,
    client: reqwest::Client,
    weights: AtomicU64,
}

/// Makes a run.
pub async fn run(plan: Plan) -> Result<Report, RunError> {
    // What another run has left there would be taken for this one's: its disks name addresses that
    // may be in use now.
    match fs::remove_dir_all(&plan.folder) {
        Err(problem) if problem.kind() != io::ErrorKind::NotFound => return Err(problem.into()),
        _ => fs::create_dir_all(&plan.folder)?,
    }
    let network = Network::claim()?;
    let addresses = network.addresses;
    let (clock, recorder) = (Clock::start(), Arc::new(Recorder::default()));
    recorder.open().replicas = plan.size.replicas;
    let client = reqwest::Client::builder().no_proxy().build()?;
    let site = Site {
        program: plan.program.clone(),
        folder: plan.folder.clone(),
        size: plan.size,
        addresses,
    };
    let (mut keepers, mut kept) = (Vec::new(), Vec::new());
    for number in 0..plan.size.routers {
        let (keeper, keeping) = fleet::keep(&site, number, clock, &recorder)?;
        keepers.push(keeper);
        kept.push(keeping);
    }
    let control: Vec<_> = (0..plan.size.routers)
        .map(|number| addresses.control(number))
        .collect();
    let around = Surroundings::new(
        clock,
        recorder.clone(),
        control.clone(),
        client.clone(),
        addresses.backends(),
    );
    let mut backends = Vec::new();
    for _ in 0..plan.backends {
        backends.push(Mutex::new(Some(Backend::start(around.clone()).await?)));
    }
    let operator = Operator {
        clock,
        recorder: recorder.clone(),
        control,
        client: client.clone(),
        variants: AtomicU64::new(1),
    };
    let weights = AtomicU64::new(1);
    let stage = Arc::new(Stage {
        plan,
        clock,
        recorder,
        addresses,
        keepers,
        around,
        backends,
        operator,
        client,
        weights,
    });
    let played = stage.clone().play().await;
    stage
        .keepers
        .iter()
        .for_each(|keeper| keeper.strike(Strike::End));
    for keeping in kept {
        // A keeper that failed has been seen by its router's silence.
        let _ = keeping.await;
    }
    played?;
    let history = stage.recorder.open().clone();
    let violations = check::violations(&history);
    Ok(Report {
        history,
        violations,
    })
}

impl Stage {
    async fn play(self: Arc<Self>) -> Result<(), RunError> {
        let started = tokio::time::timeout(START_PATIENCE, async {
            while self.operator.configure(0, 1).await != Reply::Acknowledged {}
        });
        started
            .await
            .map_err(|_| RunError::NoStart(self.plan.folder.clone()))?;
        let (end, ends) = watch::channel(false);
        let clients = Arc::new(Clients {
            clock: self.clock,
            recorder: self.recorder.clone(),
            frontends: (0..self.plan.size.routers)
                .map(|number| self.addresses.frontend(number))
                .collect(),
            leaves: LEAVES,
            next: AtomicU64::new(1),
        });
        let mut tasks = JoinSet::new();
        for _ in 0..self.plan.clients {
            tasks.spawn(clients.clone().run(self.plan.pause, ends.clone()));
        }
        for number in 0..self.plan.size.routers {
            tasks.spawn(self.clone().look(number, ends.clone()));
        }
        self.clone().play_schedule().await;
        tokio::time::sleep(RETURN).await;
        let calm_since = self.clock.now();
        tokio::time::sleep(CALM).await;
        self.look_at_the_end(calm_since).await;
        // Everybody holds a receiver until the run is over.
        let _ = end.send(true);
        while tasks.join_next().await.is_some() {}
        Ok(())
    }

    /// The router that leads the control state, as far as one says so.
    async fn primary(&self) -> Option<usize> {
        for number in 0..self.plan.size.replicas {
            if self.figure(number, "control_leads").await == Some(1) {
                return Some(number);
            }
        }
        None
    }

    async fn play_schedule(self: Arc<Self>) {
        let Plan {
            size,
            backends,
            trouble_ms,
            strikes_primary,
            cuts_ways,
            ..
        } = self.plan;
        let scope = Scope {
            size,
            backends,
            lasts: trouble_ms,
            strikes_primary,
            cuts_ways,
        };
        let begun = tokio::time::Instant::now();
        let mut under_way = JoinSet::new();
        for Step { at, action } in schedule::draw(scope, self.plan.seed) {
            tokio::time::sleep_until(begun + Duration::from_millis(at)).await;
            under_way.spawn(self.clone().act(action));
        }
        while under_way.join_next().await.is_some() {}
    }

    async fn act(self: Arc<Self>, action: Action) {
        match action {
            Action::Router(number, strike) => self.keepers[number].strike(strike),
            Action::Primary(strike) => {
                if let Some(number) = self.primary().await {
                    self.keepers[number].strike(strike);
                }
            }
            Action::Configure { race } => self.configure(race).await,
            Action::NameWeights => self.name_weights().await,
            Action::CrashBackend(number) => {
                let mut place = self.backends[number].lock().await;
                if let Some(backend) = place.take() {
                    backend.crash();
                }
                *place = Backend::start(self.around.clone()).await.ok();
            }
            Action::HangBackend(number, lasts) => {
                self.hang(number, true).await;
                tokio::time::sleep(lasts).await;
                self.hang(number, false).await;
            }
            Action::CutBackend(number, lasts) => {
                self.cut(number, true).await;
                tokio::time::sleep(lasts).await;
                self.cut(number, false).await;
            }
            Action::ReplaceBackend(number) => {
                let new = Backend::start(self.around.clone()).await.ok();
                let old = std::mem::replace(&mut *self.backends[number].lock().await, new);
                if let Some(old) = old {
                    old.leave().await;
                }
            }
        }
    }

    async fn hang(&self, number: usize, hangs: bool) {
        if let Some(backend) = self.backends[number].lock().await.as_ref() {
            backend.hang(hangs);
        }
    }

    async fn cut(&self, number: usize, is_cut: bool) {
        if let Some(backend) = self.backends[number].lock().await.as_ref() {
            backend.cut(is_cut);
        }
    }

    async fn configure(&self, race: bool) {
        let Some(base) = self.operator.read_back(READ_PATIENCE).await else {
            return;
        };
        let version = base + fastrand::u64(1..4);
        if race {
            tokio::join!(
                self.operator.configure(base, version),
                self.operator.configure(base, version)
            );
        } else {
            self.operator.configure(base, version).await;
        }
    }

    async fn name_weights(&self) {
        let version = self.weights.fetch_add(1, Ordering::Relaxed) + 1;
        if self.operator.name_weights(version).await == Reply::Acknowledged {
            self.around
                .newest_weights
                .fetch_max(version, Ordering::Relaxed);
        }
    }

    /// Keeps asking a router for its configuration.
    async fn look(self: Arc<Self>, number: usize, mut ends: watch::Receiver<bool>) {
        while !*ends.borrow_and_update() {
            let asked_at = self.clock.now();
            if let Some(configuration) = self.figure(number, "configuration_version").await {
                let answered_at = self.clock.now();
                let seen = Seen {
                    router: number,
                    asked_at,
                    answered_at,
                    configuration,
                };
                self.recorder.open().seen.push(seen);
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// A figure of a router, as its metrics page tells.
    async fn figure(&self, number: usize, name: &str) -> Option<u64> {
        let url = format!("http://{}/metrics", self.addresses.metrics(number));
        let answer = self
            .client
            .get(url)
            .timeout(LOOK_PATIENCE)
            .send()
            .await
            .ok()?;
        let text = String::from_utf8(answer.bytes().await.ok()?.to_vec()).ok()?;
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    async fn look_at_the_end(&self, calm_since: Millis) {
        let read_back = self.operator.read_back(READ_PATIENCE).await;
        let mut configurations = Vec::new();
        for number in 0..self.plan.size.routers {
            configurations.push(
                self.figure(number, "configuration_version")
                    .await
                    .unwrap_or(0),
            );
        }
        let mut weights = Vec::new();
        for backend in &self.backends {
            weights.push(backend.lock().await.as_ref().map_or(0, Backend::version));
        }
        let mut history = self.recorder.open();
        let owed = history.requests.iter().filter(|request| {
            request.sent_at >= calm_since
                && request.outcome != Outcome::Left
                && request.outcome != Outcome::NotSent
        });
        let outcomes: Vec<bool> = owed
            .map(|request| request.outcome == Outcome::Served)
            .collect();
        let served = outcomes.iter().filter(|served| **served).count();
        let end = &mut history.end;
        end.requests = (outcomes.len() as u32, served as u32);
        (end.read_back, end.configurations, end.weights) = (read_back, configurations, weights);
    }
}
