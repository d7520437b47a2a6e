//! The store transactions of a lease. Each checks that the entries it is based on are unchanged, so
//! that only one of two gatherers that race for a role succeeds.

use super::event::ReleaseReason;
use super::record::{Grant, Renewal};
use super::{Lease, MAX_CONSECUTIVE_FAILURES, STABLE_RENEWALS};
use crate::{Token, keys};
use serde_json::Value as Json;
use store::command::Change;
use store::command::{Check, Expects};

/// A transaction to submit to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The preconditions of the commit.
    pub checks: Vec<Check>,
    /// The entries to write.
    pub changes: Vec<Change>,
}

/// The store's response to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// The transaction was committed at this revision.
    Committed(u64),
    /// A check failed.
    Rejected,
    /// The outcome is unknown.
    Unknown,
}

/// The purpose of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Intent {
    Acquire,
    Park,
    /// Renews the grant with this token; the number counts its renewals.
    Renew(Token, u64),
    Release(ReleaseReason),
}

impl Lease {
    pub(super) fn acquire_request(&self) -> (Intent, Request) {
        let grant = self.view.grant.as_ref().map(|(_, grant)| grant);
        let checks = vec![
            unchanged(keys::owner(self.role), self.view.grant_revision()),
            // Without this check an owner whose renewal is committed while this request is in
            // flight would keep using its lease after the role has moved.
            unchanged(keys::renewal(self.role), self.view.renewal_revision()),
            unchanged(keys::exclusion(self.role, &self.name), None),
        ];
        let previous_owner = grant.and_then(|grant| {
            grant
                .owner
                .as_ref()
                .or(grant.previous_owner.as_ref())
                .cloned()
        });
        let failures = self.failures_before_acquisition();
        let parked = failures >= MAX_CONSECUTIVE_FAILURES;
        let new_grant = if parked {
            Grant {
                owner: None,
                incarnation: None,
                failures,
                parked: Some(format!(
                    "{failures} owners in a row died soon after they took it"
                )),
                reason: "parked".to_owned(),
                previous_owner,
            }
        } else {
            Grant {
                owner: Some(self.name.clone()),
                incarnation: Some(self.incarnation),
                failures,
                parked: None,
                reason: self.acquisition_reason(),
                previous_owner,
            }
        };
        let request = Request {
            checks,
            changes: vec![put(keys::owner(self.role), &new_grant.to_json())],
        };
        let intent = if parked {
            Intent::Park
        } else {
            Intent::Acquire
        };
        (intent, self.fulfil_transfer(&self.name, request))
    }

    /// The number of consecutive failed owners, if the role is acquired now.
    fn failures_before_acquisition(&self) -> u64 {
        let Some((_, grant)) = &self.view.grant else {
            return 0;
        };
        let is_stable = self
            .view
            .current_renewal()
            .is_some_and(|renewal| renewal.count >= STABLE_RENEWALS);
        if is_stable {
            return 0;
        }
        // Only a gatherer that observed a change counts a failure: one that has just started cannot
        // distinguish an owner that its work crashed from a power loss of the whole fleet.
        let owner_failed =
            grant.owner.is_some() && grant.incarnation.is_some() && self.change_observed;
        grant.failures + u64::from(owner_failed)
    }

    pub(super) fn acquisition_reason(&self) -> String {
        let grant = self.view.grant.as_ref().map(|(_, grant)| grant);
        let reason = match grant {
            None => "taken: nobody ever had it",
            Some(Grant { owner: None, .. }) => "taken: it was given up",
            Some(Grant {
                owner: Some(owner),
                incarnation: None,
                ..
            }) if *owner == self.name => "taken: it was offered",
            Some(_) => "taken: the one before was heard of no more",
        };
        reason.to_owned()
    }

    pub(super) fn renewal_request(&self) -> (Intent, Request) {
        let token = self.view.token().unwrap_or_default();
        let count = self.tenure.as_ref().map_or(0, |tenure| tenure.renewals) + 1;
        let renewal = Renewal {
            token,
            count,
            successes: self.successes,
        };
        let request = Request {
            checks: vec![unchanged(keys::owner(self.role), Some(token.revision))],
            changes: vec![put(keys::renewal(self.role), &renewal.to_json())],
        };
        let intent = Intent::Renew(token, count);
        (intent, self.fulfil_transfer(&self.name, request))
    }

    pub(super) fn release_request(
        &self,
        revision: u64,
        reason: ReleaseReason,
    ) -> (Intent, Request) {
        let offered_to = match &reason {
            ReleaseReason::Transfer(to) => Some(to.clone()),
            _ => None,
        };
        let grant = Grant {
            owner: offered_to.clone(),
            reason: reason.to_string(),
            previous_owner: Some(self.name.clone()),
            ..Grant::default()
        };
        let mut request = Request {
            checks: vec![unchanged(keys::owner(self.role), Some(revision))],
            changes: vec![put(keys::owner(self.role), &grant.to_json())],
        };
        if let Some(to) = offered_to {
            request = self.fulfil_transfer(&to, request);
        }
        (Intent::Release(reason), request)
    }

    /// Removes the operator's transfer request in the same transaction, if it names `to`.
    fn fulfil_transfer(&self, to: &str, mut request: Request) -> Request {
        let transfer = self.view.transfer.as_ref();
        if let Some((revision, _)) = transfer.filter(|(_, target)| target == to) {
            let key = keys::transfer(self.role);
            request.checks.push(unchanged(key.clone(), Some(*revision)));
            request.changes.push(Change { key, value: None });
        }
        request
    }
}

/// The check that an entry is still at this revision; `None` if it was absent.
fn unchanged(key: String, revision: Option<u64>) -> Check {
    Check {
        key,
        expects: revision.map_or(Expects::Absent, Expects::At),
    }
}

fn put(key: String, value: &Json) -> Change {
    Change {
        key,
        value: Some(value.to_string()),
    }
}
