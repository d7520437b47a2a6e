//! Monitors the KV stores of the configuration. One router in each zone reads a store's events; the
//! others ask it whether the store is available.

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

/// Part of a store's concurrent calls that routers may use for events.
const READER_CALL_RATIO: f64 = 0.75;
/// Time to wait before an unavailable store is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two status requests to the router that reads a store.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(600);

/// How this router monitors a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    /// It reads the store's events.
    Events,
    /// It asks the router of its zone that does.
    Peer,
}

/// Monitors the stores of the current configuration, for as long as the router runs.
pub async fn run(fleet: Arc<Fleet>, locator: Arc<PrefixLocator>, client: reqwest::Client) {
    let mut updates = fleet.subscribe();
    let mut tasks: BTreeMap<(SocketAddrV4, Source), JoinHandle<()>> = BTreeMap::new();
    loop {
        let configured = configured(&fleet);
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
                    Source::Events => tokio::spawn(read(
                        fleet.clone(),
                        locator.clone(),
                        address,
                        client.clone(),
                    )),
                    Source::Peer => tokio::spawn(ask(fleet.clone(), store)),
                });
        }
        if updates.changed().await.is_err() {
            return;
        }
    }
}

fn configured(fleet: &Fleet) -> BTreeMap<SocketAddrV4, KvStore> {
    let published = lock(&fleet.published);
    let services = published
        .configuration()
        .into_iter()
        .flat_map(|configuration| configuration.services.values());
    let stores = services.filter_map(|service| service.kv_store.clone());
    stores.map(|store| (store.address, store)).collect()
}

/// The routers that read a store: one in each zone, as far as the store's call limit allows.
fn readers(fleet: &Fleet, store: &KvStore) -> BTreeMap<CompactString, (CompactString, Member)> {
    let most = (f64::from(store.max_concurrent) * READER_CALL_RATIO) as usize;
    let directory = lock(&fleet.directory);
    let mut first: BTreeMap<CompactString, (CompactString, Member)> = BTreeMap::new();
    for (name, member) in directory
        .members()
        .filter(|(_, member)| member.status == MemberStatus::Up)
    {
        let is_first = first.get(&member.zone).is_none_or(|(other, _)| {
            rendezvous::score(&(store.address, name)) > rendezvous::score(&(store.address, other))
        });
        if is_first {
            first.insert(member.zone.clone(), (name.clone(), member.clone()));
        }
    }
    first.into_iter().take(most).collect()
}

fn source_of(fleet: &Fleet, store: &KvStore) -> Source {
    let reads = readers(fleet, store)
        .values()
        .any(|(name, _)| *name == fleet.settings.node_name);
    if reads { Source::Events } else { Source::Peer }
}

/// Asks the router that reads a store for its status, until the task is aborted.
async fn ask(fleet: Arc<Fleet>, store: KvStore) {
    loop {
        let readers = readers(&fleet, &store);
        let reader = readers
            .get(&fleet.settings.zone)
            .or(readers.values().next());
        if let Some((_, reader)) = reader {
            let request = Request::StoreStatus {
                store: store.address,
            };
            let asked = fleet
                .links
                .call(reader.internal, request, STATUS_TIMEOUT)
                .await;
            if let Some(Response::StoreStatus(Some(status))) = asked {
                fleet.stores.apply_status(store.address, status);
            }
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

/// Reads a store's events until the task is aborted, and notifies the owners in this zone of
/// evictions.
async fn read(
    fleet: Arc<Fleet>,
    locator: Arc<PrefixLocator>,
    address: SocketAddrV4,
    client: reqwest::Client,
) {
    loop {
        let heard = |page: KvEventPage| {
            fleet.stores.mark_available(address, page.epoch);
            locator.notify_store_evictions(&page.events);
        };
        if kv_events::poll(address, &client, heard).await.is_err() {
            fleet.stores.mark_unresponsive(address);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
