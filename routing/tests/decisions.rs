//! Decisions of the data plane: hedges, retries and choice.

use routing::hedging::{HedgeBudget, LatencyEstimate};
use routing::prompt::Prompt;
use routing::retry_budget::{RetryBudget, RetryLimits};
use routing::selection::{Candidate, least_loaded};
use routing::traffic_split::choose_weighted;

const MS: u64 = 1_000_000;

#[test]
fn hedge_delay_follows_recent_p95() {
    let mut pace = LatencyEstimate::starting(1_000 * MS);
    assert_eq!(pace.p95, 300.0 * MS as f64);
    for took in 1..=100 {
        pace.add(took * MS);
    }
    assert_eq!(
        pace.p95,
        96.0 * MS as f64,
        "of the last 96 answers: 5 to 100 ms"
    );
    for _ in 0..96 {
        pace.add(7 * MS);
    }
    assert_eq!(pace.p95, 7.0 * MS as f64, "what is older is forgotten");
}

#[test]
fn hedges_stay_under_ten_percent() {
    let mut budget = HedgeBudget::default();
    let (mut sent, mut hedged) = (0, 0);
    for _ in 0..10_000 {
        budget.deposit();
        sent += 1;
        // Every send is slow.
        if budget.is_available() {
            budget.withdraw();
            hedged += 1;
        }
    }
    assert!(hedged <= sent / 10 + 1, "{hedged} hedges of {sent}");
}

/// Five routers that send on everything they may, in any window: the sum stays within what is
/// permitted.
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
        // A pause in the middle: the retries must not go on with it.
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
        "what its former process used is unknown"
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

#[test]
fn picks_least_loaded_and_breaks_ties_randomly() {
    let mut rng = fastrand::Rng::with_seed(3);
    let candidate = |load: f64, is_last_resort: bool| Candidate {
        load,
        is_last_resort,
    };
    let loads = [
        candidate(5.0, false),
        candidate(1.0, false),
        candidate(1.0, false),
        candidate(0.0, true),
    ];
    let mut chosen = [0; 4];
    for _ in 0..1_000 {
        chosen[least_loaded(&loads, &mut rng).unwrap()] += 1;
    }
    assert_eq!(
        (chosen[0], chosen[3]),
        (0, 0),
        "neither the busy one nor the last resort"
    );
    assert!(chosen[1] > 400 && chosen[2] > 400, "{chosen:?}");
    let all_last_resorts = [candidate(2.0, true), candidate(1.0, true)];
    assert_eq!(
        least_loaded(&all_last_resorts, &mut rng),
        Some(1),
        "last resorts are used if there is nothing else"
    );
    assert_eq!(least_loaded(&[], &mut rng), None);
}

#[test]
fn traffic_split_follows_weights() {
    let mut rng = fastrand::Rng::with_seed(5);
    let hits = (0..10_000)
        .filter(|_| choose_weighted(&[90, 10], &mut rng) == Some(1))
        .count();
    assert!((800..1_200).contains(&hits), "{hits}");
    assert_eq!(choose_weighted(&[0, 5, 0], &mut rng), Some(1));
    assert_eq!(choose_weighted(&[0, 0], &mut rng), None);
}

#[test]
fn parses_prompt_headers() {
    let prompt = Prompt::from_headers(
        Some("m"),
        Some("5c1e:800,91bd:410,e440:250"),
        Some("1460,80"),
    )
    .unwrap();
    assert_eq!(
        (prompt.segments.len(), prompt.shared_segments().len()),
        (3, 2)
    );
    assert_eq!((prompt.input_tokens, prompt.max_output_tokens), (1_460, 80));
    let malformed = Prompt::from_headers(Some("m"), Some("x,y:z,a:5"), Some("no")).unwrap();
    assert_eq!(
        (malformed.segments.len(), malformed.input_tokens),
        (1, 5),
        "malformed segments and counts are skipped"
    );
    assert_eq!(Prompt::from_headers(None, Some("a:5"), None), None);
}
