//! Selection of backends for a rollout, concurrency limits, confirmation of orders, and ownership.

use compact_str::CompactString;
use control::directory::{Backend, BackendPhase, Directory, Key, Order, OrderPhase, Origin, Value};
use control::rollout::{
    Confirmations, OrderQueue, PendingReason, RejectedTokens, Rollout, RolloutOwnership, Vacancy,
    fencing_token, is_vacant, outdated_by_reason, vacant_owner,
};
use control::state::WeightsTarget;
use control::view::ReplicaId;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

const LEASE: u64 = 3_000;

fn backend(version: u64) -> Backend {
    Backend {
        service: "s".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        zone: "a".into(),
        slots: 4,
        phase: BackendPhase::Ready,
        sequence: 1,
        unresponsive: false,
        owner: "n1".into(),
        models: vec![("m".into(), version)],
    }
}

fn directory(backends: impl IntoIterator<Item = (&'static str, Backend)>) -> Directory {
    let mut directory = Directory::new(Origin(1));
    for (id, backend) in backends {
        directory.put(Key::Backend(id.into()), Value::Backend(backend));
    }
    directory
}

fn targets(version: u64) -> BTreeMap<CompactString, WeightsTarget> {
    BTreeMap::from([("m".into(), WeightsTarget { version, index: 1 })])
}

fn outdated(directory: &Directory, version: u64) -> Vec<String> {
    let rollout = Rollout::of(
        directory,
        &targets(version),
        &Confirmations::new(CONFIRMATION_TIMEOUT),
    );
    rollout
        .outdated
        .into_iter()
        .map(|backend| backend.id.to_string())
        .collect()
}

#[test]
fn ready_outdated_backends_get_orders_even_if_unresponsive() {
    let directory = directory([
        ("old", backend(1)),
        ("new", backend(2)),
        (
            "draining",
            Backend {
                phase: BackendPhase::Draining,
                ..backend(1)
            },
        ),
        (
            "unresponsive",
            Backend {
                unresponsive: true,
                ..backend(1)
            },
        ),
        (
            "other",
            Backend {
                models: vec![("n".into(), 1)],
                ..backend(1)
            },
        ),
        (
            "none",
            Backend {
                models: Vec::new(),
                ..backend(1)
            },
        ),
    ]);
    assert_eq!(outdated(&directory, 2), ["old", "unresponsive"]);
    assert_eq!(outdated(&directory, 1), [""; 0]);
    assert_eq!(outdated(&directory, 3), ["new", "old", "unresponsive"]);
}

/// An unresponsive backend may still accept an order, or may be gone. It therefore gets orders
/// after all responsive ones, within a smaller limit, and with a delay between retries.
#[test]
fn unresponsive_backends_come_last_with_fewer_orders_and_delayed_retries() {
    let unresponsive = || Backend {
        unresponsive: true,
        ..backend(1)
    };
    let directory = directory([
        ("a", unresponsive()),
        ("b", backend(1)),
        ("c", unresponsive()),
        ("d", backend(1)),
    ]);
    let mut queue = OrderQueue::default();
    assert_eq!(next(&queue, &directory, 2), ["b", "d", "a", "c"]);
    for failed in ["b", "d", "b"] {
        queue.record_order(&failed.into(), 0);
        queue.record_result(&failed.into(), false);
    }
    assert_eq!(
        next(&queue, &directory, 2),
        ["d", "b", "a", "c"],
        "unresponsive backends also follow those with unanswered orders"
    );
    let rollout = Rollout::of(
        &directory,
        &targets(2),
        &Confirmations::new(CONFIRMATION_TIMEOUT),
    );
    let is_due = |queue: &OrderQueue, at: usize, now| queue.is_due(&rollout.outdated[at], now);
    assert!(is_due(&queue, 0, 0) && is_due(&queue, 1, 0));
    queue.record_order(&"a".into(), 500);
    assert_eq!(
        [501, 2_499, 2_500].map(|now| is_due(&queue, 0, now)),
        [false, false, true]
    );
    queue.record_order(&"b".into(), 500);
    assert!(
        is_due(&queue, 1, 501),
        "a responsive backend is retried at once"
    );
    for (responsive, unresponsive, limit, unresponsive_limit) in
        [(0, 3, 1, 1), (4, 4, 1, 1), (40, 8, 10, 3), (112, 0, 28, 7)]
    {
        let mut directory = Directory::new(Origin(1));
        for number in 0..responsive + unresponsive {
            let backend = Backend {
                unresponsive: number < unresponsive,
                ..backend(1)
            };
            directory.put(
                Key::Backend(format!("b{number}").into()),
                Value::Backend(backend),
            );
        }
        let rollout = Rollout::of(
            &directory,
            &targets(2),
            &Confirmations::new(CONFIRMATION_TIMEOUT),
        );
        let limits = (rollout.max_concurrent, rollout.max_concurrent_unresponsive);
        assert_eq!(
            limits,
            (limit, unresponsive_limit),
            "{responsive} responsive backends"
        );
        assert_eq!(rollout.outdated.len(), responsive + unresponsive);
    }
}

#[test]
fn outdated_backends_are_counted_by_reason() {
    let mut directory = directory([
        ("due", backend(1)),
        ("up to date", backend(2)),
        (
            "draining",
            Backend {
                phase: BackendPhase::Draining,
                ..backend(1)
            },
        ),
        (
            "unresponsive",
            Backend {
                unresponsive: true,
                ..backend(1)
            },
        ),
        (
            "gone",
            Backend {
                phase: BackendPhase::Gone,
                ..backend(1)
            },
        ),
        ("in progress", backend(1)),
        ("older order in progress", backend(1)),
        ("done but contradicted", backend(1)),
        ("done and confirmed", backend(2)),
        (
            "done but unresponsive",
            Backend {
                unresponsive: true,
                ..backend(1)
            },
        ),
    ]);
    for (id, version, phase) in [
        ("in progress", 2, OrderPhase::InProgress),
        ("older order in progress", 1, OrderPhase::InProgress),
        ("done but contradicted", 2, OrderPhase::Done),
        ("done and confirmed", 2, OrderPhase::Done),
        ("done but unresponsive", 2, OrderPhase::Done),
    ] {
        let order = Order {
            fencing_token: 1,
            number: 1,
            model: "m".into(),
            version,
            phase,
        };
        directory.put(Key::Order(id.into()), Value::Order(order));
    }
    let expected = [
        (PendingReason::Due, 2),
        (PendingReason::InProgress, 1),
        (PendingReason::Unresponsive, 1),
        (PendingReason::Draining, 1),
        (PendingReason::Contradicted, 1),
    ];
    assert_eq!(
        outdated_by_reason(&directory, &targets(2)),
        BTreeMap::from(expected)
    );
}

#[test]
fn completed_order_counts_until_there_is_a_newer_target() {
    let mut directory = directory([("b", backend(1))]);
    let mut record_order = |phase, number| {
        let order = Order {
            fencing_token: 1,
            number,
            model: "m".into(),
            version: 2,
            phase,
        };
        directory.put(Key::Order("b".into()), Value::Order(order));
        (outdated(&directory, 2), outdated(&directory, 3))
    };
    assert_eq!(
        record_order(OrderPhase::InProgress, 1),
        (vec!["b".to_owned()], vec!["b".to_owned()])
    );
    assert_eq!(
        record_order(OrderPhase::Done, 2),
        (vec![], vec!["b".to_owned()])
    );
}

#[test]
fn a_quarter_of_the_backends_loads_at_a_time_and_at_least_one() {
    for (count, limit) in [(0, 1), (1, 1), (4, 1), (5, 2), (112, 28)] {
        let mut directory = Directory::new(Origin(1));
        for number in 0..count {
            directory.put(
                Key::Backend(format!("b{number}").into()),
                Value::Backend(backend(1)),
            );
        }
        assert_eq!(
            Rollout::of(
                &directory,
                &targets(2),
                &Confirmations::new(CONFIRMATION_TIMEOUT)
            )
            .max_concurrent,
            limit,
            "{count} backends"
        );
    }
}

#[test]
fn a_backend_that_refused_a_fencing_token_gets_only_higher_ones() {
    let mut rejected = RejectedTokens::default();
    assert!(rejected.allows("b", 4));
    rejected.record(&"b".into(), 4);
    rejected.record(&"b".into(), 3);
    assert_eq!(
        [3, 4, 5].map(|fencing_token| rejected.allows("b", fencing_token)),
        [false, false, true]
    );
    assert!(rejected.allows("another", 4));
    rejected.retain(|backend| backend != "b");
    assert!(
        rejected.allows("b", 4),
        "the token is removed with its backend"
    );
}

#[test]
fn vacant_ownership_is_claimed_once_permission_and_lease_are_over() {
    let (own, epoch) = (replica(0), 7);
    let next = |ownership: RolloutOwnership, now| ownership.next_owner(&own, epoch, LEASE, now);
    let vacant = RolloutOwnership::Vacant { since: 1_000 };
    assert_eq!(next(vacant, 1_000 + LEASE), None);
    assert_eq!(next(vacant, 1_100 + LEASE), Some(own.clone()));
    assert_eq!(next(RolloutOwnership::Unowned, 0), Some(own.clone()));
    let vacated = next(RolloutOwnership::OwnerUnresponsive, 0);
    assert_eq!(vacated, Some(vacant_owner(epoch)));
    for other in [
        RolloutOwnership::NotLeader,
        RolloutOwnership::OwnedElsewhere,
        RolloutOwnership::Owned,
    ] {
        assert_eq!(next(other, 1_000_000), None, "{other}");
    }
}

fn replica(number: usize) -> ReplicaId {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, number as u16);
    ReplicaId {
        disk: number as u64 + 1,
        node: format!("n{number}").into(),
        address,
    }
}

/// The number of steps in a history of recorded owners.
const STEPS: usize = 6;
/// The possible recorded owners: none, two replicas, and the vacancies of two epochs.
const OWNERS: usize = 5;

fn recorded_owner(number: usize) -> Option<ReplicaId> {
    match number {
        0 => None,
        1 | 2 => Some(replica(number)),
        epoch => Some(vacant_owner(epoch as u64)),
    }
}

/// Checks every history of six recorded owners with every subset of them that a replica may
/// observe. The replica measures a vacancy from its first observation, which is never before its
/// start.
#[test]
fn vacancy_is_measured_from_its_first_observation() {
    for (owners, seen) in (0..OWNERS.pow(STEPS as u32))
        .flat_map(|owners| (0..1 << STEPS).map(move |seen: usize| (owners, seen)))
    {
        let owner_at = |step: usize| recorded_owner(owners / OWNERS.pow(step as u32) % OWNERS);
        let mut vacancy = Vacancy::default();
        let mut last_seen = None;
        for step in 0..STEPS {
            let owner = owner_at(step);
            if seen >> step & 1 == 0 {
                continue;
            }
            let known = vacancy.since();
            vacancy.observe(owner.as_ref(), step as u64);
            let expected = match owner.as_ref().filter(|owner| is_vacant(owner)) {
                None => None,
                Some(_) if last_seen == owner => known,
                Some(_) => Some(step as u64),
            };
            assert_eq!(vacancy.since(), expected, "{owners} {seen:b} {step}");
            last_seen = owner;
        }
    }
}

#[test]
fn fencing_tokens_rise_with_epochs_and_the_primary_has_the_higher_one() {
    let tokens: Vec<u64> = (1..100)
        .flat_map(|epoch| [fencing_token(epoch, false), fencing_token(epoch, true)])
        .collect();
    assert!(tokens.is_sorted_by(|one, next| one < next));
    // Earlier versions used the epoch as the token, so tokens must exceed it after an upgrade.
    assert!((1..100).all(|epoch| fencing_token(epoch, false) > epoch));
}

const CONFIRMATION_TIMEOUT: u64 = 3_000;

/// Checks every history of six observations. In each, the completed order is the same or a newer
/// one, the heartbeat reports the version of the order or an older one, and the time-out passes or
/// not. An order is unconfirmed exactly if an older version is reported after a confirmation or
/// after the time-out, and is returned as unconfirmed once.
#[test]
fn order_is_unconfirmed_once_heartbeats_contradict_it() {
    const OBSERVATIONS: u32 = 6;
    // Three bits per observation: a newer order is done, its version is reported, the time-out has
    // passed.
    for history in 0..8_u32.pow(OBSERVATIONS) {
        let mut directory = directory([("b", backend(1))]);
        let mut confirmations = Confirmations::new(CONFIRMATION_TIMEOUT);
        let (mut version, mut now, mut since) = (2, 0, None);
        let (mut was_confirmed, mut was_unconfirmed) = (false, false);
        for observation in 0..OBSERVATIONS {
            let bits = history / 8_u32.pow(observation) % 8;
            let (is_newer, is_reported, is_late) = (bits & 1 == 1, bits & 2 == 2, bits & 4 == 4);
            if is_newer || since.is_none() {
                version += 1;
                let order = Order {
                    fencing_token: 1,
                    number: version,
                    model: "m".into(),
                    version,
                    phase: OrderPhase::Done,
                };
                directory.put(Key::Order("b".into()), Value::Order(order));
                (since, was_confirmed, was_unconfirmed) = (None, false, false);
            }
            now += if is_late { CONFIRMATION_TIMEOUT } else { 1 };
            let reported = Backend {
                sequence: u64::from(observation) + 2,
                ..backend(if is_reported { version } else { 1 })
            };
            directory.put(Key::Backend("b".into()), Value::Backend(reported));
            let unconfirmed = confirmations.observe(&directory, now);
            let first = *since.get_or_insert(now);
            let is_unconfirmed = !is_reported
                && (was_confirmed || was_unconfirmed || now >= first + CONFIRMATION_TIMEOUT);
            assert_eq!(
                confirmations.is_unconfirmed("b"),
                is_unconfirmed,
                "{history:o} at observation {observation}"
            );
            assert_eq!(
                unconfirmed.len(),
                usize::from(is_unconfirmed && !was_unconfirmed),
                "{history:o} at observation {observation}"
            );
            was_confirmed |= is_reported;
            was_unconfirmed = is_unconfirmed;
        }
    }
}

#[test]
fn removed_or_replaced_order_is_no_longer_unconfirmed() {
    let mut directory = directory([("b", backend(1)), ("c", backend(1))]);
    let mut confirmations = Confirmations::new(CONFIRMATION_TIMEOUT);
    let order = |number, phase| {
        Value::Order(Order {
            fencing_token: 1,
            number,
            model: "m".into(),
            version: 2,
            phase,
        })
    };
    for id in ["b", "c"] {
        directory.put(Key::Order(id.into()), order(1, OrderPhase::Done));
    }
    confirmations.observe(&directory, 0);
    assert_eq!(
        confirmations
            .observe(&directory, CONFIRMATION_TIMEOUT)
            .len(),
        2
    );
    directory.put(Key::Order("b".into()), order(2, OrderPhase::InProgress));
    directory.remove(&Key::Order("c".into()));
    assert!(
        confirmations
            .observe(&directory, CONFIRMATION_TIMEOUT)
            .is_empty()
    );
    assert_eq!(
        ["b", "c"].map(|id| confirmations.is_unconfirmed(id)),
        [false, false]
    );
}

fn next(queue: &OrderQueue, directory: &Directory, version: u64) -> Vec<String> {
    let mut outdated = Rollout::of(
        directory,
        &targets(version),
        &Confirmations::new(CONFIRMATION_TIMEOUT),
    )
    .outdated;
    queue.sort(&mut outdated);
    outdated
        .into_iter()
        .map(|backend| backend.id.to_string())
        .collect()
}

#[test]
fn unanswered_orders_lower_the_priority_of_a_backend() {
    let directory = directory([("a", backend(1)), ("b", backend(1)), ("c", backend(1))]);
    let mut queue = OrderQueue::default();
    assert_eq!(next(&queue, &directory, 2), ["a", "b", "c"]);
    queue.record_order(&"a".into(), 0);
    queue.record_result(&"a".into(), false);
    assert_eq!(next(&queue, &directory, 2), ["b", "c", "a"]);
    for backend in ["b", "c", "b"] {
        queue.record_order(&backend.into(), 0);
        queue.record_result(&backend.into(), false);
    }
    assert_eq!(
        next(&queue, &directory, 2),
        ["a", "c", "b"],
        "b has failed twice"
    );
    queue.record_result(&"b".into(), true);
    assert_eq!(
        next(&queue, &directory, 2),
        ["b", "a", "c"],
        "one answered order resets the count"
    );
    queue.retain(|backend| backend != "a");
    assert_eq!(
        next(&queue, &directory, 2),
        ["a", "b", "c"],
        "a has no history any more"
    );
}

/// When versions follow faster than all backends can load one, each backend still gets its share of
/// orders.
#[test]
fn rapid_versions_are_shared_among_all_backends() {
    let directory = directory([
        ("a", backend(1)),
        ("b", backend(1)),
        ("c", backend(1)),
        ("d", backend(1)),
    ]);
    let mut queue = OrderQueue::default();
    let mut orders: BTreeMap<String, u32> = BTreeMap::new();
    for version in 2..14 {
        // There is time for one order per version.
        let first = next(&queue, &directory, version).remove(0);
        queue.record_order(&first.as_str().into(), 0);
        queue.record_result(&first.as_str().into(), true);
        *orders.entry(first).or_default() += 1;
    }
    assert!(
        orders.len() == 4 && orders.values().all(|count| *count == 3),
        "{orders:?}"
    );
}
