//! Membership changes: machines are replaced, lose their disks or leave one after the other, each
//! right after the previous repair; a leaving member's copy is still needed; and the first view is
//! decided despite faults during the bootstrap.

mod world;

use assert_matches::assert_matches;
use control::changes::Outcome;
use simulation::orders;
use world::{World, change};

/// The time within which a replica has to be in sync again.
const REPAIR: u64 = 4_000;
/// Long enough for another replica to become primary.
const FAILOVER: u64 = 4_000;

fn commit_change(world: &mut World, model: &str) {
    assert!(
        world.run_until(FAILOVER, |world| world.primary().is_some()),
        "{model}: {}",
        world.describe()
    );
    let primary = world.primary().expect("a primary");
    let ticket = world.submit(&primary, change(model, 1));
    assert!(
        world.run_until(FAILOVER, |world| world.outcomes.contains_key(&ticket)),
        "{model}"
    );
    assert_matches!(world.outcomes[&ticket], Outcome::Committed, "{model}");
}

/// The next machine loses its disk as soon as the last one is in sync again, or a pause later.
#[test]
fn successive_lost_disks_lose_no_acknowledged_change() {
    for (count, faults) in [(3, 1), (4, 1), (5, 2)] {
        for pause in [0, 1, 50, 400, 1_000, 3_000] {
            let mut world = World::bootstrapped(pause, count, faults);
            for round in 0..3 * count {
                let lost = format!("n{}", round % count);
                commit_change(&mut world, &format!("m{round}"));
                world.wipe(&lost, 300);
                commit_change(&mut world, &format!("meanwhile{round}"));
                assert!(
                    world.run_until(REPAIR, World::is_fully_in_sync),
                    "{pause} ms: {}",
                    world.describe()
                );
                world.run(pause);
                world.assert_nothing_lost();
            }
        }
    }
}

/// Each machine is removed for good and replaced by an empty one while another one is partitioned
/// for a while. The next machine is removed once the new one is in sync.
#[test]
fn each_machine_is_replaced_in_turn_during_cuts() {
    for (count, faults) in [(3, 1), (4, 1), (5, 2)] {
        for pause in [50, 400, 1_000, 3_000] {
            for cut_for in [100, 900, 2_500] {
                let mut world = World::bootstrapped(pause + cut_for, count, faults);
                for round in 0..2 * count {
                    let gone = world.names()[0].clone();
                    commit_change(&mut world, &format!("m{round}"));
                    world.remove(&gone);
                    world.run(pause / 4);
                    let cut = world.names()[1].clone();
                    world.cut_off(&cut);
                    world.add_after_bootstrap(&format!("r{:03}", round));
                    world.run(cut_for);
                    world.heal();
                    commit_change(&mut world, &format!("meanwhile{round}"));
                    let whole = world.run_until(REPAIR, World::is_fully_in_sync);
                    assert!(whole, "{pause} {cut_for} ms: {}", world.describe());
                    // The removed machine must not remain a witness.
                    assert!(
                        world.run_until(REPAIR, |world| world.has_only_live_witnesses(count)),
                        "{}",
                        world.describe()
                    );
                    world.run(pause);
                    world.assert_nothing_lost();
                }
            }
        }
    }
}

#[test]
fn leaving_member_stays_until_its_copy_is_replaced() {
    for leaves_as_primary in [false, true] {
        let mut world = World::bootstrapped(1, 3, 1);
        let primary = world.primary().expect("a primary");
        let mut others = world.names();
        others.retain(|name| *name != primary);
        let (down, backup) = (others[0].clone(), others[1].clone());
        let leaving = if leaves_as_primary { primary } else { backup };
        // With one machine down, each change is stored twice, once on the leaving member.
        world.kill(&down, 5_000, true);
        world.run(1_500);
        commit_change(&mut world, "on two disks");
        world.leave(&leaving);
        for _ in 0..30 {
            world.run(100);
            assert!(
                !world.can_shut_down(&leaving),
                "the leaving member has one of two copies"
            );
        }
        commit_change(&mut world, "while it waits");
        assert!(world.run_until(REPAIR, |world| world.machines[&down].node.is_some()));
        assert!(
            world.run_until(REPAIR, |world| world.can_shut_down(&leaving)),
            "{}",
            world.describe()
        );
        // The leaving member and its disk are removed, and all others lose power.
        world.remove(&leaving);
        world
            .names()
            .iter()
            .for_each(|name| world.kill(name, 500, true));
        world.run(500);
        commit_change(&mut world, "afterwards");
        world.assert_nothing_lost();
    }
}

/// A rolling restart in which each process first asks to be removed from the in-sync set, so that
/// no change waits for a process that has exited.
#[test]
fn rolling_restart_delays_no_change_for_long() {
    const LONGEST: u64 = 500;
    let mut world = World::bootstrapped(2, 4, 1);
    let mut longest = 0;
    for round in 0..8 {
        let leaving = format!("n{}", round % 4);
        world.leave(&leaving);
        for step in 0..30 {
            if step == 10 {
                assert!(world.can_shut_down(&leaving));
                world.kill(&leaving, 500, false);
            }
            let started_at = world.now;
            commit_change(&mut world, &format!("m{round}-{step}"));
            longest = longest.max(world.now - started_at);
            world.run(100);
        }
        assert!(
            world.run_until(REPAIR, World::is_fully_in_sync),
            "{}",
            world.describe()
        );
    }
    println!("the longest change took {longest} ms");
    assert!(longest < LONGEST, "a change took {longest} ms");
}

/// An attempt or a fault during the bootstrap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BootstrapEvent {
    /// The first seed proposes a view of three replicas.
    FirstWithThree,
    /// The first seed proposes a view of all four replicas.
    FirstWithAll,
    /// The second seed proposes a view of all replicas that are running.
    Second,
    /// The first seed's process is killed.
    Kill,
    /// The first seed loses its disk.
    Wipe,
    /// The first seed is partitioned.
    Cut,
}

#[test]
fn one_first_view_is_decided_despite_competing_proposals_and_faults() {
    use BootstrapEvent::{Cut, FirstWithAll, FirstWithThree, Kill, Second, Wipe};
    for trouble in [Kill, Wipe, Cut] {
        for order in orders::all(&[FirstWithThree, FirstWithAll, Second, trouble]) {
            for pause in 0..8 {
                let mut world = World::new(pause, 4, 1);
                for event in &order {
                    match event {
                        FirstWithThree => world.bootstrap_with("n0", 3),
                        FirstWithAll => world.bootstrap_with("n0", 4),
                        Second => world.bootstrap_with("n1", 4),
                        Kill => world.kill("n0", 400, false),
                        Wipe => world.wipe("n0", 400),
                        Cut => world.cut_off("n0"),
                    }
                    world.run(pause);
                }
                world.run(600);
                world.heal();
                // A seed retries until there is a view. `World` checks that each epoch has only
                // one.
                for _ in 0..20 {
                    if world.primary().is_none() {
                        world.bootstrap_with("n2", 4);
                    }
                    world.run(400);
                }
                assert!(
                    world.primary().is_some(),
                    "{order:?} {pause}: {}",
                    world.describe()
                );
                assert!(
                    world.run_until(REPAIR, World::is_fully_in_sync),
                    "{order:?} {pause}: {}",
                    world.describe()
                );
            }
        }
    }
}

/// A replica on a new disk may have lost its vote on the first view, so it neither votes on that
/// view nor bootstraps a second system.
#[test]
fn replicas_on_new_disks_cannot_bootstrap() {
    let mut world = World::new(3, 4, 1);
    for name in ["n0", "n1", "n2"] {
        world.wipe(name, 100);
    }
    world.run(200);
    for _ in 0..10 {
        world
            .names()
            .iter()
            .for_each(|name| world.bootstrap_with(name, 4));
        world.run(300);
    }
    assert!(world.primary().is_none());
    assert!(
        world
            .machines
            .values()
            .all(|machine| machine.node.as_ref().expect("up").view().is_none())
    );
}
