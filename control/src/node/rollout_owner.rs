//! Ownership of the weights rollout, as this replica knows it; see [`crate::rollout`].

use super::ControlNode;
use crate::Millis;
use crate::rollout::RolloutOwnership;

impl ControlNode {
    /// Whether this replica owns the rollout, and so may send orders to backends.
    pub fn rollout_ownership(&self, now: Millis) -> RolloutOwnership {
        if self.leading_epoch(now).is_none() {
            return RolloutOwnership::NotLeader;
        }
        match (&self.state.rollout_owner, self.former_owner.since()) {
            (None, _) => RolloutOwnership::Unowned,
            (Some(holder), _) if holder == self.id() => RolloutOwnership::Owned,
            (Some(_), Some(lease_ended)) => RolloutOwnership::FormerOwner { lease_ended },
            // This replica holds the lease, so the former owner's has expired by now.
            (Some(_), None) => RolloutOwnership::FormerOwner { lease_ended: now },
        }
    }

    /// To be called whenever a view was learned or the committed state has changed.
    pub(super) fn track_rollout_owner(&mut self, now: Millis) {
        let holder = self.state.rollout_owner.as_ref();
        self.former_owner
            .observe(self.witness.decided(), holder, now);
    }
}
