//! Conflicting changes of two operators, retries, and lost replies. Exactly one of two conflicting
//! changes is committed, the other is never confirmed, and a retry of a committed change is never
//! rejected.

mod world;

use assert_matches::assert_matches;
use control::changes::{Change, Outcome, ReadOutcome, Rejection};
use control::state::{ControlState, Position, RETAINED_CONFIGURATIONS, Update};
use simulation::orders;
use world::{World, change, configuration};

/// Long enough for another replica to become primary and answer.
const FAILOVER: u64 = 4_000;

/// A submission or a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// The first operator submits its change, or retries it.
    First,
    /// The second operator submits another change with the same version, or retries it.
    Second,
    /// The primary's process is killed.
    Kill,
    /// The primary loses its disk.
    Wipe,
    /// The primary is partitioned for a while, and keeps receiving calls.
    Cut,
}

fn first() -> Change {
    configuration(0, 7, "the first operator's")
}

fn second() -> Change {
    configuration(0, 7, "the second operator's")
}

/// The machine that receives calls: the primary, or the last one if there is none.
fn receiver(world: &World, last: &str) -> String {
    world.primary().unwrap_or_else(|| last.to_owned())
}

/// Runs the events with a pause after each. Returns the tickets of each operator.
fn run_events(world: &mut World, order: &[Event], pause: u64) -> (Vec<u64>, Vec<u64>) {
    let (mut firsts, mut seconds) = (Vec::new(), Vec::new());
    let mut last = world.primary().expect("a primary");
    for event in order {
        last = receiver(world, &last);
        match event {
            Event::First => firsts.push(world.submit(&last, first())),
            Event::Second => seconds.push(world.submit(&last, second())),
            Event::Kill => world.kill(&last, 300, false),
            Event::Wipe => world.wipe(&last, 300),
            Event::Cut => world.cut_off(&last),
        }
        world.run(pause);
    }
    world.heal();
    world.run(FAILOVER);
    (firsts, seconds)
}

/// Has both operators retry their changes with a primary present, so that the outcomes are final,
/// and asserts that exactly one change was committed.
fn assert_one_won(world: &mut World, firsts: &[u64], seconds: &[u64], order: &[Event]) {
    let has_outcome = |world: &World, tickets: &[u64], wanted: &Outcome| {
        tickets
            .iter()
            .any(|ticket| world.outcomes.get(ticket) == Some(wanted))
    };
    let confirmed = [
        has_outcome(world, firsts, &Outcome::Committed),
        has_outcome(world, seconds, &Outcome::Committed),
    ];
    let primary = world.primary().expect("a primary");
    let (again, other) = (
        world.submit(&primary, first()),
        world.submit(&primary, second()),
    );
    world.run(500);
    let read = world.read(&primary);
    world.run(500);
    let last = [&world.outcomes[&again], &world.outcomes[&other]];
    let won: Vec<bool> = last
        .iter()
        .map(|outcome| **outcome == Outcome::Committed)
        .collect();
    assert_ne!(won[0], won[1], "{order:?}: not exactly one won: {last:?}");
    for (at, was_confirmed) in confirmed.into_iter().enumerate() {
        assert!(
            !was_confirmed || won[at],
            "{order:?}: a confirmed change was lost"
        );
    }
    let rejected = Outcome::Rejected(Rejection::VersionConflict { current: 7 });
    let winners = if won[0] { firsts } else { seconds };
    assert!(
        !has_outcome(world, winners, &rejected),
        "{order:?}: a committed change was rejected"
    );
    let winner = if won[0] { first() } else { second() };
    let Change::Configuration { body, .. } = winner else {
        unreachable!()
    };
    assert_matches!(&world.readings[&read], ReadOutcome::Latest(Some(stored)) if stored.body == body);
}

#[test]
fn one_of_two_conflicting_changes_wins_despite_faults_of_the_primary() {
    for fault in [Event::Kill, Event::Wipe, Event::Cut] {
        let events = [
            Event::First,
            Event::First,
            Event::Second,
            Event::Second,
            fault,
        ];
        let mut orders = orders::all(&events);
        orders.sort_by_key(|order| format!("{order:?}"));
        orders.dedup();
        for order in orders {
            // Pauses that end at once, while the change is being stored, and after the reply.
            for pause in [0, 4, 9, 300] {
                let mut world = World::bootstrapped(pause, 3, 1);
                let (firsts, seconds) = run_events(&mut world, &order, pause);
                assert_one_won(&mut world, &firsts, &seconds, &order);
            }
        }
    }
}

/// A change is retried after many later changes, and after the primary has changed, lost its disk
/// or restarted from a snapshot.
#[test]
fn retry_of_a_committed_change_is_acknowledged_after_later_changes_and_faults() {
    let mut world = World::bootstrapped(1, 3, 1);
    let send = |world: &mut World, change: Change| {
        assert!(world.run_until(FAILOVER, |world| world.primary().is_some()));
        let primary = world.primary().expect("a primary");
        let ticket = world.submit(&primary, change);
        assert!(world.run_until(FAILOVER, |world| world.outcomes.contains_key(&ticket)));
        world.outcomes[&ticket].clone()
    };
    assert_eq!(send(&mut world, first()), Outcome::Committed);
    assert_eq!(send(&mut world, change("weights", 3)), Outcome::Committed);
    let mut version = 7;
    for step in 0..60 {
        assert_eq!(
            send(&mut world, configuration(version, version + 2, "later")),
            Outcome::Committed
        );
        version += 2;
        let primary = world.primary().expect("a primary");
        match step % 20 {
            4 => world.kill(&primary, 1_500, true),
            9 => world.wipe(&primary, 1_500),
            14 => {
                world.compact_disks(0);
                world
                    .names()
                    .iter()
                    .for_each(|name| world.kill(name, 300, true));
            }
            _ => {}
        }
        if step == 30 {
            assert_eq!(send(&mut world, change("weights", 8)), Outcome::Committed);
        }
        assert_eq!(
            send(&mut world, first()),
            Outcome::Committed,
            "after {step} others"
        );
        assert_eq!(
            send(&mut world, change("weights", 3)),
            Outcome::Committed,
            "a version that is already superseded"
        );
        let lost = send(&mut world, second());
        assert_matches!(
            lost,
            Outcome::Rejected(Rejection::VersionConflict { .. }),
            "after {step} others"
        );
    }
}

/// A change is retried at the same and at the next primary while it is still being stored.
#[test]
fn retry_of_a_change_in_flight_is_applied_once() {
    for pause in 0..12 {
        let mut world = World::bootstrapped(2, 3, 1);
        let primary = world.primary().expect("a primary");
        let one = world.submit(&primary, first());
        world.run(pause);
        let again = world.submit(&primary, first());
        world.kill(&primary, 60_000, pause % 2 == 0);
        assert!(world.run_until(FAILOVER, |world| world.primary().is_some()));
        let next = world.primary().expect("a primary");
        let at_the_next = world.submit(&next, first());
        world.run(500);
        assert_eq!(world.outcomes[&at_the_next], Outcome::Committed);
        for ticket in [one, again] {
            // The killed process sent no reply, or that the change was committed.
            let outcome = world.outcomes.get(&ticket);
            assert_matches!(outcome, None | Some(Outcome::Committed), "{pause} ms");
        }
        assert_eq!(
            world.state_index(),
            1,
            "the change was applied more than once"
        );
    }
}

fn state_after(configurations: u64) -> ControlState {
    let mut state = ControlState::default();
    for version in 1..=configurations {
        let position = Position {
            index: version,
            epoch: 1,
        };
        let change = configuration(version - 1, version, "counted");
        assert_eq!(state.evaluate(&change), None);
        state.apply(&Update { position, change });
    }
    state
}

#[test]
fn retry_of_a_change_with_an_evicted_fingerprint_has_an_unknown_outcome() {
    let retained = RETAINED_CONFIGURATIONS as u64;
    let state = state_after(retained + 10);
    let oldest_retained = configuration(10, 11, "counted");
    assert_eq!(state.evaluate(&oldest_retained), Some(Outcome::Committed));
    let evicted = configuration(9, 10, "counted");
    assert_eq!(
        state.evaluate(&evicted),
        Some(Outcome::Unknown),
        "the change was committed, but its fingerprint is no longer retained"
    );
    let never_committed = configuration(11, 12, "another one");
    let current = retained + 10;
    let rejected = Outcome::Rejected(Rejection::VersionConflict { current });
    assert_eq!(state.evaluate(&never_committed), Some(rejected));
}

/// A change that a partitioned primary stored on a few disks is discarded everywhere once a
/// conflicting one was committed.
#[test]
fn change_stored_by_a_former_primary_is_discarded_after_a_conflicting_commit() {
    for reached in 0..6 {
        let mut world = World::bootstrapped(3, 5, 2);
        let old = world.primary().expect("a primary");
        let ticket = world.submit(&old, second());
        world.run(reached);
        world.cut_off(&old);
        assert!(world.run_until(FAILOVER, |world| {
            world.primary().is_some_and(|name| name != old)
        }));
        let next = world.primary().expect("another primary");
        let conflicting = world.submit(&next, first());
        world.run(500);
        world.heal();
        world.run(FAILOVER);
        let won = world.outcomes[&conflicting] == Outcome::Committed;
        let is_lost = world.outcomes[&ticket] != Outcome::Committed;
        assert!(is_lost || !won, "both confirmed after {reached} ms");
        let in_force = if won { first() } else { second() };
        for name in world.names() {
            let state = world.machines[&name].node.as_ref().expect("up").state();
            assert_eq!(
                state.evaluate(&in_force),
                Some(Outcome::Committed),
                "after {reached} ms at {name}"
            );
            assert_eq!(state.position.index, 1, "after {reached} ms at {name}");
        }
    }
}
