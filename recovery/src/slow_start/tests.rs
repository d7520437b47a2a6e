//! Tests of `slow_start`.

use super::*;

const S: Time = 1_000_000_000;

#[test]
fn admits_classes_by_value_within_capacity() {
    let slow_start = SlowStart::new(0.2, 10 * S, 4 * S, &[1.0, 5.0, 2.0]);
    let shares = |elapsed| {
        [1, 2, 0].map(|class| slow_start.class_share(class, slow_start.capacity_share(elapsed)))
    };
    assert_eq!(shares(0), [0.6000000000000001, 0.0, 0.0]);
    for tenth in 0..100 {
        let elapsed = tenth * S / 10;
        let shares = shares(elapsed);
        assert!(
            shares[0] >= shares[1] && shares[1] >= shares[2],
            "{shares:?}"
        );
        // With equal load from each class, the admitted queries add up to the capacity.
        let admitted: f64 = shares.iter().sum::<f64>() / 3.0;
        assert!((admitted - slow_start.capacity_share(elapsed)).abs() < 1e-9);
    }
    assert_eq!(shares(10 * S), [1.0; 3]);
    assert_eq!(
        slow_start.class_share(7, 0.2),
        0.0,
        "an unknown class ranks last"
    );
}

#[test]
fn retry_times_are_bounded_and_spread() {
    let slow_start = SlowStart::new(0.2, 10 * S, 4 * S, &[1.0, 5.0, 2.0]);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut waits = Vec::new();
    for _ in 0..1000 {
        // The jitter reuses the random number, which lies above the admitted share in rejections.
        match slow_start.admit(0, S, 0.0, rng.f64()) {
            Admission::RetryAfter(wait) => waits.push(wait),
            Admission::Admitted => panic!("the lowest-ranked class must not be admitted yet"),
        }
    }
    waits.sort_unstable();
    assert!(waits[0] >= 2 * S && waits[999] <= 4 * S);
    let densest_span = waits.windows(150).map(|w| w[149] - w[0]).min().unwrap();
    assert!(
        densest_span > S / 5,
        "150 of 1000 retries within {densest_span} ns"
    );
    assert_eq!(slow_start.admit(1, 3 * S, 0.0, 0.99), Admission::Admitted);
    assert_eq!(
        slow_start.admit(0, S, 1.0, 0.99),
        Admission::Admitted,
        "the estimated capacity admits all classes"
    );
    assert_eq!(
        SlowStart::new(1.0, 0, S, &[1.0]).admit(0, 0, 0.0, 0.99),
        Admission::Admitted
    );
}
