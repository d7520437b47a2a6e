//! Views: which replica is primary in an epoch, which ones hold every acknowledged change, and who decides the next view.

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
    /// Drawn when the disk was first used.
    pub disk: u64,
    /// The node's name.
    pub node: CompactString,
    /// Where the node's internal protocol listens.
    pub address: SocketAddrV4,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.node, self.disk as u32)
    }
}

/// The number of a view; each view has the next one.
pub type Epoch = u64;

/// One configuration of the replication group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its number.
    pub epoch: Epoch,
    /// The replica that orders changes.
    pub primary: ReplicaId,
    /// Replicas that have to store a change before it is acknowledged, the primary among them.
    pub in_sync: BTreeSet<ReplicaId>,
    /// Replicas a majority of which decides the next view and grants the primary its lease.
    pub witnesses: BTreeSet<ReplicaId>,
}

impl View {
    /// Whether `votes` holds a majority of the witnesses.
    pub fn has_majority(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        2 * self.witnesses.intersection(votes).count() > self.witnesses.len()
    }

    /// Everyone who takes part in the view.
    pub fn participants(&self) -> BTreeSet<ReplicaId> {
        self.in_sync.union(&self.witnesses).cloned().collect()
    }
}

/// The number of an attempt to decide a view; higher ones win.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Rises with each attempt.
    pub round: u64,
    /// Who attempts it.
    pub proposer: ReplicaId,
}

/// A view that a witness has accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// In which attempt.
    pub ballot: Ballot,
    /// The view.
    pub view: View,
    /// The decided view that it follows; none where the view itself is known to be decided.
    pub previous: Option<View>,
}
