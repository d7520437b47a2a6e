//! Replication under faults: no acknowledged change is lost, no replica regresses, and there is at
//! most one primary at a time.

mod world;

use assert_matches::assert_matches;
use control::changes::{Outcome, Rejection};
use control::message::Message;
use world::network::Interception;
use world::{World, change, configuration};

/// Long enough for a lease to expire and another replica to become primary.
const FAILOVER: u64 = 3_000;

fn commit_change(world: &mut World, version: u64) {
    // A view change may be in progress.
    assert!(world.run_until(500, |world| world.primary().is_some()));
    let primary = world.primary().expect("a primary");
    let ticket = world.submit(&primary, change("m", version));
    assert!(world.run_until(FAILOVER, |world| world.outcomes.contains_key(&ticket)));
    assert_matches!(world.outcomes[&ticket], Outcome::Committed);
}

#[test]
fn a_change_is_acknowledged_and_known_everywhere() {
    let mut world = World::bootstrapped(1, 3, 1);
    commit_change(&mut world, 2);
    world.run(100);
    let known = |world: &World, name: &str| {
        world.machines[name]
            .node
            .as_ref()
            .unwrap()
            .state()
            .position
            .index
    };
    assert!(world.names().iter().all(|name| known(&world, name) == 1));
}

#[test]
fn the_primary_is_killed_and_another_one_goes_on() {
    let mut world = World::bootstrapped(2, 3, 1);
    commit_change(&mut world, 2);
    let first = world.primary().unwrap();
    world.kill(&first, 60_000, true);
    assert!(world.run_until(FAILOVER, |world| {
        world.primary().is_some_and(|name| name != first)
    }));
    commit_change(&mut world, 3);
    world.assert_nothing_lost();
}

/// The machine that acknowledged the change loses its disk while all others lose power.
#[test]
fn acknowledged_changes_survive_a_lost_disk_and_a_power_loss() {
    for (seed, count) in [(3, 3), (4, 4), (5, 5)] {
        let mut world = World::bootstrapped(seed, count, 1);
        for version in 2..5 {
            commit_change(&mut world, version);
            let wiped = world.primary().unwrap();
            for name in world.names() {
                if name == wiped {
                    world.wipe(&name, 1_300)
                } else {
                    world.kill(&name, 1_300, true)
                }
            }
            assert!(
                world.run_until(8_000, |world| world.primary().is_some()),
                "no primary among {count} replicas"
            );
            world.assert_nothing_lost();
            // The wiped machine rejoins the in-sync set.
            world.run(3_000);
            let view = world.machines[&wiped]
                .node
                .as_ref()
                .unwrap()
                .view()
                .cloned()
                .expect("a view");
            assert!(
                view.in_sync.iter().any(|replica| replica.node == *wiped),
                "{view:?}"
            );
        }
    }
}

/// A backup is partitioned and removed, rejoins and loses its disk. Later the primary loses its
/// disk while all others lose power.
#[test]
fn acknowledged_changes_survive_a_rejoined_replica_and_lost_disks() {
    let mut world = World::bootstrapped(6, 4, 1);
    let primary = world.primary().unwrap();
    let cut = world
        .names()
        .into_iter()
        .find(|name| *name != primary)
        .unwrap();
    world.cut_off(&cut);
    world.run(2_000);
    commit_change(&mut world, 2);
    world.heal();
    world.run(2_000);
    world.wipe(&cut, 3_000);
    world.run(500);
    commit_change(&mut world, 3);
    world.run(6_000);
    commit_change(&mut world, 4);
    let wiped = world.primary().unwrap();
    for name in world.names() {
        if name == wiped {
            world.wipe(&name, 1_300)
        } else {
            world.kill(&name, 1_300, true)
        }
    }
    assert!(
        world.run_until(8_000, |world| world.primary().is_some()),
        "no primary after the restart"
    );
    world.assert_nothing_lost();
}

#[test]
fn all_processes_are_killed_in_the_middle_of_changes_and_come_back() {
    for seed in 0..20 {
        let mut world = World::bootstrapped(seed, 3, 1);
        commit_change(&mut world, 2);
        let primary = world.primary().unwrap();
        world.submit(&primary, change("m", 3));
        world.run(seed % 8);
        for name in world.names() {
            world.kill(&name, 800, seed % 2 == 0);
        }
        assert!(
            world.run_until(6_000, |world| world.primary().is_some()),
            "seed {seed}"
        );
        world.assert_nothing_lost();
        commit_change(&mut world, 4);
    }
}

/// During a partition, two operators replace the same version on different sides. Only the change
/// on the majority side is committed.
#[test]
fn only_the_change_on_the_majority_side_is_committed() {
    let mut world = World::bootstrapped(7, 3, 1);
    let first = world.primary().unwrap();
    let ticket = world.submit(&first, configuration(0, 3, "first"));
    world.run(200);
    assert_matches!(world.outcomes[&ticket], Outcome::Committed);
    world.cut_off(&first);
    let minority = world.submit(&first, configuration(3, 5, "minority"));
    assert!(world.run_until(FAILOVER, |world| {
        world.primary().is_some_and(|name| name != first)
    }));
    let second = world.primary().unwrap();
    let majority = world.submit(&second, configuration(3, 6, "majority"));
    world.run(500);
    assert_matches!(world.outcomes[&majority], Outcome::Committed);
    world.heal();
    world.run(3_000);
    assert_matches!(world.outcomes[&minority], Outcome::Unknown);
    let again = world.submit(&second, configuration(3, 6, "majority"));
    let other = world.submit(&second, configuration(3, 5, "minority"));
    world.run(200);
    assert_matches!(
        world.outcomes[&again],
        Outcome::Committed,
        "a retry of a committed change is acknowledged"
    );
    assert_matches!(
        world.outcomes[&other],
        Outcome::Rejected(Rejection::VersionConflict { current: 6 })
    );
}

#[test]
fn a_primary_whose_disk_hangs_hands_its_role_over() {
    let mut world = World::bootstrapped(8, 3, 1);
    commit_change(&mut world, 2);
    let first = world.primary().unwrap();
    world.machines.get_mut(&first).unwrap().sync = None;
    let ticket = world.submit(&first, change("m", 3));
    assert!(world.run_until(FAILOVER, |world| {
        world.primary().is_some_and(|name| name != first)
    }));
    assert!(
        world.outcomes.contains_key(&ticket),
        "the caller waits for a disk that hangs"
    );
    commit_change(&mut world, 4);
}

/// One machine after the other is removed for good and replaced by an empty one at another address.
#[test]
fn machines_that_are_replaced_one_after_the_other_leave_a_majority() {
    let mut world = World::bootstrapped(10, 3, 1);
    commit_change(&mut world, 2);
    for (round, gone) in ["n0", "n1", "n2", "n3"].into_iter().enumerate() {
        world.remove(gone);
        world.run(800);
        world.add(&format!("n{}", round + 3));
        world.run(6_000);
        let led = world.run_until(FAILOVER, |world| world.primary().is_some());
        assert!(led, "after {gone} was replaced");
        commit_change(&mut world, round as u64 + 3);
        world.assert_nothing_lost();
    }
}

#[test]
fn a_frozen_primary_wakes_without_its_lease() {
    let mut world = World::bootstrapped(9, 3, 1);
    let first = world.primary().unwrap();
    world.freeze(&first, 4_000);
    assert!(world.run_until(FAILOVER, |world| world.primary().is_some()));
    world.run(4_100);
    assert!(world.leader_count() <= 1);
    commit_change(&mut world, 2);
}

/// Random faults by seed. There is at most one primary at any time, and no acknowledged change is
/// lost. `CONTROL_SEEDS` sets the number of seeds.
#[test]
fn random_faults_lose_no_acknowledged_change() {
    let seeds = std::env::var("CONTROL_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(150);
    for seed in 0..seeds {
        run_random_faults(seed);
    }
}

fn run_random_faults(seed: u64) {
    let count = 3 + (seed % 3) as usize;
    let mut world = World::bootstrapped(seed, count, 1);
    world.loss = if seed % 4 == 0 { 0.02 } else { 0.0 };
    world.latency = 1 + seed % 5;
    let mut version = 1;
    // Each fault affects one machine, or all processes, and is followed by time to catch up.
    for _ in 0..6 {
        let names = world.names();
        let victim = names[world.rng.usize(0..names.len())].clone();
        match world.rng.u8(0..8) {
            0 => world.kill(&victim, 1_500, false),
            1 => world.kill(&victim, 2_500, true),
            2 => world.wipe(&victim, 1_000),
            3 => world.freeze(&victim, 3_000),
            4 => world.cut_off(&victim),
            5 => world.machines.get_mut(&victim).unwrap().sync = None,
            6 => world.machines.get_mut(&victim).unwrap().sync = Some(60),
            _ => names.iter().for_each(|name| world.kill(name, 700, true)),
        }
        for _ in 0..40 {
            if world.rng.u8(0..4) == 0 {
                version += 1;
                let name = names[world.rng.usize(0..names.len())].clone();
                world.submit(&name, change("m", version));
            }
            world.run(100);
            assert!(world.leader_count() <= 1, "seed {seed}: two primaries");
        }
        world.heal();
        world.restore_disks();
        world.run(4_500);
        // A lost message may have caused a view change that is still in progress.
        let led = world.run_until(2_000, |world| world.primary().is_some());
        assert!(led, "seed {seed}: no primary after a fault");
        world.assert_nothing_lost();
    }
}

/// Guards against requests that are served by an unconfirmed state although there is a primary: its
/// backups learned that their state is the newest only by its next regular heartbeat.
#[test]
fn backups_know_their_state_to_be_newest_once_primary_leads() {
    const MESSAGES: u64 = 10;
    for seed in 0..10 {
        let mut world = World::bootstrapped(seed, 3, 1);
        commit_change(&mut world, 2);
        world
            .names()
            .iter()
            .for_each(|name| world.kill(name, 100, true));
        assert!(world.run_until(FAILOVER, |world| world.primary().is_some()));
        world.run(MESSAGES);
        for name in world.names() {
            let is_known = world.current_at(&name).is_some();
            assert!(
                is_known,
                "seed {seed}: {name} {MESSAGES} ms after the start"
            );
        }
    }
}

#[test]
fn partitioned_replica_does_not_consider_its_state_current() {
    const MAX_STATE_AGE: u64 = 1_000;
    let mut world = World::bootstrapped(11, 5, 2);
    world.run(500);
    let primary = world.primary().unwrap();
    let is_current = |world: &World, name: &str| {
        world
            .current_at(name)
            .is_some_and(|at| world.now < at + MAX_STATE_AGE)
    };
    for name in world.names() {
        assert!(
            is_current(&world, &name),
            "{name} receives heartbeats of the primary {primary}"
        );
    }
    let partitioned: Vec<String> = world
        .names()
        .into_iter()
        .filter(|name| *name != primary)
        .take(2)
        .collect();
    partitioned.iter().for_each(|name| world.cut_off(name));
    world.run(1_500);
    for name in world.names() {
        assert_eq!(
            is_current(&world, &name),
            !partitioned.contains(&name),
            "{name} during the partition"
        );
    }
    commit_change(&mut world, 2);
    world.heal();
    assert!(
        world.run_until(5_000, |world| partitioned
            .iter()
            .all(|name| is_current(world, name))),
        "after the partition"
    );
}

/// Guards against a lost change that random walks of the view model found (seed 83), not seen in
/// production: a full state sent to a backup was delayed and arrived after the backup had stored a
/// change that was then acknowledged. The backup reverted to the state without the change, and
/// became primary when the former primary lost its disk.
#[test]
fn delayed_state_reverts_no_acknowledged_change() {
    let mut world = World::bootstrapped(1, 3, 1);
    commit_change(&mut world, 1);
    let (former, primary, backup) = ("n0", "n1", "n2");
    assert_eq!(world.primary().as_deref(), Some(former));
    // Only the backup stores a change before the primary fails. The successor lacks the change and
    // sends the backup its own full state, which is delayed and sent again.
    world.intercept(primary, |message| match message {
        Message::Replicate { .. } => Interception::Drop,
        _ => Interception::Deliver,
    });
    world.submit(former, change("m", 2));
    world.run(20);
    world.kill(former, 60_000, true);
    world.intercept(backup, |message| match message {
        Message::Install { .. } => Interception::Hold,
        _ => Interception::Deliver,
    });
    world.run(800);
    // The next change is acknowledged, and the backup does not learn of the commit.
    world.intercept(backup, |message| match message {
        Message::Committed { .. } | Message::Heartbeat { .. } => Interception::Drop,
        _ => Interception::Deliver,
    });
    let leads = |world: &World| world.primary().as_deref() == Some(primary);
    assert!(world.run_until(2_000, leads), "{}", world.describe());
    world.submit(primary, change("m", 3));
    let is_acknowledged = |world: &World| world.acknowledged.contains(&change("m", 3));
    assert!(
        world.run_until(1_000, is_acknowledged),
        "{}",
        world.describe()
    );
    assert!(world.release_held() > 0, "no state was delayed");
    world.run(10);
    world.wipe(primary, 200);
    world.boot(former);
    world.interceptor = None;
    let leads = |world: &World| world.primary().as_deref() == Some(backup);
    assert!(world.run_until(8_000, leads), "{}", world.describe());
    world.assert_nothing_lost();
}

/// At varying times after a change was submitted, a backup loses its disk and the primary its
/// power. The primary's disk is slow: if its copy counted before it was durable, the only durable
/// copy of an acknowledged change could be on the lost disk.
#[test]
fn primary_copy_counts_once_it_is_durable() {
    const SLOW_SYNC: u64 = 120;
    let mut acknowledged = 0;
    for fails_after in (1..2 * SLOW_SYNC).step_by(5) {
        let mut world = World::bootstrapped(fails_after, 3, 1);
        let primary = world.primary().expect("a primary");
        let backups = world.names().into_iter().filter(|name| *name != primary);
        let backups: Vec<String> = backups.collect();
        // Only the primary and one backup store the change.
        world.cut_off(&backups[1]);
        let has_two = |world: &World| !world.is_in_sync(&backups[1]);
        assert!(world.run_until(5_000, has_two), "{}", world.describe());
        world.machines.get_mut(&primary).expect("a machine").sync = Some(SLOW_SYNC);
        world.submit(&primary, change("m", 1));
        world.run(fails_after);
        acknowledged += world.acknowledged.len();
        world.wipe(&backups[0], 300);
        world.kill(&primary, 300, true);
        world.heal();
        world.restore_disks();
        let leads = |world: &World| world.primary().is_some();
        assert!(world.run_until(8_000, leads), "{}", world.describe());
        world.assert_nothing_lost();
    }
    assert!(
        acknowledged > 10,
        "only {acknowledged} changes were acknowledged"
    );
}
