//! Tests of random scenarios and of the table of their outcomes.

use simulation::scenarios::{Focus, KINDS, Outcome, generate, kinds_in_listing, violation_table};
use std::collections::BTreeSet;

const LISTING: &str = "Each entry has 'at' and 'kind'.\n\nhot_key: share\nhup: share\n\nthese may come too:\nburst: x times\n";

fn contains_kind(text: &str, name: &str) -> bool {
    text.contains(&format!("kind = \"{name}\""))
}

#[test]
fn generates_only_listed_kinds() {
    let kinds = kinds_in_listing(LISTING);
    let names: Vec<&str> = kinds.iter().map(|kind| kind.name).collect();
    assert_eq!(names, ["hup", "burst", "hot_key"]);
    for seed in 0..200 {
        let scenario = generate(&kinds, Focus::All, "d", seed);
        for kind in KINDS.iter().filter(|kind| !names.contains(&kind.name)) {
            assert!(!contains_kind(&scenario, kind.name), "{scenario}");
        }
    }
}

#[test]
fn same_seed_gives_same_scenario() {
    let mut generated = BTreeSet::new();
    for seed in 0..400 {
        let scenario = generate(KINDS, Focus::All, "d", seed);
        assert_eq!(scenario, generate(KINDS, Focus::All, "d", seed));
        generated.extend(
            KINDS
                .iter()
                .map(|kind| kind.name)
                .filter(|name| contains_kind(&scenario, name)),
        );
    }
    assert_eq!(generated.len(), KINDS.len());
}

#[test]
fn separates_planned_work_from_faults() {
    for seed in 0..100 {
        let scenario = generate(KINDS, Focus::All, "d", seed);
        let (before, faults) = scenario.split_once("faults = ").unwrap();
        let plan = before.split_once("plan = ").unwrap().1;
        for kind in KINDS {
            let other = if kind.planned { faults } else { plan };
            assert!(
                !contains_kind(other, kind.name),
                "{} in the wrong list of {scenario}",
                kind.name
            );
        }
        assert!(
            faults.matches("kind = ").count() >= 4,
            "fewer than two single faults and one pair: {faults}"
        );
    }
}

#[test]
fn control_scenarios_cover_all_partitions() {
    let mut variants = BTreeSet::new();
    for seed in 0..400 {
        let scenario = generate(KINDS, Focus::Control, "d", seed);
        for kind in KINDS.iter().filter(|kind| !kind.concerns_control_state()) {
            assert!(
                !contains_kind(&scenario, kind.name),
                "{} in {scenario}",
                kind.name
            );
        }
        let partitions = scenario
            .split("kind = \"core_cut\"")
            .skip(1)
            .filter_map(|entry| entry.split('}').next());
        variants.extend(partitions.flat_map(|entry| {
            entry
                .split(['"', ' '])
                .map(str::to_owned)
                .collect::<Vec<_>>()
        }));
    }
    for variant in [
        "behind", "split", "one_way", "relieve", "lure", "leader", "hard", "race", "drain",
    ] {
        assert!(variants.contains(variant), "{variant} among {variants:?}");
    }
}

#[test]
fn table_counts_scenarios_by_kind_and_rule() {
    let scenario = |kinds: &[&str], violated: &[&str]| Outcome {
        kinds: kinds.iter().map(|&kind| kind.to_owned()).collect(),
        violated: violated.iter().map(|&rule| rule.to_owned()).collect(),
    };
    let outcomes = [
        scenario(&["hup", "burst"], &["CONFIG"]),
        scenario(&["burst"], &[]),
    ];
    let text = violation_table(&outcomes);
    let row = |name: &str| -> Vec<String> {
        let line = text.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().map(str::to_owned).collect()
    };
    assert_eq!(row("kind"), ["kind", "days", "CONFIG"]);
    assert_eq!(row("burst"), ["burst", "2", "1"]);
    assert_eq!(row("hup"), ["hup", "1", "1"]);
    assert!(text.ends_with("2 days, 1 with a rule broken\n"));
}

#[test]
fn series_scenarios_overlap() {
    for seed in 0..100 {
        let scenario = generate(KINDS, Focus::Series, "d", seed);
        assert!(
            scenario.matches("kind = \"version_bump\"").count() >= 3,
            "{scenario}"
        );
        assert!(
            contains_kind(&scenario, "config_storm") && contains_kind(&scenario, "give_up"),
            "{scenario}"
        );
        assert_eq!(scenario, generate(KINDS, Focus::Series, "d", seed));
    }
    // Kinds that the bench does not list are omitted.
    let scenario = generate(&kinds_in_listing(LISTING), Focus::Series, "d", 1);
    assert!(
        !contains_kind(&scenario, "version_bump") && !contains_kind(&scenario, "give_up"),
        "{scenario}"
    );
}

#[test]
fn long_scenarios_contain_changes_and_leader_faults() {
    for seed in 0..50 {
        let scenario = generate(KINDS, Focus::Long, "d", seed);
        assert_eq!(scenario, generate(KINDS, Focus::Long, "d", seed));
        assert!(scenario.contains("length_s = 180"), "{scenario}");
        let count = |text: &str| scenario.matches(text).count();
        assert!(
            count("config_change") >= 120,
            "seed {seed}: {}",
            count("config_change")
        );
        assert!(
            count("version_bump") >= 8,
            "seed {seed}: {}",
            count("version_bump")
        );
        assert!(
            count("how = \"leader\"") >= 20,
            "seed {seed}: {}",
            count("leader")
        );
    }
    let scenario = generate(&kinds_in_listing(LISTING), Focus::Long, "d", 1);
    assert!(
        !scenario.contains("version_bump"),
        "kind that the bench does not list: {scenario}"
    );
}
