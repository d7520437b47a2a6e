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
mod tests {
    use super::*;

    const BOUNDS: PoolBounds = PoolBounds {
        sessions: 4,
        rest_least: 100,
        rest_most: 1000,
        learn_for: 5000,
        outlive_least: 300,
        outlive_most: 2000,
        hosts: 3,
    };

    #[test]
    fn an_idle_session_is_used_before_one_more_is_opened_and_none_beyond_the_bound() {
        let mut pool = Pool::new(BOUNDS);
        assert_eq!(pool.choose(1, &[], 0), Choice::Open);
        assert_eq!(pool.choose(1, &[1, 0], 0), Choice::Use(1));
        assert_eq!(pool.choose(1, &[1, 1], 0), Choice::Open);
        assert_eq!(pool.choose(1, &[3, 1, 2, 1], 0), Choice::Wait(1));
    }

    #[test]
    fn a_host_that_fails_is_left_in_peace_for_longer_each_time_but_not_for_ever() {
        let mut pool = Pool::new(BOUNDS);
        let mut now = 0;
        for rest in [100, 200, 400, 800, 1000, 1000] {
            pool.failed(1, now);
            pool.failed(1, now);
            assert_eq!(pool.choose(1, &[], now + rest - 1), Choice::Rest);
            assert_eq!(
                pool.choose(1, &[2], now + rest - 1),
                Choice::Wait(0),
                "what is up still works"
            );
            now += rest;
            assert_eq!(pool.choose(1, &[], now), Choice::Open);
        }
        pool.connected(1, now);
        pool.failed(1, now);
        assert_eq!(
            pool.choose(1, &[], now + 100),
            Choice::Open,
            "after a success it begins anew"
        );
        assert_eq!(
            pool.choose(2, &[], now),
            Choice::Open,
            "another host has no part in it"
        );
    }

    #[test]
    fn an_abandoned_search_is_outlived_as_long_as_that_is_cheaper() {
        let mut pool = Pool::new(BOUNDS);
        pool.answered(1, 100, 0);
        assert_eq!(
            pool.abandon(1, 1000, 1200),
            Fate::Outlive(1800),
            "eight times what it usually takes"
        );
        assert_eq!(
            pool.abandon(1, 1000, 1800),
            Fate::End,
            "it has had its time"
        );
        assert_eq!(pool.abandon(1, 1000, 1200), Fate::Outlive(1800));
        assert_eq!(
            pool.abandon(1, 1000, 1200),
            Fate::End,
            "half of the sessions wait for nothing"
        );
        pool.outlived(1, 1300);
        assert_eq!(pool.abandon(1, 1000, 1300), Fate::Outlive(1800));
        for _ in 0..50 {
            pool.answered(1, 100_000, 2000);
        }
        pool.outlived(1, 2000);
        assert_eq!(
            pool.abandon(1, 2000, 2000),
            Fate::Outlive(4000),
            "never longer than the bound"
        );
    }

    #[test]
    fn what_a_host_cannot_do_is_asked_again_after_a_while_and_the_memory_is_bounded() {
        let mut pool = Pool::new(BOUNDS);
        pool.learned(1, 0).no_sort = true;
        assert!(pool.learned(1, 4999).no_sort);
        assert!(!pool.learned(1, 5000).no_sort);
        for host in 0..100 {
            pool.learned(host, 6000 + u64::from(host));
        }
        assert_eq!(pool.hosts.len(), 3);
    }
}
