//! When the bytes arrived that are still to be parsed: the client of a pipelined request has waited
//! since then, not since the request before it was answered.

use dispatch::interface::Time;
use std::collections::VecDeque;

/// Nanoseconds within which reads count as one arrival, at the time of the first.
const COALESCED_WITHIN: Time = 5_000_000;

/// The times at which one connection's bytes were read.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Offsets in the stream, each with the time at which the bytes before it had arrived.
    offsets: VecDeque<(u64, Time)>,
    read: u64,
    parsed: u64,
}

impl Arrivals {
    /// Records a read of so many bytes, which may have arrived at this time.
    pub fn read(&mut self, bytes: usize, at: Time) {
        self.read += bytes as u64;
        match self.offsets.back_mut() {
            _ if bytes == 0 => {}
            Some((end, last)) if at < *last + COALESCED_WITHIN => *end = self.read,
            _ => self.offsets.push_back((self.read, at)),
        }
    }

    /// Forgets the last bytes that were read, as they are not stored.
    pub fn dropped(&mut self, bytes: usize) {
        self.read -= bytes as u64;
        while self.offsets.len() > 1 && self.offsets[self.offsets.len() - 2].0 >= self.read {
            self.offsets.pop_back();
        }
        if let Some((end, _)) = self.offsets.back_mut() {
            *end = (*end).min(self.read);
        }
    }

    /// Advances past parsed bytes. Returns when the last of these arrived, if that is known.
    pub fn parsed(&mut self, bytes: usize) -> Option<Time> {
        self.parsed += bytes as u64;
        while self
            .offsets
            .front()
            .is_some_and(|(end, _)| *end < self.parsed)
        {
            self.offsets.pop_front();
        }
        self.offsets.front().map(|(_, at)| *at)
    }
}
