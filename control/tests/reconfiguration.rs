//! Changes of members: machines that are replaced, lose their disks or leave one after the other,
//! with the next loss right behind the last repair; a leaving member whose copy is needed; and the
//! first view, whatever befalls who founds.

mod world;

use assert_matches::assert_matches;
use control::changes::Outcome;
use simulation::orders;
use world::{World, change};

/// Time in which a replica has to be in step again.
const REPAIR: u64 = 4_000;
/// Long enough for another replica to lead.
const FAILOVER: u64 = 4_000;

fn acknowledged(world: &mut World, mark: &str) {
    assert!(
        world.until(FAILOVER, |world| world.primary().is_some()),
        "{mark}: {}",
        world.describe()
    );
    let primary = world.primary().expect("a primary");
    let ticket = world.submit(&primary, change(mark, 1));
    assert!(
        world.until(FAILOVER, |world| world.outcomes.contains_key(&ticket)),
        "{mark}"
    );
    assert_matches!(world.outcomes[&ticket], Outcome::Committed, "{mark}");
}

/// As soon as the last one is in step again, and so much later, the next one loses its disk.
#[test]
fn the_next_disk_is_lost_right_after_the_last_repair() {
    for (count, faults) in [(3, 1), (4, 1), (5, 2)] {
        for pause in [0, 1, 50, 400, 1_000, 3_000] {
            let mut world = World::founded(pause, count, faults);
            for round in 0..3 * count {
                let lost = format!("n{}", round % count);
                acknowledged(&mut world, &format!("m{round}"));
                world.wipe(&lost, 300);
                acknowledged(&mut world, &format!("meanwhile{round}"));
                assert!(
                    world.until(REPAIR, World::is_whole),
                    "{pause} ms: {}",
                    world.describe()
                );
                world.run(pause);
                world.assert_nothing_lost();
            }
        }
    }
}

/// A machine is gone for good and an empty one comes in its place; meanwhile another one is cut off
/// for a while, and the next machine goes as soon as the new one is in step.
#[test]
fn each_machine_is_replaced_in_turn_during_cuts() {
    for (count, faults) in [(3, 1), (4, 1), (5, 2)] {
        for pause in [50, 400, 1_000, 3_000] {
            for cut_for in [100, 900, 2_500] {
                let mut world = World::founded(pause + cut_for, count, faults);
                for round in 0..2 * count {
                    let gone = world.names()[0].clone();
                    acknowledged(&mut world, &format!("m{round}"));
                    world.remove(&gone);
                    world.run(pause / 4);
                    let cut = world.names()[1].clone();
                    world.cut_off(&cut);
                    world.add_without_founding(&format!("r{:03}", round));
                    world.run(cut_for);
                    world.heal();
                    acknowledged(&mut world, &format!("meanwhile{round}"));
                    let whole = world.until(REPAIR, World::is_whole);
                    assert!(whole, "{pause} {cut_for} ms: {}", world.describe());
                    // Whoever is gone counts no more.
                    assert!(
                        world.until(REPAIR, |world| world.counts_only_living(count)),
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
fn a_member_that_leaves_stays_until_its_copy_stands_elsewhere() {
    for leaves_as_primary in [false, true] {
        let mut world = World::founded(1, 3, 1);
        let primary = world.primary().expect("a primary");
        let mut others = world.names();
        others.retain(|name| *name != primary);
        let (away, backup) = (others[0].clone(), others[1].clone());
        let leaving = if leaves_as_primary { primary } else { backup };
        // One is away, so each change is on two disks only: one of them is about to leave.
        world.kill(&away, 5_000, true);
        world.run(1_500);
        acknowledged(&mut world, "on two disks");
        world.leave(&leaving);
        for _ in 0..30 {
            world.run(100);
            assert!(!world.can_shut_down(&leaving), "its copy is one of two");
        }
        acknowledged(&mut world, "while it waits");
        assert!(world.until(REPAIR, |world| world.machines[&away].node.is_some()));
        assert!(
            world.until(REPAIR, |world| world.can_shut_down(&leaving)),
            "{}",
            world.describe()
        );
        // Now it goes with its disk, and all others lose power.
        world.remove(&leaving);
        world
            .names()
            .iter()
            .for_each(|name| world.kill(name, 500, true));
        world.run(500);
        acknowledged(&mut world, "afterwards");
        world.assert_nothing_lost();
    }
}

/// All are restarted in turn, each asks to be taken out first: no change waits for a process that
/// has ended.
#[test]
fn while_all_leave_and_return_in_turn_no_change_waits_long() {
    const LONGEST: u64 = 500;
    let mut world = World::founded(2, 4, 1);
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
            acknowledged(&mut world, &format!("m{round}-{step}"));
            longest = longest.max(world.now - started_at);
            world.run(100);
        }
        assert!(world.until(REPAIR, World::is_whole), "{}", world.describe());
    }
    println!("the longest change took {longest} ms");
    assert!(longest < LONGEST, "a change took {longest} ms");
}

/// What may befall a system that is being founded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Founding {
    /// The first seed founds with the three replicas that it knows.
    FirstWithThree,
    /// The first seed founds with all four.
    FirstWithAll,
    /// The second seed founds, with those that are left if the first one has gone.
    Second,
    /// The first seed's process is killed.
    Kill,
    /// The first seed loses its disk.
    Wipe,
    /// The first seed is cut off.
    Cut,
}

#[test]
fn one_first_view_is_decided_whoever_founds_in_whatever_order_and_whatever_befalls_the_first_seed()
{
    use Founding::{Cut, FirstWithAll, FirstWithThree, Kill, Second, Wipe};
    for trouble in [Kill, Wipe, Cut] {
        for order in orders::all(&[FirstWithThree, FirstWithAll, Second, trouble]) {
            for pause in 0..8 {
                let mut world = World::new(pause, 4, 1);
                for event in &order {
                    match event {
                        FirstWithThree => world.found_with("n0", 3),
                        FirstWithAll => world.found_with("n0", 4),
                        Second => world.found_with("n1", 4),
                        Kill => world.kill("n0", 400, false),
                        Wipe => world.wipe("n0", 400),
                        Cut => world.cut_off("n0"),
                    }
                    world.run(pause);
                }
                world.run(600);
                world.heal();
                // The seeds go on until there is a view. (World checks that there is one for each
                // epoch.)
                for _ in 0..20 {
                    if world.primary().is_none() {
                        world.found_with("n2", 4);
                    }
                    world.run(400);
                }
                assert!(
                    world.primary().is_some(),
                    "{order:?} {pause}: {}",
                    world.describe()
                );
                assert!(
                    world.until(REPAIR, World::is_whole),
                    "{order:?} {pause}: {}",
                    world.describe()
                );
            }
        }
    }
}

/// A machine whose disk is new, after the system began, has no say in the first view and can't
/// begin a second system.
#[test]
fn who_came_later_founds_nothing() {
    let mut world = World::new(3, 4, 1);
    for name in ["n0", "n1", "n2"] {
        world.wipe(name, 100);
    }
    world.run(200);
    for _ in 0..10 {
        world
            .names()
            .iter()
            .for_each(|name| world.found_with(name, 4));
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
