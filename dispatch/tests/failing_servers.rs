//! Servers that fail, fall silent, turn work away, restart or leave: what they get meanwhile, and
//! how they come back.

mod common;
use common::*;
use dispatch::interface::*;

#[test]
fn draining_server_gets_nothing() {
    let mut rig = Rig::new(ring(3, 2));
    let drain = Endpoint {
        status: ServerStatus::Draining,
        ..entry(100, 0)
    };
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: [drain].into(),
        }],
    );
    for _ in 0..3 {
        rig.ask(MS, &[0]);
        assert!(rig.sends().iter().all(|s| s.1 == ServerId(101)));
    }
    let complete = [entry(100, 0)];
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Complete,
            entries: complete.into(),
        }],
    );
    rig.ask(MS, &[1]);
    assert_eq!(
        rig.sends(),
        [],
        "a server absent from a complete list is gone"
    );
}

/// Found on a day with hosts that failed at once: always idle, they drew every part that found no
/// room elsewhere.
#[test]
fn failing_server_is_retried_and_readmitted() {
    fails_at_once(Outcome::Error);
}

/// Found on the long day: hosts that left ahead of the list turned away part after part.
#[test]
fn rejecting_server_is_retried_and_readmitted() {
    fails_at_once(Outcome::Rejected);
}

fn fails_at_once(outcome: Outcome) {
    let mut rig = Rig::new(ring(2, 2));
    rig.warm_up(20 * MS, &[0]);
    let mut legs = std::collections::BTreeMap::new();
    let (mut tried, mut busy) = (0, Vec::new());
    for _ in 0..400 {
        rig.ask(MS, &[0]);
        // One server fails at once; the other is soon full, as it answers nothing.
        while !rig.sends().is_empty() {
            let mut failed = Vec::new();
            for (part, server, _) in rig.sends() {
                let leg = legs.entry(part).and_modify(|leg| *leg += 1).or_insert(0);
                if server == ServerId(100) {
                    failed.push(ended(part, *leg, server, outcome, 0));
                } else {
                    busy.push(ended(part, *leg, server, Outcome::Ok, 20 * MS));
                }
            }
            tried += failed.len();
            rig.turn(0, &failed);
        }
    }
    assert!((3..=8).contains(&tried), "{tried} parts in 400 ms");
    rig.turn(0, &busy);
    let mut served = 0;
    for _ in 0..300 {
        while !rig.sends().is_empty() {
            let mut events = Vec::new();
            for (part, server, _) in rig.sends() {
                let leg = legs.entry(part).and_modify(|leg| *leg += 1).or_insert(0);
                served += u32::from(server == ServerId(100));
                events.push(ended(part, *leg, server, Outcome::Ok, 20 * MS));
            }
            rig.turn(20 * MS, &events);
        }
        rig.ask(100 * MS, &[0]);
    }
    assert!(served >= 3, "{served} of 300: its slowness fades with time");
}

#[test]
fn forgets_replaced_servers() {
    let mut rig = Rig::new(ring(3, 2));
    let mut sizes = Vec::new();
    for generation in 1..=100 {
        let new = (0..3).map(|cell| entry(100 + 3 * generation + cell, cell));
        let old = (0..3).map(|cell| entry(100 + 3 * (generation - 1) + cell, cell));
        let gone = old.map(|e| Endpoint {
            status: ServerStatus::Removed,
            ..e
        });
        let entries: Vec<Endpoint> = new.chain(gone).collect();
        rig.turn(
            50 * MS,
            &[Event::Endpoints {
                kind: ListKind::Partial,
                entries: entries.into(),
            }],
        );
        rig.ask(MS, &[0, 1]);
        while !rig.sends().is_empty() {
            let events: Vec<Event> = rig
                .sends()
                .iter()
                .map(|s| ended(s.0, 0, s.1, Outcome::Ok, MS))
                .collect();
            rig.turn(MS, &events);
        }
        sizes.push(format!("{:?}", rig.aggregator).len());
    }
    // The windows of answers are full by the sixtieth.
    assert!(
        sizes[99] < sizes[59] + 500,
        "{} bytes, then {}",
        sizes[59],
        sizes[99]
    );
}

/// A server that swallows parts is set aside once its peers answer and it does not; its parts go
/// elsewhere.
#[test]
fn unresponsive_server_is_tried_by_hedges() {
    let mut rig = Rig::new(ring(4, 2));
    rig.warm_up(20 * MS, &[0, 1, 2, 3]);
    let silent = ServerId(100);
    let mut chosen = 0;
    for round in 0..30 {
        let shards = [0, 1, 2, 3];
        let number = rig.ask(5 * MS, &shards);
        let sends = rig.sends();
        let sole = |s: &&(PartId, ServerId, Time)| sends.iter().filter(|o| o.0 == s.0).count() == 1;
        if round > 5 {
            chosen += sends
                .iter()
                .filter(sole)
                .filter(|s| s.1 == silent && s.0.0 > number)
                .count();
        }
        let answered: Vec<Event> = sends
            .iter()
            .filter(|s| s.1 != silent)
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 20 * MS))
            .collect();
        rig.turn(20 * MS, &answered);
    }
    assert_eq!(chosen, 0, "no query hangs on the silent server");
}

/// Found on incident i803e72: servers that fail one class at once and serve the other lost all
/// their work or none.
#[test]
fn errors_eject_server_from_their_class_only() {
    let settings = Settings {
        classes: vec![Class::default(), Class::default()],
        ..ring(2, 2)
    };
    let mut rig = Rig::new(settings);
    let failing = ServerId(100);
    let mut late = [0, 0];
    for round in 0..40 {
        for (class, late) in late.iter_mut().enumerate() {
            let (number, events) = rig.query(class, 2000 * MS, &[0]);
            rig.turn(40 * MS, &events);
            let mut sends: Vec<(PartId, u32, ServerId)> = Vec::new();
            for (part, server, _) in rig.sends() {
                let attempt = sends.iter().filter(|s| s.0 == part).count() as u32;
                sends.push((part, attempt, server));
            }
            assert!(sends.iter().all(|s| s.0.0 > number));
            *late += usize::from(round >= 10 && sends[0].2 == failing);
            let outcome = |server| {
                if class == 0 && server == failing {
                    Outcome::Error
                } else {
                    Outcome::Ok
                }
            };
            let events: Vec<Event> = sends
                .iter()
                .map(|s| ended(s.0, s.1, s.2, outcome(s.2), 10 * MS))
                .collect();
            rig.turn(10 * MS, &events);
            let again: Vec<Event> = rig
                .sends()
                .iter()
                .map(|s| ended(s.0, 1, s.1, Outcome::Ok, 10 * MS))
                .collect();
            rig.turn(10 * MS, &again);
        }
    }
    assert!(
        late[0] <= 3,
        "the failing class avoids it: {} of 30",
        late[0]
    );
    assert!(
        late[1] > 5,
        "the other class still uses it: {} times",
        late[1]
    );
}

/// Found on incident i3652a3: a server that turns parts away at once has the fewest out and draws
/// every send.
#[test]
fn full_server_does_not_attract_attempts() {
    let mut rig = Rig::new(ring(2, 2));
    rig.warm_up(20 * MS, &[0, 1]);
    let mut drawn = 0;
    for _ in 0..20 {
        rig.ask(40 * MS, &[0]);
        let sends = rig.sends();
        let turned_away = |s: &(PartId, ServerId, Time)| s.1 == ServerId(100);
        drawn += sends.iter().filter(|s| turned_away(s)).count();
        let outcome = |s| {
            if turned_away(s) {
                (Outcome::Rejected, MS)
            } else {
                (Outcome::Ok, 20 * MS)
            }
        };
        let ends: Vec<Event> = sends
            .iter()
            .map(|s| ended(s.0, 0, s.1, outcome(s).0, outcome(s).1))
            .collect();
        rig.turn(20 * MS, &ends);
        let again: Vec<Event> = rig
            .sends()
            .iter()
            .map(|s| ended(s.0, 1, s.1, Outcome::Ok, 20 * MS))
            .collect();
        rig.turn(20 * MS, &again);
    }
    assert!(drawn <= 4, "{drawn} of 20 went to the full server");
}

/// Found on incident i0067be: scattered resets were taken for restarts and starved sound servers
/// for a whole ramp.
#[test]
fn reset_starts_no_slow_start() {
    let settings = Settings {
        slow_start: 60_000 * MS,
        overload_window: 2000 * MS,
        initial_capacity: 0.1,
        ..ring(1, 1)
    };
    let mut rig = Rig::new(Settings {
        overload_multiple: 2.0,
        aggregators: 4,
        ..settings
    });
    rig.warm_up(20 * MS, &[0]);
    rig.ask(40 * MS, &[0]);
    let (part, server, _) = rig.sends()[0];
    rig.turn(MS, &[ended(part, 0, server, Outcome::Reset, MS)]);
    let again: Vec<Event> = rig
        .sends()
        .iter()
        .map(|s| ended(s.0, 1, s.1, Outcome::Ok, 20 * MS))
        .collect();
    rig.turn(20 * MS, &again);
    let mut served = 0;
    for _ in 0..40 {
        rig.ask(MS, &[0]);
        let sends = rig.sends();
        served += sends.len();
        let events: Vec<Event> = sends
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 20 * MS))
            .collect();
        rig.turn(20 * MS, &events);
    }
    assert!(served >= 38, "{served} of 40 sent");
}

/// Found on mvd-errores-later: a query that kills every server that begins a part, and took 101
/// servers at once.
#[test]
fn crashing_query_crashes_few_servers() {
    let mut rig = Rig::new(ring(20, 2));
    rig.warm_up(20 * MS, &[0, 10]);
    let shards: Vec<u32> = (0..16).collect();
    let mut killed = 0;
    for try_number in 0..3 {
        rig.ask(40 * MS, &shards[..if try_number == 0 { 16 } else { 4 }]);
        let mut refused = false;
        while !refused {
            let sends = rig.sends();
            killed += sends.len();
            assert!(!sends.is_empty(), "neither sent nor ended");
            let resets: Vec<Event> = sends
                .iter()
                .map(|s| ended(s.0, 0, s.1, Outcome::Reset, 10 * MS))
                .collect();
            rig.turn(10 * MS, &resets);
            refused = rig
                .actions
                .iter()
                .any(|a| matches!(a, Action::Reject { .. }));
        }
    }
    assert_eq!(killed, 3, "a try of it kills one server");
}

/// The other side of it: servers that crash by themselves do not end queries that have been
/// answered in part.
#[test]
fn reset_does_not_end_answered_query() {
    let mut rig = Rig::new(ring(20, 3));
    rig.warm_up(20 * MS, &[0, 10]);
    let number = rig.ask(40 * MS, &[0, 5, 10]);
    let sends = rig.sends();
    assert_eq!(sends.len(), 3);
    rig.turn(
        10 * MS,
        &[ended(sends[0].0, 0, sends[0].1, Outcome::Reset, 10 * MS)],
    );
    assert_eq!(
        rig.sends(),
        [],
        "while nothing of it is answered the query itself may be the cause"
    );
    rig.turn(
        10 * MS,
        &[ended(sends[1].0, 0, sends[1].1, Outcome::Ok, 20 * MS)],
    );
    let again: Vec<_> = rig
        .sends()
        .into_iter()
        .filter(|s| s.0 == sends[0].0)
        .collect();
    assert_eq!(again.len(), 1, "an answer clears it");
    let rest = [
        ended(again[0].0, 1, again[0].1, Outcome::Ok, 10 * MS),
        ended(sends[2].0, 0, sends[2].1, Outcome::Ok, 30 * MS),
    ];
    rig.turn(10 * MS, &rest);
    assert!(rig.actions.contains(&Action::Answer {
        query: QueryId(number),
        complete: true
    }));
}

/// Found at full size: an aggregator sees a server every few seconds, and four samples of a quarter
/// came too late.
#[test]
fn sparse_failures_eject_server_for_a_while() {
    let mut rig = Rig::new(ring(2, 2));
    rig.warm_up(20 * MS, &[0]);
    let slow = ServerId(100);
    let mut at = Vec::new();
    for _ in 0..120 {
        rig.ask(200 * MS, &[0]);
        let sends = rig.sends();
        at.extend(sends.iter().filter(|s| s.1 == slow).map(|_| rig.now / MS));
        let took = |s: ServerId| if s == slow { 300 * MS } else { 20 * MS };
        let ends: Vec<Event> = sends
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, took(s.1)))
            .collect();
        rig.turn(20 * MS, &ends);
        let copies: Vec<Event> = rig
            .sends()
            .iter()
            .map(|s| ended(s.0, 1, s.1, Outcome::Ok, 20 * MS))
            .collect();
        rig.turn(20 * MS, &copies);
    }
    assert!(
        (2..=12).contains(&at.len()),
        "sent {} of 120 to the slow server",
        at.len()
    );
    let gap = at.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(0);
    assert!(gap < 15_000, "tried again after {gap} ms at most");
}

/// New connections fail at every server: that is no server's fault, and work goes out as soon as
/// they can be made.
#[test]
fn common_connect_failure_ejects_nobody() {
    let mut rig = Rig::new(ring(4, 2));
    rig.warm_up(20 * MS, &[0, 1, 2, 3]);
    for shard in [0, 2].repeat(20) {
        rig.ask(40 * MS, &[shard]);
        for attempt in 0..3 {
            let failed = |s: &(PartId, ServerId, Time)| {
                ended(s.0, attempt, s.1, Outcome::ConnectFailed, 5 * MS)
            };
            let failed: Vec<Event> = rig.sends().iter().map(failed).collect();
            rig.turn(5 * MS, &failed);
        }
    }
    for shard in [0, 2].repeat(10) {
        rig.ask(10 * MS, &[shard]);
        let sends = rig.sends();
        assert_eq!(sends.len(), 1, "shard {shard} is served at once");
        rig.turn(
            20 * MS,
            &[ended(sends[0].0, 0, sends[0].1, Outcome::Ok, 20 * MS)],
        );
    }
}

/// Servers taken away in a wave: what is listed as draining gets nothing, and its cold replacement
/// little at first.
#[test]
fn rolling_drain_moves_work() {
    let settings = Settings {
        aggregators: 30,
        slow_start: 20_000 * MS,
        overload_window: 1000 * MS,
        ..ring(6, 3)
    };
    let mut rig = Rig::new(Settings {
        initial_capacity: 0.2,
        overload_multiple: 2.0,
        ..settings
    });
    rig.warm_up(100 * MS, &[0, 2, 4]);
    let drained = [100, 103].map(|id| Endpoint {
        status: ServerStatus::Draining,
        ..entry(id, id - 100)
    });
    let started_at = rig.now;
    let cold = [200, 203].map(|id| Endpoint {
        started_at,
        ..entry(id, id - 200)
    });
    let wave: Vec<Endpoint> = drained.into_iter().chain(cold).collect();
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: wave.into(),
        }],
    );
    let (mut sound, mut replaced) = (0, 0);
    for round in 0..20 {
        rig.ask(MS, &[round % 6]);
        let sends = rig.sends();
        assert!(
            sends.iter().all(|s| ![100, 103].contains(&s.1.0)),
            "nothing new to what drains"
        );
        replaced += sends.iter().filter(|s| s.1.0 >= 200).count();
        sound += sends.iter().filter(|s| s.1.0 < 200).count();
        let answers: Vec<Event> = sends
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 100 * MS))
            .collect();
        rig.turn(100 * MS, &answers);
    }
    // Of what each sound one is sent, 0.7 x 2 x 0.2 at first.
    assert!(
        replaced <= 4 && sound >= 16,
        "{replaced} to the cold, {sound} to the sound"
    );
}

/// Found on koelabra-prod: idle connections dropped unseen. Their resets were taken for deaths, put
/// every query in doubt and each server aside.
#[test]
fn idle_reset_is_no_crash() {
    let mut rig = Rig::new(ring(20, 2));
    rig.warm_up(100 * MS, &[0, 10]);
    rig.ask(40 * MS, &[5]);
    let (part, server, _) = rig.sends()[0];
    rig.turn(100 * MS, &[ended(part, 0, server, Outcome::Ok, 100 * MS)]);
    // The shard's other holder is not listed any more, so that the same server is used again.
    let other = if server == ServerId(105) { 106 } else { 105 };
    let gone = Endpoint {
        status: ServerStatus::Removed,
        ..entry(other, other - 100)
    };
    rig.turn(
        MS,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: vec![gone].into(),
        }],
    );
    rig.ask(2000 * MS, &[5]);
    let (part, server, _) = rig.sends()[0];
    rig.turn(2 * MS, &[ended(part, 0, server, Outcome::Reset, 2 * MS)]);
    assert_eq!(
        rig.sends().iter().map(|s| (s.0, s.1)).collect::<Vec<_>>(),
        [(part, server)],
        "at once, there again"
    );
    rig.turn(100 * MS, &[ended(part, 1, server, Outcome::Ok, 100 * MS)]);
    rig.ask(40 * MS, &[12, 16]);
    assert_eq!(rig.sends().len(), 2, "no query is in doubt for it");
    rig.ask(2000 * MS, &[5]);
    let close = rig.actions.iter().position(|a| *a == Action::Close(server));
    let send = rig
        .actions
        .iter()
        .position(|a| matches!(a, Action::Send { .. }));
    assert!(
        close.is_some() && close < send,
        "the next idle connection is closed before it can break"
    );
}

/// The other side of it: where no connection is made after the break, the server died, and the
/// query is doubted.
#[test]
fn reset_without_reconnect_is_a_crash() {
    let mut rig = Rig::new(ring(20, 1));
    rig.warm_up(100 * MS, &[5]);
    let number = rig.ask(2000 * MS, &[5]);
    let (part, server, _) = rig.sends()[0];
    rig.turn(2 * MS, &[ended(part, 0, server, Outcome::Reset, 2 * MS)]);
    assert_eq!(rig.sends().len(), 1);
    rig.turn(
        250 * MS,
        &[ended(part, 1, server, Outcome::ConnectFailed, 250 * MS)],
    );
    assert!(
        rig.actions
            .iter()
            .any(|a| matches!(a, Action::Reject { query, .. } if query.0 == number))
    );
}

/// Found on hand+drain: with the other holder out by hand a shard's last one, failing a fifth of
/// its parts, got one part in a quarter of an aim, and nine in ten of the shard's queries were
/// refused.
#[test]
fn last_replica_is_used_despite_failures() {
    let mut rig = Rig::new(ring(2, 2));
    rig.warm_up(20 * MS, &[0, 1]);
    let out = Endpoint {
        excluded: true,
        ..entry(101, 1)
    };
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: [out].into(),
        }],
    );
    let (mut sent, mut served, mut tried) = (0u32, 0, std::collections::BTreeMap::new());
    for _ in 0..80 {
        rig.ask(MS, &[0]);
        while !rig.sends().is_empty() {
            // Five in eight fail, in runs: by far most of its last answers.
            let answer = |s: &(PartId, ServerId, Time)| {
                assert_eq!(s.1, ServerId(100));
                sent += 1;
                let outcome = if sent % 8 < 5 {
                    Outcome::Error
                } else {
                    Outcome::Ok
                };
                served += u32::from(outcome == Outcome::Ok);
                let attempt = tried.entry(s.0).and_modify(|n| *n += 1).or_insert(0u32);
                ended(s.0, *attempt, s.1, outcome, 10 * MS)
            };
            let events: Vec<Event> = rig.sends().iter().map(answer).collect();
            rig.turn(10 * MS, &events);
        }
    }
    assert!(
        served >= 40,
        "{served} of 80 queries served, {sent} parts sent"
    );
}
