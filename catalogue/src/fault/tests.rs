//! Tests of `fault`.

use super::*;

/// A number read from a protocol must be written unchanged in the same protocol.
#[test]
fn diagnostic_numbers_round_trip_in_each_protocol() {
    for number in 1..300 {
        assert_eq!(Kind::from_bib1(number).bib1, number);
        assert_eq!(Kind::from_sru(number).sru, number);
    }
    assert_eq!(Kind::from_sru(16), Kind::INDEX);
    assert_eq!(Kind::from_bib1(114), Kind::INDEX);
    assert!(KINDS.iter().all(|(_, message)| !message.is_empty()));
    assert!(Kind::from_bib1(2).is_server_fault() && !Kind::INDEX.is_server_fault());
    assert!(
        !Kind::from_bib1(999).is_server_fault(),
        "an unknown diagnostic is not retried"
    );
}
