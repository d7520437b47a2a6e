//! Which idle connections are trusted after some were found forgotten.

use routing::rest::TrustedRest;

#[test]
fn all_are_trusted_until_one_was_forgotten() {
    let trusted = TrustedRest::default();
    assert!(trusted.allows(60_000, 0));
}

#[test]
fn after_one_was_forgotten_only_those_that_rested_for_less() {
    let mut trusted = TrustedRest::default();
    trusted.was_too_long(400, 1_000);
    assert!(trusted.allows(200, 1_000));
    assert!(!trusted.allows(201, 1_000));
    trusted.was_too_long(900, 2_000);
    assert!(
        !trusted.allows(201, 2_000),
        "a longer rest takes nothing back"
    );
    trusted.was_too_long(10, 3_000);
    assert!(trusted.allows(50, 3_000), "there is a least rest");
    assert!(!trusted.allows(51, 3_000));
}

#[test]
fn after_a_while_without_another_one_all_are_trusted_again() {
    let mut trusted = TrustedRest::default();
    trusted.was_too_long(400, 1_000);
    assert!(!trusted.allows(1_000, 30_999));
    assert!(trusted.allows(1_000, 31_000));
    trusted.was_too_long(2_000, 40_000);
    assert!(
        trusted.allows(1_000, 40_000),
        "what was learned before has ended"
    );
}
