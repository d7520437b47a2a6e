//! Tests of `bearing`.

use super::*;

/// So many queries are taken, and some of them end easily, and some short.
fn play(capacity: &mut CapacityEstimate, at: Time, taken: u32, fast: u32, failed: u32) -> f64 {
    (0..taken).for_each(|_| capacity.on_admitted(at));
    (0..fast).for_each(|_| capacity.on_completed(at, QueryResult::Fast, at + 10));
    (0..failed).for_each(|_| capacity.on_completed(at, QueryResult::Failed, at + 10));
    (capacity.share() * 1000.0).round() / 1000.0
}

#[test]
fn share_follows_results_of_first_admitted_queries() {
    let mut capacity = CapacityEstimate::new(0.2, 500, 100);
    assert_eq!(
        play(&mut capacity, 99, 0, 30, 0),
        0.2,
        "taken before this share was"
    );
    assert_eq!(
        play(&mut capacity, 100, 8, 7, 0),
        0.2,
        "one is still out, and may be late"
    );
    assert_eq!(
        play(&mut capacity, 101, 40, 40, 0),
        0.2,
        "others that were quicker say nothing of it"
    );
    capacity.on_completed(100, QueryResult::Fast, 120);
    assert_eq!(capacity.share(), 0.4);
    assert_eq!(
        play(&mut capacity, 130, 8, 7, 1),
        0.4,
        "neither borne nor too much"
    );
    assert_eq!(
        play(&mut capacity, 150, 4, 1, 2),
        0.3,
        "too much is known before all have ended"
    );
    play(&mut capacity, 170, 8, 7, 0);
    capacity.on_completed(170, QueryResult::Complete, 180);
    assert!(
        capacity.share() < 0.31,
        "one that only just came is a queue that begins"
    );
    // Clients that leave keep no verdict from being drawn.
    assert_eq!(play(&mut capacity, 190, 8, 3, 0), 0.3);
    assert_eq!(capacity.due(), Some(690));
    capacity.evaluate(690);
    assert_eq!(capacity.due(), None);
    for at in 0..3 {
        assert!(!capacity.is_proven());
        play(&mut capacity, 700 + 20 * at, 8, 8, 0);
    }
    assert!(capacity.is_proven() && capacity.share() == 1.0);
    for at in 0..99 {
        play(&mut capacity, 1000 + 20 * at, 8, 0, 8);
    }
    assert_eq!(
        capacity.share(),
        0.125,
        "a few are always taken: else nothing would be seen to be borne"
    );
    assert_eq!(CapacityEstimate::new(0.0, 0, 0).share(), 0.125);
    assert_eq!(
        [0.5, 0.6].map(|spent| QueryResult::new(spent, true)),
        [QueryResult::Fast, QueryResult::Complete]
    );
}
