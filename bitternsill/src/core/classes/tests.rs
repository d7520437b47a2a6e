//! Tests of `core::classes`.

use super::*;

const MAX_SLOTS: usize = 8;

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|name| (*name).to_owned()).collect()
}

fn class(effect: Effect, max_attempts: u32) -> Class {
    Class {
        effect,
        max_attempts,
        ..Class::default()
    }
}

#[test]
fn former_class_stays_valid_for_a_while() {
    let (safe, keyed, unsafe_) = (
        class(Effect::Safe, 4),
        class(Effect::Keyed, 4),
        class(Effect::Unsafe, 4),
    );
    let mut classes = Classes::new(
        &names(&["page", "shelf", "old"]),
        &[safe.clone(), keyed.clone(), safe.clone()],
    );
    let from = classes
        .replace(
            &names(&["new", "shelf", "page"]),
            &[safe.clone(), safe.clone(), unsafe_.clone()],
            |_| true,
            0,
            10,
            MAX_SLOTS,
        )
        .unwrap();
    // No class moved, and the new ones take their estimates from the former class of that name.
    assert_eq!(from, [Some(0), Some(1), Some(2), None, Some(1), Some(0)]);
    assert_eq!(classes.order(), [3, 4, 5]);
    let find = |name: &str, key, now| classes.find(name, key, now);
    // The key shows which settings a client uses.
    assert_eq!(
        (find("shelf", true, 5), find("shelf", false, 5)),
        (Some(1), Some(4))
    );
    // Without that hint the stricter class is found.
    assert_eq!(find("page", false, 5), Some(5));
    assert_eq!(
        (find("old", false, 5), find("new", false, 0)),
        (Some(2), Some(3))
    );
    // Once the overlap has ended, only the new classes are found.
    assert_eq!(
        (
            find("old", false, 10),
            find("shelf", true, 10),
            find("page", false, 10)
        ),
        (None, Some(4), Some(5))
    );
    let retired: Vec<bool> = classes.table().iter().map(|c| c.retired).collect();
    assert_eq!(retired, [true, true, true, false, false, false]);
}

#[test]
fn stricter_class_wins_while_both_are_valid() {
    for (before, after) in [(2, 4), (4, 2)] {
        let mut classes = Classes::new(&names(&["page"]), &[class(Effect::Safe, before)]);
        classes
            .replace(
                &names(&["page"]),
                &[class(Effect::Safe, after)],
                |_| false,
                0,
                10,
                MAX_SLOTS,
            )
            .unwrap();
        let attempts =
            |now| classes.table()[classes.find("page", false, now).unwrap()].max_attempts;
        assert_eq!((attempts(9), attempts(10)), (2, after));
    }
}

#[test]
fn reuses_free_slots_only() {
    let mut rng = fastrand::Rng::with_seed(18);
    for _ in 0..200 {
        let mut classes = Classes::new(
            &names(&["a", "b"]),
            &[class(Effect::Safe, 1), class(Effect::Safe, 2)],
        );
        let mut open_queries: Vec<(usize, Class)> = Vec::new();
        for now in (0..).step_by(10).take(50) {
            let before = classes.table();
            let chosen: Vec<&str> = ["a", "b", "c"].into_iter().filter(|_| rng.bool()).collect();
            let chosen = if chosen.is_empty() { vec!["a"] } else { chosen };
            let fresh: Vec<Class> = chosen
                .iter()
                .map(|_| class(Effect::Safe, rng.u32(1..3)))
                .collect();
            let in_use = |at| open_queries.iter().any(|(slot, _)| *slot == at);
            // A slot must keep its class for as long as an open query belongs to it.
            if let Ok(from) = classes.replace(
                &names(&chosen),
                &fresh,
                in_use,
                now,
                now + rng.u64(0..20),
                MAX_SLOTS,
            ) {
                assert!(from.iter().flatten().all(|at| *at < before.len()));
            }
            let table = classes.table();
            assert!(table.len() <= MAX_SLOTS && table.len() >= before.len());
            let current = |slot: usize| Class {
                retired: false,
                ..table[slot].clone()
            };
            assert!(
                open_queries
                    .iter()
                    .all(|(slot, class)| current(*slot) == *class)
            );
            if let Some(slot) = classes.find(chosen[0], false, now) {
                open_queries.push((slot, current(slot)));
            }
            open_queries.retain(|_| rng.u32(0..3) > 0);
        }
    }
}
