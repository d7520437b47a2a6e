//! Tests of `pool`.

use super::*;

const BOUNDS: PoolBounds = PoolBounds {
    sessions: 4,
    backoff_min: 100,
    backoff_max: 1000,
    capability_ttl: 5000,
    abandoned_time_min: 300,
    abandoned_time_max: 2000,
    hosts: 3,
};

#[test]
fn idle_session_is_preferred_and_session_count_is_bounded() {
    let mut pool = Pool::new(BOUNDS);
    assert_eq!(pool.choose(1, &[], 0), Choice::Open);
    assert_eq!(pool.choose(1, &[1, 0], 0), Choice::Use(1));
    assert_eq!(pool.choose(1, &[1, 1], 0), Choice::Open);
    assert_eq!(pool.choose(1, &[3, 1, 2, 1], 0), Choice::Wait(1));
}

#[test]
fn backoff_doubles_up_to_maximum_and_resets_on_success() {
    let mut pool = Pool::new(BOUNDS);
    let mut now = 0;
    for backoff in [100, 200, 400, 800, 1000, 1000] {
        pool.failed(1, now);
        pool.failed(1, now);
        assert_eq!(pool.choose(1, &[], now + backoff - 1), Choice::Backoff);
        assert_eq!(
            pool.choose(1, &[2], now + backoff - 1),
            Choice::Wait(0),
            "open sessions remain in use"
        );
        now += backoff;
        assert_eq!(pool.choose(1, &[], now), Choice::Open);
    }
    pool.connected(1, now);
    pool.failed(1, now);
    assert_eq!(
        pool.choose(1, &[], now + 100),
        Choice::Open,
        "a success resets the backoff"
    );
    assert_eq!(
        pool.choose(2, &[], now),
        Choice::Open,
        "other hosts are not affected"
    );
}

#[test]
fn abandoned_search_is_drained_within_time_and_session_limits() {
    let mut pool = Pool::new(BOUNDS);
    pool.answered(1, 100, 0);
    assert_eq!(
        pool.abandon(1, 1000, 1200),
        AbandonedAction::Drain(1800),
        "eight times the mean response time"
    );
    assert_eq!(
        pool.abandon(1, 1000, 1800),
        AbandonedAction::Close,
        "the time for it has passed"
    );
    assert_eq!(pool.abandon(1, 1000, 1200), AbandonedAction::Drain(1800));
    assert_eq!(
        pool.abandon(1, 1000, 1200),
        AbandonedAction::Close,
        "half of the sessions wait for abandoned searches"
    );
    pool.drained(1, 1300);
    assert_eq!(pool.abandon(1, 1000, 1300), AbandonedAction::Drain(1800));
    for _ in 0..50 {
        pool.answered(1, 100_000, 2000);
    }
    pool.drained(1, 2000);
    assert_eq!(
        pool.abandon(1, 2000, 2000),
        AbandonedAction::Drain(4000),
        "limited by the maximum"
    );
}

#[test]
fn missing_capabilities_expire_and_remembered_hosts_are_bounded() {
    let mut pool = Pool::new(BOUNDS);
    pool.capabilities(1, 0).no_sort = true;
    assert!(pool.capabilities(1, 4999).no_sort);
    assert!(!pool.capabilities(1, 5000).no_sort);
    for host in 0..100 {
        pool.capabilities(host, 6000 + u64::from(host));
    }
    assert_eq!(pool.hosts.len(), 3);
}
