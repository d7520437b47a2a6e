//! Calls in flight to one server. A call may carry several parts (batching).

use crate::interface::Time;
use std::collections::BTreeMap;

/// The number of parts still in flight in each call, by call number.
///
/// A turn numbers its calls upwards from its own time. Attempts share a call only within one turn,
/// as a call has already been sent when a later turn begins.
#[derive(Debug, Default)]
pub struct Calls {
    parts_in_flight: BTreeMap<u64, u32>,
}

impl Calls {
    pub fn len(&self) -> usize {
        self.parts_in_flight.len()
    }

    pub fn is_empty(&self) -> bool {
        self.parts_in_flight.is_empty()
    }

    /// Whether a call of this turn has room for another part.
    pub fn can_join(&self, now: Time, max_parts: u32) -> bool {
        self.parts_in_flight
            .range(now..)
            .any(|(_, parts)| *parts < max_parts)
    }

    /// Adds a part to a call of this turn and returns the call's number.
    pub fn begin(&mut self, now: Time, max_parts: u32) -> u64 {
        let mut call = now;
        while self
            .parts_in_flight
            .get(&call)
            .is_some_and(|parts| *parts >= max_parts)
        {
            call += 1;
        }
        *self.parts_in_flight.entry(call).or_insert(0) += 1;
        call
    }

    /// Records that a part of a call has ended.
    pub fn end(&mut self, call: u64) {
        self.parts_in_flight.retain(|number, parts| {
            *parts -= u32::from(*number == call);
            *parts > 0
        });
    }
}
