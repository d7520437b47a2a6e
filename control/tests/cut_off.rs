//! Network partitions of one replica, in one or both directions, permanent or with short gaps. A
//! partitioned replica confirms no change, rejects no change and answers no read; after its return
//! it learns of the current primary before it answers.

mod world;

use assert_matches::assert_matches;
use control::changes::{Outcome, ReadOutcome};
use control::node::RoleName;
use std::collections::BTreeSet;
use world::{World, change, configuration};

/// The duration of a partition.
const PARTITION: u64 = 20_000;
/// The time within which another replica becomes primary.
const FAILOVER: u64 = 3_000;
/// The time within which each call gets a reply, if only that the outcome is unknown.
const REPLY_TIMEOUT: u64 = 4_000;

/// The direction in which messages of the partitioned machine are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    Both,
    /// Messages from the machine are lost.
    Outbound,
    /// Messages to the machine are lost.
    Inbound,
}

fn cut_off(world: &mut World, name: &str, cut: Cut) {
    world.cut_off(name);
    match cut {
        Cut::Both => {}
        Cut::Outbound => world.cut.retain(|(from, _)| from == name),
        Cut::Inbound => world.cut.retain(|(_, to)| to == name),
    }
}

/// Tickets of calls to a machine: a new change, one with a version conflict, a retry of a committed
/// one, and a read.
#[derive(Debug, Clone, Copy)]
struct Calls {
    new: u64,
    conflicting: u64,
    retried: u64,
    read: u64,
}

fn call(world: &mut World, name: &str, mark: u64) -> Calls {
    Calls {
        new: world.submit(name, change(&format!("new-{mark}"), 1)),
        conflicting: world.submit(name, configuration(77, 78, "on another version")),
        retried: world.submit(name, configuration(0, 1, "first")),
        read: world.read(name),
    }
}

fn assert_outcomes_unknown(world: &World, calls: Calls) {
    for ticket in [calls.new, calls.conflicting, calls.retried] {
        assert_matches!(
            world.outcomes.get(&ticket),
            Some(Outcome::Unknown),
            "{calls:?}"
        );
    }
    assert_matches!(
        world.readings.get(&calls.read),
        Some(ReadOutcome::Unknown),
        "{calls:?}"
    );
}

fn world_with_configuration(seed: u64, count: usize, faults: usize) -> World {
    let mut world = World::bootstrapped(seed, count, faults);
    let primary = world.primary().expect("a primary");
    world.submit(&primary, configuration(0, 1, "first"));
    assert!(world.run_until(1_000, |world| world.acknowledged.len() == 1));
    world.run(500);
    world
}

#[test]
fn partitioned_primary_answers_nothing_definite() {
    for (count, faults) in [(3, 1), (4, 1), (5, 2)] {
        for cut in [Cut::Both, Cut::Outbound, Cut::Inbound] {
            let mut world = world_with_configuration(1, count, faults);
            let partitioned = world.primary().expect("a primary");
            cut_off(&mut world, &partitioned, cut);
            let mut calls = Vec::new();
            // The first calls fall within the old lease.
            for mark in 0..40 {
                calls.push(call(&mut world, &partitioned, mark));
                world.run(PARTITION / 40);
                assert!(world.leader_count() <= 1);
            }
            world.run(REPLY_TIMEOUT);
            calls
                .iter()
                .for_each(|calls| assert_outcomes_unknown(&world, *calls));
            assert!(
                world
                    .primary()
                    .is_some_and(|primary| primary != partitioned),
                "{cut:?} of {count}"
            );
        }
    }
}

#[test]
fn others_continue_while_one_replica_is_partitioned() {
    for cut in [Cut::Both, Cut::Outbound, Cut::Inbound] {
        for seed in 0..3 {
            let mut world = world_with_configuration(seed, 3, 1);
            let partitioned = world.names()[seed as usize].clone();
            cut_off(&mut world, &partitioned, cut);
            world.run(2 * FAILOVER);
            let mut without_primary = 0;
            for mark in 0..100 {
                match world.primary() {
                    Some(primary) => {
                        let ticket =
                            world.submit(&primary, change(&format!("meanwhile-{mark}"), 1));
                        world.run(140);
                        let outcome = world.outcomes.get(&ticket);
                        without_primary += u32::from(outcome != Some(&Outcome::Committed));
                    }
                    None => {
                        without_primary += 1;
                        world.run(140);
                    }
                }
            }
            assert!(
                without_primary <= 2,
                "{cut:?} of {partitioned}: {without_primary} of 100 changes failed"
            );
        }
    }
}

#[test]
fn returning_replica_answers_only_with_current_state() {
    for cut in [Cut::Both, Cut::Outbound, Cut::Inbound] {
        let mut world = world_with_configuration(3, 3, 1);
        let partitioned = world.primary().expect("a primary");
        cut_off(&mut world, &partitioned, cut);
        assert!(world.run_until(FAILOVER, |world| {
            world.primary().is_some_and(|name| name != partitioned)
        }));
        let primary = world.primary().expect("another primary");
        world.submit(&primary, configuration(1, 5, "meanwhile"));
        world.run(PARTITION);
        world.heal();
        // From the start, reads return the newest state or no answer; `World` checks each of them.
        let mut submitted = Vec::new();
        for mark in 0..200 {
            submitted.push(call(&mut world, &partitioned, mark));
            world.run(5);
        }
        world.run(REPLY_TIMEOUT);
        assert!(world.is_in_sync(&partitioned), "{cut:?}: not in sync again");
        for calls in submitted {
            assert!(
                world.outcomes.contains_key(&calls.new),
                "{cut:?}: a call got no reply"
            );
            assert!(
                world.readings.contains_key(&calls.read),
                "{cut:?}: a call got no reply"
            );
        }
    }
}

/// With a link that recovers for 200 ms in each second, there is never a second primary and no
/// stale change takes effect.
#[test]
fn intermittent_link_violates_no_guarantee() {
    for cut in [Cut::Both, Cut::Outbound, Cut::Inbound] {
        for seed in 0..3 {
            let mut world = world_with_configuration(seed, 3, 1);
            let partitioned = world.primary().expect("a primary");
            let mut version = 1;
            for mark in 0..20 {
                cut_off(&mut world, &partitioned, cut);
                for step in 0..8 {
                    call(&mut world, &partitioned, 10 * mark + step);
                    if let Some(primary) = world.primary() {
                        version += 1;
                        let base = world.machines[&primary]
                            .node
                            .as_ref()
                            .expect("up")
                            .state()
                            .version();
                        world.submit(
                            &primary,
                            configuration(base, base + 1, &format!("{version}")),
                        );
                        world.read(&primary);
                    }
                    world.run(100);
                    assert!(world.leader_count() <= 1, "{cut:?}");
                }
                world.heal();
                world.run(200);
                assert!(world.leader_count() <= 1, "{cut:?}");
            }
            assert!(
                world.run_until(5_000, |world| world.primary().is_some()),
                "{cut:?}"
            );
            world.assert_nothing_lost();
            assert!(
                world.acknowledged.len() > 10,
                "{cut:?}: only {} changes were acknowledged",
                world.acknowledged.len()
            );
        }
    }
}

/// Splits the replicas into two halves. Returns the half without the primary.
fn split(world: &mut World) -> BTreeSet<String> {
    let primary = world.primary().expect("a primary");
    let mut names = world.names();
    let count = names.len();
    names.retain(|name| *name != primary);
    let half: BTreeSet<String> = names.into_iter().take(count / 2).collect();
    for one in world.names() {
        for other in world.names() {
            if half.contains(&one) != half.contains(&other) {
                world.cut.insert((one.clone(), other));
            }
        }
    }
    half
}

/// Whether a machine counted its state as the newest within the last second.
fn is_current(world: &World, name: &str) -> bool {
    const MAX_STATE_AGE: u64 = 1_000;
    world
        .current_at(name)
        .is_some_and(|at| world.now < at + MAX_STATE_AGE)
}

/// The replicas are split into two halves. Neither has a majority, so neither confirms anything.
#[test]
fn of_two_halves_neither_confirms_anything() {
    for (count, faults) in [(4, 1), (6, 2)] {
        let mut world = world_with_configuration(4, count, faults);
        split(&mut world);
        // Calls in flight at the start of the partition may still be answered.
        world.run(10);
        let mut submitted = Vec::new();
        for mark in 0..60 {
            for name in world.names() {
                submitted.push(call(&mut world, &name, mark));
            }
            world.run(300);
            if mark > 0 {
                assert_eq!(world.leader_count(), 0, "a lease without a majority");
            }
        }
        world.run(REPLY_TIMEOUT);
        submitted
            .iter()
            .for_each(|calls| assert_outcomes_unknown(&world, *calls));
        for name in world.names() {
            assert_ne!(
                world.role(&name),
                Some(RoleName::Primary),
                "{name} is primary in one half"
            );
        }
        world.heal();
        assert!(
            world.run_until(FAILOVER, |world| world.primary().is_some()),
            "no primary after the partition"
        );
        world.assert_nothing_lost();
    }
}

/// Guards against routers that fill their caches anew while the replicas are split into two halves:
/// neither half can acknowledge anything, and the one with the primary knows that the other can't.
#[test]
fn half_with_primary_knows_its_state_to_be_newest() {
    const MINORITY: u64 = 11_000;
    for (count, faults) in [(4, 1), (6, 2)] {
        for seed in 0..5 {
            let mut world = world_with_configuration(seed, count, faults);
            let half = split(&mut world);
            world.run(1_500);
            for _ in 0..MINORITY / 100 {
                world.run(100);
                assert_eq!(world.leader_count(), 0, "a lease without a majority");
                for name in world.names() {
                    let expected = !half.contains(&name);
                    assert_eq!(is_current(&world, &name), expected, "{name} of {count}");
                }
            }
            world.heal();
            let led = world.run_until(FAILOVER, |world| world.primary().is_some());
            assert!(led, "no primary after the partition");
            world.assert_nothing_lost();
        }
    }
}

/// Guards against a group that no longer accepts changes: the primary reaches one of the other
/// replicas, which grants its heartbeats, and that one reaches all.
#[test]
fn primary_without_majority_yields_to_replicas_that_have_one() {
    let mut world = world_with_configuration(5, 4, 1);
    let primary = world.primary().expect("a primary");
    let others = world.names().into_iter().filter(|name| *name != primary);
    for name in others.skip(1) {
        world.cut.insert((primary.clone(), name.clone()));
        world.cut.insert((name, primary.clone()));
    }
    world.run(1_000);
    assert_eq!(world.leader_count(), 0, "the witness in between grants");
    let timeout = world.timing.minority_timeout + FAILOVER;
    let led = world.run_until(timeout, |world| world.primary().is_some());
    assert!(led, "no other primary within {timeout} ms");
    assert_ne!(world.primary(), Some(primary));
    world.assert_nothing_lost();
}
