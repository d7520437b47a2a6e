//! The KV stores of the configuration, and whether each is available.

use crate::protocol::StoreStatus;
use crate::rendezvous;
use crate::sync::lock;
use control::configuration::KvStore;
use routing::prefix_index::PrefixKey;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Mutex;

/// Availability of a store, as far as this router knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreState {
    /// Not known yet.
    Unknown,
    /// The store does not respond.
    Unresponsive,
    /// The store responds. A new generation has lost the contents of the previous one.
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
    /// The store responsible for a prefix: one of the available ones, by rendezvous hashing.
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

    /// The status of a store, if it is known.
    pub fn status(&self, address: SocketAddrV4) -> Option<StoreStatus> {
        match lock(&self.stores).get(&address)? {
            StoreState::Unknown => None,
            StoreState::Unresponsive => Some(StoreStatus { generation: None }),
            StoreState::Available { generation } => Some(StoreStatus {
                generation: Some(*generation),
            }),
        }
    }

    /// Records a state; changes are logged.
    fn set_state(&self, address: SocketAddrV4, state: StoreState) {
        let former = lock(&self.stores).insert(address, state);
        if former != Some(state) {
            log::debug!("store {address}: {state:?}");
        }
    }

    /// Records that a store responds in a generation.
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

    /// Replaces the set of stores by that of a configuration.
    pub fn reconfigure(&self, wanted: &BTreeMap<SocketAddrV4, KvStore>) {
        let mut stores = lock(&self.stores);
        stores.retain(|address, _| wanted.contains_key(address));
        for address in wanted.keys() {
            stores.entry(*address).or_insert(StoreState::Unknown);
        }
    }
}
