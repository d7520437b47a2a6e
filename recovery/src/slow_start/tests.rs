//! Tests of `ramp`.

use super::*;

const S: Time = 1_000_000_000;

#[test]
fn admits_classes_by_value_within_capacity() {
    let slow_start = SlowStart::new(0.2, 10 * S, 4 * S, &[1.0, 5.0, 2.0]);
    let parts = |after| {
        [1, 2, 0].map(|class| slow_start.class_share(class, slow_start.capacity_share(after)))
    };
    assert_eq!(parts(0), [0.6000000000000001, 0.0, 0.0]);
    for tenth in 0..100 {
        let after = tenth * S / 10;
        let parts = parts(after);
        assert!(parts[0] >= parts[1] && parts[1] >= parts[2], "{parts:?}");
        // Classes that ask alike make up what the hosts bear, and no more.
        let taken: f64 = parts.iter().sum::<f64>() / 3.0;
        assert!((taken - slow_start.capacity_share(after)).abs() < 1e-9);
    }
    assert_eq!(parts(10 * S), [1.0; 3]);
    assert_eq!(
        slow_start.class_share(7, 0.2),
        0.0,
        "a class that nobody knew goes last"
    );
}

#[test]
fn retry_times_are_bounded_and_spread() {
    let slow_start = SlowStart::new(0.2, 10 * S, 4 * S, &[1.0, 5.0, 2.0]);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut waits = Vec::new();
    for _ in 0..1000 {
        // A draw that is refused lies above the part that is taken.
        match slow_start.admit(0, S, 0.0, rng.f64()) {
            Admission::RetryAfter(wait) => waits.push(wait),
            Admission::Admitted => panic!("the least class has no turn yet"),
        }
    }
    waits.sort_unstable();
    assert!(waits[0] >= 2 * S && waits[999] <= 4 * S);
    let most_in_a_tenth = waits.windows(150).map(|w| w[149] - w[0]).min().unwrap();
    assert!(
        most_in_a_tenth > S / 5,
        "150 of 1000 within {most_in_a_tenth} ns"
    );
    assert_eq!(slow_start.admit(1, 3 * S, 0.0, 0.99), Admission::Admitted);
    assert_eq!(
        slow_start.admit(0, S, 1.0, 0.99),
        Admission::Admitted,
        "seen to be borne"
    );
    assert_eq!(
        SlowStart::new(1.0, 0, S, &[1.0]).admit(0, 0, 0.0, 0.99),
        Admission::Admitted
    );
}
