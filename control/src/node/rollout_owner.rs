//! Ownership of the weights rollout, as this replica knows it; see [`crate::rollout`].
//!
//! Invariant: a replica sends orders only within [`Timing::order_grant`](super::Timing) of a time
//! at which it was certainly still the owner. Heartbeat replies give the primary an upper bound on
//! that time, so it knows when the grant of an unresponsive owner has expired.

use super::{ControlNode, Role};
use crate::Millis;
use crate::rollout::{OrderGrant, RolloutOwnership, fencing_token, is_vacant};
use crate::view::ReplicaId;

impl ControlNode {
    /// Whether this replica owns the rollout and may send orders to backends; if not, why, and
    /// whether it may become the owner.
    pub fn rollout_ownership(&self, now: Millis) -> RolloutOwnership {
        if self.order_grant(now).is_some() {
            return RolloutOwnership::Owned;
        }
        if self.leading_epoch(now).is_none() {
            return RolloutOwnership::NotLeader;
        }
        match (&self.state.rollout_owner, self.vacancy.since()) {
            (None, _) => RolloutOwnership::Unowned,
            (Some(_), Some(since)) => RolloutOwnership::Vacant { since },
            (Some(owner), None)
                if now >= self.last_owner_contact(owner) + self.timing.owner_timeout =>
            {
                RolloutOwnership::OwnerUnresponsive
            }
            (Some(_), None) => RolloutOwnership::OwnedElsewhere,
        }
    }

    /// The permission to send orders, where this replica owns the rollout.
    ///
    /// A process that is shutting down sends none: it would not see them completed.
    pub fn order_grant(&self, now: Millis) -> Option<OrderGrant> {
        let is_owner = self.state.rollout_owner.as_ref() == Some(self.id());
        if !is_owner || self.leaving {
            return None;
        }
        let lease = self.lease(now);
        let expires_at = match lease {
            Some((_, until)) => until,
            None => self.current_at? + self.timing.order_grant,
        };
        let fencing_token = fencing_token(self.epoch(), lease.is_some());
        (now < expires_at).then_some(OrderGrant {
            fencing_token,
            expires_at,
        })
    }

    /// An upper bound on the last time at which the owner can have been confirmed: by this primary,
    /// or by an earlier one, whose lease had expired when this one took over.
    fn last_owner_contact(&self, owner: &ReplicaId) -> Millis {
        let Role::Primary(primary) = &self.role else {
            return Millis::MAX;
        };
        let contact = primary
            .contacts
            .get(owner)
            .filter(|contact| contact.echo.is_some());
        primary
            .leading_since
            .max(contact.map_or(0, |contact| contact.at))
    }

    /// Updates the vacancy from the committed state; to be called after each change of that state.
    pub(super) fn track_rollout_owner(&mut self, now: Millis) {
        let owner = self.state.rollout_owner.as_ref();
        let former = self.last_rollout_owner.take();
        let last_contact = match &former {
            Some(former) if self.leading_epoch(now).is_some() => {
                self.last_owner_contact(former).min(now)
            }
            _ => now,
        };
        self.vacancy
            .observe(owner, last_contact + self.timing.order_grant);
        self.last_rollout_owner = owner.filter(|owner| !is_vacant(owner)).cloned();
    }
}
