//! The index of kept prompts: what an owner tells of a prefix, in every order of a few messages.

use routing::locations::{Locations, Placement, PrefixKey};
use routing::owners::Owners;
use routing::prompt::Prompt;
use simulation::orders;
use std::collections::BTreeMap;

const KEY: PrefixKey = PrefixKey(7);
const STORE: Option<u64> = Some(1);

fn at(backend: &str, version: u64) -> Placement {
    Placement {
        backend: backend.into(),
        version,
    }
}

fn holders(locations: &mut Locations, now: u64) -> Vec<Placement> {
    // A question under a version that nobody has changes nothing that the others see.
    locations
        .locate(KEY, &at("asker", 99), false, None, now)
        .holders
}

#[test]
fn the_first_asker_s_plan_is_what_the_next_one_finds() {
    let mut locations = Locations::default();
    assert!(
        locations
            .locate(KEY, &at("b1", 1), false, None, 10)
            .holders
            .is_empty()
    );
    assert_eq!(
        locations.locate(KEY, &at("b2", 1), false, None, 11).holders,
        [at("b1", 1)]
    );
    assert_eq!(
        holders(&mut locations, 12),
        [at("b1", 1)],
        "the second plan was not needed"
    );
}

#[test]
fn a_prefix_read_with_other_weights_is_no_help_and_is_read_anew() {
    let mut locations = Locations::default();
    locations.placed(KEY, &at("b1", 1), 10);
    let located = locations.locate(KEY, &at("b2", 2), false, None, 11);
    assert!(!located.is_held_by("b1", 2) && located.is_held_by("b1", 1));
    let next = locations.locate(KEY, &at("b3", 2), false, None, 12);
    assert!(
        next.is_held_by("b2", 2),
        "the plan under the new weights was noted"
    );
}

/// What is asked, said and taken away of one prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Message {
    Ask(&'static str),
    Placed(&'static str),
    Evicted(&'static str),
}

#[test]
fn in_every_order_of_five_messages_the_last_word_on_each_backend_holds() {
    use Message::{Ask, Evicted, Placed};
    let messages = [
        Ask("b1"),
        Placed("b2"),
        Evicted("b1"),
        Placed("b1"),
        Evicted("b2"),
    ];
    for order in orders::all(&messages) {
        let mut locations = Locations::default();
        let mut expected: BTreeMap<&str, bool> = BTreeMap::new();
        for (now, message) in order.iter().enumerate() {
            let now = now as u64;
            match message {
                Ask(backend) => {
                    let held = expected.values().any(|held| *held);
                    let found = !locations
                        .locate(KEY, &at(backend, 1), false, None, now)
                        .holders
                        .is_empty();
                    assert_eq!(found, held, "{order:?}");
                    if !held {
                        expected.insert(backend, true);
                    }
                }
                Placed(backend) => {
                    locations.placed(KEY, &at(backend, 1), now);
                    expected.insert(backend, true);
                }
                Evicted(backend) => {
                    locations.evicted(KEY, &at(backend, 1));
                    expected.insert(backend, false);
                }
            }
        }
        let mut found: Vec<_> = holders(&mut locations, 9)
            .into_iter()
            .map(|holder| holder.backend)
            .collect();
        found.sort();
        let held: Vec<_> = expected
            .into_iter()
            .filter(|(_, held)| *held)
            .map(|(backend, _)| backend)
            .collect();
        assert_eq!(found, held, "{order:?}");
    }
}

#[test]
fn what_was_not_used_for_long_is_not_told_any_more() {
    let mut locations = Locations::default();
    locations.placed(KEY, &at("b1", 1), 0);
    assert_eq!(holders(&mut locations, 19_999).len(), 1);
    locations.placed(KEY, &at("b1", 1), 20_000);
    assert_eq!(
        holders(&mut locations, 39_999).len(),
        1,
        "each use counts anew"
    );
    assert!(!holders(&mut locations, 40_000).contains(&at("b1", 1)));
}

#[test]
fn a_prefix_is_saved_once_until_the_store_has_lost_it() {
    let mut locations = Locations::default();
    let ask = |locations: &mut Locations, wants, generation, now| {
        let located = locations.locate(KEY, &at("b1", 1), wants, generation, now);
        (located.save, located.stored)
    };
    assert_eq!(
        ask(&mut locations, true, None, 0),
        (false, None),
        "no store answers"
    );
    assert_eq!(
        ask(&mut locations, false, STORE, 1),
        (false, None),
        "it is not worth it"
    );
    assert_eq!(ask(&mut locations, true, STORE, 2), (true, None));
    assert_eq!(
        ask(&mut locations, true, STORE, 3),
        (false, Some(1)),
        "somebody else has it saved"
    );
    locations.evicted_from_store(KEY, 2);
    assert_eq!(
        ask(&mut locations, true, STORE, 4),
        (false, Some(1)),
        "another version gave way"
    );
    locations.evicted_from_store(KEY, 1);
    assert_eq!(
        ask(&mut locations, true, STORE, 5),
        (false, None),
        "it was saved just now"
    );
    assert_eq!(ask(&mut locations, true, STORE, 3_000), (true, None));
    assert_eq!(
        ask(&mut locations, true, Some(2), 6_000),
        (true, None),
        "the store came back empty"
    );
    let newer = locations.locate(KEY, &at("b1", 2), true, Some(2), 6_001);
    assert!(newer.save, "under new weights it is saved anew");
}

#[test]
fn memory_is_bounded_and_what_was_used_last_stays() {
    let mut locations = Locations::default();
    for number in 0..100_000 {
        locations.placed(PrefixKey(number), &at("b1", 1), number);
        for backend in 0..20 {
            locations.placed(PrefixKey(number), &at(&format!("b{backend}"), 1), number);
        }
    }
    assert!(locations.len() <= 16_384, "{} prefixes", locations.len());
    let located = locations.locate(PrefixKey(99_999), &at("x", 1), false, None, 100_000);
    assert_eq!(located.holders.len(), 6);
    assert_eq!(
        located.holders[0],
        at("b19", 1),
        "the most recently used one comes first"
    );
    locations.evicted(PrefixKey(5), &at("b1", 1));
    assert!(
        locations.len() <= 16_384,
        "events of what nobody asked for leave nothing behind"
    );
}

#[test]
fn a_key_names_the_wall_the_model_and_the_last_shared_part() {
    let prompt = |model, parts| Prompt::read(Some(model), Some(parts), None).unwrap();
    let key = |wall, prompt: &Prompt| PrefixKey::of(wall, prompt);
    let first = prompt("m", "a:10,b:20,own1:5");
    assert_eq!(key("w", &first), key("w", &prompt("m", "a:10,b:20,own2:7")));
    assert_eq!(key("w", &first), Some(PrefixKey::of_part("w", "m", "b")));
    assert_ne!(
        key("w", &first),
        key("v", &first),
        "nothing is shared over a wall"
    );
    assert_ne!(key("w", &first), key("w", &prompt("n", "a:10,b:20,own1:5")));
    assert_eq!(key("w", &prompt("m", "own:5")), None);
}

#[test]
fn routers_that_know_the_same_members_find_the_same_owner_and_few_keys_move() {
    let names: Vec<String> = (0..40).map(|number| format!("router-{number}")).collect();
    let ring = |names: &[String]| {
        let named: Vec<(String, String)> = names
            .iter()
            .map(|name| (name.clone(), name.clone()))
            .collect();
        Owners::new(
            named
                .iter()
                .map(|(name, member)| (name.as_str(), member.clone())),
        )
    };
    let all = ring(&names);
    let mut reversed = names.clone();
    reversed.reverse();
    let other = ring(&reversed);
    let without = ring(&names[1..]);
    let mut owned: BTreeMap<String, u32> = BTreeMap::new();
    for key in 0..40_000 {
        let owner = all.of(key).unwrap();
        assert_eq!(other.of(key), Some(owner));
        if *owner != names[0] {
            assert_eq!(
                without.of(key),
                Some(owner),
                "only the keys of who left move"
            );
        }
        *owned.entry(owner.clone()).or_default() += 1;
    }
    assert_eq!(owned.len(), 40);
    let (least, most) = (owned.values().min().unwrap(), owned.values().max().unwrap());
    assert!(
        *least > 250 && *most < 2_500,
        "{least} to {most} of 1,000 on the mean"
    );
    assert_eq!(Owners::<()>::default().of(1), None);
}
