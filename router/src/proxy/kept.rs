//! Reading what backends keep: each backend's events are read by one router of its zone, which
//! tells the owners of prefixes what has given way.

use super::events;
use super::locator::Locator;
use crate::fleet::Fleet;
use crate::links::lock;
use compact_str::CompactString;
use control::directory::{BackendPhase, MemberStatus};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Time between two looks at which backends this router reads.
const LOOK: Duration = Duration::from_millis(1_000);
/// Time between two tries at a backend that does not answer.
const TRY_AGAIN: Duration = Duration::from_millis(1_000);

/// Keeps reading the backends that fall to this router.
pub async fn keep_reading(fleet: Arc<Fleet>, locator: Arc<Locator>, client: reqwest::Client) {
    let mut tasks: BTreeMap<CompactString, JoinHandle<()>> = BTreeMap::new();
    let mut seen = None;
    loop {
        tokio::time::sleep(LOOK).await;
        if seen.replace(fleet.changes()) == Some(fleet.changes()) {
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

/// The backends with engines whose events this router reads: each has one reader among the routers
/// of its zone.
fn assigned(fleet: &Fleet) -> BTreeMap<CompactString, SocketAddrV4> {
    let directory = lock(&fleet.directory);
    let up: Vec<(&CompactString, &CompactString)> = directory
        .members()
        .filter(|(_, member)| member.status == MemberStatus::Up)
        .map(|(name, member)| (name, &member.zone))
        .collect();
    let is_assigned = |id: &CompactString, zone: &CompactString| {
        let near = up.iter().filter(|(_, other)| *other == zone);
        let reader = near.max_by_key(|(name, _)| place(&(id, name)));
        let reader = reader.or_else(|| up.iter().max_by_key(|(name, _)| place(&(id, name))));
        reader.is_some_and(|(name, _)| **name == fleet.settings.node_name)
    };
    let readable = directory.backends().filter(|(_, backend)| {
        backend.phase == BackendPhase::Ready && !backend.unresponsive && !backend.models.is_empty()
    });
    let own = readable.filter(|(id, backend)| is_assigned(id, &backend.zone));
    own.map(|(id, backend)| (id.clone(), backend.address))
        .collect()
}

fn place(thing: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    thing.hash(&mut hasher);
    hasher.finish()
}

async fn read(
    locator: Arc<Locator>,
    id: CompactString,
    address: SocketAddrV4,
    client: reqwest::Client,
) {
    loop {
        let ended = events::follow(address, &client, |_, events| {
            locator.tell_evicted(&id, &events)
        })
        .await;
        if let Err(problem) = ended {
            log::debug!("events of backend {id}: {problem}");
        }
        tokio::time::sleep(TRY_AGAIN).await;
    }
}
