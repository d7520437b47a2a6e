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
mod tests;
