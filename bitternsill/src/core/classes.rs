//! The classes in force, and those that go on beside them for a while: open queries keep the class
//! that they began with, and for some time after new settings a name may still mean what it meant.
//! No I/O, and no clock but what it is told.
//!
//! A class stands in a slot whose number open queries and the module hold. A slot never moves; one
//! that nothing holds any more is used again.

use dispatch::interface::{Class, Effect, Time};
use std::cmp::Reverse;

#[derive(Debug, Clone, PartialEq)]
struct Slot {
    name: String,
    class: Class,
    /// Its place in the settings in force; otherwise until when its name may still mean it.
    place: Result<usize, Time>,
}

/// More classes than there are slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooMany;

/// Every class that something may hold.
#[derive(Debug, Clone, Default)]
pub struct Classes {
    slots: Vec<Slot>,
}

impl Classes {
    /// The classes that the program starts with.
    pub fn new(names: &[String], classes: &[Class]) -> Self {
        let slot = |(place, (name, class)): (usize, (&String, &Class))| Slot {
            name: name.clone(),
            class: class.clone(),
            place: Ok(place),
        };
        Classes {
            slots: names.iter().zip(classes).enumerate().map(slot).collect(),
        }
    }

    /// The class that a client means by a name, and by carrying a key or not. While two meanings
    /// hold, the key tells which settings it goes by; where it does not, the stricter is taken,
    /// which keeps the rules of both.
    pub fn find(&self, name: &str, key: bool, now: Time) -> Option<usize> {
        let holds = |s: &Slot| s.name == name && s.place.err().is_none_or(|until| now < until);
        let strictness = |class: &Class| {
            let effect = [Effect::Safe, Effect::Keyed, Effect::Unsafe]
                .iter()
                .position(|e| *e == class.effect);
            (
                (class.effect == Effect::Keyed) == key,
                effect,
                Reverse(class.max_attempts),
                Reverse(class.key_lifetime),
            )
        };
        let found = self
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| holds(slot));
        found
            .max_by_key(|(_, slot)| strictness(&slot.class))
            .map(|(at, _)| at)
    }

    /// The name that a slot's class has, or had last.
    pub fn name(&self, slot: usize) -> &str {
        self.slots.get(slot).map_or("", |slot| &slot.name)
    }

    /// What the module is to work by: a class for each slot.
    pub fn table(&self) -> Vec<Class> {
        let retired = |s: &Slot| Class {
            retired: s.place.is_err(),
            ..s.class.clone()
        };
        self.slots.iter().map(retired).collect()
    }

    /// Where each class of the settings in force stands, in their order.
    pub fn order(&self) -> Vec<usize> {
        let mut order: Vec<(usize, usize)> = self
            .slots
            .iter()
            .enumerate()
            .filter_map(|(at, slot)| Some((slot.place.ok()?, at)))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, at)| at).collect()
    }

    /// Lays other classes over the slots. `held` says which of these open queries hold; until
    /// `fading` the former names and meanings hold beside the new ones. Gives, for each slot, the
    /// one of before that it goes on from.
    pub fn lay(
        &mut self,
        names: &[String],
        classes: &[Class],
        held: impl Fn(usize) -> bool,
        now: Time,
        fading: Time,
        most: usize,
    ) -> Result<Vec<Option<usize>>, TooMany> {
        let mut slots = self.slots.clone();
        let mut from: Vec<Option<usize>> = (0..slots.len()).map(Some).collect();
        let mut left: Vec<(usize, &String, &Class)> = Vec::new();
        for slot in slots.iter_mut().filter(|slot| slot.place.is_ok()) {
            slot.place = Err(fading);
        }
        for (place, (name, class)) in names.iter().zip(classes).enumerate() {
            let same = self
                .slots
                .iter()
                .position(|s| s.place.is_ok() && s.name == *name && s.class == *class);
            match same {
                Some(at) => slots[at].place = Ok(place),
                None => left.push((place, name, class)),
            }
        }
        for (place, name, class) in left {
            let former = self
                .slots
                .iter()
                .position(|s| s.name == *name && s.place.is_ok());
            let slot = Slot {
                name: name.clone(),
                class: class.clone(),
                place: Ok(place),
            };
            let free =
                |(at, s): (usize, &Slot)| s.place.is_err_and(|until| until <= now) && !held(at);
            match slots.iter().enumerate().position(free) {
                Some(at) => (slots[at], from[at]) = (slot, former),
                None if slots.len() < most => {
                    slots.push(slot);
                    from.push(former);
                }
                None => return Err(TooMany),
            }
        }
        self.slots = slots;
        Ok(from)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MOST: usize = 8;

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
    fn a_name_means_both_for_a_while_and_open_queries_keep_theirs() {
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
            .lay(
                &names(&["new", "shelf", "page"]),
                &[safe.clone(), safe.clone(), unsafe_.clone()],
                |_| true,
                0,
                10,
                MOST,
            )
            .unwrap();
        // Nothing moved; the three fresh ones go on from what their names were before.
        assert_eq!(from, [Some(0), Some(1), Some(2), None, Some(1), Some(0)]);
        assert_eq!(classes.order(), [3, 4, 5]);
        let mean = |name: &str, key, now| classes.find(name, key, now);
        // The key tells which settings a client goes by.
        assert_eq!(
            (mean("shelf", true, 5), mean("shelf", false, 5)),
            (Some(1), Some(4))
        );
        // Where it does not, what is allowed by both.
        assert_eq!(mean("page", false, 5), Some(5));
        assert_eq!(
            (mean("old", false, 5), mean("new", false, 0)),
            (Some(2), Some(3))
        );
        // Afterwards the new ones alone.
        assert_eq!(
            (
                mean("old", false, 10),
                mean("shelf", true, 10),
                mean("page", false, 10)
            ),
            (None, Some(4), Some(5))
        );
        let retired: Vec<bool> = classes.table().iter().map(|c| c.retired).collect();
        assert_eq!(retired, [true, true, true, false, false, false]);
    }

    #[test]
    fn fewer_attempts_hold_at_once_and_more_only_afterwards() {
        for (before, after) in [(2, 4), (4, 2)] {
            let mut classes = Classes::new(&names(&["page"]), &[class(Effect::Safe, before)]);
            classes
                .lay(
                    &names(&["page"]),
                    &[class(Effect::Safe, after)],
                    |_| false,
                    0,
                    10,
                    MOST,
                )
                .unwrap();
            let attempts =
                |now| classes.table()[classes.find("page", false, now).unwrap()].max_attempts;
            assert_eq!((attempts(9), attempts(10)), (2, after));
        }
    }

    #[test]
    fn slots_are_used_again_once_nothing_holds_them_and_no_others() {
        let mut rng = fastrand::Rng::with_seed(18);
        for _ in 0..200 {
            let mut classes = Classes::new(
                &names(&["a", "b"]),
                &[class(Effect::Safe, 1), class(Effect::Safe, 2)],
            );
            let mut held: Vec<(usize, Class)> = Vec::new();
            for now in (0..).step_by(10).take(50) {
                let before = classes.table();
                let chosen: Vec<&str> =
                    ["a", "b", "c"].into_iter().filter(|_| rng.bool()).collect();
                let chosen = if chosen.is_empty() { vec!["a"] } else { chosen };
                let fresh: Vec<Class> = chosen
                    .iter()
                    .map(|_| class(Effect::Safe, rng.u32(1..3)))
                    .collect();
                let holds = |at| held.iter().any(|(slot, _)| *slot == at);
                // A slot's number must go on to mean the class for whoever holds it.
                if let Ok(from) = classes.lay(
                    &names(&chosen),
                    &fresh,
                    holds,
                    now,
                    now + rng.u64(0..20),
                    MOST,
                ) {
                    assert!(from.iter().flatten().all(|at| *at < before.len()));
                }
                let table = classes.table();
                assert!(table.len() <= MOST && table.len() >= before.len());
                let means = |slot: usize| Class {
                    retired: false,
                    ..table[slot].clone()
                };
                assert!(held.iter().all(|(slot, class)| means(*slot) == *class));
                if let Some(slot) = classes.find(chosen[0], false, now) {
                    held.push((slot, means(slot)));
                }
                held.retain(|_| rng.u32(0..3) > 0);
            }
        }
    }
}
