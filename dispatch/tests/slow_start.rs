//! The total that many independent aggregators send to a cold server, also after an idle time and
//! with a late update of the endpoint list.

mod common;
use common::*;
use dispatch::interface::*;

const LATENCY: Time = 100 * MS;
const SLOW_START: Time = 20_000 * MS;
const OVERLOAD_WINDOW: Time = 1000 * MS;
const INITIAL_CAPACITY: f64 = 0.2;

/// `count` aggregators that have learned the latency of parts at the only server, each from one
/// query per `interval`.
fn aggregators(count: u32, overload_multiple: f64, interval: Time, seed: u64) -> Vec<Rig> {
    let settings = Settings {
        aggregators: count,
        slow_start: SLOW_START,
        overload_window: OVERLOAD_WINDOW,
        ..ring_settings(1, 1)
    };
    let settings = Settings {
        initial_capacity: INITIAL_CAPACITY,
        overload_multiple,
        ..settings
    };
    let rig = |at| {
        let mut rig = Rig::seeded(settings.clone(), seed * 1000 + u64::from(at));
        // Too few to show that a server sustains more than one core's work.
        for _ in 0..12 {
            rig.submit(interval - LATENCY, &[0]);
            let (part, server, _) = rig.sends()[0];
            rig.turn(LATENCY, &[ended(part, 0, server, Outcome::Ok, LATENCY)]);
        }
        rig
    };
    (0..count).map(rig).collect()
}

/// Restarts the server, and lets the aggregators learn of it after half of `idle_time`. After
/// `idle_time` each of them has a query per `interval`, at a random phase, for three overload
/// windows. Returns the times of all attempts since the server's start.
fn burst(mut rigs: Vec<Rig>, idle_time: Time, interval: Time, seed: u64) -> Vec<Time> {
    let (mut sent, mut rng) = (Vec::new(), fastrand::Rng::with_seed(seed));
    for rig in &mut rigs {
        let start = rig.now;
        let restarted = Endpoint {
            started_at: start,
            ..endpoint(100, 0)
        };
        rig.turn(
            idle_time / 2,
            &[Event::Endpoints {
                kind: ListKind::Partial,
                entries: [restarted].into(),
            }],
        );
        rig.turn(idle_time - idle_time / 2, &[Event::Wake]);
        let begin = rig.now;
        let mut next = rng.u64(..interval);
        while next < 3 * OVERLOAD_WINDOW {
            rig.submit((begin + next).saturating_sub(rig.now), &[0]);
            let events: Vec<Event> = rig
                .sends()
                .iter()
                .map(|s| ended(s.0, 0, s.1, Outcome::Ok, LATENCY))
                .collect();
            sent.extend(rig.sends().iter().map(|_| rig.now - start));
            rig.turn(0, &events);
            next += interval / 2 + rng.u64(..interval);
        }
    }
    sent.sort_unstable();
    sent
}

/// Checks that the attempts within any overload window stay within the budget plus two standard
/// deviations. Returns the highest ratio of that limit, and the ratio of the total budget that is
/// used. A case consists of the number of aggregators, the overload multiple, the usual interval of
/// queries, the idle time, and the interval of queries in the burst.
fn peak_and_utilization(cases: &[(u32, f64, Time, Time, Time)]) -> (f64, f64) {
    let (mut peak, mut total, mut budgets) = (0.0_f64, 0, 0.0);
    for &(count, overload_multiple, interval, idle_time, burst_interval) in cases {
        for seed in 0..8 {
            let sent = burst(
                aggregators(count, overload_multiple, interval, seed),
                idle_time,
                burst_interval,
                seed,
            );
            for (at, first) in sent.iter().enumerate() {
                let within = sent[at..]
                    .iter()
                    .take_while(|t| **t < first + OVERLOAD_WINDOW)
                    .count() as f64;
                let age = (first + OVERLOAD_WINDOW / 2) as f64 / SLOW_START as f64;
                let capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age;
                let budget =
                    overload_multiple * capacity * (OVERLOAD_WINDOW as f64 / LATENCY as f64);
                let limit = budget + 2.0 * budget.sqrt() + 2.0;
                assert!(
                    within <= limit,
                    "{count} aggregators, seed {seed}: {within} attempts, limit {limit:.1}"
                );
                peak = peak.max(within / limit);
            }
            total += sent.len();
            let age = (idle_time + 1500 * MS) as f64 / SLOW_START as f64;
            budgets += 3.0
                * overload_multiple
                * (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age)
                * 10.0;
        }
    }
    let used = total as f64 / budgets;
    println!("used {used:.2} of the budget, at most {peak:.2} of the limit");
    (peak, used)
}

/// With a share of a seventh of a part, each of thirty aggregators saved up two parts while idle,
/// and all of them sent these in a burst.
#[test]
fn unused_quota_is_not_saved_while_idle() {
    let (interval, burst_interval) = (4000 * MS, 100 * MS);
    let cases = [
        (30, 1.0, 2500 * MS),
        (30, 1.5, 4000 * MS),
        (20, 0.8, 6000 * MS),
    ];
    let (_, used) = peak_and_utilization(&cases.map(|(count, multiple, idle_time)| {
        (count, multiple, interval, idle_time, burst_interval)
    }));
    assert!(
        used > 0.35,
        "a cold server is sent too little: {used:.2} of its budget"
    );
}

/// Aggregators that usually send less than their share saved up two parts each, and sent them in a
/// large burst or in a longer one of 1.5 times the usual rate.
#[test]
fn unused_quota_is_not_saved_at_low_rate() {
    let (large, higher) = (100 * MS, 2667 * MS);
    let cases = [
        (24, 5.0, 4000 * MS, 2500 * MS, large),
        (20, 4.0, 4000 * MS, 4000 * MS, large),
        (30, 4.0, 4000 * MS, 2500 * MS, higher),
        (30, 3.0, 4000 * MS, 6000 * MS, higher),
    ];
    let (peak, used) = peak_and_utilization(&cases);
    assert!(
        used > 0.35,
        "a cold server is sent too little: {used:.2} of its budget"
    );
    assert!(
        peak > 0.5,
        "the burst is too small for this test: {peak:.2} of the limit"
    );
}

/// In a fleet so large that a burst of 1.5 times the usual rate exceeds the budget, each aggregator
/// still sent two parts that it had saved up.
#[test]
fn large_fleet_limits_burst_in_slow_start() {
    let (idle_time, interval, higher) = (2500 * MS, 10_000 * MS, 6667 * MS);
    let cases = [
        (100, 4.0, interval, idle_time, higher),
        (100, 3.4, interval, idle_time, higher),
        (100, 3.4, interval, 4000 * MS, higher),
    ];
    let (peak, used) = peak_and_utilization(&cases);
    assert!(
        used > 0.35,
        "a cold server is sent too little: {used:.2} of its budget"
    );
    assert!(
        peak > 0.5,
        "the burst is too small for this test: {peak:.2} of the limit"
    );
}

/// Whether one of `count` aggregators sends a cold server a second part within the overload window.
fn sends_two(count: u32, overload_multiple: f64, interval: Time) -> bool {
    let rig = &mut aggregators(count, overload_multiple, interval, 0)[0];
    let restarted = Endpoint {
        started_at: rig.now,
        ..endpoint(100, 0)
    };
    rig.turn(
        2500 * MS,
        &[Event::Endpoints {
            kind: ListKind::Partial,
            entries: [restarted].into(),
        }],
    );
    let mut sends = || {
        rig.submit(LATENCY, &[0]);
        let events: Vec<_> = rig
            .sends()
            .iter()
            .map(|s| ended(s.0, 0, s.1, Outcome::Ok, LATENCY))
            .collect();
        rig.turn(0, &events);
        events.len()
    };
    assert_eq!(sends(), 1);
    sends() == 1
}

/// If one part from each of a hundred aggregators already exceeds the budget plus two standard
/// deviations, an aggregator may send two, as not all of them send at once. They used to leave the
/// server idle. With 24 aggregators one part from each is within that limit and two are not, so
/// each sends only one.
#[test]
fn second_part_within_window_only_if_budget_allows() {
    assert!(sends_two(100, 10.0, 10_000 * MS));
    assert!(!sends_two(24, 5.0, 4000 * MS));
    // Two parts from each aggregator are within the limit.
    assert!(sends_two(12, 5.2, 2000 * MS));
}
