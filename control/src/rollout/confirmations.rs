//! Whether backends bear out by their heartbeats that their orders are done.
//!
//! That an order is done is a fact of the past: at that moment the backend had the version. What it
//! has now is told by its heartbeats, a little later. Normally the next one confirms the order.
//! Where several pass without that, or a backend that had confirmed its order tells an older
//! version again, it is in doubt whether it still has the version.

use crate::Millis;
use crate::directory::{Backend, Directory, Order, OrderPhase};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// How an order that is done stands with its backend's heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Confirmation {
    /// None has told the version yet.
    Pending {
        /// Since when.
        since: Millis,
    },
    /// The last one told the version.
    Confirmed,
    /// They tell an older version, and it is not to be expected that they will tell this one.
    Unconfirmed,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct TrackedOrder {
    order: Order,
    confirmation: Confirmation,
}

/// A backend that tells an older version than its last order, which is done, should have brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnconfirmedOrder {
    /// The backend.
    pub backend: CompactString,
    /// The order.
    pub order: Order,
    /// The version that its last heartbeat told.
    pub reported_version: u64,
}

/// Follows the orders that are done, as one node learns of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmations {
    timeout: Millis,
    tracked: BTreeMap<CompactString, TrackedOrder>,
}

impl Confirmations {
    /// Heartbeats have so long to confirm an order.
    pub fn new(timeout: Millis) -> Self {
        Confirmations {
            timeout,
            tracked: BTreeMap::new(),
        }
    }

    /// Takes what is known now. Returns what has come into doubt by it.
    pub fn observe(&mut self, directory: &Directory, now: Millis) -> Vec<UnconfirmedOrder> {
        let done = |id: &str| {
            directory
                .order(id)
                .filter(|order| order.phase == OrderPhase::Done)
        };
        self.tracked
            .retain(|id, tracked| done(id) == Some(&tracked.order));
        let mut unconfirmed = Vec::new();
        for (id, backend) in directory.backends() {
            let Some(order) = done(id) else { continue };
            let reported_version = reported_version_of(backend, order);
            let tracked = self
                .tracked
                .entry(id.clone())
                .or_insert_with(|| TrackedOrder {
                    order: order.clone(),
                    confirmation: Confirmation::Pending { since: now },
                });
            if tracked.transition(reported_version >= order.version, now, self.timeout)
                == Some(Confirmation::Unconfirmed)
            {
                unconfirmed.push(UnconfirmedOrder {
                    backend: id.clone(),
                    order: order.clone(),
                    reported_version: reported_version,
                });
            }
        }
        unconfirmed
    }

    /// Whether it is in doubt that a backend still has the version of its last order.
    pub fn is_unconfirmed(&self, backend: &str) -> bool {
        self.tracked
            .get(backend)
            .is_some_and(|tracked| tracked.confirmation == Confirmation::Unconfirmed)
    }
}

impl TrackedOrder {
    /// The one place where a standing changes. Returns the new one where it has.
    fn transition(
        &mut self,
        is_reported: bool,
        now: Millis,
        timeout: Millis,
    ) -> Option<Confirmation> {
        let next = match self.confirmation {
            _ if is_reported => Confirmation::Confirmed,
            Confirmation::Pending { since } if now < since + timeout => self.confirmation,
            _ => Confirmation::Unconfirmed,
        };
        let former = std::mem::replace(&mut self.confirmation, next);
        (former != next).then_some(next)
    }
}

/// The version of the order's model that the last heartbeat told; 0 where it told none.
pub(super) fn reported_version_of(backend: &Backend, order: &Order) -> u64 {
    let reported_version = backend
        .models
        .iter()
        .find(|(model, _)| *model == order.model);
    reported_version.map_or(0, |(_, version)| *version)
}
