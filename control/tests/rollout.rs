//! Which backends are brought to new weights, how many at a time, and when a holder of the lease
//! may begin.

use compact_str::CompactString;
use control::directory::{Backend, BackendPhase, Directory, Key, Order, OrderPhase, Origin, Value};
use control::rollout::{
    Confirmations, FormerOwner, OrderQueue, PendingReason, RejectedTokens, Rollout,
    RolloutOwnership, outdated_by_reason,
};
use control::state::WeightsTarget;
use control::view::{ReplicaId, View};
use std::collections::{BTreeMap, BTreeSet};
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
fn who_takes_the_turn_of_another_waits_for_longer_than_a_lease_and_the_first_one_for_nobody() {
    let after = RolloutOwnership::FormerOwner { lease_ended: 1_000 };
    assert!(!after.may_claim(LEASE, 1_000 + LEASE));
    assert!(after.may_claim(LEASE, 1_100 + LEASE));
    assert!(RolloutOwnership::Unowned.may_claim(LEASE, 0));
    assert!(!RolloutOwnership::NotLeader.may_claim(LEASE, 1_000_000));
    assert!(
        !RolloutOwnership::Owned.may_claim(LEASE, 1_000_000),
        "it has it"
    );
}

fn replica(number: usize) -> ReplicaId {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, number as u16);
    ReplicaId {
        disk: number as u64 + 1,
        node: format!("n{number}").into(),
        address,
    }
}

fn view(epoch: u64, primary: usize) -> View {
    let all: BTreeSet<ReplicaId> = (0..REPLICAS).map(replica).collect();
    View {
        epoch,
        primary: replica(primary),
        in_sync: all.clone(),
        witnesses: all,
    }
}

const REPLICAS: usize = 3;
const VIEWS: usize = 5;
/// Each view lasts so long.
const VIEW: u64 = 1_000;

/// Every history of five views of three replicas, with every choice of who gives a first order
/// when, and of which views one replica gets to see: it never takes the time of a former holder for
/// over while that one may still give orders, and never waits for a replica that came to lead and
/// gave none.
#[test]
fn a_former_holder_has_ended_when_it_led_last_in_every_history_of_views() {
    let own = 0;
    let choices = REPLICAS.pow(VIEWS as u32);
    for (primaries, first_orders, seen) in (0..choices)
        .flat_map(|p| (0..1 << VIEWS).flat_map(move |o| (0..1 << VIEWS).map(move |s| (p, o, s))))
    {
        let primary = |view: usize| primaries / REPLICAS.pow(view as u32) % REPLICAS;
        let mut holder: Option<usize> = None;
        let mut last_led = BTreeMap::new();
        let mut former = FormerOwner::default();
        for at in 0..VIEWS {
            let (leader, now) = (primary(at), VIEW * at as u64);
            let is_seen = leader == own || seen >> at & 1 == 1;
            let known = holder.map(replica);
            if is_seen {
                former.observe(Some(&view(1 + at as u64, leader)), known.as_ref(), now);
            }
            if leader == own
                && let Some(holder) = holder.filter(|holder| *holder != own)
            {
                let since = former.since().expect("another one gave orders last");
                let ended = last_led[&holder];
                assert!(
                    ended <= since,
                    "{primaries} {first_orders:b} {seen:b}: {since} before {ended}"
                );
                let sees_all = seen == (1 << VIEWS) - 1;
                assert!(
                    !sees_all || since == ended,
                    "{primaries} {first_orders:b}: {since}, not {ended}"
                );
            }
            if first_orders >> at & 1 == 1 {
                holder = Some(leader);
            }
            // Whoever holds it may go on to give orders until its view ends.
            if holder == Some(leader) {
                last_led.insert(leader, now + VIEW);
            }
            // It is told of the first order within the view.
            if is_seen {
                former.observe(
                    Some(&view(1 + at as u64, leader)),
                    holder.map(replica).as_ref(),
                    now + 1,
                );
            }
        }
    }
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
