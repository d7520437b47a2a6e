//! A backend as this router sees it: what it was told of it, its load, and its connections.

use super::connection::Connection;
use super::failure_log::FailureLog;
use super::observed_weights::ObservedWeights;
use crate::clock;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::{Backend as Registered, BackendPhase, Order, OrderPhase, Suspicion};
use routing::idle_limit::IdleLimit;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Idle connections that are kept for a backend.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// A backend that could not be reached or broke off is avoided for this long, longer with each
/// failure in a row.
const BASE_BACKOFF: Millis = 400;
const MAX_BACKOFF: Millis = 3_200;
/// What a backend told of its load counts for this long.
const LOAD_MAX_AGE: Millis = 1_500;
/// An order that was not said to be done counts as under way for this long.
const LOADING_TIMEOUT: Millis = 3_000;

/// A load that a backend told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can work on.
    pub slots: u32,
    /// When it was told.
    pub at: Millis,
}

impl ReportedLoad {
    /// Reads the header by which backends tell their load.
    pub fn read(text: &str, at: Millis) -> Option<Self> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        Some(ReportedLoad {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
            at,
        })
    }
}

/// What changes about a backend.
struct State {
    phase: BackendPhase,
    unresponsive: bool,
    order: Option<(Order, Millis)>,
    weights: ObservedWeights,
    outstanding: u32,
    prefill_tokens: u64,
    reported: Option<ReportedLoad>,
    failures: u32,
    backoff_until: Millis,
    suspicion: u64,
    suspected_until: Millis,
    idle: Vec<Connection>,
}

/// What backends of one service share.
#[derive(Debug, Default)]
pub struct ServiceState {
    idle_limit: Mutex<IdleLimit>,
}

/// One incarnation of a backend.
pub struct Backend {
    /// Its instance id.
    pub id: CompactString,
    /// Its service.
    pub service: CompactString,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: CompactString,
    /// Requests that it works on at once.
    pub slots: u32,
    service_state: Arc<ServiceState>,
    faults: Arc<FailureLog>,
    state: Mutex<State>,
}

/// A look at a backend's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// This router's requests there.
    pub outstanding: u32,
    /// Prompt tokens of this router's requests that it has not begun to answer.
    pub prefill_tokens: u64,
    /// What it told last, where that is not too old.
    pub reported: Option<ReportedLoad>,
}

impl Load {
    /// Whether it has told lately that requests wait there.
    pub fn has_queue(&self) -> bool {
        self.reported.is_some_and(|reported| reported.waiting > 0)
    }

    /// Whether, as far as it has told, requests wait there or half of its slots are taken.
    pub fn is_busy(&self) -> bool {
        self.reported
            .is_none_or(|reported| reported.waiting > 0 || 2 * reported.running >= reported.slots)
    }
}

/// Whether a backend may be sent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It may.
    Eligible,
    /// Only where no other may.
    LastResort,
    /// It may not.
    Ineligible,
}

impl Backend {
    /// A backend that has just become known.
    pub fn new(
        id: CompactString,
        registered: &Registered,
        service_state: Arc<ServiceState>,
        faults: Arc<FailureLog>,
    ) -> Self {
        let state = State {
            phase: registered.phase,
            unresponsive: registered.unresponsive,
            order: None,
            weights: ObservedWeights::default(),
            outstanding: 0,
            prefill_tokens: 0,
            reported: None,
            failures: 0,
            backoff_until: 0,
            suspicion: 0,
            suspected_until: 0,
            idle: Vec::new(),
        };
        Backend {
            id,
            service: registered.service.clone(),
            address: registered.address,
            zone: registered.zone.clone(),
            slots: registered.slots,
            service_state,
            faults,
            state: Mutex::new(state),
        }
    }

    /// Takes what the directory says of it.
    pub fn update(
        &self,
        registered: &Registered,
        order: Option<&Order>,
        suspicion: Option<Suspicion>,
    ) {
        let mut state = lock(&self.state);
        if let Some(suspicion) = suspicion.filter(|suspicion| suspicion.number > state.suspicion) {
            state.suspicion = suspicion.number;
            state.suspected_until = clock::now() + suspicion.lasts_ms;
        }
        state.phase = registered.phase;
        state.unresponsive = registered.unresponsive;
        state.weights.observe_heartbeat(registered);
        if let Some(order) = order {
            let updates = state.order.as_ref().is_none_or(|(known, _)| known != order);
            if updates {
                state.order = Some((order.clone(), clock::now()));
            }
            state.weights.observe_order(order);
        }
        if state.phase == BackendPhase::Gone {
            state.idle.clear();
        }
    }

    /// Whether it may be sent requests for a model, where these need one of at least some version.
    pub fn eligibility(&self, model: Option<(&str, Option<u64>)>) -> Eligibility {
        let now = clock::now();
        let state = lock(&self.state);
        if state.phase != BackendPhase::Ready {
            return Eligibility::Ineligible;
        }
        if let Some((model, least)) = model {
            if state.is_loading(model, now) || state.weights.is_refuted(model, now) {
                return Eligibility::Ineligible;
            }
            if least.is_some_and(|least| {
                state
                    .weights
                    .version(model)
                    .is_none_or(|version| version < least)
            }) {
                return Eligibility::Ineligible;
            }
        }
        if state.unresponsive || now < state.backoff_until {
            Eligibility::LastResort
        } else {
            Eligibility::Eligible
        }
    }

    /// Whether several routers have seen it fail requests lately.
    pub fn is_suspected(&self) -> bool {
        clock::now() < lock(&self.state).suspected_until
    }

    /// The version of a model's weights that it has, as far as is known.
    pub fn version(&self, model: &str) -> Option<u64> {
        lock(&self.state).weights.version(model)
    }

    /// The versions of weights that it has, as far as is known, by model.
    pub fn versions(&self) -> HashMap<CompactString, u64> {
        lock(&self.state).weights.versions()
    }

    /// An answer that was served told the version of a model's weights.
    pub fn observe_version(&self, model: &str, version: u64) {
        lock(&self.state).weights.observe_response(model, version);
    }

    /// It turned a request away that expected a version of a model's weights, and may have told its
    /// own.
    pub fn observe_version_mismatch(&self, model: &str, expected: u64, reported: Option<u64>) {
        lock(&self.state)
            .weights
            .observe_rejection(model, expected, reported, clock::now());
    }

    /// A look at its load.
    pub fn load(&self) -> Load {
        let now = clock::now();
        let state = lock(&self.state);
        let reported = state
            .reported
            .filter(|reported| now < reported.at + LOAD_MAX_AGE);
        Load {
            outstanding: state.outstanding,
            prefill_tokens: state.prefill_tokens,
            reported,
        }
    }

    /// It told its load.
    pub fn record_load(&self, reported: ReportedLoad) {
        lock(&self.state).reported = Some(reported);
    }

    /// A connection: an idle one, or a new one.
    pub async fn connect(&self, timeout: Duration, is_retryable: bool) -> io::Result<Connection> {
        if let Some(idle) = self.take_idle(is_retryable, clock::now()) {
            return Ok(idle);
        }
        Connection::open(self.address, timeout).await
    }

    /// An idle connection. Where the request may not be repeated, one that rested for too long to
    /// be trusted stays idle.
    pub fn take_idle(&self, is_retryable: bool, now: Millis) -> Option<Connection> {
        let idle_limit = *lock(&self.service_state.idle_limit);
        let mut state = lock(&self.state);
        state.idle.retain(|connection| !connection.is_closed());
        let is_allowed = |connection: &Connection| {
            is_retryable || idle_limit.allows(connection.idle_time(now), now)
        };
        let usable = |connection: &Connection| connection.is_usable(now) && is_allowed(connection);
        let at = state.idle.iter().rposition(usable)?;
        Some(state.idle.remove(at))
    }

    /// Keeps a connection for another request.
    pub fn return_connection(&self, mut connection: Connection) {
        let mut state = lock(&self.state);
        if state.phase == BackendPhase::Ready && state.idle.len() < MAX_IDLE_CONNECTIONS {
            connection.idle_since = Some(clock::now());
            state.idle.push(connection);
        }
    }

    /// It could not be reached from here: this says nothing of others.
    pub fn record_unreachable(&self) {
        self.back_off();
    }

    /// A request could not be brought to an answer by its fault.
    pub fn record_failure(&self) {
        self.back_off();
        self.faults.note(&self.id);
    }

    /// A connection that had rested was reset as a request was sent on it.
    pub fn record_stale_connection(&self, idle_time: Millis) {
        lock(&self.service_state.idle_limit).record_stale(idle_time, clock::now());
        lock(&self.state).idle.clear();
    }

    fn back_off(&self) {
        let now = clock::now();
        let mut state = lock(&self.state);
        if now >= state.backoff_until {
            let longer = BASE_BACKOFF << state.failures.min(3);
            state.backoff_until = now + longer.min(MAX_BACKOFF);
            state.failures += 1;
        }
        state.idle.clear();
    }

    /// A request was answered.
    pub fn record_success(&self) {
        let mut state = lock(&self.state);
        state.failures = 0;
        state.backoff_until = 0;
    }
}

impl State {
    fn is_loading(&self, model: &str, now: Millis) -> bool {
        self.order.as_ref().is_some_and(|(order, since)| {
            order.phase == OrderPhase::InProgress
                && order.model == model
                && now < since + LOADING_TIMEOUT
                && self
                    .weights
                    .version(model)
                    .is_none_or(|version| version < order.version)
        })
    }
}

/// Counts a request at a backend for as long as it lives.
pub struct InFlightGuard {
    backend: Arc<Backend>,
    prefill_tokens: u64,
}

impl InFlightGuard {
    /// A request is about to be sent whose prompt takes so many tokens to read.
    pub fn begin(backend: Arc<Backend>, prefill_tokens: u64) -> Self {
        let mut state = lock(&backend.state);
        state.outstanding += 1;
        state.prefill_tokens += prefill_tokens;
        drop(state);
        InFlightGuard {
            backend,
            prefill_tokens,
        }
    }

    /// The backend has begun to answer: the prompt is read.
    pub fn prefill_finished(&mut self) {
        lock(&self.backend.state).prefill_tokens -= std::mem::take(&mut self.prefill_tokens);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.backend.state);
        state.outstanding -= 1;
        state.prefill_tokens -= self.prefill_tokens;
    }
}
