//! Arbitrary legal orders of events, from fixed seeds: the six rules hold on every action.

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

/// An attempt that is out: server, sent at, until, how it will end, when.
type Out = (ServerId, Time, Time, Outcome, Time);

struct Asked {
    id: QueryId,
    class: usize,
    end: Time,
    parts: Vec<PartId>,
    step: u32,
    first_whole: bool,
    over: bool,
}

struct Piece {
    number: u64,
    shard: u32,
    weight: f64,
    attempts: Vec<(Time, Option<Outcome>)>,
    done: bool,
}

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
            // Any six tenths of the parts make a whole answer.
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

fn run(seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut s = settings(&mut rng);
    let mut aggregator = Aggregator::new(s.clone(), seed);
    let mut queries: BTreeMap<u64, Asked> = BTreeMap::new();
    let mut pieces: BTreeMap<PartId, Piece> = BTreeMap::new();
    let mut out: BTreeMap<(PartId, u32), Out> = BTreeMap::new();
    let mut barred: BTreeMap<ServerId, Time> = BTreeMap::new();
    let mut entries: Vec<Endpoint> = (0..2 * CELLS)
        .map(|i| common::entry(50 + i, i % CELLS))
        .collect();
    // Whoever was out by hand counts as started when taken back, whatever the list says.
    let mut back: BTreeMap<ServerId, Time> = BTreeMap::new();
    let mut cold_sent: BTreeMap<ServerId, VecDeque<Time>> = BTreeMap::new();
    let (mut taken, mut extras) = (VecDeque::new(), VecDeque::new());
    let mut now = 5000 * MS;
    let (mut next, mut finals) = (1u64, 0);
    let mut fresh_second: Vec<u64> = Vec::new();
    let mut events = vec![Event::Endpoints {
        kind: ListKind::Persisted,
        entries: entries.clone().into(),
    }];
    for turn in 0..1500 {
        let mut told_over: BTreeSet<u64> = BTreeSet::new();
        // Outcomes that have come due.
        let due: Vec<(PartId, u32)> = out
            .iter()
            .filter(|(_, v)| v.4 <= now)
            .map(|(k, _)| *k)
            .collect();
        for (part, attempt) in due {
            let (server, at, _, outcome, _) = out.remove(&(part, attempt)).unwrap();
            let piece = pieces.get_mut(&part).unwrap();
            piece.attempts[attempt as usize].1 = Some(outcome);
            piece.done |= outcome == Outcome::Ok;
            events.push(common::ended(part, attempt, server, outcome, now - at));
        }
        for number in fresh_second.drain(..) {
            let asked = queries.get_mut(&number).unwrap();
            asked.parts.clear();
            for _ in 0..2 {
                next += 1;
                let (id, shard) = (PartId(next), rng.u32(0..CELLS));
                asked.parts.push(id);
                pieces.insert(
                    id,
                    Piece {
                        number,
                        shard,
                        weight: 0.5,
                        attempts: vec![],
                        done: false,
                    },
                );
                taken.push_back(now);
                events.push(Event::Part {
                    id,
                    number,
                    shard,
                    weight: 0.5,
                });
            }
        }
        if turn < 1200 && rng.u32(0..4) == 0 {
            next += 1;
            let current: Vec<usize> = (0..s.classes.len())
                .filter(|c| !s.classes[*c].retired)
                .collect();
            let (number, class, count) = (next, *rng.choice(&current).unwrap(), rng.u32(2..6));
            let client_timeout = rng.u64(3..900) * MS;
            let (id, is_retry) = (QueryId(number), rng.bool());
            events.push(Event::Query {
                id,
                number,
                class,
                parts: count,
                client_timeout,
                is_retry,
            });
            taken.push_back(now);
            let end = now + client_timeout;
            let mut asked = Asked {
                id,
                class,
                end,
                parts: vec![],
                step: 1,
                first_whole: false,
                over: false,
            };
            for _ in 0..count {
                next += 1;
                let (id, shard, weight) = (PartId(next), rng.u32(0..CELLS), 1.0 / f64::from(count));
                asked.parts.push(id);
                pieces.insert(
                    id,
                    Piece {
                        number,
                        shard,
                        weight,
                        attempts: vec![],
                        done: false,
                    },
                );
                taken.push_back(now);
                events.push(Event::Part {
                    id,
                    number,
                    shard,
                    weight,
                });
            }
            queries.insert(number, asked);
        }
        if rng.u32(0..40) == 0 {
            let i = rng.usize(0..entries.len());
            entries[i].status = *rng
                .choice(&[
                    ServerStatus::Ready,
                    ServerStatus::Draining,
                    ServerStatus::Removed,
                ])
                .unwrap();
            if entries[i].status == ServerStatus::Ready {
                barred.remove(&entries[i].server);
                entries[i].started_at = now - 100 * MS;
            } else {
                barred.entry(entries[i].server).or_insert(now);
            }
            events.push(Event::Endpoints {
                kind: ListKind::Partial,
                entries: [entries[i].clone()].into(),
            });
        }
        if rng.u32(0..40) == 0 {
            let i = rng.usize(0..entries.len());
            entries[i].excluded = !entries[i].excluded;
            if !entries[i].excluded && entries[i].status != ServerStatus::Removed {
                back.insert(entries[i].server, now);
            }
            events.push(Event::Endpoints {
                kind: ListKind::Partial,
                entries: [entries[i].clone()].into(),
            });
        }
        if rng.u32(0..400) == 0 {
            // One class says something else: its queries keep the place that they know, and new
            // ones get a fresh one.
            let i = rng.usize(0..s.classes.len());
            let fresh = Class {
                max_attempts: rng.u32(1..5),
                retired: false,
                ..s.classes[i].clone()
            };
            s.classes[i].retired = true;
            let from = (0..s.classes.len()).chain([i]).map(Some).collect();
            s.classes.push(fresh);
            events.push(Event::Settings {
                settings: s.clone().into(),
                from,
            });
            events.push(Event::Endpoints {
                kind: ListKind::Complete,
                entries: entries.clone().into(),
            });
        }
        if rng.u32(0..60) == 0 {
            let open: Vec<u64> = queries.iter().filter(|q| !q.1.over).map(|q| *q.0).collect();
            if let Some(number) = rng.choice(&open) {
                let asked = queries.get_mut(number).unwrap();
                (asked.over, finals) = (true, finals + 1);
                told_over.insert(*number);
                events.push(Event::ClientLeft { id: asked.id });
            }
        }
        events.push(Event::Wake);
        let mut actions = Vec::new();
        aggregator.turn(now, &events, &mut actions);
        events.clear();
        for action in actions {
            match action {
                Action::Send {
                    part,
                    server,
                    until,
                } => {
                    let piece = pieces.get_mut(&part).unwrap();
                    let asked = &queries[&piece.number];
                    assert!(
                        !asked.over && !piece.done,
                        "lost: a send for something finished"
                    );
                    assert!(until <= asked.end, "an attempt outlives its client");
                    // A cold server of one core, parts of 40 ms, this aggregator's half, and half
                    // as much for chance.
                    let entry = entries.iter().find(|e| e.server == server).unwrap();
                    assert!(!entry.excluded, "sent to a server that is out by hand");
                    let started_at = entry
                        .started_at
                        .max(back.get(&server).copied().unwrap_or(0));
                    if started_at > 0 && now < started_at + s.slow_start {
                        let capacity = 0.2 + 0.8 * (now - started_at) as f64 / s.slow_start as f64;
                        let most = 1.5
                            * (s.overload_multiple * capacity * s.overload_window as f64
                                / 2.0
                                / (40 * MS) as f64)
                                .max(1.0);
                        let sent: &mut VecDeque<Time> = cold_sent.entry(server).or_default();
                        sent.push_back(now);
                        sent.retain(|at| at + s.overload_window > now && *at >= started_at);
                        assert!(
                            sent.len() as f64 <= most,
                            "cold server pushed: {} over {most}",
                            sent.len()
                        );
                    }
                    let place = (server.0 - 50 + CELLS - piece.shard) % CELLS;
                    assert!(
                        place < s.replication_factor,
                        "the server does not hold the shard"
                    );
                    let since = barred.get(&server).copied().unwrap_or(now);
                    assert!(now <= since + s.drain_grace, "drain");
                    let ran = |a: &&(Time, Option<Outcome>)| a.1.is_none_or(|o| !o.never_ran());
                    let first_ran = piece.attempts.iter().find(ran).map(|a| a.0);
                    match s.classes[asked.class].effect {
                        Effect::Safe => {}
                        Effect::Keyed => {
                            assert!(first_ran.is_none_or(|at| now <= at + 150 * MS), "keyed")
                        }
                        Effect::Unsafe => assert_eq!(first_ran, None, "unsafe part sent twice"),
                    }
                    let live = piece.attempts.iter().filter(|a| a.1.is_none()).count();
                    assert!(live == 0 || s.can_hedge, "two attempts out");
                    assert!(piece.attempts.len() < s.classes[asked.class].max_attempts as usize);
                    if !piece.attempts.is_empty() {
                        extras.push_back(now);
                        let b = s.budget.unwrap();
                        extras.retain(|at| at + b.window >= now);
                        taken.retain(|at| at + b.window > now);
                        let most = b.free as f64 + b.ratio * taken.len() as f64;
                        assert!(extras.len() as f64 <= most, "budget");
                    }
                    let attempt = piece.attempts.len() as u32;
                    piece.attempts.push((now, None));
                    let hangs = rng.u32(0..5) == 0;
                    let answer = now + rng.u64(1..80) * MS;
                    let (outcome, at) =
                        match (*rng.choice(&OUTCOMES).unwrap(), answer <= until && !hangs) {
                            (outcome, true) => (outcome, answer),
                            _ => (Outcome::TimedOut, until.max(now + 1)),
                        };
                    out.insert((part, attempt), (server, now, until, outcome, at));
                }
                Action::Cancel { part, attempt } => {
                    assert!(s.can_cancel, "cancels are not allowed");
                    if let Some(sent) = out.get_mut(&(part, attempt)) {
                        (sent.3, sent.4) = (Outcome::Cancelled, now);
                    }
                }
                // The client left in this very turn, after the event that ended the query: told too
                // late to matter.
                Action::Answer { query, .. }
                | Action::Reject { query, .. }
                | Action::Fail { query }
                    if told_over.contains(&query.0) => {}
                Action::Answer { query, complete } => {
                    let asked = queries.get_mut(&query.0).unwrap();
                    assert!(!asked.over, "two final answers");
                    let c = &s.classes[asked.class];
                    let share: f64 = asked
                        .parts
                        .iter()
                        .map(|p| &pieces[p])
                        .filter(|p| p.done)
                        .map(|p| p.weight)
                        .sum();
                    assert!(share >= c.floor - 1e-4, "under the floor");
                    assert!(
                        !complete || share >= c.need - 1e-4,
                        "marked whole and is not"
                    );
                    assert!(
                        !complete || asked.step == 1 || asked.first_whole,
                        "whole after a partial first step"
                    );
                    if c.second_step > 0 && asked.step == 1 {
                        (asked.step, asked.first_whole) = (2, complete);
                        fresh_second.push(query.0);
                    } else {
                        (asked.over, finals) = (true, finals + 1);
                    }
                }
                Action::Reject { query, .. } | Action::Fail { query } => {
                    let asked = queries.get_mut(&query.0).unwrap();
                    assert!(!asked.over, "two final answers");
                    (asked.over, finals) = (true, finals + 1);
                    if matches!(action, Action::Reject { .. })
                        && s.classes[asked.class].effect == Effect::Unsafe
                    {
                        let ran = |p: &PartId| {
                            pieces[p]
                                .attempts
                                .iter()
                                .any(|a| a.1.is_none_or(|o| !o.never_ran()))
                        };
                        assert!(
                            !asked.parts.iter().any(ran),
                            "refused though a part may have run"
                        );
                    }
                }
                _ => {}
            }
        }
        for asked in queries.values() {
            assert!(
                asked.over || now <= asked.end,
                "lost: no final answer in time, seed {seed}"
            );
        }
        now += if rng.u32(0..200) == 0 {
            20 * MS
        } else {
            5 * MS
        };
    }
    assert_eq!(
        finals,
        queries.len(),
        "every query has exactly one final answer"
    );
    finals
}

#[test]
fn the_rules_hold_whatever_happens() {
    let finals: usize = (0..40).map(run).sum();
    assert!(
        finals > 5000,
        "{finals} queries are enough to mean something"
    );
}
