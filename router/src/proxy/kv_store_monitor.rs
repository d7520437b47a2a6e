//! Monitors the KV stores in the configuration. In each zone, one router reads the events of a
//! store, and the other routers ask that one whether the store is available.

use super::kv_events::{self, KvEventPage};
use super::prefix_locator::PrefixLocator;
use crate::fleet::Fleet;
use crate::protocol::{Request, Response};
use crate::rendezvous;
use crate::sync::lock;
use compact_str::CompactString;
use control::configuration::KvStore;
use control::directory::{Member, MemberStatus};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Part of a store's limit of concurrent calls that routers may use for reading events.
const READER_CALL_RATIO: f64 = 0.75;
/// Delay before polling a store again after an error.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between status requests to the router that reads a store's events.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(600);

/// The source of this router's information about a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    /// This router reads the store's events.
    Events,
    /// Another router reads the events, preferably one in the same zone, and this one asks it.
    Peer,
}

/// Monitors the stores in the current configuration until the router exits.
pub async fn run(fleet: Arc<Fleet>, locator: Arc<PrefixLocator>, client: reqwest::Client) {
    let mut updates = fleet.subscribe();
    let mut tasks: BTreeMap<(SocketAddrV4, Source), JoinHandle<()>> = BTreeMap::new();
    loop {
        let configured = configured_stores(&fleet);
        fleet.stores.reconfigure(&configured);
        let wanted: BTreeMap<(SocketAddrV4, Source), KvStore> = configured
            .into_values()
            .map(|store| ((store.address, source_of(&fleet, &store)), store))
            .collect();
        tasks.retain(|key, task| {
            let is_wanted = wanted.contains_key(key);
            if !is_wanted {
                task.abort();
            }
            is_wanted
        });
        for ((address, source), store) in wanted {
            tasks
                .entry((address, source))
                .or_insert_with(|| match source {
                    Source::Events => tokio::spawn(read_events(
                        fleet.clone(),
                        locator.clone(),
                        address,
                        client.clone(),
                    )),
                    Source::Peer => tokio::spawn(poll_status(fleet.clone(), store)),
                });
        }
        if updates.changed().await.is_err() {
            return;
        }
    }
}

fn configured_stores(fleet: &Fleet) -> BTreeMap<SocketAddrV4, KvStore> {
    let published = lock(&fleet.published);
    let services = published
        .configuration()
        .into_iter()
        .flat_map(|configuration| configuration.services.values());
    let stores = services.filter_map(|service| service.kv_store.clone());
    stores.map(|store| (store.address, store)).collect()
}

/// The routers that read a store's events: one in each zone, as far as the store's limit of
/// concurrent calls allows.
fn readers(fleet: &Fleet, store: &KvStore) -> BTreeMap<CompactString, (CompactString, Member)> {
    let max_readers = (f64::from(store.max_concurrent) * READER_CALL_RATIO) as usize;
    let directory = lock(&fleet.directory);
    let mut readers: BTreeMap<CompactString, (CompactString, Member)> = BTreeMap::new();
    for (name, member) in directory
        .members()
        .filter(|(_, member)| member.status == MemberStatus::Up)
    {
        let is_preferred = readers.get(&member.zone).is_none_or(|(other, _)| {
            rendezvous::score(&(store.address, name)) > rendezvous::score(&(store.address, other))
        });
        if is_preferred {
            readers.insert(member.zone.clone(), (name.clone(), member.clone()));
        }
    }
    readers.into_iter().take(max_readers).collect()
}

fn source_of(fleet: &Fleet, store: &KvStore) -> Source {
    let is_reader = readers(fleet, store)
        .values()
        .any(|(name, _)| *name == fleet.settings.node_name);
    if is_reader {
        Source::Events
    } else {
        Source::Peer
    }
}

/// Asks the router that reads a store's events for the store's status, until the task is aborted.
async fn poll_status(fleet: Arc<Fleet>, store: KvStore) {
    loop {
        let readers = readers(&fleet, &store);
        let reader = readers
            .get(&fleet.settings.zone)
            .or(readers.values().next());
        if let Some((_, reader)) = reader {
            let request = Request::StoreStatus {
                store: store.address,
            };
            let response = fleet
                .links
                .call(reader.internal, request, STATUS_TIMEOUT)
                .await;
            if let Some(Response::StoreStatus(Some(status))) = response {
                fleet.stores.apply_status(store.address, status);
            }
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

/// Reads a store's events until the task is aborted. Records the store's availability and notifies
/// the prefix owners in this zone of evictions.
async fn read_events(
    fleet: Arc<Fleet>,
    locator: Arc<PrefixLocator>,
    address: SocketAddrV4,
    client: reqwest::Client,
) {
    loop {
        let on_page = |page: KvEventPage| {
            fleet.stores.mark_available(address, page.epoch);
            locator.notify_store_evictions(&page.events);
        };
        if kv_events::poll(address, &client, on_page).await.is_err() {
            fleet.stores.mark_unresponsive(address);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
