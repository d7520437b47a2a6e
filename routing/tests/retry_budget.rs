//! The retry budget of a service, over all routers.

use routing::retry_budget::{RetryBudget, RetryLimits};

#[test]
fn retries_of_all_routers_stay_within_budget() {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 50.0,
        window: 10_000,
    };
    let routers = 5;
    let mut budgets: Vec<RetryBudget> = (0..routers).map(|_| RetryBudget::new(limits, 0)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut rng = fastrand::Rng::with_seed(1);
    for now in 0..60_000_u64 {
        // During a pause of requests retries must stop too.
        if !(25_000..35_000).contains(&now) && rng.u8(0..10) == 0 {
            budgets[rng.usize(0..routers)].deposit(now);
            requests.push(now);
        }
        let at = rng.usize(0..routers);
        if budgets[at].try_withdraw(routers, 0.0, now) {
            retries.push(now);
        }
    }
    for end in (10_000..60_000).step_by(500) {
        let within = |times: &[u64], end: u64| {
            times
                .iter()
                .filter(|at| **at <= end && **at + 10_000 > end)
                .count()
        };
        let counted = [end, end - 5_000, end - 10_000]
            .map(|end| within(&requests, end))
            .into_iter()
            .max();
        let most = 0.2 * counted.unwrap_or(0) as f64 + 50.0;
        assert!(within(&retries, end) as f64 <= most, "at {end}");
    }
    assert!(retries.len() > 100, "the budget is used: {}", retries.len());
}

#[test]
fn no_slack_in_first_window() {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 50.0,
        window: 10_000,
    };
    let mut budget = RetryBudget::new(limits, 0);
    assert!(
        !budget.try_withdraw(5, 0.0, 9_999),
        "the retries of the previous process are unknown"
    );
    assert!(budget.try_withdraw(5, 0.0, 10_001));
}

#[test]
fn hedges_leave_reserved_budget() {
    let limits = RetryLimits {
        ratio: 0.0,
        slack: 10.0,
        window: 1_000,
    };
    let mut budget = RetryBudget::new(limits, 0);
    let hedges = (0..20)
        .filter(|_| budget.try_withdraw(1, 0.5, 2_000))
        .count();
    let failures = (0..20)
        .filter(|_| budget.try_withdraw(1, 0.0, 2_000))
        .count();
    assert_eq!((hedges, failures), (4, 4));
}
