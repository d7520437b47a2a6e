//! State transfer to replicas that return with old state or an empty disk, under load: bounded in
//! time and bytes, and complete before the replica can become primary.

mod world;

use control::changes::Outcome;
use world::{World, change, configuration};

/// The time within which a replica has to be in sync again.
const CATCH_UP: u64 = 5_000;

/// Submits a change to the primary every `interval` for `duration`, or until the machine
/// `until_in_sync` is in sync. Returns the time that took.
fn run_under_load(
    world: &mut World,
    duration: u64,
    interval: u64,
    until_in_sync: Option<&str>,
) -> Option<u64> {
    let started_at = world.now;
    while world.now < started_at + duration {
        if (world.now - started_at) % interval == 0
            && let Some(primary) = world.primary()
        {
            let number = world.submitted.len();
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

/// The interval of changes, the latency of messages, and the duration of disk syncs.
struct Load {
    interval: u64,
    latency: u64,
    sync: u64,
}

fn assert_rejoins_under_load(load: &Load, is_wiped: bool) {
    let mut world = World::bootstrapped(1, 3, 1);
    world.latency = load.latency;
    for name in world.names() {
        world.machines.get_mut(&name).expect("a machine").sync = Some(load.sync);
    }
    run_under_load(&mut world, 2_000, load.interval, None);
    let down = backup(&world);
    // The replica restarts right after the byte count is read below.
    if is_wiped {
        world.wipe(&down, 1_610)
    } else {
        world.kill(&down, 1_610, true)
    }
    run_under_load(&mut world, 1_600, load.interval, None);
    let before = world.bytes_sent_to(&down);
    let took = run_under_load(&mut world, CATCH_UP, load.interval, Some(&down));
    let Load {
        interval,
        latency,
        sync,
    } = load;
    let setting = format!("interval {interval} ms, latency {latency} ms, sync {sync} ms");
    assert!(
        took.is_some(),
        "{setting}: not in sync after {CATCH_UP} ms; {}",
        world.describe()
    );
    let bytes = world.bytes_sent_to(&down) - before;
    println!("{setting}, wiped {is_wiped}: in sync after {took:?} ms, {bytes} bytes");
    assert!(bytes < 300_000, "{setting}: {bytes} bytes were sent");
    let committed = world
        .outcomes
        .values()
        .filter(|outcome| **outcome == Outcome::Committed)
        .count();
    assert!(
        committed > 20,
        "{setting}: only {committed} changes were committed"
    );
    world.assert_nothing_lost();
}

#[test]
fn replica_rejoins_under_continuous_load() {
    for interval in [10, 20, 40] {
        for latency in [1, 5, 15] {
            for sync in [2, 15, 60] {
                assert_rejoins_under_load(
                    &Load {
                        interval,
                        latency,
                        sync,
                    },
                    true,
                );
                assert_rejoins_under_load(
                    &Load {
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

/// A replica that was down briefly is sent only the updates that it lacks.
#[test]
fn short_absence_transfers_only_missed_updates() {
    let mut world = World::bootstrapped(2, 3, 1);
    let primary = world.primary().expect("a primary");
    let padding = "x".repeat(400_000);
    world.submit(&primary, configuration(0, 1, &padding));
    assert!(world.run_until(1_000, |world| world.acknowledged.len() == 1));
    let down = backup(&world);
    world.kill(&down, 1_500, true);
    run_under_load(&mut world, 1_400, 100, None);
    let before = world.bytes_sent_to(&down);
    assert!(world.run_until(CATCH_UP, |world| world.is_in_sync(&down)));
    let bytes = world.bytes_sent_to(&down) - before;
    assert!(
        bytes < 20_000,
        "{bytes} bytes for a dozen small changes beside a configuration of 400 KB"
    );
}

#[test]
fn restarted_and_wiped_replica_catches_up_with_ten_thousand_changes() {
    let mut world = World::bootstrapped(3, 3, 1);
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
        assert!(world.run_until(1_000, |world| world.state_index() > before));
        world.compact_disks(200_000);
    }
    let restarted = backup(&world);
    world.kill(&restarted, 500, true);
    assert!(world.run_until(CATCH_UP, |world| world.machines[&restarted].node.is_some()));
    assert!(world.run_until(CATCH_UP, |world| world.is_in_sync(&restarted)));
    world.wipe(&restarted, 500);
    assert!(world.run_until(CATCH_UP, |world| world.machines[&restarted].node.is_some()));
    assert!(world.run_until(CATCH_UP, |world| world.is_in_sync(&restarted)));
    // With the primary down, the new primary has the complete state.
    let all = world.state_index();
    let primary = world.primary().expect("a primary");
    world.kill(&primary, 60_000, true);
    assert!(world.run_until(6_000, |world| world.primary().is_some()));
    assert_eq!(world.state_index(), all);
    assert_eq!(world.newest_reading(), Some(version));
    world.assert_nothing_lost();
}

/// Configurations of 1 MB and of 8 MB are committed while a wiped replica catches up, and survive
/// the lost disk.
#[test]
fn empty_replica_catches_up_while_large_configurations_follow() {
    for megabytes in [1, 8] {
        let mut world = World::bootstrapped(4, 3, 1);
        // 25 MB/s for each link and disk.
        world.bytes_per_ms = Some(25_000);
        let mut version = 0;
        let mut send = |world: &mut World| {
            let primary = world.primary().expect("a primary");
            let padding = "x".repeat(megabytes << 20);
            let ticket = world.submit(&primary, configuration(version, version + 1, &padding));
            version += 1;
            assert!(world.run_until(3_500, |world| world.outcomes.contains_key(&ticket)));
            assert_eq!(
                world.outcomes[&ticket],
                Outcome::Committed,
                "{megabytes} MB"
            );
        };
        send(&mut world);
        let down = backup(&world);
        world.wipe(&down, 300);
        for _ in 0..3 {
            // The next configuration is replicated while the empty replica catches up.
            assert!(world.run_until(3_000, |world| world.primary().is_some()));
            send(&mut world);
        }
        assert!(
            world.run_until(2 * CATCH_UP, |world| world.is_in_sync(&down)),
            "{megabytes} MB"
        );
        world.assert_nothing_lost();
    }
}
