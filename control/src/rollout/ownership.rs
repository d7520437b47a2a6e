//! Which node may send orders to backends, and when another one may.
//!
//! Orders of two nodes must be separated by more than the duration of a lease. The control state
//! therefore names one *owner* of the rollout. The owner keeps its role while other replicas lead:
//! a replica whose state is current
//! ([`ControlNode::current_at`](crate::node::ControlNode::current_at)) knows that it is still the
//! owner, so a change of the primary does not interrupt orders.
//!
//! An unresponsive owner is replaced in two committed steps. Every replica measures the waiting
//! time between them, so a change of the primary does not restart the wait:
//!
//! 1. The primary vacates the ownership. From then on no replica can learn that the former owner is
//!    still the owner, so the owner's grant expires.
//! 2. Once the grant has expired and the duration of a lease has passed, the current primary claims
//!    the ownership for itself.

use crate::Millis;
use crate::view::{Epoch, ReplicaId};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Added to the lease duration that has to pass between the last possible order of a former owner
/// and the first order of the next one.
const TAKEOVER_MARGIN: Millis = 100;

/// Whether a node may send orders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RolloutOwnership {
    /// The node neither owns the rollout nor leads.
    #[default]
    NotLeader,
    /// The node leads, and another one owns the rollout.
    OwnedElsewhere,
    /// The node leads, and the owner is unresponsive.
    OwnerUnresponsive,
    /// The node leads, and the ownership is vacant.
    Vacant {
        /// No node has sent orders since this time or longer.
        since: Millis,
    },
    /// The node leads, and the rollout has not had an owner yet.
    Unowned,
    /// The node owns the rollout.
    Owned,
}

impl RolloutOwnership {
    /// The owner that the node should submit as a change, if any: a vacant one to replace an
    /// unresponsive owner, or itself. `epoch` is the current one; `lease` is the minimum time
    /// between orders of two nodes.
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

    /// Whether the node may claim the ownership. `lease` is the minimum time between orders of two
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
                "this node holds the lease, and another node owns the rollout"
            }
            RolloutOwnership::OwnerUnresponsive => {
                "this node holds the lease, and the owner of the rollout is unresponsive"
            }
            RolloutOwnership::Vacant { .. } => {
                "this node holds the lease, and the ownership of the rollout is vacant"
            }
            RolloutOwnership::Unowned => {
                "this node holds the lease, and the rollout has not had an owner yet"
            }
            RolloutOwnership::Owned => "this node owns the rollout",
        })
    }
}

/// Permission to send orders until a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderGrant {
    /// The fencing token of the orders.
    pub fencing_token: u64,
    /// When it expires, unless it is renewed.
    pub expires_at: Millis,
}

/// The fencing token of orders that a replica sends in an epoch. Tokens rise with the epoch, and
/// within one epoch the primary has a higher token than a backup: the primary may claim the
/// ownership from a backup that has sent orders in the same epoch.
pub fn fencing_token(epoch: Epoch, is_primary: bool) -> u64 {
    2 * epoch + u64::from(is_primary)
}

/// The placeholder owner that marks a vacant ownership. Each vacancy has a different one, as
/// `epoch` is that of the primary that vacates the ownership, and a primary does so at most once:
/// it may claim the ownership afterwards, but does not vacate its own.
pub fn vacant_owner(epoch: Epoch) -> ReplicaId {
    ReplicaId {
        disk: epoch,
        node: Default::default(),
        address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
    }
}

/// Whether an owner in the control state is the placeholder of a vacant ownership.
pub fn is_vacant(owner: &ReplicaId) -> bool {
    owner.node.is_empty() && owner.address.ip().is_unspecified()
}

/// The start of the current vacancy of the ownership, as one replica knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Vacancy(Option<Observed>);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Observed {
    /// Distinguishes the vacancy from others.
    owner: ReplicaId,
    since: Millis,
}

impl Vacancy {
    /// Records the owner in the committed state. `grant_expires_at` is the latest time at which a
    /// former owner may send orders, if the ownership is vacant now.
    pub fn observe(&mut self, owner: Option<&ReplicaId>, grant_expires_at: Millis) {
        let Some(owner) = owner.filter(|owner| is_vacant(owner)) else {
            self.0 = None;
            return;
        };
        if self.0.as_ref().is_none_or(|known| known.owner != *owner) {
            self.0 = Some(Observed {
                owner: owner.clone(),
                since: grant_expires_at,
            });
        }
    }

    /// The time since which no node has sent orders; `None` where the ownership is not vacant.
    pub fn since(&self) -> Option<Millis> {
        self.0.as_ref().map(|observed| observed.since)
    }
}
