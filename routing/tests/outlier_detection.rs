//! When failures reported by several routers cause a suspicion, and how long it lasts.

use compact_str::CompactString;
use routing::Millis;
use routing::outlier_detection::{OutlierDetector, is_within_ejection_limit};
use simulation::orders;

fn name(text: &str) -> CompactString {
    text.into()
}

fn record(
    detector: &mut OutlierDetector,
    reporter: &str,
    failures: u32,
    now: Millis,
) -> Option<Millis> {
    detector.record_failures(&name("i-1"), &name(reporter), failures, now)
}

#[test]
fn single_reporter_is_not_enough() {
    let mut detector = OutlierDetector::default();
    for now in 0..100 {
        assert_eq!(record(&mut detector, "n1", 50, 10 * now), None);
    }
}

#[test]
fn two_reporters_suffice_in_any_order() {
    for order in orders::all(&["n1", "n1", "n2", "n2"]) {
        let mut detector = OutlierDetector::default();
        let outcomes = order
            .iter()
            .map(|reporter| record(&mut detector, reporter, 1, 5));
        assert_eq!(
            outcomes.collect::<Vec<_>>(),
            [None, None, None, Some(1_000)],
            "{order:?}"
        );
    }
}

#[test]
fn ignores_failures_outside_window() {
    let mut detector = OutlierDetector::default();
    for (at, reporter) in ["n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"]
        .into_iter()
        .enumerate()
    {
        assert_eq!(record(&mut detector, reporter, 1, 700 * at as Millis), None);
    }
}

#[test]
fn consecutive_suspicions_double_up_to_maximum() {
    let mut detector = OutlierDetector::default();
    let mut now = 0;
    for expected in [1_000, 2_000, 4_000, 8_000, 8_000] {
        assert_eq!(record(&mut detector, "n1", 2, now), None);
        assert_eq!(record(&mut detector, "n2", 2, now), Some(expected));
        assert_eq!(
            record(&mut detector, "n2", 2, now + 1),
            None,
            "already suspected"
        );
        now += expected + 500;
    }
    now += 20_000;
    record(&mut detector, "n1", 2, now);
    assert_eq!(
        record(&mut detector, "n2", 2, now),
        Some(1_000),
        "a late suspicion is not consecutive"
    );
}

#[test]
fn prunes_inactive_backends() {
    let mut detector = OutlierDetector::default();
    record(&mut detector, "n1", 1, 0);
    detector.prune(1_000);
    assert_eq!(detector.len(), 1);
    detector.prune(60_000);
    assert!(detector.is_empty());
}

#[test]
fn enforces_ejection_limit() {
    assert!(is_within_ejection_limit(0, 0));
    assert!(is_within_ejection_limit(3, 10));
    assert!(!is_within_ejection_limit(4, 10));
    assert!(!is_within_ejection_limit(1, 2));
}
