//! The dispatch decisions of one aggregator, as a state machine without I/O. Its types, events and
//! actions are in [`crate::interface`].
//!
//! The ordinary path: the first attempts of a query go to the least-loaded row of servers, each
//! part has one timer at its class's recent 95th percentile, a part still in flight then gets one
//! hedged request to another replica, and the first answer wins (Dean and Barroso, "The Tail at
//! Scale", CACM 2013).

mod admission;
mod attempts;
mod completion;
mod endpoints;
mod memory;
mod outcomes;
mod outlier_detection;
mod pacing;
mod parameters;
mod probes;
mod replica_selection;
mod scheduling;
mod slow_start;
mod state;

use crate::interface::{Action, Class, Event, PartId, ServerId, Settings, Time};
use crate::timers::Timers;
use outcomes::EndedAttempt;
pub use pacing::LatencyEstimate;
use state::{
    AnswerRate, Attempt, DiscoveryFailures, IdleResets, Part, Query, RecentDelay, Server, Timer,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One aggregator: given events, it returns the actions to carry out.
#[derive(Debug, Default)]
pub struct Aggregator {
    settings: Settings,
    /// The least latency target of all classes.
    latency_target: Time,
    rng: fastrand::Rng,
    now: Time,
    /// The time of the first turn.
    started_at: Option<Time>,
    timers: Timers<Timer>,

    servers: BTreeMap<ServerId, Server>,
    /// The ready servers of each cell.
    holders: Vec<Vec<ServerId>>,
    /// How many servers are ready.
    ready: usize,
    discovery_failures: DiscoveryFailures,

    queries: BTreeMap<u64, Query>,
    parts: BTreeMap<PartId, Part>,
    attempts_in_flight: BTreeMap<(PartId, u32), Attempt>,
    /// Queries with parts that no server has capacity for; not those that wait for a scout or a
    /// probe.
    blocked: BTreeSet<u64>,

    /// How long parts take, by class.
    part_latency: Vec<LatencyEstimate>,
    /// How long answered attempts take, by class: lost ones lengthen what parts take, but not this.
    attempt_latency: Vec<LatencyEstimate>,
    /// The latest client time-outs, by class.
    usual_timeouts: Vec<VecDeque<Time>>,
    /// The recent delay of each shard.
    shards: BTreeMap<u32, RecentDelay>,
    /// When the answers of the last latency target came.
    recent_answers: VecDeque<Time>,
    answer_rate: AnswerRate,

    /// The oldest attempt at each server: when it was sent, and its class.
    oldest_attempt: BTreeMap<ServerId, (Time, usize)>,
    /// Whether so many servers are unresponsive that the fault is common to them.
    common_fault: bool,
    /// The median slowness of ready servers, by class.
    median_slowness: Vec<f64>,
    idle_resets: IdleResets,
    last_crash: Time,
    /// Until when queries send a scout first.
    suspect_until: Time,
    /// Servers judged since [`Aggregator::learned`] was last called; none where nobody calls it.
    changed_servers: Option<BTreeSet<ServerId>>,

    hedge_tokens: f64,
    /// When queries and parts were taken, and attempts beyond the first were sent, in the window of
    /// the stated budget.
    admissions: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Aggregator {
    /// An aggregator that has just started and knows only its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let start = |c: &Class| LatencyEstimate::starting(c.latency_target);
        Aggregator {
            latency_target: settings
                .classes
                .iter()
                .filter(|c| !c.retired)
                .map(|c| c.latency_target)
                .min()
                .unwrap_or(1),
            rng: fastrand::Rng::with_seed(seed),
            holders: vec![Vec::new(); settings.cells as usize],
            part_latency: settings.classes.iter().map(start).collect(),
            attempt_latency: settings.classes.iter().map(start).collect(),
            usual_timeouts: vec![VecDeque::new(); settings.classes.len()],
            median_slowness: vec![1.0; settings.classes.len()],
            hedge_tokens: 1.0,
            settings,
            ..Aggregator::default()
        }
    }

    /// Handles all events up to `now`, then the timers that are due, and appends the resulting
    /// actions to `out`.
    ///
    /// `now` must not go back. Outcomes are handled before timers, so that an answer that came in
    /// time is never hedged or given up by a timer of the same turn.
    pub fn turn(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        self.now = now;
        let window = self.settings.budget.map_or(0, |b| b.window);
        self.admissions.retain(|at| at + window > now);
        self.retries.retain(|at| at + window >= now);
        let watches = self.started_at.is_none() && self.settings.discovery_on_request;
        out.extend(watches.then_some(Action::Watch(true)));
        self.started_at.get_or_insert(now);
        for event in events {
            self.handle(event, out);
        }
        self.update_health_summary();
        while let Some(timer) = self.timers.due(now) {
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

    /// Applies one event.
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

    /// Does what a timer that is due was set for.
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

    fn parts_of<'a>(&'a self, query: &'a Query) -> impl Iterator<Item = (PartId, &'a Part)> {
        query
            .parts
            .iter()
            .filter_map(|id| Some((*id, self.parts.get(id)?)))
    }

    fn replicas(&self, shard: u32) -> Vec<ServerId> {
        let cells =
            (0..self.settings.replication_factor).map(|j| (shard + j) % self.settings.cells);
        cells
            .flat_map(|cell| self.holders[cell as usize].clone())
            .collect()
    }
}
