//! Manages sessions with index hosts: chooses the session for each part, opens new ones, backs off
//! from failing hosts, handles abandoned searches, and remembers features that a host lacks.

use crate::record::{Schema, Syntax};
use crate::sru::Version;
use std::collections::BTreeMap;

/// Nanoseconds on a monotonic clock.
pub type Time = u64;

/// Limits of the pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolBounds {
    /// Maximum sessions per host.
    pub sessions: usize,
    /// Backoff after the first failed connection, doubled after each further failure.
    pub backoff_min: Time,
    /// Maximum backoff.
    pub backoff_max: Time,
    /// How long a feature that a host lacks is not requested again.
    pub capability_ttl: Time,
    /// Minimum time to wait for the response to an abandoned search, however fast the host usually
    /// is.
    pub abandoned_time_min: Time,
    /// Maximum time to wait for the response to an abandoned search.
    pub abandoned_time_max: Time,
    /// Maximum number of hosts to remember.
    pub hosts: usize,
}

/// The session for the next part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Use this idle session.
    Use(usize),
    /// Open a new session.
    Open,
    /// Queue the part on this session.
    Wait(usize),
    /// None: the host is in backoff and has no open session.
    Backoff,
}

/// What to do with the session of an abandoned search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonedAction {
    /// Keep it open and discard the late response, unless that takes until after this time.
    Drain(Time),
    /// Close it.
    Close,
}

/// Features that a host was found to lack.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostCapabilities {
    /// The SRU version in which the host responds.
    pub version: Option<Version>,
    /// The host does not sort.
    pub no_sort: bool,
    /// Schemas that the host does not offer.
    pub no_schema: Vec<Schema>,
    /// Record syntaxes that the host does not offer.
    pub no_syntax: Vec<Syntax>,
    /// The host does not count facets.
    pub no_facets: bool,
}

#[derive(Debug, Clone, Default)]
struct Host {
    failures: u32,
    backoff_until: Time,
    /// Moving average of response times, weighted towards recent ones; 0 before the first response.
    mean_response_time: Time,
    /// Sessions that wait for the response to an abandoned search.
    draining: usize,
    capabilities: HostCapabilities,
    capabilities_since: Option<Time>,
    used: Time,
}

/// The state of each host.
#[derive(Debug)]
pub struct Pool {
    bounds: PoolBounds,
    hosts: BTreeMap<u32, Host>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(bounds: PoolBounds) -> Pool {
        Pool {
            bounds,
            hosts: BTreeMap::new(),
        }
    }

    fn host(&mut self, host: u32, now: Time) -> &mut Host {
        // New hosts get new numbers for as long as the process runs, so the least recently used
        // entry is dropped.
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

    /// Chooses the session for the next part. `load` holds the number of requests on each of the
    /// host's sessions, including abandoned ones.
    pub fn choose(&mut self, host: u32, load: &[usize], now: Time) -> Choice {
        let max_sessions = self.bounds.sessions;
        let known = self.host(host, now);
        if let Some(idle) = load.iter().position(|n| *n == 0) {
            return Choice::Use(idle);
        }
        let least_loaded = load
            .iter()
            .enumerate()
            .min_by_key(|(_, n)| **n)
            .map(|(at, _)| at);
        match least_loaded {
            // While one session works, no further ones are opened to a host in backoff.
            Some(at) if load.len() >= max_sessions || known.backoff_until > now => Choice::Wait(at),
            None if known.backoff_until > now => Choice::Backoff,
            _ => Choice::Open,
        }
    }

    /// Records that a session was opened.
    pub fn connected(&mut self, host: u32, now: Time) {
        let host = self.host(host, now);
        host.failures = 0;
        host.backoff_until = 0;
    }

    /// Records that a session could not be opened or was refused.
    pub fn failed(&mut self, host: u32, now: Time) {
        let (min, max) = (self.bounds.backoff_min, self.bounds.backoff_max);
        let host = self.host(host, now);
        // Several concurrent attempts count as one failure.
        if host.backoff_until <= now {
            host.backoff_until =
                now.saturating_add(min.saturating_mul(1 << host.failures.min(20)).min(max));
            host.failures += 1;
        }
    }

    /// Records the response time of a request.
    pub fn answered(&mut self, host: u32, took: Time, now: Time) {
        let host = self.host(host, now);
        host.mean_response_time = if host.mean_response_time == 0 {
            took
        } else {
            host.mean_response_time - host.mean_response_time / 8 + took / 8
        };
    }

    /// Decides what to do with the session of a request that was sent at `sent_at` and abandoned.
    pub fn abandon(&mut self, host: u32, sent_at: Time, now: Time) -> AbandonedAction {
        let bounds = self.bounds;
        let known = self.host(host, now);
        let wait = (known.mean_response_time.saturating_mul(8))
            .clamp(bounds.abandoned_time_min, bounds.abandoned_time_max);
        let until = sent_at.saturating_add(wait);
        // At most half of the sessions may wait for abandoned searches; the others are needed for
        // active ones.
        if until <= now || known.draining + 1 > bounds.sessions.div_ceil(2) {
            return AbandonedAction::Close;
        }
        known.draining += 1;
        AbandonedAction::Drain(until)
    }

    /// Records that a session has read the response to an abandoned search, or was closed.
    pub fn drained(&mut self, host: u32, now: Time) {
        let host = self.host(host, now);
        host.draining = host.draining.saturating_sub(1);
    }

    /// The features that a host was found to lack. They are forgotten after a time, so that the
    /// host is asked again.
    pub fn capabilities(&mut self, host: u32, now: Time) -> &mut HostCapabilities {
        let ttl = self.bounds.capability_ttl;
        let host = self.host(host, now);
        if host
            .capabilities_since
            .is_none_or(|at| at.saturating_add(ttl) <= now)
        {
            host.capabilities = HostCapabilities::default();
            host.capabilities_since = Some(now);
        }
        &mut host.capabilities
    }
}

#[cfg(test)]
mod tests;
