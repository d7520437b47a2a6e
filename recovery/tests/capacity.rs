//! Simulation of gatherers that recover while index hosts warm up, reproducible by seed: the
//! admitted load follows the observed capacity of the hosts, not only the configured minimum of
//! cold hosts.

use recovery::Time;
use recovery::capacity::QueryResult;
use recovery::phase::{Config, Phase, Recovery};
use recovery::slow_start::{Admission, SlowStart};
use std::collections::VecDeque;

const MS: Time = 1_000_000;
const SLOW_START: Time = 10_000 * MS;
const QUERY_TIMEOUT: Time = 1_000 * MS;
/// Capacity of warm hosts, in queries per second.
const WARM_CAPACITY: f64 = 400.0;

/// Query counts during the slow start.
#[derive(Debug, Default)]
struct Outcome {
    offered: f64,
    complete: f64,
    /// Admitted, but timed out.
    timed_out: f64,
    /// When all gatherers were in full service.
    all_serving_at: Option<Time>,
    /// Offered queries of the most valuable class.
    most_valuable_offered: f64,
    /// Complete answers to queries of the most valuable class.
    most_valuable_complete: f64,
}

/// Simulates a number of gatherers. `load` and `cold_capacity` are shares of the warm capacity;
/// `feedback` is whether the gatherers learn the results of queries.
fn simulate(seed: u64, gatherers: usize, load: f64, cold_capacity: f64, feedback: bool) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let slow_start = SlowStart::new(0.2, SLOW_START, 2_000 * MS, &[1.0, 4.0]);
    let config = Config {
        peer_timeout: 500 * MS,
        discovery_timeout: 500 * MS,
        restart_window: 3_000 * MS,
        slow_start,
        query_timeout: QUERY_TIMEOUT,
    };
    let mut fleet: Vec<Recovery> = (0..gatherers)
        .map(|_| Recovery::new(config.clone(), [], 0))
        .collect();
    fleet
        .iter_mut()
        .for_each(|recovery| recovery.on_endpoints(true, true, 0));
    let (mut queue, mut budget, mut outcome) = (VecDeque::new(), 0.0, Outcome::default());
    let mut now = 0;
    while now < SLOW_START {
        now += 10 * MS;
        let capacity = WARM_CAPACITY
            * (cold_capacity + (1.0 - cold_capacity) * now as f64 / SLOW_START as f64);
        // Unused capacity does not accumulate.
        budget = (budget + capacity / 100.0).min(capacity / 100.0 + 1.0);
        while let Some(&(at, admitted, class)) = queue.front() {
            let complete = now <= admitted + QUERY_TIMEOUT;
            if complete && budget < 1.0 {
                break;
            }
            queue.pop_front();
            // Timed-out queries are dropped without using capacity.
            budget -= if complete { 1.0 } else { 0.0 };
            outcome.complete += if complete { 1.0 } else { 0.0 };
            outcome.timed_out += if complete { 0.0 } else { 1.0 };
            outcome.most_valuable_complete += if complete && class == 1 { 1.0 } else { 0.0 };
            if feedback {
                let recovery: &mut Recovery = &mut fleet[at];
                recovery.on_query_completed(
                    admitted,
                    QueryResult::new((now - admitted) as f64 / QUERY_TIMEOUT as f64, complete),
                    now,
                );
            }
        }
        let offered = WARM_CAPACITY * load / 100.0;
        let offered = offered as u64 + u64::from(rng.f64() < offered.fract());
        for _ in 0..offered {
            let (at, class) = (rng.usize(0..gatherers), rng.usize(0..2));
            outcome.offered += 1.0;
            outcome.most_valuable_offered += class as f64;
            if fleet[at].admit(class, rng.f64(), now) == Admission::Admitted {
                queue.push_back((at, now, class));
            }
        }
        fleet.iter_mut().for_each(|recovery| recovery.tick(now));
        if fleet
            .iter()
            .all(|recovery| recovery.phase() == Phase::Serving)
        {
            outcome.all_serving_at.get_or_insert(now);
        }
    }
    outcome
}

/// The load is 60 % of the warm capacity, and cold hosts have 80 % of it. By the configured minimum
/// alone, 40 % of all queries would be rejected needlessly over the ten seconds of the slow start.
/// More gatherers take longer, as each has fewer queries in its sample.
#[test]
fn admits_everything_soon_if_hosts_have_capacity() {
    for (seed, gatherers, min_complete, serving_by) in [
        (1, 3, 0.85, SLOW_START / 3),
        (2, 10, 0.75, SLOW_START / 2),
        (3, 30, 0.65, SLOW_START),
    ] {
        let outcome = simulate(seed, gatherers, 0.6, 0.8, true);
        assert!(
            outcome.complete > min_complete * outcome.offered && outcome.timed_out == 0.0,
            "{gatherers}: {outcome:?}"
        );
        assert!(
            outcome.all_serving_at.is_some_and(|at| at < serving_by),
            "{gatherers}: {outcome:?}"
        );
        let without_feedback = simulate(seed, gatherers, 0.6, 0.8, false);
        assert!(
            without_feedback.complete < 0.62 * without_feedback.offered
                && without_feedback
                    .all_serving_at
                    .is_none_or(|at| at >= SLOW_START),
            "{without_feedback:?}"
        );
    }
}

/// The load equals the warm capacity, and cold hosts have the configured 20 % of it. The admitted
/// load stays near the capacity, the most valuable class comes first, and few queries time out.
#[test]
fn does_not_overload_hosts_at_configured_capacity() {
    for (seed, gatherers) in [(1, 3), (2, 10), (3, 30)] {
        let outcome = simulate(seed, gatherers, 1.0, 0.2, true);
        // Over the slow start the hosts have capacity for 60 % of the load.
        assert!(
            outcome.complete > 0.5 * outcome.offered,
            "{gatherers}: {outcome:?}"
        );
        assert!(
            outcome.timed_out < 0.15 * outcome.offered,
            "{gatherers}: {outcome:?}"
        );
        assert!(
            outcome.most_valuable_complete > 0.75 * outcome.most_valuable_offered,
            "{gatherers}: {outcome:?}"
        );
    }
}
