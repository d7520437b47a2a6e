//! The index of prefix caches, including all orders of a few messages.

use routing::hash_ring::HashRing;
use routing::prefix_index::{Placement, PrefixIndex, PrefixKey};
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

fn replicas(index: &mut PrefixIndex, now: u64) -> Vec<Placement> {
    // A lookup for a version that no backend has does not affect the other lookups.
    index
        .look_up(KEY, &at("other", 99), false, None, now)
        .replicas
}

#[test]
fn first_fallback_is_recorded() {
    let mut index = PrefixIndex::default();
    assert!(
        index
            .look_up(KEY, &at("b1", 1), false, None, 10)
            .replicas
            .is_empty()
    );
    assert_eq!(
        index.look_up(KEY, &at("b2", 1), false, None, 11).replicas,
        [at("b1", 1)]
    );
    assert_eq!(
        replicas(&mut index, 12),
        [at("b1", 1)],
        "the fallback of the second lookup is not recorded"
    );
}

#[test]
fn replicas_are_specific_to_weights_version() {
    let mut index = PrefixIndex::default();
    index.record_placement(KEY, &at("b1", 1), 10);
    let location = index.look_up(KEY, &at("b2", 2), false, None, 11);
    assert!(!location.is_cached_by("b1", 2) && location.is_cached_by("b1", 1));
    let next = index.look_up(KEY, &at("b3", 2), false, None, 12);
    assert!(
        next.is_cached_by("b2", 2),
        "the fallback for the new weights is recorded"
    );
}

/// A message about one prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Message {
    LookUp(&'static str),
    Placed(&'static str),
    Evict(&'static str),
}

#[test]
fn last_message_wins_in_any_order() {
    use Message::{Evict, LookUp, Placed};
    let messages = [
        LookUp("b1"),
        Placed("b2"),
        Evict("b1"),
        Placed("b1"),
        Evict("b2"),
    ];
    for order in orders::all(&messages) {
        let mut index = PrefixIndex::default();
        let mut expected: BTreeMap<&str, bool> = BTreeMap::new();
        for (now, message) in order.iter().enumerate() {
            let now = now as u64;
            match message {
                LookUp(backend) => {
                    let cached = expected.values().any(|cached| *cached);
                    let found = !index
                        .look_up(KEY, &at(backend, 1), false, None, now)
                        .replicas
                        .is_empty();
                    assert_eq!(found, cached, "{order:?}");
                    if !cached {
                        expected.insert(backend, true);
                    }
                }
                Placed(backend) => {
                    index.record_placement(KEY, &at(backend, 1), now);
                    expected.insert(backend, true);
                }
                Evict(backend) => {
                    index.record_eviction(KEY, &at(backend, 1));
                    expected.insert(backend, false);
                }
            }
        }
        let mut found: Vec<_> = replicas(&mut index, 9)
            .into_iter()
            .map(|replica| replica.backend)
            .collect();
        found.sort();
        let cached: Vec<_> = expected
            .into_iter()
            .filter(|(_, cached)| *cached)
            .map(|(backend, _)| backend)
            .collect();
        assert_eq!(found, cached, "{order:?}");
    }
}

#[test]
fn replicas_expire_when_unused() {
    let mut index = PrefixIndex::default();
    index.record_placement(KEY, &at("b1", 1), 0);
    assert_eq!(replicas(&mut index, 19_999).len(), 1);
    index.record_placement(KEY, &at("b1", 1), 20_000);
    assert_eq!(
        replicas(&mut index, 39_999).len(),
        1,
        "each use renews the expiry"
    );
    assert!(!replicas(&mut index, 40_000).contains(&at("b1", 1)));
}

#[test]
fn saves_prefix_once_per_store_generation() {
    let mut index = PrefixIndex::default();
    let look_up = |index: &mut PrefixIndex, wants, generation, now| {
        let location = index.look_up(KEY, &at("b1", 1), wants, generation, now);
        (location.should_save, location.stored_version)
    };
    assert_eq!(
        look_up(&mut index, true, None, 0),
        (false, None),
        "the store does not respond"
    );
    assert_eq!(
        look_up(&mut index, false, STORE, 1),
        (false, None),
        "the caller does not want to save it"
    );
    assert_eq!(look_up(&mut index, true, STORE, 2), (true, None));
    assert_eq!(
        look_up(&mut index, true, STORE, 3),
        (false, Some(1)),
        "another caller is saving it"
    );
    index.record_store_eviction(KEY, 2);
    assert_eq!(
        look_up(&mut index, true, STORE, 4),
        (false, Some(1)),
        "another version was evicted"
    );
    index.record_store_eviction(KEY, 1);
    assert_eq!(
        look_up(&mut index, true, STORE, 5),
        (false, None),
        "it was saved recently"
    );
    assert_eq!(look_up(&mut index, true, STORE, 3_000), (true, None));
    assert_eq!(
        look_up(&mut index, true, Some(2), 6_000),
        (true, None),
        "the store has lost its contents"
    );
    let newer = index.look_up(KEY, &at("b1", 2), true, Some(2), 6_001);
    assert!(newer.should_save, "it is saved again for new weights");
}

#[test]
fn evicts_least_recently_used() {
    let mut index = PrefixIndex::default();
    for number in 0..100_000 {
        index.record_placement(PrefixKey(number), &at("b1", 1), number);
        for backend in 0..20 {
            index.record_placement(PrefixKey(number), &at(&format!("b{backend}"), 1), number);
        }
    }
    assert!(index.len() <= 16_384, "{} prefixes", index.len());
    let location = index.look_up(PrefixKey(99_999), &at("x", 1), false, None, 100_000);
    assert_eq!(location.replicas.len(), 6);
    assert_eq!(
        location.replicas[0],
        at("b19", 1),
        "the most recently used one comes first"
    );
    index.record_eviction(PrefixKey(5), &at("b1", 1));
    assert!(
        index.len() <= 16_384,
        "evictions of unknown prefixes create no entries"
    );
}

#[test]
fn key_covers_namespace_model_and_last_shared_segment() {
    let prompt = |model, segments| Prompt::from_headers(Some(model), Some(segments), None).unwrap();
    let key = |namespace, prompt: &Prompt| PrefixKey::of_prompt(namespace, prompt);
    let first = prompt("m", "a:10,b:20,own1:5");
    assert_eq!(key("w", &first), key("w", &prompt("m", "a:10,b:20,own2:7")));
    assert_eq!(key("w", &first), Some(PrefixKey::of_segment("w", "m", "b")));
    assert_ne!(
        key("w", &first),
        key("v", &first),
        "prefixes are not shared between namespaces"
    );
    assert_ne!(key("w", &first), key("w", &prompt("n", "a:10,b:20,own1:5")));
    assert_eq!(key("w", &prompt("m", "own:5")), None);
}

#[test]
fn owners_are_consistent_and_few_keys_move() {
    let names: Vec<String> = (0..40).map(|number| format!("router-{number}")).collect();
    let ring = |names: &[String]| {
        let named: Vec<(String, String)> = names
            .iter()
            .map(|name| (name.clone(), name.clone()))
            .collect();
        HashRing::new(
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
        let owner = all.owner(key).unwrap();
        assert_eq!(other.owner(key), Some(owner));
        if *owner != names[0] {
            assert_eq!(
                without.owner(key),
                Some(owner),
                "only the keys of the removed router move"
            );
        }
        *owned.entry(owner.clone()).or_default() += 1;
    }
    assert_eq!(owned.len(), 40);
    let (least, most) = (owned.values().min().unwrap(), owned.values().max().unwrap());
    assert!(
        *least > 250 && *most < 2_500,
        "{least} to {most}, with a mean of 1,000"
    );
    assert_eq!(HashRing::<()>::default().owner(1), None);
}
