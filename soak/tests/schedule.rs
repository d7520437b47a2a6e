//! Schedules are repeatable, contain all kinds of actions, and wipe no more disks than the fleet
//! tolerates.

use soak::backend::Withdrawal;
use soak::schedule::{Action, Scope, Step, draw};
use soak::settings::Size;
use soak::supervisor::RouterFault;

const SCOPE: Scope = Scope {
    size: Size {
        routers: 7,
        replicas: 3,
    },
    backends: 6,
    duration: 15_000,
    leader_faults: false,
    partitions: false,
    withdrawals: false,
    policies: false,
};

#[test]
fn same_seed_draws_same_ordered_schedule() {
    for seed in 0..300 {
        let steps = draw(SCOPE, seed);
        assert_eq!(steps, draw(SCOPE, seed));
        assert!(steps.is_sorted_by_key(|step| step.at));
        assert!(
            steps.iter().all(|step| step.at < SCOPE.duration),
            "{steps:?}"
        );
    }
}

#[test]
fn draws_every_action_and_overlapping_series() {
    let all: Vec<Step> = (0..300).flat_map(|seed| draw(SCOPE, seed)).collect();
    let contains = |wanted: fn(&Action) -> bool| all.iter().any(|step| wanted(&step.action));
    assert!(contains(|action| matches!(
        action,
        Action::Router(_, RouterFault::Terminate)
    )));
    assert!(contains(|action| matches!(
        action,
        Action::Router(_, RouterFault::Kill)
    )));
    assert!(contains(|action| matches!(
        action,
        Action::Router(_, RouterFault::Suspend(_))
    )));
    assert!(contains(|action| matches!(
        action,
        Action::Router(_, RouterFault::Reload)
    )));
    assert!(contains(|action| matches!(
        action,
        Action::Router(_, RouterFault::Wipe)
    )));
    assert!(contains(|action| matches!(
        action,
        Action::Configure { race: true }
    )));
    assert!(contains(|action| *action == Action::AnnounceWeights));
    assert!(contains(|action| matches!(action, Action::CrashBackend(_))));
    assert!(contains(|action| matches!(action, Action::HangBackend(..))));
    assert!(contains(|action| matches!(
        action,
        Action::ReplaceBackend(_)
    )));
}

#[test]
fn loses_at_most_one_disk() {
    for seed in 0..300 {
        let steps = draw(SCOPE, seed);
        let wipes = steps
            .iter()
            .filter(|step| matches!(step.action, Action::Router(_, RouterFault::Wipe)));
        assert!(wipes.count() <= 1);
    }
}

#[test]
fn adds_series_of_leader_faults() {
    let scope = Scope {
        leader_faults: true,
        ..SCOPE
    };
    for seed in 0..300 {
        let steps = draw(scope, seed);
        assert_eq!(steps, draw(scope, seed));
        assert!(
            steps.iter().all(|step| step.at < scope.duration),
            "{steps:?}"
        );
        let without = draw(SCOPE, seed);
        let missing = without.iter().filter(|step| !steps.contains(step));
        assert_eq!(
            missing.count(),
            0,
            "seed {seed}: the leader series changes other steps"
        );
        let leader_faults: Vec<&Step> = steps
            .iter()
            .filter(|step| matches!(step.action, Action::Leader(_)))
            .collect();
        assert!(leader_faults.len() >= 2, "seed {seed}: {leader_faults:?}");
        let gaps = leader_faults.windows(2).map(|pair| pair[1].at - pair[0].at);
        assert!(
            gaps.into_iter().all(|gap| (2_400..8_400).contains(&gap)),
            "seed {seed}: {leader_faults:?}"
        );
        let announcements = steps
            .iter()
            .filter(|step| step.action == Action::AnnounceWeights);
        assert!(announcements.count() >= 6, "seed {seed}");
    }
}

#[test]
fn adds_overlapping_partitions() {
    let scope = Scope {
        partitions: true,
        ..SCOPE
    };
    let mut overlapping = 0;
    for seed in 0..300 {
        let steps = draw(scope, seed);
        assert_eq!(steps, draw(scope, seed));
        assert!(
            steps.iter().all(|step| step.at < scope.duration),
            "{steps:?}"
        );
        let without = draw(SCOPE, seed);
        assert!(
            without.iter().all(|step| steps.contains(step)),
            "seed {seed}: the partition series changes other steps"
        );
        let partitions: Vec<(u64, u64)> = steps
            .iter()
            .filter_map(|step| match step.action {
                Action::PartitionBackend(_, duration) => {
                    Some((step.at, step.at + duration.as_millis() as u64))
                }
                _ => None,
            })
            .collect();
        assert!(partitions.len() >= 8, "seed {seed}: {partitions:?}");
        overlapping += partitions
            .windows(2)
            .filter(|pair| pair[1].0 < pair[0].1)
            .count();
        let announcements = steps
            .iter()
            .filter(|step| step.action == Action::AnnounceWeights);
        assert!(announcements.count() >= 5, "seed {seed}");
    }
    assert!(overlapping > 1_000, "{overlapping}");
}

#[test]
fn adds_withdrawals_with_kills_of_all_replicas() {
    let scope = Scope {
        withdrawals: true,
        ..SCOPE
    };
    let mut drawn = Vec::new();
    for seed in 0..300 {
        let steps = draw(scope, seed);
        assert_eq!(steps, draw(scope, seed));
        assert!(steps.iter().all(|step| step.at < scope.duration));
        let without = draw(SCOPE, seed);
        assert!(
            without.iter().all(|step| steps.contains(step)),
            "seed {seed}: the withdrawal series changes other steps"
        );
        drawn.extend(steps.iter().filter_map(|step| match step.action {
            Action::WithdrawBackend(_, withdrawal) => Some(withdrawal),
            _ => None,
        }));
    }
    for withdrawal in [Withdrawal::Drain, Withdrawal::Deregister] {
        for kills in 0..3 {
            let matching = drawn
                .iter()
                .filter(|step| step.withdrawal == withdrawal && step.kills == kills);
            assert!(matching.count() > 50, "{withdrawal:?} with {kills} kills");
        }
    }
}
