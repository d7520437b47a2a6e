//! The classes in force, and former ones beside them: open queries keep the class that they began
//! with, and for some time after a change of settings a name may still have its former meaning. No
//! I/O, and no clock.
//!
//! A class has a slot, whose index open queries and the dispatcher keep. A slot never moves, as a
//! query would change its class with it; one that is no longer in use is reused.

use dispatch::interface::{Class, Effect, Time};
use std::cmp::Reverse;

/// Whether a class is in force.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Validity {
    /// It is in force, with this index in the settings.
    Current(usize),
    /// It is a former class, whose name is valid until then.
    FormerUntil(Time),
}

#[derive(Debug, Clone, PartialEq)]
struct Slot {
    name: String,
    class: Class,
    validity: Validity,
}

/// More classes than there are slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooMany;

/// Every class that is in use.
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

    /// Whether its name may still mean it.
    fn is_valid(&self, now: Time) -> bool {
        match self.validity {
            Validity::Current(_) => true,
            Validity::FormerUntil(until) => now < until,
        }
    }
}

impl Classes {
    /// The classes that the program starts with.
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

    /// The class that a client means by a name, and by carrying a key or not. While two meanings
    /// hold, the key tells which settings it goes by; where it does not, the stricter is taken,
    /// which keeps the rules of both.
    pub fn find(&self, name: &str, key: bool, now: Time) -> Option<usize> {
        let holds = |s: &Slot| s.name == name && s.is_valid(now);
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

    /// The class of each slot, for the dispatcher.
    pub fn table(&self) -> Vec<Class> {
        let retired = |s: &Slot| Class {
            retired: !s.is_current(),
            ..s.class.clone()
        };
        self.slots.iter().map(retired).collect()
    }

    /// The slot of each class in force, in the order of the settings.
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

    /// Replaces the classes. `in_use` says which slots open queries belong to; until `valid_until`
    /// the former names and meanings are valid beside the new ones. Returns for each slot the
    /// former slot that its estimates are taken from.
    ///
    /// # Errors
    ///
    /// Where more than `most` slots would be needed.
    pub fn replace(
        &mut self,
        names: &[String],
        classes: &[Class],
        in_use: impl Fn(usize) -> bool,
        now: Time,
        valid_until: Time,
        most: usize,
    ) -> Result<Vec<Option<usize>>, TooMany> {
        let mut slots = self.slots.clone();
        let mut from: Vec<Option<usize>> = (0..slots.len()).map(Some).collect();
        let mut left: Vec<(usize, &String, &Class)> = Vec::new();
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
                None => left.push((index, name, class)),
            }
        }
        for (index, name, class) in left {
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
