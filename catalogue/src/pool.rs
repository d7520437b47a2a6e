//! Sessions to index hosts: which one takes the next part, when one more is opened, when a host is
//! left in peace, what becomes of a search that nobody waits for any more, and what a host is held
//! able to do.

use crate::record::{Schema, Syntax};
use crate::sru::Version;
use std::collections::BTreeMap;

/// Nanoseconds of one clock.
pub type Time = u64;

/// What bounds the pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolBounds {
    /// Sessions to one host.
    pub sessions: usize,
    /// Rest after a first failed connection; doubled by each that follows.
    pub rest_least: Time,
    /// The longest rest.
    pub rest_most: Time,
    /// How long what a host cannot do is held against it.
    pub learn_for: Time,
    /// An abandoned search is outlived for so long, whatever the host usually takes.
    pub outlive_least: Time,
    /// And never longer than this.
    pub outlive_most: Time,
    /// Hosts remembered.
    pub hosts: usize,
}

/// Which session takes the next part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// This one, which is idle.
    Use(usize),
    /// A new one.
    Open,
    /// This one, behind what it carries.
    Wait(usize),
    /// None: the host failed lately, and there is no session to it.
    Rest,
}

/// What becomes of a search that nobody waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Its session reads the late answer and goes on, unless it takes longer than until then.
    Outlive(Time),
    /// Its session ends.
    End,
}

/// What a host was found not to do.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Learned {
    /// The version of SRU that it answers.
    pub version: Option<Version>,
    /// It does not sort.
    pub no_sort: bool,
    /// Schemas that it does not give.
    pub no_schema: Vec<Schema>,
    /// Record syntaxes that it does not give.
    pub no_syntax: Vec<Syntax>,
    /// It does not count facets.
    pub no_facets: bool,
}

#[derive(Debug, Clone, Default)]
struct Host {
    failures: u32,
    rest_until: Time,
    /// What an answer usually takes: a mean in which the last ones weigh most; 0 before the first.
    usual: Time,
    /// Sessions that outlive an abandoned search.
    outliving: usize,
    learned: Learned,
    learned_at: Option<Time>,
    used: Time,
}

/// The pool's memory of each host.
#[derive(Debug)]
pub struct Pool {
    bounds: PoolBounds,
    hosts: BTreeMap<u32, Host>,
}

impl Pool {
    /// A pool that knows no host.
    pub fn new(bounds: PoolBounds) -> Pool {
        Pool {
            bounds,
            hosts: BTreeMap::new(),
        }
    }

    fn host(&mut self, host: u32, now: Time) -> &mut Host {
        // Hosts come and go under new numbers for as long as this runs.
        if !self.hosts.contains_key(&host)
            && self.hosts.len() >= self.bounds.hosts
            && let Some(oldest) = self
                .hosts
                .iter()
                .min_by_key(|(_, h)| h.used)
                .map(|(id, _)| *id)
        {
            self.hosts.remove(&oldest);
        }
        let entry = self.hosts.entry(host).or_default();
        entry.used = entry.used.max(now);
        entry
    }

    /// Which of a host's sessions takes the next part; `carried` says how many each has, an
    /// abandoned one included.
    pub fn choose(&mut self, host: u32, carried: &[usize], now: Time) -> Choice {
        let most = self.bounds.sessions;
        let known = self.host(host, now);
        if let Some(idle) = carried.iter().position(|n| *n == 0) {
            return Choice::Use(idle);
        }
        let least = carried
            .iter()
            .enumerate()
            .min_by_key(|(_, n)| **n)
            .map(|(at, _)| at);
        match least {
            // A host that turned connections away is not asked for more of them while one works.
            Some(at) if carried.len() >= most || known.rest_until > now => Choice::Wait(at),
            None if known.rest_until > now => Choice::Rest,
            _ => Choice::Open,
        }
    }

    /// A session is up.
    pub fn connected(&mut self, host: u32, now: Time) {
        let host = self.host(host, now);
        host.failures = 0;
        host.rest_until = 0;
    }

    /// A session never came up, or was refused.
    pub fn failed(&mut self, host: u32, now: Time) {
        let (least, most) = (self.bounds.rest_least, self.bounds.rest_most);
        let host = self.host(host, now);
        // Several that were begun together count as one failure.
        if host.rest_until <= now {
            host.rest_until =
                now.saturating_add(least.saturating_mul(1 << host.failures.min(20)).min(most));
            host.failures += 1;
        }
    }

    /// An answer came, so long after it was asked for.
    pub fn answered(&mut self, host: u32, took: Time, now: Time) {
        let host = self.host(host, now);
        host.usual = if host.usual == 0 {
            took
        } else {
            host.usual - host.usual / 8 + took / 8
        };
    }

    /// Nobody waits any more for what a session was asked at `asked`.
    pub fn abandon(&mut self, host: u32, asked: Time, now: Time) -> Fate {
        let bounds = self.bounds;
        let known = self.host(host, now);
        let patience =
            (known.usual.saturating_mul(8)).clamp(bounds.outlive_least, bounds.outlive_most);
        let until = asked.saturating_add(patience);
        // Half of the sessions at most wait for nothing: the others are needed for what somebody
        // waits for.
        if until <= now || known.outliving + 1 > bounds.sessions.div_ceil(2) {
            return Fate::End;
        }
        known.outliving += 1;
        Fate::Outlive(until)
    }

    /// A session that outlived a search has read its answer, or has ended.
    pub fn outlived(&mut self, host: u32, now: Time) {
        let host = self.host(host, now);
        host.outliving = host.outliving.saturating_sub(1);
    }

    /// What a host is held not to do; after so long it is asked again.
    pub fn learned(&mut self, host: u32, now: Time) -> &mut Learned {
        let lasts = self.bounds.learn_for;
        let host = self.host(host, now);
        if host
            .learned_at
            .is_none_or(|at| at.saturating_add(lasts) <= now)
        {
            host.learned = Learned::default();
            host.learned_at = Some(now);
        }
        &mut host.learned
    }
}

#[cfg(test)]
mod tests;
