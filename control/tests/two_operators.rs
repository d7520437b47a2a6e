//! Two operators who change the configuration at once, orders that are sent again, and orders whose
//! answer was lost: one of two changes wins on every path, the other one is never confirmed, and
//! what was taken is never refused.

mod world;

use assert_matches::assert_matches;
use control::changes::{Change, Outcome, ReadOutcome, Rejection};
use control::state::{ControlState, Position, RETAINED_CONFIGURATIONS, Update};
use simulation::orders;
use world::{World, change, configuration};

/// Long enough for another replica to lead and answer.
const FAILOVER: u64 = 4_000;

/// What happens one after the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// The first operator sends its change, the first or a further time.
    First,
    /// The second operator sends another change under the same number.
    Second,
    /// The primary's process is killed.
    Kill,
    /// The primary loses its disk.
    Wipe,
    /// The primary is cut off for a while, and takes calls meanwhile.
    Cut,
}

fn first() -> Change {
    configuration(0, 7, "the first operator's")
}

fn second() -> Change {
    configuration(0, 7, "the second operator's")
}

/// Where calls go: the replica that leads, or the one that thought so last.
fn receiver(world: &World, last: &str) -> String {
    world.primary().unwrap_or_else(|| last.to_owned())
}

/// Plays events one after the other with so much time between them. Tickets by operator come back.
fn play(world: &mut World, order: &[Event], pause: u64) -> (Vec<u64>, Vec<u64>) {
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

/// Both send their change once more where there is a primary: what they are told now is final.
fn assert_one_won(world: &mut World, firsts: &[u64], seconds: &[u64], order: &[Event]) {
    let told = |world: &World, tickets: &[u64], wanted: &Outcome| {
        tickets
            .iter()
            .any(|ticket| world.outcomes.get(ticket) == Some(wanted))
    };
    let confirmed = [
        told(world, firsts, &Outcome::Committed),
        told(world, seconds, &Outcome::Committed),
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
    assert_ne!(won[0], won[1], "{order:?}: one of them wins: {last:?}");
    for (at, was_confirmed) in confirmed.into_iter().enumerate() {
        assert!(
            !was_confirmed || won[at],
            "{order:?}: who was confirmed has lost"
        );
    }
    let refused = Outcome::Rejected(Rejection::VersionConflict { current: 7 });
    let winners = if won[0] { firsts } else { seconds };
    assert!(
        !told(world, winners, &refused),
        "{order:?}: what was taken was refused"
    );
    let winner = if won[0] { first() } else { second() };
    let Change::Configuration { body, .. } = winner else {
        unreachable!()
    };
    assert_matches!(&world.readings[&read], ReadOutcome::Latest(Some(stored)) if stored.body == body);
}

#[test]
fn of_two_changes_under_one_number_one_wins_in_every_order_with_whatever_befalls_the_primary() {
    for trouble in [Event::Kill, Event::Wipe, Event::Cut] {
        let events = [
            Event::First,
            Event::First,
            Event::Second,
            Event::Second,
            trouble,
        ];
        let mut orders = orders::all(&events);
        orders.sort_by_key(|order| format!("{order:?}"));
        orders.dedup();
        for order in orders {
            // At once, in the middle of storing, and after the answer.
            for pause in [0, 4, 9, 300] {
                let mut world = World::founded(pause, 3, 1);
                let (firsts, seconds) = play(&mut world, &order, pause);
                assert_one_won(&mut world, &firsts, &seconds, &order);
            }
        }
    }
}

/// The answer to a change was lost; many others followed; the primary changed, lost its disk,
/// started from a snapshot.
#[test]
fn what_was_taken_is_acknowledged_again_whatever_came_in_between() {
    let mut world = World::founded(1, 3, 1);
    let send = |world: &mut World, change: Change| {
        assert!(world.until(FAILOVER, |world| world.primary().is_some()));
        let primary = world.primary().expect("a primary");
        let ticket = world.submit(&primary, change);
        assert!(world.until(FAILOVER, |world| world.outcomes.contains_key(&ticket)));
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
            "a version that was named"
        );
        let lost = send(&mut world, second());
        assert_matches!(
            lost,
            Outcome::Rejected(Rejection::VersionConflict { .. }),
            "after {step} others"
        );
    }
}

/// A change that is still being stored, and the same one sent again to the same and to the next
/// primary.
#[test]
fn a_change_that_is_under_way_and_sent_again_is_made_once() {
    for pause in 0..12 {
        let mut world = World::founded(2, 3, 1);
        let primary = world.primary().expect("a primary");
        let one = world.submit(&primary, first());
        world.run(pause);
        let again = world.submit(&primary, first());
        world.kill(&primary, 60_000, pause % 2 == 0);
        assert!(world.until(FAILOVER, |world| world.primary().is_some()));
        let next = world.primary().expect("a primary");
        let at_the_next = world.submit(&next, first());
        world.run(500);
        assert_eq!(world.outcomes[&at_the_next], Outcome::Committed);
        for ticket in [one, again] {
            // The killed process told its callers nothing, or that it was done.
            let outcome = world.outcomes.get(&ticket);
            assert_matches!(outcome, None | Some(Outcome::Committed), "{pause} ms");
        }
        assert_eq!(world.state_index(), 1, "it was made once");
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
fn how_far_back_a_change_is_known_is_bounded_and_beyond_it_nobody_is_refused() {
    let remembered = RETAINED_CONFIGURATIONS as u64;
    let state = state_after(remembered + 10);
    let oldest_known = configuration(10, 11, "counted");
    assert_eq!(state.evaluate(&oldest_known), Some(Outcome::Committed));
    let forgotten = configuration(9, 10, "counted");
    assert_eq!(
        state.evaluate(&forgotten),
        Some(Outcome::Unknown),
        "it was taken, and nobody knows it any more"
    );
    let never_taken = configuration(11, 12, "another one");
    let current = remembered + 10;
    let refused = Outcome::Rejected(Rejection::VersionConflict { current });
    assert_eq!(state.evaluate(&never_taken), Some(refused));
}

/// A change that lost the race at the one replica, and reached a few disks, is in force nowhere
/// afterwards.
#[test]
fn what_an_old_primary_stored_on_a_few_disks_is_not_in_force_once_another_change_was_taken() {
    for reached in 0..6 {
        let mut world = World::founded(3, 5, 2);
        let old = world.primary().expect("a primary");
        let ticket = world.submit(&old, second());
        world.run(reached);
        world.cut_off(&old);
        assert!(world.until(FAILOVER, |world| {
            world.primary().is_some_and(|name| name != old)
        }));
        let next = world.primary().expect("another primary");
        let taken = world.submit(&next, first());
        world.run(500);
        world.heal();
        world.run(FAILOVER);
        let won = world.outcomes[&taken] == Outcome::Committed;
        let is_lost = world.outcomes[&ticket] != Outcome::Committed;
        assert!(is_lost || !won, "after {reached} ms both were confirmed");
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
