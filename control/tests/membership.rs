//! The monitoring ring and the failure detector.

use compact_str::CompactString;
use control::failure_detector::FailureDetector;
use control::ring;
use std::collections::BTreeSet;

#[test]
fn each_member_has_few_monitors_and_a_removal_reassigns_few() {
    let names = |count: usize| -> BTreeSet<CompactString> {
        (0..count).map(|at| format!("n{at}").into()).collect()
    };
    for count in [2, 3, 11, 420] {
        let members = names(count);
        let mut monitored = 0;
        for name in &members {
            let monitors = ring::successors(&members, name, 3);
            assert_eq!(monitors.len(), 3.min(count - 1));
            assert!(!monitors.contains(name));
            for other in ring::monitored_by(&members, name, 3) {
                assert!(
                    ring::successors(&members, &other, 3).contains(name),
                    "{other} sends its heartbeats to {name}"
                );
                monitored += 1;
            }
        }
        assert_eq!(monitored, count * 3.min(count - 1));
    }
    let (before, mut after) = (names(420), names(420));
    after.remove("n7");
    let moved = after
        .iter()
        .filter(|name| ring::successors(&before, name, 3) != ring::successors(&after, name, 3));
    assert_eq!(
        moved.count(),
        3,
        "only members that the removed one monitored"
    );
}

#[test]
fn pause_of_the_observer_expires_no_heartbeat() {
    let mut detector = FailureDetector::new(0);
    detector.record_heartbeat("backend");
    detector.advance(200);
    // The observer is frozen for ten seconds.
    detector.advance(10_200);
    assert!(detector.expired(1_000).is_empty());
    for step in 1..=5 {
        detector.advance(10_200 + step * 200);
    }
    assert_eq!(detector.expired(1_000), vec!["backend"]);
    detector.record_heartbeat("backend");
    assert!(detector.expired(1_000).is_empty());
    detector.remove(&"backend");
    assert!(!detector.is_monitored(&"backend"));
}
