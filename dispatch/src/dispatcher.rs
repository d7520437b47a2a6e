//! The dispatch decisions of one aggregator, as a state machine without I/O. Its events and actions
//! are defined in [`crate::interface`].
//!
//! Normally the first attempts of a query go to the least-loaded row of servers. A part that is
//! still in flight after its class's recent 95th percentile is hedged once at another replica, and
//! the first answer wins (Dean and Barroso, "The Tail at Scale", CACM 2013).

mod admission;
mod attempts;
mod completion;
mod endpoints;
mod latency_estimate;
mod learned_state;
mod outcomes;
mod outlier_detection;
mod parameters;
mod probes;
mod replica_selection;
mod scheduling;
mod slow_start;
mod state;

use crate::interface::{Action, Class, Event, PartId, ServerId, Settings, Time};
use crate::timers::Timers;
pub use latency_estimate::LatencyEstimate;
use outcomes::EndedAttempt;
use state::{
    AnswerRate, Attempt, DiscoveryFailures, IdleResets, Part, Query, RecentDelay, Server, Timer,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The state of one aggregator, which turns events into actions.
#[derive(Debug, Default)]
pub struct Aggregator {
    settings: Settings,
    /// The lowest latency target of all classes.
    latency_target: Time,
    rng: fastrand::Rng,
    now: Time,
    /// The time of the first turn.
    started_at: Option<Time>,
    timers: Timers<Timer>,

    servers: BTreeMap<ServerId, Server>,
    /// The ready servers, indexed by cell.
    ready_by_cell: Vec<Vec<ServerId>>,
    ready_count: usize,
    discovery_failures: DiscoveryFailures,

    queries: BTreeMap<u64, Query>,
    parts: BTreeMap<PartId, Part>,
    attempts_in_flight: BTreeMap<(PartId, u32), Attempt>,
    /// Queries with parts that no server has capacity for. Queries that wait for a canary or a
    /// probe are not included.
    blocked: BTreeSet<u64>,

    /// Latencies of parts by class, from the first attempt to the answer.
    part_latency: Vec<LatencyEstimate>,
    /// Latencies of answered attempts by class. Unlike [`Self::part_latency`], lost attempts don't
    /// increase it.
    attempt_latency: Vec<LatencyEstimate>,
    /// The most recent client timeouts, by class.
    recent_timeouts: Vec<VecDeque<Time>>,
    /// Recent delays, by shard.
    shards: BTreeMap<u32, RecentDelay>,
    /// Times of the answers received within the last latency target.
    recent_answers: VecDeque<Time>,
    answer_rate: AnswerRate,

    /// Send time and class of the oldest attempt in flight at each server.
    oldest_attempt: BTreeMap<ServerId, (Time, usize)>,
    /// Whether so many servers are unresponsive that a common cause is likely, such as the network.
    common_fault: bool,
    /// The median slowness of ready servers, by class.
    median_slowness: Vec<f64>,
    idle_resets: IdleResets,
    last_crash: Time,
    /// Until this time queries send a canary first.
    suspect_until: Time,
    /// Servers with new outcomes since [`Aggregator::learned`] was last called; `None` until it is
    /// called for the first time.
    changed_servers: Option<BTreeSet<ServerId>>,

    hedge_tokens: f64,
    /// Times at which queries and parts were admitted, within the window of the retry budget.
    admissions: VecDeque<Time>,
    /// Times at which attempts beyond a part's first were sent, within the same window.
    retries: VecDeque<Time>,
}

impl Aggregator {
    /// Creates an aggregator that knows no servers yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let initial_latency = |c: &Class| LatencyEstimate::starting(c.latency_target);
        Aggregator {
            latency_target: settings
                .classes
                .iter()
                .filter(|c| !c.retired)
                .map(|c| c.latency_target)
                .min()
                .unwrap_or(1),
            rng: fastrand::Rng::with_seed(seed),
            ready_by_cell: vec![Vec::new(); settings.cells as usize],
            part_latency: settings.classes.iter().map(initial_latency).collect(),
            attempt_latency: settings.classes.iter().map(initial_latency).collect(),
            recent_timeouts: vec![VecDeque::new(); settings.classes.len()],
            median_slowness: vec![1.0; settings.classes.len()],
            hedge_tokens: 1.0,
            settings,
            ..Aggregator::default()
        }
    }

    /// Handles all events up to `now`, then the timers that are due, and appends the resulting
    /// actions to `out`.
    ///
    /// `now` must not decrease. Events are handled before timers, so that a timer never hedges a
    /// part or ends a query whose answer is among the events of the same turn.
    pub fn turn(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        self.now = now;
        let window = self.settings.budget.map_or(0, |b| b.window);
        self.admissions.retain(|at| at + window > now);
        self.retries.retain(|at| at + window >= now);
        let subscribes = self.started_at.is_none() && self.settings.discovery_on_request;
        out.extend(subscribes.then_some(Action::Watch(true)));
        self.started_at.get_or_insert(now);
        for event in events {
            self.handle(event, out);
        }
        self.update_health_summary();
        while let Some(timer) = self.timers.pop_due(now) {
            self.fire(timer, out);
        }
        self.recent_answers
            .retain(|at| at + self.latency_target >= now);
        self.send_probes(out);
        self.start_pending(out);
        self.shed(out);
        if !self.queries.is_empty() && !self.timers.has(Timer::Wake) {
            self.timers.set(now + self.latency_target / 32, Timer::Wake);
        }
        out.extend(self.timers.next_wake(now).map(Action::WakeAt));
    }

    fn handle(&mut self, event: &Event, out: &mut Vec<Action>) {
        match *event {
            Event::Settings {
                ref settings,
                ref from,
            } => self.update_settings(settings, from),
            Event::Endpoints { kind, ref entries } => self.update_endpoints(kind, entries),
            Event::DiscoveryFailed { refused } => self.discovery_failed(refused),
            Event::Query { .. } => self.admit(event),
            Event::Part {
                id,
                number,
                shard,
                weight,
            } => {
                self.admissions.push_back(self.now);
                if let Some(query) = self.queries.get_mut(&number) {
                    query.parts.push(id);
                    query.expected = query.expected.max(query.parts.len());
                    self.parts.insert(
                        id,
                        Part {
                            number,
                            shard,
                            weight,
                            pending: true,
                            ..Part::default()
                        },
                    );
                }
            }
            Event::AttemptEnded {
                part,
                attempt,
                outcome,
                took,
                ..
            } => {
                let ended = EndedAttempt {
                    part,
                    number: attempt,
                    outcome,
                    took,
                };
                self.attempt_ended(&ended, out);
            }
            Event::ClientLeft { id } => {
                let number = self.queries.iter().find(|q| q.1.id == id).map(|q| *q.0);
                number
                    .into_iter()
                    .for_each(|number| self.remove_query(number, out));
            }
            Event::ProbeEnded {
                server,
                outcome,
                took,
                ..
            } => self.probe_ended(server, outcome, took),
            Event::Restore(ref learned) => self.restore(learned),
            Event::Wake => {}
        }
    }

    /// Handles a timer that is due.
    fn fire(&mut self, timer: Timer, out: &mut Vec<Action>) {
        match timer {
            Timer::Hedge(id) => self.hedge(id, out),
            Timer::PartialAnswer(number) => {
                let Some(query) = self.queries.get(&number) else {
                    return;
                };
                let c = &self.settings.classes[query.class];
                if !query.in_second_step && query.weight >= c.floor {
                    self.finish_if_complete(number, true, out);
                } else if !query.in_second_step && self.now < query.useful_until {
                    self.timers.set(
                        self.now + self.settings.tick.max(c.latency_target / 64),
                        Timer::PartialAnswer(number),
                    );
                }
            }
            Timer::Deadline(number) => self.finish_if_complete(number, true, out),
            Timer::Watch => out.push(Action::Watch(true)),
            Timer::Wake => {}
        }
    }

    /// The parts of a query's current step.
    fn parts_of<'a>(&'a self, query: &'a Query) -> impl Iterator<Item = (PartId, &'a Part)> {
        query
            .parts
            .iter()
            .filter_map(|id| Some((*id, self.parts.get(id)?)))
    }

    /// The ready servers that hold a shard.
    fn replicas(&self, shard: u32) -> Vec<ServerId> {
        let cells =
            (0..self.settings.replication_factor).map(|j| (shard + j) % self.settings.cells);
        cells
            .flat_map(|cell| self.ready_by_cell[cell as usize].clone())
            .collect()
    }
}
