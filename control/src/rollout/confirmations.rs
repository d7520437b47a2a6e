//! Confirmation of completed orders by the heartbeats of their backends.
//!
//! A completed order proves only that the backend had the version at that moment. Heartbeats report
//! the current version slightly later, and normally the next one confirms the order. Where none
//! does so within a time-out, or a backend reports an older version after it had confirmed the
//! order, the backend may no longer have the version and the order is unconfirmed.

use crate::Millis;
use crate::directory::{Backend, Directory, Order, OrderPhase};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Whether heartbeats have confirmed a completed order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Confirmation {
    /// No heartbeat has reported the version yet.
    Pending {
        /// When the order was first observed as done.
        since: Millis,
    },
    /// The last heartbeat reported the version.
    Confirmed,
    /// Heartbeats report an older version after the time-out or after a confirmation.
    Unconfirmed,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct TrackedOrder {
    order: Order,
    confirmation: Confirmation,
}

/// A backend that reports an older version than that of its last order, which is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnconfirmedOrder {
    /// The backend.
    pub backend: CompactString,
    /// The order.
    pub order: Order,
    /// The version in the last heartbeat of the backend.
    pub reported_version: u64,
}

/// Tracks completed orders as one node learns of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmations {
    timeout: Millis,
    tracked: BTreeMap<CompactString, TrackedOrder>,
}

impl Confirmations {
    /// An order that no heartbeat confirms within `timeout` becomes unconfirmed.
    pub fn new(timeout: Millis) -> Self {
        Confirmations {
            timeout,
            tracked: BTreeMap::new(),
        }
    }

    /// Updates the confirmations from the directory. Returns the orders that became unconfirmed.
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
                    reported_version,
                });
            }
        }
        unconfirmed
    }

    /// Whether the last order of a backend is unconfirmed.
    pub fn is_unconfirmed(&self, backend: &str) -> bool {
        self.tracked
            .get(backend)
            .is_some_and(|tracked| tracked.confirmation == Confirmation::Unconfirmed)
    }
}

impl TrackedOrder {
    /// The only place where a confirmation changes. Returns the new one if it did.
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

/// The version of the order's model in the last heartbeat; 0 where the model is not listed.
pub(super) fn reported_version_of(backend: &Backend, order: &Order) -> u64 {
    let reported_version = backend
        .models
        .iter()
        .find(|(model, _)| *model == order.model);
    reported_version.map_or(0, |(_, version)| *version)
}
