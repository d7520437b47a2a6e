//! Days drawn at random, and the table of what came of them.

use simulation::days::{Focus, KINDS, Played, draw, listed, table};
use std::collections::BTreeSet;

const LISTING: &str = "Each entry has 'at' and 'kind'.\n\nhot_key: share\nhup: share\n\nthese may come too:\nburst: x times\n";

fn names_kind(text: &str, name: &str) -> bool {
    text.contains(&format!("kind = \"{name}\""))
}

#[test]
fn only_kinds_that_the_deployment_lists_are_drawn() {
    let kinds = listed(LISTING);
    let names: Vec<&str> = kinds.iter().map(|kind| kind.name).collect();
    assert_eq!(names, ["hup", "burst", "hot_key"]);
    for seed in 0..200 {
        let day = draw(&kinds, Focus::All, "d", seed);
        for kind in KINDS.iter().filter(|kind| !names.contains(&kind.name)) {
            assert!(!names_kind(&day, kind.name), "{day}");
        }
    }
}

#[test]
fn a_seed_always_draws_the_same_day_and_all_kinds_come_up() {
    let mut drawn = BTreeSet::new();
    for seed in 0..400 {
        let day = draw(KINDS, Focus::All, "d", seed);
        assert_eq!(day, draw(KINDS, Focus::All, "d", seed));
        drawn.extend(
            KINDS
                .iter()
                .map(|kind| kind.name)
                .filter(|name| names_kind(&day, name)),
        );
    }
    assert_eq!(drawn.len(), KINDS.len());
}

#[test]
fn planned_work_stands_in_the_plan_and_troubles_among_the_faults() {
    for seed in 0..100 {
        let day = draw(KINDS, Focus::All, "d", seed);
        let (before, faults) = day.split_once("faults = ").unwrap();
        let plan = before.split_once("plan = ").unwrap().1;
        for kind in KINDS {
            let other = if kind.planned { faults } else { plan };
            assert!(
                !names_kind(other, kind.name),
                "{} in the wrong list of {day}",
                kind.name
            );
        }
        assert!(
            faults.matches("kind = ").count() >= 4,
            "two troubles and a pair: {faults}"
        );
    }
}

#[test]
fn days_about_the_control_state_hold_nothing_else_and_every_way_to_cut_it() {
    let mut ways = BTreeSet::new();
    for seed in 0..400 {
        let day = draw(KINDS, Focus::Control, "d", seed);
        for kind in KINDS.iter().filter(|kind| !kind.is_about_control()) {
            assert!(!names_kind(&day, kind.name), "{} in {day}", kind.name);
        }
        let cuts = day
            .split("kind = \"core_cut\"")
            .skip(1)
            .filter_map(|entry| entry.split('}').next());
        ways.extend(cuts.flat_map(|entry| {
            entry
                .split(['"', ' '])
                .map(str::to_owned)
                .collect::<Vec<_>>()
        }));
    }
    for way in [
        "behind", "split", "one_way", "relieve", "lure", "leader", "hard", "race", "drain",
    ] {
        assert!(ways.contains(way), "{way} among {ways:?}");
    }
}

#[test]
fn the_table_counts_days_by_kind_and_rule() {
    let day = |kinds: &[&str], broken: &[&str]| Played {
        kinds: kinds.iter().map(|&kind| kind.to_owned()).collect(),
        broken: broken.iter().map(|&rule| rule.to_owned()).collect(),
    };
    let days = [day(&["hup", "burst"], &["CONFIG"]), day(&["burst"], &[])];
    let text = table(&days);
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
fn days_with_series_name_versions_again_before_they_are_everywhere_while_clients_leave() {
    for seed in 0..100 {
        let day = draw(KINDS, Focus::Series, "d", seed);
        assert!(day.matches("kind = \"version_bump\"").count() >= 3, "{day}");
        assert!(
            names_kind(&day, "config_storm") && names_kind(&day, "give_up"),
            "{day}"
        );
        assert_eq!(day, draw(KINDS, Focus::Series, "d", seed));
    }
    // What a deployment does not list is left out here too.
    let day = draw(&listed(LISTING), Focus::Series, "d", 1);
    assert!(
        !names_kind(&day, "version_bump") && !names_kind(&day, "give_up"),
        "{day}"
    );
}

#[test]
fn long_days_have_hundreds_of_changes_and_a_primary_that_is_struck_to_the_end() {
    for seed in 0..50 {
        let day = draw(KINDS, Focus::Long, "d", seed);
        assert_eq!(day, draw(KINDS, Focus::Long, "d", seed));
        assert!(day.contains("length_s = 180"), "{day}");
        let count = |text: &str| day.matches(text).count();
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
    let day = draw(&listed(LISTING), Focus::Long, "d", 1);
    assert!(
        !day.contains("version_bump"),
        "only kinds that the deployment knows: {day}"
    );
}
