//! Ageing: what counts, how much, and that it only ever gets less.

use learning::age::{self, Aged, AgingConfig, Reason, SnapshotError};
use learning::snapshot::{ClassStats, Fleet, HostStats, Snapshot, UnixMillis};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const TAKEN: UnixMillis = 1_700_000_000_000;

fn fleet() -> Fleet {
    Fleet {
        classes: vec!["search".into()],
        cells: 3,
        reach: 2,
    }
}

fn fresh() -> Vec<ClassStats> {
    vec![ClassStats {
        name: "search".into(),
        median: 1e8,
        p95: 3e8,
        least: 3e8,
        attempts: (1e8, 3e8),
        weight: 0.0,
    }]
}

fn host(slowness: f32, limit: f32, errors: f32, weight: f32) -> HostStats {
    HostStats {
        started: 5,
        slowness: vec![slowness],
        delay: 0.3,
        limit,
        errors,
        weight,
        updated_at: TAKEN,
    }
}

fn snapshot(hosts: &[(&str, HostStats)]) -> Snapshot {
    let classes = vec![ClassStats {
        name: "search".into(),
        median: 1e6,
        p95: 4e6,
        least: 1e6,
        attempts: (1e6, 4e6),
        weight: 96.0,
    }];
    let hosts = hosts
        .iter()
        .map(|(uid, host)| (Arc::from(*uid), host.clone()))
        .collect();
    Snapshot {
        fleet: fleet(),
        taken_at: TAKEN,
        classes,
        hosts,
    }
}

fn listed(hosts: &[&str]) -> BTreeMap<String, UnixMillis> {
    hosts.iter().map(|uid| ((*uid).to_owned(), 5)).collect()
}

fn at(snapshot: &Snapshot, after: UnixMillis) -> Aged {
    let names: Vec<&str> = snapshot.hosts.keys().map(|uid| &**uid).collect();
    age::age(
        snapshot,
        &fleet(),
        &fresh(),
        &listed(&names),
        TAKEN + after,
        &AgingConfig::default(),
    )
    .unwrap()
}

fn why(aged: &Aged, uid: &str) -> Option<Reason> {
    aged.dropped
        .iter()
        .find(|(name, _)| name == uid)
        .map(|(_, why)| *why)
}

#[test]
fn reports_reason_of_each_dropped_host() {
    let slow = || host(4.0, 1.0, 0.0, 16.0);
    let mut reborn = slow();
    reborn.started = 4;
    let mut ahead = slow();
    ahead.updated_at = TAKEN + 900_000;
    let mut odd = slow();
    odd.slowness = vec![f32::NAN];
    let mut short = slow();
    short.slowness = Vec::new();
    let ordinary = || host(1.0, 3.0, 0.0, 16.0);
    let all = snapshot(&[
        ("slow", slow()),
        ("gone", slow()),
        ("reborn", reborn),
        ("ahead", ahead),
        ("odd", odd),
        ("short", short),
        ("hardly", host(4.0, 1.0, 0.0, 0.05)),
        ("quick", host(0.2, 9.0, 0.0, 16.0)),
        // Its limit was low because of load, which has moved on.
        ("a", host(1.0, 1.0, 0.0, 16.0)),
        ("b", ordinary()),
        ("c", ordinary()),
        ("d", ordinary()),
        ("e", ordinary()),
        ("f", ordinary()),
    ]);
    let present: Vec<&str> = all
        .hosts
        .keys()
        .map(|uid| &**uid)
        .filter(|uid| *uid != "gone")
        .collect();
    let aged = age::age(
        &all,
        &fleet(),
        &fresh(),
        &listed(&present),
        TAKEN + 1000,
        &AgingConfig::default(),
    )
    .unwrap();
    assert_eq!(
        aged.hosts
            .iter()
            .map(|(uid, _)| uid.as_str())
            .collect::<Vec<_>>(),
        ["slow"]
    );
    assert_eq!(why(&aged, "gone"), Some(Reason::NotListed));
    assert_eq!(why(&aged, "reborn"), Some(Reason::Restarted));
    for uid in ["ahead", "odd", "short", "hardly"] {
        assert_eq!(why(&aged, uid), Some(Reason::Negligible), "{uid}");
    }
    assert_eq!(why(&aged, "a"), Some(Reason::Ordinary));
    // Memory never recommends: one that was quicker than its peers is like them.
    assert_eq!(why(&aged, "quick"), Some(Reason::Ordinary));
}

#[test]
fn rejects_clock_jumps_and_other_fleets() {
    let plain = || host(1.0, 3.0, 0.0, 16.0);
    let all = snapshot(&[
        ("slow", host(4.0, 1.0, 0.0, 16.0)),
        ("a", plain()),
        ("b", plain()),
    ]);
    let age = |now: UnixMillis, fleet: &Fleet| {
        age::age(
            &all,
            fleet,
            &fresh(),
            &listed(&["slow"]),
            now,
            &AgingConfig::default(),
        )
        .map(|aged| aged.hosts.len())
    };
    assert_eq!(age(TAKEN - 1, &fleet()), Err(SnapshotError::UnknownAge));
    assert_eq!(
        age(TAKEN + 400 * 86_400_000, &fleet()),
        Err(SnapshotError::UnknownAge)
    );
    assert_eq!(
        age(
            TAKEN,
            &Fleet {
                cells: 4,
                ..fleet()
            }
        ),
        Err(SnapshotError::OtherFleet)
    );
    assert_eq!(
        age(
            TAKEN,
            &Fleet {
                classes: vec!["page".into()],
                ..fleet()
            }
        ),
        Err(SnapshotError::OtherFleet)
    );
    assert_eq!(age(TAKEN, &fleet()), Ok(1));
}

#[test]
fn common_cause_drops_hosts_but_keeps_classes() {
    let slow = || host(4.0, 1.0, 0.0, 16.0);
    let all = snapshot(&[
        ("a", slow()),
        ("b", slow()),
        ("c", host(1.0, 3.0, 0.0, 16.0)),
    ]);
    let aged = at(&all, 1000);
    assert_eq!(
        (aged.hosts.len(), why(&aged, "a")),
        (0, Some(Reason::CommonCause))
    );
    assert!(
        aged.classes[0].weight > 90.0 && aged.classes[0].p95 < 5e6,
        "{:?}",
        aged.classes[0]
    );
}

#[test]
fn statistics_decay_within_three_days() {
    let all = snapshot(&[
        ("a", host(8.0, 1.0, 1.0, 16.0)),
        ("b", host(1.0, 3.0, 0.0, 16.0)),
    ]);
    let aged = at(&all, 3 * 86_400_000);
    assert_eq!(aged.hosts.len(), 0);
    let class = &aged.classes[0];
    assert_eq!(
        (class.weight, class.p95),
        (0.0, fresh()[0].p95),
        "a new gatherer's own belief"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::default()
    })]

    /// Time passing only takes away: weights fall, and every value moves towards what a new
    /// gatherer believes.
    #[test]
    fn ageing_never_raises_a_weight_and_never_makes_a_host_better_than_a_new_one(
        hosts in prop::collection::vec((0.0f32..20.0, 0.0f32..10.0, 0.0f32..2.0, 0.0f32..40.0), 1..12),
        early in 0u64..200_000,
        more in 0u64..200_000,
    ) {
        let names: Vec<String> = (0..hosts.len()).map(|n| format!("h{n:02}")).collect();
        let memories: Vec<(&str, HostStats)> = names.iter().map(String::as_str)
            .zip(hosts.iter().map(|(s, l, e, w)| host(*s, *l, *e, *w))).collect();
        let all = snapshot(&memories);
        let (sooner, later) = (at(&all, early), at(&all, early + more));
        for (uid, old) in &later.hosts {
            let given = &all.hosts[uid.as_str()];
            prop_assert!(old.weight <= given.weight);
            prop_assert!(old.slowness[0] >= 1.0 && old.limit <= 3.0 && (0.0..=1.0).contains(&old.errors));
            // What still counts later counted sooner, and no less.
            let before = sooner.hosts.iter().find(|(name, _)| name == uid).map(|(_, h)| h);
            prop_assert!(before.is_some(), "{uid} came back");
            let before = before.unwrap();
            prop_assert!(old.weight <= before.weight && old.slowness[0] <= before.slowness[0] + 1e-4);
            prop_assert!(old.limit >= before.limit - 1e-4 && old.errors <= before.errors + 1e-4);
        }
        prop_assert!(later.classes[0].weight <= sooner.classes[0].weight);
        prop_assert_eq!(sooner.hosts.len() + sooner.dropped.len(), hosts.len());
        // The order in which hosts come makes no difference.
        let reversed: Vec<(&str, HostStats)> = memories.iter().rev().cloned().collect();
        prop_assert_eq!(at(&snapshot(&reversed), early), sooner);
    }
}
