//! Refusing early where a service has more work than it can do in time.
//!
//! Routers learn of overload by the time that answers take to begin, measured against their
//! objectives. While the typical answer begins too late, a growing share of new requests is refused
//! at once, whatever their kind; the share falls again as answers get quicker. All routers see the
//! same backends, so they act alike without a word between them.

use crate::Millis;
use std::collections::{HashMap, VecDeque};

/// Answers that began within this time are looked at.
const WINDOW: Millis = 400;
/// Time between two adjustments of the refused share.
const STEP: Millis = 100;
/// Answers that have to be seen before anything is refused.
const LEAST_SEEN: usize = 3;
/// A service is overloaded once the typical answer has begun later than this share of its objective
/// for a while. Short peaks are better served late than refused.
const OVERLOADED: f64 = 0.8;
/// For so long.
const SUSTAINED: Millis = 2_000;
/// While a service is overloaded, the typical answer is to begin within this share of its
/// objective.
const GOAL: f64 = 0.25;
/// An overload is over once nothing had to be refused for so long.
const RECOVERED: Millis = 3_000;
/// How much of the way to its new value the refused share goes with each adjustment.
const APPROACH: f64 = 0.5;
/// A smaller share is none.
const NEGLIGIBLE: f64 = 0.01;
/// At least one in ten requests is sent, so that an end of the overload is noticed.
const LARGEST_SHARE: f64 = 0.9;

/// Identifies a request that is pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PendingId(u64);

#[derive(Debug, Clone, Copy)]
struct Pending {
    since: Millis,
    objective: Millis,
}

/// How a service stands, as far as one router can tell.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum Standing {
    /// Answers are in time.
    #[default]
    Calm,
    /// Answers are late since a moment.
    Late { since: Millis },
    /// It is overloaded: a share of new requests is refused. It was last needed at a moment.
    Overloaded { refused_share: f64, needed: Millis },
}

/// What one router knows of a service's load, and the share of requests that it refuses.
#[derive(Debug, Default)]
pub struct Admission {
    begun: VecDeque<(Millis, f64)>,
    pending: HashMap<PendingId, Pending>,
    next: u64,
    standing: Standing,
    stepped: Millis,
}

impl Admission {
    /// A request was sent whose answer is to begin within an objective.
    pub fn sent(&mut self, objective: Millis, now: Millis) -> PendingId {
        let id = PendingId(self.next);
        self.next += 1;
        self.pending.insert(
            id,
            Pending {
                since: now,
                objective: objective.max(1),
            },
        );
        id
    }

    /// Its answer has begun.
    pub fn answered(&mut self, id: PendingId, now: Millis) {
        if let Some(pending) = self.pending.remove(&id) {
            self.begun.push_back((now, pending.ratio(now)));
        }
    }

    /// It has ended without an answer that tells anything.
    pub fn forget(&mut self, id: PendingId) {
        self.pending.remove(&id);
    }

    /// The share of new requests that is refused now.
    pub fn refused_share(&mut self, now: Millis) -> f64 {
        if now >= self.stepped + STEP {
            self.stepped = now;
            let level = self.typical_ratio(now);
            self.standing = self.standing.after(level, now);
        }
        match self.standing {
            Standing::Overloaded { refused_share, .. } => refused_share,
            Standing::Calm | Standing::Late { .. } => 0.0,
        }
    }

    /// The median share of their objectives that answers take to begin, those included that are
    /// already late.
    fn typical_ratio(&mut self, now: Millis) -> f64 {
        while self.begun.front().is_some_and(|(at, _)| at + WINDOW < now) {
            self.begun.pop_front();
        }
        let mut ratios: Vec<f64> = self.begun.iter().map(|(_, ratio)| *ratio).collect();
        let late = self
            .pending
            .values()
            .map(|pending| pending.ratio(now))
            .filter(|ratio| *ratio > GOAL);
        ratios.extend(late);
        if ratios.len() < LEAST_SEEN {
            return 0.0;
        }
        let middle = ratios.len() / 2;
        let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }
}

impl Standing {
    /// The one place where the standing changes. The refused share grows steeply with the time that
    /// answers take, so that a backlog is worked off soon.
    fn after(self, level: f64, now: Millis) -> Standing {
        match self {
            Standing::Calm | Standing::Late { .. } if level <= OVERLOADED => Standing::Calm,
            Standing::Calm => Standing::Late { since: now },
            Standing::Late { since } if now < since + SUSTAINED => self,
            Standing::Late { .. } => Standing::Overloaded {
                refused_share: 0.0,
                needed: now,
            },
            Standing::Overloaded { needed, .. } if now > needed + RECOVERED => Standing::Calm,
            Standing::Overloaded {
                refused_share,
                needed,
            } => {
                let wanted = if level > GOAL {
                    1.0 - (GOAL / level).powi(2)
                } else {
                    0.0
                };
                let next = refused_share + APPROACH * (wanted.min(LARGEST_SHARE) - refused_share);
                let is_needed = next > NEGLIGIBLE;
                let refused_share = if is_needed { next } else { 0.0 };
                Standing::Overloaded {
                    refused_share,
                    needed: if is_needed { now } else { needed },
                }
            }
        }
    }
}

impl Pending {
    fn ratio(&self, now: Millis) -> f64 {
        now.saturating_sub(self.since) as f64 / self.objective as f64
    }
}
