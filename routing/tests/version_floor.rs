//! From when on older weights are used no more.

use routing::version_floor::VersionFloors;

const PATIENCE: u64 = 6_700;

#[test]
fn older_versions_may_be_used_for_a_while_and_then_no_more() {
    let mut floors = VersionFloors::default();
    assert_eq!(floors.least("m", 2, PATIENCE, 100), None);
    assert_eq!(floors.least("m", 2, PATIENCE, 99 + PATIENCE), None);
    assert_eq!(floors.least("m", 2, PATIENCE, 100 + PATIENCE), Some(2));
}

#[test]
fn a_version_named_meanwhile_has_a_time_of_its_own() {
    let mut floors = VersionFloors::default();
    floors.least("m", 2, PATIENCE, 0);
    assert_eq!(floors.least("m", 3, PATIENCE, 5_000), None);
    assert_eq!(floors.least("m", 3, PATIENCE, PATIENCE), None, "the time counts from when 3 was named");
    assert_eq!(floors.least("m", 3, PATIENCE, 5_000 + PATIENCE), Some(3));
}

#[test]
fn models_do_not_wait_for_each_other() {
    let mut floors = VersionFloors::default();
    floors.least("m", 2, PATIENCE, 0);
    assert_eq!(floors.least("n", 9, PATIENCE, PATIENCE), None);
    assert_eq!(floors.least("m", 2, PATIENCE, PATIENCE), Some(2));
}
