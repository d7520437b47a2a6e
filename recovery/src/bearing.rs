//! How much of what clients ask index hosts are seen to bear: by what came of the queries that were
//! taken.
//!
//! What the settings say of a cold host is the least that one bears; how much clients ask of it
//! they do not say. So the share that is taken starts there, and grows as fast as it is seen that
//! what was taken is answered whole in its time. Each share is judged by the first few queries
//! taken under it, whichever of them end first: quick ends are good ones, and judged by those alone
//! hosts that begin to queue would pass for sound.

use crate::Time;

/// Queries by which a share is judged: more would hold a small gatherer up for long.
const JUDGED: u32 = 8;
/// With all of them answered whole in this part of their time more is taken: hosts that begin to
/// queue are still whole, and take longer. With so many not whole in their time less is taken.
const EASY: f64 = 0.5;
const TOO_MUCH: u32 = 2;
/// By how much: up faster than down, as each step up is judged by itself.
const UP: f64 = 2.0;
const DOWN: f64 = 0.75;

/// What came of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Came {
    /// It was answered whole, with time to spare.
    Easily,
    /// It was answered whole in its time.
    Whole,
    /// It was refused, failed, or answered in part.
    Short,
}

impl Came {
    /// What it is to be answered whole, or not, after this part of the time in which it was wanted.
    pub fn after(spent: f64, whole: bool) -> Came {
        match whole {
            true if spent <= EASY => Came::Easily,
            true => Came::Whole,
            false => Came::Short,
        }
    }
}

/// What index hosts are seen to bear, as a share of what this gatherer's clients ask.
#[derive(Debug, Clone)]
pub struct Bearing {
    share: f64,
    /// No query's end is waited for longer than this: a client may have left.
    patience: Time,
    /// When the first of those that are judged may have been taken, and when the last one was.
    since: Time,
    until: Option<Time>,
    taken: u32,
    easy: u32,
    whole: u32,
    short: u32,
    /// Whether all that was asked has been borne.
    proved: bool,
}

impl Bearing {
    /// From a share (above 0, to 1) on, at this moment; queries end within so long.
    pub fn new(start: f64, patience: Time, now: Time) -> Bearing {
        // From nothing no share would ever grow.
        let share = start.clamp(1.0 / f64::from(JUDGED), 1.0);
        let (taken, easy, whole, short) = (0, 0, 0, 0);
        Bearing {
            share,
            patience,
            since: now,
            until: None,
            taken,
            easy,
            whole,
            short,
            proved: false,
        }
    }

    /// The share that may be taken.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether everything was taken, and borne.
    pub fn is_proved(&self) -> bool {
        self.proved
    }

    /// When what has not ended by then is waited for no longer.
    pub fn due(&self) -> Option<Time> {
        Some(self.until?.saturating_add(self.patience))
    }

    /// A query is taken.
    pub fn took(&mut self, now: Time) {
        if self.until.is_none() {
            self.taken += 1;
            self.until = (self.taken >= JUDGED).then_some(now);
        }
    }

    /// A query that was taken then has ended.
    pub fn ended(&mut self, taken: Time, came: Came, now: Time) {
        if taken >= self.since && self.until.is_none_or(|until| taken <= until) {
            match came {
                Came::Easily => self.easy += 1,
                Came::Whole => self.whole += 1,
                Came::Short => self.short += 1,
            }
        }
        self.judge(now);
    }

    /// Draws the verdict, once there is one.
    pub fn judge(&mut self, now: Time) {
        if self.easy >= JUDGED {
            self.proved = self.share >= 1.0;
            self.share = (self.share * UP).min(1.0);
        } else if self.short >= TOO_MUCH {
            self.share = (self.share * DOWN).max(1.0 / f64::from(JUDGED));
        } else if self.easy + self.whole + self.short < JUDGED
            && self.due().is_none_or(|due| now < due)
        {
            return;
        }
        (self.since, self.until) = (now, None);
        (self.taken, self.easy, self.whole, self.short) = (0, 0, 0, 0);
    }
}

#[cfg(test)]
mod tests;
