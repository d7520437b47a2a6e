//! What a seed draws: always the same, every kind of action, and never more lost disks than are
//! tolerated.

use soak::fleet::Strike;
use soak::schedule::{Action, Scope, Step, draw};
use soak::settings::Size;

const SCOPE: Scope = Scope {
    size: Size {
        routers: 7,
        replicas: 3,
    },
    backends: 6,
    lasts: 15_000,
    strikes_primary: false,
    cuts_ways: false,
};

#[test]
fn a_seed_always_draws_the_same_in_order_and_within_its_time() {
    for seed in 0..300 {
        let steps = draw(SCOPE, seed);
        assert_eq!(steps, draw(SCOPE, seed));
        assert!(steps.is_sorted_by_key(|step| step.at));
        assert!(steps.iter().all(|step| step.at < SCOPE.lasts), "{steps:?}");
    }
}

#[test]
fn every_kind_of_action_comes_up_and_series_overlap() {
    let all: Vec<Step> = (0..300).flat_map(|seed| draw(SCOPE, seed)).collect();
    let comes_up = |wanted: fn(&Action) -> bool| all.iter().any(|step| wanted(&step.action));
    assert!(comes_up(|action| matches!(
        action,
        Action::Router(_, Strike::Terminate)
    )));
    assert!(comes_up(|action| matches!(
        action,
        Action::Router(_, Strike::Kill)
    )));
    assert!(comes_up(|action| matches!(
        action,
        Action::Router(_, Strike::Stop(_))
    )));
    assert!(comes_up(|action| matches!(
        action,
        Action::Router(_, Strike::HangUp)
    )));
    assert!(comes_up(|action| matches!(
        action,
        Action::Router(_, Strike::Wipe)
    )));
    assert!(comes_up(|action| matches!(
        action,
        Action::Configure { race: true }
    )));
    assert!(comes_up(|action| *action == Action::NameWeights));
    assert!(comes_up(|action| matches!(action, Action::CrashBackend(_))));
    assert!(comes_up(|action| matches!(action, Action::HangBackend(..))));
    assert!(comes_up(|action| matches!(
        action,
        Action::ReplaceBackend(_)
    )));
}

#[test]
fn a_disk_is_lost_once_at_the_most() {
    for seed in 0..300 {
        let steps = draw(SCOPE, seed);
        let lost = steps
            .iter()
            .filter(|step| matches!(step.action, Action::Router(_, Strike::Wipe)));
        assert!(lost.count() <= 1);
    }
}

#[test]
fn the_primary_is_struck_in_series_beside_all_else_while_versions_are_named() {
    let scope = Scope {
        strikes_primary: true,
        ..SCOPE
    };
    for seed in 0..300 {
        let steps = draw(scope, seed);
        assert_eq!(steps, draw(scope, seed));
        assert!(steps.iter().all(|step| step.at < scope.lasts), "{steps:?}");
        let without = draw(SCOPE, seed);
        let rest = without.iter().filter(|step| !steps.contains(step));
        assert_eq!(
            rest.count(),
            0,
            "seed {seed}: what is drawn without stays as it is"
        );
        let primary: Vec<&Step> = steps
            .iter()
            .filter(|step| matches!(step.action, Action::Primary(_)))
            .collect();
        assert!(primary.len() >= 2, "seed {seed}: {primary:?}");
        let gaps = primary.windows(2).map(|pair| pair[1].at - pair[0].at);
        assert!(
            gaps.into_iter().all(|gap| (2_400..8_400).contains(&gap)),
            "seed {seed}: {primary:?}"
        );
        let named = steps
            .iter()
            .filter(|step| step.action == Action::NameWeights);
        assert!(named.count() >= 6, "seed {seed}");
    }
}

#[test]
fn ways_are_cut_in_series_that_overlap_beside_all_else_while_versions_are_named() {
    let scope = Scope {
        cuts_ways: true,
        ..SCOPE
    };
    let mut overlapping = 0;
    for seed in 0..300 {
        let steps = draw(scope, seed);
        assert_eq!(steps, draw(scope, seed));
        assert!(steps.iter().all(|step| step.at < scope.lasts), "{steps:?}");
        let without = draw(SCOPE, seed);
        assert!(
            without.iter().all(|step| steps.contains(step)),
            "seed {seed}: the rest stays as it is"
        );
        let cuts: Vec<(u64, u64)> = steps
            .iter()
            .filter_map(|step| match step.action {
                Action::CutBackend(_, lasts) => Some((step.at, step.at + lasts.as_millis() as u64)),
                _ => None,
            })
            .collect();
        assert!(cuts.len() >= 8, "seed {seed}: {cuts:?}");
        overlapping += cuts.windows(2).filter(|pair| pair[1].0 < pair[0].1).count();
        let named = steps
            .iter()
            .filter(|step| step.action == Action::NameWeights);
        assert!(named.count() >= 5, "seed {seed}");
    }
    assert!(overlapping > 1_000, "{overlapping}");
}
