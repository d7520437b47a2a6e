//! Timers of a state machine whose caller provides the time.

use crate::interface::Time;
use std::collections::BTreeSet;

/// Timers in order of their time, and the wake-up that was last requested.
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
    /// Sets a timer.
    pub fn set(&mut self, at: Time, timer: T) {
        self.set.insert((at, timer));
    }

    /// Takes the first timer that is due.
    pub fn due(&mut self, now: Time) -> Option<T> {
        let first = *self.set.first().filter(|(at, _)| *at <= now)?;
        self.set.remove(&first);
        Some(first.1)
    }

    /// Whether a timer is set, for any time.
    pub fn has(&self, timer: T) -> bool {
        self.set.iter().any(|(_, other)| *other == timer)
    }

    /// When to be woken next; none where a wake-up no later is already requested.
    pub fn next_wake(&mut self, now: Time) -> Option<Time> {
        let first = self.set.first().map(|(at, _)| *at);
        let next = first.filter(|at| self.wake <= now || *at < self.wake);
        self.wake = next.unwrap_or(self.wake);
        next
    }
}
