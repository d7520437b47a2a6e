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
enum Standing {
    /// None has told the version yet.
    Awaited {
        /// Since when.
        since: Millis,
    },
    /// The last one told the version.
    Confirmed,
    /// They tell an older version, and it is not to be expected that they will tell this one.
    Doubted,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Followed {
    order: Order,
    standing: Standing,
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
    patience: Millis,
    followed: BTreeMap<CompactString, Followed>,
}

impl Confirmations {
    /// Heartbeats have so long to confirm an order.
    pub fn new(patience: Millis) -> Self {
        Confirmations {
            patience,
            followed: BTreeMap::new(),
        }
    }

    /// Takes what is known now. Returns what has come into doubt by it.
    pub fn observe(&mut self, directory: &Directory, now: Millis) -> Vec<UnconfirmedOrder> {
        let done = |id: &str| {
            directory
                .order(id)
                .filter(|order| order.phase == OrderPhase::Done)
        };
        self.followed
            .retain(|id, followed| done(id) == Some(&followed.order));
        let mut doubts = Vec::new();
        for (id, backend) in directory.backends() {
            let Some(order) = done(id) else { continue };
            let told = told_version(backend, order);
            let followed = self.followed.entry(id.clone()).or_insert_with(|| Followed {
                order: order.clone(),
                standing: Standing::Awaited { since: now },
            });
            if followed.enter(told >= order.version, now, self.patience) == Some(Standing::Doubted)
            {
                doubts.push(UnconfirmedOrder {
                    backend: id.clone(),
                    order: order.clone(),
                    reported_version: told,
                });
            }
        }
        doubts
    }

    /// Whether it is in doubt that a backend still has the version of its last order.
    pub fn is_unconfirmed(&self, backend: &str) -> bool {
        self.followed
            .get(backend)
            .is_some_and(|followed| followed.standing == Standing::Doubted)
    }
}

impl Followed {
    /// The one place where a standing changes. Returns the new one where it has.
    fn enter(&mut self, is_told: bool, now: Millis, patience: Millis) -> Option<Standing> {
        let next = match self.standing {
            _ if is_told => Standing::Confirmed,
            Standing::Awaited { since } if now < since + patience => self.standing,
            _ => Standing::Doubted,
        };
        let former = std::mem::replace(&mut self.standing, next);
        (former != next).then_some(next)
    }
}

/// The version of the order's model that the last heartbeat told; 0 where it told none.
pub(super) fn told_version(backend: &Backend, order: &Order) -> u64 {
    let told = backend
        .models
        .iter()
        .find(|(model, _)| *model == order.model);
    told.map_or(0, |(_, version)| *version)
}
