//! Views: which replica is primary in an epoch, which ones hold every acknowledged change, and who
//! decides the next view.

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

/// The epoch of the electorate that decides the first view; no replica ever works in it.
pub const BOOTSTRAP_EPOCH: Epoch = 0;

/// Identifies one run of a process. Drawn at its start.
pub type Incarnation = u64;

/// One configuration of the replication group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
    /// The electorate that decides the first view of a new system; none where nobody is in it.
    pub fn bootstrap(electorate: BTreeSet<ReplicaId>) -> Option<Self> {
        let primary = electorate.first()?.clone();
        Some(View {
            epoch: BOOTSTRAP_EPOCH,
            primary,
            in_sync: BTreeSet::new(),
            witnesses: electorate,
        })
    }

    /// Whether this is no view to work in, but the electorate of the first one.
    pub fn is_bootstrap(&self) -> bool {
        self.epoch == BOOTSTRAP_EPOCH
    }

    /// Whether `votes` holds a majority of the witnesses.
    pub fn has_majority(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        2 * self.witnesses.intersection(votes).count() > self.witnesses.len()
    }

    /// How many witnesses are a majority.
    pub fn majority(&self) -> usize {
        self.witnesses.len() / 2 + 1
    }

    /// Everyone who takes part in the view.
    pub fn participants(&self) -> BTreeSet<ReplicaId> {
        self.in_sync.union(&self.witnesses).cloned().collect()
    }
}

/// The number of an attempt to decide a view; higher ones win. No two attempts have the same one:
/// the life tells those of a restarted proposer from those of its former process, whose late
/// answers must not count.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Rises with each attempt of a process.
    pub round: u64,
    /// Who attempts it.
    pub proposer: ReplicaId,
    /// In which life of its process.
    pub incarnation: Incarnation,
}

/// A view that is proposed in an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The attempt.
    pub number: ProposalNumber,
    /// The view.
    pub view: View,
}
