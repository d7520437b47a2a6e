//! Timers for a state machine whose caller provides the time.

use crate::interface::Time;
use std::collections::BTreeSet;

/// Timers in order of time, and the wake-up that was last requested.
#[derive(Debug)]
pub struct Timers<T> {
    set: BTreeSet<(Time, T)>,
    wake: Time,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            set: BTreeSet::new(),
            wake: 0,
        }
    }
}

impl<T: Ord + Copy> Timers<T> {
    pub fn set(&mut self, at: Time, timer: T) {
        self.set.insert((at, timer));
    }

    /// Removes and returns the first timer that is due.
    pub fn pop_due(&mut self, now: Time) -> Option<T> {
        let first = *self.set.first().filter(|(at, _)| *at <= now)?;
        self.set.remove(&first);
        Some(first.1)
    }

    /// Whether a timer is set, at any time.
    pub fn has(&self, timer: T) -> bool {
        self.set.iter().any(|(_, other)| *other == timer)
    }

    /// The time of the next wake-up to request; `None` if none is needed or an earlier or equal one
    /// is already requested.
    pub fn next_wake(&mut self, now: Time) -> Option<Time> {
        let first = self.set.first().map(|(at, _)| *at);
        let next = first.filter(|at| self.wake <= now || *at < self.wake);
        self.wake = next.unwrap_or(self.wake);
        next
    }
}
