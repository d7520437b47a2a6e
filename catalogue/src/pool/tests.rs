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
fn an_idle_session_is_used_before_one_more_is_opened_and_none_beyond_the_bound() {
    let mut pool = Pool::new(BOUNDS);
    assert_eq!(pool.choose(1, &[], 0), Choice::Open);
    assert_eq!(pool.choose(1, &[1, 0], 0), Choice::Use(1));
    assert_eq!(pool.choose(1, &[1, 1], 0), Choice::Open);
    assert_eq!(pool.choose(1, &[3, 1, 2, 1], 0), Choice::Wait(1));
}

#[test]
fn a_host_that_fails_is_left_in_peace_for_longer_each_time_but_not_for_ever() {
    let mut pool = Pool::new(BOUNDS);
    let mut now = 0;
    for backoff in [100, 200, 400, 800, 1000, 1000] {
        pool.failed(1, now);
        pool.failed(1, now);
        assert_eq!(pool.choose(1, &[], now + backoff - 1), Choice::Backoff);
        assert_eq!(
            pool.choose(1, &[2], now + backoff - 1),
            Choice::Wait(0),
            "what is up still works"
        );
        now += backoff;
        assert_eq!(pool.choose(1, &[], now), Choice::Open);
    }
    pool.connected(1, now);
    pool.failed(1, now);
    assert_eq!(
        pool.choose(1, &[], now + 100),
        Choice::Open,
        "after a success it begins anew"
    );
    assert_eq!(
        pool.choose(2, &[], now),
        Choice::Open,
        "another host has no part in it"
    );
}

#[test]
fn an_abandoned_search_is_outlived_as_long_as_that_is_cheaper() {
    let mut pool = Pool::new(BOUNDS);
    pool.answered(1, 100, 0);
    assert_eq!(
        pool.abandon(1, 1000, 1200),
        AbandonedAction::Drain(1800),
        "eight times what it usually takes"
    );
    assert_eq!(
        pool.abandon(1, 1000, 1800),
        AbandonedAction::Close,
        "it has had its time"
    );
    assert_eq!(pool.abandon(1, 1000, 1200), AbandonedAction::Drain(1800));
    assert_eq!(
        pool.abandon(1, 1000, 1200),
        AbandonedAction::Close,
        "half of the sessions wait for nothing"
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
        "never longer than the bound"
    );
}

#[test]
fn what_a_host_cannot_do_is_asked_again_after_a_while_and_the_memory_is_bounded() {
    let mut pool = Pool::new(BOUNDS);
    pool.capabilities(1, 0).no_sort = true;
    assert!(pool.capabilities(1, 4999).no_sort);
    assert!(!pool.capabilities(1, 5000).no_sort);
    for host in 0..100 {
        pool.capabilities(host, 6000 + u64::from(host));
    }
    assert_eq!(pool.hosts.len(), 3);
}
