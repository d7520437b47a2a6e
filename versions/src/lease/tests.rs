//! Tests of the version lease.

use super::*;

const S: Time = 1_000_000_000;

fn new_lease(autonomous: bool) -> VersionLease {
    VersionLease::new(
        Config {
            validity: 8 * S,
            recovery: 3 * S,
        },
        5,
        autonomous,
        100 * S,
    )
}

/// Queries the store and gets the response immediately.
fn renew(lease: &mut VersionLease, active: Version, now: Time) {
    lease.next_query_at = now;
    assert!(lease.begin_query(now));
    lease.handle_response(active, now);
}

fn statuses(lease: &mut VersionLease) -> Vec<Status> {
    lease
        .take_changes()
        .iter()
        .map(|change| change.to)
        .collect()
}

#[test]
fn degrades_to_suspended_without_responses() {
    let mut lease = new_lease(false);
    assert!(
        !lease.may_accept(100 * S),
        "the initial version may be outdated"
    );
    renew(&mut lease, 5, 101 * S);
    assert_eq!(
        (lease.status(), lease.may_accept(101 * S)),
        (Status::Current, true)
    );
    assert!(lease.begin_query(102 * S));
    for at in 1020..1110 {
        lease.update(at * S / 10);
    }
    assert_eq!(
        statuses(&mut lease),
        [
            Status::Current,
            Status::Behind,
            Status::Straggler,
            Status::Suspended
        ]
    );
    // The validity counts from the query, and ends without an update, as in a suspended process.
    let mut suspended = new_lease(false);
    renew(&mut suspended, 5, 101 * S);
    assert!(suspended.may_accept(109 * S - 1) && !suspended.may_accept(109 * S));
    assert_eq!(
        suspended.status(),
        Status::Current,
        "the status was not updated"
    );
}

#[test]
fn validity_counts_from_the_query() {
    let mut lease = new_lease(false);
    assert!(
        lease.begin_query(100 * S) && !lease.begin_query(100 * S),
        "at most one query in flight"
    );
    lease.handle_response(5, 106 * S);
    assert_eq!(
        (lease.valid_until(), lease.status()),
        (Some(108 * S), Status::Straggler)
    );
    assert!(lease.begin_query(106 * S));
    lease.handle_response(5, 115 * S);
    assert_eq!(lease.valid_until(), Some(108 * S));
    lease.handle_response(5, 115 * S);
    assert_eq!(
        lease.valid_until(),
        Some(108 * S),
        "a response without a query"
    );
}

#[test]
fn recovers_only_after_steady_responses() {
    let mut lease = new_lease(false);
    renew(&mut lease, 5, 100 * S);
    lease.update(108 * S);
    assert_eq!(lease.status(), Status::Suspended);
    // A link that works for a moment every few seconds.
    for round in 0..20 {
        renew(&mut lease, 5, (110 + 5 * round) * S);
        assert_eq!(lease.status(), Status::Suspended, "round {round}");
        lease.update((114 + 5 * round) * S + 1);
    }
    for second in 0..4 {
        renew(&mut lease, 5, (300 + second) * S);
    }
    assert_eq!(lease.status(), Status::Current);
    let changes = lease.take_changes().len();
    assert_eq!(changes, 3, "current, suspended and current");
}

#[test]
fn is_straggler_until_it_switches() {
    let mut lease = new_lease(false);
    renew(&mut lease, 5, 100 * S);
    renew(&mut lease, 9, 101 * S);
    assert_eq!(
        (lease.status(), lease.may_accept(101 * S)),
        (Status::Straggler, true)
    );
    // Responses that name another version do not renew the lease.
    let mut unswitched = lease.clone();
    (102..108).for_each(|second| renew(&mut unswitched, 9, second * S));
    assert!(unswitched.may_accept(108 * S - 1) && !unswitched.may_accept(108 * S));
    // A gatherer that switches before its next query is not suspended for that.
    let mut switched = new_lease(false);
    renew(&mut switched, 5, 100 * S);
    switched.switch(9, false, 101 * S);
    assert_eq!(
        (
            switched.may_accept(108 * S - 1),
            switched.may_accept(108 * S)
        ),
        (true, false)
    );
    assert_ne!(switched.status(), Status::Suspended);
    lease.switch(9, true, 102 * S);
    assert_eq!(lease.status(), Status::Current);
    // The gatherer is autonomous now, and keeps serving after its validity.
    lease.update(109 * S);
    assert_eq!(
        (lease.status(), lease.may_accept(200 * S)),
        (Status::Autonomous, true)
    );
    lease.set_on_hold(true, 110 * S);
    assert!(
        !lease.may_accept(110 * S),
        "the hold applies to autonomous gatherers too"
    );
}

#[test]
fn autonomous_start_waits_for_the_validity() {
    let mut lease = new_lease(true);
    lease.update(107 * S);
    assert!(!lease.may_accept(107 * S));
    lease.update(108 * S);
    assert_eq!(
        (lease.status(), lease.may_accept(108 * S)),
        (Status::Autonomous, true)
    );
    let mut other = new_lease(false);
    other.update(500 * S);
    assert!(!other.may_accept(500 * S));
}

#[test]
fn backs_off_up_to_the_gap() {
    let (mut lease, mut now, mut query_times) = (new_lease(false), 100 * S, Vec::new());
    while now < 160 * S {
        if lease.begin_query(now) {
            query_times.push(now);
            lease.handle_timeout(now + S / 100);
        }
        now += S / 100;
    }
    let backoffs: Vec<Time> = query_times
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert!(
        backoffs[0] < S / 4 && backoffs.windows(2).all(|pair| pair[0] <= pair[1]),
        "{backoffs:?}"
    );
    assert!(
        backoffs
            .last()
            .is_some_and(|backoff| (2 * S..2 * S + S / 10).contains(backoff)),
        "{backoffs:?}"
    );
}
