//! The idle limit of a backend's connections.

use routing::idle_limit::IdleLimit;

#[test]
fn allows_any_idle_time_by_default() {
    let limit = IdleLimit::default();
    assert!(limit.allows(60_000, 0));
}

#[test]
fn limits_idle_time_after_stale_connection() {
    let mut limit = IdleLimit::default();
    limit.record_stale(400, 1_000);
    assert!(limit.allows(200, 1_000));
    assert!(!limit.allows(201, 1_000));
    limit.record_stale(900, 2_000);
    assert!(
        !limit.allows(201, 2_000),
        "a longer idle time does not raise the limit"
    );
    limit.record_stale(10, 3_000);
    assert!(limit.allows(50, 3_000), "the limit has a lower bound");
    assert!(!limit.allows(51, 3_000));
}

#[test]
fn limit_expires() {
    let mut limit = IdleLimit::default();
    limit.record_stale(400, 1_000);
    assert!(!limit.allows(1_000, 30_999));
    assert!(limit.allows(1_000, 31_000));
    limit.record_stale(2_000, 40_000);
    assert!(limit.allows(1_000, 40_000), "the earlier limit has expired");
}
