//! The calls out to one server; one call carries several parts.

use crate::interface::Time;
use std::collections::BTreeMap;

/// Calls by their numbers, with the parts that are still out in each.
///
/// Calls are numbered from the time of their turn on, so that the sends of one turn share them.
#[derive(Debug, Default)]
pub struct Calls {
    parts: BTreeMap<u64, u32>,
}

impl Calls {
    /// How many calls are out.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether none is out.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Whether a call of this turn takes one more part.
    pub fn can_join(&self, now: Time, most_parts: u32) -> bool {
        self.parts
            .range(now..)
            .any(|(_, parts)| *parts < most_parts)
    }

    /// Adds a part to a call of this turn. Returns the call's number.
    pub fn begin(&mut self, now: Time, most_parts: u32) -> u64 {
        let mut call = now;
        while self
            .parts
            .get(&call)
            .is_some_and(|parts| *parts >= most_parts)
        {
            call += 1;
        }
        *self.parts.entry(call).or_insert(0) += 1;
        call
    }

    /// A part of a call has ended.
    pub fn end(&mut self, call: u64) {
        self.parts.retain(|number, parts| {
            *parts -= u32::from(*number == call);
            *parts > 0
        });
    }
}
