//! When several routers' evidence makes a backend suspected, and for how long.

use compact_str::CompactString;
use routing::Millis;
use routing::faults::{FaultEvidence, are_few_suspected};
use simulation::orders;

fn name(text: &str) -> CompactString {
    text.into()
}

fn report(
    evidence: &mut FaultEvidence,
    reporter: &str,
    faults: u32,
    now: Millis,
) -> Option<Millis> {
    evidence.report(&name("i-1"), &name(reporter), faults, now)
}

#[test]
fn one_router_alone_makes_nobody_suspected() {
    let mut evidence = FaultEvidence::default();
    for now in 0..100 {
        assert_eq!(report(&mut evidence, "n1", 50, 10 * now), None);
    }
}

#[test]
fn two_routers_with_two_faults_each_do_in_any_order() {
    for order in orders::all(&["n1", "n1", "n2", "n2"]) {
        let mut evidence = FaultEvidence::default();
        let outcomes = order
            .iter()
            .map(|reporter| report(&mut evidence, reporter, 1, 5));
        assert_eq!(
            outcomes.collect::<Vec<_>>(),
            [None, None, None, Some(1_000)],
            "{order:?}"
        );
    }
}

#[test]
fn faults_that_are_spread_over_a_long_time_do_not() {
    let mut evidence = FaultEvidence::default();
    for (at, reporter) in ["n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"]
        .into_iter()
        .enumerate()
    {
        assert_eq!(report(&mut evidence, reporter, 1, 700 * at as Millis), None);
    }
}

#[test]
fn a_suspicion_that_follows_soon_lasts_twice_as_long_up_to_a_bound() {
    let mut evidence = FaultEvidence::default();
    let mut now = 0;
    for expected in [1_000, 2_000, 4_000, 8_000, 8_000] {
        assert_eq!(report(&mut evidence, "n1", 2, now), None);
        assert_eq!(report(&mut evidence, "n2", 2, now), Some(expected));
        assert_eq!(
            report(&mut evidence, "n2", 2, now + 1),
            None,
            "it is suspected already"
        );
        now += expected + 500;
    }
    now += 20_000;
    report(&mut evidence, "n1", 2, now);
    assert_eq!(
        report(&mut evidence, "n2", 2, now),
        Some(1_000),
        "after a long time well"
    );
}

#[test]
fn what_is_quiet_is_forgotten() {
    let mut evidence = FaultEvidence::default();
    report(&mut evidence, "n1", 1, 0);
    evidence.forget_quiet(1_000);
    assert_eq!(evidence.len(), 1);
    evidence.forget_quiet(60_000);
    assert!(evidence.is_empty());
}

#[test]
fn suspicions_are_not_heeded_where_too_many_are_suspected() {
    assert!(are_few_suspected(0, 0));
    assert!(are_few_suspected(3, 10));
    assert!(!are_few_suspected(4, 10));
    assert!(!are_few_suspected(1, 2));
}
