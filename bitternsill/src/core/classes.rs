//! The current classes, and former classes that are still in use: open queries keep the class that
//! they were accepted with, and for some time after a change of settings clients may still use the
//! former classes by name. No I/O, and no clock.
//!
//! Each class has a slot, whose index is stored in open queries and in the dispatcher. A class
//! never moves to another slot while a query is open, as that would change the query's class. Slots
//! that are no longer in use are reused.

use dispatch::interface::{Class, Effect, Time};
use std::cmp::Reverse;

/// Whether a class is current, or until when a former class can be used by name.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Validity {
    /// The class has this index in the current settings.
    Current(usize),
    /// The class was replaced; clients may use it by name until this time.
    FormerUntil(Time),
}

#[derive(Debug, Clone, PartialEq)]
struct Slot {
    name: String,
    class: Class,
    validity: Validity,
}

/// There are more classes in use than slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManyClasses;

/// The current classes and the former ones still in use.
#[derive(Debug, Clone, Default)]
pub struct Classes {
    slots: Vec<Slot>,
}

impl Slot {
    fn index(&self) -> Option<usize> {
        match self.validity {
            Validity::Current(index) => Some(index),
            Validity::FormerUntil(_) => None,
        }
    }

    fn is_current(&self) -> bool {
        self.index().is_some()
    }

    /// Whether clients may use the class by name.
    fn is_valid(&self, now: Time) -> bool {
        match self.validity {
            Validity::Current(_) => true,
            Validity::FormerUntil(until) => now < until,
        }
    }
}

impl Classes {
    /// Creates the table with the classes of the first settings.
    pub fn new(names: &[String], classes: &[Class]) -> Self {
        let slot = |(index, (name, class)): (usize, (&String, &Class))| Slot {
            name: name.clone(),
            class: class.clone(),
            validity: Validity::Current(index),
        };
        Classes {
            slots: names.iter().zip(classes).enumerate().map(slot).collect(),
        }
    }

    /// Finds a class by its name and by whether the request has an idempotency key. While a name
    /// has a former and a current class, the key shows which settings the client uses; if both
    /// classes match, the stricter one is returned, as it satisfies the rules of both.
    pub fn find(&self, name: &str, key: bool, now: Time) -> Option<usize> {
        let matches = |s: &Slot| s.name == name && s.is_valid(now);
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
            .filter(|(_, slot)| matches(slot));
        found
            .max_by_key(|(_, slot)| strictness(&slot.class))
            .map(|(at, _)| at)
    }

    /// The name of the class in a slot; empty for an unknown slot.
    pub fn name(&self, slot: usize) -> &str {
        self.slots.get(slot).map_or("", |slot| &slot.name)
    }

    /// The class in each slot, for the dispatcher.
    pub fn table(&self) -> Vec<Class> {
        let retired = |s: &Slot| Class {
            retired: !s.is_current(),
            ..s.class.clone()
        };
        self.slots.iter().map(retired).collect()
    }

    /// The slots of the current classes, in the order of the settings.
    pub fn order(&self) -> Vec<usize> {
        let mut order: Vec<(usize, usize)> = self
            .slots
            .iter()
            .enumerate()
            .filter_map(|(at, slot)| Some((slot.index()?, at)))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, at)| at).collect()
    }

    /// Replaces the classes. `in_use` tells whether an open query belongs to a slot; until
    /// `valid_until` former classes can still be used by name. Returns for each slot the former
    /// slot that its estimates are copied from.
    ///
    /// # Errors
    ///
    /// If more than `max_slots` slots are needed.
    pub fn replace(
        &mut self,
        names: &[String],
        classes: &[Class],
        in_use: impl Fn(usize) -> bool,
        now: Time,
        valid_until: Time,
        max_slots: usize,
    ) -> Result<Vec<Option<usize>>, TooManyClasses> {
        let mut slots = self.slots.clone();
        let mut from: Vec<Option<usize>> = (0..slots.len()).map(Some).collect();
        let mut unplaced: Vec<(usize, &String, &Class)> = Vec::new();
        for slot in slots.iter_mut().filter(|slot| slot.is_current()) {
            slot.validity = Validity::FormerUntil(valid_until);
        }
        for (index, (name, class)) in names.iter().zip(classes).enumerate() {
            let same = self
                .slots
                .iter()
                .position(|s| s.is_current() && s.name == *name && s.class == *class);
            match same {
                Some(at) => slots[at].validity = Validity::Current(index),
                None => unplaced.push((index, name, class)),
            }
        }
        for (index, name, class) in unplaced {
            let former = self
                .slots
                .iter()
                .position(|s| s.name == *name && s.is_current());
            let slot = Slot {
                name: name.clone(),
                class: class.clone(),
                validity: Validity::Current(index),
            };
            let free = |(at, s): (usize, &Slot)| !s.is_valid(now) && !in_use(at);
            match slots.iter().enumerate().position(free) {
                Some(at) => (slots[at], from[at]) = (slot, former),
                None if slots.len() < max_slots => {
                    slots.push(slot);
                    from.push(former);
                }
                None => return Err(TooManyClasses),
            }
        }
        self.slots = slots;
        Ok(from)
    }
}

#[cfg(test)]
mod tests;
