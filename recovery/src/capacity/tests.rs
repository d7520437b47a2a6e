//! Tests of `capacity`.

use super::*;

/// Admits queries and completes some of them as fast or failed. Returns the share, rounded.
fn observe(
    capacity: &mut CapacityEstimate,
    at: Time,
    admitted: u32,
    fast: u32,
    failed: u32,
) -> f64 {
    (0..admitted).for_each(|_| capacity.on_admitted(at));
    (0..fast).for_each(|_| capacity.on_completed(at, QueryResult::Fast, at + 10));
    (0..failed).for_each(|_| capacity.on_completed(at, QueryResult::Failed, at + 10));
    (capacity.share() * 1000.0).round() / 1000.0
}

#[test]
fn share_follows_results_of_first_admitted_queries() {
    let mut capacity = CapacityEstimate::new(0.2, 500, 100);
    assert_eq!(
        observe(&mut capacity, 99, 0, 30, 0),
        0.2,
        "queries admitted before the sample do not count"
    );
    assert_eq!(
        observe(&mut capacity, 100, 8, 7, 0),
        0.2,
        "one result of the sample is missing, and may be slow"
    );
    assert_eq!(
        observe(&mut capacity, 101, 40, 40, 0),
        0.2,
        "later, faster queries do not replace it"
    );
    capacity.on_completed(100, QueryResult::Fast, 120);
    assert_eq!(capacity.share(), 0.4);
    assert_eq!(
        observe(&mut capacity, 130, 8, 7, 1),
        0.4,
        "neither all fast nor enough failures"
    );
    assert_eq!(
        observe(&mut capacity, 150, 4, 1, 2),
        0.3,
        "two failures suffice before the sample is complete"
    );
    observe(&mut capacity, 170, 8, 7, 0);
    capacity.on_completed(170, QueryResult::Complete, 180);
    assert!(
        capacity.share() < 0.31,
        "a slow answer shows that hosts begin to queue"
    );
    // Missing results of disconnected clients delay the evaluation only up to the time-out.
    assert_eq!(observe(&mut capacity, 190, 8, 3, 0), 0.3);
    assert_eq!(capacity.due(), Some(690));
    capacity.evaluate(690);
    assert_eq!(capacity.due(), None);
    for at in 0..3 {
        assert!(!capacity.is_proven());
        observe(&mut capacity, 700 + 20 * at, 8, 8, 0);
    }
    assert!(capacity.is_proven() && capacity.share() == 1.0);
    for at in 0..99 {
        observe(&mut capacity, 1000 + 20 * at, 8, 0, 8);
    }
    assert_eq!(
        capacity.share(),
        0.125,
        "a minimum of queries is admitted, so that samples get complete"
    );
    assert_eq!(CapacityEstimate::new(0.0, 0, 0).share(), 0.125);
    assert_eq!(
        [0.5, 0.6].map(|spent| QueryResult::new(spent, true)),
        [QueryResult::Fast, QueryResult::Complete]
    );
}
