//! What is sent to servers that fail, stop responding, reject requests, crash or are removed, and
//! how they are readmitted.

mod common;
use common::*;
use dispatch::interface::*;

#[test]
fn draining_server_gets_nothing() {
    let mut rig = Rig::new(ring_settings(3, 2));
    let drain = Endpoint {
        status: ServerStatus::Draining,
        ..endpoint(100, 0)
    };
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: [drain].into(),
        }],
    );
    for _ in 0..3 {
        rig.submit(MS, &[0]);
        assert!(rig.sends().iter().all(|s| s.1 == ServerId(101)));
    }
    let complete = [endpoint(100, 0)];
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Complete,
            entries: complete.into(),
        }],
    );
    rig.submit(MS, &[1]);
    assert_eq!(
        rig.sends(),
        [],
        "a server absent from a complete list is removed"
    );
}

/// A server that fails immediately is always idle. It used to attract every part for which the
/// other servers had no capacity.
#[test]
fn failing_server_is_retried_and_readmitted() {
    test_immediate_failures(Outcome::Error);
}

/// The same with a server that rejects requests because it shuts down before the endpoint list says
/// so.
#[test]
fn rejecting_server_is_retried_and_readmitted() {
    test_immediate_failures(Outcome::Rejected);
}

fn test_immediate_failures(outcome: Outcome) {
    let mut rig = Rig::new(ring_settings(2, 2));
    rig.warm_up(20 * MS, &[0]);
    let mut attempts = std::collections::BTreeMap::new();
    let (mut failures, mut answers) = (0, Vec::new());
    for _ in 0..400 {
        rig.submit(MS, &[0]);
        // One server fails immediately; the other is soon full, as its answers are held back.
        while !rig.sends().is_empty() {
            let mut failed = Vec::new();
            for (part, server, _) in rig.sends() {
                let attempt = attempts
                    .entry(part)
                    .and_modify(|attempt| *attempt += 1)
                    .or_insert(0);
                if server == ServerId(100) {
                    failed.push(ended(part, *attempt, server, outcome, 0));
                } else {
                    answers.push(ended(part, *attempt, server, Outcome::Ok, 20 * MS));
                }
            }
            failures += failed.len();
            rig.turn(0, &failed);
        }
    }
    assert!((3..=8).contains(&failures), "{failures} parts in 400 ms");
    rig.turn(0, &answers);
    let mut served = 0;
    for _ in 0..300 {
        while !rig.sends().is_empty() {
            let mut events = Vec::new();
            for (part, server, _) in rig.sends() {
                let attempt = attempts
                    .entry(part)
                    .and_modify(|attempt| *attempt += 1)
                    .or_insert(0);
                served += u32::from(server == ServerId(100));
                events.push(ended(part, *attempt, server, Outcome::Ok, 20 * MS));
            }
            rig.turn(20 * MS, &events);
        }
        rig.submit(100 * MS, &[0]);
    }
    assert!(
        served >= 3,
        "{served} of 300: its slowness decays with time"
    );
}

#[test]
fn forgets_replaced_servers() {
    let mut rig = Rig::new(ring_settings(3, 2));
    let mut sizes = Vec::new();
    for generation in 1..=100 {
        let new = (0..3).map(|cell| endpoint(100 + 3 * generation + cell, cell));
        let old = (0..3).map(|cell| endpoint(100 + 3 * (generation - 1) + cell, cell));
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
        rig.submit(MS, &[0, 1]);
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
    // The windows of answers are full by the sixtieth generation.
    assert!(
        sizes[99] < sizes[59] + 500,
        "{} bytes, then {}",
        sizes[59],
        sizes[99]
    );
}

/// A server that accepts parts and never answers is avoided once its peers answer and it does not.
#[test]
fn unresponsive_server_is_tried_by_hedges() {
    let mut rig = Rig::new(ring_settings(4, 2));
    rig.warm_up(20 * MS, &[0, 1, 2, 3]);
    let unresponsive = ServerId(100);
    let mut chosen = 0;
    for round in 0..30 {
        let shards = [0, 1, 2, 3];
        let number = rig.submit(5 * MS, &shards);
        let sends = rig.sends();
        let sole = |s: &&(PartId, ServerId, Time)| sends.iter().filter(|o| o.0 == s.0).count() == 1;
        if round > 5 {
            chosen += sends
                .iter()
                .filter(sole)
                .filter(|s| s.1 == unresponsive && s.0.0 > number)
                .count();
        }
        let answered: Vec<Event> = sends
            .iter()
            .filter(|s| s.1 != unresponsive)
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 20 * MS))
            .collect();
        rig.turn(20 * MS, &answered);
    }
    assert_eq!(chosen, 0, "no query depends on the unresponsive server");
}

/// Servers that fail one class immediately and serve another one used to be avoided for both
/// classes or for neither.
#[test]
fn errors_eject_server_from_their_class_only() {
    let settings = Settings {
        classes: vec![Class::default(), Class::default()],
        ..ring_settings(2, 2)
    };
    let mut rig = Rig::new(settings);
    let failing = ServerId(100);
    let mut sent_late = [0, 0];
    for round in 0..40 {
        for (class, sent_late) in sent_late.iter_mut().enumerate() {
            let (number, events) = rig.query(class, 2000 * MS, &[0]);
            rig.turn(40 * MS, &events);
            let mut sends: Vec<(PartId, u32, ServerId)> = Vec::new();
            for (part, server, _) in rig.sends() {
                let attempt = sends.iter().filter(|s| s.0 == part).count() as u32;
                sends.push((part, attempt, server));
            }
            assert!(sends.iter().all(|s| s.0.0 > number));
            *sent_late += usize::from(round >= 10 && sends[0].2 == failing);
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
            let retries: Vec<Event> = rig
                .sends()
                .iter()
                .map(|s| ended(s.0, 1, s.1, Outcome::Ok, 10 * MS))
                .collect();
            rig.turn(10 * MS, &retries);
        }
    }
    assert!(
        sent_late[0] <= 3,
        "the failing class avoids it: {} of 30",
        sent_late[0]
    );
    assert!(
        sent_late[1] > 5,
        "the other class still uses it: {} times",
        sent_late[1]
    );
}

/// A server that rejects parts immediately has the fewest attempts in flight. It used to attract
/// every attempt.
#[test]
fn full_server_does_not_attract_attempts() {
    let mut rig = Rig::new(ring_settings(2, 2));
    rig.warm_up(20 * MS, &[0, 1]);
    let mut sent = 0;
    for _ in 0..20 {
        rig.submit(40 * MS, &[0]);
        let sends = rig.sends();
        let is_rejected = |s: &(PartId, ServerId, Time)| s.1 == ServerId(100);
        sent += sends.iter().filter(|s| is_rejected(s)).count();
        let outcome = |s| {
            if is_rejected(s) {
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
    assert!(sent <= 4, "{sent} of 20 went to the full server");
}

/// Isolated connection resets used to count as restarts, so that healthy servers were sent too
/// little for a whole slow start.
#[test]
fn reset_starts_no_slow_start() {
    let settings = Settings {
        slow_start: 60_000 * MS,
        overload_window: 2000 * MS,
        initial_capacity: 0.1,
        ..ring_settings(1, 1)
    };
    let mut rig = Rig::new(Settings {
        overload_multiple: 2.0,
        aggregators: 4,
        ..settings
    });
    rig.warm_up(20 * MS, &[0]);
    rig.submit(40 * MS, &[0]);
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
        rig.submit(MS, &[0]);
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

/// A query that crashes every server that begins one of its parts took down 101 servers at once.
#[test]
fn crashing_query_crashes_few_servers() {
    let mut rig = Rig::new(ring_settings(20, 2));
    rig.warm_up(20 * MS, &[0, 10]);
    let shards: Vec<u32> = (0..16).collect();
    let mut crashed = 0;
    for request in 0..3 {
        rig.submit(40 * MS, &shards[..if request == 0 { 16 } else { 4 }]);
        let mut rejected = false;
        while !rejected {
            let sends = rig.sends();
            crashed += sends.len();
            assert!(!sends.is_empty(), "the query is neither sent nor ended");
            let resets: Vec<Event> = sends
                .iter()
                .map(|s| ended(s.0, 0, s.1, Outcome::Reset, 10 * MS))
                .collect();
            rig.turn(10 * MS, &resets);
            rejected = rig
                .actions
                .iter()
                .any(|a| matches!(a, Action::Reject { .. }));
        }
    }
    assert_eq!(crashed, 3, "each request of it crashes one server");
}

/// Counterpart: a server that crashes for another reason does not end queries that have been
/// answered in part.
#[test]
fn reset_does_not_end_answered_query() {
    let mut rig = Rig::new(ring_settings(20, 3));
    rig.warm_up(20 * MS, &[0, 10]);
    let number = rig.submit(40 * MS, &[0, 5, 10]);
    let sends = rig.sends();
    assert_eq!(sends.len(), 3);
    rig.turn(
        10 * MS,
        &[ended(sends[0].0, 0, sends[0].1, Outcome::Reset, 10 * MS)],
    );
    assert_eq!(
        rig.sends(),
        [],
        "before any part is answered the query itself may be the cause"
    );
    rig.turn(
        10 * MS,
        &[ended(sends[1].0, 0, sends[1].1, Outcome::Ok, 20 * MS)],
    );
    let retry: Vec<_> = rig
        .sends()
        .into_iter()
        .filter(|s| s.0 == sends[0].0)
        .collect();
    assert_eq!(retry.len(), 1, "an answer shows that it is not");
    let rest = [
        ended(retry[0].0, 1, retry[0].1, Outcome::Ok, 10 * MS),
        ended(sends[2].0, 0, sends[2].1, Outcome::Ok, 30 * MS),
    ];
    rig.turn(10 * MS, &rest);
    assert!(rig.actions.contains(&Action::Answer {
        query: QueryId(number),
        complete: true
    }));
}

/// In a large fleet an aggregator uses each server only every few seconds. With an EWMA weight of a
/// quarter for every sample, the four samples needed came too late.
#[test]
fn sparse_failures_eject_server_for_a_while() {
    let mut rig = Rig::new(ring_settings(2, 2));
    rig.warm_up(20 * MS, &[0]);
    let slow = ServerId(100);
    let mut at = Vec::new();
    for _ in 0..120 {
        rig.submit(200 * MS, &[0]);
        let sends = rig.sends();
        at.extend(sends.iter().filter(|s| s.1 == slow).map(|_| rig.now / MS));
        let took = |s: ServerId| if s == slow { 300 * MS } else { 20 * MS };
        let ends: Vec<Event> = sends
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, took(s.1)))
            .collect();
        rig.turn(20 * MS, &ends);
        let hedges: Vec<Event> = rig
            .sends()
            .iter()
            .map(|s| ended(s.0, 1, s.1, Outcome::Ok, 20 * MS))
            .collect();
        rig.turn(20 * MS, &hedges);
    }
    assert!(
        (2..=12).contains(&at.len()),
        "sent {} of 120 to the slow server",
        at.len()
    );
    let gap = at.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(0);
    assert!(gap < 15_000, "not tried for {gap} ms");
}

/// While new connections fail at every server, no server is at fault: all are used again as soon as
/// connections succeed.
#[test]
fn common_connect_failure_ejects_nobody() {
    let mut rig = Rig::new(ring_settings(4, 2));
    rig.warm_up(20 * MS, &[0, 1, 2, 3]);
    for shard in [0, 2].repeat(20) {
        rig.submit(40 * MS, &[shard]);
        for attempt in 0..3 {
            let failed = |s: &(PartId, ServerId, Time)| {
                ended(s.0, attempt, s.1, Outcome::ConnectFailed, 5 * MS)
            };
            let failed: Vec<Event> = rig.sends().iter().map(failed).collect();
            rig.turn(5 * MS, &failed);
        }
    }
    for shard in [0, 2].repeat(10) {
        rig.submit(10 * MS, &[shard]);
        let sends = rig.sends();
        assert_eq!(sends.len(), 1, "shard {shard} is served immediately");
        rig.turn(
            20 * MS,
            &[ended(sends[0].0, 0, sends[0].1, Outcome::Ok, 20 * MS)],
        );
    }
}

/// When several servers are replaced together, the draining ones are sent nothing, and the
/// replacements little at first.
#[test]
fn rolling_drain_moves_work() {
    let settings = Settings {
        aggregators: 30,
        slow_start: 20_000 * MS,
        overload_window: 1000 * MS,
        ..ring_settings(6, 3)
    };
    let mut rig = Rig::new(Settings {
        initial_capacity: 0.2,
        overload_multiple: 2.0,
        ..settings
    });
    rig.warm_up(100 * MS, &[0, 2, 4]);
    let drained = [100, 103].map(|id| Endpoint {
        status: ServerStatus::Draining,
        ..endpoint(id, id - 100)
    });
    let started_at = rig.now;
    let cold = [200, 203].map(|id| Endpoint {
        started_at,
        ..endpoint(id, id - 200)
    });
    let wave: Vec<Endpoint> = drained.into_iter().chain(cold).collect();
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: wave.into(),
        }],
    );
    let (mut to_warm, mut to_cold) = (0, 0);
    for round in 0..20 {
        rig.submit(MS, &[round % 6]);
        let sends = rig.sends();
        assert!(
            sends.iter().all(|s| ![100, 103].contains(&s.1.0)),
            "sent to a draining server"
        );
        to_cold += sends.iter().filter(|s| s.1.0 >= 200).count();
        to_warm += sends.iter().filter(|s| s.1.0 < 200).count();
        let answers: Vec<Event> = sends
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 100 * MS))
            .collect();
        rig.turn(100 * MS, &answers);
    }
    // A cold server is at first sent 0.7 x 2 x 0.2 of what a warm one is sent.
    assert!(
        to_cold <= 4 && to_warm >= 16,
        "{to_cold} to cold servers, {to_warm} to warm ones"
    );
}

/// A middlebox dropped idle connections silently. Their resets counted as crashes, so that every
/// query was suspected and every server avoided.
#[test]
fn idle_reset_is_no_crash() {
    let mut rig = Rig::new(ring_settings(20, 2));
    rig.warm_up(100 * MS, &[0, 10]);
    rig.submit(40 * MS, &[5]);
    let (part, server, _) = rig.sends()[0];
    rig.turn(100 * MS, &[ended(part, 0, server, Outcome::Ok, 100 * MS)]);
    // The shard's other replica is removed, so that the same server is used again.
    let other = if server == ServerId(105) { 106 } else { 105 };
    let gone = Endpoint {
        status: ServerStatus::Removed,
        ..endpoint(other, other - 100)
    };
    rig.turn(
        MS,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: vec![gone].into(),
        }],
    );
    rig.submit(2000 * MS, &[5]);
    let (part, server, _) = rig.sends()[0];
    rig.turn(2 * MS, &[ended(part, 0, server, Outcome::Reset, 2 * MS)]);
    assert_eq!(
        rig.sends().iter().map(|s| (s.0, s.1)).collect::<Vec<_>>(),
        [(part, server)],
        "sent to the same server again"
    );
    rig.turn(100 * MS, &[ended(part, 1, server, Outcome::Ok, 100 * MS)]);
    rig.submit(40 * MS, &[12, 16]);
    assert_eq!(
        rig.sends().len(),
        2,
        "no query sends a canary because of it"
    );
    rig.submit(2000 * MS, &[5]);
    let close = rig.actions.iter().position(|a| *a == Action::Close(server));
    let send = rig
        .actions
        .iter()
        .position(|a| matches!(a, Action::Send { .. }));
    assert!(
        close.is_some() && close < send,
        "the next idle connection is closed before it is used"
    );
}

/// Counterpart: if no connection can be established after the reset, the server has crashed, and
/// the query is suspected.
#[test]
fn reset_without_reconnect_is_a_crash() {
    let mut rig = Rig::new(ring_settings(20, 1));
    rig.warm_up(100 * MS, &[5]);
    let number = rig.submit(2000 * MS, &[5]);
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

/// While an operator had excluded a shard's other replica, the last one failed a fifth of its parts
/// and was therefore sent only one part per quarter of the latency target. Nine in ten of the
/// shard's queries were rejected.
#[test]
fn last_replica_is_used_despite_failures() {
    let mut rig = Rig::new(ring_settings(2, 2));
    rig.warm_up(20 * MS, &[0, 1]);
    let excluded = Endpoint {
        excluded: true,
        ..endpoint(101, 1)
    };
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: [excluded].into(),
        }],
    );
    let (mut sent, mut served, mut attempts) = (0u32, 0, std::collections::BTreeMap::new());
    for _ in 0..80 {
        rig.submit(MS, &[0]);
        while !rig.sends().is_empty() {
            // Five in eight fail, in runs, so that the smoothed error rate is high.
            let answer = |s: &(PartId, ServerId, Time)| {
                assert_eq!(s.1, ServerId(100));
                sent += 1;
                let outcome = if sent % 8 < 5 {
                    Outcome::Error
                } else {
                    Outcome::Ok
                };
                served += u32::from(outcome == Outcome::Ok);
                let attempt = attempts.entry(s.0).and_modify(|n| *n += 1).or_insert(0u32);
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
