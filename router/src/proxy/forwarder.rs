//! Forwards client requests to backends: state shared by all requests, backend selection, and
//! single attempts.
//!
//! [`in_flight`](super::in_flight) runs one request with its hedge and retries.

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
use crate::fleet::{ConfigurationInUse, Fleet};
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

/// Maximum number of unexecuted attempts after which a request is still retried.
pub(super) const MAX_REJECTIONS: u32 = 3;
/// An attempt is overdue after the 95th percentile of the latency times this factor, but not before
/// the latency target.
const OVERDUE_FACTOR: u32 = 4;
/// Interval at which selection is retried while no backend is eligible.
const SELECTION_RETRY_INTERVAL: Duration = Duration::from_millis(15);
/// Interval at which a waiting request checks whether newer weights have been announced.
const WEIGHTS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A request waits for an eligible backend for the latency target divided by this.
const SELECTION_WAIT_DIVISOR: u32 = 5;

/// Why there is no response for a request.
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

/// Latency statistics and hedge budget, shared by all requests with the same [`RouteStatsKey`].
#[derive(Debug)]
pub(super) struct RouteStats {
    /// Latency estimate, from which the hedge delay follows.
    pub(super) latency: LatencyEstimate,
    /// Budget for hedges.
    pub(super) hedge_budget: HedgeBudget,
}

/// Identifies the requests that share latency statistics.
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
    retry_budgets: Mutex<HashMap<CompactString, RetryBudget>>,
    admission_controllers: Mutex<HashMap<CompactString, AdmissionController>>,
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
    /// The request as it is sent to backends.
    pub upstream_request: Arc<UpstreamRequest>,
    /// The matching route.
    pub route: Arc<Route>,
    /// The service chosen by the route's traffic split.
    pub service: CompactString,
    /// The configuration that the route is part of.
    pub configuration: ConfigurationInUse,
    /// The router's own deadline.
    pub deadline: Instant,
}

impl Forwarder {
    /// Creates a forwarder without statistics or budgets of earlier requests.
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
            retry_budgets: Mutex::default(),
            admission_controllers: Mutex::default(),
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
        access: impl FnOnce(&mut RouteStats) -> T,
    ) -> T {
        let mut route_stats = lock(&self.route_stats);
        let entry = route_stats
            .entry(Self::stats_key(request))
            .or_insert_with(|| RouteStats {
                latency: LatencyEstimate::starting(request.route.target_latency_ms * 1_000_000),
                hedge_budget: HedgeBudget::default(),
            });
        access(entry)
    }

    fn with_retry_budget<T>(
        &self,
        service: &CompactString,
        access: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let bounds = &self.fleet.settings.bounds;
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
            let limits = RetryLimits {
                ratio: bounds.retry_budget_ratio,
                slack: bounds.retry_budget_slack,
                window: (bounds.budget_window_s * 1_000.0) as Millis,
            };
            RetryBudget::new(limits, clock::now())
        });
        access(budget)
    }

    pub(super) fn with_admission<T>(
        &self,
        service: &CompactString,
        access: impl FnOnce(&mut AdmissionController) -> T,
    ) -> T {
        let mut admission_controllers = lock(&self.admission_controllers);
        access(admission_controllers.entry(service.clone()).or_default())
    }

    /// Returns whether a request may run again although it may have been executed: its route allows
    /// it, and no newer configuration can forbid it. Otherwise `withheld` is counted, unless the
    /// route forbids it.
    pub(super) fn may_repeat(&self, request: &ForwardRequest, withheld: Event) -> bool {
        if !request.route.is_idempotent() {
            return false;
        }
        let is_confirmed = self.fleet.is_confirmed(&request.configuration);
        if !is_confirmed {
            self.count(withheld);
        }
        is_confirmed
    }

    /// Returns whether to reject a request because its service is overloaded. `least_loaded`
    /// is the least-loaded backend; no request is rejected while it has spare capacity.
    pub(super) fn should_reject(
        &self,
        request: &ForwardRequest,
        least_loaded: &SelectedBackend,
    ) -> bool {
        let latency_target = request.route.target_latency_ms;
        let would_be_late = self.with_admission(&request.service, |admission| {
            admission.should_reject(least_loaded.work(), latency_target, clock::now())
        });
        would_be_late && least_loaded.backend.load().is_busy()
    }

    /// Withdraws a retry from the service's budget. `reserved` is the part of the budget, from 0 to
    /// 1, that must remain.
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

    /// The KV cache transfers to request from a backend. There are none if its weights version is
    /// unknown, as only the version in the salt tells apart segments of different versions.
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
        // the old salt. A router without confirmed state may not know that newer ones are announced.
        if !self.fleet.is_state_confirmed() || self.is_superseded(&prompt.model, version) {
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
        // Prefer the store, as stores evict less often than backends.
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

    /// Another eligible backend that caches the prefix for this version, preferably in the zone of
    /// the chosen one.
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

    /// Selects a backend. If none is eligible, retries for a fraction of the latency target.
    pub(super) async fn select_with_wait(
        &self,
        request: &ForwardRequest,
        attempted: &[CompactString],
        location: Option<&PrefixLocation>,
    ) -> Option<SelectedBackend> {
        let timeout =
            Duration::from_millis(request.route.target_latency_ms) / SELECTION_WAIT_DIVISOR;
        let retry_until = (Instant::now() + timeout).min(request.deadline);
        loop {
            if let Some(selected) = self.select(request, attempted, location) {
                return Some(selected);
            }
            if Instant::now() + SELECTION_RETRY_INTERVAL > retry_until {
                return None;
            }
            tokio::time::sleep(SELECTION_RETRY_INTERVAL).await;
        }
    }

    /// Forwards a request until there is a response for the client, or no further attempt can be
    /// made.
    pub async fn run(
        &self,
        request: &ForwardRequest,
    ) -> Result<(ResponseStart, AttemptHistory), ForwardError> {
        self.with_retry_budget(&request.service, |budget| budget.deposit(clock::now()));
        InFlightRequest::new(self, request).run().await
    }

    /// Makes one attempt at the selected backend. The request may queue there before it starts, so
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
            () = self.weights_expired(&prompt.model, selected.version.unwrap_or_default()) => Err(AttemptError::WeightsExpired),
        }
    }

    /// Completes when requests must no longer start on this version.
    async fn weights_expired(&self, model: &str, version: u64) {
        loop {
            let remaining = match self.fleet.start_deadline(model, version) {
                Some(deadline) => Duration::from_millis(deadline.saturating_sub(clock::now())),
                None => WEIGHTS_CHECK_INTERVAL,
            };
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining.min(WEIGHTS_CHECK_INTERVAL)).await;
        }
    }

    /// Time after which a backend that has not started its response counts as failed.
    pub(super) fn overdue_after(&self, request: &ForwardRequest) -> Duration {
        let p95 = self.with_route_stats(request, |route_stats| route_stats.latency.p95);
        let latency_target = Duration::from_millis(request.route.target_latency_ms);
        latency_target.max(OVERDUE_FACTOR * Duration::from_nanos(p95 as u64))
    }

    /// Resumes a broken stream at another backend, after the event with the given id.
    pub async fn resume(
        &self,
        request: &ForwardRequest,
        history: &mut AttemptHistory,
        last_event_id: String,
    ) -> Option<ResponseStart> {
        while history.executions < request.route.attempts
            && history.rejections <= MAX_REJECTIONS
            && self.may_repeat(request, Event::RetryWithheld)
        {
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
                Err(AttemptError::Broken | AttemptError::WeightsExpired) => {}
                Err(AttemptError::NotSent | AttemptError::Rejected { .. }) => {
                    history.executions -= 1;
                    history.rejections += 1;
                }
            }
        }
        None
    }
}

/// Returns whether a response is an event stream.
pub fn is_stream(response: &ResponseStart) -> bool {
    matches!(response.content, ResponseBody::Stream(_))
}
