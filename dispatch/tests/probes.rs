//! Probes and the scouts of wide queries: when they are sent, and what waits for them.

mod common;
use common::*;
use dispatch::interface::*;

/// Found on linen-south: one query of a quarter of the servers, in a row, took every holder of most
/// of its shards.
#[test]
fn wide_query_sends_scout() {
    let mut rig = Rig::new(ring(40, 3));
    rig.warm_up(100 * MS, &[0, 10]);
    let shards: Vec<u32> = (0..10).collect();
    rig.ask(40 * MS, &shards);
    let scout = rig.sends();
    assert_eq!(
        scout.len(),
        1,
        "a quarter of the servers is not risked at once"
    );
    rig.turn(40 * MS, &[Event::Wake]);
    assert_eq!(
        rig.sends().len(),
        9,
        "a scout that lives lets the others go before it has answered"
    );
    let mut rig = Rig::new(ring(40, 3));
    rig.warm_up(100 * MS, &[0, 10]);
    let wider: Vec<u32> = (0..30).collect();
    rig.ask(40 * MS, &wider);
    assert_eq!(rig.sends().len(), 1);
    rig.turn(40 * MS, &[Event::Wake]);
    assert_eq!(rig.sends(), [], "the widest must be answered first");
}

/// False reports: a server that reports no load but answers its probe late is not preferred.
#[test]
fn slow_probe_outweighs_its_load_report() {
    let settings = Settings {
        can_probe: true,
        tick: 5 * MS,
        ..ring(60, 2)
    };
    let mut liar = 0;
    for seed in 0..20 {
        let mut rig = Rig::seeded(settings.clone(), seed);
        rig.warm_up(400 * MS, &[0, 20]);
        rig.ask(MS, &[40]);
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
        assert_eq!(probes.len(), 2, "both holders are probed");
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
        assert_eq!(rig.sends().len(), 1, "the query waits some ticks and goes");
        liar += usize::from(rig.sends()[0].1 == ServerId(140));
    }
    assert!(
        liar <= 4,
        "{liar} of 20 went to the server that hides its load"
    );
}

/// Found on linen-south, where no load is reported: servers whose probes were sound stood at the
/// mark of a failure.
#[test]
fn probe_without_report_is_no_failure() {
    let mut rig = Rig::new(Settings {
        can_probe: true,
        tick: 5 * MS,
        ..ring(60, 2)
    });
    rig.warm_up(350 * MS, &[0, 20]);
    let number = rig.ask(MS, &[40]);
    let probes = rig.actions.iter().filter_map(|a| {
        if let Action::Probe(server) = a {
            Some(*server)
        } else {
            None
        }
    });
    let (outcome, load) = (Outcome::Ok, LoadReport::default());
    let sound: Vec<Event> = probes
        .map(|server| Event::ProbeEnded {
            server,
            outcome,
            took: MS,
            load,
        })
        .collect();
    assert_eq!(sound.len(), 2);
    rig.turn(5 * MS, &sound);
    rig.turn(20 * MS, &[Event::Wake]);
    let sent = rig.sends().iter().any(|s| s.0 == PartId(number + 1));
    assert!(sent, "it goes out as it would unprobed");
}

/// Found on calm+mass of a made-up deployment: a probe takes longer than two ticks where the
/// servers are that far away, and queries of many parts were refused while the answers to their own
/// probes were awaited.
#[test]
fn probe_in_flight_does_not_slow_server() {
    let mut rig = Rig::new(Settings {
        can_probe: true,
        tick: 5 * MS,
        ..ring(60, 2)
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
    // Both holders of a shard have once taken a little longer to answer a probe.
    let number = rig.ask(MS, &[40]);
    let answers = probed(&rig, 30 * MS);
    assert_eq!(answers.len(), 2);
    rig.turn(30 * MS, &answers);
    // Some of the warming up may have waited for probes of its own, and goes with it.
    let sends = rig.sends();
    assert!(sends.iter().any(|s| s.0 == PartId(number + 1)), "{sends:?}");
    let all: Vec<Event> = sends
        .iter()
        .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 350 * MS))
        .collect();
    rig.turn(350 * MS, &all);
    // Later they are probed anew, and are two and a half ticks away.
    let number = rig.ask(900 * MS, &[40]);
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

/// Found with 100 aggregators: each has thin evidence for ever, and together they probed the
/// servers full.
#[test]
fn skips_probe_dearer_than_wasted_work() {
    for (probe_price, waste_price, probed) in [(0.01, 0.03, 2), (0.08, 0.03, 0)] {
        let prices = Settings {
            probe_price,
            waste_price,
            ..ring(60, 2)
        };
        let mut rig = Rig::new(Settings {
            can_probe: true,
            tick: 5 * MS,
            ..prices
        });
        rig.warm_up(350 * MS, &[0, 20]);
        rig.ask(MS, &[40]);
        let probes = rig
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Probe(_)))
            .count();
        assert_eq!(probes, probed, "at a price of {probe_price}");
        assert_eq!(
            rig.sends().is_empty(),
            probed > 0,
            "nothing waits for a probe that was not sent"
        );
    }
}

/// Found on hobart-office-later: scouts took the time of clients that leave before the aim.
#[test]
fn short_time_budget_skips_scout() {
    let mut rig = Rig::new(ring(40, 3));
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
        "with all of the aim there is time for it"
    );
}

/// Found on prairie-results big-1 (crash+hang): a query's scout went to a server that took it and
/// never answered, and the query's other parts, whose servers were idle, waited for it until the
/// query's time was over.
#[test]
fn unresponsive_scout_delays_query_briefly() {
    let mut rig = Rig::new(ring(40, 3));
    rig.warm_up(100 * MS, &[0, 10]);
    rig.ask(40 * MS, &(0..30).collect::<Vec<_>>());
    let scout = rig.sends();
    // A copy of the scout itself does not count: it is one more part of a query not proved yet.
    let others = |rig: &Rig| -> Vec<_> {
        rig.sends()
            .into_iter()
            .filter(|s| s.0 != scout[0].0)
            .collect()
    };
    rig.turn(100 * MS, &[Event::Wake]);
    assert_eq!(
        (scout.len(), others(&rig)),
        (1, vec![]),
        "so wide a query waits for its scout's answer"
    );
    rig.turn(300 * MS, &[Event::Wake]);
    let next = others(&rig);
    assert_eq!(
        next.len(),
        1,
        "silent for three times as long as parts take: another goes ahead"
    );
    assert_ne!(next[0].1, scout[0].1);
    rig.turn(
        100 * MS,
        &[ended(next[0].0, 0, next[0].1, Outcome::Ok, 100 * MS)],
    );
    assert!(rig.sends().len() > 20, "its answer lets the rest go");
}

/// The same day: where a shard's only server was down, the scout was that shard's part, as the
/// query named it first.
#[test]
fn scout_goes_to_healthy_server() {
    // What can be answered without some parts is not given up for a shard that is down.
    let class = Class {
        floor: 0.6,
        ..Class::default()
    };
    let mut rig = Rig::new(Settings {
        classes: vec![class],
        ..ring(40, 1)
    });
    rig.warm_up(100 * MS, &[0, 10]);
    for _ in 0..4 {
        rig.ask(40 * MS, &[0]);
        for attempt in 0..3 {
            if let Some(tried) = rig.sends().first().copied() {
                rig.turn(
                    5 * MS,
                    &[ended(tried.0, attempt, tried.1, Outcome::ConnectFailed, MS)],
                );
            }
        }
    }
    rig.ask(40 * MS, &(0..10).collect::<Vec<_>>());
    let scout = rig.sends();
    assert_eq!(scout.len(), 1);
    assert_ne!(
        scout[0].1,
        ServerId(100),
        "nothing is proved where every attempt fails"
    );
}

/// The same day: after a crash queries waited behind their scouts, few answers came because of
/// that, and what waited was refused as more than so few answers could bear, with the servers idle.
#[test]
fn scouting_queries_are_not_shed() {
    let mut rig = Rig::new(ring(40, 3));
    rig.warm_up(100 * MS, &[0, 10]);
    for later in [100, 600] {
        rig.ask(later * MS, &[20, 24, 28]);
        let sends = rig.sends();
        rig.turn(
            10 * MS,
            &[ended(sends[0].0, 0, sends[0].1, Outcome::Reset, 10 * MS)],
        );
    }
    rig.turn(1500 * MS, &[Event::Wake]);
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..8 {
        rig.ask(5 * MS, &[0, 4, 8, 12]);
        sent += rig.sends().len();
        refused += rig
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count();
    }
    assert_eq!(
        (sent, refused),
        (8, 0),
        "each sends its scout, and none is refused"
    );
}
