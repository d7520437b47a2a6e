//! Queries, parts and attempts between the wire protocols and the dispatcher. No I/O.
//!
//! Once per turn the collected events are passed to the dispatcher, and the actions that it returns
//! are executed through the traits in [`ports`]. Whatever the dispatcher decides, the core enforces
//! that a query gets one final answer, before its deadline, from parts that have been answered.

mod answers;
mod attempts;
mod bounds;
pub mod classes;
pub mod ports;
pub mod schema;
pub mod settings;
mod state;

pub use answers::FinishedQuery;

use crate::limits::{Limits, MS};
use attempts::add_to_call;
use classes::{Classes, TooManyClasses};
use dispatch::interface::{
    Action, Endpoint, Event, Learned, ListKind, Outcome, PartId, QueryId, ServerId, Settings, Time,
};
use dispatch::{Aggregator, interface::Effect};
use ports::{
    Answer, AttemptId, Caller, Clients, Directory, FailureReason, Hosts, Outgoing, QueryRequest,
    Rejection,
};
use settings::Deployment;
use state::{Attempt, Part, Query};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

/// The state between the wire protocols and the dispatcher.
pub struct Core {
    aggregator: Aggregator,
    settings: Settings,
    deployment: Deployment,
    /// The classes of the settings, and former classes that open queries still belong to.
    classes: Classes,
    limits: Rc<Limits>,
    queries: BTreeMap<u64, Query>,
    callers: HashMap<Caller, u64>,
    /// The names of open queries.
    names: HashSet<Rc<str>>,
    parts: HashMap<u64, Part>,
    attempts: HashMap<AttemptId, Attempt>,
    timeouts: BTreeSet<(Time, AttemptId)>,
    deadlines: BTreeSet<(Time, u64)>,
    probes: BTreeMap<ServerId, Time>,
    wakes: BTreeSet<Time>,
    /// Parts of a second step, sent one turn after the first part of that step.
    delayed: Vec<(ServerId, Outgoing)>,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// Final answers of this turn, sent after the attempts that they end have been cancelled.
    answers: Vec<(Caller, Answer)>,
    /// Queries finished since the last [`Core::take_finished`]; `None` while nothing collects them.
    finished: Option<Vec<FinishedQuery>>,
    /// The configuration version that queries are accepted under; 0 without versions.
    version: u64,
    last_turn: Time,
    last_id: u64,
}

impl Core {
    /// Creates a core without queries.
    pub fn new(settings: Settings, deployment: Deployment, limits: Rc<Limits>, seed: u64) -> Self {
        Core {
            aggregator: Aggregator::new(settings.clone(), seed),
            classes: Classes::new(&deployment.classes, &settings.classes),
            settings,
            deployment,
            limits,
            queries: BTreeMap::new(),
            callers: HashMap::new(),
            names: HashSet::new(),
            parts: HashMap::new(),
            attempts: HashMap::new(),
            timeouts: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            probes: BTreeMap::new(),
            wakes: BTreeSet::new(),
            delayed: Vec::new(),
            events: Vec::new(),
            actions: Vec::new(),
            answers: Vec::new(),
            finished: None,
            version: 0,
            last_turn: 0,
            last_id: 1,
        }
    }

    /// Applies new settings; on an error nothing changes. Open queries keep their class. The caller
    /// must pass the complete endpoint list to the dispatcher next.
    ///
    /// # Errors
    ///
    /// If the new classes and the former classes still in use need more slots than there are.
    pub fn reconfigure(
        &mut self,
        mut settings: Settings,
        deployment: Deployment,
        limits: Rc<Limits>,
        now: Time,
    ) -> Result<(), TooManyClasses> {
        let in_use: BTreeSet<usize> = self.queries.values().map(|query| query.class).collect();
        let (valid_until, max_slots) = (now + limits.settings_overlap, limits.classes);
        let in_use = |slot| in_use.contains(&slot);
        let from = self.classes.replace(
            &deployment.classes,
            &settings.classes,
            in_use,
            now,
            valid_until,
            max_slots,
        )?;
        settings.classes = self.classes.table();
        (self.settings, self.deployment, self.limits) = (settings.clone(), deployment, limits);
        self.events.push(Event::Settings {
            settings: Arc::new(settings),
            from: from.into(),
        });
        Ok(())
    }

    /// Finds the class of a request by its class name and by whether the request has an idempotency
    /// key. Returns the class and whether it requires a key.
    pub fn class(&self, name: &str, key: bool, now: Time) -> Option<(usize, bool)> {
        let class = self.classes.find(name, key, now)?;
        Some((class, self.settings.classes[class].effect == Effect::Keyed))
    }

    /// Sets the configuration version that queries are accepted under from now on.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// The name of the class in a slot.
    pub fn class_name(&self, slot: usize) -> &str {
        self.classes.name(slot)
    }

    /// The settings that the program itself uses.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// The dispatcher's current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The longest retry-after that may be sent to clients; 0 if none may be sent.
    pub fn max_retry_after(&self) -> Time {
        self.settings.max_retry_after
    }

    /// The number of queries without a final answer.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Accepts a query. Its one final answer is sent through [`Clients::answer`].
    ///
    /// # Errors
    ///
    /// If the query is rejected before the dispatcher sees it.
    pub fn submit(&mut self, request: QueryRequest, now: Time) -> Result<(), Rejection> {
        // A caller can receive only one answer at a time.
        if self.callers.contains_key(&request.caller) {
            return Err(Rejection::Busy);
        }
        // Two open queries with the same name cannot be distinguished on a connection to an index
        // host: one would get the other's values.
        if self.names.contains(&request.name) {
            return Err(Rejection::NameTaken);
        }
        // The limit on open queries and parts from the settings; the simulator, too, rejects such a
        // query before the dispatcher sees it.
        if self.queries.len() + self.parts.len() >= self.settings.max_open as usize {
            return Err(Rejection::TableFull {
                retry_after: self.settings.max_retry_after,
            });
        }
        let margin = self.limits.answer_margin;
        let deadline = request
            .arrived
            .saturating_add(request.budget)
            .saturating_sub(margin.min(request.budget / 4));
        let number = self.next_id();
        let remaining = request
            .budget
            .saturating_sub(now.saturating_sub(request.arrived));
        self.events.push(Event::Query {
            id: QueryId(number),
            number,
            class: request.class,
            parts: request.parts.len() as u32,
            client_timeout: remaining
                .saturating_sub(self.limits.client_timeout_margin.min(remaining / 2)),
            is_retry: request.is_retry,
        });
        let mut parts = Vec::with_capacity(request.parts.len());
        for (shard, weight) in request.parts {
            parts.push(self.add_part(number, shard, weight));
        }
        self.deadlines.insert((deadline, number));
        self.callers.insert(request.caller, number);
        self.names.insert(request.name.clone());
        let query = Query {
            caller: request.caller,
            name: request.name,
            class: request.class,
            key: request.key,
            text: request.text,
            deadline,
            parts,
            first_step: None,
            second_step_opened: None,
            arrived: request.arrived,
            attempts: 0,
            version: self.version,
        };
        self.queries.insert(number, query);
        Ok(())
    }

    /// Closes a query whose client has disconnected or cancelled it; no answer is sent.
    pub fn client_left(&mut self, caller: Caller) {
        if let Some(number) = self.callers.get(&caller).copied() {
            self.close(number);
            self.events.push(Event::ClientLeft {
                id: QueryId(number),
            });
        }
    }

    /// Passes a changed endpoint list of the index hosts to the dispatcher.
    pub fn update_endpoints(&mut self, kind: ListKind, entries: Vec<Endpoint>) {
        self.events.push(Event::Endpoints {
            kind,
            entries: entries.into(),
        });
    }

    /// Returns the dispatcher's estimates for all classes, and for at most `max_hosts` of the hosts
    /// that had outcomes since they were last returned.
    pub fn learned(&mut self, max_hosts: usize) -> Learned {
        // Estimates are ordered by class as in the settings, as slots are local to this process.
        let (order, mut learned) = (self.classes.order(), self.aggregator.learned(max_hosts));
        let parts = order
            .iter()
            .filter_map(|slot| learned.parts.get(*slot).cloned())
            .collect();
        let attempts = order
            .iter()
            .filter_map(|slot| learned.attempts.get(*slot).cloned())
            .collect();
        (learned.parts, learned.attempts) = (parts, attempts);
        for (_, memory) in &mut learned.servers {
            memory.slowness = order
                .iter()
                .filter_map(|slot| memory.slowness.get(*slot).copied())
                .collect();
        }
        learned
    }

    /// Restores the estimates of an earlier process as far as they are still valid. Must be called
    /// after the endpoint list that the estimates refer to.
    pub fn restore(&mut self, learned: Learned) {
        if self
            .classes
            .order()
            .iter()
            .enumerate()
            .any(|(place, slot)| place != *slot)
        {
            tracing::warn!("learned state not restored: the settings have changed since the start");
            return;
        }
        self.events.push(Event::Restore(Arc::new(learned)));
    }

    /// Reports a failed discovery call or an ended watch: rejected or broken (`refused`), or
    /// without a usable response.
    pub fn discovery_failed(&mut self, refused: bool) {
        self.events.push(Event::DiscoveryFailed { refused });
    }

    /// The minimum time between two turns. If the settings do not set `tick`, the gap grows with
    /// the number of open queries, so that an idle gatherer decides at once and a busy one in
    /// batches.
    fn min_turn_gap(&self) -> Time {
        if !self.deployment.open_tick {
            return self.settings.tick;
        }
        let excess = self
            .queries
            .len()
            .saturating_sub(self.limits.unbatched_queries) as Time;
        (self.limits.turn_gap_step * excess).min(self.limits.max_turn_gap)
    }

    /// When the next turn is due.
    pub fn due(&self) -> Option<Time> {
        let gap = self.min_turn_gap();
        if !self.events.is_empty() || !self.delayed.is_empty() {
            return Some(self.last_turn + gap);
        }
        let times = [
            self.wakes.first().copied(),
            self.timeouts.first().map(|t| t.0),
            self.deadlines.first().map(|d| d.0),
            self.probes.values().min().map(|at| at + self.limits.probe),
        ];
        Some(times.into_iter().flatten().min()?.max(self.last_turn + gap))
    }

    /// Runs one turn: passes all events to the dispatcher and executes the actions that it returns.
    pub fn turn(&mut self, now: Time, ports: &mut (impl Clients + Hosts + Directory)) {
        self.last_turn = now;
        self.expire(now, ports);
        while self.wakes.first().is_some_and(|at| *at <= now) {
            self.wakes.pop_first();
            if !matches!(self.events.last(), Some(Event::Wake)) {
                self.events.push(Event::Wake);
            }
        }
        let mut calls: Vec<(ServerId, Vec<Outgoing>)> = Vec::new();
        for (host, part) in std::mem::take(&mut self.delayed) {
            // Skip attempts that were cancelled since the last turn.
            if self.attempts.contains_key(&part.id) {
                add_to_call(&mut calls, host, part);
            }
        }
        if self.events.is_empty() && calls.is_empty() {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        self.aggregator.turn(now, &self.events, &mut actions);
        self.events.clear();
        for action in actions.drain(..) {
            self.execute(action, now, &mut calls, ports);
        }
        self.actions = actions;
        for (caller, answer) in self.answers.drain(..) {
            ports.answer(caller, answer);
        }
        for (host, mut parts) in calls {
            // Drop attempts cancelled in the turn that sent them, as the query was answered or
            // another attempt answered the part.
            parts.retain(|part| self.attempts.contains_key(&part.id));
            while !parts.is_empty() {
                // Split the call so that its frame is bounded however long the query texts are.
                let max_parts = (self.limits.call_bytes / parts[0].text.len().max(1)).max(1);
                let rest = parts.split_off(
                    max_parts
                        .min(self.settings.call_parts as usize)
                        .min(parts.len()),
                );
                ports.call(host, std::mem::replace(&mut parts, rest));
            }
        }
    }

    fn execute(
        &mut self,
        action: Action,
        now: Time,
        calls: &mut Vec<(ServerId, Vec<Outgoing>)>,
        ports: &mut (impl Hosts + Directory),
    ) {
        match action {
            Action::Send {
                part,
                server,
                until,
            } => self.send(part.0, server, until, now, calls),
            Action::Cancel { part, attempt } => {
                let id = AttemptId {
                    part: part.0,
                    number: attempt,
                };
                if let Some(attempt) = self.attempts.get(&id) {
                    let outcome = if attempt.written {
                        Outcome::Cancelled
                    } else {
                        Outcome::Skipped
                    };
                    ports.cancel(attempt.host, id);
                    self.attempt_ended(id, outcome, now);
                }
            }
            Action::Answer { query, complete } => self.answer(query.0, complete, now),
            Action::Reject { query, retry_after } => {
                if let Some(query) = self.finish(query.0, Answer::Rejected { retry_after }, now) {
                    let elapsed_ms = now.saturating_sub(query.arrived) / MS;
                    tracing::debug!(
                        query = &*query.name,
                        elapsed_ms,
                        attempts = query.attempts,
                        "query rejected"
                    );
                }
            }
            Action::Fail { query } => {
                drop(self.finish(query.0, Answer::Failed(FailureReason::GivenUp), now))
            }
            Action::WakeAt(at) => {
                self.wakes.insert(at);
            }
            Action::Probe(host) => {
                if self.probes.insert(host, now).is_none() {
                    ports.probe(host);
                }
            }
            Action::Watch(on) => ports.watch(on),
            Action::Fetch => ports.fetch(),
            Action::Close(host) => ports.close_idle(host),
            Action::Log(text) => tracing::info!(note = text, "dispatcher"),
        }
    }

    fn add_part(&mut self, query: u64, shard: u32, weight: f64) -> u64 {
        let id = self.next_id();
        self.parts.insert(
            id,
            Part {
                query,
                shard,
                weight,
                attempts: 0,
                first_sent: None,
                value: None,
            },
        );
        self.events.push(Event::Part {
            id: PartId(id),
            number: query,
            shard,
            weight,
        });
        id
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
