//! What the other nodes with replicas know, as their pulls tell: whether a record has reached a
//! majority of them.

use super::Fleet;
use crate::clock;
use crate::protocol::PullRequest;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::{Key, Stamp, VersionVector};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A node with a replica that has not pulled for so long is out of reach: each pull waits for 1.5 s
/// at the most.
const OUT_OF_REACH: Millis = 2_500;
/// After this a node without touch to the primary takes heartbeats again, as no other one may be
/// better off.
const LASTING_LOSS_OF_TOUCH: Millis = 30_000;

/// What one node with a replica knows.
#[derive(Debug, Clone)]
struct Peer {
    vector: VersionVector,
    pulled_at: Millis,
}

/// What the other nodes with replicas know, by their names.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers(BTreeMap<CompactString, Peer>);

impl Peers {
    fn know(&self, stamp: Stamp) -> impl Iterator<Item = &CompactString> {
        let knows = move |peer: &Peer| {
            peer.vector
                .get(&stamp.origin)
                .is_some_and(|counter| *counter >= stamp.counter)
        };
        self.0
            .iter()
            .filter(move |(_, peer)| knows(peer))
            .map(|(name, _)| name)
    }

    fn in_reach(&self, now: Millis) -> impl Iterator<Item = &CompactString> {
        let is_in_reach = move |peer: &Peer| now < peer.pulled_at + OUT_OF_REACH;
        self.0
            .iter()
            .filter(move |(_, peer)| is_in_reach(peer))
            .map(|(name, _)| name)
    }
}

impl Fleet {
    /// Notes what a node with a replica knows.
    pub(super) fn hear_of_peer(&self, request: &PullRequest) {
        if request.member.replica.is_none() {
            return;
        }
        let peer = Peer {
            vector: request.vector.clone(),
            pulled_at: clock::now(),
        };
        self.peers.send_modify(|peers| {
            peers.0.insert(request.name.clone(), peer);
        });
    }

    /// The nodes that decide what is so: those whose replicas are witnesses of the newest view, as
    /// far as it is known here.
    fn electorate(&self) -> BTreeSet<CompactString> {
        self.replica
            .as_ref()
            .map(|replica| replica.witness_nodes())
            .unwrap_or_default()
    }

    /// Waits until a majority of the nodes that hold the control state know what this node holds
    /// about a thing. False where that takes longer than `patience`.
    pub(super) async fn reaches_majority(&self, key: &Key, patience: Duration) -> bool {
        let Some(stamp) = lock(&self.directory).stamp(key) else {
            return false;
        };
        let electorate = self.electorate();
        let own = &self.settings.node_name;
        let is_majority = |peers: &Peers| {
            let knowing: BTreeSet<&CompactString> = peers.know(stamp).chain([own]).collect();
            let votes = electorate
                .iter()
                .filter(|node| knowing.contains(node))
                .count();
            2 * votes > electorate.len()
        };
        let mut peers = self.peers.subscribe();
        let reached = peers.wait_for(is_majority);
        tokio::time::timeout(patience, reached)
            .await
            .is_ok_and(|reached| reached.is_ok())
    }

    /// Whether heartbeats of backends are taken here. What this node learns has to reach the fleet:
    /// it is in touch with the primary, or with half of the nodes that hold the control state, as
    /// where these are parted in two halves. Where the loss of touch lasts, the whole system may be
    /// without a majority, and any news are better than none.
    pub fn takes_registrations(&self) -> bool {
        let now = clock::now();
        let out_of_touch = self.age().unwrap_or(now.saturating_sub(self.begun));
        if self.is_in_touch() || out_of_touch >= LASTING_LOSS_OF_TOUCH {
            return true;
        }
        let electorate = self.electorate();
        let own = &self.settings.node_name;
        let peers = self.peers.borrow();
        let near: BTreeSet<&CompactString> = peers.in_reach(now).chain([own]).collect();
        let votes = electorate.iter().filter(|node| near.contains(node)).count();
        !electorate.is_empty() && 2 * votes >= electorate.len()
    }
}
