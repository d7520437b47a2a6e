//! Views: the configurations of the replication group. A view names the primary of an epoch, the
//! replicas that store every acknowledged change, and the witnesses that decide the next view.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddrV4;

/// One replica of the control state: a node together with the disk that it started on.
///
/// A node that lost its disk comes back as another replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Drawn at random when the disk was first used.
    pub disk: u64,
    /// The node's name.
    pub node: CompactString,
    /// The address of the node's internal protocol.
    pub address: SocketAddrV4,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.node, self.disk as u32)
    }
}

/// The number of a view; it rises by one with each view. The fencing token of an order is derived
/// from it, see [`fencing_token`](crate::rollout::fencing_token).
pub type Epoch = u64;

/// The epoch of the electorate that decides the first view; no replica is ever primary in it.
pub const BOOTSTRAP_EPOCH: Epoch = 0;

/// Identifies one run of a process. Drawn at random when it starts.
pub type Incarnation = u64;

/// One configuration of the replication group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// The number of the view.
    pub epoch: Epoch,
    /// The replica that orders all changes.
    pub primary: ReplicaId,
    /// The replicas that store every acknowledged change, the primary among them.
    pub in_sync: BTreeSet<ReplicaId>,
    /// The replicas a majority of which decides the next view and grants the primary its lease.
    pub witnesses: BTreeSet<ReplicaId>,
}

impl View {
    /// The electorate that decides the first view of a new system; `None` where it is empty.
    pub fn bootstrap(electorate: BTreeSet<ReplicaId>) -> Option<Self> {
        let primary = electorate.first()?.clone();
        Some(View {
            epoch: BOOTSTRAP_EPOCH,
            primary,
            in_sync: BTreeSet::new(),
            witnesses: electorate,
        })
    }

    /// Whether this is not a working view but the electorate of the first one.
    pub fn is_bootstrap(&self) -> bool {
        self.epoch == BOOTSTRAP_EPOCH
    }

    /// Whether `votes` contains a majority of the witnesses.
    pub fn has_majority(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        2 * self.witnesses.intersection(votes).count() > self.witnesses.len()
    }

    /// The number of witnesses that is a majority.
    pub fn majority(&self) -> usize {
        self.witnesses.len() / 2 + 1
    }

    /// The smallest number of witnesses without which the others are no majority. Of an even number
    /// of witnesses it is one less than a majority.
    pub fn blocking_set(&self) -> usize {
        self.witnesses.len() - self.majority() + 1
    }

    /// The in-sync replicas and the witnesses.
    pub fn participants(&self) -> BTreeSet<ReplicaId> {
        self.in_sync.union(&self.witnesses).cloned().collect()
    }
}

/// The proposal number of an attempt to decide a view; higher ones win. No two attempts have the
/// same number: the incarnation distinguishes those of a restarted proposer from those of its
/// former process, whose late replies must not count.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Rises with each attempt of a process.
    pub round: u64,
    /// The replica that proposes.
    pub proposer: ReplicaId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// A proposed view, with the number of its attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposal number.
    pub number: ProposalNumber,
    /// The proposed view.
    pub view: View,
}
