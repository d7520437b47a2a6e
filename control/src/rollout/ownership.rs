//! Which node may send orders to backends, and when another one may.
//!
//! Orders of two nodes must lie further apart than the time of a lease. The control state therefore
//! names one *owner* of the rollout. It stays the owner while other replicas lead: a replica that is
//! current, see [`ControlNode::current_at`](crate::node::ControlNode::current_at), knows that it is
//! still named, so a new primary does not interrupt orders.
//!
//! An owner that is unresponsive is replaced in two committed steps, so that the time that has to
//! pass is counted by every replica, and goes on when the primary changes meanwhile:
//!
//! 1. The primary vacates the ownership. From then on nobody can learn that the former owner is
//!    still named, so its permission expires.
//! 2. Once it has expired, and the time of a lease has passed, the primary of that moment claims
//!    the ownership for itself.

use crate::Millis;
use crate::view::{Epoch, ReplicaId};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Beyond the time of a lease, so long passes between the last moment at which a former owner may
/// have sent an order and the first order of the next.
const TAKEOVER_MARGIN: Millis = 100;

/// Whether a node may send orders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RolloutOwnership {
    /// It neither owns the rollout nor leads.
    #[default]
    NotLeader,
    /// It leads, and another node owns the rollout.
    OwnedElsewhere,
    /// It leads, and the owner is unresponsive.
    OwnerUnresponsive,
    /// It leads, and the ownership is vacant.
    Vacant {
        /// From this moment on, or from an earlier one, nobody has sent orders.
        since: Millis,
    },
    /// It leads, and nobody has owned the rollout yet.
    Unowned,
    /// It owns the rollout.
    Owned,
}

impl RolloutOwnership {
    /// The owner that the node should have recorded next, if any: none, in place of an unresponsive
    /// one, or itself. `epoch` is the current one, and `lease` has to lie between orders of two
    /// nodes.
    pub fn next_owner(
        &self,
        own: &ReplicaId,
        epoch: Epoch,
        lease: Millis,
        now: Millis,
    ) -> Option<ReplicaId> {
        if *self == RolloutOwnership::OwnerUnresponsive {
            return Some(vacant_owner(epoch));
        }
        self.may_claim(lease, now).then(|| own.clone())
    }

    /// Whether the node may claim the ownership, where `lease` has to lie between orders of two
    /// nodes.
    pub fn may_claim(&self, lease: Millis, now: Millis) -> bool {
        match *self {
            RolloutOwnership::NotLeader
            | RolloutOwnership::OwnedElsewhere
            | RolloutOwnership::OwnerUnresponsive
            | RolloutOwnership::Owned => false,
            RolloutOwnership::Vacant { since } => now >= since + lease + TAKEOVER_MARGIN,
            RolloutOwnership::Unowned => true,
        }
    }
}

impl fmt::Display for RolloutOwnership {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RolloutOwnership::NotLeader => "this node does not hold the lease",
            RolloutOwnership::OwnedElsewhere => {
                "this node holds the lease, and another one gives orders"
            }
            RolloutOwnership::OwnerUnresponsive => {
                "this node holds the lease, and the one that gives orders does not respond"
            }
            RolloutOwnership::Vacant { .. } => {
                "this node holds the lease, and the one that gave orders last may do so no more"
            }
            RolloutOwnership::Unowned => {
                "this node holds the lease, and nobody has given orders yet"
            }
            RolloutOwnership::Owned => "this node gives orders",
        })
    }
}

/// The permission to send orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderGrant {
    /// The fencing token of the orders.
    pub fencing_token: Epoch,
    /// When it expires, unless it is renewed.
    pub expires_at: Millis,
}

/// The fencing token of orders that a replica sends in an epoch. It rises with the epoch, and that
/// of the primary is the higher one of an epoch: the primary may claim the ownership from a backup
/// that has sent orders in the same epoch.
pub fn fencing_token(epoch: Epoch, is_primary: bool) -> Epoch {
    2 * epoch + Epoch::from(is_primary)
}

/// The replica that a vacant ownership is recorded under. No two vacancies are equal: the epoch is
/// that of the primary that vacates it, which may claim it afterwards and does not vacate it again.
pub fn vacant_owner(epoch: Epoch) -> ReplicaId {
    ReplicaId {
        disk: epoch,
        node: Default::default(),
        address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
    }
}

/// Whether an owner in the control state stands for a vacant ownership.
pub fn is_vacant(owner: &ReplicaId) -> bool {
    owner.node.is_empty() && owner.address.ip().is_unspecified()
}

/// Since when the ownership is vacant, as far as one replica can tell.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Vacancy(Option<Observed>);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Observed {
    /// Distinguishes the vacancy from others.
    owner: ReplicaId,
    since: Millis,
}

impl Vacancy {
    /// Records the owner that the committed state names. `permission_ends` is the latest moment at
    /// which a former owner may send orders, if the ownership is vacant now.
    pub fn observe(&mut self, owner: Option<&ReplicaId>, permission_ends: Millis) {
        let Some(owner) = owner.filter(|owner| is_vacant(owner)) else {
            self.0 = None;
            return;
        };
        if self.0.as_ref().is_none_or(|known| known.owner != *owner) {
            self.0 = Some(Observed {
                owner: owner.clone(),
                since: permission_ends,
            });
        }
    }

    /// The moment from which on nobody has sent orders; `None` where the ownership is not vacant.
    pub fn since(&self) -> Option<Millis> {
        self.0.as_ref().map(|observed| observed.since)
    }
}
