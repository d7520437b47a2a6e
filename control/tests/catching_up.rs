//! A replica that comes back behind, or empty, is brought up while changes go on, in bounded time
//! and bytes; and whatever it came back with, it does not lead with old state.

mod world;

use control::changes::Outcome;
use world::{World, change, configuration};

/// Time in which a replica has to be in step again.
const CATCH_UP: u64 = 5_000;

/// Runs for so long with a change at the primary each `interval`, or until `name` is in sync if
/// that is wanted.
fn busy(world: &mut World, lasts: u64, interval: u64, until_in_sync: Option<&str>) -> Option<u64> {
    let started_at = world.now;
    while world.now < started_at + lasts {
        if (world.now - started_at) % interval == 0
            && let Some(primary) = world.primary()
        {
            let number = world.asked.len();
            world.submit(&primary, change(&format!("m{number}"), 1));
        }
        if until_in_sync.is_some_and(|name| world.is_in_sync(name)) {
            return Some(world.now - started_at);
        }
        world.run(1);
    }
    None
}

fn backup(world: &World) -> String {
    let primary = world.primary().expect("a primary");
    world
        .names()
        .into_iter()
        .find(|name| *name != primary)
        .expect("a backup")
}

/// How changes, messages and disks are timed.
struct Pace {
    interval: u64,
    latency: u64,
    sync: u64,
}

fn comes_back_under_load(pace: &Pace, is_wiped: bool) {
    let mut world = World::founded(1, 3, 1);
    world.latency = pace.latency;
    for name in world.names() {
        world.machines.get_mut(&name).expect("a machine").sync = Some(pace.sync);
    }
    busy(&mut world, 2_000, pace.interval, None);
    let away = backup(&world);
    // It comes back right after the bytes begin to be counted.
    if is_wiped {
        world.wipe(&away, 1_610)
    } else {
        world.kill(&away, 1_610, true)
    }
    busy(&mut world, 1_600, pace.interval, None);
    let before = world.bytes_sent_to(&away);
    let took = busy(&mut world, CATCH_UP, pace.interval, Some(&away));
    let Pace {
        interval,
        latency,
        sync,
    } = pace;
    let setting =
        format!("a change each {interval} ms, messages of {latency} ms, syncs of {sync} ms");
    assert!(
        took.is_some(),
        "{setting}: not in step after {CATCH_UP} ms; {}",
        world.describe()
    );
    let bytes = world.bytes_sent_to(&away) - before;
    println!("{setting}, wiped {is_wiped}: in step after {took:?} ms, {bytes} bytes");
    assert!(bytes < 300_000, "{setting}: {bytes} bytes were sent");
    let done = world
        .outcomes
        .values()
        .filter(|outcome| **outcome == Outcome::Committed)
        .count();
    assert!(done > 20, "{setting}: {done} changes were made meanwhile");
    world.assert_nothing_lost();
}

#[test]
fn a_replica_is_taken_back_while_changes_come_without_a_pause() {
    for interval in [10, 20, 40] {
        for latency in [1, 5, 15] {
            for sync in [2, 15, 60] {
                comes_back_under_load(
                    &Pace {
                        interval,
                        latency,
                        sync,
                    },
                    true,
                );
                comes_back_under_load(
                    &Pace {
                        interval,
                        latency,
                        sync,
                    },
                    false,
                );
            }
        }
    }
}

/// Who was away for a short time is sent what it lacks, not everything.
#[test]
fn a_short_absence_costs_what_was_missed_and_not_the_whole_state() {
    let mut world = World::founded(2, 3, 1);
    let primary = world.primary().expect("a primary");
    let padding = "x".repeat(400_000);
    world.submit(&primary, configuration(0, 1, &padding));
    assert!(world.until(1_000, |world| world.acknowledged.len() == 1));
    let away = backup(&world);
    world.kill(&away, 1_500, true);
    busy(&mut world, 1_400, 100, None);
    let before = world.bytes_sent_to(&away);
    assert!(world.until(CATCH_UP, |world| world.is_in_sync(&away)));
    let bytes = world.bytes_sent_to(&away) - before;
    assert!(
        bytes < 20_000,
        "{bytes} bytes for a dozen small changes beside a configuration of 400 KB"
    );
}

#[test]
fn ten_thousand_changes_later_a_restarted_and_an_empty_replica_are_in_step_and_may_lead() {
    let mut world = World::founded(3, 3, 1);
    let mut version = 0;
    while world.state_index() < 10_000 {
        let primary = world.primary().expect("a primary");
        if world.state_index() % 50 == 0 {
            world.submit(&primary, configuration(version, version + 3, "grows"));
            version += 3;
        } else {
            world.submit(
                &primary,
                change(
                    &format!("m{}", world.state_index() % 40),
                    world.state_index(),
                ),
            );
        }
        let before = world.state_index();
        assert!(world.until(1_000, |world| world.state_index() > before));
        world.compact_disks(200_000);
    }
    let restarted = backup(&world);
    world.kill(&restarted, 500, true);
    assert!(world.until(CATCH_UP, |world| world.machines[&restarted].node.is_some()));
    assert!(world.until(CATCH_UP, |world| world.is_in_sync(&restarted)));
    world.wipe(&restarted, 500);
    assert!(world.until(CATCH_UP, |world| world.machines[&restarted].node.is_some()));
    assert!(world.until(CATCH_UP, |world| world.is_in_sync(&restarted)));
    // It leads once all others are away, with everything.
    let all = world.state_index();
    let primary = world.primary().expect("a primary");
    world.kill(&primary, 60_000, true);
    assert!(world.until(6_000, |world| world.primary().is_some()));
    assert_eq!(world.state_index(), all);
    assert_eq!(world.newest_reading(), Some(version));
    world.assert_nothing_lost();
}

/// Configurations of a megabyte and of eight: taken, outliving a lost disk, and brought to an empty
/// replica meanwhile.
#[test]
fn large_configurations_are_brought_to_an_empty_replica_while_others_follow() {
    for megabytes in [1, 8] {
        let mut world = World::founded(4, 3, 1);
        // 25 MB a second on a link, and as much on a disk.
        world.bytes_per_ms = Some(25_000);
        let mut version = 0;
        let mut send = |world: &mut World| {
            let primary = world.primary().expect("a primary");
            let padding = "x".repeat(megabytes << 20);
            let ticket = world.submit(&primary, configuration(version, version + 1, &padding));
            version += 1;
            assert!(world.until(3_500, |world| world.outcomes.contains_key(&ticket)));
            assert_eq!(
                world.outcomes[&ticket],
                Outcome::Committed,
                "{megabytes} MB"
            );
        };
        send(&mut world);
        let away = backup(&world);
        world.wipe(&away, 300);
        for _ in 0..3 {
            // The next one is under way while the empty replica is brought up.
            assert!(world.until(3_000, |world| world.primary().is_some()));
            send(&mut world);
        }
        assert!(
            world.until(2 * CATCH_UP, |world| world.is_in_sync(&away)),
            "{megabytes} MB"
        );
        world.assert_nothing_lost();
    }
}
