//! Tracks when unparsed bytes arrived. The waiting time of a pipelined request counts from its
//! arrival, not from the answer to the request before it.

use dispatch::interface::Time;
use std::collections::VecDeque;

/// Reads within this time of the first, in nanoseconds, count as one arrival at the time of the
/// first.
const COALESCE_WINDOW: Time = 5_000_000;

/// The times at which one connection's bytes were read.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Offsets in the stream, each with the time at which the bytes before it had arrived.
    offsets: VecDeque<(u64, Time)>,
    read: u64,
    parsed: u64,
}

impl Arrivals {
    /// Records a read of `bytes` bytes that may have arrived at `at` at the earliest.
    pub fn read(&mut self, bytes: usize, at: Time) {
        self.read += bytes as u64;
        match self.offsets.back_mut() {
            _ if bytes == 0 => {}
            Some((end, last)) if at < *last + COALESCE_WINDOW => *end = self.read,
            _ => self.offsets.push_back((self.read, at)),
        }
    }

    /// Removes the last `bytes` bytes read, which the connection dropped unparsed.
    pub fn dropped(&mut self, bytes: usize) {
        self.read -= bytes as u64;
        while self.offsets.len() > 1 && self.offsets[self.offsets.len() - 2].0 >= self.read {
            self.offsets.pop_back();
        }
        if let Some((end, _)) = self.offsets.back_mut() {
            *end = (*end).min(self.read);
        }
    }

    /// Advances past parsed bytes. Returns when the last of them arrived, if known.
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
