//! The delay and the number of hedged requests.

use routing::hedging::{HedgeBudget, LatencyEstimate};

const MS: u64 = 1_000_000;

#[test]
fn hedge_delay_follows_recent_p95() {
    let mut estimate = LatencyEstimate::starting(1_000 * MS);
    assert_eq!(estimate.p95, 300.0 * MS as f64);
    for took in 1..=100 {
        estimate.add(took * MS);
    }
    assert_eq!(
        estimate.p95,
        96.0 * MS as f64,
        "of the last 96 latencies, 5 to 100 ms"
    );
    for _ in 0..96 {
        estimate.add(7 * MS);
    }
    assert_eq!(estimate.p95, 7.0 * MS as f64, "older latencies are dropped");
}

#[test]
fn hedges_stay_under_ten_percent() {
    let mut budget = HedgeBudget::default();
    let (mut sent, mut hedged) = (0, 0);
    for _ in 0..10_000 {
        budget.deposit();
        sent += 1;
        // Every request is slow enough to be hedged.
        if budget.is_available() {
            budget.withdraw();
            hedged += 1;
        }
    }
    assert!(hedged <= sent / 10 + 1, "{hedged} hedges of {sent}");
}
