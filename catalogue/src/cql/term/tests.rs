//! Tests of `cql::term`.

use super::*;

#[test]
fn distinguishes_masks_and_anchors_from_literal_characters() {
    let cases = [
        ("moon", Mask::None),
        ("moon*", Mask::Right),
        ("*moon", Mask::Left),
        ("*moon*", Mask::Both),
        ("mo?n", Mask::Inside),
        ("m*n*", Mask::Inside),
        (r"what\?", Mask::None),
        (r"5\*", Mask::None),
    ];
    for (term, mask) in cases {
        assert_eq!(parse(term).mask(), mask, "{term}");
    }
    assert_eq!(parse(r"what\? mo?n*").z3958(), "what? mo#n?");
    let anchored = parse("^the moon^");
    assert_eq!(
        (
            anchored.anchored_start,
            anchored.anchored_end,
            anchored.plain()
        ),
        (true, true, "the moon".to_owned())
    );
    for text in ["a*b", "^x", r"back\slash", "what?"] {
        assert_eq!(
            parse(&literal(text)),
            ParsedTerm {
                fragments: vec![Fragment::Text(text.into())],
                anchored_start: false,
                anchored_end: false
            }
        );
    }
}
