//! Decisions of the data plane: copies, repeats and choice.

use routing::budget::{Permitted, RetryBudget};
use routing::hedging::{CopyAllowance, LatencyEstimate};
use routing::prompt::Prompt;
use routing::selection::{Candidate, least_loaded};
use routing::split;

const MS: u64 = 1_000_000;

#[test]
fn the_timer_starts_at_a_share_of_the_objective_and_follows_the_recent_95th_percentile() {
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
fn copies_stay_under_one_in_ten_sends() {
    let mut allowance = CopyAllowance::default();
    let (mut sent, mut copied) = (0, 0);
    for _ in 0..10_000 {
        allowance.sent();
        sent += 1;
        // Every send is slow.
        if allowance.is_left() {
            allowance.take();
            copied += 1;
        }
    }
    assert!(copied <= sent / 10 + 1, "{copied} copies of {sent}");
}

/// Five routers that send on everything they may, in any window: the sum stays within what is
/// permitted.
#[test]
fn repeats_of_all_routers_together_stay_within_the_budget() {
    let permitted = Permitted {
        ratio: 0.2,
        slack: 50.0,
        window: 10_000,
    };
    let routers = 5;
    let mut budgets: Vec<RetryBudget> = (0..routers)
        .map(|_| RetryBudget::new(permitted, 0))
        .collect();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    let mut rng = fastrand::Rng::with_seed(1);
    for now in 0..60_000_u64 {
        // A pause in the middle: the repeats must not go on with it.
        if !(25_000..35_000).contains(&now) && rng.u8(0..10) == 0 {
            budgets[rng.usize(0..routers)].request(now);
            requests.push(now);
        }
        let at = rng.usize(0..routers);
        if budgets[at].take(routers, 0.0, now) {
            repeats.push(now);
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
        assert!(within(&repeats, end) as f64 <= most, "at {end}");
    }
    assert!(repeats.len() > 100, "the budget is used: {}", repeats.len());
}

#[test]
fn a_router_that_has_just_started_uses_no_slack() {
    let permitted = Permitted {
        ratio: 0.2,
        slack: 50.0,
        window: 10_000,
    };
    let mut budget = RetryBudget::new(permitted, 0);
    assert!(
        !budget.take(5, 0.0, 9_999),
        "what its former process used is unknown"
    );
    assert!(budget.take(5, 0.0, 10_001));
}

#[test]
fn copies_leave_a_part_of_the_budget_to_failures() {
    let permitted = Permitted {
        ratio: 0.0,
        slack: 10.0,
        window: 1_000,
    };
    let mut budget = RetryBudget::new(permitted, 0);
    let copies = (0..20).filter(|_| budget.take(1, 0.5, 2_000)).count();
    let failures = (0..20).filter(|_| budget.take(1, 0.0, 2_000)).count();
    assert_eq!((copies, failures), (4, 4));
}

#[test]
fn first_sends_go_to_the_least_loaded_and_ties_fall_at_random() {
    let mut rng = fastrand::Rng::with_seed(3);
    let candidate = |load: f64, avoided: bool| Candidate { load, avoided };
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
        "neither the busy one nor the avoided one"
    );
    assert!(chosen[1] > 400 && chosen[2] > 400, "{chosen:?}");
    let all_avoided = [candidate(2.0, true), candidate(1.0, true)];
    assert_eq!(
        least_loaded(&all_avoided, &mut rng),
        Some(1),
        "where all are doubtful they are used all the same"
    );
    assert_eq!(least_loaded(&[], &mut rng), None);
}

#[test]
fn a_split_follows_its_weights() {
    let mut rng = fastrand::Rng::with_seed(5);
    let hits = (0..10_000)
        .filter(|_| split::choose(&[90, 10], &mut rng) == Some(1))
        .count();
    assert!((800..1_200).contains(&hits), "{hits}");
    assert_eq!(split::choose(&[0, 5, 0], &mut rng), Some(1));
    assert_eq!(split::choose(&[0, 0], &mut rng), None);
}

#[test]
fn a_prompt_is_read_from_what_a_request_says() {
    let prompt = Prompt::read(
        Some("m"),
        Some("5c1e:800,91bd:410,e440:250"),
        Some("1460,80"),
    )
    .unwrap();
    assert_eq!((prompt.parts.len(), prompt.shared().len()), (3, 2));
    assert_eq!((prompt.tokens_in, prompt.tokens_out), (1_460, 80));
    let odd = Prompt::read(Some("m"), Some("x,y:z,a:5"), Some("no")).unwrap();
    assert_eq!(
        (odd.parts.len(), odd.tokens_in),
        (1, 5),
        "what makes no sense is left out"
    );
    assert_eq!(Prompt::read(None, Some("a:5"), None), None);
}
