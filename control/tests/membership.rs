//! The ring of monitors, and silence in counted time.

use compact_str::CompactString;
use control::failure_detector::FailureDetector;
use control::ring;
use std::collections::BTreeSet;

#[test]
fn each_member_has_a_few_monitors_whatever_the_size_and_a_change_moves_few_of_them() {
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
    assert_eq!(moved.count(), 3, "only those that had the one that is gone");
}

#[test]
fn time_in_which_the_observer_stood_still_is_no_silence() {
    let mut silence = FailureDetector::new(0);
    silence.record_heartbeat("backend");
    silence.advance(200);
    // The observer was frozen for ten seconds.
    silence.advance(10_200);
    assert!(silence.expired(1_000).is_empty());
    for step in 1..=5 {
        silence.advance(10_200 + step * 200);
    }
    assert_eq!(silence.expired(1_000), vec!["backend"]);
    silence.record_heartbeat("backend");
    assert!(silence.expired(1_000).is_empty());
    silence.remove(&"backend");
    assert!(!silence.is_monitored(&"backend"));
}
