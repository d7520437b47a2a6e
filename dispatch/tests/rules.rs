//! Plays random legal sequences of events, from fixed seeds, and checks every action against the
//! six rules of the dispatcher.

mod common;
use common::MS;
use dispatch::Aggregator;
use dispatch::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const CELLS: u32 = 6;
const OUTCOMES: [Outcome; 6] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Reset,
    Outcome::ConnectFailed,
];
/// The id of the first server.
const FIRST_SERVER: u32 = 50;
/// Tolerance of sums of weights.
const ROUNDING: f64 = 1e-4;

fn settings(rng: &mut fastrand::Rng) -> Settings {
    let class = |effect, floor, second_step| Class {
        latency_target: 400 * MS,
        deadline: 900 * MS,
        effect,
        floor,
        second_step,
        key_lifetime: 150 * MS,
        partial_value: 0.9,
        ..Class::default()
    };
    Settings {
        aggregators: 2,
        tick: 5 * MS,
        classes: vec![
            class(Effect::Safe, 1.0, 0),
            class(Effect::Safe, 0.4, 2),
            class(Effect::Keyed, 1.0, 0),
            class(Effect::Unsafe, 1.0, 0),
            // Any 60 % of the parts are a complete answer.
            Class {
                need: 0.6,
                ..class(Effect::Safe, 0.6, 0)
            },
        ],
        cells: CELLS,
        replication_factor: if rng.bool() { 1 } else { 3 },
        call_parts: if rng.bool() { 1 } else { 4 },
        can_hedge: rng.bool(),
        max_retry_after: 100 * MS,
        drain_grace: if rng.bool() { 0 } else { 50 * MS },
        initial_capacity: 0.2,
        slow_start: 3000 * MS,
        overload_multiple: 2.0,
        overload_window: 500 * MS,
        budget: Some(Budget {
            free: rng.u64(0..5),
            ratio: 0.05,
            window: 500 * MS,
        }),
        can_probe: rng.bool(),
        can_cancel: rng.bool(),
        ..Settings::default()
    }
}

struct InFlight {
    server: ServerId,
    sent_at: Time,
    outcome: Outcome,
    ends_at: Time,
}

struct QueryState {
    id: QueryId,
    class: usize,
    end: Time,
    parts: Vec<PartId>,
    step: u32,
    first_step_complete: bool,
    is_over: bool,
}

struct PartState {
    number: u64,
    shard: u32,
    weight: f64,
    /// Send time of each attempt, and its outcome once it has ended.
    attempts: Vec<(Time, Option<Outcome>)>,
    is_done: bool,
}

/// An aggregator with servers and clients that do anything the interface allows, and the state
/// needed to check each action against the rules.
struct Model {
    rng: fastrand::Rng,
    settings: Settings,
    aggregator: Aggregator,
    now: Time,
    last_id: u64,
    events: Vec<Event>,
    queries: BTreeMap<u64, QueryState>,
    parts: BTreeMap<PartId, PartState>,
    in_flight: BTreeMap<(PartId, u32), InFlight>,
    endpoints: Vec<Endpoint>,
    /// Servers that are draining or removed, and since when.
    draining_since: BTreeMap<ServerId, Time>,
    /// When an operator last included a server again. Its slow start begins then, regardless of the
    /// endpoint list.
    included_at: BTreeMap<ServerId, Time>,
    slow_start_sends: BTreeMap<ServerId, VecDeque<Time>>,
    admissions: VecDeque<Time>,
    retries: VecDeque<Time>,
    /// Queries whose first step was answered and whose second step follows.
    second_steps: Vec<u64>,
    /// Queries whose clients disconnected in this turn.
    disconnected: BTreeSet<u64>,
    final_answers: usize,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = settings(&mut rng);
        let aggregator = Aggregator::new(settings.clone(), seed);
        let endpoints: Vec<Endpoint> = (0..2 * CELLS)
            .map(|i| common::endpoint(FIRST_SERVER + i, i % CELLS))
            .collect();
        let events = vec![Event::Endpoints {
            kind: ListKind::Persisted,
            entries: endpoints.clone().into(),
        }];
        Model {
            rng,
            settings,
            aggregator,
            now: 5000 * MS,
            last_id: 1,
            events,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            endpoints,
            draining_since: BTreeMap::new(),
            included_at: BTreeMap::new(),
            slow_start_sends: BTreeMap::new(),
            admissions: VecDeque::new(),
            retries: VecDeque::new(),
            second_steps: Vec::new(),
            disconnected: BTreeSet::new(),
            final_answers: 0,
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let due: Vec<(PartId, u32)> = self
            .in_flight
            .iter()
            .filter(|(_, a)| a.ends_at <= now)
            .map(|(key, _)| *key)
            .collect();
        for (id, attempt) in due {
            let ended = self.in_flight.remove(&(id, attempt)).unwrap();
            let part = self.parts.get_mut(&id).unwrap();
            part.attempts[attempt as usize].1 = Some(ended.outcome);
            part.is_done |= ended.outcome == Outcome::Ok;
            let took = now - ended.sent_at;
            self.events.push(common::ended(
                id,
                attempt,
                ended.server,
                ended.outcome,
                took,
            ));
        }
    }

    fn add_part(&mut self, number: u64, weight: f64) -> PartId {
        let id = PartId(self.next_id());
        let shard = self.rng.u32(0..CELLS);
        self.parts.insert(
            id,
            PartState {
                number,
                shard,
                weight,
                attempts: vec![],
                is_done: false,
            },
        );
        self.admissions.push_back(self.now);
        self.events.push(Event::Part {
            id,
            number,
            shard,
            weight,
        });
        id
    }

    fn begin_second_steps(&mut self) {
        for number in std::mem::take(&mut self.second_steps) {
            let parts = (0..2).map(|_| self.add_part(number, 0.5)).collect();
            self.queries.get_mut(&number).unwrap().parts = parts;
        }
    }

    fn begin_query(&mut self) {
        let number = self.next_id();
        let classes = &self.settings.classes;
        let current: Vec<usize> = (0..classes.len())
            .filter(|c| !classes[*c].retired)
            .collect();
        let (class, count) = (*self.rng.choice(&current).unwrap(), self.rng.u32(2..6));
        let client_timeout = self.rng.u64(3..900) * MS;
        let (id, is_retry) = (QueryId(number), self.rng.bool());
        self.events.push(Event::Query {
            id,
            number,
            class,
            parts: count,
            client_timeout,
            is_retry,
        });
        self.admissions.push_back(self.now);
        let parts = (0..count)
            .map(|_| self.add_part(number, 1.0 / f64::from(count)))
            .collect();
        let query = QueryState {
            id,
            class,
            end: self.now + client_timeout,
            parts,
            step: 1,
            first_step_complete: false,
            is_over: false,
        };
        self.queries.insert(number, query);
    }

    fn announce(&mut self, index: usize) {
        self.events.push(Event::Endpoints {
            kind: ListKind::Partial,
            entries: [self.endpoints[index].clone()].into(),
        });
    }

    fn change_status(&mut self) {
        let index = self.rng.usize(0..self.endpoints.len());
        let statuses = [
            ServerStatus::Ready,
            ServerStatus::Draining,
            ServerStatus::Removed,
        ];
        let endpoint = &mut self.endpoints[index];
        endpoint.status = *self.rng.choice(&statuses).unwrap();
        if endpoint.status == ServerStatus::Ready {
            self.draining_since.remove(&endpoint.server);
            endpoint.started_at = self.now - 100 * MS;
        } else {
            self.draining_since
                .entry(endpoint.server)
                .or_insert(self.now);
        }
        self.announce(index);
    }

    fn exclude_or_include(&mut self) {
        let index = self.rng.usize(0..self.endpoints.len());
        let endpoint = &mut self.endpoints[index];
        endpoint.excluded = !endpoint.excluded;
        if !endpoint.excluded && endpoint.status != ServerStatus::Removed {
            self.included_at.insert(endpoint.server, self.now);
        }
        self.announce(index);
    }

    /// Changes a class. Its open queries keep their index, and new queries get a new one.
    fn reconfigure(&mut self) {
        let classes = &mut self.settings.classes;
        let index = self.rng.usize(0..classes.len());
        let changed = Class {
            max_attempts: self.rng.u32(1..5),
            retired: false,
            ..classes[index].clone()
        };
        classes[index].retired = true;
        let from = (0..classes.len()).chain([index]).map(Some).collect();
        classes.push(changed);
        self.events.push(Event::Settings {
            settings: self.settings.clone().into(),
            from,
        });
        self.events.push(Event::Endpoints {
            kind: ListKind::Complete,
            entries: self.endpoints.clone().into(),
        });
    }

    fn disconnect_client(&mut self) {
        let queries = self.queries.iter();
        let open: Vec<u64> = queries.filter(|q| !q.1.is_over).map(|q| *q.0).collect();
        if let Some(number) = self.rng.choice(&open) {
            let query = self.queries.get_mut(number).unwrap();
            query.is_over = true;
            self.final_answers += 1;
            self.disconnected.insert(*number);
            self.events.push(Event::ClientLeft { id: query.id });
        }
    }

    fn turn(&mut self, begins_queries: bool) {
        self.disconnected.clear();
        self.end_attempts();
        self.begin_second_steps();
        if begins_queries && self.rng.u32(0..4) == 0 {
            self.begin_query();
        }
        if self.rng.u32(0..40) == 0 {
            self.change_status();
        }
        if self.rng.u32(0..40) == 0 {
            self.exclude_or_include();
        }
        if self.rng.u32(0..400) == 0 {
            self.reconfigure();
        }
        if self.rng.u32(0..60) == 0 {
            self.disconnect_client();
        }
        self.events.push(Event::Wake);
        let mut actions = Vec::new();
        self.aggregator.turn(self.now, &self.events, &mut actions);
        self.events.clear();
        for action in actions {
            self.check(&action);
        }
        for query in self.queries.values() {
            assert!(
                query.is_over || self.now <= query.end,
                "no final answer in time"
            );
        }
        let is_slow_turn = self.rng.u32(0..200) == 0;
        self.now += if is_slow_turn { 20 * MS } else { 5 * MS };
    }

    fn check(&mut self, action: &Action) {
        match *action {
            Action::Send {
                part,
                server,
                until,
            } => {
                self.check_server(server);
                self.check_attempt(part, server, until);
                self.begin_attempt(part, server, until);
            }
            Action::Cancel { part, attempt } => {
                assert!(self.settings.can_cancel, "cancellation is not allowed");
                if let Some(attempt) = self.in_flight.get_mut(&(part, attempt)) {
                    (attempt.outcome, attempt.ends_at) = (Outcome::Cancelled, self.now);
                }
            }
            // The client disconnected in the same turn, after the event that ended the query.
            Action::Answer { query, .. }
            | Action::Reject { query, .. }
            | Action::Fail { query }
                if self.disconnected.contains(&query.0) => {}
            Action::Answer { query, complete } => self.check_answer(query, complete),
            Action::Reject { query, .. } => {
                self.end_query(query);
                self.check_rejection(query);
            }
            Action::Fail { query } => self.end_query(query),
            _ => {}
        }
    }

    /// Checks that a server may be sent an attempt now, by its status and its slow start.
    fn check_server(&mut self, server: ServerId) {
        let (now, settings) = (self.now, &self.settings);
        let endpoint = self.endpoints.iter().find(|e| e.server == server).unwrap();
        assert!(!endpoint.excluded, "sent to an excluded server");
        // The server has one core and parts take 40 ms. This aggregator's share is a half, and half
        // of that is tolerated in addition, for chance.
        let included_at = self.included_at.get(&server).copied().unwrap_or(0);
        let started_at = endpoint.started_at.max(included_at);
        if started_at > 0 && now < started_at + settings.slow_start {
            let age = (now - started_at) as f64;
            let capacity = 0.2 + 0.8 * age / settings.slow_start as f64;
            let window = settings.overload_window as f64;
            let share = settings.overload_multiple * capacity * window / 2.0 / (40 * MS) as f64;
            let most = 1.5 * share.max(1.0);
            let sent = self.slow_start_sends.entry(server).or_default();
            sent.push_back(now);
            sent.retain(|at| at + settings.overload_window > now && *at >= started_at);
            assert!(
                sent.len() as f64 <= most,
                "server in slow start overloaded: {} over {most}",
                sent.len()
            );
        }
        let since = self.draining_since.get(&server).copied().unwrap_or(now);
        assert!(
            now <= since + settings.drain_grace,
            "sent to a draining server"
        );
    }

    /// Checks that a part may be sent to this server now.
    fn check_attempt(&mut self, id: PartId, server: ServerId, until: Time) {
        let now = self.now;
        let part = &self.parts[&id];
        let query = &self.queries[&part.number];
        assert!(
            !query.is_over && !part.is_done,
            "sent after the part or the query had ended"
        );
        assert!(until <= query.end, "the deadline is after the client's");
        let offset = (server.0 - FIRST_SERVER + CELLS - part.shard) % CELLS;
        assert!(
            offset < self.settings.replication_factor,
            "the server does not hold the shard"
        );
        let class = &self.settings.classes[query.class];
        let may_have_run =
            |a: &&(Time, Option<Outcome>)| a.1.is_none_or(|outcome| !outcome.never_ran());
        let first_run = part.attempts.iter().find(may_have_run).map(|a| a.0);
        match class.effect {
            Effect::Safe => {}
            Effect::Keyed => assert!(
                first_run.is_none_or(|at| now <= at + 150 * MS),
                "key expired"
            ),
            Effect::Unsafe => assert_eq!(first_run, None, "unsafe part sent twice"),
        }
        let in_flight = part.attempts.iter().filter(|a| a.1.is_none()).count();
        assert!(
            in_flight == 0 || self.settings.can_hedge,
            "two attempts in flight"
        );
        assert!(part.attempts.len() < class.max_attempts as usize);
        if !part.attempts.is_empty() {
            let budget = self.settings.budget.unwrap();
            self.retries.push_back(now);
            self.retries.retain(|at| at + budget.window >= now);
            self.admissions.retain(|at| at + budget.window > now);
            let most = budget.free as f64 + budget.ratio * self.admissions.len() as f64;
            assert!(self.retries.len() as f64 <= most, "retry budget exceeded");
        }
    }

    fn begin_attempt(&mut self, id: PartId, server: ServerId, until: Time) {
        let now = self.now;
        let part = self.parts.get_mut(&id).unwrap();
        let number = part.attempts.len() as u32;
        part.attempts.push((now, None));
        let hangs = self.rng.u32(0..5) == 0;
        let answers_at = now + self.rng.u64(1..80) * MS;
        let outcome = *self.rng.choice(&OUTCOMES).unwrap();
        let (outcome, ends_at) = if answers_at <= until && !hangs {
            (outcome, answers_at)
        } else {
            (Outcome::TimedOut, until.max(now + 1))
        };
        let attempt = InFlight {
            server,
            sent_at: now,
            outcome,
            ends_at,
        };
        self.in_flight.insert((id, number), attempt);
    }

    fn check_answer(&mut self, id: QueryId, is_complete: bool) {
        let query = self.queries.get_mut(&id.0).unwrap();
        assert!(!query.is_over, "two final answers");
        let class = &self.settings.classes[query.class];
        let parts = query.parts.iter().map(|p| &self.parts[p]);
        let weight: f64 = parts.filter(|p| p.is_done).map(|p| p.weight).sum();
        assert!(weight >= class.floor - ROUNDING, "weight below the floor");
        assert!(
            !is_complete || weight >= class.need - ROUNDING,
            "marked complete but is not"
        );
        assert!(
            !is_complete || query.step == 1 || query.first_step_complete,
            "complete after a partial first step"
        );
        if class.second_step > 0 && query.step == 1 {
            (query.step, query.first_step_complete) = (2, is_complete);
            self.second_steps.push(id.0);
        } else {
            query.is_over = true;
            self.final_answers += 1;
        }
    }

    fn end_query(&mut self, id: QueryId) {
        let query = self.queries.get_mut(&id.0).unwrap();
        assert!(!query.is_over, "two final answers");
        query.is_over = true;
        self.final_answers += 1;
    }

    /// Checks that a rejected query is safe to retry.
    fn check_rejection(&self, id: QueryId) {
        let query = &self.queries[&id.0];
        if self.settings.classes[query.class].effect != Effect::Unsafe {
            return;
        }
        let may_have_run = |p: &PartId| {
            let mut attempts = self.parts[p].attempts.iter();
            attempts.any(|a| a.1.is_none_or(|outcome| !outcome.never_ran()))
        };
        assert!(
            !query.parts.iter().any(may_have_run),
            "rejected although a part may have run"
        );
    }
}

/// Plays a run and returns the number of its queries.
fn run(seed: u64) -> usize {
    let mut model = Model::new(seed);
    for turn in 0..1500 {
        model.turn(turn < 1200);
    }
    assert_eq!(
        model.final_answers,
        model.queries.len(),
        "every query has exactly one final answer, seed {seed}"
    );
    model.final_answers
}

#[test]
fn rules_hold_in_any_legal_order_of_events() {
    let queries: usize = (0..40).map(run).sum();
    assert!(
        queries > 5000,
        "{queries} queries are too few for this test"
    );
}
