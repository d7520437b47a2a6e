//! Whether orders may be given to backends from here.

use super::ControlNode;
use crate::Millis;
use crate::rollout::RolloutOwnership;

impl ControlNode {
    /// Whether orders may be given to backends from here.
    pub fn rollout_ownership(&self, now: Millis) -> RolloutOwnership {
        if self.leading_epoch(now).is_none() {
            return RolloutOwnership::NotLeader;
        }
        match (&self.state.rollout_owner, self.former_owner.since()) {
            (None, _) => RolloutOwnership::Unowned,
            (Some(holder), _) if holder == self.id() => RolloutOwnership::Owned,
            (Some(_), Some(lease_ended)) => RolloutOwnership::FormerOwner { lease_ended },
            // It leads here, so it does not elsewhere; from now on at the latest.
            (Some(_), None) => RolloutOwnership::FormerOwner { lease_ended: now },
        }
    }

    /// A view was learned, or the committed state has changed.
    pub(super) fn track_rollout_owner(&mut self, now: Millis) {
        let holder = self.state.rollout_owner.as_ref();
        self.former_owner
            .observe(self.witness.decided(), holder, now);
    }
}
