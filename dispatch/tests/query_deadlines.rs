//! Deadlines: when queries are started, rejected or ended.

mod common;
use common::*;
use dispatch::interface::*;

#[test]
fn rejects_unsendable_query_in_time() {
    let mut rig = Rig::new(ring_settings(3, 1));
    rig.turn(
        0,
        &[Event::Endpoints {
            kind: ListKind::Complete,
            entries: [].into(),
        }],
    );
    let number = rig.submit(MS, &[0]);
    let mut ended = None;
    for _ in 0..2000 {
        rig.turn(MS, &[Event::Wake]);
        if rig
            .actions
            .iter()
            .any(|a| matches!(a, Action::Reject { query, .. } if query.0 == number))
        {
            ended = Some(rig.now);
            break;
        }
    }
    assert!(
        ended.is_some_and(|at| at <= 1001 * MS + 1000 * MS),
        "not ended within its latency target: {ended:?}"
    );
}

#[test]
fn unsafe_part_is_not_repeated() {
    let class = Class {
        effect: Effect::Unsafe,
        ..Class::default()
    };
    let mut rig = Rig::new(Settings {
        classes: vec![class],
        ..ring_settings(3, 3)
    });
    rig.submit(0, &[0]);
    let (part, server, _) = rig.sends()[0];
    rig.turn(
        5 * MS,
        &[ended(part, 0, server, Outcome::ConnectFailed, 5 * MS)],
    );
    let (retried, second, _) = rig.sends()[0];
    assert_eq!(retried, part, "an attempt that never ran is retried");
    rig.turn(5 * MS, &[ended(part, 1, second, Outcome::Reset, 5 * MS)]);
    assert!(
        rig.actions.iter().any(|a| matches!(a, Action::Fail { .. })),
        "the query fails immediately"
    );
    assert!(
        !rig.actions
            .iter()
            .any(|a| matches!(a, Action::Reject { .. } | Action::Send { .. }))
    );
}

/// A query used to be started at the servers with capacity and never finished.
#[test]
fn starts_all_parts_or_none() {
    let mut rig = Rig::new(ring_settings(2, 1));
    while {
        rig.submit(0, &[0]);
        !rig.sends().is_empty()
    } {}
    rig.submit(0, &[0, 1]);
    assert_eq!(
        rig.sends(),
        [],
        "server 100 is full, so nothing goes to 101 either"
    );
}

/// Under overload, clients' retries were served as if their latency target began again.
#[test]
fn shortened_retry_is_late() {
    let mut rig = Rig::new(ring_settings(3, 3));
    for _ in 0..20 {
        let (_, events) = rig.query(0, 1800 * MS, &[0]);
        rig.turn(MS, &events);
    }
    let (number, events) = rig.query(0, 900 * MS, &[1]);
    rig.turn(MS, &events);
    assert!(
        rig.actions
            .iter()
            .any(|a| matches!(a, Action::Reject { query, .. } if query.0 == number))
    );
    assert_eq!(rig.sends(), []);
}

/// A query had no final answer in time if its first step was answered just before the deadline.
#[test]
fn two_step_query_ends_in_time() {
    let class = Class {
        floor: 0.4,
        partial_value: 0.95,
        second_step: 2,
        ..Class::default()
    };
    for answered_at in [10 * MS, 997 * MS, 999 * MS] {
        let mut rig = Rig::new(Settings {
            classes: vec![class.clone()],
            ..ring_settings(3, 2)
        });
        let number = rig.submit(0, &[0, 1]);
        let start = rig.now;
        let sends = rig.sends();
        let mut finals = 0;
        let mut answers = 0;
        let mut count = |rig: &Rig| {
            for action in &rig.actions {
                match action {
                    Action::Answer { .. } => answers += 1,
                    Action::Reject { .. } | Action::Fail { .. } => finals += 1,
                    _ => {}
                }
            }
            finals += usize::from(answers == 2);
        };
        rig.turn(
            answered_at,
            &sends
                .iter()
                .map(|s| ended(s.0, 0, s.1, Outcome::Ok, MS))
                .collect::<Vec<_>>(),
        );
        count(&rig);
        let part = |id| Event::Part {
            id: PartId(id),
            number,
            shard: 0,
            weight: 0.5,
        };
        if rig
            .actions
            .iter()
            .any(|a| matches!(a, Action::Answer { .. }))
        {
            rig.turn(MS, &[part(90), part(91)]);
            count(&rig);
        }
        while rig.now < start + 2000 * MS {
            rig.turn(MS, &[Event::Wake]);
            count(&rig);
        }
        assert_eq!(finals, 1, "answered at {answered_at}");
    }
}

/// Queries that waited until only the median latency was left were still started, and timed out.
#[test]
fn does_not_start_late_query() {
    let mut rig = Rig::new(ring_settings(4, 2));
    for i in 0..40 {
        // One answer in eight takes 300 ms: the median is 20 ms, the 95th percentile is not.
        rig.submit(MS, &[i % 4]);
        let took = if i % 8 == 0 { 300 * MS } else { 20 * MS };
        let answers: Vec<Event> = rig
            .sends()
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, took))
            .collect();
        rig.turn(took, &answers);
    }
    // A retry with 1200 ms of the client's 2000 ms is 800 ms old: 200 ms of its target are left.
    let (number, events) = rig.query(0, 1200 * MS, &[0]);
    rig.turn(MS, &events);
    assert_eq!(rig.sends(), []);
    assert!(
        rig.actions
            .iter()
            .any(|a| matches!(a, Action::Reject { query, .. } if query.0 == number))
    );
    let (_, events) = rig.query(0, 1600 * MS, &[0]);
    rig.turn(MS, &events);
    assert_eq!(rig.sends().len(), 1, "with more time left it is sent");
}

/// First requests of clients with a shorter timeout used to be mistaken for retries.
#[test]
fn learns_several_client_timeouts() {
    for retries_marked in [false, true] {
        let mut rig = Rig::new(Settings {
            retries_marked,
            ..ring_settings(6, 3)
        });
        let mut rejected = 0;
        for i in 0..60 {
            let client_timeout = if i >= 20 && i % 3 == 0 {
                1100 * MS
            } else {
                1800 * MS
            };
            let (number, events) = rig.query(0, client_timeout, &[i % 6]);
            rig.turn(MS, &events);
            let is_rejection =
                |a: &Action| matches!(a, Action::Reject { query, .. } if query.0 == number);
            rejected += usize::from(i > 40 && rig.actions.iter().any(is_rejection));
            let answers: Vec<Event> = rig
                .sends()
                .iter()
                .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 300 * MS))
                .collect();
            rig.turn(300 * MS, &answers);
        }
        assert_eq!(rejected, 0, "marked: {retries_marked}");
    }
}

/// The replicas of a popular shard timed out, and every query that needed it was lost after its
/// other parts had been served.
#[test]
fn rejects_query_for_hot_shard() {
    let mut rig = Rig::new(ring_settings(200, 2));
    rig.warm_up(20 * MS, &[0, 50, 100]);
    rig.submit(40 * MS, &[10]);
    let (part, server, _) = rig.sends()[0];
    rig.turn(900 * MS, &[ended(part, 0, server, Outcome::Ok, 900 * MS)]);
    let number = rig.submit(MS, &[10, 60, 110, 160]);
    assert_eq!(rig.sends(), []);
    assert!(
        rig.actions
            .iter()
            .any(|a| matches!(a, Action::Reject { query, .. } if query.0 == number))
    );
    rig.submit(MS, &[60, 110, 160]);
    assert_eq!(rig.sends().len(), 3, "other shards are served");
    rig.submit(4000 * MS, &[10]);
    assert_eq!(
        rig.sends().len(),
        1,
        "the shard is served again when its queue has had time to drain"
    );
}

/// For clients with a short timeout the time needed to start a first request is a ratio of that
/// timeout, not of the class's latency target.
#[test]
fn starts_first_request_with_short_timeout() {
    let mut rig = Rig::new(Settings {
        retries_marked: true,
        ..ring_settings(4, 2)
    });
    for i in 0..40 {
        rig.submit(MS, &[i % 4]);
        let took = if i % 8 == 0 { 300 } else { 60 } * MS;
        let ends: Vec<Event> = rig
            .sends()
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, took))
            .collect();
        rig.turn(took, &ends);
    }
    let (_, events) = rig.query(0, 250 * MS, &[0]);
    rig.turn(MS, &events);
    assert_eq!(rig.sends().len(), 1);
}
