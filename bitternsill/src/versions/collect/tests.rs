//! Tests of `versions::collect`.

use super::*;

#[test]
fn file_names_round_trip_for_any_gatherer_name() {
    for name in ["g1", "../../etc/passwd", "a.b c", "größe", ""] {
        let segment = SegmentName {
            gatherer: name.to_owned(),
            log: 0xfeed_0000_0000_0007,
            segment: 12,
        };
        let file = segment.to_file_name();
        let file = file.to_str().unwrap();
        assert!(!file.contains('/') && !file.starts_with(".."), "{file}");
        assert_eq!(SegmentName::parse(file), Some(segment));
    }
    assert_eq!(SegmentName::parse("g1.000000.trail"), None);
    assert_eq!(complete_utf8("aü".as_bytes()[..2].to_vec()), "a");
}
