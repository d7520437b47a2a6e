//! Replication progress of the replica nodes: whether a record has reached a majority. The other
//! nodes state their progress in their pulls, this one records it with each save. A vector covers
//! withdrawals of backends only once they are on that node's disk.

use super::Fleet;
use crate::clock;
use crate::protocol::PullRequest;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::{Key, Stamp, VersionVector};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A replica node is unreachable if it has not pulled for this long, in milliseconds. A pull waits
/// for at most 1.5 s.
const PEER_TIMEOUT: Millis = 2_500;
/// A node that has been isolated from the primary for this long, in milliseconds, accepts
/// heartbeats again: no other node may be better connected.
const PROLONGED_ISOLATION: Millis = 30_000;

/// Replication progress of one replica node.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    /// The vector that the node has stated.
    pub(super) vector: VersionVector,
    /// When it was stated.
    pub(super) pulled_at: Millis,
}

/// Replication progress of the replica nodes, by node name.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers(BTreeMap<CompactString, Peer>);

impl Peers {
    /// Nodes that have the record version with this stamp.
    fn with_record(&self, stamp: Stamp) -> impl Iterator<Item = &CompactString> {
        let has_record = move |peer: &Peer| {
            peer.vector
                .get(&stamp.origin)
                .is_some_and(|counter| *counter >= stamp.counter)
        };
        self.0
            .iter()
            .filter(move |(_, peer)| has_record(peer))
            .map(|(name, _)| name)
    }

    fn reachable(&self, now: Millis) -> impl Iterator<Item = &CompactString> {
        let is_reachable = move |peer: &Peer| now < peer.pulled_at + PEER_TIMEOUT;
        self.0
            .iter()
            .filter(move |(_, peer)| is_reachable(peer))
            .map(|(name, _)| name)
    }
}

impl Fleet {
    /// Records the replication progress that a replica node states in its pull.
    pub(super) fn observe_peer(&self, request: &PullRequest) {
        if request.member.replica.is_none() {
            return;
        }
        let peer = Peer {
            vector: request.vector.clone(),
            pulled_at: clock::now(),
        };
        self.record_peer(request.name.clone(), peer);
    }

    /// Records the replication progress of a replica node.
    pub(super) fn record_peer(&self, name: CompactString, peer: Peer) {
        self.peers.send_modify(|peers| {
            peers.0.insert(name, peer);
        });
    }

    /// The nodes whose replicas are witnesses of the latest view that this node knows.
    fn voters(&self) -> BTreeSet<CompactString> {
        self.replica
            .as_ref()
            .map(|replica| replica.witness_nodes())
            .unwrap_or_default()
    }

    /// Waits until a majority of the voters has this node's version of a record; of a withdrawal, on
    /// disk. Returns false if that takes longer than `timeout`.
    pub(super) async fn reaches_majority(&self, key: &Key, timeout: Duration) -> bool {
        let Some(stamp) = lock(&self.directory).stamp(key) else {
            return false;
        };
        let voters = self.voters();
        let is_majority = |peers: &Peers| {
            let nodes_with_record: BTreeSet<&CompactString> = peers.with_record(stamp).collect();
            let votes = voters
                .iter()
                .filter(|node| nodes_with_record.contains(node))
                .count();
            2 * votes > voters.len()
        };
        let mut peers = self.peers.subscribe();
        let reached = peers.wait_for(is_majority);
        tokio::time::timeout(timeout, reached)
            .await
            .is_ok_and(|reached| reached.is_ok())
    }

    /// Returns whether this node accepts heartbeats of backends. Accepted heartbeats have to reach
    /// the fleet, so the node needs contact with the primary, or with half of the voters, as in an
    /// even partition. In a prolonged isolation it accepts them regardless: no side may have a
    /// majority then, and a partial update is better than none.
    pub fn accepts_registrations(&self) -> bool {
        let now = clock::now();
        let isolated_for = self
            .staleness()
            .unwrap_or(now.saturating_sub(self.started_at));
        if self.is_current() || isolated_for >= PROLONGED_ISOLATION {
            return true;
        }
        let voters = self.voters();
        let own = &self.settings.node_name;
        let peers = self.peers.borrow();
        let reachable: BTreeSet<&CompactString> = peers.reachable(now).chain([own]).collect();
        let votes = voters
            .iter()
            .filter(|node| reachable.contains(node))
            .count();
        !voters.is_empty() && 2 * votes >= voters.len()
    }
}
