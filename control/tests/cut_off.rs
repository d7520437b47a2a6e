//! A replica that is cut off from the others, both ways or one way, for long or with short gaps:
//! from the moment of the cut on it confirms nothing, refuses nothing and reads nothing; and when
//! it is back it is told who leads before it does anything.

mod world;

use assert_matches::assert_matches;
use control::changes::{Outcome, ReadOutcome};
use control::node::RoleName;
use std::collections::BTreeSet;
use world::{World, change, configuration};

/// How long the cut lasts.
const CUT: u64 = 20_000;
/// Time after which somebody else leads.
const FAILOVER: u64 = 3_000;
/// No caller waits longer for a word, be it that nobody can tell.
const ANSWER: u64 = 4_000;

/// Which way messages of the machine that is cut off get through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    Both,
    /// It hears the others, and they do not hear it.
    Hears,
    /// The others hear it, and it does not hear them.
    Speaks,
}

fn cut_off(world: &mut World, name: &str, cut: Cut) {
    world.cut_off(name);
    match cut {
        Cut::Both => {}
        Cut::Hears => world.cut.retain(|(from, _)| from == name),
        Cut::Speaks => world.cut.retain(|(_, to)| to == name),
    }
}

/// Calls at a machine: a new change, one that builds on another version, one that was made, and a
/// question.
#[derive(Debug, Clone, Copy)]
struct Calls {
    new: u64,
    refused: u64,
    made: u64,
    read: u64,
}

fn call(world: &mut World, name: &str, mark: u64) -> Calls {
    Calls {
        new: world.submit(name, change(&format!("new-{mark}"), 1)),
        refused: world.submit(name, configuration(77, 78, "on another version")),
        made: world.submit(name, configuration(0, 1, "first")),
        read: world.read(name),
    }
}

fn assert_nobody_could_tell(world: &World, calls: Calls) {
    for ticket in [calls.new, calls.refused, calls.made] {
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

fn with_a_configuration(seed: u64, count: usize, faults: usize) -> World {
    let mut world = World::founded(seed, count, faults);
    let primary = world.primary().expect("a primary");
    world.submit(&primary, configuration(0, 1, "first"));
    assert!(world.until(1_000, |world| world.acknowledged.len() == 1));
    world.run(500);
    world
}

#[test]
fn a_primary_that_is_cut_off_tells_nothing_from_that_moment_on() {
    for (count, faults) in [(3, 1), (4, 1), (5, 2)] {
        for cut in [Cut::Both, Cut::Hears, Cut::Speaks] {
            let mut world = with_a_configuration(1, count, faults);
            let away = world.primary().expect("a primary");
            cut_off(&mut world, &away, cut);
            let mut calls = Vec::new();
            // Calls right after the cut fall into the time of its lease.
            for mark in 0..40 {
                calls.push(call(&mut world, &away, mark));
                world.run(CUT / 40);
                assert!(world.leaders() <= 1);
            }
            world.run(ANSWER);
            calls
                .iter()
                .for_each(|calls| assert_nobody_could_tell(&world, *calls));
            assert!(
                world.primary().is_some_and(|primary| primary != away),
                "{cut:?} of {count}"
            );
        }
    }
}

#[test]
fn while_one_is_cut_off_the_others_go_on() {
    for cut in [Cut::Both, Cut::Hears, Cut::Speaks] {
        for seed in 0..3 {
            let mut world = with_a_configuration(seed, 3, 1);
            let away = world.names()[seed as usize].clone();
            cut_off(&mut world, &away, cut);
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
                "{cut:?} of {away}: {without_primary} of 100 changes failed"
            );
        }
    }
}

#[test]
fn who_is_back_learns_who_leads_before_it_answers_anything() {
    for cut in [Cut::Both, Cut::Hears, Cut::Speaks] {
        let mut world = with_a_configuration(3, 3, 1);
        let away = world.primary().expect("a primary");
        cut_off(&mut world, &away, cut);
        assert!(world.until(FAILOVER, |world| {
            world.primary().is_some_and(|name| name != away)
        }));
        let primary = world.primary().expect("another primary");
        world.submit(&primary, configuration(1, 5, "meanwhile"));
        world.run(CUT);
        world.heal();
        // Questions from the first moment on are answered with the newest state or not at all
        // (World checks each).
        let mut asked = Vec::new();
        for mark in 0..200 {
            asked.push(call(&mut world, &away, mark));
            world.run(5);
        }
        world.run(ANSWER);
        assert!(world.is_in_sync(&away), "{cut:?}: it is in step again");
        for calls in asked {
            assert!(
                world.outcomes.contains_key(&calls.new),
                "{cut:?}: nobody waits for good"
            );
            assert!(
                world.readings.contains_key(&calls.read),
                "{cut:?}: nobody waits for good"
            );
        }
    }
}

/// A path that comes back for 200 ms each second lets nobody lead twice, and brings nothing old
/// into force.
#[test]
fn a_path_that_comes_and_goes_keeps_every_promise() {
    for cut in [Cut::Both, Cut::Hears, Cut::Speaks] {
        for seed in 0..3 {
            let mut world = with_a_configuration(seed, 3, 1);
            let away = world.primary().expect("a primary");
            let mut version = 1;
            for mark in 0..20 {
                cut_off(&mut world, &away, cut);
                for step in 0..8 {
                    call(&mut world, &away, 10 * mark + step);
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
                    assert!(world.leaders() <= 1, "{cut:?}");
                }
                world.heal();
                world.run(200);
                assert!(world.leaders() <= 1, "{cut:?}");
            }
            assert!(
                world.until(5_000, |world| world.primary().is_some()),
                "{cut:?}"
            );
            world.assert_nothing_lost();
            assert!(
                world.acknowledged.len() > 10,
                "{cut:?}: {} changes were made",
                world.acknowledged.len()
            );
        }
    }
}

/// Two halves of the replicas that can't reach each other: neither has a majority, so neither tells
/// anything.
#[test]
fn of_two_halves_neither_confirms_anything() {
    for (count, faults) in [(4, 1), (6, 2)] {
        let mut world = with_a_configuration(4, count, faults);
        let primary = world.primary().expect("a primary");
        let mut names = world.names();
        names.retain(|name| *name != primary);
        let half: BTreeSet<String> = names.into_iter().take(count / 2).collect();
        for one in world.names() {
            for other in world.names() {
                if half.contains(&one) != half.contains(&other) {
                    world.cut.insert((one.clone(), other));
                }
            }
        }
        // What is under way at this moment may still be answered.
        world.run(10);
        let mut asked = Vec::new();
        for mark in 0..30 {
            for name in world.names() {
                asked.push(call(&mut world, &name, mark));
            }
            world.run(300);
        }
        world.run(ANSWER);
        asked
            .iter()
            .for_each(|calls| assert_nobody_could_tell(&world, *calls));
        for name in world.names() {
            assert_ne!(
                world.role(&name),
                Some(RoleName::Primary),
                "{name} leads in one half"
            );
        }
        world.heal();
        assert!(
            world.until(FAILOVER, |world| world.primary().is_some()),
            "one leads again"
        );
        world.assert_nothing_lost();
    }
}
