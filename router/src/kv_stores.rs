//! Availability of the KV stores in the configuration, as far as this router knows.

use crate::protocol::StoreStatus;
use crate::rendezvous;
use crate::sync::lock;
use control::configuration::KvStore;
use routing::prefix_index::PrefixKey;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Mutex;

/// Availability of one store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreState {
    /// Neither polled by this router nor reported by another one yet.
    Unknown,
    /// The store does not respond.
    Unresponsive,
    /// The store responds. It starts a new generation when it has lost its contents.
    Available { generation: u64 },
}

/// An available store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AvailableStore {
    /// Address of the store.
    pub address: SocketAddrV4,
    /// Generation of its contents.
    pub generation: u64,
}

/// Availability of the stores in the configuration.
#[derive(Default)]
pub struct KvStores {
    stores: Mutex<BTreeMap<SocketAddrV4, StoreState>>,
}

impl KvStores {
    /// The store responsible for a prefix, chosen among the available stores by rendezvous hashing.
    pub fn store_for(&self, key: PrefixKey) -> Option<AvailableStore> {
        let stores = lock(&self.stores);
        let available = stores.iter().filter_map(|(address, state)| match state {
            StoreState::Available { generation } => Some(AvailableStore {
                address: *address,
                generation: *generation,
            }),
            _ => None,
        });
        available.max_by_key(|store| rendezvous::score(&(key, store.address)))
    }

    /// The status of a store; `None` if the store or its status is unknown.
    pub fn status(&self, address: SocketAddrV4) -> Option<StoreStatus> {
        match lock(&self.stores).get(&address)? {
            StoreState::Unknown => None,
            StoreState::Unresponsive => Some(StoreStatus { generation: None }),
            StoreState::Available { generation } => Some(StoreStatus {
                generation: Some(*generation),
            }),
        }
    }

    /// Records a state, and logs it if it has changed.
    fn set_state(&self, address: SocketAddrV4, state: StoreState) {
        let previous = lock(&self.stores).insert(address, state);
        if previous != Some(state) {
            log::debug!("KV store {address} is now {state:?}");
        }
    }

    /// Records that a store responds, and its generation.
    pub fn mark_available(&self, address: SocketAddrV4, generation: u64) {
        self.set_state(address, StoreState::Available { generation });
    }

    /// Records that a store does not respond.
    pub fn mark_unresponsive(&self, address: SocketAddrV4) {
        self.set_state(address, StoreState::Unresponsive);
    }

    /// Applies the status that another router reported.
    pub fn apply_status(&self, address: SocketAddrV4, status: StoreStatus) {
        match status.generation {
            Some(generation) => self.mark_available(address, generation),
            None => self.mark_unresponsive(address),
        }
    }

    /// Adopts the stores of a configuration. Stores that were known before keep their state.
    pub fn reconfigure(&self, configured: &BTreeMap<SocketAddrV4, KvStore>) {
        let mut stores = lock(&self.stores);
        stores.retain(|address, _| configured.contains_key(address));
        for address in configured.keys() {
            stores.entry(*address).or_insert(StoreState::Unknown);
        }
    }
}
