//! Watches the prefix caches of backends. For each backend, one router in the backend's zone reads
//! the KV events and notifies the owners of evicted prefixes. When it begins to read, it also
//! notifies the owners of the prefixes that the backend caches: after a power failure the routers
//! have lost the prefix index, while backends that kept running still have their caches.

use super::kv_events;
use super::prefix_locator::PrefixLocator;
use crate::fleet::Fleet;
use crate::rendezvous;
use crate::sync::lock;
use compact_str::CompactString;
use control::directory::{BackendPhase, MemberStatus};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Interval at which this router checks which backends are assigned to it.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Check interval while no backend is assigned, as after start-up. It is short so that the prefixes
/// that backends still cache become known before many prompts have been sent to other backends.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before polling a backend again after an error.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Watches the backends that are assigned to this router until the router exits.
pub async fn run(fleet: Arc<Fleet>, locator: Arc<PrefixLocator>, client: reqwest::Client) {
    let mut tasks: BTreeMap<CompactString, JoinHandle<()>> = BTreeMap::new();
    let mut last_change_count = None;
    loop {
        let interval = if tasks.is_empty() {
            START_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        tokio::time::sleep(interval).await;
        if last_change_count.replace(fleet.change_count()) == Some(fleet.change_count()) {
            continue;
        }
        let assigned = assigned_backends(&fleet);
        tasks.retain(|id, task| {
            let is_assigned = assigned.contains_key(id);
            if !is_assigned {
                task.abort();
            }
            is_assigned
        });
        for (id, address) in assigned {
            let watch = || {
                tokio::spawn(watch_backend(
                    locator.clone(),
                    id.clone(),
                    address,
                    client.clone(),
                ))
            };
            tasks.entry(id.clone()).or_insert_with(watch);
        }
    }
}

/// The backends whose events this router reads. Rendezvous hashing assigns each backend to a router
/// in its zone, or to any router if there is none in its zone.
fn assigned_backends(fleet: &Fleet) -> BTreeMap<CompactString, SocketAddrV4> {
    let directory = lock(&fleet.directory);
    let up: Vec<(&CompactString, &CompactString)> = directory
        .members()
        .filter(|(_, member)| member.status == MemberStatus::Up)
        .map(|(name, member)| (name, &member.zone))
        .collect();
    let is_assigned = |id: &CompactString, zone: &CompactString| {
        let same_zone = up.iter().filter(|(_, other)| *other == zone);
        let reader = same_zone.max_by_key(|(name, _)| rendezvous::score(&(id, name)));
        let reader = reader.or_else(|| {
            up.iter()
                .max_by_key(|(name, _)| rendezvous::score(&(id, name)))
        });
        reader.is_some_and(|(name, _)| **name == fleet.settings.node_name)
    };
    let watchable = directory.backends().filter(|(_, backend)| {
        backend.phase == BackendPhase::Ready && !backend.unresponsive && !backend.models.is_empty()
    });
    let assigned = watchable.filter(|(id, backend)| is_assigned(id, &backend.zone));
    assigned
        .map(|(id, backend)| (id.clone(), backend.address))
        .collect()
}

async fn watch_backend(
    locator: Arc<PrefixLocator>,
    id: CompactString,
    address: SocketAddrV4,
    client: reqwest::Client,
) {
    loop {
        let result = kv_events::poll(address, &client, |page| {
            if page.is_first {
                locator.notify_cached(&id, &page.events);
            }
            locator.notify_evictions(&id, &page.events);
        })
        .await;
        if let Err(error) = result {
            log::debug!("watching the cache of backend {id}: {error}");
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
