//! What a gatherer may do by what it last heard of the active version, and when.

use crate::{Time, Version};
use std::fmt;

/// Times that a deployment states.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// How long after it last asked, with an answer, a gatherer acts on what it was told.
    pub validity: Time,
    /// How long answers must have come without a gap before one that was shut out takes clients
    /// again.
    pub steady: Time,
}

impl Terms {
    /// An answer older than this is missed: a gatherer asks twice as often.
    fn gap(&self) -> Time {
        self.validity / 4
    }
}

/// How a gatherer stands to the version that is active.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It runs what is active, and has been told so of late.
    Current,
    /// It runs what was active when it last was told, some time ago. It serves on.
    Behind,
    /// It knows that it does not run what is active, or half of the validity has gone without an
    /// answer. It serves on, and is brought up.
    Straggler,
    /// Its validity is over, and it is one of those that go on all the same.
    Kept,
    /// Its validity is over: it takes no clients, and finishes what it holds.
    ShutOut,
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Standing::Current => "current",
            Standing::Behind => "behind",
            Standing::Straggler => "straggler",
            Standing::Kept => "kept",
            Standing::ShutOut => "shut out",
        })
    }
}

/// A change of standing, for the log and the trail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Before.
    pub from: Standing,
    /// Now.
    pub to: Standing,
    /// When.
    pub at: Time,
}

/// A gatherer's own account of its version.
#[derive(Debug, Clone)]
pub struct Account {
    terms: Terms,
    started: Time,
    /// The version that it runs.
    runs: Version,
    /// Whether it is one of those that go on without a store.
    keeper: bool,
    /// When it asked what was last answered, and which version it was told.
    told: Option<(Time, Version)>,
    /// When it last asked and was told that what it runs is active, or what it ran before it
    /// switched to this: a validity counts from there, and is not renewed by being told of another
    /// version.
    proved: Option<Time>,
    /// When it asked what has no answer yet.
    asked: Option<Time>,
    ask_at: Time,
    /// Questions without an answer in a row.
    misses: u32,
    /// Since when answers have come without a gap, after it was shut out; `None` while it is not,
    /// or they do not.
    out: bool,
    steady_since: Option<Time>,
    /// An operator has it held back.
    held: bool,
    standing: Standing,
    changes: Vec<Change>,
}

impl Account {
    /// One that starts now with this version, and has asked nothing yet. It takes no clients before
    /// it was answered once, or its validity has passed without and it is a keeper: what it starts
    /// with may be of last month.
    pub fn new(terms: Terms, runs: Version, keeper: bool, now: Time) -> Account {
        Account {
            terms,
            started: now,
            runs,
            keeper,
            told: None,
            proved: None,
            asked: None,
            ask_at: now,
            misses: 0,
            out: true,
            steady_since: None,
            held: false,
            standing: Standing::ShutOut,
            changes: Vec::new(),
        }
    }

    /// The version that it runs.
    pub fn runs(&self) -> Version {
        self.runs
    }

    /// The version that it was last told is active, and when it had asked.
    pub fn told(&self) -> Option<(Time, Version)> {
        self.told
    }

    /// Until when it acts on what it runs, where that has an end.
    pub fn valid_until(&self) -> Option<Time> {
        Some(self.proved?.saturating_add(self.terms.validity))
    }

    /// Whether the store is to be asked now which version is active; if so, the question counts as
    /// asked.
    pub fn asks(&mut self, now: Time) -> bool {
        if now < self.ask_at || self.asked.is_some() {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// When this wants to be looked at again.
    pub fn due(&self) -> Time {
        let next = if self.asked.is_some() {
            Time::MAX
        } else {
            self.ask_at
        };
        let gap = self.terms.gap();
        let ends = self
            .proved
            .map(|at| [gap, 2 * gap, self.terms.validity].map(|after| at + after));
        let begin = self.started.saturating_add(self.terms.validity);
        let steady = self
            .steady_since
            .map(|since| since.saturating_add(self.terms.steady));
        let all = ends.into_iter().flatten().chain(steady).chain([begin]);
        // Moments that have gone are looked at with the next question.
        all.filter(|at| *at > self.changes_at())
            .chain([next])
            .min()
            .unwrap_or(next)
    }

    fn changes_at(&self) -> Time {
        self.changes.last().map_or(self.started, |change| change.at)
    }

    /// The store has answered what was asked: this version is active.
    pub fn answered(&mut self, active: Version, now: Time) {
        let Some(asked) = self.asked.take() else {
            return;
        };
        self.misses = 0;
        self.ask_at = asked.saturating_add(self.terms.validity / 8).max(now);
        // An answer that took longer than it is worth says nothing.
        if now.saturating_sub(asked) <= self.terms.validity {
            self.told = Some((asked, active));
            self.proved = if active == self.runs {
                Some(asked)
            } else {
                self.proved
            };
            self.steady_since.get_or_insert(asked);
        }
        self.settle(now);
    }

    /// The store has answered that this gatherer is left out of the next activation: whoever
    /// decides on that counts on its validity running out from then on, so that answer renews
    /// nothing.
    pub fn left_out(&mut self, now: Time) {
        self.unanswered(now);
    }

    /// What was asked has no answer.
    pub fn unanswered(&mut self, now: Time) {
        if self.asked.take().is_some() {
            // Ever later, so that a store that comes back is not overrun, but never past a gap.
            let wait = (self.terms.validity / 64) << self.misses.min(8);
            self.misses += 1;
            self.ask_at = now.saturating_add(wait.min(self.terms.gap()));
        }
        self.settle(now);
    }

    /// It runs another version from now on, and is or is not one of those that go on under it
    /// without a store.
    pub fn switched(&mut self, to: Version, keeper: bool, now: Time) {
        // What is active now came to be so after the last moment for which the former was proved,
        // so it holds for as long.
        let told = self
            .told
            .filter(|(_, told)| *told == to)
            .map(|(asked, _)| asked);
        self.proved = told.or(self.proved);
        (self.runs, self.keeper) = (to, keeper);
        self.settle(now);
    }

    /// An operator has it held back, or released.
    pub fn hold(&mut self, held: bool, now: Time) {
        self.held = held;
        self.settle(now);
    }

    /// Whether a query may be taken at this very moment: asked with a clock read right before, as
    /// the process may have stood still since anything else was decided.
    pub fn may_act(&self, now: Time) -> bool {
        match self.standing {
            Standing::ShutOut => false,
            Standing::Kept => !self.held,
            _ => !self.held && (self.keeper || self.valid_until().is_some_and(|until| now < until)),
        }
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether an operator has it held back.
    pub fn is_held(&self) -> bool {
        self.held
    }

    /// Changes since this was last asked.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Time has passed.
    pub fn settle(&mut self, now: Time) {
        let to = self.judge(now);
        if to != self.standing {
            let from = std::mem::replace(&mut self.standing, to);
            self.changes.push(Change { from, to, at: now });
        }
    }

    fn judge(&mut self, now: Time) -> Standing {
        let gap = self.terms.gap();
        let since = |at: Option<Time>| at.map_or(Time::MAX, |at| now.saturating_sub(at));
        let age = since(self.proved);
        if since(self.told.map(|(at, _)| at)) > 2 * gap {
            // An answer has been missed for so long that what comes next begins anew.
            self.steady_since = None;
        }
        if age >= self.terms.validity {
            let begun = now.saturating_sub(self.started) >= self.terms.validity;
            self.out |= !self.keeper;
            return if self.keeper && begun {
                Standing::Kept
            } else {
                Standing::ShutOut
            };
        }
        // It may have switched since it was told.
        let runs_active = self.told.is_some_and(|(_, active)| active <= self.runs);
        if self.out {
            // One that has just started has not swung: its first answer is enough.
            let fresh = self.changes_at() == self.started && self.standing == Standing::ShutOut;
            let since = self.steady_since.unwrap_or(now);
            let steady = fresh || now.saturating_sub(since) >= self.terms.steady;
            if !(steady && runs_active) {
                return Standing::ShutOut;
            }
            self.out = false;
        }
        match age {
            _ if !runs_active => Standing::Straggler,
            age if age > 2 * gap => Standing::Straggler,
            age if age > gap => Standing::Behind,
            _ => Standing::Current,
        }
    }
}

#[cfg(test)]
mod tests;
