//! Calls in flight to one server. One call carries several parts (batching).

use crate::interface::Time;
use std::collections::BTreeMap;

/// Calls by number, with how many of their parts are still in flight.
///
/// Calls are numbered upwards from the time of their turn, so that only attempts of one turn share
/// a call: a later one would miss the call that is on its way.
#[derive(Debug, Default)]
pub struct Calls {
    parts: BTreeMap<u64, u32>,
}

impl Calls {
    /// How many calls are in flight.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Whether a call of this turn takes one more part.
    pub fn can_join(&self, now: Time, max_parts: u32) -> bool {
        self.parts.range(now..).any(|(_, parts)| *parts < max_parts)
    }

    /// Adds a part to a call of this turn. Returns the call's number.
    pub fn begin(&mut self, now: Time, max_parts: u32) -> u64 {
        let mut call = now;
        while self
            .parts
            .get(&call)
            .is_some_and(|parts| *parts >= max_parts)
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
