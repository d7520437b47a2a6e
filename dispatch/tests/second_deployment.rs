//! A deployment of another shape: few queries per second, cells of two servers without overlapping
//! shards, calls of up to 8 parts that cost work of their own, cancellation without effect, other
//! classes, and an endpoint list that has to be requested.

mod common;
use common::*;
use dispatch::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const CELLS: u32 = 6;
const PART_LATENCY: Time = 110 * MS;

/// Settings with three classes: one with partial answers from 70 % of the weight, and two that need
/// every part, one idempotent and one with an idempotency key.
fn settings() -> Settings {
    let class = |latency_target: Time, deadline: Time| Class {
        latency_target,
        deadline,
        ..Class::default()
    };
    Settings {
        aggregators: 3,
        tick: 5 * MS,
        discovery_on_request: true,
        classes: vec![
            Class {
                floor: 0.7,
                partial_value: 0.9,
                value: 5.0,
                ..class(1500 * MS, 3000 * MS)
            },
            class(2000 * MS, 6000 * MS),
            Class {
                effect: Effect::Keyed,
                key_lifetime: 1500 * MS,
                ..class(1500 * MS, 3000 * MS)
            },
        ],
        cells: CELLS,
        call_parts: 8,
        call_work: 40 * MS,
        max_open: 82,
        max_list_age: 10_000 * MS,
        drain_grace: 500 * MS,
        initial_capacity: 0.18,
        slow_start: 14_000 * MS,
        overload_multiple: 2.0,
        overload_window: 1000 * MS,
        ..ring_settings(CELLS, 1)
    }
}

/// How a server responds to a part.
#[derive(Clone, Copy, PartialEq)]
enum Response {
    After(Time),
    Never,
    RefusesConnection,
}

/// One aggregator, and servers that respond according to `respond`.
struct Simulation<F> {
    rig: Rig,
    respond: F,
    rng: fastrand::Rng,
    due: BTreeSet<(Time, PartId, u32, ServerId, bool, Time)>,
    attempts: BTreeMap<PartId, u32>,
    in_flight: BTreeMap<PartId, u32>,
    /// By query: its client's deadline and its class.
    open: BTreeMap<u64, (Time, usize)>,
    sent: BTreeMap<ServerId, Vec<Time>>,
    parts: u32,
    hedges: u32,
    calls: u32,
    /// By class: the numbers of queries that were answered, and that ended otherwise.
    results: BTreeMap<usize, (u32, u32)>,
}

impl<F: Fn(ServerId, Time) -> Response> Simulation<F> {
    fn new(respond: F) -> Self {
        let mut rig = Rig::new(settings());
        // A second server in each cell.
        let more: Vec<Endpoint> = (0..CELLS).map(|cell| endpoint(200 + cell, cell)).collect();
        rig.turn(
            MS,
            &[Event::Endpoints {
                kind: ListKind::Partial,
                entries: more.into(),
            }],
        );
        Simulation {
            rig,
            respond,
            rng: fastrand::Rng::with_seed(7),
            due: BTreeSet::new(),
            attempts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            open: BTreeMap::new(),
            sent: BTreeMap::new(),
            parts: 0,
            hedges: 0,
            calls: 0,
            results: BTreeMap::new(),
        }
    }

    fn turn(&mut self, events: &[Event]) {
        self.rig.turn(5 * MS, events);
        let now = self.rig.now;
        for (part, server, until) in self.rig.sends() {
            let attempt = self
                .attempts
                .entry(part)
                .and_modify(|attempt| *attempt += 1)
                .or_insert(0);
            self.parts += u32::from(*attempt == 0);
            let in_flight = self.in_flight.entry(part).or_insert(0);
            self.hedges += u32::from(*in_flight > 0);
            *in_flight += 1;
            self.sent.entry(server).or_default().push(now);
            let (at, ok) = match (self.respond)(server, now) {
                Response::After(took) if now + took <= until => (now + took, true),
                Response::RefusesConnection => (now + MS, false),
                _ => (until, false),
            };
            self.due.insert((at, part, *attempt, server, ok, now));
        }
        for action in self.rig.actions.clone() {
            let (query, answered) = match action {
                Action::Answer { query, .. } => (query, true),
                Action::Reject { query, .. } | Action::Fail { query } => (query, false),
                Action::Watch(true) => {
                    self.calls += 1;
                    continue;
                }
                _ => continue,
            };
            let (until, class) = self
                .open
                .remove(&query.0)
                .expect("one final answer to each query");
            assert!(now <= until, "answered after its client's deadline");
            let results = self.results.entry(class).or_default();
            *(if answered {
                &mut results.0
            } else {
                &mut results.1
            }) += 1;
        }
    }

    /// Runs for `duration` with `rate` queries per second, of the three classes at a ratio of
    /// 1:3:1.
    fn run(&mut self, duration: Time, rate: f64) {
        let until = self.rig.now + duration;
        while self.rig.now < until {
            let mut events = Vec::new();
            while let Some(&(at, part, attempt, server, ok, sent)) = self.due.first()
                && at <= self.rig.now + 5 * MS
            {
                self.due.pop_first();
                *self
                    .in_flight
                    .get_mut(&part)
                    .expect("the attempt is in flight") -= 1;
                let outcome = match (self.respond)(server, sent) {
                    _ if ok => Outcome::Ok,
                    Response::RefusesConnection => Outcome::ConnectFailed,
                    _ => Outcome::TimedOut,
                };
                events.push(ended(part, attempt, server, outcome, at - sent));
            }
            if self.rng.f64() < rate * 0.005 {
                let class = [0, 1, 1, 1, 2][self.rng.usize(0..5)];
                let width = [10, 5, 1][class];
                let first = self.rng.u32(0..24);
                let shards: Vec<u32> = (first..first + width).map(|s| s % 24).collect();
                let client_timeout = settings().classes[class].deadline;
                let (number, query_events) = self.rig.query(class, client_timeout, &shards);
                self.open
                    .insert(number, (self.rig.now + 5 * MS + client_timeout, class));
                events.extend(query_events);
            }
            events.push(Event::Wake);
            self.turn(&events);
        }
    }

    fn answered(&self, class: usize) -> f64 {
        let (answered, other) = self.results[&class];
        f64::from(answered) / f64::from(answered + other)
    }
}

/// Each server pauses for 300 ms every 6 s, at a phase of its own.
fn paused(server: ServerId, now: Time) -> Response {
    let phase = Time::from(server.0) * 517 * MS;
    let elapsed = (now + phase) % (6000 * MS);
    Response::After(PART_LATENCY + (300 * MS).saturating_sub(elapsed))
}

#[test]
fn pausing_servers_cause_few_hedges() {
    let mut simulation = Simulation::new(paused);
    simulation.run(60_000 * MS, 6.0);
    let share = f64::from(simulation.hedges) / f64::from(simulation.parts);
    assert!(
        (0.005..=0.11).contains(&share),
        "{} hedges of {} parts",
        simulation.hedges,
        simulation.parts
    );
    assert!(
        (0..3).all(|class| simulation.answered(class) > 0.97),
        "{:?}",
        simulation.results
    );
}

#[test]
fn half_unresponsive_servers_cost_few_queries() {
    // From 10 s on one server of each cell accepts parts and never answers.
    let begin = 11_000 * MS;
    let half = move |server: ServerId, now| {
        if server.0 >= 200 && now > begin {
            Response::Never
        } else {
            Response::After(PART_LATENCY)
        }
    };
    let mut simulation = Simulation::new(half);
    simulation.run(40_000 * MS, 4.0);
    assert!(
        simulation.answered(0) > 0.9 && simulation.answered(1) > 0.8,
        "{:?}",
        simulation.results
    );
    let to_unresponsive = |at: Time| -> usize {
        let late = |times: &Vec<Time>| times.iter().filter(|t| **t > at).count();
        simulation
            .sent
            .iter()
            .filter(|(id, _)| id.0 >= 200)
            .map(|(_, times)| late(times))
            .sum()
    };
    let all = |at: Time| -> usize {
        simulation
            .sent
            .values()
            .map(|t| t.iter().filter(|t| **t > at).count())
            .sum()
    };
    assert!(
        to_unresponsive(begin + 5_000 * MS) * 8 < all(begin + 5_000 * MS),
        "the unresponsive servers are still used"
    );
}

#[test]
fn rescues_class_with_few_answers() {
    let unresponsive = |server: ServerId, _| {
        if server.0 == 100 {
            Response::Never
        } else {
            Response::After(PART_LATENCY)
        }
    };
    let mut simulation = Simulation::new(unresponsive);
    // Five queries of the second class to that server's cell, 2.5 s apart, and no others.
    for _ in 0..5 {
        let (number, events) = simulation.rig.query(1, 6000 * MS, &[0, 6]);
        simulation
            .open
            .insert(number, (simulation.rig.now + 6000 * MS, 1));
        simulation.turn(&events);
        simulation.run(2500 * MS, 0.0);
    }
    assert_eq!(
        simulation.results[&1],
        (5, 0),
        "answered by the other server of the cell"
    );
}

#[test]
fn stale_list_stays_in_force() {
    // Two servers of different cells crash at 5 s. The endpoint list is not updated for 24 s.
    let dead = |server: ServerId, now| {
        let gone = [100, 203].contains(&server.0) && now > 6_000 * MS;
        if gone {
            Response::RefusesConnection
        } else {
            Response::After(PART_LATENCY)
        }
    };
    let mut simulation = Simulation::new(dead);
    simulation.run(4_000 * MS, 4.0);
    let calls_before = simulation.calls;
    for _ in 0..24 {
        simulation.turn(&[Event::DiscoveryFailed { refused: true }]);
        simulation.run(1000 * MS, 4.0);
    }
    assert!(
        (0..3).all(|class| simulation.answered(class) > 0.9),
        "{:?}",
        simulation.results
    );
    assert!(
        (2..=24).contains(&(simulation.calls - calls_before)),
        "{} calls",
        simulation.calls - calls_before
    );
    let rest: Vec<Endpoint> = (0..CELLS)
        .flat_map(|c| [endpoint(100 + c, c), endpoint(200 + c, c)])
        .collect();
    let rest: Vec<Endpoint> = rest
        .into_iter()
        .filter(|e| ![100, 203].contains(&e.server.0))
        .collect();
    simulation.turn(&[Event::Endpoints {
        kind: ListKind::Complete,
        entries: rest.into(),
    }]);
    let updated_at = simulation.rig.now;
    simulation.run(4_000 * MS, 4.0);
    for id in [100, 203] {
        assert!(
            simulation.sent[&ServerId(id)]
                .iter()
                .all(|at| *at <= updated_at),
            "sent to a removed server"
        );
    }
}

#[test]
fn sole_warming_replica_serves_within_budget() {
    let start = 1_000 * MS;
    let dead = |server: ServerId, _| {
        if server.0 == 100 {
            Response::RefusesConnection
        } else {
            Response::After(PART_LATENCY)
        }
    };
    let mut simulation = Simulation::new(dead);
    simulation.run(10_000 * MS, 4.0);
    let started_at = simulation.rig.now;
    let cold = Endpoint {
        started_at,
        ..endpoint(200, 0)
    };
    simulation.turn(&[Event::Endpoints {
        kind: ListKind::Partial,
        entries: [cold].into(),
    }]);
    simulation.run(14_000 * MS, 4.0);
    let sent = &simulation.sent[&ServerId(200)];
    let fresh: Vec<Time> = sent
        .iter()
        .copied()
        .filter(|at| *at >= started_at)
        .collect();
    assert!(fresh.len() >= 10, "sent only {} parts", fresh.len());
    // Within any second at most the configured multiple of its capacity, shared by three
    // aggregators.
    for (at, from) in fresh.iter().enumerate() {
        let within = fresh[at..]
            .iter()
            .take_while(|t| **t < from + start)
            .count() as f64;
        let age = (from - started_at + start) as f64 / (14_000 * MS) as f64;
        let capacity = 0.18 + 0.82 * age.min(1.0);
        let limit = 2.0 * capacity * 2.0 / 0.15 / 3.0;
        assert!(
            within <= limit.max(2.0),
            "{within} parts within a second at {age:.2} of the slow start, {limit:.1} allowed"
        );
    }
}

#[test]
fn keyed_part_is_repeated_within_key_lifetime() {
    for (later, retries) in [(1400 * MS, 1), (1600 * MS, 0)] {
        let mut settings = settings();
        settings.classes[2].latency_target = 4000 * MS;
        settings.classes[2].deadline = 6000 * MS;
        let mut rig = Rig::new(settings);
        rig.turn(
            MS,
            &[Event::Endpoints {
                kind: ListKind::Partial,
                entries: [endpoint(200, 0)].into(),
            }],
        );
        let (_, events) = rig.query(2, 6000 * MS, &[0]);
        rig.turn(0, &events);
        let (part, server, _) = rig.sends()[0];
        rig.turn(later, &[ended(part, 0, server, Outcome::Error, later)]);
        assert_eq!(rig.sends().len(), retries, "after {later}");
        if retries == 0 {
            // The query can't be answered any more, so it is rejected immediately.
            assert!(
                rig.actions
                    .iter()
                    .any(|a| matches!(a, Action::Reject { .. })),
                "{:?}",
                rig.actions
            );
        }
    }
}

/// All servers have just started, as after a power failure, and parts take much less time than
/// their latency target. The first answers must raise the estimated capacity. It used to require
/// eight answers of a class, which takes many seconds while the estimate follows from the target
/// alone.
#[test]
fn answers_raise_slow_start_share() {
    let mut simulation = Simulation::new(|_, _| Response::After(20 * MS));
    let started_at = simulation.rig.now;
    let cells =
        (0..CELLS).flat_map(|cell| [endpoint(100 + cell, cell), endpoint(200 + cell, cell)]);
    let cold: Vec<Endpoint> = cells.map(|e| Endpoint { started_at, ..e }).collect();
    simulation.turn(&[Event::Endpoints {
        kind: ListKind::Complete,
        entries: cold.into(),
    }]);
    simulation.run(5_000 * MS, 4.0);
    assert!(simulation.answered(1) > 0.5, "{:?}", simulation.results);
    // Within any second at most the configured multiple of a server's capacity, shared by three
    // aggregators.
    for sent in simulation.sent.values() {
        for (at, from) in sent.iter().enumerate() {
            let within = sent[at..]
                .iter()
                .take_while(|t| **t < from + 1_000 * MS)
                .count() as f64;
            let capacity =
                0.18 + 0.82 * (from + 1_000 * MS - started_at) as f64 / (14_000 * MS) as f64;
            let limit = 2.0 * capacity / 0.06 / 3.0;
            assert!(
                within <= limit,
                "{within} parts within a second, {limit:.1} allowed"
            );
        }
    }
}

/// A crashed server that is still in the endpoint list refuses connections and is therefore always
/// idle. As its shard's other server had no capacity, a part was sent there three times within
/// 15 ms, and its query was rejected.
#[test]
fn refusing_server_uses_up_no_attempts() {
    let dead = |server: ServerId, _| match server.0 {
        100 => Response::RefusesConnection,
        200 => Response::After(600 * MS),
        _ => Response::After(PART_LATENCY),
    };
    let mut simulation = Simulation::new(dead);
    simulation.run(30_000 * MS, 5.0);
    // One attempt per quarter of the lowest latency target, and some before the failures are known.
    let sent = simulation.sent[&ServerId(100)].len();
    assert!(sent <= 90, "{sent} attempts at the crashed server");
    assert!(
        (0..3).all(|class| simulation.answered(class) > 0.5),
        "{:?}",
        simulation.results
    );
}

/// Twelve parts in six cells of three servers share calls to six of the eighteen servers. The query
/// can crash no more than these, so its canary is trusted after a part of the median latency and
/// need not answer first.
#[test]
fn query_width_counts_servers() {
    let mut rig = Rig::new(settings());
    let more = (0..CELLS).flat_map(|cell| [endpoint(200 + cell, cell), endpoint(300 + cell, cell)]);
    rig.turn(
        MS,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: more.collect(),
        }],
    );
    rig.warm_up(PART_LATENCY, &[0, 1, 2, 3, 4, 5]);
    let shards: Vec<u32> = (0..12).collect();
    let (_, events) = rig.query(1, 6000 * MS, &shards);
    rig.turn(2000 * MS, &events);
    assert_eq!(rig.sends().len(), 1, "a canary is sent first");
    rig.turn(PART_LATENCY / 4, &[Event::Wake]);
    assert_eq!(rig.sends().len(), 0, "the canary is not trusted yet");
    rig.turn(PART_LATENCY * 3 / 4, &[Event::Wake]);
    assert_eq!(rig.sends().len(), 11, "the canary is trusted");
}
