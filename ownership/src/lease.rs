//! One gatherer's state machine for the lease on one role (Gray and Cheriton, "Leases: an efficient
//! fault-tolerant mechanism for distributed file cache consistency", 1989).
//!
//! Invariant: at most one gatherer of the fleet has a valid token at a time. These rules ensure the
//! invariant:
//!
//! - The owner's lease starts when the owner *sent* the request that was committed. Counted from
//!   the response, the lease would be too long by the delay of the response.
//! - Other gatherers count from when they *observed* the last change, and wait longer by the
//!   largest drift between two clocks ([`Config::takeover_delay`]).
//! - An acquisition checks that neither grant nor renewal has changed since they were read. So a
//!   renewal that is committed while an acquisition is in flight makes the acquisition fail.
//! - A new incarnation of a process does not inherit the lease of the previous one, which may still
//!   be running.
//!
//! `tests/model.rs` checks that the invariant needs each of these rules.

mod event;
mod record;
mod request;
mod view;

pub use event::{Event, ReleaseReason};
pub use record::{Grant, Renewal};
pub use request::{Request, Response};
pub use view::View;

use crate::role::{Permit, Role, Target};
use crate::{Time, Token, keys};
use request::Intent;
use store::command::{Check, Expects};

/// Renewals after which the lease of a new owner counts as stable.
const STABLE_RENEWALS: u64 = 3;
/// The role is parked after this many consecutive owners failed before their lease was stable.
const MAX_CONSECUTIVE_FAILURES: u64 = 3;
/// Cooldown of an owner that released the role because of fault reports, in lease durations.
const FAULT_COOLDOWN_LEASES: u64 = 8;
/// Cooldown of an owner after a transfer of the role, in takeover delays.
const TRANSFER_COOLDOWN_DELAYS: u64 = 2;
/// Renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u64 = 4;
/// Attempts of a failing request within the duration of a lease.
const ATTEMPTS_PER_LEASE: u64 = 16;
/// Upper bound of the number of fault reports at which an owner releases the role.
const MAX_FAULT_REPORT_QUORUM: usize = 2;
/// Upper bound of the clock drift in [`Config::takeover_delay`], per mille.
const MAX_DRIFT_PERMILLE: u64 = 900;

/// The time bounds of a lease; they must be the same at every gatherer.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// The validity of a grant or renewal, on its owner's clock.
    pub duration: Time,
    /// The maximum drift of any clock, per mille; below 1000.
    pub drift_permille: u64,
    /// How long before the end of the lease its owner stops using it: covers the time between a
    /// permit and its side effect.
    pub safety_margin: Time,
    /// The delay between the acquisition attempts of candidates of consecutive ranks.
    pub stagger: Time,
}

impl Config {
    /// How long other gatherers wait after the last change that they observed from an owner, where
    /// the owner's clock is slow and the observer's fast.
    pub fn takeover_delay(&self) -> Time {
        let drift = self.drift_permille.min(MAX_DRIFT_PERMILLE);
        self.duration
            .saturating_mul(1000 + drift)
            .div_ceil(1000 - drift)
    }
}

/// A grant that this incarnation has acquired.
struct Tenure {
    token: Token,
    expires_at: Time,
    renewals: u64,
    expired: bool,
}

/// The lease on one role at one gatherer.
///
/// The caller passes the store's state to [`Lease::observe`] whenever it changes, submits what
/// [`Lease::poll`] returns when [`Lease::due`] says so, and reports the outcome to
/// [`Lease::handle_response`].
pub struct Lease {
    role: Role,
    config: Config,
    name: String,
    incarnation: u64,
    view: View,
    /// When a change of the grant or the renewal was last observed.
    last_change_at: Time,
    /// Whether this incarnation has observed such a change.
    change_observed: bool,
    /// Whether the store has been observed at all.
    initialized: bool,
    tenure: Option<Tenure>,
    release_reason: Option<ReleaseReason>,
    /// Whether none of the role's work is in flight.
    idle: bool,
    /// The request in flight and when it was sent.
    in_flight: Option<(Intent, Time)>,
    next_request_at: Time,
    /// This gatherer's rank among the candidates; `None` if it is not a candidate.
    rank: Option<usize>,
    cooldown_until: Time,
    successes: u64,
    /// The number of fault reports at which the role is released.
    fault_report_quorum: usize,
    events: Vec<Event>,
}

impl Lease {
    /// The lease at a process that has just started and does not own the role.
    pub fn new(role: Role, config: Config, name: &str, incarnation: u64, now: Time) -> Lease {
        Lease {
            role,
            config,
            name: name.to_owned(),
            incarnation,
            view: View::default(),
            last_change_at: now,
            change_observed: false,
            initialized: false,
            tenure: None,
            release_reason: None,
            idle: true,
            in_flight: None,
            next_request_at: now,
            rank: None,
            cooldown_until: now,
            successes: 0,
            fault_report_quorum: usize::MAX,
            events: Vec::new(),
        }
    }

    /// Handles the current state of the store.
    pub fn observe(&mut self, view: View, now: Time) {
        let revisions = |view: &View| (view.grant_revision(), view.renewal_revision());
        if !self.initialized {
            self.initialized = true;
            self.last_change_at = now;
        } else if revisions(&view) != revisions(&self.view) {
            self.change_observed = true;
            self.last_change_at = now;
        }
        self.view = view;
        let revision = self.view.grant_revision();
        let lost = self
            .tenure
            .take_if(|tenure| revision != Some(tenure.token.revision));
        if let Some(tenure) = lost {
            self.release_reason = None;
            self.events.push(Event::Lost(tenure.token));
        }
        self.begin_release(self.requested_release(), now);
        self.check_expiry(now);
    }

    /// Why the store's state requires this owner to release the role; `None` if it does not.
    fn requested_release(&self) -> Option<ReleaseReason> {
        if self.view.excluded {
            return Some(ReleaseReason::Excluded);
        }
        if self.view.fault_reports >= self.fault_report_quorum {
            return Some(ReleaseReason::FaultReported);
        }
        let (_, to) = self.view.transfer.as_ref()?;
        (*to != self.name).then(|| ReleaseReason::Transfer(to.clone()))
    }

    /// Sets this gatherer's rank among the candidates, `None` if it is not one, and their number.
    pub fn set_rank(&mut self, rank: Option<usize>, candidates: usize, now: Time) {
        self.rank = rank;
        // A single report is enough only if no second gatherer could report.
        self.fault_report_quorum = candidates
            .saturating_sub(1)
            .clamp(1, MAX_FAULT_REPORT_QUORUM);
        self.begin_release(rank.is_none().then_some(ReleaseReason::Ineligible), now);
        self.check_expiry(now);
    }

    /// Starts the release of the role, unless this gatherer does not own it or is releasing it.
    fn begin_release(&mut self, reason: Option<ReleaseReason>, now: Time) {
        if self.tenure.is_some() && self.release_reason.is_none() && reason.is_some() {
            self.release_reason = reason;
            self.next_request_at = now;
        }
    }

    /// Counts a success of the role's work. The next renewal publishes the count.
    pub fn record_success(&mut self) {
        self.successes += 1;
    }

    /// Sets whether none of the role's work is in flight. A release waits until then.
    pub fn set_idle(&mut self, idle: bool) {
        self.idle = idle;
    }

    /// Issues the permit for one side effect. `now` must be read right before the effect.
    pub fn permit(&self, target: Target, now: Time) -> Option<Permit> {
        Permit::new(self.role, target, self.valid_token(now)?)
    }

    /// The fencing token, while the lease is valid and not being released.
    pub fn valid_token(&self, now: Time) -> Option<Token> {
        let tenure = self.tenure.as_ref()?;
        let is_valid = self.release_reason.is_none() && now < tenure.expires_at;
        is_valid.then_some(tenure.token)
    }

    /// The check that fences a store transaction: the check fails once another grant is committed.
    pub fn fencing_check(&self, permit: &Permit) -> Check {
        Check {
            key: keys::owner(self.role),
            expects: Expects::At(permit.token().revision),
        }
    }

    /// The state of the role in the store, as last observed.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// When [`Lease::poll`] has to be called next.
    pub fn due(&self) -> Option<Time> {
        let expiry = self
            .tenure
            .as_ref()
            .filter(|tenure| !tenure.expired)
            .map(|tenure| tenure.expires_at);
        [expiry, self.request_due()].into_iter().flatten().min()
    }

    /// When the next request is due.
    fn request_due(&self) -> Option<Time> {
        if self.in_flight.is_some() {
            return None;
        }
        let is_release_or_renewal =
            self.pending_release().is_some() || self.is_owner() && self.release_reason.is_none();
        if is_release_or_renewal {
            Some(self.next_request_at)
        } else {
            Some(self.acquire_at()?.max(self.next_request_at))
        }
    }

    /// The request to submit now, if any. At most one is in flight.
    pub fn poll(&mut self, now: Time) -> Option<Request> {
        self.check_expiry(now);
        if self.in_flight.is_some() || now < self.next_request_at || !self.initialized {
            return None;
        }
        let (intent, request) = if let Some((revision, reason)) = self.pending_release() {
            self.release_request(revision, reason)
        } else if self.is_owner() && self.release_reason.is_none() {
            self.renewal_request()
        } else if self.acquire_at().is_some_and(|at| at <= now) {
            self.acquire_request()
        } else {
            return None;
        };
        self.in_flight = Some((intent, now));
        Some(request)
    }

    /// Handles the response to the request in flight. The store's state that follows from it must
    /// have been passed to [`Lease::observe`] before.
    pub fn handle_response(&mut self, response: Response, now: Time) {
        let Some((intent, sent_at)) = self.in_flight.take() else {
            return;
        };
        self.next_request_at = now + self.config.duration / ATTEMPTS_PER_LEASE;
        match (intent, response) {
            (Intent::Acquire, Response::Committed(revision))
                if self.view.grant_revision() == Some(revision) =>
            {
                self.acquired(revision, sent_at, now);
            }
            (Intent::Renew(token, count), Response::Committed(_))
                if self.view.token() == Some(token) =>
            {
                self.renewed(token, count, sent_at, now);
            }
            (Intent::Park, Response::Committed(_)) => {
                let reason = "consecutive owners failed before their lease was stable".to_owned();
                self.events.push(Event::Parked(reason));
            }
            (Intent::Release(reason), Response::Committed(_)) => self.released(reason, now),
            // An entry that the release depends on has changed, so the release is decided again.
            (Intent::Release(_), Response::Rejected) => self.release_reason = None,
            // The next observation shows a lost race. An unknown outcome changes nothing, and the
            // request is repeated.
            _ => {}
        }
        self.check_expiry(now);
    }

    fn acquired(&mut self, revision: u64, sent_at: Time, now: Time) {
        let token = Token {
            era: self.view.era,
            revision,
        };
        self.tenure = Some(Tenure {
            token,
            expires_at: self.expiry(sent_at),
            renewals: 0,
            expired: false,
        });
        self.next_request_at = self.renew_at(sent_at, now);
        let reason = self.acquisition_reason();
        self.events.push(Event::Acquired(token, reason));
    }

    fn renewed(&mut self, token: Token, count: u64, sent_at: Time, now: Time) {
        let expires_at = self.expiry(sent_at);
        // Without a tenure: the response to the acquisition was lost.
        let acquisition_response_lost = self.tenure.is_none();
        let tenure = self.tenure.get_or_insert(Tenure {
            token,
            expires_at,
            renewals: count,
            expired: false,
        });
        tenure.expires_at = expires_at;
        tenure.renewals = count;
        let resumed = std::mem::take(&mut tenure.expired);
        if acquisition_response_lost {
            let reason = "acquired; the response to the request was lost".to_owned();
            self.events.push(Event::Acquired(token, reason));
        }
        self.events.push(Event::Renewed(token, sent_at));
        if resumed {
            self.events.push(Event::Resumed(token));
        }
        self.next_request_at = self.renew_at(sent_at, now);
    }

    fn released(&mut self, reason: ReleaseReason, now: Time) {
        let cooldown = match reason {
            ReleaseReason::FaultReported => FAULT_COOLDOWN_LEASES * self.config.duration,
            ReleaseReason::Transfer(_) => TRANSFER_COOLDOWN_DELAYS * self.config.takeover_delay(),
            ReleaseReason::Ineligible | ReleaseReason::Excluded => self.config.duration,
        };
        self.cooldown_until = now.saturating_add(cooldown);
        if let Some(tenure) = self.tenure.take() {
            self.events.push(Event::Released(tenure.token, reason));
        }
        self.release_reason = None;
    }

    /// The expiry of a lease that was requested at this time.
    fn expiry(&self, sent_at: Time) -> Time {
        let usable = self
            .config
            .duration
            .saturating_sub(self.config.safety_margin);
        sent_at.saturating_add(usable)
    }

    fn renew_at(&self, sent_at: Time, now: Time) -> Time {
        sent_at
            .saturating_add(self.config.duration / RENEWALS_PER_LEASE)
            .max(now)
    }

    fn check_expiry(&mut self, now: Time) {
        let tenure = self.tenure.as_mut();
        if let Some(tenure) = tenure.filter(|t| !t.expired && now >= t.expires_at) {
            tenure.expired = true;
            self.events.push(Event::Expired(tenure.token));
        }
    }

    /// Whether this incarnation is the owner according to the store.
    fn is_owner(&self) -> bool {
        self.view.grant.as_ref().is_some_and(|(_, grant)| {
            grant.owner.as_ref() == Some(&self.name) && grant.incarnation == Some(self.incarnation)
        })
    }

    /// The revision of the grant to release now, and the reason.
    fn pending_release(&self) -> Option<(u64, ReleaseReason)> {
        let reason = self
            .release_reason
            .clone()
            .filter(|_| self.idle && self.is_owner())?;
        Some((self.view.grant_revision()?, reason))
    }

    /// The earliest time at which this gatherer may acquire the role.
    fn acquire_at(&self) -> Option<Time> {
        let rank = self.rank?;
        if self.view.excluded || !self.initialized || self.is_owner() {
            return None;
        }
        let is_preferred = self
            .view
            .transfer
            .as_ref()
            .is_some_and(|(_, to)| *to == self.name);
        let rank = if is_preferred { 0 } else { rank };
        let rank_delay = (rank as Time).saturating_mul(self.config.stagger);
        let delay = match &self.view.grant {
            None => rank_delay,
            Some((_, grant)) if grant.parked.is_some() => return None,
            Some((_, grant)) => match (&grant.owner, grant.incarnation) {
                (None, _) => rank_delay,
                (Some(owner), None) if *owner == self.name => 0,
                _ => self.config.takeover_delay().saturating_add(rank_delay),
            },
        };
        Some(
            self.last_change_at
                .saturating_add(delay)
                .max(self.cooldown_until),
        )
    }
}

#[cfg(test)]
mod tests;
