//! The KV stores of the configuration, and whether each is available.

use crate::protocol::StoreStatus;
use crate::rendezvous;
use crate::sync::lock;
use control::configuration::KvStore;
use routing::prefix_index::PrefixKey;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Mutex;

/// Whether a store answers, and which life of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Not heard yet.
    Unknown,
    /// It does not answer.
    Silent,
    /// It answers; another generation has lost what the one before kept.
    Answering { generation: u64 },
}

/// A store that answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AvailableStore {
    /// Where it is.
    pub address: SocketAddrV4,
    /// Its life.
    pub generation: u64,
}

/// The stores of the configuration.
#[derive(Default)]
pub struct KvStores {
    stores: Mutex<BTreeMap<SocketAddrV4, State>>,
}

impl KvStores {
    /// The store that keeps a prefix: each prefix has one of those that answer.
    pub fn store_for(&self, key: PrefixKey) -> Option<AvailableStore> {
        let stores = lock(&self.stores);
        let answering = stores.iter().filter_map(|(address, state)| match state {
            State::Answering { generation } => Some(AvailableStore {
                address: *address,
                generation: *generation,
            }),
            _ => None,
        });
        answering.max_by_key(|store| rendezvous::score(&(key, store.address)))
    }

    /// What this router knows of a store.
    pub fn status(&self, address: SocketAddrV4) -> Option<StoreStatus> {
        match lock(&self.stores).get(&address)? {
            State::Unknown => None,
            State::Silent => Some(StoreStatus { generation: None }),
            State::Answering { generation } => Some(StoreStatus {
                generation: Some(*generation),
            }),
        }
    }

    /// The one place where what is known of a store changes.
    fn enter(&self, address: SocketAddrV4, state: State) {
        let former = lock(&self.stores).insert(address, state);
        if former != Some(state) {
            log::debug!("store {address}: {state:?}");
        }
    }

    /// A store answers, in this generation.
    pub fn mark_available(&self, address: SocketAddrV4, generation: u64) {
        self.enter(address, State::Answering { generation });
    }

    /// A store has stopped to answer.
    pub fn mark_unresponsive(&self, address: SocketAddrV4) {
        self.enter(address, State::Silent);
    }

    /// Takes what another router knows of a store.
    pub fn apply_status(&self, address: SocketAddrV4, status: StoreStatus) {
        match status.generation {
            Some(generation) => self.mark_available(address, generation),
            None => self.mark_unresponsive(address),
        }
    }

    /// Takes the stores of the configuration.
    pub fn reconfigure(&self, wanted: &BTreeMap<SocketAddrV4, KvStore>) {
        let mut stores = lock(&self.stores);
        stores.retain(|address, _| wanted.contains_key(address));
        for address in wanted.keys() {
            stores.entry(*address).or_insert(State::Unknown);
        }
    }
}
