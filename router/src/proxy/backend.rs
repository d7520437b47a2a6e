//! A backend as this router sees it: what it was told of it, its load, and its connections.

use super::connection::Connection;
use super::fault_log::FaultLog;
use super::known_weights::KnownWeights;
use crate::clock;
use crate::links::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::{Backend as Registered, BackendPhase, Order, OrderPhase, Suspicion};
use routing::rest::TrustedRest;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Idle connections that are kept for a backend.
const IDLE: usize = 16;
/// A backend that could not be reached or broke off is avoided for this long, longer with each
/// failure in a row.
const AVOID: Millis = 400;
const LONGEST_AVOID: Millis = 3_200;
/// What a backend told of its load counts for this long.
const LOAD_GOOD: Millis = 1_500;
/// An order that was not said to be done counts as under way for this long.
const LOADING: Millis = 3_000;

/// A load that a backend told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can work on.
    pub slots: u32,
    /// When it was told.
    pub at: Millis,
}

impl Told {
    /// Reads the header by which backends tell their load.
    pub fn read(text: &str, at: Millis) -> Option<Self> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        Some(Told {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
            at,
        })
    }
}

/// What changes about a backend.
struct Live {
    phase: BackendPhase,
    unresponsive: bool,
    order: Option<(Order, Millis)>,
    weights: KnownWeights,
    outstanding: u32,
    unread_tokens: u64,
    told: Option<Told>,
    failures: u32,
    avoid_until: Millis,
    suspicion: u64,
    suspected_until: Millis,
    idle: Vec<Connection>,
}

/// What backends of one service share.
#[derive(Debug, Default)]
pub struct ServiceState {
    trusted_rest: Mutex<TrustedRest>,
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
    faults: Arc<FaultLog>,
    live: Mutex<Live>,
}

/// A look at a backend's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// This router's requests there.
    pub outstanding: u32,
    /// Prompt tokens of this router's requests that it has not begun to answer.
    pub unread_tokens: u64,
    /// What it told last, where that is not too old.
    pub told: Option<Told>,
}

impl Load {
    /// Whether it has told lately that requests wait there.
    pub fn says_that_requests_wait(&self) -> bool {
        self.told.is_some_and(|told| told.waiting > 0)
    }

    /// Whether, as far as it has told, requests wait there or half of its slots are taken.
    pub fn is_crowded(&self) -> bool {
        self.told
            .is_none_or(|told| told.waiting > 0 || 2 * told.running >= told.slots)
    }
}

/// Whether a backend may be sent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fitness {
    /// It may.
    Fit,
    /// Only where no other may.
    Doubtful,
    /// It may not.
    Unfit,
}

impl Backend {
    /// A backend that has just become known.
    pub fn new(
        id: CompactString,
        registered: &Registered,
        service_state: Arc<ServiceState>,
        faults: Arc<FaultLog>,
    ) -> Self {
        let live = Live {
            phase: registered.phase,
            unresponsive: registered.unresponsive,
            order: None,
            weights: KnownWeights::default(),
            outstanding: 0,
            unread_tokens: 0,
            told: None,
            failures: 0,
            avoid_until: 0,
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
            live: Mutex::new(live),
        }
    }

    /// Takes what the directory says of it.
    pub fn update(
        &self,
        registered: &Registered,
        order: Option<&Order>,
        suspicion: Option<Suspicion>,
    ) {
        let mut live = lock(&self.live);
        if let Some(suspicion) = suspicion.filter(|suspicion| suspicion.number > live.suspicion) {
            live.suspicion = suspicion.number;
            live.suspected_until = clock::now() + suspicion.lasts_ms;
        }
        live.phase = registered.phase;
        live.unresponsive = registered.unresponsive;
        live.weights.take_heartbeat(registered);
        if let Some(order) = order {
            let news = live.order.as_ref().is_none_or(|(known, _)| known != order);
            if news {
                live.order = Some((order.clone(), clock::now()));
            }
            live.weights.take_order(order);
        }
        if live.phase == BackendPhase::Gone {
            live.idle.clear();
        }
    }

    /// Whether it may be sent requests for a model, where these need one of at least some version.
    pub fn fitness(&self, model: Option<(&str, Option<u64>)>) -> Fitness {
        let now = clock::now();
        let live = lock(&self.live);
        if live.phase != BackendPhase::Ready {
            return Fitness::Unfit;
        }
        if let Some((model, least)) = model {
            if live.is_loading(model, now) || live.weights.is_refuted(model, now) {
                return Fitness::Unfit;
            }
            if least.is_some_and(|least| {
                live.weights
                    .version(model)
                    .is_none_or(|version| version < least)
            }) {
                return Fitness::Unfit;
            }
        }
        if live.unresponsive || now < live.avoid_until {
            Fitness::Doubtful
        } else {
            Fitness::Fit
        }
    }

    /// Whether several routers have seen it fail requests lately.
    pub fn is_suspected(&self) -> bool {
        clock::now() < lock(&self.live).suspected_until
    }

    /// The version of a model's weights that it has, as far as is known.
    pub fn version(&self, model: &str) -> Option<u64> {
        lock(&self.live).weights.version(model)
    }

    /// The versions of weights that it has, as far as is known, by model.
    pub fn versions(&self) -> HashMap<CompactString, u64> {
        lock(&self.live).weights.versions()
    }

    /// An answer that was served told the version of a model's weights.
    pub fn learn_version(&self, model: &str, version: u64) {
        lock(&self.live).weights.take_answer(model, version);
    }

    /// It turned a request away that expected a version of a model's weights, and may have told its
    /// own.
    pub fn refuted_version(&self, model: &str, expected: u64, told: Option<u64>) {
        lock(&self.live)
            .weights
            .was_turned_away(model, expected, told, clock::now());
    }

    /// A look at its load.
    pub fn load(&self) -> Load {
        let now = clock::now();
        let live = lock(&self.live);
        let told = live.told.filter(|told| now < told.at + LOAD_GOOD);
        Load {
            outstanding: live.outstanding,
            unread_tokens: live.unread_tokens,
            told,
        }
    }

    /// It told its load.
    pub fn tell(&self, told: Told) {
        lock(&self.live).told = Some(told);
    }

    /// A connection: an idle one, or a new one.
    pub async fn connect(&self, patience: Duration, is_repeatable: bool) -> io::Result<Connection> {
        if let Some(idle) = self.take_idle(is_repeatable, clock::now()) {
            return Ok(idle);
        }
        Connection::open(self.address, patience).await
    }

    /// An idle connection. Where the request may not be repeated, one that rested for too long to
    /// be trusted stays idle.
    pub fn take_idle(&self, is_repeatable: bool, now: Millis) -> Option<Connection> {
        let trusted = *lock(&self.service_state.trusted_rest);
        let mut live = lock(&self.live);
        live.idle.retain(|connection| !connection.is_closed());
        let is_trusted =
            |connection: &Connection| is_repeatable || trusted.allows(connection.rested(now), now);
        let usable = |connection: &Connection| connection.is_usable(now) && is_trusted(connection);
        let at = live.idle.iter().rposition(usable)?;
        Some(live.idle.remove(at))
    }

    /// Keeps a connection for another request.
    pub fn keep(&self, mut connection: Connection) {
        let mut live = lock(&self.live);
        if live.phase == BackendPhase::Ready && live.idle.len() < IDLE {
            connection.idle_since = Some(clock::now());
            live.idle.push(connection);
        }
    }

    /// It could not be reached from here: this says nothing of others.
    pub fn was_out_of_reach(&self) {
        self.avoid();
    }

    /// A request could not be brought to an answer by its fault.
    pub fn failed(&self) {
        self.avoid();
        self.faults.note(&self.id);
    }

    /// A connection that had rested was reset as a request was sent on it.
    pub fn forgot_connection(&self, rested: Millis) {
        lock(&self.service_state.trusted_rest).was_too_long(rested, clock::now());
        lock(&self.live).idle.clear();
    }

    fn avoid(&self) {
        let now = clock::now();
        let mut live = lock(&self.live);
        if now >= live.avoid_until {
            let longer = AVOID << live.failures.min(3);
            live.avoid_until = now + longer.min(LONGEST_AVOID);
            live.failures += 1;
        }
        live.idle.clear();
    }

    /// A request was answered.
    pub fn succeeded(&self) {
        let mut live = lock(&self.live);
        live.failures = 0;
        live.avoid_until = 0;
    }
}

impl Live {
    fn is_loading(&self, model: &str, now: Millis) -> bool {
        self.order.as_ref().is_some_and(|(order, since)| {
            order.phase == OrderPhase::InProgress
                && order.model == model
                && now < since + LOADING
                && self
                    .weights
                    .version(model)
                    .is_none_or(|version| version < order.version)
        })
    }
}

/// Counts a request at a backend for as long as it lives.
pub struct Outstanding {
    backend: Arc<Backend>,
    unread_tokens: u64,
}

impl Outstanding {
    /// A request is about to be sent whose prompt takes so many tokens to read.
    pub fn begin(backend: Arc<Backend>, unread_tokens: u64) -> Self {
        let mut live = lock(&backend.live);
        live.outstanding += 1;
        live.unread_tokens += unread_tokens;
        drop(live);
        Outstanding {
            backend,
            unread_tokens,
        }
    }

    /// The backend has begun to answer: the prompt is read.
    pub fn was_read(&mut self) {
        lock(&self.backend.live).unread_tokens -= std::mem::take(&mut self.unread_tokens);
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        let mut live = lock(&self.backend.live);
        live.outstanding -= 1;
        live.unread_tokens -= self.unread_tokens;
    }
}
