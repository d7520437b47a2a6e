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

/// Asks and is answered at once.
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
    assert!(!lease.may_accept(100 * S), "what it starts with may be old");
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
    // Counted from when it had asked; and also where nothing has looked since, as in a process
    // that stood still.
    let mut slept = new_lease(false);
    renew(&mut slept, 5, 101 * S);
    assert!(slept.may_accept(109 * S - 1) && !slept.may_accept(109 * S));
    assert_eq!(slept.status(), Status::Current, "it has not been looked at");
}

#[test]
fn validity_counts_from_the_query() {
    let mut lease = new_lease(false);
    assert!(
        lease.begin_query(100 * S) && !lease.begin_query(100 * S),
        "one question at a time"
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
        "an answer that nobody asked for"
    );
}

#[test]
fn recovers_only_after_steady_responses() {
    let mut lease = new_lease(false);
    renew(&mut lease, 5, 100 * S);
    lease.update(108 * S);
    assert_eq!(lease.status(), Status::Suspended);
    // A link that is whole for a moment every few seconds.
    for round in 0..20 {
        renew(&mut lease, 5, (110 + 5 * round) * S);
        assert_eq!(lease.status(), Status::Suspended, "round {round}");
        lease.update((114 + 5 * round) * S + 1);
    }
    for second in 0..4 {
        renew(&mut lease, 5, (300 + second) * S);
    }
    assert_eq!(lease.status(), Status::Current);
    let swings = lease.take_changes().len();
    assert_eq!(swings, 3, "in, out and in again");
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
    // Told again and again of what it does not run, it renews nothing by that.
    let mut cannot = lease.clone();
    (102..108).for_each(|second| renew(&mut cannot, 9, second * S));
    assert!(cannot.may_accept(108 * S - 1) && !cannot.may_accept(108 * S));
    // One that switches as the store's news come, before it has asked again, is not shut out
    // for that.
    let mut quick = new_lease(false);
    renew(&mut quick, 5, 100 * S);
    quick.switch(9, false, 101 * S);
    assert_eq!(
        (quick.may_accept(108 * S - 1), quick.may_accept(108 * S)),
        (true, false)
    );
    assert_ne!(quick.status(), Status::Suspended);
    lease.switch(9, true, 102 * S);
    assert_eq!(lease.status(), Status::Current);
    // It is a keeper now: its validity ends, and it goes on.
    lease.update(109 * S);
    assert_eq!(
        (lease.status(), lease.may_accept(200 * S)),
        (Status::Autonomous, true)
    );
    lease.set_on_hold(true, 110 * S);
    assert!(!lease.may_accept(110 * S), "an operator's word goes before");
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
    let (mut lease, mut now, mut asked) = (new_lease(false), 100 * S, Vec::new());
    while now < 160 * S {
        if lease.begin_query(now) {
            asked.push(now);
            lease.handle_timeout(now + S / 100);
        }
        now += S / 100;
    }
    let waits: Vec<Time> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        waits[0] < S / 4 && waits.windows(2).all(|pair| pair[0] <= pair[1]),
        "{waits:?}"
    );
    assert!(
        waits
            .last()
            .is_some_and(|wait| (2 * S..2 * S + S / 10).contains(wait)),
        "{waits:?}"
    );
}
