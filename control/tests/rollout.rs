//! Which backends are brought to new weights, how many at a time, and when a holder of the lease
//! may begin.

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

fn lacking(directory: &Directory, version: u64) -> Vec<String> {
    let rollout = Rollout::of(directory, &targets(version), &Confirmations::new(PATIENCE));
    rollout
        .outdated
        .into_iter()
        .map(|lacking| lacking.id.to_string())
        .collect()
}

#[test]
fn only_ready_backends_with_an_older_version_get_orders_whether_or_not_they_are_heard() {
    let directory = directory([
        ("old", backend(1)),
        ("new", backend(2)),
        (
            "drains",
            Backend {
                phase: BackendPhase::Draining,
                ..backend(1)
            },
        ),
        (
            "silent",
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
    assert_eq!(lacking(&directory, 2), ["old", "silent"]);
    assert_eq!(lacking(&directory, 1), [""; 0]);
    assert_eq!(lacking(&directory, 3), ["new", "old", "silent"]);
}

/// Heartbeats that stop say nothing of whether an order can be taken. Who may be gone gets what
/// places are left, few of them, and not again at once.
#[test]
fn backends_whose_heartbeats_have_stopped_come_last_by_few_and_now_and_then() {
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
        "also behind those that do not answer"
    );
    let rollout = Rollout::of(&directory, &targets(2), &Confirmations::new(PATIENCE));
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
        "who is heard is asked again at once"
    );
    for (heard, unresponsive, places, for_silent) in
        [(0, 3, 1, 1), (4, 4, 1, 1), (40, 8, 10, 3), (112, 0, 28, 7)]
    {
        let mut directory = Directory::new(Origin(1));
        for number in 0..heard + unresponsive {
            let backend = Backend {
                unresponsive: number < unresponsive,
                ..backend(1)
            };
            directory.put(
                Key::Backend(format!("b{number}").into()),
                Value::Backend(backend),
            );
        }
        let rollout = Rollout::of(&directory, &targets(2), &Confirmations::new(PATIENCE));
        let most = (rollout.max_concurrent, rollout.max_concurrent_unresponsive);
        assert_eq!(most, (places, for_silent), "{heard} are heard");
        assert_eq!(rollout.outdated.len(), heard + unresponsive);
    }
}

#[test]
fn each_backend_that_lacks_a_version_counts_by_what_holds_it_back() {
    let mut directory = directory([
        ("due", backend(1)),
        ("has it", backend(2)),
        (
            "drains",
            Backend {
                phase: BackendPhase::Draining,
                ..backend(1)
            },
        ),
        (
            "silent",
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
        ("loads", backend(1)),
        ("loaded the last one", backend(1)),
        ("has loaded and tells otherwise", backend(1)),
        ("has loaded and tells so", backend(2)),
        (
            "has loaded and is silent",
            Backend {
                unresponsive: true,
                ..backend(1)
            },
        ),
    ]);
    for (id, version, phase) in [
        ("loads", 2, OrderPhase::InProgress),
        ("loaded the last one", 1, OrderPhase::InProgress),
        ("has loaded and tells otherwise", 2, OrderPhase::Done),
        ("has loaded and tells so", 2, OrderPhase::Done),
        ("has loaded and is silent", 2, OrderPhase::Done),
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
fn an_order_that_is_done_counts_until_a_newer_version_is_named() {
    let mut directory = directory([("b", backend(1))]);
    let mut note = |phase, number| {
        let order = Order {
            fencing_token: 1,
            number,
            model: "m".into(),
            version: 2,
            phase,
        };
        directory.put(Key::Order("b".into()), Value::Order(order));
        (lacking(&directory, 2), lacking(&directory, 3))
    };
    assert_eq!(
        note(OrderPhase::InProgress, 1),
        (vec!["b".to_owned()], vec!["b".to_owned()])
    );
    assert_eq!(note(OrderPhase::Done, 2), (vec![], vec!["b".to_owned()]));
}

#[test]
fn a_quarter_of_the_backends_loads_at_a_time_and_at_least_one() {
    for (count, most) in [(0, 1), (1, 1), (4, 1), (5, 2), (112, 28)] {
        let mut directory = Directory::new(Origin(1));
        for number in 0..count {
            directory.put(
                Key::Backend(format!("b{number}").into()),
                Value::Backend(backend(1)),
            );
        }
        assert_eq!(
            Rollout::of(&directory, &targets(2), &Confirmations::new(PATIENCE)).max_concurrent,
            most,
            "{count} backends"
        );
    }
}

#[test]
fn a_backend_that_refused_a_fencing_token_gets_only_higher_ones() {
    let mut refused = RejectedTokens::default();
    assert!(refused.allows("b", 4));
    refused.record(&"b".into(), 4);
    refused.record(&"b".into(), 3);
    assert_eq!(
        [3, 4, 5].map(|fencing_token| refused.allows("b", fencing_token)),
        [false, false, true]
    );
    assert!(refused.allows("another", 4));
    refused.retain(|backend| backend != "b");
    assert!(refused.allows("b", 4), "it is forgotten with its backend");
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

/// What the committed state names at each of some moments that follow each other.
const MOMENTS: usize = 6;
/// Nobody, two owners, and the vacancies of two epochs.
const OWNERS: usize = 5;

fn recorded_owner(number: usize) -> Option<ReplicaId> {
    match number {
        0 => None,
        1 | 2 => Some(replica(number)),
        epoch => Some(vacant_owner(epoch as u64)),
    }
}

/// Every history of what the committed state names at six moments, with every choice of those that
/// one replica gets to see: it counts a vacancy from the moment at which it first saw it, and from
/// none before it began.
#[test]
fn vacancy_counts_from_its_first_observation_in_every_history() {
    for (owners, seen) in (0..OWNERS.pow(MOMENTS as u32))
        .flat_map(|owners| (0..1 << MOMENTS).map(move |seen: usize| (owners, seen)))
    {
        let owner_at = |moment: usize| recorded_owner(owners / OWNERS.pow(moment as u32) % OWNERS);
        let mut vacancy = Vacancy::default();
        let mut last_seen = None;
        for moment in 0..MOMENTS {
            let owner = owner_at(moment);
            if seen >> moment & 1 == 0 {
                continue;
            }
            let known = vacancy.since();
            vacancy.observe(owner.as_ref(), moment as u64);
            let expected = match owner.as_ref().filter(|owner| is_vacant(owner)) {
                None => None,
                Some(_) if last_seen == owner => known,
                Some(_) => Some(moment as u64),
            };
            assert_eq!(vacancy.since(), expected, "{owners} {seen:b} {moment}");
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
    // A system that was upgraded goes on above the tokens of before, which were epochs.
    assert!((1..100).all(|epoch| fencing_token(epoch, false) > epoch));
}

const PATIENCE: u64 = 3_000;

/// Every history of what six looks find: the order done or a newer one, a heartbeat that tells the
/// version or an older one, and time that passes. A backend is in doubt just when it tells an older
/// version although it had told this one since the order was done, or although its heartbeats have
/// had their time; it is told of once.
#[test]
fn a_backend_is_in_doubt_once_its_heartbeats_contradict_its_order_in_every_history() {
    const LOOKS: u32 = 6;
    // Of each look: whether a newer order is done by then, whether the backend tells its version,
    // whether time has passed.
    for history in 0..8_u32.pow(LOOKS) {
        let mut directory = directory([("b", backend(1))]);
        let mut confirmations = Confirmations::new(PATIENCE);
        let (mut version, mut now, mut since) = (2, 0, None);
        let (mut was_confirmed, mut was_doubted) = (false, false);
        for look in 0..LOOKS {
            let what = history / 8_u32.pow(look) % 8;
            let (is_newer, tells, passes) = (what & 1 == 1, what & 2 == 2, what & 4 == 4);
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
                (since, was_confirmed, was_doubted) = (None, false, false);
            }
            now += if passes { PATIENCE } else { 1 };
            let told = Backend {
                sequence: u64::from(look) + 2,
                ..backend(if tells { version } else { 1 })
            };
            directory.put(Key::Backend("b".into()), Value::Backend(told));
            let doubts = confirmations.observe(&directory, now);
            let first = *since.get_or_insert(now);
            let is_unconfirmed =
                !tells && (was_confirmed || was_doubted || now >= first + PATIENCE);
            assert_eq!(
                confirmations.is_unconfirmed("b"),
                is_unconfirmed,
                "{history:o} at look {look}"
            );
            assert_eq!(
                doubts.len(),
                usize::from(is_unconfirmed && !was_doubted),
                "{history:o} at look {look}"
            );
            was_confirmed |= tells;
            was_doubted = is_unconfirmed;
        }
    }
}

#[test]
fn who_has_left_or_gets_another_order_is_in_doubt_no_more() {
    let mut directory = directory([("b", backend(1)), ("c", backend(1))]);
    let mut confirmations = Confirmations::new(PATIENCE);
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
    assert_eq!(confirmations.observe(&directory, PATIENCE).len(), 2);
    directory.put(Key::Order("b".into()), order(2, OrderPhase::InProgress));
    directory.remove(&Key::Order("c".into()));
    assert!(confirmations.observe(&directory, PATIENCE).is_empty());
    assert_eq!(
        ["b", "c"].map(|id| confirmations.is_unconfirmed(id)),
        [false, false]
    );
}

fn next(queue: &OrderQueue, directory: &Directory, version: u64) -> Vec<String> {
    let mut lacking =
        Rollout::of(directory, &targets(version), &Confirmations::new(PATIENCE)).outdated;
    queue.sort(&mut lacking);
    lacking
        .into_iter()
        .map(|lacking| lacking.id.to_string())
        .collect()
}

#[test]
fn who_does_not_answer_comes_after_everybody_else() {
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
        "one answer makes up for it"
    );
    queue.retain(|backend| backend != "a");
    assert_eq!(
        next(&queue, &directory, 2),
        ["a", "b", "c"],
        "a is forgotten: it is as good as new"
    );
}

/// Where versions come faster than all backends can be brought to one, each still has its turn.
#[test]
fn versions_in_quick_succession_reach_every_backend_by_turns() {
    let directory = directory([
        ("a", backend(1)),
        ("b", backend(1)),
        ("c", backend(1)),
        ("d", backend(1)),
    ]);
    let mut queue = OrderQueue::default();
    let mut orders: BTreeMap<String, u32> = BTreeMap::new();
    for version in 2..14 {
        // There is time for one order under each version.
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
