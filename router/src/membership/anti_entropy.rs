//! Anti-entropy: repairs differences between the directories of nodes, and prunes expired records.

use crate::fleet::Fleet;
use crate::protocol::{Request, Response};
use crate::sync::lock;
use control::digest::{Digests, Range};
use control::directory::VersionVector;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Expired records are pruned after one to two times this.
const PRUNE: Duration = Duration::from_secs(120);
/// Time between two repairs.
const REPAIR: Duration = Duration::from_secs(10);
/// Time limit of a request of a repair.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Compares records with another replica node periodically, and fetches those that differ.
pub async fn repair(fleet: Arc<Fleet>) {
    let mut position = 0;
    loop {
        tokio::time::sleep(REPAIR).await;
        let others = fleet.nearest_replicas();
        if others.is_empty() {
            continue;
        }
        position += 1;
        let (_, other) = &others[position % others.len()];
        if let Some(keys) = differing_keys(&fleet, other.internal).await
            && !keys.is_empty()
        {
            fetch(&fleet, other.internal, keys).await;
        }
    }
}

/// Prunes expired records, to bound memory.
pub async fn prune(fleet: Arc<Fleet>) {
    let mut before = BTreeSet::new();
    loop {
        tokio::time::sleep(PRUNE).await;
        let mut directory = lock(&fleet.directory);
        let closed = directory.expired();
        closed
            .intersection(&before)
            .for_each(|key| directory.remove(key));
        before = directory.expired();
    }
}

/// Key hashes of records that differ at another node; `None` if it does not respond. Descends into
/// the ranges whose digests differ, like a Merkle tree.
async fn differing_keys(fleet: &Fleet, other: SocketAddrV4) -> Option<Vec<u64>> {
    let mut ranges = vec![Range::ALL];
    let mut differing = Vec::new();
    while let Some(range) = ranges.pop() {
        let response = fleet
            .links
            .call(other, Request::Compare { range }, REQUEST_TIMEOUT)
            .await;
        let Some(Response::Summary(summary)) = response else {
            return None;
        };
        let digests = Digests::new(lock(&fleet.directory).hashes());
        let (narrower, keys) = digests.compare(range, &summary);
        ranges.extend(narrower);
        differing.extend(keys);
    }
    Some(differing)
}

async fn fetch(fleet: &Fleet, other: SocketAddrV4, keys: Vec<u64>) {
    let response = fleet
        .links
        .call(other, Request::Fetch { keys }, REQUEST_TIMEOUT)
        .await;
    if let Some(Response::Records(records)) = response {
        let changed = lock(&fleet.directory).merge(records, &VersionVector::new());
        if !changed.is_empty() {
            log::info!("repair brought {} records", changed.len());
            fleet.notify_change();
        }
    }
}
