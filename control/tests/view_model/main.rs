//! Model check of view changes. Messages may be lost, delayed, reordered or duplicated; attempts
//! may be abandoned, processes restart and disks be lost, within bounds on epochs, attempts and
//! changes. Injected faults, each of which omits a rule of the protocol, show that the check finds
//! violations.
//!
//! Where a scenario has too many states, deep random walks sample them with far wider bounds. A
//! walk starts in the initial state of a scenario and ends when no action is possible.
//!
//! `VIEW_MODEL=full cargo test --release -p bitternsill-control --test view_model -- --nocapture`
//! explores more states and takes some minutes; otherwise the number of states is limited to keep
//! the tests short. `VIEW_WALKS` sets the number of walks from each scenario.

mod bounds;
mod reduction;
mod scenarios;
mod state;
mod turn;
mod walk;

use bounds::{Bounds, NOTHING_LOST, ONE_LEASE_HOLDER, ONE_VIEW, ONLY_PRIMARY};
use scenarios::{
    abandoned_proposal, delayed_state, even_partition, founded_again, founded_by_two, founding,
    joint_changes, lagging, leases, leases_of_new_witnesses, replaced_proposal, restarts,
    second_incarnation, takeovers, widened,
};
use stateright::{Checker, HasDiscoveries, Model};
use std::collections::BTreeSet;
use turn::Fault;

/// The number of walks from each scenario, and the most steps of each.
const WALKS: u64 = 100;
const WALK_STEPS: usize = 600;

type Scenario = fn(Fault) -> Bounds;

/// The most states of each scenario in a normal and in a full check.
const MAX_STATES: usize = 250_000;
const MAX_STATES_IN_FULL: usize = 10_000_000;
/// The most states within which an injected fault has to be found.
const MAX_STATES_TO_FIND: usize = 3_000_000;

const SCENARIOS: [(&str, Scenario); 14] = [
    ("takeovers", takeovers),
    ("restarts", restarts),
    ("second incarnation", second_incarnation),
    ("lagging", lagging),
    ("abandoned proposal", abandoned_proposal),
    ("replaced proposal", replaced_proposal),
    ("leases", leases),
    ("even partition", even_partition),
    ("leases of new witnesses", leases_of_new_witnesses),
    ("joint changes", joint_changes),
    ("delayed state", delayed_state),
    ("founding", founding),
    ("founded by two", founded_by_two),
    ("founded again", founded_again),
];

/// Injected faults, each with a scenario that exposes it and the property that it violates.
const FAULTS: [(Fault, Scenario, &str); 14] = [
    (Fault::PromiseOverwritten, takeovers, ONE_VIEW),
    (Fault::AcceptedViewIgnored, takeovers, ONE_VIEW),
    (Fault::PromiseNotStored, restarts, ONE_VIEW),
    (Fault::ProposalNumbersReused, second_incarnation, ONE_VIEW),
    (Fault::OutOfSyncReplicaTakesOver, lagging, NOTHING_LOST),
    (
        Fault::AbandonedProposalForgotten,
        abandoned_proposal,
        NOTHING_LOST,
    ),
    (Fault::ViewFromHeartbeat, replaced_proposal, NOTHING_LOST),
    (
        Fault::LeaseKeptWithNewWitnesses,
        leases_of_new_witnesses,
        ONE_LEASE_HOLDER,
    ),
    (Fault::GrantIgnored, leases, ONE_LEASE_HOLDER),
    (Fault::GrantIgnored, even_partition, ONLY_PRIMARY),
    (Fault::FewerGrantsSuffice, even_partition, ONLY_PRIMARY),
    (Fault::DelayedStateInstalled, delayed_state, NOTHING_LOST),
    (Fault::NewDiskVotes, founded_again, ONE_VIEW),
    (Fault::LossAssumed, founded_by_two, ONE_VIEW),
];

/// The result of a check.
struct Checked {
    unique_states: usize,
    states: usize,
    violated: BTreeSet<&'static str>,
}

/// Checks until properties are violated, all states within the bounds are explored, or `max_states`
/// is reached.
fn check(bounds: Bounds, max_states: usize, until: HasDiscoveries) -> Checked {
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get().min(4));
    let checker = bounds
        .checker()
        .threads(threads)
        .target_state_count(max_states);
    let checker = checker.finish_when(until).spawn_bfs().join();
    let violated = checker.discoveries().into_keys().collect();
    Checked {
        unique_states: checker.unique_state_count(),
        states: checker.state_count(),
        violated,
    }
}

#[test]
fn properties_hold_within_the_bounds() {
    let is_full = std::env::var("VIEW_MODEL").is_ok_and(|value| value == "full");
    let max_states = if is_full {
        MAX_STATES_IN_FULL
    } else {
        MAX_STATES
    };
    for (name, scenario) in SCENARIOS {
        let Checked {
            unique_states,
            states,
            violated,
        } = check(scenario(Fault::None), max_states, HasDiscoveries::Any);
        let extent = if states < max_states {
            "complete"
        } else {
            "partial"
        };
        println!("{name}: {unique_states} states, {extent}");
        assert_eq!(violated, BTreeSet::new(), "{name}");
    }
}

#[test]
fn each_injected_fault_violates_its_property() {
    for (fault, scenario, expected) in FAULTS {
        let Checked {
            unique_states,
            violated,
            ..
        } = check(
            scenario(fault),
            MAX_STATES_TO_FIND,
            HasDiscoveries::AllOf(BTreeSet::from([expected])),
        );
        println!("{fault:?}: {violated:?} after {unique_states} states");
        assert!(violated.contains(expected), "{fault:?}: {violated:?}");
    }
}

#[test]
fn random_walks_violate_no_property() {
    let walks = std::env::var("VIEW_WALKS").ok();
    let walks = walks.and_then(|text| text.parse().ok()).unwrap_or(WALKS);
    for (name, scenario) in SCENARIOS {
        let bounds = widened(scenario(Fault::None));
        let walked = walk::walk(&bounds, 0..walks, WALK_STEPS);
        println!("{name}: {walked:?}");
        assert_eq!(walked.violated, None, "{name}");
        assert!(walked.epoch > 1, "{name}: no walk decided a view");
    }
}

/// Verifies that random walks can find violations at all.
#[test]
fn random_walks_find_injected_faults() {
    const WALKS_TO_FIND: u64 = 1_500;
    for fault in [Fault::PromiseOverwritten, Fault::AcceptedViewIgnored] {
        let bounds = widened(joint_changes(fault));
        let walked = walk::walk(&bounds, 0..WALKS_TO_FIND, WALK_STEPS);
        println!("{fault:?}: {walked:?}");
        assert!(walked.violated.is_some(), "{fault:?}");
    }
}
