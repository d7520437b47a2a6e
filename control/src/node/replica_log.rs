//! The log of one replica, in any role: appending, committing, and installing a state.
//!
//! All updates but the last are committed and applied to the state. The last one is the tail.

use super::Effect;
use super::recent_updates::RecentUpdates;
use super::{ControlNode, Requester};
use crate::Millis;
use crate::message::Message;
use crate::state::{ControlState, Position, Update};
use crate::storage::Record;
use crate::view::Epoch;

/// A request from the primary of a view that is not known here yet, as messages may be reordered.
#[derive(Debug)]
pub(super) struct EarlySynchronize {
    pub(super) requester: Requester,
    pub(super) epoch: Epoch,
}

impl ControlNode {
    /// Commits the tail where it is at `position`. Returns whether it did.
    pub(super) fn commit_up_to(&mut self, position: Position, now: Millis) -> bool {
        let Some(tail) = self.tail.take_if(|tail| tail.position == position) else {
            return false;
        };
        self.state.apply(&tail);
        self.track_rollout_owner(now);
        self.effects.push(Effect::Committed);
        true
    }

    /// Appends the next update, which becomes the tail, and stores it.
    pub(super) fn append(&mut self, update: Update, now: Millis) {
        self.recent_updates.push(&update);
        self.tail = Some(update.clone());
        self.store(vec![Record::Update(update)], now);
    }

    /// Reports to the primary which updates are stored here, once they are durable.
    pub(super) fn report_stored_positions(&mut self, requester: Requester) {
        let (epoch, last, committed) = (self.epoch(), self.last_position(), self.state.position);
        self.reply_when_durable(
            requester,
            Message::StoredPositions {
                epoch,
                last,
                committed,
            },
        );
    }

    pub(super) fn on_synchronize(&mut self, from: Requester, epoch: Epoch) {
        if epoch > self.epoch() {
            self.early_synchronize = Some(EarlySynchronize {
                requester: from,
                epoch,
            });
        } else if self.is_primary_of(&from.replica, epoch) {
            self.report_stored_positions(from);
        }
    }

    pub(super) fn on_install(
        &mut self,
        from: Requester,
        epoch: Epoch,
        state: ControlState,
        tail: Option<Update>,
        now: Millis,
    ) {
        let is_older = state.position.index < self.state.position.index;
        if !self.is_primary_of(&from.replica, epoch) || is_older {
            return;
        }
        let last = tail.as_ref().map_or(state.position, |tail| tail.position);
        if self.has_later_update_of(epoch, last) {
            return self.report_stored_positions(from);
        }
        let is_newer = state.position.index > self.state.position.index;
        (self.state, self.tail) = (state, tail);
        self.track_rollout_owner(now);
        self.recent_updates = RecentUpdates::new(self.last_position());
        let record = Record::Install {
            state: self.state.clone(),
            tail: self.tail.clone(),
        };
        self.store(vec![record], now);
        self.report_stored_positions(from);
        if is_newer {
            self.effects.push(Effect::Committed);
        }
    }

    /// Whether this replica stores an update that the primary of `epoch` ordered after the update
    /// at `position`.
    ///
    /// Within an epoch the primary's log only grows, so a state that ends before such an update was
    /// sent earlier and delayed. Installing it could discard an update that has been acknowledged
    /// since. An update of an earlier epoch proves nothing, as the primary may lack it.
    fn has_later_update_of(&self, epoch: Epoch, position: Position) -> bool {
        let last = self.last_position();
        last.epoch == epoch && position.index < last.index
    }

    pub(super) fn on_replicate(
        &mut self,
        from: Requester,
        epoch: Epoch,
        previous: Position,
        updates: Vec<Update>,
        now: Millis,
    ) {
        if !self.is_primary_of(&from.replica, epoch) {
            return;
        }
        if previous == self.last_position() {
            for update in updates {
                // The primary replicates a change only once the one before it is committed.
                self.commit_up_to(self.last_position(), now);
                self.append(update, now);
            }
        }
        self.report_stored_positions(from);
    }
}
