//! Tests of the failure detector.

use super::*;

#[test]
fn expires_only_observed_and_not_autonomous_gatherers() {
    let mut detector = FailureDetector::default();
    let autonomous = BTreeSet::from(["k".to_owned()]);
    detector.observe([("a", 1), ("b", 2), ("k", 3)].into_iter(), 100);
    detector.observe([("a", 1), ("b", 9), ("k", 3)].into_iter(), 150);
    let expired = |detector: &FailureDetector, now| {
        detector
            .expired(60, &autonomous, now)
            .map(|(n, r)| (n.to_owned(), r))
            .collect::<Vec<_>>()
    };
    assert_eq!(expired(&detector, 159), []);
    assert_eq!(expired(&detector, 160), [("a".to_owned(), 1)]);
    assert_eq!(
        expired(&detector, 210),
        [("a".to_owned(), 1), ("b".to_owned(), 9)]
    );
    assert_eq!(detector.next_expiry(60), Some(160));
    // After a change of owners the time-outs restart.
    detector.clear();
    detector.observe([("a", 1)].into_iter(), 300);
    assert_eq!(expired(&detector, 359), []);
}
