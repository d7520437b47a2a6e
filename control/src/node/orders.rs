//! Whether orders may be given to backends from here.

use super::ControlNode;
use crate::Millis;
use crate::rollout::OrderTurn;

impl ControlNode {
    /// Whether orders may be given to backends from here.
    pub fn order_turn(&self, now: Millis) -> OrderTurn {
        if self.leads(now).is_none() {
            return OrderTurn::NotLeading;
        }
        match (&self.state.order_holder, self.former_holder.since()) {
            (None, _) => OrderTurn::First,
            (Some(holder), _) if holder == self.id() => OrderTurn::Held,
            (Some(_), Some(former_ended)) => OrderTurn::After { former_ended },
            // It leads here, so it does not elsewhere; from now on at the latest.
            (Some(_), None) => OrderTurn::After { former_ended: now },
        }
    }

    /// A view was learned, or the committed state has changed.
    pub(super) fn note_order_holder(&mut self, now: Millis) {
        let holder = self.state.order_holder.as_ref();
        self.former_holder.note(self.witness.decided(), holder, now);
    }
}
