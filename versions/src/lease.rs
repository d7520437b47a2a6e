//! One gatherer's lease on its version: whether it may serve under the version that it runs, by
//! when the store last confirmed that version as active.
//!
//! Invariant: a gatherer that is not autonomous serves under a version for at most
//! [`Config::validity`] after it *sent* the last query whose response confirmed the version.
//! Counted from the response, the lease would outlast an activation that waited for its expiry.
//!
//! The leases on singleton roles are other ones, in the package `ownership`.

use crate::status::{Status, StatusChange};
use crate::{Time, Version};

/// The store is queried this many times within the validity.
const QUERIES_PER_VALIDITY: Time = 8;
/// A confirmation older than this fraction of the validity was missed.
const GAPS_PER_VALIDITY: Time = 4;
/// The first backoff after a query without a response, as a fraction of the validity.
const BACKOFFS_PER_VALIDITY: Time = 64;
/// The backoff is doubled no more often than this.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// The time bounds of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How long a gatherer serves after it sent the last query that confirmed its version.
    pub validity: Time,
    /// How long responses must have come without a gap before a suspended gatherer serves again.
    pub recovery: Time,
}

impl Config {
    /// The age at which a confirmation counts as missed: twice the period of the queries.
    fn gap(&self) -> Time {
        self.validity / GAPS_PER_VALIDITY
    }
}

/// The last response of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// When the query was sent.
    pub queried_at: Time,
    /// The version that was active.
    pub active: Version,
}

/// A gatherer's lease on the version that it runs.
#[derive(Debug, Clone)]
pub struct VersionLease {
    config: Config,
    started_at: Time,
    running: Version,
    /// Whether it serves on without a store.
    autonomous: bool,
    last_response: Option<Confirmation>,
    /// When the last query was sent whose response confirmed the running version, or the version
    /// that ran before the switch to it. A response that names another version renews nothing.
    confirmed_at: Option<Time>,
    /// When the query in flight was sent.
    in_flight: Option<Time>,
    next_query_at: Time,
    /// Queries without a response in a row.
    timeouts: u32,
    /// Whether it is suspended, and has not recovered yet.
    suspended: bool,
    /// Since when responses have come without a gap; `None` where they have not.
    answering_since: Option<Time>,
    /// Whether an operator has put it on hold.
    on_hold: bool,
    status: Status,
    changes: Vec<StatusChange>,
}

impl VersionLease {
    /// The lease of a process that starts now with this version.
    ///
    /// It serves only after the first response, or, if it is autonomous, after its validity has
    /// passed without any: the version that it starts with may be long outdated.
    pub fn new(config: Config, running: Version, autonomous: bool, now: Time) -> VersionLease {
        VersionLease {
            config,
            started_at: now,
            running,
            autonomous,
            last_response: None,
            confirmed_at: None,
            in_flight: None,
            next_query_at: now,
            timeouts: 0,
            suspended: true,
            answering_since: None,
            on_hold: false,
            status: Status::Suspended,
            changes: Vec::new(),
        }
    }

    /// The version that it runs.
    pub fn running(&self) -> Version {
        self.running
    }

    /// The last response of the store.
    pub fn last_response(&self) -> Option<Confirmation> {
        self.last_response
    }

    /// Until when it serves under the version that it runs; `None` if that was never confirmed.
    pub fn valid_until(&self) -> Option<Time> {
        Some(self.confirmed_at?.saturating_add(self.config.validity))
    }

    /// Begins a query if one is due: the caller then has to ask the store for the active version
    /// and pass the outcome to one of the `handle_` methods. At most one query is in flight.
    pub fn begin_query(&mut self, now: Time) -> bool {
        if now < self.next_query_at || self.in_flight.is_some() {
            return false;
        }
        self.in_flight = Some(now);
        true
    }

    /// When the lease has to be updated next.
    pub fn due(&self) -> Time {
        let next_query = if self.in_flight.is_some() {
            Time::MAX
        } else {
            self.next_query_at
        };
        let gap = self.config.gap();
        let ages = [gap, 2 * gap, self.config.validity];
        let degradations = self.confirmed_at.map(|at| ages.map(|age| at + age));
        let first_expiry = self.started_at.saturating_add(self.config.validity);
        let recovered = self
            .answering_since
            .map(|since| since.saturating_add(self.config.recovery));
        degradations
            .into_iter()
            .flatten()
            .chain(recovered)
            .chain([first_expiry])
            // Moments in the past are handled with the next query.
            .filter(|at| *at > self.last_change_at())
            .chain([next_query])
            .min()
            .unwrap_or(next_query)
    }

    fn last_change_at(&self) -> Time {
        self.changes
            .last()
            .map_or(self.started_at, |change| change.at)
    }

    /// The store has responded that this version is active.
    pub fn handle_response(&mut self, active: Version, now: Time) {
        let Some(queried_at) = self.in_flight.take() else {
            return;
        };
        self.timeouts = 0;
        self.next_query_at = queried_at
            .saturating_add(self.config.validity / QUERIES_PER_VALIDITY)
            .max(now);
        // A response that took longer than the validity confirms nothing.
        if now.saturating_sub(queried_at) <= self.config.validity {
            self.last_response = Some(Confirmation { queried_at, active });
            if active == self.running {
                self.confirmed_at = Some(queried_at);
            }
            self.answering_since.get_or_insert(queried_at);
        }
        self.update(now);
    }

    /// The store has responded that this gatherer is excluded from the next activation. That
    /// renews nothing: the activation waits for the validity to expire.
    pub fn handle_exclusion(&mut self, now: Time) {
        self.handle_timeout(now);
    }

    /// The query in flight has no response.
    pub fn handle_timeout(&mut self, now: Time) {
        if self.in_flight.take().is_some() {
            // Exponential backoff, so that a store that returns is not overloaded; capped at the
            // gap, so that its return is noticed.
            let initial = self.config.validity / BACKOFFS_PER_VALIDITY;
            let backoff = initial << self.timeouts.min(MAX_BACKOFF_DOUBLINGS);
            self.timeouts += 1;
            self.next_query_at = now.saturating_add(backoff.min(self.config.gap()));
        }
        self.update(now);
    }

    /// The gatherer has switched to a version, under which it is autonomous or not.
    pub fn switch(&mut self, to: Version, autonomous: bool, now: Time) {
        // The new version became active after the last moment for which the former was confirmed,
        // so that confirmation holds for the new one as well.
        let confirmed = self
            .last_response
            .filter(|response| response.active == to)
            .map(|response| response.queried_at);
        self.confirmed_at = confirmed.or(self.confirmed_at);
        self.running = to;
        self.autonomous = autonomous;
        self.update(now);
    }

    /// An operator has put the gatherer on hold, or released it.
    pub fn set_on_hold(&mut self, on_hold: bool, now: Time) {
        self.on_hold = on_hold;
        self.update(now);
    }

    /// Whether a query of a client may be accepted. `now` must have been read right before: the
    /// process may have been suspended since the last update.
    pub fn may_accept(&self, now: Time) -> bool {
        if self.on_hold {
            return false;
        }
        match self.status {
            Status::Suspended => false,
            Status::Autonomous => true,
            Status::Current | Status::Behind | Status::Straggler => {
                self.autonomous || self.valid_until().is_some_and(|until| now < until)
            }
        }
    }

    /// The status at the last update.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Whether an operator has put the gatherer on hold.
    pub fn is_on_hold(&self) -> bool {
        self.on_hold
    }

    /// The changes of status since the last call.
    pub fn take_changes(&mut self) -> Vec<StatusChange> {
        std::mem::take(&mut self.changes)
    }

    /// Updates the status to the current time.
    pub fn update(&mut self, now: Time) {
        let to = self.evaluate(now);
        if to != self.status {
            let from = std::mem::replace(&mut self.status, to);
            self.changes.push(StatusChange { from, to, at: now });
        }
    }

    fn evaluate(&mut self, now: Time) -> Status {
        let gap = self.config.gap();
        let since = |at: Option<Time>| at.map_or(Time::MAX, |at| now.saturating_sub(at));
        if since(self.last_response.map(|response| response.queried_at)) > 2 * gap {
            // Responses have been missing for so long that the recovery starts anew.
            self.answering_since = None;
        }
        let age = since(self.confirmed_at);
        if age >= self.config.validity {
            return self.expired_status(now);
        }
        // The switch may have come after the response.
        let runs_active = self
            .last_response
            .is_some_and(|response| response.active <= self.running);
        if self.suspended {
            if !(runs_active && self.has_recovered(now)) {
                return Status::Suspended;
            }
            self.suspended = false;
        }
        if !runs_active || age > 2 * gap {
            Status::Straggler
        } else if age > gap {
            Status::Behind
        } else {
            Status::Current
        }
    }

    fn expired_status(&mut self, now: Time) -> Status {
        if !self.autonomous {
            self.suspended = true;
            return Status::Suspended;
        }
        let waited_once = now.saturating_sub(self.started_at) >= self.config.validity;
        if waited_once {
            Status::Autonomous
        } else {
            Status::Suspended
        }
    }

    /// Whether a suspended gatherer may serve again. Without this delay a flapping link would have
    /// it accept and reject clients in turn.
    fn has_recovered(&self, now: Time) -> bool {
        // A process that has just started has not flapped: its first response is enough.
        let just_started =
            self.last_change_at() == self.started_at && self.status == Status::Suspended;
        let since = self.answering_since.unwrap_or(now);
        just_started || now.saturating_sub(since) >= self.config.recovery
    }
}

#[cfg(test)]
mod tests;
