//! This router's view of a backend: its registered state, load, recent failures and idle
//! connections.

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

/// Maximum number of idle connections per backend.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Initial and maximum backoff after a backend was unreachable or failed, in milliseconds. The
/// backoff doubles with each consecutive failure.
const BASE_BACKOFF: Millis = 400;
const MAX_BACKOFF: Millis = 3_200;
/// Maximum age of a load report, in milliseconds.
const LOAD_MAX_AGE: Millis = 1_500;
/// Time for which an order to load weights counts as in progress, unless it is reported as
/// completed, in milliseconds.
const LOADING_TIMEOUT: Millis = 3_000;

/// Load that a backend reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in execution.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of requests in execution.
    pub slots: u32,
    /// When the report was received.
    pub received_at: Millis,
}

impl ReportedLoad {
    /// Parses the load header.
    pub fn parse(text: &str, received_at: Millis) -> Option<Self> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        Some(ReportedLoad {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
            received_at,
        })
    }
}

/// The mutable state of a backend.
struct State {
    phase: BackendPhase,
    unresponsive: bool,
    order: Option<(Order, Millis)>,
    weights: ObservedWeights,
    outstanding: u32,
    prefill_tokens: u64,
    reported: Option<ReportedLoad>,
    consecutive_failures: u32,
    backoff_until: Millis,
    suspicion: u64,
    suspected_until: Millis,
    idle: Vec<Connection>,
}

/// State shared by the backends of a service.
#[derive(Debug, Default)]
pub struct ServiceState {
    idle_limit: Mutex<IdleLimit>,
}

/// One incarnation of a backend.
pub struct Backend {
    /// Instance id.
    pub id: CompactString,
    /// Name of its service.
    pub service: CompactString,
    /// Address for requests.
    pub address: SocketAddrV4,
    /// Zone of the backend.
    pub zone: CompactString,
    /// Maximum number of requests in execution.
    pub slots: u32,
    service_state: Arc<ServiceState>,
    failure_log: Arc<FailureLog>,
    state: Mutex<State>,
}

/// A snapshot of a backend's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests of this router that are in flight at the backend.
    pub outstanding: u32,
    /// Prompt tokens of this router's requests that wait for prefill at the backend.
    pub prefill_tokens: u64,
    /// The latest load report, unless it is too old.
    pub reported: Option<ReportedLoad>,
}

impl Load {
    /// Returns whether the latest report states queued requests.
    pub fn has_queue(&self) -> bool {
        self.reported.is_some_and(|reported| reported.waiting > 0)
    }

    /// Returns whether the latest report states queued requests, or that at least half of the slots
    /// are in use. Returns true if there is no report.
    pub fn is_busy(&self) -> bool {
        self.reported
            .is_none_or(|reported| reported.waiting > 0 || 2 * reported.running >= reported.slots)
    }
}

/// Whether a backend may be sent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// Requests may be sent.
    Eligible,
    /// Requests may be sent only if no other backend is eligible.
    LastResort,
    /// Requests must not be sent.
    Ineligible,
}

impl Backend {
    /// Creates a newly discovered backend.
    pub fn new(
        id: CompactString,
        registered: &Registered,
        service_state: Arc<ServiceState>,
        failure_log: Arc<FailureLog>,
    ) -> Self {
        let state = State {
            phase: registered.phase,
            unresponsive: registered.unresponsive,
            order: None,
            weights: ObservedWeights::default(),
            outstanding: 0,
            prefill_tokens: 0,
            reported: None,
            consecutive_failures: 0,
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
            failure_log,
            state: Mutex::new(state),
        }
    }

    /// Applies the current directory records of the backend.
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
            let is_new = state.order.as_ref().is_none_or(|(known, _)| known != order);
            if is_new {
                state.order = Some((order.clone(), clock::now()));
            }
            state.weights.observe_order(order);
        }
        if state.phase == BackendPhase::Gone {
            state.idle.clear();
        }
    }

    /// Returns whether requests may be sent to the backend. `model` is the required model and its
    /// minimum weights version, if any.
    pub fn eligibility(&self, model: Option<(&str, Option<u64>)>) -> Eligibility {
        let now = clock::now();
        let state = lock(&self.state);
        if state.phase != BackendPhase::Ready {
            return Eligibility::Ineligible;
        }
        if let Some((model, min_version)) = model {
            if state.is_loading(model, now) || state.weights.is_refuted(model, now) {
                return Eligibility::Ineligible;
            }
            if min_version.is_some_and(|min_version| {
                state
                    .weights
                    .version(model)
                    .is_none_or(|version| version < min_version)
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

    /// Returns whether the backend is suspected, as several routers observed failures recently.
    pub fn is_suspected(&self) -> bool {
        clock::now() < lock(&self.state).suspected_until
    }

    /// The observed version of a model's weights.
    pub fn version(&self, model: &str) -> Option<u64> {
        lock(&self.state).weights.version(model)
    }

    /// The observed versions of weights by model.
    pub fn versions(&self) -> HashMap<CompactString, u64> {
        lock(&self.state).weights.versions()
    }

    /// Records the version of a model's weights stated in a response.
    pub fn observe_version(&self, model: &str, version: u64) {
        lock(&self.state).weights.observe_response(model, version);
    }

    /// Records that the backend rejected a request because its weights do not have the expected
    /// version. `reported` is their actual version, if stated.
    pub fn observe_version_mismatch(&self, model: &str, expected: u64, reported: Option<u64>) {
        lock(&self.state)
            .weights
            .observe_rejection(model, expected, reported, clock::now());
    }

    /// Takes a snapshot of the load.
    pub fn load(&self) -> Load {
        let now = clock::now();
        let state = lock(&self.state);
        let reported = state
            .reported
            .filter(|reported| now < reported.received_at + LOAD_MAX_AGE);
        Load {
            outstanding: state.outstanding,
            prefill_tokens: state.prefill_tokens,
            reported,
        }
    }

    /// Records a load report.
    pub fn record_load(&self, reported: ReportedLoad) {
        lock(&self.state).reported = Some(reported);
    }

    /// Returns an idle connection, or opens a new one within the time limit.
    pub async fn connect(&self, timeout: Duration, is_retryable: bool) -> io::Result<Connection> {
        if let Some(idle) = self.take_idle(is_retryable, clock::now()) {
            return Ok(idle);
        }
        Connection::open(self.address, timeout).await
    }

    /// Takes an idle connection from the pool. Connections that exceed the idle limit are reserved
    /// for retryable requests: a stale connection could fail a request that must not be sent again.
    pub fn take_idle(&self, is_retryable: bool, now: Millis) -> Option<Connection> {
        let idle_limit = *lock(&self.service_state.idle_limit);
        let mut state = lock(&self.state);
        state.idle.retain(|connection| !connection.is_closed());
        let is_allowed = |connection: &Connection| {
            is_retryable || idle_limit.allows(connection.idle_time(now), now)
        };
        let usable = |connection: &Connection| connection.is_usable(now) && is_allowed(connection);
        let index = state.idle.iter().rposition(usable)?;
        Some(state.idle.remove(index))
    }

    /// Returns a connection to the pool, unless the pool is full or the backend is not ready.
    pub fn return_connection(&self, mut connection: Connection) {
        let mut state = lock(&self.state);
        if state.phase == BackendPhase::Ready && state.idle.len() < MAX_IDLE_CONNECTIONS {
            connection.idle_since = Some(clock::now());
            state.idle.push(connection);
        }
    }

    /// Records that this router could not reach the backend. This is not reported to other routers,
    /// as the fault may lie in the network path.
    pub fn record_unreachable(&self) {
        self.back_off();
    }

    /// Records a failure of the backend itself, which is also reported to other routers.
    pub fn record_failure(&self) {
        self.back_off();
        self.failure_log.record(&self.id);
    }

    /// Records that a connection was reset when a request was sent on it after this idle time.
    pub fn record_stale_connection(&self, idle_time: Millis) {
        lock(&self.service_state.idle_limit).record_stale(idle_time, clock::now());
        lock(&self.state).idle.clear();
    }

    fn back_off(&self) {
        let now = clock::now();
        let mut state = lock(&self.state);
        if now >= state.backoff_until {
            let backoff = BASE_BACKOFF << state.consecutive_failures.min(3);
            state.backoff_until = now + backoff.min(MAX_BACKOFF);
            state.consecutive_failures += 1;
        }
        state.idle.clear();
    }

    /// Records a success, which ends the backoff.
    pub fn record_success(&self) {
        let mut state = lock(&self.state);
        state.consecutive_failures = 0;
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

/// Guard that counts a request as in flight at a backend until the guard is dropped.
pub struct InFlightGuard {
    backend: Arc<Backend>,
    prefill_tokens: u64,
}

impl InFlightGuard {
    /// Counts a request that is about to be sent, and the prompt tokens that it has to prefill.
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

    /// Records that prefill is finished, as the response has started.
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
