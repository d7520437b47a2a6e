//! Tests of `ramp`.

use super::*;

const S: Time = 1_000_000_000;

#[test]
fn classes_come_back_by_worth_and_no_more_is_taken_than_hosts_bear() {
    let ramp = Ramp::new(0.2, 10 * S, 4 * S, &[1.0, 5.0, 2.0]);
    let parts = |after| [1, 2, 0].map(|class| ramp.part(class, ramp.share(after)));
    assert_eq!(parts(0), [0.6000000000000001, 0.0, 0.0]);
    for tenth in 0..100 {
        let after = tenth * S / 10;
        let parts = parts(after);
        assert!(parts[0] >= parts[1] && parts[1] >= parts[2], "{parts:?}");
        // Classes that ask alike make up what the hosts bear, and no more.
        let taken: f64 = parts.iter().sum::<f64>() / 3.0;
        assert!((taken - ramp.share(after)).abs() < 1e-9);
    }
    assert_eq!(parts(10 * S), [1.0; 3]);
    assert_eq!(ramp.part(7, 0.2), 0.0, "a class that nobody knew goes last");
}

#[test]
fn clients_are_told_to_come_within_the_bound_and_not_all_at_one_moment() {
    let ramp = Ramp::new(0.2, 10 * S, 4 * S, &[1.0, 5.0, 2.0]);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut waits = Vec::new();
    for _ in 0..1000 {
        // A draw that is refused lies above the part that is taken.
        match ramp.admit(0, S, 0.0, rng.f64()) {
            Turn::Later(wait) => waits.push(wait),
            Turn::Taken => panic!("the least class has no turn yet"),
        }
    }
    waits.sort_unstable();
    assert!(waits[0] >= 2 * S && waits[999] <= 4 * S);
    let most_in_a_tenth = waits.windows(150).map(|w| w[149] - w[0]).min().unwrap();
    assert!(
        most_in_a_tenth > S / 5,
        "150 of 1000 within {most_in_a_tenth} ns"
    );
    assert_eq!(ramp.admit(1, 3 * S, 0.0, 0.99), Turn::Taken);
    assert_eq!(ramp.admit(0, S, 1.0, 0.99), Turn::Taken, "seen to be borne");
    assert_eq!(
        Ramp::new(1.0, 0, S, &[1.0]).admit(0, 0, 0.0, 0.99),
        Turn::Taken
    );
}
