//! When the bytes came that wait to be understood: a request behind another one has been waited for
//! all along.

use dispatch::interface::Time;
use std::collections::VecDeque;

/// Bytes that come within so short a time of each other are held to have come with the first of
/// them.
const COALESCED_WITHIN: Time = 5_000_000;

/// The times at which one connection's bytes were read.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// How many bytes had come in all, and when the last of them had.
    offsets: VecDeque<(u64, Time)>,
    read: u64,
    parsed: u64,
}

impl Arrivals {
    /// So many bytes have been read, that may have come at this time.
    pub fn read(&mut self, bytes: usize, at: Time) {
        self.read += bytes as u64;
        match self.offsets.back_mut() {
            _ if bytes == 0 => {}
            Some((end, last)) if at < *last + COALESCED_WITHIN => *end = self.read,
            _ => self.offsets.push_back((self.read, at)),
        }
    }

    /// So many of the last bytes that were read are not kept.
    pub fn dropped(&mut self, bytes: usize) {
        self.read -= bytes as u64;
        while self.offsets.len() > 1 && self.offsets[self.offsets.len() - 2].0 >= self.read {
            self.offsets.pop_back();
        }
        if let Some((end, _)) = self.offsets.back_mut() {
            *end = (*end).min(self.read);
        }
    }

    /// So many more have been understood; when the last of these came, if any is known.
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
