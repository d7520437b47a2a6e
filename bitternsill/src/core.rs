//! Queries, parts and attempts between the wires and the decision module. Knows no wire and no
//! socket.
//!
//! What happens is turned into the module's events, once a tick; its actions are carried out
//! through the traits in [`ports`]. The rules that do not depend on a decision (one final answer,
//! in time, from parts that are in) are enforced here whatever the module says.

pub mod classes;
mod permitted;
pub mod ports;
pub mod schema;
pub mod settings;

use crate::limits::{Limits, MS};
use classes::{Classes, TooMany};
use dispatch::interface::{
    Action, Endpoint, Event, Learned, ListKind, LoadReport, Outcome, PartId, QueryId, ServerId,
    Settings, Time,
};
use dispatch::{Aggregator, interface::Effect};
use ports::{
    Answer, AttemptId, Caller, Clients, Directory, FailureReason, Hosts, Outgoing, QueryRequest,
    Rejection, Value,
};
use settings::Deployment;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

/// Adds a part to the call that goes to its host.
fn add_to_call(calls: &mut Vec<(ServerId, Vec<Outgoing>)>, host: ServerId, part: Outgoing) {
    match calls.iter_mut().find(|(to, _)| *to == host) {
        Some((_, parts)) => parts.push(part),
        None => calls.push((host, vec![part])),
    }
}

/// How much a sum of weights may fall short of what is asked for.
const ROUNDING: f64 = 0.0001;

struct Query {
    caller: Caller,
    name: Rc<str>,
    class: usize,
    key: Option<Rc<str>>,
    text: Rc<str>,
    deadline: Time,
    parts: Vec<u64>,
    /// Shards in at the end of the first step, and whether that was whole; set once there is a
    /// second.
    first: Option<(Rc<str>, bool)>,
    /// The host that is told first that the second step has begun, and when.
    second_step_opened: Option<(ServerId, Time)>,
    taken: Time,
    attempts: u32,
    /// The version of the configuration under which it was taken.
    version: u64,
}

struct Part {
    query: u64,
    shard: u32,
    weight: f64,
    attempts: u32,
    first_sent: Option<Time>,
    value: Option<Value>,
}

struct Attempt {
    host: ServerId,
    sent: Time,
    until: Time,
    written: bool,
}

/// A query that has had its final answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedQuery {
    /// When it came.
    pub taken: Time,
    /// The part of the time in which its class's answers are wanted that it took.
    pub spent: f64,
    /// Whether it was answered, and whole.
    pub complete: bool,
    /// Its class, by its slot.
    pub class: usize,
    /// What became of it, in a word.
    pub outcome: &'static str,
    /// The version of the configuration under which it was taken.
    pub version: u64,
}

/// The state between the wires and the module.
pub struct Core {
    aggregator: Aggregator,
    settings: Settings,
    deployment: Deployment,
    /// The settings' classes, and those that open queries are still of.
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
    /// Parts of a second step that follow its first by a turn.
    delayed: Vec<(ServerId, Outgoing)>,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// Final answers of this turn: they go out once all that they end has been given up.
    answers: Vec<(Caller, Answer)>,
    /// Queries that ended since this was last asked for, where somebody asks.
    finished: Option<Vec<FinishedQuery>>,
    /// The version of the configuration that queries are taken under; 0 where there are none.
    version: u64,
    last_turn: Time,
    last_id: u64,
}

impl Core {
    /// A core that holds nothing yet.
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

    /// Takes other settings, or leaves all as it was. What is open keeps its class; the module
    /// wants the whole list next.
    pub fn reconfigure(
        &mut self,
        mut settings: Settings,
        deployment: Deployment,
        limits: Rc<Limits>,
        now: Time,
    ) -> Result<(), TooMany> {
        let held: BTreeSet<usize> = self.queries.values().map(|query| query.class).collect();
        let (fading, most) = (now + limits.settings_overlap, limits.classes);
        let held = |slot| held.contains(&slot);
        let from = self.classes.lay(
            &deployment.classes,
            &settings.classes,
            held,
            now,
            fading,
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

    /// The class that a client means by a name, and by carrying a key or not, and whether that
    /// class wants one.
    pub fn class(&self, name: &str, key: bool, now: Time) -> Option<(usize, bool)> {
        let class = self.classes.find(name, key, now)?;
        Some((class, self.settings.classes[class].effect == Effect::Keyed))
    }

    /// Queries are taken under this version of the configuration from now on.
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

    /// The module's settings, as they are in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The longest time to return that clients may be told; 0 where none may.
    pub fn max_retry_after(&self) -> Time {
        self.settings.max_retry_after
    }

    /// Queries that have no final answer yet.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Takes a query. It gets its one answer through [`Clients::answer`], unless it is turned away
    /// here.
    pub fn submit(&mut self, ask: QueryRequest, now: Time) -> Result<(), Rejection> {
        // Sent twice on one connection it would have two answers there.
        if self.callers.contains_key(&ask.caller) {
            return Err(Rejection::Busy);
        }
        // Two queries of one name could not be told apart on a link: one would be given the other's
        // values.
        if self.names.contains(&ask.name) {
            return Err(Rejection::NameTaken);
        }
        // The settings' bound on what is held: the simulator turns such a query away unseen, so its
        // refusal is due.
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
            client_timeout: patience.saturating_sub(self.limits.patience_margin.min(patience / 2)),
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
            first: None,
            second_step_opened: None,
            taken: ask.arrived,
            attempts: 0,
            version: self.version,
        };
        self.queries.insert(number, query);
        Ok(())
    }

    /// The client of a query has left; it gets no answer.
    pub fn client_left(&mut self, caller: Caller) {
        if let Some(number) = self.callers.get(&caller).copied() {
            self.close(number);
            self.events.push(Event::ClientLeft {
                id: QueryId(number),
            });
        }
    }

    /// News of the list of index hosts.
    pub fn update_endpoints(&mut self, kind: ListKind, entries: Vec<Endpoint>) {
        self.events.push(Event::Endpoints {
            kind,
            entries: entries.into(),
        });
    }

    /// What the module has learned: of at most so many of the hosts judged since they were last
    /// told of, and of classes.
    pub fn learned(&mut self, most: usize) -> Learned {
        // Told by class in the order of the settings: slots are the business of this run alone.
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

    /// What an earlier run had learned, as far as it still counts; after the list that it is about.
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

    /// A discovery call failed, or the watch ended: refused or broken, or left without an answer.
    pub fn discovery_failed(&mut self, refused: bool) {
        self.events.push(Event::DiscoveryFailed { refused });
    }

    /// The last byte of an attempt's message went out: from here on it may run.
    pub fn mark_written(&mut self, attempt: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&attempt) {
            attempt.written = true;
        }
    }

    /// An attempt brought its value.
    pub fn attempt_served(&mut self, attempt: AttemptId, value: Value, now: Time) {
        if self.attempts.contains_key(&attempt)
            && let Some(part) = self.parts.get_mut(&attempt.part)
        {
            part.value.get_or_insert(value);
        }
        self.attempt_ended(attempt, Outcome::Ok, now);
    }

    /// An attempt ended; a second end of one attempt is dropped, so the module sees exactly one.
    pub fn attempt_ended(&mut self, id: AttemptId, outcome: Outcome, now: Time) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.timeouts.remove(&(attempt.until, id));
        tracing::debug!(
            part = id.part,
            number = id.number,
            host = attempt.host.0,
            ?outcome,
            "ended"
        );
        self.events.push(Event::AttemptEnded {
            part: PartId(id.part),
            attempt: id.number,
            server: attempt.host,
            outcome,
            took: now.saturating_sub(attempt.sent),
            load: LoadReport::default(),
        });
    }

    /// A connection broke, or ended: what had been written whole may have run, the rest never did.
    pub fn connection_broken(&mut self, attempt: AttemptId, now: Time) {
        self.attempt_interrupted(attempt, Outcome::Reset, now);
    }

    /// The same with the outcome for what may have run, where more is known than that the
    /// connection ended.
    pub fn attempt_interrupted(&mut self, attempt: AttemptId, outcome: Outcome, now: Time) {
        let written = self.attempts.get(&attempt).is_some_and(|a| a.written);
        self.attempt_ended(
            attempt,
            if written {
                outcome
            } else {
                Outcome::ConnectFailed
            },
            now,
        );
    }

    /// A probe ended.
    pub fn probe_ended(&mut self, host: ServerId, outcome: Outcome, now: Time) {
        if let Some(sent) = self.probes.remove(&host) {
            let took = now.saturating_sub(sent);
            self.events.push(Event::ProbeEnded {
                server: host,
                outcome,
                took,
                load: LoadReport::default(),
            });
        }
    }

    /// The least time between two turns. Where the settings leave it open, a turn comes as soon as
    /// there is something to decide, and later the more queries are open: a busy gatherer decides
    /// for many of them at once.
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

    /// One turn of the module: it is told all that arrived, and what it decides is carried out.
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
            // It may have been called off meanwhile.
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
            // Called off in the turn that sent it: its query has its final answer, or its part
            // another's.
            parts.retain(|part| self.attempts.contains_key(&part.id));
            while !parts.is_empty() {
                // One frame must not grow with what a client's text holds.
                let fits = (self.limits.call_bytes / parts[0].text.len().max(1)).max(1);
                let rest =
                    parts.split_off(fits.min(self.settings.call_parts as usize).min(parts.len()));
                ports.call(host, std::mem::replace(&mut parts, rest));
            }
        }
    }

    fn expire(&mut self, now: Time, ports: &mut impl Hosts) {
        while let Some(&(at, id)) = self.timeouts.first()
            && at <= now
        {
            self.timeouts.pop_first();
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            let outcome = if attempt.written {
                Outcome::TimedOut
            } else {
                Outcome::ConnectFailed
            };
            ports.cancel(attempt.host, id);
            self.attempt_ended(id, outcome, now);
        }
        let late: Vec<ServerId> = self
            .probes
            .iter()
            .filter(|p| *p.1 + self.limits.probe <= now)
            .map(|p| *p.0)
            .collect();
        for host in late {
            self.probe_ended(host, Outcome::TimedOut, now);
        }
        // The module ends queries in good time; this guards the rule should it ever not.
        while let Some(&(at, number)) = self.deadlines.first()
            && at <= now
        {
            self.deadlines.pop_first();
            if let Some(query) = self.finish(number, Answer::Failed(FailureReason::TimeUp), now) {
                tracing::warn!(query = &*query.name, "no decision in time");
                self.events.push(Event::ClientLeft {
                    id: QueryId(number),
                });
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
                    let held = now.saturating_sub(query.taken) / MS;
                    tracing::debug!(
                        query = &*query.name,
                        held,
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

    fn send(
        &mut self,
        number: u64,
        host: ServerId,
        until: Time,
        now: Time,
        calls: &mut Vec<(ServerId, Vec<Outgoing>)>,
    ) {
        let Some(part) = self.parts.get_mut(&number) else {
            return;
        };
        let Some(query) = self.queries.get_mut(&part.query) else {
            return;
        };
        let id = AttemptId {
            part: number,
            number: part.attempts,
        };
        part.attempts += 1;
        let until = if until == 0 {
            query.deadline
        } else {
            until.min(query.deadline)
        };
        self.attempts.insert(
            id,
            Attempt {
                host,
                sent: now,
                until,
                written: false,
            },
        );
        let class = &self.settings.classes[query.class];
        // Written later than this, a repeat would no longer be dropped by the index host.
        let first_sent = *part.first_sent.get_or_insert(now);
        let repeatable_until = match class.effect {
            Effect::Keyed if id.number > 0 => first_sent + class.key_lifetime,
            _ => Time::MAX,
        };
        let over = part.value.is_some() || part.attempts > class.max_attempts;
        if over || until.min(repeatable_until) <= now {
            self.attempt_ended(id, Outcome::Skipped, now);
            return;
        }
        query.attempts += 1;
        self.timeouts.insert((until, id));
        let second = query.first.as_ref();
        let outgoing = Outgoing {
            id,
            name: format!(
                "{}.{}{}",
                query.name,
                part.shard,
                if second.is_some() { ".r" } else { "" }
            ),
            shard: part.shard,
            until,
            not_after: repeatable_until,
            key: query.key.clone(),
            from: second.map(|(from, _)| from.clone()),
            text: query.text.clone(),
            first_step_complete: second.map(|(_, complete)| *complete),
        };
        // The first step ends when the first part of the second arrives, and whoever has not heard
        // of that by then turns the others down: they follow when the first has had a turn's time.
        if query.first.is_some() {
            let (first, at) = *query.second_step_opened.get_or_insert((host, now));
            if at == now && first != host {
                self.delayed.push((host, outgoing));
                return;
            }
        }
        add_to_call(calls, host, outgoing);
    }

    fn answer(&mut self, number: u64, complete: bool, now: Time) {
        let Some(query) = self.queries.get(&number) else {
            return;
        };
        let class = &self.settings.classes[query.class];
        let (floor, need, second_step) = (class.floor, class.need, class.second_step as usize);
        let parts = query.parts.iter().filter_map(|id| self.parts.get(id));
        let mut within: Vec<(u32, Value)> = parts
            .clone()
            .filter_map(|p| Some((p.shard, p.value.clone()?)))
            .collect();
        let weight: f64 = parts.filter(|p| p.value.is_some()).map(|p| p.weight).sum();
        let all = within.len() == query.parts.len();
        let enough = if query.first.is_some() {
            all
        } else {
            weight + ROUNDING >= need
        };
        let honest = complete && enough && query.first.as_ref().is_none_or(|first| first.1);
        if within.is_empty() || weight + ROUNDING < floor {
            // An answer from less than the class's least share must never go out, whoever asked for
            // it.
            tracing::error!(
                query = &*query.name,
                weight,
                "an answer from too few parts was held back"
            );
            self.finish(number, Answer::Failed(FailureReason::GivenUp), now);
            self.events.push(Event::ClientLeft {
                id: QueryId(number),
            });
            return;
        }
        if second_step > 0 && query.first.is_none() {
            self.second_step(number, within, honest, second_step);
            return;
        }
        within.sort_by_key(|(shard, _)| *shard);
        if let Some(query) = self.finish(
            number,
            Answer::Served {
                complete: honest,
                values: within,
            },
            now,
        ) {
            tracing::debug!(
                query = &*query.name,
                took = now.saturating_sub(query.taken) / MS,
                complete = honest,
                attempts = query.attempts,
                "answered"
            );
        }
    }

    /// Begins the second step: parts at the shards in with the highest scores, told to the module
    /// next turn.
    fn second_step(
        &mut self,
        number: u64,
        mut within: Vec<(u32, Value)>,
        complete: bool,
        most: usize,
    ) {
        within.sort_by_key(|(shard, _)| *shard);
        let from: Vec<String> = within.iter().map(|(shard, _)| shard.to_string()).collect();
        within.sort_by(|a, b| b.1.score.total_cmp(&a.1.score).then(a.0.cmp(&b.0)));
        within.truncate(most);
        let weight = 1.0 / within.len() as f64;
        let parts: Vec<u64> = within
            .iter()
            .map(|(shard, _)| self.add_part(number, *shard, weight))
            .collect();
        if let Some(query) = self.queries.get_mut(&number) {
            query.first = Some((from.join("+").into(), complete));
            for old in std::mem::replace(&mut query.parts, parts) {
                self.parts.remove(&old);
            }
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

    /// Queries that ended since this was last asked, and whether they are to be noted from now on.
    pub fn take_finished(&mut self, go_on: bool) -> Vec<FinishedQuery> {
        std::mem::replace(&mut self.finished, go_on.then(Vec::new)).unwrap_or_default()
    }

    /// Ends a query with its final answer, which goes out at the end of the turn.
    fn finish(&mut self, number: u64, answer: Answer, now: Time) -> Option<Query> {
        let query = self.close(number)?;
        if let Some(finished) = &mut self.finished {
            let outcome = match answer {
                Answer::Served { complete: true, .. } => "whole",
                Answer::Served { .. } => "partial",
                Answer::Rejected { .. } => "refused",
                Answer::Failed(_) => "failed",
            };
            let Query {
                taken,
                class,
                version,
                ..
            } = query;
            let latency_target = self.settings.classes[class].latency_target.max(1);
            let spent = now.saturating_sub(taken) as f64 / latency_target as f64;
            finished.push(FinishedQuery {
                taken,
                spent,
                complete: outcome == "whole",
                class,
                outcome,
                version,
            });
        }
        self.answers.push((query.caller, answer));
        Some(query)
    }

    fn close(&mut self, number: u64) -> Option<Query> {
        let query = self.queries.remove(&number)?;
        self.callers.remove(&query.caller);
        self.names.remove(&query.name);
        self.deadlines.remove(&(query.deadline, number));
        for part in &query.parts {
            self.parts.remove(part);
        }
        Some(query)
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Fails whatever is still open: the program is about to end. What waits to be written is not
    /// written any more.
    pub fn fail_all(&mut self, ports: &mut (impl Clients + Hosts)) {
        for (id, attempt) in self.attempts.drain() {
            ports.cancel(attempt.host, id);
        }
        self.timeouts.clear();
        self.delayed.clear();
        while let Some((&number, _)) = self.queries.first_key_value() {
            if let Some(query) = self.close(number) {
                ports.answer(query.caller, Answer::Failed(FailureReason::Ending));
            }
        }
    }
}
