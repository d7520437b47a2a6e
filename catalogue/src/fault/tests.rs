//! Tests of `fault`.

use super::*;

/// A number read from one protocol must come out as that number again where it is passed on in
/// the same one.
#[test]
fn numbers_survive_the_way_through() {
    for number in 1..300 {
        assert_eq!(Kind::from_bib1(number).bib1, number);
        assert_eq!(Kind::from_sru(number).sru, number);
    }
    assert_eq!(Kind::from_sru(16), Kind::INDEX);
    assert_eq!(Kind::from_bib1(114), Kind::INDEX);
    assert!(KINDS.iter().all(|(_, words)| !words.is_empty()));
    assert!(Kind::from_bib1(2).is_server_fault() && !Kind::INDEX.is_server_fault());
    assert!(
        !Kind::from_bib1(999).is_server_fault(),
        "what is not understood is no reason to ask again"
    );
}
