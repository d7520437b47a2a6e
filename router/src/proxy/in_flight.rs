//! Runs one request: its first attempt, at most one hedge, and retries, until the first response.

use super::attempt::{self, AttemptError, ExecutionFlag, ResponseStart};
use super::forwarder::{AttemptHistory, ForwardError, ForwardRequest, Forwarder, MAX_REJECTIONS};
use super::response::is_backend_failure;
use super::selection::SelectedBackend;
use crate::clock;
use crate::counters::Event;
use crate::fleet::PrefixLookup;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use routing::admission::InFlightId;
use routing::prefix_index::{Placement, PrefixKey, PrefixLocation};
use std::time::Duration;

/// Part of the retry budget that hedges must leave to retries after failures.
const HEDGE_RESERVED_RATIO: f64 = 0.4;
/// Retry-After of unexecuted requests for which no backend stated one, in seconds.
const DEFAULT_RETRY_AFTER_S: f64 = 0.15;
/// Minimum number of shared tokens for a prefix to be looked up.
const MIN_SHARED_TOKENS: u64 = 64;
/// Minimum ratio of shared tokens to prompt tokens for a prefix to be saved, as a save transfers
/// the whole prompt to the store.
const MIN_SHARED_RATIO_TO_SAVE: f64 = 0.25;

type AttemptFuture<'a> =
    std::pin::Pin<Box<dyn Future<Output = attempt::Result> + std::marker::Send + 'a>>;

/// A request in flight, with its attempts.
pub struct InFlightRequest<'a> {
    forwarder: &'a Forwarder,
    request: &'a ForwardRequest,
    history: AttemptHistory,
    attempts_in_flight: FuturesUnordered<AttemptFuture<'a>>,
    /// For each attempt, whether it may have been executed.
    execution_flags: Vec<ExecutionFlag>,
    is_hedged: bool,
    /// The last Retry-After that a backend stated, in seconds.
    retry_after: Option<f64>,
    /// Where the prompt's prefix is cached, if its owner answered.
    location: Option<PrefixLocation>,
    admission_id: Option<InFlightId>,
    /// A response that states a failure of the backend itself. It is passed to the client if no
    /// other attempt succeeds.
    failure_response: Option<ResponseStart>,
}

impl<'a> InFlightRequest<'a> {
    /// Creates a request for which no attempt has been made.
    pub fn new(forwarder: &'a Forwarder, request: &'a ForwardRequest) -> Self {
        InFlightRequest {
            forwarder,
            request,
            history: AttemptHistory::default(),
            attempts_in_flight: FuturesUnordered::new(),
            execution_flags: Vec::new(),
            is_hedged: false,
            retry_after: None,
            location: None,
            admission_id: None,
            failure_response: None,
        }
    }

    /// Runs the request until there is a response for the client or no further attempt can be made.
    pub async fn run(mut self) -> Result<(ResponseStart, AttemptHistory), ForwardError> {
        self.start().await?;
        let hedge_after = self
            .forwarder
            .with_route_stats(self.request, |route_stats| route_stats.latency.p95);
        let hedge_timer = tokio::time::sleep(Duration::from_nanos(hedge_after as u64));
        tokio::pin!(hedge_timer);
        let mut may_hedge = self.request.route.is_idempotent();
        let deadline = tokio::time::sleep_until(self.request.deadline);
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                biased;
                Some(result) = self.attempts_in_flight.next() => {
                    let may_continue = match result {
                        Ok(response) if self.should_retry_response(&response) => {
                            self.failure_response = Some(response);
                            self.history.executions < self.request.route.attempts
                        }
                        Ok(response) => return Ok(self.finish(response)),
                        Err(error) => self.record_failed_attempt(error),
                    };
                    if self.attempts_in_flight.is_empty() && !(may_continue && self.try_retry().await) {
                        return self.finish_without_response(false);
                    }
                }
                () = &mut hedge_timer, if may_hedge => {
                    may_hedge = false;
                    self.try_hedge();
                }
                () = &mut deadline => return self.finish_without_response(true),
            }
        }
    }

    /// Starts the first attempt. Fails if the service is overloaded or has no eligible backend.
    async fn start(&mut self) -> Result<(), ForwardError> {
        let Some(initial) = self
            .forwarder
            .select_with_wait(self.request, &[], None)
            .await
        else {
            return Err(self.abandon(false));
        };
        if self.forwarder.should_reject(self.request, &initial) {
            return Err(ForwardError::NotExecuted {
                retry_after: overload_retry_after(self.request),
            });
        }
        let selected = self.select_by_prefix(initial).await;
        let work = selected.work();
        self.send(selected);
        self.admission_id = Some(
            self.forwarder
                .with_admission(&self.request.service, |admission| {
                    admission.record_sent(work, clock::now())
                }),
        );
        self.forwarder
            .with_route_stats(self.request, |route_stats| {
                route_stats.hedge_budget.deposit()
            });
        Ok(())
    }

    /// Looks up where the prompt's prefix is cached. If it is cached anywhere, selects a backend
    /// again; otherwise returns the initial selection.
    async fn select_by_prefix(&mut self, initial: SelectedBackend) -> SelectedBackend {
        let Some(lookup) = self.prefix_lookup(&initial) else {
            return initial;
        };
        let key = lookup.key;
        self.location = self.forwarder.locator.look_up(lookup).await;
        let Some(location) = self
            .location
            .as_ref()
            .filter(|location| !location.replicas.is_empty())
        else {
            return initial;
        };
        let selected = self
            .forwarder
            .select(self.request, &[], Some(location))
            .unwrap_or(initial);
        if let Some(placement) = placement(&selected)
            && !location.is_cached_by(&placement.backend, placement.version)
        {
            self.forwarder.locator.notify_placement(key, placement);
        }
        selected
    }

    /// The lookup for the prompt's prefix; `None` if the prompt shares too few tokens.
    fn prefix_lookup(&self, initial: &SelectedBackend) -> Option<PrefixLookup> {
        let upstream_request = &self.request.upstream_request;
        let prompt = upstream_request.prompt.as_ref()?;
        let shared: u64 = prompt.shared_tokens();
        let key = PrefixKey::of_prompt(&upstream_request.cache_namespace, prompt)
            .filter(|_| shared >= MIN_SHARED_TOKENS)?;
        let should_save = shared as f64 >= MIN_SHARED_RATIO_TO_SAVE * prompt.input_tokens as f64;
        Some(PrefixLookup {
            key,
            fallback: placement(initial)?,
            should_save,
        })
    }

    fn send(&mut self, selected: SelectedBackend) {
        self.forwarder.count(Event::AttemptSent);
        self.history.attempted.push(selected.backend.id.clone());
        self.history.executions += 1;
        let flag = ExecutionFlag::default();
        self.execution_flags.push(flag.clone());
        let (forwarder, request, location) = (self.forwarder, self.request, self.location.clone());
        let send = async move {
            forwarder
                .send(request, selected, None, location.as_ref(), flag)
                .await
        };
        self.attempts_in_flight.push(Box::pin(send));
    }

    /// Sends a hedge to another backend, if the request has none and the budgets allow it.
    fn try_hedge(&mut self) {
        if self.is_hedged
            || self.attempts_in_flight.len() != 1
            || self.history.executions >= self.request.route.attempts
            || !self
                .forwarder
                .may_repeat(self.request, Event::HedgeWithheld)
        {
            return;
        }
        let allowed = self
            .forwarder
            .with_route_stats(self.request, |route_stats| {
                route_stats.hedge_budget.is_available()
            });
        if !allowed {
            return;
        }
        let location = self.location.as_ref();
        let Some(selected) = self
            .forwarder
            .select(self.request, &self.history.attempted, location)
        else {
            return;
        };
        if self
            .forwarder
            .withdraw_retry(&self.request.service, HEDGE_RESERVED_RATIO)
        {
            self.forwarder
                .with_route_stats(self.request, |route_stats| {
                    route_stats.hedge_budget.withdraw()
                });
            self.is_hedged = true;
            self.forwarder.count(Event::Hedged);
            self.send(selected);
        }
    }

    /// Records a failed attempt. Returns whether the request may be sent again.
    fn record_failed_attempt(&mut self, error: AttemptError) -> bool {
        match error {
            AttemptError::NotSent => {
                self.history.executions -= 1;
                self.history.rejections += 1;
                self.history.rejections <= MAX_REJECTIONS
            }
            AttemptError::Rejected {
                retry_after,
                misdirected,
            } => {
                self.forwarder.count(if misdirected {
                    Event::Misdirected
                } else {
                    Event::Rejected
                });
                self.history.executions -= 1;
                self.history.rejections += 1;
                self.retry_after = retry_after.or(self.retry_after);
                self.history.rejections <= MAX_REJECTIONS
            }
            AttemptError::Broken | AttemptError::WeightsExpired => self.may_retry_execution(),
        }
    }

    /// Returns whether a response states a failure of the backend itself, and another attempt is in
    /// flight or still permitted.
    fn should_retry_response(&self, response: &ResponseStart) -> bool {
        is_backend_failure(response.status)
            && (!self.attempts_in_flight.is_empty() || self.may_retry_execution())
    }

    /// Returns whether the request may be sent again after an attempt that may have been executed.
    fn may_retry_execution(&self) -> bool {
        self.history.executions < self.request.route.attempts
            && self
                .forwarder
                .may_repeat(self.request, Event::RetryWithheld)
    }

    /// Starts a retry. Returns false if the budget does not allow it, or no backend is
    /// eligible.
    async fn try_retry(&mut self) -> bool {
        if !self.forwarder.withdraw_retry(&self.request.service, 0.0) {
            return false;
        }
        let attempted = self.history.attempted.clone();
        let selected = self
            .forwarder
            .select_with_wait(self.request, &attempted, self.location.as_ref())
            .await;
        let found = selected.is_some();
        if let Some(selected) = selected {
            self.forwarder.count(Event::Retried);
            self.send(selected);
        }
        found
    }

    /// Ends the request without a successful response. Returns the failure response of a backend if
    /// there is one.
    fn finish_without_response(
        &mut self,
        timed_out: bool,
    ) -> Result<(ResponseStart, AttemptHistory), ForwardError> {
        match self.failure_response.take() {
            Some(failure) => Ok(self.finish(failure)),
            None => Err(self.abandon(timed_out)),
        }
    }

    /// Finishes the request with a response. The other attempts are dropped, which resets their
    /// connections and thereby cancels them at the backends.
    fn finish(&mut self, response: ResponseStart) -> (ResponseStart, AttemptHistory) {
        self.attempts_in_flight.clear();
        if let Some(id) = self.admission_id.take() {
            self.forwarder
                .with_admission(&self.request.service, |admission| {
                    admission.record_response(id, clock::now());
                });
        }
        if response.status.is_success() {
            let latency = response.latency.as_nanos() as u64;
            self.forwarder
                .with_route_stats(self.request, |route_stats| route_stats.latency.add(latency));
        }
        (response, std::mem::take(&mut self.history))
    }

    fn abandon(&mut self, timed_out: bool) -> ForwardError {
        self.attempts_in_flight.clear();
        if self
            .execution_flags
            .iter()
            .any(ExecutionFlag::may_have_executed)
        {
            ForwardError::MayHaveExecuted { timed_out }
        } else {
            ForwardError::NotExecuted {
                retry_after: self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER_S),
            }
        }
    }
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.admission_id.take() {
            self.forwarder
                .with_admission(&self.request.service, |admission| admission.discard(id));
        }
    }
}

/// Retry-After of a request rejected because of overload, in seconds. The value is jittered so that
/// clients do not all retry at once.
fn overload_retry_after(request: &ForwardRequest) -> f64 {
    let latency_target_s = request.route.target_latency_ms as f64 / 1_000.0;
    latency_target_s * (0.5 + fastrand::f64())
}

/// The backend and weights version of a selection, as the prefix index records them.
fn placement(selected: &SelectedBackend) -> Option<Placement> {
    Some(Placement {
        backend: selected.backend.id.clone(),
        version: selected.version?,
    })
}
