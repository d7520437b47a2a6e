//! Forwards clients' requests to backends: the state that requests share, backend selection, and
//! single attempts.
//!
//! The life of one request, with its hedge and retries, is in [`in_flight`](super::in_flight).

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
use routing::hedging::{HedgeBudget, LatencyEstimate};
use routing::prefix_index::{PrefixKey, PrefixLocation};
use routing::retry_budget::{RetryBudget, RetryLimits};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// The header in which a backend states its instance id.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("x-instance-id");

/// How many rejections a request survives before it fails.
pub(super) const MAX_REJECTIONS: u32 = 3;
/// An attempt is overdue after this many times the 95th percentile of its latency, and not before
/// the latency target.
const OVERDUE_FACTOR: u32 = 4;
/// Time between two attempts to select a backend while none is eligible.
const SELECTION_RETRY_INTERVAL: Duration = Duration::from_millis(15);
/// Time between two checks whether newer weights were announced while a request waits.
const WEIGHTS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A request waits for an eligible backend for the latency target divided by this.
const SELECTION_WAIT_DIVISOR: u32 = 5;

/// Why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum ForwardError {
    /// The request was not executed and will not be. The client may retry.
    #[error("the request was not executed; retry after {retry_after} s")]
    NotExecuted {
        /// When to retry, in seconds.
        retry_after: f64,
    },
    /// The request may have been executed.
    #[error("the request failed and may have been executed")]
    MayHaveExecuted {
        /// Whether the deadline passed.
        timed_out: bool,
    },
}

/// Latency statistics and the hedge budget of similar requests.
#[derive(Debug)]
pub(super) struct RouteStats {
    /// Latency estimate, from which the hedge delay follows.
    pub(super) latency: LatencyEstimate,
    /// Hedges that may still be sent.
    pub(super) hedge_budget: HedgeBudget,
}

/// Requests that share latency statistics.
#[derive(Debug, PartialEq, Eq, Hash)]
struct RouteStatsKey {
    service: CompactString,
    is_streaming: bool,
    latency_target_ms: u64,
}

/// State shared by all requests.
pub struct Forwarder {
    /// State of the fleet.
    pub fleet: Arc<Fleet>,
    /// The endpoint table.
    pub table: Arc<BackendTable>,
    /// Looks up where prompt prefixes are cached.
    pub locator: Arc<PrefixLocator>,
    route_stats: Mutex<HashMap<RouteStatsKey, RouteStats>>,
    budgets: Mutex<HashMap<CompactString, RetryBudget>>,
    admissions: Mutex<HashMap<CompactString, AdmissionController>>,
}

/// The attempts that were made for a request.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    /// Backends that the request was sent to.
    pub attempted: Vec<CompactString>,
    /// Attempts that may have been executed.
    pub executions: u32,
    /// Attempts that were not executed.
    pub rejections: u32,
}

/// A request to forward, with its route and deadline.
pub struct ForwardRequest {
    /// What is sent to backends.
    pub upstream_request: Arc<UpstreamRequest>,
    /// The matching route.
    pub route: Arc<Route>,
    /// The service chosen by the route's traffic split.
    pub service: CompactString,
    /// The router's own deadline.
    pub deadline: Instant,
}

impl Forwarder {
    /// Creates the state of a router that starts.
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
                latency: LatencyEstimate::starting(request.route.target_latency_ms * 1_000_000),
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

    /// Decides whether to reject a request because its service is overloaded. Nothing is rejected
    /// while even the least-loaded backend has spare capacity.
    pub(super) fn should_reject(
        &self,
        request: &ForwardRequest,
        planned: &SelectedBackend,
    ) -> bool {
        let latency_target = request.route.target_latency_ms;
        let would_be_late = self.with_admission(&request.service, |admission| {
            admission.should_reject(planned.work(), latency_target, clock::now())
        });
        would_be_late && planned.backend.load().is_busy()
    }

    /// Withdraws a retry from the service's budget. `reserved` is the part of the budget to leave
    /// untouched.
    pub(super) fn withdraw_retry(&self, service: &CompactString, reserved: f64) -> bool {
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

    /// The KV cache transfers to request from a backend. None if the version of its weights is
    /// unknown, as only the salt tells the versions of cached segments apart.
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
        // While a backend changes its weights, it may compute segments with the new weights under
        // the old salt.
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
        // Stores evict less often than backends.
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

    /// Returns whether a newer version of a model's weights is announced.
    fn is_superseded(&self, model: &str, version: u64) -> bool {
        let published = lock(&self.fleet.published);
        published
            .weights()
            .get(model)
            .is_some_and(|target| target.version > version)
    }

    /// Another eligible backend that caches the prefix for this version, preferably in the same
    /// zone.
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

    /// Selects a backend, and waits a little if none is eligible.
    pub(super) async fn select_with_wait(
        &self,
        request: &ForwardRequest,
        attempted: &[CompactString],
        location: Option<&PrefixLocation>,
    ) -> Option<SelectedBackend> {
        let timeout =
            Duration::from_millis(request.route.target_latency_ms) / SELECTION_WAIT_DIVISOR;
        let until = (Instant::now() + timeout).min(request.deadline);
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

    /// Forwards a request until there is a response to pass on, or none can be had.
    pub async fn run(
        &self,
        request: &ForwardRequest,
    ) -> Result<(ResponseStart, AttemptHistory), ForwardError> {
        self.with_retry_budget(&request.service, |budget| budget.deposit(clock::now()));
        InFlightRequest::new(self, request).run().await
    }

    /// Makes one attempt at the selected backend. A request may queue there before it starts, so
    /// the attempt is cancelled when requests must no longer start on the backend's version.
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

    /// Completes when requests must no longer start on this version.
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

    /// Time after which a backend that has not started its response counts as failed.
    pub(super) fn overdue_after(&self, request: &ForwardRequest) -> Duration {
        let p95 = self.with_route_stats(request, |route_stats| route_stats.latency.p95);
        let latency_target = Duration::from_millis(request.route.target_latency_ms);
        latency_target.max(OVERDUE_FACTOR * Duration::from_nanos(p95 as u64))
    }

    /// Resumes a broken stream at another backend, after the given event.
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
            if !self.withdraw_retry(&request.service, 0.0) {
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
            match tokio::time::timeout_at(request.deadline, send).await.ok()? {
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

/// Returns whether a response is a stream.
pub fn is_stream(response: &ResponseStart) -> bool {
    matches!(response.content, ResponseBody::Stream(_))
}
