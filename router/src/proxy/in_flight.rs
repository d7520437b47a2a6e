//! One request under way: its first send, one copy where it is pending for long, repeats, and the
//! answer that wins.

use super::attempt::{self, AttemptError, ExecutionFlag, ResponseStart};
use super::forwarder::{AttemptHistory, ForwardError, ForwardRequest, Forwarder, MAX_REJECTIONS};
use super::response::is_own_failure;
use super::selection::SelectedBackend;
use crate::clock;
use crate::counters::Event;
use crate::fleet::PrefixLookup;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use routing::admission::InFlightId;
use routing::prefix_index::{Placement, PrefixKey, PrefixLocation};
use std::time::Duration;

/// Part of the retry budget that copies leave to repeats after failures.
const RESERVED_FOR_FAILURES: f64 = 0.4;
/// Advice to clients that are refused, in seconds.
const RETRY_AFTER: f64 = 0.15;
/// Shared starts of fewer tokens are not asked for.
const MIN_SHARED_TOKENS: u64 = 64;
/// A prompt is worth saving where so much of it is shared: a save brings the whole prompt to the
/// store.
const MIN_SHARED_RATIO_TO_SAVE: f64 = 0.25;

type AttemptFuture<'a> =
    std::pin::Pin<Box<dyn Future<Output = attempt::Result> + std::marker::Send + 'a>>;

/// One request under way.
pub struct InFlightRequest<'a> {
    forwarder: &'a Forwarder,
    request: &'a ForwardRequest,
    history: AttemptHistory,
    attempts_in_flight: FuturesUnordered<AttemptFuture<'a>>,
    flags: Vec<ExecutionFlag>,
    is_hedged: bool,
    retry_after: Option<f64>,
    location: Option<PrefixLocation>,
    admission_id: Option<InFlightId>,
    /// A backend's own failure, to be passed on where nothing better comes.
    failure: Option<ResponseStart>,
}

impl<'a> InFlightRequest<'a> {
    /// Nothing is sent yet.
    pub fn new(forwarder: &'a Forwarder, request: &'a ForwardRequest) -> Self {
        InFlightRequest {
            forwarder,
            request,
            history: AttemptHistory::default(),
            attempts_in_flight: FuturesUnordered::new(),
            flags: Vec::new(),
            is_hedged: false,
            retry_after: None,
            location: None,
            admission_id: None,
            failure: None,
        }
    }

    /// Sends it until there is an answer to pass on, or none can be had.
    pub async fn run(mut self) -> Result<(ResponseStart, AttemptHistory), ForwardError> {
        let Some(planned) = self
            .forwarder
            .select_with_wait(self.request, &[], None)
            .await
        else {
            return Err(self.abandon(false));
        };
        if self.forwarder.should_reject(self.request, &planned) {
            return Err(ForwardError::NotExecuted {
                retry_after: overload_retry_after(self.request),
            });
        }
        let selected = self.look_up(planned).await;
        self.send(selected);
        self.admission_id = Some(
            self.forwarder
                .with_admission(&self.request.service, |admission| {
                    admission.record_sent(self.request.route.target_latency_ms, clock::now())
                }),
        );
        self.forwarder
            .with_route_stats(self.request, |route_stats| {
                route_stats.hedge_budget.deposit()
            });
        let hedge_after = self
            .forwarder
            .with_route_stats(self.request, |route_stats| route_stats.pace.p95);
        let hedge = tokio::time::sleep(Duration::from_nanos(hedge_after as u64));
        tokio::pin!(hedge);
        let mut may_hedge = self.request.upstream_request.is_retryable;
        let timed_out = tokio::time::sleep_until(self.request.until);
        tokio::pin!(timed_out);
        loop {
            tokio::select! {
                biased;
                Some(result) = self.attempts_in_flight.next() => {
                    let may_continue = match result {
                        Ok(response) if self.should_retry_response(&response) => {
                            self.failure = Some(response);
                            self.history.executions < self.request.route.attempts
                        }
                        Ok(response) => return Ok(self.finish(response)),
                        Err(ended) => self.record_failed_attempt(ended),
                    };
                    if self.attempts_in_flight.is_empty() && !(may_continue && self.retry().await) {
                        return self.finish_without_response(false);
                    }
                }
                () = &mut hedge, if may_hedge => {
                    may_hedge = false;
                    self.hedge();
                }
                () = &mut timed_out => return self.finish_without_response(true),
            }
        }
    }

    /// Asks where the shared start of the prompt is kept, and chooses anew where somebody keeps it.
    async fn look_up(&mut self, planned: SelectedBackend) -> SelectedBackend {
        let Some(lookup) = self.lookup(&planned) else {
            return planned;
        };
        let key = lookup.key;
        self.location = self.forwarder.locator.look_up(lookup).await;
        let Some(location) = self
            .location
            .as_ref()
            .filter(|location| !location.replicas.is_empty())
        else {
            return planned;
        };
        let selected = self
            .forwarder
            .select(self.request, &[], Some(location))
            .unwrap_or(planned);
        if let Some(placement) = placement(&selected)
            && !location.is_cached_by(&placement.backend, placement.version)
        {
            self.forwarder.locator.notify_placement(key, placement);
        }
        selected
    }

    /// What the owner of the prompt's shared start is asked; none where little is shared.
    fn lookup(&self, planned: &SelectedBackend) -> Option<PrefixLookup> {
        let upstream_request = &self.request.upstream_request;
        let prompt = upstream_request.prompt.as_ref()?;
        let shared: u64 = prompt.shared_tokens();
        let key = PrefixKey::of_prompt(&upstream_request.cache_namespace, prompt)
            .filter(|_| shared >= MIN_SHARED_TOKENS)?;
        let should_save = shared as f64 >= MIN_SHARED_RATIO_TO_SAVE * prompt.input_tokens as f64;
        Some(PrefixLookup {
            key,
            planned: placement(planned)?,
            should_save,
        })
    }

    fn send(&mut self, selected: SelectedBackend) {
        self.forwarder.count(Event::AttemptSent);
        self.history.attempted.push(selected.backend.id.clone());
        self.history.executions += 1;
        let flag = ExecutionFlag::default();
        self.flags.push(flag.clone());
        let (forwarder, request, location) = (self.forwarder, self.request, self.location.clone());
        let send = async move {
            forwarder
                .send(request, selected, None, location.as_ref(), flag)
                .await
        };
        self.attempts_in_flight.push(Box::pin(send));
    }

    /// One copy of a request that is pending for longer than most, at another backend.
    fn hedge(&mut self) {
        if self.is_hedged
            || self.attempts_in_flight.len() != 1
            || self.history.executions >= self.request.route.attempts
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
            .try_retry(&self.request.service, RESERVED_FOR_FAILURES)
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

    /// Notes how a send ended. Whether the request may be sent once more.
    fn record_failed_attempt(&mut self, ended: AttemptError) -> bool {
        let route = &self.request.route;
        match ended {
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
            AttemptError::Broken | AttemptError::Withdrawn => {
                route.is_idempotent() && self.history.executions < route.attempts
            }
        }
    }

    /// Whether a backend failed by its own fault, and another one may do better: one that has a
    /// copy, or that is still to get one.
    fn should_retry_response(&self, response: &ResponseStart) -> bool {
        let is_left = !self.attempts_in_flight.is_empty()
            || self.history.executions < self.request.route.attempts;
        is_own_failure(response.status) && self.request.upstream_request.is_retryable && is_left
    }

    /// Sends the request once more. False where that is not permitted, or there is nowhere to send
    /// it.
    async fn retry(&mut self) -> bool {
        if !self.forwarder.try_retry(&self.request.service, 0.0) {
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

    /// Passes a backend's own failure on where there was one; else the request is given up.
    fn finish_without_response(
        &mut self,
        timed_out: bool,
    ) -> Result<(ResponseStart, AttemptHistory), ForwardError> {
        match self.failure.take() {
            Some(failure) => Ok(self.finish(failure)),
            None => Err(self.abandon(timed_out)),
        }
    }

    /// The first answer wins. Dropping the other sends closes their connections.
    fn finish(&mut self, response: ResponseStart) -> (ResponseStart, AttemptHistory) {
        self.attempts_in_flight.clear();
        if let Some(id) = self.admission_id.take() {
            self.forwarder
                .with_admission(&self.request.service, |admission| {
                    admission.record_response(id, clock::now());
                });
        }
        if response.status.is_success() {
            let took = response.took.as_nanos() as u64;
            self.forwarder
                .with_route_stats(self.request, |route_stats| route_stats.pace.add(took));
        }
        (response, std::mem::take(&mut self.history))
    }

    fn abandon(&mut self, timed_out: bool) -> ForwardError {
        self.attempts_in_flight.clear();
        if self.flags.iter().any(ExecutionFlag::may_have_executed) {
            ForwardError::MayHaveExecuted { timed_out }
        } else {
            ForwardError::NotExecuted {
                retry_after: self.retry_after.unwrap_or(RETRY_AFTER),
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

/// When a client that is refused for too much load may come back, in seconds: spread, so that not
/// all do at once.
fn overload_retry_after(request: &ForwardRequest) -> f64 {
    let latency_target_s = request.route.target_latency_ms as f64 / 1_000.0;
    latency_target_s * (0.5 + fastrand::f64())
}

/// A choice as owners of prefixes know it.
fn placement(selected: &SelectedBackend) -> Option<Placement> {
    Some(Placement {
        backend: selected.backend.id.clone(),
        version: selected.version?,
    })
}
