//! Queries, parts and attempts between the wire protocols and the dispatcher. No I/O.
//!
//! What happens is turned into the dispatcher's events, once a turn; its actions are executed
//! through the traits in [`ports`]. The rules that do not depend on a decision (one final answer,
//! in time, from parts that are in) are enforced here whatever the dispatcher decides.

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
use classes::{Classes, TooMany};
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
    /// The classes of the settings, and former ones that open queries still belong to.
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
    /// Parts of a second step, sent one turn after its first part.
    delayed: Vec<(ServerId, Outgoing)>,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// Final answers of this turn. They are sent once the attempts that they end are cancelled.
    answers: Vec<(Caller, Answer)>,
    /// Queries that finished since [`Core::take_finished`] was last called, where anybody calls it.
    finished: Option<Vec<FinishedQuery>>,
    /// The version of the configuration that queries are accepted under; 0 where there are none.
    version: u64,
    last_turn: Time,
    last_id: u64,
}

impl Core {
    /// A core without queries.
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

    /// Takes over new settings, or leaves everything as it was. Open queries keep their class. The
    /// dispatcher needs the complete endpoint list next.
    ///
    /// # Errors
    ///
    /// Where there are more classes, former ones that are still in use included, than slots.
    pub fn reconfigure(
        &mut self,
        mut settings: Settings,
        deployment: Deployment,
        limits: Rc<Limits>,
        now: Time,
    ) -> Result<(), TooMany> {
        let in_use: BTreeSet<usize> = self.queries.values().map(|query| query.class).collect();
        let (valid_until, most) = (now + limits.settings_overlap, limits.classes);
        let in_use = |slot| in_use.contains(&slot);
        let from = self.classes.replace(
            &deployment.classes,
            &settings.classes,
            in_use,
            now,
            valid_until,
            most,
        )?;
        settings.classes = self.classes.table();
        (self.settings, self.deployment, self.limits) = (settings.clone(), deployment, limits);
        self.events.push(Event::Settings {
            settings: Arc::new(settings),
            from: from.into(),
        });
        Ok(())
    }

    /// The class that a client means by a name and by carrying an idempotency key or not, and
    /// whether that class requires a key.
    pub fn class(&self, name: &str, key: bool, now: Time) -> Option<(usize, bool)> {
        let class = self.classes.find(name, key, now)?;
        Some((class, self.settings.classes[class].effect == Effect::Keyed))
    }

    /// Queries are accepted under this version of the configuration from now on.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// The name of a class, by its slot.
    pub fn class_name(&self, slot: usize) -> &str {
        self.classes.name(slot)
    }

    /// What the program itself needs to know of the deployment.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// The dispatcher's settings, as they are in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The longest retry-after that clients may be sent; 0 where none may.
    pub fn max_retry_after(&self) -> Time {
        self.settings.max_retry_after
    }

    /// Queries that have no final answer yet.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Accepts a query. Its one final answer is sent by [`Clients::answer`].
    ///
    /// # Errors
    ///
    /// Where the query is rejected before the dispatcher sees it.
    pub fn submit(&mut self, ask: QueryRequest, now: Time) -> Result<(), Rejection> {
        // Two queries of one caller would have two answers on its connection.
        if self.callers.contains_key(&ask.caller) {
            return Err(Rejection::Busy);
        }
        // Two queries of one name could not be told apart on a link: one would get the other's
        // values.
        if self.names.contains(&ask.name) {
            return Err(Rejection::NameTaken);
        }
        // The settings' bound on open queries and parts: the simulator rejects such a query unseen.
        if self.queries.len() + self.parts.len() >= self.settings.max_open as usize {
            return Err(Rejection::TableFull {
                retry_after: self.settings.max_retry_after,
            });
        }
        let margin = self.limits.answer_margin;
        let deadline = ask
            .arrived
            .saturating_add(ask.budget)
            .saturating_sub(margin.min(ask.budget / 4));
        let number = self.next_id();
        let patience = ask.budget.saturating_sub(now.saturating_sub(ask.arrived));
        self.events.push(Event::Query {
            id: QueryId(number),
            number,
            class: ask.class,
            parts: ask.parts.len() as u32,
            client_timeout: patience
                .saturating_sub(self.limits.client_timeout_margin.min(patience / 2)),
            is_retry: ask.is_retry,
        });
        let mut parts = Vec::with_capacity(ask.parts.len());
        for (shard, weight) in ask.parts {
            parts.push(self.add_part(number, shard, weight));
        }
        self.deadlines.insert((deadline, number));
        self.callers.insert(ask.caller, number);
        self.names.insert(ask.name.clone());
        let query = Query {
            caller: ask.caller,
            name: ask.name,
            class: ask.class,
            key: ask.key,
            text: ask.text,
            deadline,
            parts,
            first_step: None,
            second_step_opened: None,
            arrived: ask.arrived,
            attempts: 0,
            version: self.version,
        };
        self.queries.insert(number, query);
        Ok(())
    }

    /// The client of a query has disconnected or cancelled it; it gets no answer.
    pub fn client_left(&mut self, caller: Caller) {
        if let Some(number) = self.callers.get(&caller).copied() {
            self.close(number);
            self.events.push(Event::ClientLeft {
                id: QueryId(number),
            });
        }
    }

    /// The endpoint list of the index hosts has changed.
    pub fn update_endpoints(&mut self, kind: ListKind, entries: Vec<Endpoint>) {
        self.events.push(Event::Endpoints {
            kind,
            entries: entries.into(),
        });
    }

    /// What the dispatcher has learned of classes, and of at most `most` of the hosts with outcomes
    /// since this last returned them.
    pub fn learned(&mut self, most: usize) -> Learned {
        // By class in the order of the settings: slots have a meaning in this process only.
        let (order, mut learned) = (self.classes.order(), self.aggregator.learned(most));
        let parts = order
            .iter()
            .filter_map(|slot| learned.parts.get(*slot).cloned())
            .collect();
        let tries = order
            .iter()
            .filter_map(|slot| learned.attempts.get(*slot).cloned())
            .collect();
        (learned.parts, learned.attempts) = (parts, tries);
        for (_, memory) in &mut learned.servers {
            memory.slowness = order
                .iter()
                .filter_map(|slot| memory.slowness.get(*slot).copied())
                .collect();
        }
        learned
    }

    /// Restores what an earlier incarnation had learned, as far as it is still valid. To be called
    /// after the endpoint list that it is about.
    pub fn restore(&mut self, learned: Learned) {
        if self
            .classes
            .order()
            .iter()
            .enumerate()
            .any(|(place, slot)| place != *slot)
        {
            tracing::warn!(
                "what was learned is not taken: the settings have changed since the start"
            );
            return;
        }
        self.events.push(Event::Restore(Arc::new(learned)));
    }

    /// A discovery call failed or the watch ended: rejected or broken (`refused`), or timed out.
    pub fn discovery_failed(&mut self, refused: bool) {
        self.events.push(Event::DiscoveryFailed { refused });
    }

    /// The least time between two turns. Where the settings leave it open, a turn comes as soon as
    /// there is something to decide, and later the more queries are open: a busy gatherer batches
    /// decisions.
    fn gap(&self) -> Time {
        if !self.deployment.open_tick {
            return self.settings.tick;
        }
        let others = self.queries.len().saturating_sub(self.limits.turn_free) as Time;
        (self.limits.turn_step * others).min(self.limits.turn_most)
    }

    /// When the next turn is to run.
    pub fn due(&self) -> Option<Time> {
        let gap = self.gap();
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

    /// One turn of the dispatcher: hands it all events, and executes the actions that it returns.
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
            // It may have been cancelled meanwhile.
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
            // Cancelled in the turn that sent it: its query has its final answer, or its part
            // another attempt's.
            parts.retain(|part| self.attempts.contains_key(&part.id));
            while !parts.is_empty() {
                // The size of a frame must not depend on what clients send.
                let fits = (self.limits.call_bytes / parts[0].text.len().max(1)).max(1);
                let rest =
                    parts.split_off(fits.min(self.settings.call_parts as usize).min(parts.len()));
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
                        "refused"
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
            Action::Log(text) => tracing::info!(note = text, "module"),
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
