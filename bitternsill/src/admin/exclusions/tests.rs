//! Tests of `admin::exclusions`.

use super::*;

#[test]
fn merge_converges_in_any_order() {
    // Four changes of two processes give the same map in every order of arrival.
    let changes = [
        ("a", true, 5),
        ("b", true, 6),
        ("a", false, 7),
        ("b", false, 6),
    ];
    let mut seen = Vec::new();
    for mut order in 0..24usize {
        let mut left: Vec<_> = changes.to_vec();
        let (mut one, mut two) = (Exclusions::new(8), Exclusions::new(8));
        for n in (1..=4).rev() {
            let (uid, excluded, stamp) = left.remove(order % n);
            order /= n;
            let mut lone = Exclusions::new(8);
            lone.set(uid, excluded, stamp).unwrap();
            if n % 2 == 0 {
                one.merge(&lone)
            } else {
                two.merge(&lone)
            };
        }
        let before = one.clone();
        one.merge(&two);
        two.merge(&before);
        assert_eq!(one, two);
        seen.push(one);
    }
    assert!(seen.windows(2).all(|w| w[0] == w[1]));
    assert!(!seen[0].is_excluded("a"), "the later change wins");
}

#[test]
fn backward_clock_does_not_undo_change() {
    let mut exclusions = Exclusions::new(8);
    exclusions.set("a", true, 1_000).unwrap();
    let mut other = exclusions.clone();
    other.set("a", false, 10).unwrap();
    assert!(exclusions.merge(&other) && !exclusions.is_excluded("a"));
}

#[test]
fn rejects_truncated_or_changed_file() {
    let mut exclusions = Exclusions::new(8);
    exclusions.set("s-1", true, 1).unwrap();
    exclusions.set("s-2", false, 2).unwrap();
    let text = exclusions.encode("n1").into_bytes();
    assert_eq!(Exclusions::decode(&text, "n1", 8), Ok(exclusions));
    for at in 0..text.len() {
        assert_eq!(
            Exclusions::decode(&text[..at], "n1", 8),
            Err(DecodeError::Corrupt),
            "cut at {at}"
        );
        let mut changed = text.clone();
        changed[at] ^= 1;
        assert_eq!(
            Exclusions::decode(&changed, "n1", 8),
            Err(DecodeError::Corrupt),
            "changed at {at}"
        );
    }
    assert_eq!(
        Exclusions::decode(&text, "n2", 8),
        Err(DecodeError::OtherGatherer("n1".into()))
    );
}

#[test]
fn capacity_evicts_included_hosts_first() {
    let mut exclusions = Exclusions::new(2);
    exclusions.set("a", true, 1).unwrap();
    exclusions.set("b", true, 2).unwrap();
    assert_eq!(exclusions.set("c", true, 3), Err(TooManyExclusions));
    exclusions.set("a", false, 4).unwrap();
    exclusions.set("c", true, 5).unwrap();
    assert_eq!(exclusions.excluded().collect::<Vec<_>>(), ["b", "c"]);
    exclusions.set("b", false, 6).unwrap();
    exclusions.drop_old_inclusions(100, 50);
    assert_eq!(
        exclusions.changes.len(),
        1,
        "the included host is old enough to be dropped"
    );
}

/// A file as written by the previous release.
const STORED: &str = "d80a412a\n{\"gatherer\":\"g\",\"hosts\":[{\"out\":true,\"stamp\":5,\"uid\":\"a\"},{\"out\":false,\"stamp\":7,\"uid\":\"b\"}],\"version\":1}\n";

#[test]
fn stored_file_keeps_its_bytes() {
    let mut exclusions = Exclusions::new(8);
    exclusions.set("a", true, 5).unwrap();
    exclusions.set("b", false, 7).unwrap();
    assert_eq!(exclusions.encode("g"), STORED);
    assert_eq!(
        Exclusions::decode(STORED.as_bytes(), "g", 8).unwrap(),
        exclusions
    );
}
