//! Tests of `record::marc`.

use super::*;
use crate::record::tree;

fn sample() -> Marc {
    let mut marc = Marc::default();
    marc.control.push(("001".into(), "c-17".into()));
    marc.add("100", "1 ", 'a', "Häse, A.");
    marc.add("245", "10", 'a', "The <Moon>");
    marc.data[1].subfields.push(('b', "a \"book\"".into()));
    marc
}

#[test]
fn exchange_format_and_marcxml_round_trip() {
    let marc = sample();
    let bytes = marc.to_bytes().unwrap();
    let mut back = Marc::from_bytes(&bytes).unwrap();
    assert_eq!(
        back.to_bytes().unwrap(),
        bytes,
        "decoding and encoding again changes nothing"
    );
    back.leader.clear();
    assert_eq!(back, marc);
    let xml = Marc::from_xml(&tree::read(&marc.to_xml()).unwrap()).unwrap();
    assert_eq!((xml.control, xml.data), (marc.control, marc.data));
}

/// Any truncated record is refused. A record with a changed byte is refused or read without access
/// beyond its end.
#[test]
fn corrupted_records_are_refused_or_read_within_bounds() {
    let bytes = sample().to_bytes().unwrap();
    for cut in 0..bytes.len() {
        assert!(Marc::from_bytes(&bytes[..cut]).is_err(), "{cut}");
    }
    for at in 0..bytes.len() {
        for value in [0, b'9', 0x1e, 0xff] {
            let mut corrupted = bytes.clone();
            corrupted[at] = value;
            let _ = Marc::from_bytes(&corrupted);
        }
    }
    let mut long = sample();
    long.add("520", "  ", 'a', &"x".repeat(10_000));
    assert_eq!(long.to_bytes(), Err(RecordError::TooLong));
}
