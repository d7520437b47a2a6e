//! One gatherer's lease on its version: whether the gatherer may serve under the version that it
//! runs, depending on when the store last confirmed that version as active.
//!
//! Invariant: a gatherer that is not autonomous serves under a version for at most
//! [`Config::validity`] after it *sent* the last query whose response confirmed the version.
//! Counted from the response, the lease would outlast an activation that waited for its expiry.
//!
//! The leases on singleton roles are in the package `ownership`.

use crate::status::{Status, StatusChange};
use crate::{Time, Version};

/// Queries to the store within the validity.
const QUERIES_PER_VALIDITY: Time = 8;
/// A confirmation older than the validity divided by this counts as missed.
const GAPS_PER_VALIDITY: Time = 4;
/// The first backoff after a query without a response is the validity divided by this.
const BACKOFFS_PER_VALIDITY: Time = 64;
/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// The time bounds of a lease.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How long a gatherer serves after it sent the last query that confirmed its version.
    pub validity: Time,
    /// How long responses must arrive without a gap before a suspended gatherer serves again.
    pub recovery: Time,
}

impl Config {
    /// The age at which a confirmation counts as missed: two query periods.
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
    /// Whether the gatherer keeps serving without a store.
    autonomous: bool,
    last_response: Option<Confirmation>,
    /// When the last query was sent whose response confirmed the running version, or the version
    /// before the switch. A response that names another version does not renew the lease.
    confirmed_at: Option<Time>,
    /// When the query in flight was sent.
    in_flight: Option<Time>,
    next_query_at: Time,
    /// The number of consecutive queries without a response.
    timeouts: u32,
    /// Whether the gatherer is suspended and has not recovered yet.
    suspended: bool,
    /// Since when responses have arrived without a gap; `None` if the last ones are missing.
    answering_since: Option<Time>,
    /// Whether an operator has put the gatherer on hold.
    on_hold: bool,
    status: Status,
    changes: Vec<StatusChange>,
}

impl VersionLease {
    /// The lease of a process that starts now with this version.
    ///
    /// The process serves only after the first response, because the version that it starts with
    /// may be outdated. An autonomous one also serves once the validity has passed without any.
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

    /// The version that the gatherer runs.
    pub fn running(&self) -> Version {
        self.running
    }

    /// The last response of the store.
    pub fn last_response(&self) -> Option<Confirmation> {
        self.last_response
    }

    /// When the lease on the running version expires; `None` if it was never confirmed.
    pub fn valid_until(&self) -> Option<Time> {
        Some(self.confirmed_at?.saturating_add(self.config.validity))
    }

    /// Begins a query if one is due. On `true` the caller has to query the store for the active
    /// version and pass the outcome to one of the `handle_` methods. At most one query is in
    /// flight.
    pub fn begin_query(&mut self, now: Time) -> bool {
        if now < self.next_query_at || self.in_flight.is_some() {
            return false;
        }
        self.in_flight = Some(now);
        true
    }

    /// When the lease next needs an update or a query.
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
            // Times in the past are handled with the next query.
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

    /// Handles the store's response that this version is active.
    pub fn handle_response(&mut self, active: Version, now: Time) {
        let Some(queried_at) = self.in_flight.take() else {
            return;
        };
        self.timeouts = 0;
        self.next_query_at = queried_at
            .saturating_add(self.config.validity / QUERIES_PER_VALIDITY)
            .max(now);
        // A response that took longer than the validity is discarded.
        if now.saturating_sub(queried_at) <= self.config.validity {
            self.last_response = Some(Confirmation { queried_at, active });
            if active == self.running {
                self.confirmed_at = Some(queried_at);
            }
            self.answering_since.get_or_insert(queried_at);
        }
        self.update(now);
    }

    /// Handles the store's response that this gatherer is excluded from the next activation. The
    /// response does not renew the lease: the activation waits for the validity to expire.
    pub fn handle_exclusion(&mut self, now: Time) {
        self.handle_timeout(now);
    }

    /// Handles a query in flight that got no response.
    pub fn handle_timeout(&mut self, now: Time) {
        if self.in_flight.take().is_some() {
            // Exponential backoff avoids overloading a store that recovers; the cap at the gap
            // makes the recovery noticed in time.
            let initial = self.config.validity / BACKOFFS_PER_VALIDITY;
            let backoff = initial << self.timeouts.min(MAX_BACKOFF_DOUBLINGS);
            self.timeouts += 1;
            self.next_query_at = now.saturating_add(backoff.min(self.config.gap()));
        }
        self.update(now);
    }

    /// Handles the gatherer's switch to a version, under which it is autonomous or not.
    pub fn switch(&mut self, to: Version, autonomous: bool, now: Time) {
        // The new version became active after the last confirmation of the former one, so that
        // confirmation is valid for the new version as well.
        let confirmed = self
            .last_response
            .filter(|response| response.active == to)
            .map(|response| response.queried_at);
        self.confirmed_at = confirmed.or(self.confirmed_at);
        self.running = to;
        self.autonomous = autonomous;
        self.update(now);
    }

    /// Puts the gatherer on hold, or releases it; done by an operator.
    pub fn set_on_hold(&mut self, on_hold: bool, now: Time) {
        self.on_hold = on_hold;
        self.update(now);
    }

    /// Whether a client's query may be accepted. `now` must be read right before the call: the
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

    /// The status as of the last update.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Whether an operator has put the gatherer on hold.
    pub fn is_on_hold(&self) -> bool {
        self.on_hold
    }

    /// Takes the changes of status since the last call.
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
            // After such a gap in the responses the recovery starts again.
            self.answering_since = None;
        }
        let age = since(self.confirmed_at);
        if age >= self.config.validity {
            return self.expired_status(now);
        }
        // The gatherer may have switched after the response, so a later version counts too.
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
        let startup_wait_over = now.saturating_sub(self.started_at) >= self.config.validity;
        if startup_wait_over {
            Status::Autonomous
        } else {
            Status::Suspended
        }
    }

    /// Whether a suspended gatherer may serve again. Without this delay, a gatherer on a flapping
    /// link would alternately accept and reject clients.
    fn has_recovered(&self, now: Time) -> bool {
        // A process that has just started cannot have flapped: its first response is enough.
        let just_started =
            self.last_change_at() == self.started_at && self.status == Status::Suspended;
        let since = self.answering_since.unwrap_or(now);
        just_started || now.saturating_sub(since) >= self.config.recovery
    }
}

#[cfg(test)]
mod tests;
