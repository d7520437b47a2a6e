//! Fleets of independent aggregators: behavior that is harmless in one and harmful in a hundred.

mod common;
use common::*;
use dispatch::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const SERVERS: u32 = 20;
const AGGREGATORS: u32 = 100;
/// Latency of a part, most of which is the network.
const LATENCY: Time = 30 * MS;
/// Work of a part, in seconds.
const WORK_S: f64 = 0.015;
/// Rate of queries at each aggregator.
const QUERIES_PER_SECOND: f64 = 2.0;
const SHARDS_PER_QUERY: u32 = 4;
const CLIENT_TIMEOUT: Time = 2000 * MS;

/// Aggregators with a common clock, and servers that all have the same latency by default.
struct Fleet {
    rigs: Vec<Rig>,
    rng: fastrand::Rng,
    now: Time,
    due: BTreeSet<(Time, usize, PartId, u32, ServerId, Time)>,
    attempts: BTreeMap<(usize, PartId), u32>,
    /// Times at which each server was sent an attempt.
    sent: BTreeMap<ServerId, Vec<Time>>,
    /// Servers that accept parts and never answer.
    unresponsive: BTreeSet<ServerId>,
    /// Servers that refuse every connection.
    refusing: BTreeSet<ServerId>,
    /// Latencies of servers that are slower than the others.
    slow: BTreeMap<ServerId, Time>,
    /// By aggregator and query: when its client gives up, and how many parts are answered.
    open: BTreeMap<(usize, u64), (Time, u32)>,
    query_of: BTreeMap<(usize, PartId), u64>,
    complete: u32,
    partial: u32,
    rejected: u32,
}

impl Fleet {
    fn new(settings: &Settings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let rigs: Vec<Rig> = (0..AGGREGATORS)
            .map(|_| Rig::seeded(settings.clone(), rng.u64(..)))
            .collect();
        let now = rigs[0].now;
        Fleet {
            rigs,
            rng,
            now,
            due: BTreeSet::new(),
            attempts: BTreeMap::new(),
            sent: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
            refusing: BTreeSet::new(),
            slow: BTreeMap::new(),
            open: BTreeMap::new(),
            query_of: BTreeMap::new(),
            complete: 0,
            partial: 0,
            rejected: 0,
        }
    }

    fn update_endpoints(&mut self, entries: &[Endpoint]) {
        for at in 0..self.rigs.len() {
            self.turn(
                at,
                vec![Event::Endpoints {
                    kind: ListKind::Partial,
                    entries: entries.to_vec().into(),
                }],
            );
        }
    }

    fn turn(&mut self, at: usize, events: Vec<Event>) {
        let rig = &mut self.rigs[at];
        rig.turn(self.now - rig.now, &events);
        for (part, server, _) in rig.sends() {
            let attempt = self
                .attempts
                .entry((at, part))
                .and_modify(|attempt| *attempt += 1)
                .or_insert(0);
            self.sent.entry(server).or_default().push(self.now);
            if !self.unresponsive.contains(&server) {
                let usual = self.slow.get(&server).copied().unwrap_or(LATENCY);
                let took = if self.refusing.contains(&server) {
                    MS
                } else {
                    usual
                };
                self.due
                    .insert((self.now + took, at, part, *attempt, server, took));
            }
        }
        for action in self.rigs[at].actions.clone() {
            let (query, kind) = match action {
                Action::Answer { query, complete } => (query, Some(complete)),
                Action::Reject { query, .. } | Action::Fail { query } => (query, None),
                _ => continue,
            };
            let (until, done) = self
                .open
                .remove(&(at, query.0))
                .expect("one final answer to each query");
            assert!(self.now <= until, "answered after its client gave up");
            match kind {
                Some(true) => assert_eq!(done, SHARDS_PER_QUERY, "complete without all parts"),
                Some(false) => assert!(done * 2 >= SHARDS_PER_QUERY, "{done} parts are too few"),
                None => {}
            }
            self.complete += u32::from(kind == Some(true));
            self.partial += u32::from(kind == Some(false));
            self.rejected += u32::from(kind.is_none());
        }
    }

    fn run(&mut self, time: Time) {
        let until = self.now + time;
        while self.now < until {
            self.now += 10 * MS;
            let mut events: BTreeMap<usize, Vec<Event>> = BTreeMap::new();
            while let Some(&(due, at, part, attempt, server, took)) = self.due.first()
                && due <= self.now
            {
                self.due.pop_first();
                let refused = self.refusing.contains(&server);
                let outcome = if refused {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                };
                if !refused
                    && let Some(query) = self.query_of.remove(&(at, part))
                    && let Some((_, done)) = self.open.get_mut(&(at, query))
                {
                    *done += 1;
                }
                events
                    .entry(at)
                    .or_default()
                    .push(ended(part, attempt, server, outcome, took));
            }
            for at in 0..self.rigs.len() {
                let mut events = events.remove(&at).unwrap_or_default();
                if self.rng.f64() < QUERIES_PER_SECOND * 0.01 {
                    let first = self.rng.u32(..SERVERS);
                    let shards: Vec<u32> = (first..first + SHARDS_PER_QUERY)
                        .map(|s| s % SERVERS)
                        .collect();
                    let (number, query_events) = self.rigs[at].query(0, CLIENT_TIMEOUT, &shards);
                    self.open
                        .insert((at, number), (self.now + CLIENT_TIMEOUT, 0));
                    self.query_of.extend(
                        (1..=u64::from(SHARDS_PER_QUERY))
                            .map(|i| ((at, PartId(number + i)), number)),
                    );
                    events.extend(query_events);
                }
                if !events.is_empty() || self.now % (50 * MS) == 0 {
                    events.push(Event::Wake);
                    self.turn(at, events);
                }
            }
        }
    }
}

/// Warming servers used to be sent a quarter of what they could do, while the warm servers were
/// overloaded.
#[test]
fn aggregators_use_slow_start_budget() {
    let settings = Settings {
        aggregators: AGGREGATORS,
        slow_start: 18_000 * MS,
        overload_window: 1000 * MS,
        ..ring_settings(SERVERS, 2)
    };
    let settings = Settings {
        initial_capacity: 0.32,
        overload_multiple: 3.0,
        ..settings
    };
    for seed in 0..3 {
        let mut fleet = Fleet::new(&settings, seed);
        fleet.run(6000 * MS);
        let (started_at, replacements) = (fleet.now, 12);
        let new = (0..replacements).map(|c| Endpoint {
            started_at,
            ..endpoint(200 + c, c)
        });
        let old = (0..replacements).map(|c| Endpoint {
            status: ServerStatus::Removed,
            ..endpoint(100 + c, c)
        });
        let change: Vec<Endpoint> = old.chain(new).collect();
        fleet.update_endpoints(&change);
        fleet.sent.clear();
        fleet.run(6000 * MS);
        // Attempts per second that a warm server is sent.
        let warm_rate =
            f64::from(AGGREGATORS * SHARDS_PER_QUERY) * QUERIES_PER_SECOND / f64::from(SERVERS);
        assert!(warm_rate * WORK_S < 1.0, "the servers are overloaded");
        let mut total = 0;
        for cell in 0..replacements {
            let sent = &fleet.sent[&ServerId(200 + cell)];
            total += sent.len();
            for &at in sent {
                let within = sent
                    .iter()
                    .filter(|s| **s >= at && **s < at + settings.overload_window)
                    .count() as f64;
                let age = (at - started_at) as f64 / settings.slow_start as f64;
                let capacity = settings.initial_capacity + (1.0 - settings.initial_capacity) * age;
                let limit = settings.overload_multiple * capacity / WORK_S;
                assert!(
                    within <= limit,
                    "seed {seed}: {within} in a second to a server with a limit of {limit:.0}"
                );
            }
        }
        let used = total as f64 / f64::from(replacements) / 6.0 / warm_rate;
        assert!(
            (0.5..=1.2).contains(&used),
            "seed {seed}: {used:.2} of what a warm server is sent"
        );
    }
}

/// Settings with a class that may be answered from half of its parts.
fn settings() -> Settings {
    let class = Class {
        floor: 0.5,
        partial_value: 0.8,
        latency_target: 1000 * MS,
        deadline: CLIENT_TIMEOUT,
        ..Class::default()
    };
    let settings = Settings {
        aggregators: AGGREGATORS,
        slow_start: 18_000 * MS,
        overload_window: 1000 * MS,
        ..ring_settings(SERVERS, 2)
    };
    Settings {
        initial_capacity: 0.32,
        overload_multiple: 3.0,
        classes: vec![class],
        ..settings
    }
}

/// All aggregators restart during a release: they have learned nothing, most servers are cold and
/// some are unresponsive.
#[test]
fn queries_end_in_time_with_warming_and_unresponsive_servers() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(&settings(), seed);
        let started_at = fleet.now;
        fleet.update_endpoints(
            &(0..14)
                .map(|c| Endpoint {
                    started_at,
                    ..endpoint(100 + c, c)
                })
                .collect::<Vec<_>>(),
        );
        fleet.unresponsive = [103, 116].map(ServerId).into();
        fleet.run(6000 * MS);
        let total = fleet.complete + fleet.partial + fleet.rejected;
        assert!(total > 900, "{total} queries are too few for this test");
        assert!(
            fleet.open.values().all(|(until, _)| *until > fleet.now),
            "a query was not ended in time"
        );
        assert!(
            fleet.complete * 10 > total * 5,
            "seed {seed}: {} of {total} complete",
            fleet.complete
        );
    }
}

/// Most servers are replaced within seconds. A draining server is sent nothing from the update on.
#[test]
fn draining_servers_get_nothing_during_replacement() {
    let mut fleet = Fleet::new(&settings(), 7);
    fleet.run(2000 * MS);
    for batch in 0..3 {
        // Each shard keeps one replica, as in a release.
        let cells = (0..4).map(|i| batch + 5 * i);
        let leaving = cells.clone().map(|c| Endpoint {
            status: ServerStatus::Draining,
            ..endpoint(100 + c, c)
        });
        fleet.update_endpoints(&leaving.collect::<Vec<_>>());
        fleet.sent.clear();
        fleet.run(1000 * MS);
        let started_at = fleet.now;
        let gone = cells.clone().map(|c| Endpoint {
            status: ServerStatus::Removed,
            ..endpoint(100 + c, c)
        });
        let new = cells.clone().map(|c| Endpoint {
            started_at,
            ..endpoint(200 + c, c)
        });
        fleet.update_endpoints(&gone.chain(new).collect::<Vec<_>>());
        fleet.run(1000 * MS);
        let late: usize = cells
            .filter_map(|c| fleet.sent.get(&ServerId(100 + c)))
            .map(Vec::len)
            .sum();
        assert_eq!(
            late, 0,
            "parts sent to servers of batch {batch} after the update"
        );
    }
    let total = fleet.complete + fleet.partial + fleet.rejected;
    assert!(
        fleet.complete * 10 > total * 9,
        "{} of {total} complete",
        fleet.complete
    );
}

/// A server at its connection limit refuses all connections for a while. It is sent fewer attempts
/// meanwhile, and is used again once it accepts connections.
#[test]
fn refusing_server_is_retried_and_readmitted() {
    let mut fleet = Fleet::new(&settings(), 9);
    fleet.run(3000 * MS);
    let usual = fleet
        .sent
        .insert(ServerId(105), Vec::new())
        .unwrap_or_default()
        .len();
    fleet.refusing.insert(ServerId(105));
    fleet.run(3000 * MS);
    let tried = fleet
        .sent
        .insert(ServerId(105), Vec::new())
        .unwrap_or_default()
        .len();
    assert!(
        tried * 4 < usual * 3,
        "{tried} attempts while it refuses connections, {usual} before"
    );
    fleet.refusing.clear();
    // Each aggregator tries it at most twice a second and readmits it after several answers.
    fleet.run(27_000 * MS);
    fleet.sent.clear();
    fleet.run(3000 * MS);
    let readmitted = fleet.sent.get(&ServerId(105)).map_or(0, Vec::len);
    assert!(
        readmitted * 3 > usual * 2,
        "{readmitted} parts after it accepts connections again, {usual} before"
    );
    let total = fleet.complete + fleet.partial + fleet.rejected;
    assert!(
        fleet.rejected * 100 < total,
        "{} of {total} rejected",
        fleet.rejected
    );
}

/// A hundred aggregators restart together and restore their own statistics. Slow servers are sent
/// less from the first second on, no healthy server is overloaded, and restored statistics that are
/// wrong for every server do no harm either.
#[test]
fn restarted_gatherers_do_not_herd() {
    let slow: BTreeMap<ServerId, Time> = [104, 111, 117].map(|id| (ServerId(id), 400 * MS)).into();
    for seed in 0..3 {
        let mut before = Fleet::new(&settings(), seed);
        before.slow = slow.clone();
        before
            .rigs
            .iter_mut()
            .for_each(|rig| drop(rig.aggregator.learned(0)));
        before.run(8000 * MS);
        let learned: Vec<Learned> = before
            .rigs
            .iter_mut()
            .map(|rig| rig.aggregator.learned(SERVERS as usize))
            .collect();
        // Restores the statistics with server ids shifted by `shift`, or nothing. Returns the parts
        // that slow servers and the busiest other server are sent in the first second, and the
        // numbers of complete and of all answers.
        let restart = |shift: Option<u32>| {
            let mut fleet = Fleet::new(&settings(), 100 + seed);
            fleet.slow = slow.clone();
            for (at, statistics) in learned.iter().enumerate().filter(|_| shift.is_some()) {
                let mut statistics = statistics.clone();
                for (server, _) in &mut statistics.servers {
                    server.0 = 100 + (server.0 - 100 + shift.unwrap_or(0)) % SERVERS;
                }
                fleet.turn(at, vec![Event::Restore(std::sync::Arc::new(statistics))]);
            }
            fleet.run(1000 * MS);
            let count = |id: &ServerId| fleet.sent.get(id).map_or(0, Vec::len);
            let to_slow: usize = slow.keys().map(count).sum();
            let ids = (0..SERVERS)
                .map(|c| ServerId(100 + c))
                .filter(|id| !slow.contains_key(id));
            let most = ids.map(|id| count(&id)).max().unwrap_or(0);
            fleet.run(3000 * MS);
            (
                to_slow,
                most,
                fleet.complete,
                fleet.complete + fleet.partial + fleet.rejected,
            )
        };
        let (none, own, wrong) = (restart(None), restart(Some(0)), restart(Some(5)));
        eprintln!("seed {seed}: none {none:?}, own {own:?}, wrong {wrong:?}");
        assert!(
            own.0 * 3 < none.0 * 2,
            "seed {seed}: slow servers are sent {} parts, {} without statistics",
            own.0,
            none.0
        );
        for restored in [own, wrong] {
            assert!(
                restored.1 < 2 * none.1,
                "seed {seed}: {} parts to one server, {} without statistics",
                restored.1,
                none.1
            );
            let share = |t: (usize, usize, u32, u32)| f64::from(t.2) / f64::from(t.3);
            assert!(
                share(restored) > share(none) - 0.03,
                "seed {seed}: {restored:?} against {none:?}"
            );
        }
    }
}

/// Runs aggregators whose discovery calls all fail after a second. Returns the number of calls that
/// begin in each second, the longest time of an aggregator between two calls, and the aggregators.
fn failing_discovery_calls(aggregators: u32, knows_servers: bool) -> (Vec<u32>, Time, Vec<Rig>) {
    let settings = Settings {
        discovery_on_request: true,
        max_list_age: 10_000 * MS,
        aggregators,
        ..ring_settings(4, 2)
    };
    // By aggregator: when its current call fails, if any, and when the last one failed.
    let mut rigs: Vec<(Rig, Option<Time>, Time)> = (0..u64::from(aggregators))
        .map(|seed| {
            let mut rig = Rig::seeded(settings.clone(), seed);
            if !knows_servers {
                rig.turn(
                    0,
                    &[Event::Endpoints {
                        kind: ListKind::Complete,
                        entries: Vec::new().into(),
                    }],
                );
            }
            (rig, Some(1000 * MS), 0)
        })
        .collect();
    let start = rigs[0].0.now;
    let (mut calls, mut longest) = (vec![0; 60], 0);
    for step in 1..600 {
        let now = start + step * 100 * MS;
        for (rig, fails, failed) in &mut rigs {
            let due = fails
                .take_if(|at| start + *at <= now)
                .map(|_| Event::DiscoveryFailed { refused: true });
            *failed = if due.is_some() { now } else { *failed };
            rig.turn(
                now - rig.now,
                &due.into_iter().chain([Event::Wake]).collect::<Vec<_>>(),
            );
            if rig.actions.contains(&Action::Watch(true)) && fails.is_none() {
                calls[step as usize / 10] += 1;
                longest = longest.max(now - *failed);
                *fails = Some(now - start + 1000 * MS);
            }
        }
    }
    (
        calls,
        longest,
        rigs.into_iter().map(|(rig, ..)| rig).collect(),
    )
}

/// After all subscriptions were lost, a hundred aggregators called discovery a hundred times a
/// second for the rest of the run. It answered none of the calls, and ninety aggregators kept the
/// endpoint list from before a release.
#[test]
fn first_list_backoff_spreads() {
    for (aggregators, bounds) in [(100, 40..=130), (3, 5..=16)] {
        let (calls, _, mut rigs) = failing_discovery_calls(aggregators, false);
        let settled: u32 = calls[20..40].iter().sum();
        assert!(
            calls[20..].iter().max() <= Some(&(aggregators / 4).max(3)),
            "{aggregators}: {calls:?}"
        );
        assert!(
            bounds.contains(&(settled / 2)),
            "{settled} calls of {aggregators} in 20 s, not within twice {bounds:?}"
        );
        // An endpoint list resets the backoff.
        let rig = &mut rigs[0];
        let (kind, entries) = (ListKind::Partial, Vec::new().into());
        rig.turn(
            MS,
            &[
                Event::Endpoints { kind, entries },
                Event::DiscoveryFailed { refused: true },
            ],
        );
        rig.turn(1300 * MS, &[Event::Wake]);
        assert!(
            rig.actions.contains(&Action::Watch(true)),
            "not called again within an eighth of the maximum list age"
        );
    }
}

/// Aggregators that have an endpoint list must learn of a removed server within 6 s of discovery,
/// regardless of failed calls. A fleet of a hundred used to wait up to 20 s between two calls. The
/// backoff must still grow and spread the calls. `bitternsill/tests/limits.rs` covers the limit of
/// the total delay, which allows a hundred aggregators no fewer calls than are expected here.
#[test]
fn known_list_backoff_spreads() {
    for (aggregators, fewest, most, mean, first) in [
        (300, 60, 120, 104, 1600 * MS),
        (100, 20, 45, 35, 1600 * MS),
        (30, 4, 16, 11, 400 * MS),
        (3, 0, 4, 2, 400 * MS),
    ] {
        let (calls, longest, mut rigs) = failing_discovery_calls(aggregators, true);
        assert!(
            longest <= 2_700 * MS,
            "{aggregators}: {} ms without a call",
            longest / MS
        );
        let settled = calls[20..].iter().max().copied().unwrap_or(0);
        assert!(settled <= most, "{aggregators}: {calls:?}");
        let all: u32 = calls[20..].iter().sum();
        assert!(all <= mean * 40, "{aggregators}: {all} calls in 40 s");
        let least = calls[20..].iter().min().copied().unwrap_or(0);
        assert!(
            least + 1 > fewest / 2,
            "{aggregators} aggregators call in bursts: {calls:?}"
        );
        // The first failure is that of the subscription, which may have been unresponsive for a
        // while before; the second is that of a call after it.
        for rig in &mut rigs {
            rig.turn(
                MS,
                &[Event::Endpoints {
                    kind: ListKind::Partial,
                    entries: Vec::new().into(),
                }],
            );
            for most in [first, 2 * first] {
                rig.turn(MS, &[Event::DiscoveryFailed { refused: true }]);
                rig.turn(most, &[Event::Wake]);
                assert!(
                    rig.actions.contains(&Action::Watch(true)),
                    "not within {} ms",
                    most / MS
                );
            }
        }
    }
}
