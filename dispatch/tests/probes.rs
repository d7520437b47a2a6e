//! Load probes and canaries: when they are sent, and what waits for them.

mod common;
use common::*;
use dispatch::interface::*;

/// A query to a quarter of the servers, in consecutive cells, crashed every replica of most of its
/// shards.
#[test]
fn wide_query_sends_canary() {
    let mut rig = Rig::new(ring_settings(40, 3));
    rig.warm_up(100 * MS, &[0, 10]);
    let shards: Vec<u32> = (0..10).collect();
    rig.submit(40 * MS, &shards);
    let canary = rig.sends();
    assert_eq!(
        canary.len(),
        1,
        "a quarter of the servers is sent parts without a canary"
    );
    rig.turn(40 * MS, &[Event::Wake]);
    assert_eq!(
        rig.sends().len(),
        9,
        "a canary that is still in flight is trusted before its answer"
    );
    let mut rig = Rig::new(ring_settings(40, 3));
    rig.warm_up(100 * MS, &[0, 10]);
    let wider: Vec<u32> = (0..30).collect();
    rig.submit(40 * MS, &wider);
    assert_eq!(rig.sends().len(), 1);
    rig.turn(40 * MS, &[Event::Wake]);
    assert_eq!(
        rig.sends(),
        [],
        "a very wide query waits for its canary's answer"
    );
}

/// A server that falsely reports no load but answers its probe late is not preferred.
#[test]
fn slow_probe_outweighs_its_load_report() {
    let settings = Settings {
        can_probe: true,
        tick: 5 * MS,
        ..ring_settings(60, 2)
    };
    let mut sent_to_slow = 0;
    for seed in 0..20 {
        let mut rig = Rig::seeded(settings.clone(), seed);
        rig.warm_up(400 * MS, &[0, 20]);
        rig.submit(MS, &[40]);
        let probes: Vec<ServerId> = rig
            .actions
            .iter()
            .filter_map(|a| {
                if let Action::Probe(server) = a {
                    Some(*server)
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(probes.len(), 2, "both replicas are probed");
        let report = |server, took, load| Event::ProbeEnded {
            server,
            outcome: Outcome::Ok,
            took,
            load: LoadReport {
                in_flight: Some(load),
                ..LoadReport::default()
            },
        };
        rig.turn(MS, &[report(ServerId(141), MS, 2.0)]);
        rig.turn(18 * MS, &[report(ServerId(140), 80 * MS, 0.0)]);
        rig.turn(2 * MS, &[Event::Wake]);
        assert_eq!(rig.sends().len(), 1, "the query is sent after some ticks");
        sent_to_slow += usize::from(rig.sends()[0].1 == ServerId(140));
    }
    assert!(
        sent_to_slow <= 4,
        "{sent_to_slow} of 20 went to the server that hides its load"
    );
}

/// In a deployment whose servers report no load, successful probes counted as failures.
#[test]
fn probe_without_report_is_no_failure() {
    let mut rig = Rig::new(Settings {
        can_probe: true,
        tick: 5 * MS,
        ..ring_settings(60, 2)
    });
    rig.warm_up(350 * MS, &[0, 20]);
    let number = rig.submit(MS, &[40]);
    let probes = rig.actions.iter().filter_map(|a| {
        if let Action::Probe(server) = a {
            Some(*server)
        } else {
            None
        }
    });
    let (outcome, load) = (Outcome::Ok, LoadReport::default());
    let answers: Vec<Event> = probes
        .map(|server| Event::ProbeEnded {
            server,
            outcome,
            took: MS,
            load,
        })
        .collect();
    assert_eq!(answers.len(), 2);
    rig.turn(5 * MS, &answers);
    rig.turn(20 * MS, &[Event::Wake]);
    let sent = rig.sends().iter().any(|s| s.0 == PartId(number + 1));
    assert!(sent, "the part is sent as it would be without probes");
}

/// If the network latency exceeds two ticks, so does that of a probe. Queries of many parts were
/// rejected while they waited for the answers to their own probes.
#[test]
fn probe_in_flight_does_not_slow_server() {
    let mut rig = Rig::new(Settings {
        can_probe: true,
        tick: 5 * MS,
        ..ring_settings(60, 2)
    });
    rig.warm_up(350 * MS, &[0, 20]);
    let probed = |rig: &Rig, took| -> Vec<Event> {
        let load = LoadReport::default();
        let probes = rig.actions.iter().filter_map(|a| match *a {
            Action::Probe(server) => Some(Event::ProbeEnded {
                server,
                outcome: Outcome::Ok,
                took,
                load,
            }),
            _ => None,
        });
        probes.collect()
    };
    // Both replicas of a shard have once taken a little longer to answer a probe.
    let number = rig.submit(MS, &[40]);
    let answers = probed(&rig, 30 * MS);
    assert_eq!(answers.len(), 2);
    rig.turn(30 * MS, &answers);
    // Queries of the warm-up may still be waiting for their own probes and be sent now.
    let sends = rig.sends();
    assert!(sends.iter().any(|s| s.0 == PartId(number + 1)), "{sends:?}");
    let all: Vec<Event> = sends
        .iter()
        .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 350 * MS))
        .collect();
    rig.turn(350 * MS, &all);
    // Later both are probed again, with a latency of two and a half ticks.
    let number = rig.submit(900 * MS, &[40]);
    let answers = probed(&rig, 12 * MS);
    assert_eq!(answers.len(), 2);
    rig.turn(11 * MS, &[Event::Wake]);
    assert!(
        rig.actions
            .iter()
            .all(|a| !matches!(a, Action::Reject { .. })),
        "{:?}",
        rig.actions
    );
    rig.turn(MS, &answers);
    rig.turn(8 * MS, &[Event::Wake]);
    assert!(
        rig.sends().iter().any(|s| s.0 == PartId(number + 1)),
        "{:?}",
        rig.actions
    );
}

/// Each of 100 aggregators always has few recent answers. Together their probes overloaded the
/// servers.
#[test]
fn skips_probes_that_cost_more_than_wasted_work() {
    for (probe_price, waste_price, probed) in [(0.01, 0.03, 2), (0.08, 0.03, 0)] {
        let prices = Settings {
            probe_price,
            waste_price,
            ..ring_settings(60, 2)
        };
        let mut rig = Rig::new(Settings {
            can_probe: true,
            tick: 5 * MS,
            ..prices
        });
        rig.warm_up(350 * MS, &[0, 20]);
        rig.submit(MS, &[40]);
        let probes = rig
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Probe(_)))
            .count();
        assert_eq!(probes, probed, "at a price of {probe_price}");
        assert_eq!(
            rig.sends().is_empty(),
            probed > 0,
            "only probed queries wait"
        );
    }
}

/// Waiting for canaries used up the time of clients whose timeout is shorter than the latency
/// target.
#[test]
fn short_time_budget_skips_canary() {
    let mut rig = Rig::new(ring_settings(40, 3));
    rig.warm_up(100 * MS, &[0, 10]);
    for _ in 0..40 {
        let (_, events) = rig.query(0, 600 * MS, &[30]);
        rig.turn(MS, &events);
        let ends = rig
            .sends()
            .into_iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 100 * MS));
        let ends: Vec<Event> = ends.collect();
        rig.turn(100 * MS, &ends);
    }
    let shards: Vec<u32> = (0..10).collect();
    let (_, events) = rig.query(0, 600 * MS, &shards);
    rig.turn(MS, &events);
    assert_eq!(rig.sends().len(), 10);
    let (_, events) = rig.query(0, 2000 * MS, &(12..22).collect::<Vec<_>>());
    rig.turn(MS, &events);
    assert_eq!(
        rig.sends().len(),
        1,
        "a canary is sent when the whole latency target is available"
    );
}

/// A canary went to a server that accepted it and never answered. The query's other parts, whose
/// servers were idle, waited for it until the query's deadline.
#[test]
fn unresponsive_canary_delays_query_briefly() {
    let mut rig = Rig::new(ring_settings(40, 3));
    rig.warm_up(100 * MS, &[0, 10]);
    rig.submit(40 * MS, &(0..30).collect::<Vec<_>>());
    let canary = rig.sends();
    // Hedges of the canary itself don't count.
    let others = |rig: &Rig| -> Vec<_> {
        rig.sends()
            .into_iter()
            .filter(|s| s.0 != canary[0].0)
            .collect()
    };
    rig.turn(100 * MS, &[Event::Wake]);
    assert_eq!(
        (canary.len(), others(&rig)),
        (1, vec![]),
        "a very wide query waits for its canary's answer"
    );
    rig.turn(300 * MS, &[Event::Wake]);
    let next = others(&rig);
    assert_eq!(
        next.len(),
        1,
        "unresponsive for three times the usual latency: another canary is sent"
    );
    assert_ne!(next[0].1, canary[0].1);
    rig.turn(
        100 * MS,
        &[ended(next[0].0, 0, next[0].1, Outcome::Ok, 100 * MS)],
    );
    assert!(rig.sends().len() > 20, "its answer starts the other parts");
}

/// The canary used to be the first part of the query, even if that shard's only server was down.
#[test]
fn canary_goes_to_healthy_server() {
    // A class with partial answers, so that the query is not abandoned for the shard that is down.
    let class = Class {
        floor: 0.6,
        ..Class::default()
    };
    let mut rig = Rig::new(Settings {
        classes: vec![class],
        ..ring_settings(40, 1)
    });
    rig.warm_up(100 * MS, &[0, 10]);
    for _ in 0..4 {
        rig.submit(40 * MS, &[0]);
        for attempt in 0..3 {
            if let Some(tried) = rig.sends().first().copied() {
                rig.turn(
                    5 * MS,
                    &[ended(tried.0, attempt, tried.1, Outcome::ConnectFailed, MS)],
                );
            }
        }
    }
    rig.submit(40 * MS, &(0..10).collect::<Vec<_>>());
    let canary = rig.sends();
    assert_eq!(canary.len(), 1);
    assert_ne!(
        canary[0].1,
        ServerId(100),
        "a canary proves nothing where every attempt fails"
    );
}

/// After a crash queries waited for their canaries, so the rate of answers fell. The waiting
/// queries were then rejected as too large a backlog for that rate, although the servers were idle.
#[test]
fn queries_waiting_for_canary_are_not_shed() {
    let mut rig = Rig::new(ring_settings(40, 3));
    rig.warm_up(100 * MS, &[0, 10]);
    for later in [100, 600] {
        rig.submit(later * MS, &[20, 24, 28]);
        let sends = rig.sends();
        rig.turn(
            10 * MS,
            &[ended(sends[0].0, 0, sends[0].1, Outcome::Reset, 10 * MS)],
        );
    }
    rig.turn(1500 * MS, &[Event::Wake]);
    let (mut sent, mut rejected) = (0, 0);
    for _ in 0..8 {
        rig.submit(5 * MS, &[0, 4, 8, 12]);
        sent += rig.sends().len();
        rejected += rig
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count();
    }
    assert_eq!(
        (sent, rejected),
        (8, 0),
        "each sends its canary, and none is rejected"
    );
}
