//! Watches the prefix caches of backends. One router in the zone of each backend reads its KV
//! events and notifies the owners of evicted prefixes, and, when it begins to read, of those that
//! the backend caches: after a loss of power no router knows any, and the backends kept running.

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

/// Time between two checks which backends this router has to watch.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same while it watches none, as after its start: what backends still cache is to be known
/// before many prompts have been sent elsewhere.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time to wait before the events of an unresponsive backend are read again.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Reads the events of the backends that are assigned to this router, for as long as it runs.
pub async fn run(fleet: Arc<Fleet>, locator: Arc<PrefixLocator>, client: reqwest::Client) {
    let mut tasks: BTreeMap<CompactString, JoinHandle<()>> = BTreeMap::new();
    let mut seen = None;
    loop {
        let interval = if tasks.is_empty() {
            START_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        tokio::time::sleep(interval).await;
        if seen.replace(fleet.change_count()) == Some(fleet.change_count()) {
            continue;
        }
        let wanted = assigned(&fleet);
        tasks.retain(|id, task| {
            let is_wanted = wanted.contains_key(id);
            if !is_wanted {
                task.abort();
            }
            is_wanted
        });
        for (id, address) in wanted {
            let reading =
                || tokio::spawn(read(locator.clone(), id.clone(), address, client.clone()));
            tasks.entry(id.clone()).or_insert_with(reading);
        }
    }
}

/// The backends whose events this router reads. Each one has one reader among the routers of its
/// zone, by rendezvous hashing.
fn assigned(fleet: &Fleet) -> BTreeMap<CompactString, SocketAddrV4> {
    let directory = lock(&fleet.directory);
    let up: Vec<(&CompactString, &CompactString)> = directory
        .members()
        .filter(|(_, member)| member.status == MemberStatus::Up)
        .map(|(name, member)| (name, &member.zone))
        .collect();
    let is_assigned = |id: &CompactString, zone: &CompactString| {
        let near = up.iter().filter(|(_, other)| *other == zone);
        let reader = near.max_by_key(|(name, _)| rendezvous::score(&(id, name)));
        let reader = reader.or_else(|| {
            up.iter()
                .max_by_key(|(name, _)| rendezvous::score(&(id, name)))
        });
        reader.is_some_and(|(name, _)| **name == fleet.settings.node_name)
    };
    let readable = directory.backends().filter(|(_, backend)| {
        backend.phase == BackendPhase::Ready && !backend.unresponsive && !backend.models.is_empty()
    });
    let own = readable.filter(|(id, backend)| is_assigned(id, &backend.zone));
    own.map(|(id, backend)| (id.clone(), backend.address))
        .collect()
}

async fn read(
    locator: Arc<PrefixLocator>,
    id: CompactString,
    address: SocketAddrV4,
    client: reqwest::Client,
) {
    loop {
        let ended = kv_events::poll(address, &client, |page| {
            if page.is_first {
                locator.notify_cached(&id, &page.events);
            }
            locator.notify_evictions(&id, &page.events);
        })
        .await;
        if let Err(error) = ended {
            log::debug!("events of backend {id}: {error}");
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
