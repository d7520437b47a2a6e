//! Tests of aging: weights, reasons for dropping, and that weights only decrease.

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

fn drop_reason(aged: &Aged, uid: &str) -> Option<Reason> {
    aged.dropped
        .iter()
        .find(|(name, _)| name == uid)
        .map(|(_, reason)| *reason)
}

#[test]
fn reports_reason_of_each_dropped_host() {
    let slow = || host(4.0, 1.0, 0.0, 16.0);
    let mut restarted = slow();
    restarted.started = 4;
    let mut future = slow();
    future.updated_at = TAKEN + 900_000;
    let mut not_finite = slow();
    not_finite.slowness = vec![f32::NAN];
    let mut missing_class = slow();
    missing_class.slowness = Vec::new();
    let ordinary = || host(1.0, 3.0, 0.0, 16.0);
    let all = snapshot(&[
        ("slow", slow()),
        ("unlisted", slow()),
        ("restarted", restarted),
        ("future", future),
        ("not-finite", not_finite),
        ("missing-class", missing_class),
        ("few-answers", host(4.0, 1.0, 0.0, 0.05)),
        ("fast", host(0.2, 9.0, 0.0, 16.0)),
        // The limit of this host was low because of its load, which has moved since.
        ("a", host(1.0, 1.0, 0.0, 16.0)),
        ("b", ordinary()),
        ("c", ordinary()),
        ("d", ordinary()),
        ("e", ordinary()),
        ("f", ordinary()),
    ]);
    let on_list: Vec<&str> = all
        .hosts
        .keys()
        .map(|uid| &**uid)
        .filter(|uid| *uid != "unlisted")
        .collect();
    let aged = age::age(
        &all,
        &fleet(),
        &fresh(),
        &listed(&on_list),
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
    assert_eq!(drop_reason(&aged, "unlisted"), Some(Reason::NotListed));
    assert_eq!(drop_reason(&aged, "restarted"), Some(Reason::Restarted));
    for uid in ["future", "not-finite", "missing-class", "few-answers"] {
        assert_eq!(drop_reason(&aged, uid), Some(Reason::Negligible), "{uid}");
    }
    assert_eq!(drop_reason(&aged, "a"), Some(Reason::Ordinary));
    // Statistics never raise a rating: a host that was faster than its peers gets the defaults.
    assert_eq!(drop_reason(&aged, "fast"), Some(Reason::Ordinary));
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
        (aged.hosts.len(), drop_reason(&aged, "a")),
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
        "the default of a new gatherer"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::default()
    })]

    /// With time weights decrease, and every value moves towards the default of a new gatherer.
    #[test]
    fn aging_never_raises_a_weight_or_rates_a_host_above_the_default(
        hosts in prop::collection::vec((0.0f32..20.0, 0.0f32..10.0, 0.0f32..2.0, 0.0f32..40.0), 1..12),
        early in 0u64..200_000,
        additional in 0u64..200_000,
    ) {
        let names: Vec<String> = (0..hosts.len()).map(|n| format!("h{n:02}")).collect();
        let stats: Vec<(&str, HostStats)> = names.iter().map(String::as_str)
            .zip(hosts.iter().map(|(s, l, e, w)| host(*s, *l, *e, *w))).collect();
        let all = snapshot(&stats);
        let (sooner, later) = (at(&all, early), at(&all, early + additional));
        for (uid, old) in &later.hosts {
            let given = &all.hosts[uid.as_str()];
            prop_assert!(old.weight <= given.weight);
            prop_assert!(old.slowness[0] >= 1.0 && old.limit <= 3.0 && (0.0..=1.0).contains(&old.errors));
            // A host that is retained later was retained earlier, with at least the same weight.
            let before = sooner.hosts.iter().find(|(name, _)| name == uid).map(|(_, h)| h);
            prop_assert!(before.is_some(), "{uid} was retained only later");
            let before = before.unwrap();
            prop_assert!(old.weight <= before.weight && old.slowness[0] <= before.slowness[0] + 1e-4);
            prop_assert!(old.limit >= before.limit - 1e-4 && old.errors <= before.errors + 1e-4);
        }
        prop_assert!(later.classes[0].weight <= sooner.classes[0].weight);
        prop_assert_eq!(sooner.hosts.len() + sooner.dropped.len(), hosts.len());
        // The order of the hosts makes no difference.
        let reversed: Vec<(&str, HostStats)> = stats.iter().rev().cloned().collect();
        prop_assert_eq!(at(&snapshot(&reversed), early), sooner);
    }
}
