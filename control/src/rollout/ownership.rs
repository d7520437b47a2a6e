//! When the holder of the lease may give orders.
//!
//! Orders of two nodes must lie further apart than the time of a lease. Before its first order a
//! node therefore has the control state say that it is the one that gives orders, so every later
//! holder knows who did. Whoever is named there goes on at once when it holds the lease again, and
//! anybody else waits from when the named one held it no more: a holder in between that never came
//! to give an order does not make its successor wait, and neither does a moment without the lease.

use crate::Millis;
use crate::view::{Epoch, ReplicaId, View};
use std::fmt;

/// Beyond the time of a lease, so long passes between the last moment at which a former holder may
/// have given an order and the first order of the next.
const TAKEOVER_MARGIN: Millis = 100;

/// Whether a node may give orders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RolloutOwnership {
    /// It does not hold the lease.
    #[default]
    NotLeader,
    /// It holds the lease. Another node gave orders last, and has not held the lease from some
    /// moment on.
    FormerOwner {
        /// That moment, or a later one.
        lease_ended: Millis,
    },
    /// It holds the lease, and nobody has given orders yet.
    Unowned,
    /// It holds the lease, and gave orders last.
    Owned,
}

impl RolloutOwnership {
    /// Whether the node may have itself named as the one that gives orders.
    pub fn may_claim(&self, lease: Millis, now: Millis) -> bool {
        match *self {
            RolloutOwnership::NotLeader | RolloutOwnership::Owned => false,
            RolloutOwnership::FormerOwner { lease_ended } => {
                now >= lease_ended + lease + TAKEOVER_MARGIN
            }
            RolloutOwnership::Unowned => true,
        }
    }
}

impl fmt::Display for RolloutOwnership {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RolloutOwnership::NotLeader => "this node does not hold the lease",
            RolloutOwnership::FormerOwner { .. } => {
                "this node holds the lease, and another one gave orders last"
            }
            RolloutOwnership::Unowned => {
                "this node holds the lease, and nobody has given orders yet"
            }
            RolloutOwnership::Owned => "this node gives orders",
        })
    }
}

/// Since when the node that gave orders last does not hold the lease, as far as one replica can
/// tell.
///
/// A view is decided only once the lease of another primary is over, so the moment of learning such
/// a view is late enough. Between two views that follow each other nobody else can have led; where
/// a view was missed, the time begins anew.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FormerOwner(Option<EndedLease>);

#[derive(Debug, Clone, PartialEq, Eq)]
struct EndedLease {
    holder: ReplicaId,
    epoch: Epoch,
    since: Millis,
}

impl FormerOwner {
    /// Takes the newest view, and who gave orders last.
    pub fn observe(&mut self, view: Option<&View>, holder: Option<&ReplicaId>, now: Millis) {
        let Some((view, holder)) = view
            .zip(holder)
            .filter(|(view, holder)| view.primary != **holder)
        else {
            self.0 = None;
            return;
        };
        let is_continuous = |ended_lease: &&mut EndedLease| {
            ended_lease.holder == *holder && view.epoch <= ended_lease.epoch + 1
        };
        match self.0.as_mut().filter(is_continuous) {
            Some(ended_lease) => ended_lease.epoch = view.epoch,
            None => {
                self.0 = Some(EndedLease {
                    holder: holder.clone(),
                    epoch: view.epoch,
                    since: now,
                })
            }
        }
    }

    /// Since when; none where it may hold the lease, or there is no such node.
    pub fn since(&self) -> Option<Millis> {
        self.0.as_ref().map(|ended_lease| ended_lease.since)
    }
}
