//! What one or many aggregators send to servers that have just started.

mod common;
use common::*;
use dispatch::interface::*;

/// A server that has just started according to the endpoint list is sent this aggregator's share of
/// the budget and no more.
#[test]
fn warming_server_is_sent_little() {
    let settings = Settings {
        slow_start: 10_000 * MS,
        overload_window: 1000 * MS,
        initial_capacity: 0.2,
        ..ring_settings(1, 1)
    };
    let mut rig = Rig::new(Settings {
        overload_multiple: 2.0,
        aggregators: 2,
        ..settings
    });
    rig.warm_up(100 * MS, &[0]);
    let restarted = Endpoint {
        started_at: rig.now,
        ..endpoint(100, 0)
    };
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: [restarted].into(),
        }],
    );
    let mut sent = 0;
    for _ in 0..9 {
        rig.submit(MS, &[0]);
        sent += rig.sends().len();
        let events: Vec<Event> = rig
            .sends()
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 90 * MS))
            .collect();
        rig.turn(90 * MS, &events);
    }
    // 2 x 0.2 x 1 s of work, shared by two aggregators, is two parts of 100 ms.
    assert!((1..=2).contains(&sent), "{sent} parts in its first second");
}

/// With a slow start but no overload window in the settings, the share of the budget was NaN, and a
/// new server was sent nothing.
#[test]
fn no_slow_start_without_budget() {
    let mut rig = Rig::new(Settings {
        slow_start: 10_000 * MS,
        ..ring_settings(1, 1)
    });
    rig.warm_up(100 * MS, &[0]);
    let restarted = Endpoint {
        started_at: rig.now,
        ..endpoint(100, 0)
    };
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: [restarted].into(),
        }],
    );
    rig.submit(MS, &[0]);
    assert_eq!(rig.sends().len(), 1);
}

/// In a large fleet each aggregator's share of a cold server's budget is less than one part, and
/// all aggregators used to send one part at the same time.
#[test]
fn aggregators_take_turns_at_warming_server() {
    let all = 40;
    let settings = Settings {
        aggregators: all,
        slow_start: 20_000 * MS,
        overload_window: 1000 * MS,
        ..ring_settings(1, 1)
    };
    let settings = Settings {
        initial_capacity: 0.2,
        overload_multiple: 2.0,
        ..settings
    };
    let mut sent = 0;
    for seed in 0..u64::from(all) {
        let mut rig = Rig::seeded(settings.clone(), seed);
        // Together they send the server ten parts a second.
        for _ in 0..12 {
            rig.submit(3900 * MS, &[0]);
            let (part, server, _) = rig.sends()[0];
            rig.turn(100 * MS, &[ended(part, 0, server, Outcome::Ok, 100 * MS)]);
        }
        let restarted = Endpoint {
            started_at: rig.now,
            ..endpoint(100, 0)
        };
        rig.turn(
            0,
            &[Event::Endpoints {
                kind: ListKind::Partial,
                entries: [restarted].into(),
            }],
        );
        for _ in 0..10 {
            rig.submit(100 * MS, &[0]);
            sent += rig.sends().len();
        }
    }
    // 2 x 0.2 x 1 s of work is four parts of 100 ms, of which 0.7 is used.
    assert!(
        (1..=8).contains(&sent),
        "{sent} parts from all aggregators in the server's first second"
    );
}

/// A shard's last replica came back cold and was sent a third of its capacity: its share was
/// derived from the load of the average server, which is far below that of the busiest one.
#[test]
fn warming_server_share_follows_busiest_server() {
    let settings = Settings {
        aggregators: 2,
        slow_start: 10_000 * MS,
        overload_window: 1000 * MS,
        ..ring_settings(8, 1)
    };
    let settings = Settings {
        initial_capacity: 0.32,
        overload_multiple: 3.0,
        call_work: 100 * MS,
        ..settings
    };
    let mut rig = Rig::new(settings);
    rig.warm_up(5 * MS, &[1]);
    let mut sent = 0;
    for round in 0..300 {
        if round == 200 {
            let restarted = Endpoint {
                started_at: rig.now,
                ..endpoint(100, 0)
            };
            rig.turn(
                0,
                &[Event::Endpoints {
                    kind: ListKind::Partial,
                    entries: [restarted].into(),
                }],
            );
        }
        // A hundred parts a second at one server, then as many at the one that has just started.
        rig.submit(5 * MS, &[u32::from(round < 200)]);
        let sends = rig.sends();
        sent += if round < 200 { 0 } else { sends.len() };
        let events: Vec<Event> = sends
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 5 * MS))
            .collect();
        rig.turn(5 * MS, &events);
    }
    // 3 x 0.32 x 1 s at a hundred a second. One core shared by two aggregators, at 105 ms per part,
    // would give 4, and the average rate 8.
    assert!(
        (30..=96).contains(&sent),
        "{sent} parts in its first second"
    );
}
