//! One request of a client, from its first send to the start of its answer: first sends, copies,
//! repeats.

use super::attempt::{
    self, AttemptError, AttemptOptions, ExecutionFlag, KvTransfer, ResponseBody, ResponseStart,
    UpstreamRequest,
};
use super::backend::{Backend, Eligibility};
use super::backend_table::BackendTable;
use super::in_flight::InFlightRequest;
use super::prefix_locator::PrefixLocator;
use super::selection::{SelectedBackend, SelectionCriteria, select_backend};
use crate::clock;
use crate::counters::Event;
use crate::fleet::Fleet;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::configuration::{Kind, Route};
use hyper::header::HeaderName;
use routing::admission::AdmissionController;
use routing::hedging::{HedgeBudget, Pace};
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
pub(super) const MAX_REJECTIONS: u32 = 3;
/// So many times the 95th percentile of a kind's answers, and at least the objective, is overdue.
const OVERDUE_FACTOR: u32 = 4;
/// Time between two looks for a backend while there is none.
const SELECTION_RETRY_INTERVAL: Duration = Duration::from_millis(15);
/// Time between two looks whether newer weights were named than those at which a request waits.
const WEIGHTS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Part of the objective that a request may wait for a backend before it is refused.
const SELECTION_WAIT_DIVISOR: u32 = 5;

/// A request was given up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ForwardError {
    /// It has not run and will not: the client may come back after so many seconds.
    NotExecuted {
        /// The advice.
        retry_after: f64,
    },
    /// It may have run.
    MayHaveExecuted {
        /// Whether its time was over.
        timed_out: bool,
    },
}

/// What is learned about one kind of request.
#[derive(Debug)]
pub(super) struct RouteStats {
    /// How long answers take.
    pub(super) pace: Pace,
    /// Copies that may still be sent.
    pub(super) hedge_budget: HedgeBudget,
}

/// Requests that share latency statistics.
#[derive(Debug, PartialEq, Eq, Hash)]
struct RouteStatsKey {
    service: CompactString,
    is_streaming: bool,
    latency_target_ms: u64,
}

/// The state that requests share.
pub struct Forwarder {
    /// The fleet.
    pub fleet: Arc<Fleet>,
    /// The backends.
    pub table: Arc<BackendTable>,
    /// Finds out where prompts are kept.
    pub locator: Arc<PrefixLocator>,
    route_stats: Mutex<HashMap<RouteStatsKey, RouteStats>>,
    budgets: Mutex<HashMap<CompactString, RetryBudget>>,
    admissions: Mutex<HashMap<CompactString, AdmissionController>>,
}

/// How often a request was sent, and where.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    /// Backends that it was sent to.
    pub attempted: Vec<CompactString>,
    /// Sends that may have run.
    pub executions: u32,
    /// Sends that backends turned away.
    pub rejections: u32,
}

/// What is fixed for one request.
pub struct ForwardRequest {
    /// What goes to backends.
    pub upstream_request: Arc<UpstreamRequest>,
    /// The route.
    pub route: Arc<Route>,
    /// The service.
    pub service: CompactString,
    /// When the router has to be done.
    pub until: Instant,
}

impl Forwarder {
    /// Nothing is under way.
    pub fn new(
        fleet: Arc<Fleet>,
        table: Arc<BackendTable>,
        locator: Arc<PrefixLocator>,
    ) -> Arc<Self> {
        Arc::new(Forwarder {
            fleet,
            table,
            locator,
            route_stats: Mutex::default(),
            budgets: Mutex::default(),
            admissions: Mutex::default(),
        })
    }

    fn stats_key(request: &ForwardRequest) -> RouteStatsKey {
        RouteStatsKey {
            service: request.service.clone(),
            is_streaming: request.route.kind == Kind::Streaming,
            latency_target_ms: request.route.target_latency_ms,
        }
    }

    pub(super) fn count(&self, event: Event) {
        self.fleet.counters.count(event);
    }

    pub(super) fn with_route_stats<T>(
        &self,
        request: &ForwardRequest,
        look: impl FnOnce(&mut RouteStats) -> T,
    ) -> T {
        let mut route_stats = lock(&self.route_stats);
        let entry = route_stats
            .entry(Self::stats_key(request))
            .or_insert_with(|| RouteStats {
                pace: Pace::starting(request.route.target_latency_ms * 1_000_000),
                hedge_budget: HedgeBudget::default(),
            });
        look(entry)
    }

    fn with_retry_budget<T>(
        &self,
        service: &CompactString,
        look: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let bounds = &self.fleet.settings.bounds;
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let limits = RetryLimits {
                ratio: bounds.retry_budget_ratio,
                slack: bounds.retry_budget_slack,
                window: (bounds.budget_window_s * 1_000.0) as Millis,
            };
            RetryBudget::new(limits, clock::now())
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
    pub(super) fn should_reject(
        &self,
        request: &ForwardRequest,
        planned: &SelectedBackend,
    ) -> bool {
        let rejection_ratio = self.with_admission(&request.service, |admission| {
            admission.rejection_ratio(clock::now())
        });
        rejection_ratio > 0.0
            && planned.backend.load().is_busy()
            && fastrand::f64() < rejection_ratio
    }

    /// Takes one repeat out of the budget.
    pub(super) fn try_retry(&self, service: &CompactString, reserved: f64) -> bool {
        let routers = self.fleet.members_up();
        self.with_retry_budget(service, |budget| {
            budget.try_withdraw(routers, reserved, clock::now())
        })
    }

    pub(super) fn select(
        &self,
        request: &ForwardRequest,
        attempted: &[CompactString],
        location: Option<&PrefixLocation>,
    ) -> Option<SelectedBackend> {
        let backends = self.table.backends(&request.service);
        let prompt = request.upstream_request.prompt.as_ref();
        let criteria = SelectionCriteria {
            prompt,
            cache_namespace: &request.upstream_request.cache_namespace,
            min_version: prompt.and_then(|prompt| self.fleet.min_version(&prompt.model)),
            zone: &self.fleet.settings.zone,
            location,
        };
        select_backend(&backends, criteria, attempted)
    }

    /// What a send tells its backend about kept prompts. Without a known version nothing is moved:
    /// the text under which parts are found is all that tells versions apart.
    pub(super) fn kv_transfer(
        &self,
        request: &ForwardRequest,
        selected: &SelectedBackend,
        location: Option<&PrefixLocation>,
    ) -> KvTransfer {
        let Some((prompt, version)) = request
            .upstream_request
            .prompt
            .as_ref()
            .zip(selected.version)
        else {
            return KvTransfer::default();
        };
        // Parts that are made while a backend changes its weights can't be told by their text from
        // older ones.
        if self.is_superseded(&prompt.model, version) {
            return KvTransfer::default();
        }
        let Some(key) = PrefixKey::of_prompt(&request.upstream_request.cache_namespace, prompt)
        else {
            return KvTransfer::default();
        };
        let store = self.locator.store_of(key).map(|store| store.address);
        let Some(location) = location else {
            return KvTransfer {
                fetch: store,
                save: None,
            };
        };
        let is_cached = location.is_cached_by(&selected.backend.id, version);
        let peer = if is_cached {
            None
        } else {
            self.other_replica(&selected.backend, &prompt.model, version, location)
        };
        // What a store has gives way less often than what a backend keeps.
        let fetch = if location.stored_version == Some(version) {
            store.or(peer)
        } else {
            peer.or(store)
        };
        KvTransfer {
            fetch,
            save: store.filter(|_| location.should_save),
        }
    }

    /// Whether a newer version of a model's weights has been named than this one.
    fn is_superseded(&self, model: &str, version: u64) -> bool {
        let published = lock(&self.fleet.published);
        published
            .weights()
            .get(model)
            .is_some_and(|target| target.version > version)
    }

    /// Another backend that keeps the prefix under this version and may be asked for it, one of the
    /// same zone first.
    fn other_replica(
        &self,
        chosen: &Backend,
        model: &str,
        version: u64,
        location: &PrefixLocation,
    ) -> Option<SocketAddrV4> {
        let replicas = location.replicas.iter();
        let others =
            replicas.filter(|replica| replica.version == version && replica.backend != chosen.id);
        let known = others.filter_map(|replica| self.table.backend(&replica.backend));
        let eligible = known.filter(|backend| {
            backend.eligibility(Some((model, Some(version)))) == Eligibility::Eligible
                && backend.version(model) == Some(version)
        });
        let nearest = eligible.min_by_key(|backend| backend.zone != chosen.zone);
        nearest.map(|backend| backend.address)
    }

    /// Waits a little for a backend where there is none at present.
    pub(super) async fn select_with_wait(
        &self,
        request: &ForwardRequest,
        attempted: &[CompactString],
        location: Option<&PrefixLocation>,
    ) -> Option<SelectedBackend> {
        let timeout =
            Duration::from_millis(request.route.target_latency_ms) / SELECTION_WAIT_DIVISOR;
        let until = (Instant::now() + timeout).min(request.until);
        loop {
            if let Some(selected) = self.select(request, attempted, location) {
                return Some(selected);
            }
            if Instant::now() + SELECTION_RETRY_INTERVAL > until {
                return None;
            }
            tokio::time::sleep(SELECTION_RETRY_INTERVAL).await;
        }
    }

    /// Sends a request until there is an answer to pass on, or none can be had.
    pub async fn run(
        &self,
        request: &ForwardRequest,
    ) -> Result<(ResponseStart, AttemptHistory), ForwardError> {
        self.with_retry_budget(&request.service, |budget| budget.deposit(clock::now()));
        InFlightRequest::new(self, request).run().await
    }

    /// Sends a request to the chosen backend and waits for the start of its answer. A request may
    /// wait there for long before it starts, so it is withdrawn when the backend's weights must not
    /// be used any more.
    pub(super) async fn send(
        &self,
        request: &ForwardRequest,
        selected: SelectedBackend,
        last_event_id: Option<String>,
        location: Option<&PrefixLocation>,
        flag: ExecutionFlag,
    ) -> attempt::Result {
        let kv_transfer = self.kv_transfer(request, &selected, location);
        let overdue_after = self.overdue_after(request);
        let options = AttemptOptions {
            version: selected.version,
            last_event_id,
            kv_transfer,
            overdue_after,
        };
        let response = attempt::send(
            request.upstream_request.clone(),
            selected.backend,
            options,
            selected.prefill_tokens,
            flag,
        );
        let Some(prompt) = &request.upstream_request.prompt else {
            return response.await;
        };
        tokio::select! {
            biased;
            result = response => result,
            () = self.weights_expired(&prompt.model, selected.version.unwrap_or_default()) => Err(AttemptError::Withdrawn),
        }
    }

    /// Comes back when requests must not start on this version any more.
    async fn weights_expired(&self, model: &str, version: u64) {
        loop {
            let left = match self.fleet.start_deadline(model, version) {
                Some(last) => Duration::from_millis(last.saturating_sub(clock::now())),
                None => WEIGHTS_CHECK_INTERVAL,
            };
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(WEIGHTS_CHECK_INTERVAL)).await;
        }
    }

    /// A backend that has not response to answer after this is taken to be at fault.
    pub(super) fn overdue_after(&self, request: &ForwardRequest) -> Duration {
        let p95 = self.with_route_stats(request, |route_stats| route_stats.pace.p95);
        let latency_target = Duration::from_millis(request.route.target_latency_ms);
        latency_target.max(OVERDUE_FACTOR * Duration::from_nanos(p95 as u64))
    }

    /// Goes on with a stream that broke off, at another backend.
    pub async fn resume(
        &self,
        request: &ForwardRequest,
        history: &mut AttemptHistory,
        last_event_id: String,
    ) -> Option<ResponseStart> {
        while history.executions < request.route.attempts && history.rejections <= MAX_REJECTIONS {
            let selected = self
                .select_with_wait(request, &history.attempted, None)
                .await?;
            if !self.try_retry(&request.service, 0.0) {
                return None;
            }
            history.attempted.push(selected.backend.id.clone());
            history.executions += 1;
            let send = self.send(
                request,
                selected,
                Some(last_event_id.clone()),
                None,
                ExecutionFlag::default(),
            );
            match tokio::time::timeout_at(request.until, send).await.ok()? {
                Ok(response) => return Some(response),
                Err(AttemptError::Broken | AttemptError::Withdrawn) => {}
                Err(AttemptError::NotSent | AttemptError::Rejected { .. }) => {
                    history.executions -= 1;
                    history.rejections += 1;
                }
            }
        }
        None
    }
}

/// Whether an answer is a stream.
pub fn is_stream(response: &ResponseStart) -> bool {
    matches!(response.content, ResponseBody::Stream(_))
}
