//! Client of the distributed prefix index: finds the routers that own prompt prefixes, and sends
//! them lookups and notifications.

use super::kv_events::KvEvent;

use crate::clock;
use crate::fleet::{Fleet, PrefixLookup};
use crate::kv_stores::AvailableStore;
use crate::protocol::{Request, Response};
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::MemberStatus;
use routing::hash_ring::HashRing;
use routing::prefix_index::{Placement, PrefixKey, PrefixLocation};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time limit of a lookup: a small part of the time that prefill of a prefix takes.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(12);
/// Time for which an owner is skipped after it has missed the time limit.
const OWNER_BACKOFF: Millis = 400;
/// Minimum time between two rebuilds of the hash ring.
const MIN_REBUILD_INTERVAL: Millis = 200;

/// A router that may own prefixes.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Owner {
    address: SocketAddrV4,
    zone: CompactString,
}

#[derive(Default)]
struct Ring {
    owners: Arc<HashRing<Owner>>,
    built_at: Option<Millis>,
    change_count: u64,
}

/// Client of the distributed prefix index.
pub struct PrefixLocator {
    fleet: Arc<Fleet>,
    ring: Mutex<Ring>,
    backoff_until: Mutex<HashMap<SocketAddrV4, Millis>>,
}

impl PrefixLocator {
    /// Creates a locator without a ring.
    pub fn new(fleet: Arc<Fleet>) -> Arc<Self> {
        Arc::new(PrefixLocator {
            fleet,
            ring: Mutex::default(),
            backoff_until: Mutex::default(),
        })
    }

    fn owners(&self) -> Arc<HashRing<Owner>> {
        let now = clock::now();
        let mut ring = lock(&self.ring);
        let is_fresh = ring
            .built_at
            .is_some_and(|built_at| now < built_at + MIN_REBUILD_INTERVAL);
        let change_count = self.fleet.change_count();
        if !is_fresh && (ring.built_at.is_none() || change_count != ring.change_count) {
            let directory = lock(&self.fleet.directory);
            let up = directory
                .members()
                .filter(|(_, member)| member.status == MemberStatus::Up);
            let owner = |(name, member): (&'_ CompactString, &'_ control::directory::Member)| {
                let owner = Owner {
                    address: member.internal,
                    zone: member.zone.clone(),
                };
                (name.clone(), owner)
            };
            let members: Vec<(CompactString, Owner)> = up.map(owner).collect();
            let named = members
                .iter()
                .map(|(name, owner)| (name.as_str(), owner.clone()));
            ring.owners = Arc::new(HashRing::new(named));
            (ring.built_at, ring.change_count) = (Some(now), change_count);
        }
        ring.owners.clone()
    }

    fn is_local(&self, address: SocketAddrV4) -> bool {
        address == self.fleet.settings.internal_address()
    }

    /// Looks up a prefix. Returns `None` if its owner does not respond in time or is backed off.
    pub async fn look_up(&self, lookup: PrefixLookup) -> Option<PrefixLocation> {
        let owners = self.owners();
        let address = owners.owner(lookup.key.0)?.address;
        if self.is_local(address) {
            return Some(self.fleet.look_up_prefix(&lookup));
        }
        if lock(&self.backoff_until)
            .get(&address)
            .is_some_and(|until| clock::now() < *until)
        {
            return None;
        }
        let PrefixLookup {
            key,
            fallback,
            should_save,
        } = lookup;
        let request = Request::Locate {
            key,
            planned: fallback,
            should_save,
        };
        match self
            .fleet
            .links
            .call(address, request, LOOKUP_TIMEOUT)
            .await
        {
            Some(Response::Located(location)) => Some(location),
            _ => {
                lock(&self.backoff_until).insert(address, clock::now() + OWNER_BACKOFF);
                None
            }
        }
    }

    /// The available KV store that is responsible for a prefix.
    pub fn store_of(&self, key: PrefixKey) -> Option<AvailableStore> {
        self.fleet.stores.store_for(key)
    }

    /// Notifies a prefix's owner of the backend that a request goes to.
    pub fn notify_placement(&self, key: PrefixKey, placement: Placement) {
        let owners = self.owners();
        let Some(owner) = owners.owner(key.0) else {
            return;
        };
        if self.is_local(owner.address) {
            lock(&self.fleet.prefix_index).record_placement(key, &placement, clock::now());
        } else {
            self.fleet
                .links
                .send(owner.address, Request::Placed { key, placement });
        }
    }

    /// Notifies the owners of the prefixes that a backend caches. `events` are all events that the
    /// backend retains; only the last one of each prefix counts.
    pub fn notify_cached(&self, backend: &CompactString, events: &[KvEvent]) {
        let last_events = events
            .iter()
            .map(|event| ((event.key, event.version), event.is_cached));
        let last_events: BTreeMap<(PrefixKey, u64), bool> = last_events.collect();
        for ((key, version), _) in last_events.into_iter().filter(|(_, is_cached)| *is_cached) {
            let placement = Placement {
                backend: backend.clone(),
                version,
            };
            self.notify_placement(key, placement);
        }
    }

    /// Notifies the owners of prefixes that a backend evicted.
    pub fn notify_evictions(&self, backend: &CompactString, events: &[KvEvent]) {
        for (address, prefixes) in self.evictions_by_owner(events, |_| true) {
            if self.is_local(address) {
                self.fleet.record_evictions(backend, &prefixes);
            } else {
                self.fleet.links.send(
                    address,
                    Request::Evicted {
                        backend: backend.clone(),
                        prefixes,
                    },
                );
            }
        }
    }

    /// Notifies the owners in this zone of prefixes that a store evicted.
    pub fn notify_store_evictions(&self, events: &[KvEvent]) {
        let own_zone = &self.fleet.settings.zone;
        for (address, prefixes) in self.evictions_by_owner(events, |owner| owner.zone == *own_zone)
        {
            if self.is_local(address) {
                self.fleet.record_store_evictions(&prefixes);
            } else {
                self.fleet
                    .links
                    .send(address, Request::EvictedFromStore { prefixes });
            }
        }
    }

    fn evictions_by_owner(
        &self,
        events: &[KvEvent],
        is_notified: impl Fn(&Owner) -> bool,
    ) -> BTreeMap<SocketAddrV4, Vec<(PrefixKey, u64)>> {
        let owners = self.owners();
        let mut by_owner: BTreeMap<SocketAddrV4, Vec<(PrefixKey, u64)>> = BTreeMap::new();
        for event in events.iter().filter(|event| !event.is_cached) {
            if let Some(owner) = owners.owner(event.key.0).filter(|owner| is_notified(owner)) {
                by_owner
                    .entry(owner.address)
                    .or_default()
                    .push((event.key, event.version));
            }
        }
        by_owner
    }
}
