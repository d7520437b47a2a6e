//! One request of a client, from its first send to the start of its answer: first sends, copies,
//! repeats.

use super::attempt::{self, Begun, Call, Content, Ended, Sent, Transfer, Variant};
use super::backend::{Backend, Fitness};
use super::locator::Locator;
use super::pending::Pending;
use super::pick::{Choice, Need, pick};
use super::table::Table;
use crate::clock;
use crate::counters::Event;
use crate::fleet::Fleet;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::configuration::{Kind, Route};
use hyper::header::HeaderName;
use routing::admission::AdmissionController;
use routing::hedging::{HedgeBudget, LatencyEstimate};
use routing::prefix_index::{PrefixKey, PrefixLocation};
use routing::retry_budget::{RetryBudget, RetryLimits};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// The header by which a backend names itself.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("x-instance-id");

/// How often a request is sent on after backends turned it away.
pub(super) const MOST_REJECTIONS: u32 = 3;
/// So many times the 95th percentile of a kind's answers, and at least the objective, is overdue.
const OVERDUE: u32 = 4;
/// Time between two looks for a backend while there is none.
const LOOK_AGAIN: Duration = Duration::from_millis(15);
/// Time between two looks whether newer weights were named than those at which a request waits.
const LOOK_FOR_WEIGHTS: Duration = Duration::from_millis(200);
/// Part of the objective that a request may wait for a backend before it is refused.
const WAIT_SHARE: u32 = 5;

/// A request was given up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GivenUp {
    /// It has not run and will not: the client may come back after so many seconds.
    NotRun {
        /// The advice.
        retry_after: f64,
    },
    /// It may have run.
    MayHaveRun {
        /// Whether its time was over.
        late: bool,
    },
}

/// What is learned about one kind of request.
#[derive(Debug)]
pub(super) struct Learned {
    /// How long answers take.
    pub(super) pace: LatencyEstimate,
    /// Copies that may still be sent.
    pub(super) copies: HedgeBudget,
}

/// A kind of request: its service, how it is answered, and its objective.
type KindKey = (CompactString, bool, u64);

/// The state that requests share.
pub struct Exchanges {
    /// The fleet.
    pub fleet: Arc<Fleet>,
    /// The backends.
    pub table: Arc<Table>,
    /// Finds out where prompts are kept.
    pub locator: Arc<Locator>,
    learned: Mutex<HashMap<KindKey, Learned>>,
    budgets: Mutex<HashMap<CompactString, RetryBudget>>,
    admissions: Mutex<HashMap<CompactString, AdmissionController>>,
}

/// How often a request was sent, and where.
#[derive(Debug, Clone, Default)]
pub struct Tries {
    /// Backends that it was sent to.
    pub tried: Vec<CompactString>,
    /// Sends that may have run.
    pub runs: u32,
    /// Sends that backends turned away.
    pub rejections: u32,
}

/// What is fixed for one request.
pub struct Job {
    /// What goes to backends.
    pub call: Arc<Call>,
    /// The route.
    pub route: Arc<Route>,
    /// The service.
    pub service: CompactString,
    /// When the router has to be done.
    pub until: Instant,
}

impl Exchanges {
    /// Nothing is under way.
    pub fn new(fleet: Arc<Fleet>, table: Arc<Table>, locator: Arc<Locator>) -> Arc<Self> {
        Arc::new(Exchanges {
            fleet,
            table,
            locator,
            learned: Mutex::default(),
            budgets: Mutex::default(),
            admissions: Mutex::default(),
        })
    }

    fn kind(job: &Job) -> KindKey {
        (
            job.service.clone(),
            job.route.kind == Kind::Streaming,
            job.route.target_latency_ms,
        )
    }

    pub(super) fn count(&self, event: Event) {
        self.fleet.counters.count(event);
    }

    pub(super) fn with_learned<T>(&self, job: &Job, look: impl FnOnce(&mut Learned) -> T) -> T {
        let mut learned = lock(&self.learned);
        let entry = learned.entry(Self::kind(job)).or_insert_with(|| Learned {
            pace: LatencyEstimate::starting(job.route.target_latency_ms * 1_000_000),
            copies: HedgeBudget::default(),
        });
        look(entry)
    }

    fn with_budget<T>(
        &self,
        service: &CompactString,
        look: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let bounds = &self.fleet.settings.bounds;
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let permitted = RetryLimits {
                ratio: bounds.retry_budget_ratio,
                slack: bounds.retry_budget_slack,
                window: (bounds.budget_window_s * 1_000.0) as Millis,
            };
            RetryBudget::new(permitted, clock::now())
        });
        look(budget)
    }

    pub(super) fn with_admission<T>(
        &self,
        service: &CompactString,
        look: impl FnOnce(&mut AdmissionController) -> T,
    ) -> T {
        let mut admissions = lock(&self.admissions);
        look(admissions.entry(service.clone()).or_default())
    }

    /// Whether a request is to be refused as its service can't answer all of them in time. Where
    /// even the least-loaded backend has room, nothing is.
    pub(super) fn is_one_too_many(&self, job: &Job, planned: &Choice) -> bool {
        let share = self.with_admission(&job.service, |admission| {
            admission.rejection_ratio(clock::now())
        });
        share > 0.0 && planned.backend.load().is_crowded() && fastrand::f64() < share
    }

    /// Takes one repeat out of the budget.
    pub(super) fn take_repeat(&self, service: &CompactString, kept: f64) -> bool {
        let routers = self.fleet.members_up();
        self.with_budget(service, |budget| {
            budget.try_withdraw(routers, kept, clock::now())
        })
    }

    pub(super) fn choose(
        &self,
        job: &Job,
        tried: &[CompactString],
        located: Option<&PrefixLocation>,
    ) -> Option<Choice> {
        let backends = self.table.backends(&job.service);
        let prompt = job.call.prompt.as_ref();
        let need = Need {
            prompt,
            wall: &job.call.wall,
            least_version: prompt.and_then(|prompt| self.fleet.least_version(&prompt.model)),
            zone: &self.fleet.settings.zone,
            located,
        };
        pick(&backends, need, tried)
    }

    /// What a send tells its backend about kept prompts. Without a known version nothing is moved:
    /// the text under which parts are found is all that tells versions apart.
    pub(super) fn transfer(
        &self,
        job: &Job,
        choice: &Choice,
        located: Option<&PrefixLocation>,
    ) -> Transfer {
        let Some((prompt, version)) = job.call.prompt.as_ref().zip(choice.version) else {
            return Transfer::default();
        };
        // Parts that are made while a backend changes its weights can't be told by their text from
        // older ones.
        if self.is_being_replaced(&prompt.model, version) {
            return Transfer::default();
        }
        let Some(key) = PrefixKey::of_prompt(&job.call.wall, prompt) else {
            return Transfer::default();
        };
        let store = self.locator.store_of(key).map(|store| store.address);
        let Some(located) = located else {
            return Transfer {
                fetch: store,
                save: None,
            };
        };
        let is_there = located.is_cached_by(&choice.backend.id, version);
        let other = if is_there {
            None
        } else {
            self.other_holder(&choice.backend, &prompt.model, version, located)
        };
        // What a store has gives way less often than what a backend keeps.
        let fetch = if located.stored_version == Some(version) {
            store.or(other)
        } else {
            other.or(store)
        };
        Transfer {
            fetch,
            save: store.filter(|_| located.should_save),
        }
    }

    /// Whether a newer version of a model's weights has been named than this one.
    fn is_being_replaced(&self, model: &str, version: u64) -> bool {
        let published = lock(&self.fleet.published);
        published
            .weights()
            .get(model)
            .is_some_and(|target| target.version > version)
    }

    /// Another backend that keeps the prefix under this version and may be asked for it, one of the
    /// same zone first.
    fn other_holder(
        &self,
        chosen: &Backend,
        model: &str,
        version: u64,
        located: &PrefixLocation,
    ) -> Option<SocketAddrV4> {
        let holders = located.replicas.iter();
        let others =
            holders.filter(|holder| holder.version == version && holder.backend != chosen.id);
        let known = others.filter_map(|holder| self.table.backend(&holder.backend));
        let sound = known.filter(|backend| {
            backend.fitness(Some((model, Some(version)))) == Fitness::Fit
                && backend.version(model) == Some(version)
        });
        let nearest = sound.min_by_key(|backend| backend.zone != chosen.zone);
        nearest.map(|backend| backend.address)
    }

    /// Waits a little for a backend where there is none at present.
    pub(super) async fn choose_soon(
        &self,
        job: &Job,
        tried: &[CompactString],
        located: Option<&PrefixLocation>,
    ) -> Option<Choice> {
        let patience = Duration::from_millis(job.route.target_latency_ms) / WAIT_SHARE;
        let until = (Instant::now() + patience).min(job.until);
        loop {
            if let Some(choice) = self.choose(job, tried, located) {
                return Some(choice);
            }
            if Instant::now() + LOOK_AGAIN > until {
                return None;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Sends a request until there is an answer to pass on, or none can be had.
    pub async fn run(&self, job: &Job) -> Result<(Begun, Tries), GivenUp> {
        self.with_budget(&job.service, |budget| budget.deposit(clock::now()));
        Pending::new(self, job).run().await
    }

    /// Sends a request to the chosen backend and waits for the start of its answer. A request may
    /// wait there for long before it starts, so it is withdrawn when the backend's weights must not
    /// be used any more.
    pub(super) async fn send(
        &self,
        job: &Job,
        choice: Choice,
        last_event_id: Option<String>,
        located: Option<&PrefixLocation>,
        sent: Sent,
    ) -> attempt::Result {
        let transfer = self.transfer(job, &choice, located);
        let overdue_after = self.overdue_after(job);
        let variant = Variant {
            version: choice.version,
            last_event_id,
            transfer,
            overdue_after,
        };
        let answered = attempt::send(
            job.call.clone(),
            choice.backend,
            variant,
            choice.unread,
            sent,
        );
        let Some(prompt) = &job.call.prompt else {
            return answered.await;
        };
        tokio::select! {
            biased;
            result = answered => result,
            () = self.get_too_old(&prompt.model, choice.version.unwrap_or_default()) => Err(Ended::Withdrawn),
        }
    }

    /// Comes back when requests must not start on this version any more.
    async fn get_too_old(&self, model: &str, version: u64) {
        loop {
            let left = match self.fleet.last_start(model, version) {
                Some(last) => Duration::from_millis(last.saturating_sub(clock::now())),
                None => LOOK_FOR_WEIGHTS,
            };
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(LOOK_FOR_WEIGHTS)).await;
        }
    }

    /// A backend that has not begun to answer after this is taken to be at fault.
    pub(super) fn overdue_after(&self, job: &Job) -> Duration {
        let p95 = self.with_learned(job, |learned| learned.pace.p95);
        let objective = Duration::from_millis(job.route.target_latency_ms);
        objective.max(OVERDUE * Duration::from_nanos(p95 as u64))
    }

    /// Goes on with a stream that broke off, at another backend.
    pub async fn resume(
        &self,
        job: &Job,
        tries: &mut Tries,
        last_event_id: String,
    ) -> Option<Begun> {
        while tries.runs < job.route.attempts && tries.rejections <= MOST_REJECTIONS {
            let choice = self.choose_soon(job, &tries.tried, None).await?;
            if !self.take_repeat(&job.service, 0.0) {
                return None;
            }
            tries.tried.push(choice.backend.id.clone());
            tries.runs += 1;
            let send = self.send(
                job,
                choice,
                Some(last_event_id.clone()),
                None,
                Sent::default(),
            );
            match tokio::time::timeout_at(job.until, send).await.ok()? {
                Ok(begun) => return Some(begun),
                Err(Ended::Broken | Ended::Withdrawn) => {}
                Err(Ended::NotSent | Ended::Rejected { .. }) => {
                    tries.runs -= 1;
                    tries.rejections += 1;
                }
            }
        }
        None
    }
}

/// Whether an answer is a stream.
pub fn is_stream(begun: &Begun) -> bool {
    matches!(begun.content, Content::Events(_))
}
