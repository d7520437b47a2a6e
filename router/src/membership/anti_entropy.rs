//! Anti-entropy: repairs differences between the directories of replica nodes, and prunes expired
//! records.

use crate::fleet::Fleet;
use crate::protocol::{Request, Response};
use crate::sync::lock;
use control::digest::{Digests, Range};
use control::directory::VersionVector;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Interval between prunings. An expired record is removed after one to two intervals.
const PRUNE_INTERVAL: Duration = Duration::from_secs(120);
/// Interval between repairs.
const REPAIR_INTERVAL: Duration = Duration::from_secs(10);
/// Time limit of each request of a repair.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Compares records with another replica node periodically, and fetches those that differ.
pub async fn repair(fleet: Arc<Fleet>) {
    let mut position = 0;
    loop {
        tokio::time::sleep(REPAIR_INTERVAL).await;
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

/// Prunes records that were already expired at the previous pruning, to bound memory.
pub async fn prune(fleet: Arc<Fleet>) {
    let mut previously_expired = BTreeSet::new();
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        let mut directory = lock(&fleet.directory);
        let expired = directory.expired();
        expired
            .intersection(&previously_expired)
            .for_each(|key| directory.remove(key));
        previously_expired = directory.expired();
    }
}

/// Key hashes of the records that differ from another node's; `None` if that node does not respond.
/// Descends into the ranges whose digests differ, as in a Merkle tree.
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

/// Fetches records from another node and merges them.
async fn fetch(fleet: &Fleet, other: SocketAddrV4, keys: Vec<u64>) {
    let response = fleet
        .links
        .call(other, Request::Fetch { keys }, REQUEST_TIMEOUT)
        .await;
    if let Some(Response::Records(records)) = response {
        let changed =
            fleet.update_directory(|directory| directory.merge(records, &VersionVector::new()));
        if !changed.is_empty() {
            log::info!(
                "anti-entropy repair fetched {} changed records",
                changed.len()
            );
            fleet.notify_change();
        }
    }
}
