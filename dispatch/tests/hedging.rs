//! First attempts and hedges: how many are sent, when, and when they are cancelled.

mod common;
use common::*;
use dispatch::interface::*;

#[test]
fn first_attempts_take_least_loaded_row() {
    let mut rig = Rig::new(ring_settings(6, 3));
    rig.submit(0, &[0, 3]);
    let first = rig.sends();
    let offset = |sends: &[(PartId, ServerId, Time)]| {
        let of = |i: usize, shard: u32| (sends[i].1.0 - 100 + 6 - shard) % 6;
        assert_eq!(of(0, 0), of(1, 3), "all parts have the same offset");
        of(0, 0)
    };
    let used = offset(&first);
    rig.submit(MS, &[0, 3]);
    let second = offset(&rig.sends());
    rig.submit(MS, &[0, 3]);
    let third = offset(&rig.sends());
    let mut all = [used, second, third];
    all.sort_unstable();
    assert_eq!(all, [0, 1, 2], "the least-loaded row is used");
}

#[test]
fn hedges_once_at_percentile_and_cancels_loser() {
    let mut rig = Rig::new(ring_settings(6, 3));
    rig.warm_up(20 * MS, &[0, 2, 4]);
    rig.submit(MS, &[0]);
    let (part, first, _) = rig.sends()[0];
    rig.turn(19 * MS, &[Event::Wake]);
    assert_eq!(rig.sends(), [], "hedged before the percentile");
    rig.turn(2 * MS, &[Event::Wake]);
    let hedges = rig.sends();
    assert_eq!(hedges.len(), 1);
    assert_eq!(hedges[0].0, part);
    assert_ne!(hedges[0].1, first, "the hedge goes to another replica");
    rig.turn(5 * MS, &[ended(part, 1, hedges[0].1, Outcome::Ok, 5 * MS)]);
    assert!(rig.actions.contains(&Action::Cancel { part, attempt: 0 }));
    assert!(
        rig.actions
            .iter()
            .any(|a| matches!(a, Action::Answer { complete: true, .. }))
    );
}

#[test]
fn handles_outcomes_before_timers() {
    let mut rig = Rig::new(ring_settings(6, 3));
    rig.warm_up(20 * MS, &[0, 2, 4]);
    rig.submit(MS, &[0]);
    let (part, server, _) = rig.sends()[0];
    rig.turn(
        30 * MS,
        &[Event::Wake, ended(part, 0, server, Outcome::Ok, 30 * MS)],
    );
    assert_eq!(rig.sends(), []);
}

#[test]
fn hedges_stay_near_one_in_ten() {
    let mut rig = Rig::new(ring_settings(30, 3));
    rig.warm_up(20 * MS, &[0, 10, 20]);
    let mut sent = 0;
    for i in 0..30 {
        rig.submit(0, &[i]);
        sent += rig.sends().len();
    }
    rig.turn(300 * MS, &[Event::Wake]);
    let hedges = rig.sends().len();
    assert_eq!(sent, 30);
    assert!((1..=5).contains(&hedges), "{hedges} hedges");
}

/// Under overload, hedges delay the parts that wait for capacity.
#[test]
fn no_hedge_while_parts_are_blocked() {
    let mut rig = Rig::new(ring_settings(4, 2));
    rig.warm_up(20 * MS, &[0, 1, 2, 3]);
    let mut first = Vec::new();
    for _ in 0..40 {
        rig.submit(0, &[0]);
        first.append(&mut rig.sends());
    }
    assert!(first.len() < 40, "both replicas of shard 0 are full");
    rig.submit(0, &[2]);
    rig.turn(30 * MS, &[Event::Wake]);
    assert_eq!(
        rig.sends(),
        [],
        "servers 102 and 103 have capacity, but parts are blocked"
    );
}

/// Lost answers increased the 95th percentile of parts, so that parts at unresponsive servers were
/// hedged only when it was too late for their queries.
#[test]
fn lost_answers_do_not_delay_rescue() {
    let mut rig = Rig::new(ring_settings(200, 3));
    rig.warm_up(100 * MS, &[0, 100]);
    let lost = |server: ServerId| server.0.is_multiple_of(5);
    let mut waits = Vec::new();
    for i in 0..40 {
        rig.submit(10 * MS, &[0, 1, 2, 3, 4].map(|s| (5 * i + s) % 200));
        let mut in_flight: Vec<(PartId, u32, ServerId, Time)> =
            rig.sends().iter().map(|s| (s.0, 0, s.1, rig.now)).collect();
        for _ in 0..100 {
            let due = |o: &(PartId, u32, ServerId, Time), now| !lost(o.2) && now >= o.3 + 100 * MS;
            let now = rig.now + 10 * MS;
            let answered = in_flight.iter().filter(|o| due(o, now));
            let ends: Vec<Event> = answered
                .map(|o| ended(o.0, o.1, o.2, Outcome::Ok, 100 * MS))
                .collect();
            in_flight.retain(|o| !due(o, now));
            rig.turn(10 * MS, &ends);
            for s in rig.sends() {
                waits.extend(
                    in_flight
                        .iter()
                        .find(|o| o.0 == s.0)
                        .map(|o| (rig.now - o.3) / MS),
                );
                in_flight.push((s.0, 1, s.1, rig.now));
            }
        }
    }
    let late = waits[waits.len() / 2..].iter().max().copied().unwrap_or(0);
    assert!(
        waits.len() >= 10,
        "{} parts were sent to an unresponsive server",
        waits.len()
    );
    assert!(late <= 250, "a lost part waited {late} ms for its hedge");
}

/// Queries of 41 parts were lost because of the last one or two parts, for which no hedge tokens
/// were left.
#[test]
fn hedges_last_parts_without_tokens() {
    let mut rig = Rig::new(ring_settings(400, 3));
    rig.warm_up(100 * MS, &[0, 100, 200]);
    // Many slow queries of one part use up the saved tokens.
    let events: Vec<Event> = (0..40)
        .flat_map(|i| rig.query(0, 2000 * MS, &[3 * i]).1)
        .collect();
    rig.turn(MS, &events);
    rig.turn(120 * MS, &[Event::Wake]);
    let spent = rig.sends().len();
    assert!((1..=8).contains(&spent), "{spent} hedges of 40");
    let shards: Vec<u32> = (200..230).collect();
    rig.submit(MS, &shards);
    let sends = rig.sends();
    assert_eq!(sends.len(), 30);
    let ends = sends[2..]
        .iter()
        .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 90 * MS));
    rig.turn(90 * MS, &ends.collect::<Vec<_>>());
    let mut hedged = std::collections::BTreeSet::new();
    for _ in 0..6 {
        rig.turn(10 * MS, &[Event::Wake]);
        hedged.extend(
            rig.sends()
                .iter()
                .map(|s| s.0)
                .filter(|id| sends.iter().any(|s| s.0 == *id)),
        );
    }
    assert_eq!(hedged.len(), 2, "the last two parts are hedged");
}

/// After a stall of the aggregator's own process, answers that arrived meanwhile count with their
/// own latency, so that no hedges or rejections follow.
#[test]
fn own_stall_is_not_slowness() {
    let mut rig = Rig::new(ring_settings(200, 2));
    rig.warm_up(20 * MS, &[0, 50, 100]);
    for _ in 0..12 {
        rig.submit(MS, &[0, 50, 100]);
        let ends: Vec<Event> = rig
            .sends()
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, 20 * MS))
            .collect();
        rig.turn(700 * MS, &ends);
        assert_eq!(
            rig.sends(),
            [],
            "all servers had answered before the stall ended"
        );
    }
    let number = rig.submit(MS, &[0, 50, 100]);
    assert_eq!(rig.sends().len(), 3, "query {number} is started");
    rig.turn(25 * MS, &[Event::Wake]);
    assert!(
        !rig.sends().is_empty(),
        "the hedge delay still follows the servers' 20 ms"
    );
}
