//! Tests of `front::rejections`.

use super::*;

#[test]
fn logs_each_reason_at_limited_rate() {
    let limits = Limits {
        rejection_reasons: 2,
        rejection_log_interval: 100,
        rejection_example_chars: 4,
        ..Limits::default()
    };
    let mut rejections = Rejections::default();
    let mut record = |why: &str, now| {
        rejections
            .record(why, "GET\n/long", now, &limits)
            .map(|r| (r.why, r.new))
    };
    assert_eq!(record("no path", 1), Some(("no path".to_owned(), 1)));
    assert_eq!(
        [record("no path", 50), record("no path", 100)],
        [None, None]
    );
    assert_eq!(record("no path", 101), Some(("no path".to_owned(), 3)));
    assert_eq!(record("no class", 101), Some(("no class".to_owned(), 1)));
    assert_eq!(record("a", 102), Some((OTHERS.to_owned(), 1)));
    assert_eq!(
        record("b", 103),
        None,
        "reasons past the bound are combined"
    );
    assert_eq!(
        rejections.to_string().lines().nth(1),
        Some(r"turned away: 4 (no path), the latest asked for GET\n")
    );
    assert_eq!(rejections.reasons.len(), 3);
}
