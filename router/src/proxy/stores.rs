//! Stores of kept prompts: whether each answers, as the router of the zone that reads its events
//! tells.

use super::events::{self, KeptEvent};
use super::locator::Locator;
use crate::fleet::Fleet;
use crate::links::lock;
use crate::protocol::{Request, Response, StoreStatus};
use compact_str::CompactString;
use control::configuration::KvStore;
use control::directory::{Member, MemberStatus};
use routing::locations::PrefixKey;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Part of the calls that a store holds which routers use.
const READERS_SHARE: f64 = 0.75;
/// Time between two tries at a store that does not answer.
const TRY_AGAIN: Duration = Duration::from_millis(300);
/// Time between two questions to the router of the zone that reads a store.
const STATUS_PAUSE: Duration = Duration::from_millis(500);
/// Patience for that router's answer.
const STATUS_PATIENCE: Duration = Duration::from_millis(600);

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
pub struct AnsweringStore {
    /// Where it is.
    pub address: SocketAddrV4,
    /// Its life.
    pub generation: u64,
}

/// What a send tells its backend about kept prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Take missing parts from there.
    pub fetch: Option<SocketAddrV4>,
    /// Send the parts there once they are read.
    pub save: Option<SocketAddrV4>,
}

/// The stores of the configuration.
#[derive(Default)]
pub struct Stores {
    stores: Mutex<BTreeMap<SocketAddrV4, State>>,
}

impl Stores {
    /// The store that keeps a prefix: each prefix has one of those that answer.
    pub fn of(&self, key: PrefixKey) -> Option<AnsweringStore> {
        let stores = lock(&self.stores);
        let answering = stores.iter().filter_map(|(address, state)| match state {
            State::Answering { generation } => Some(AnsweringStore {
                address: *address,
                generation: *generation,
            }),
            _ => None,
        });
        answering.max_by_key(|store| place(&(key, store.address)))
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
    pub fn answers(&self, address: SocketAddrV4, generation: u64) {
        self.enter(address, State::Answering { generation });
    }

    /// A store has stopped to answer.
    pub fn is_unresponsive(&self, address: SocketAddrV4) {
        self.enter(address, State::Silent);
    }

    /// Takes what another router knows of a store.
    pub fn take_status(&self, address: SocketAddrV4, status: StoreStatus) {
        match status.generation {
            Some(generation) => self.answers(address, generation),
            None => self.is_unresponsive(address),
        }
    }

    /// Takes the stores of the configuration.
    pub fn resettle(&self, wanted: &BTreeMap<SocketAddrV4, KvStore>) {
        let mut stores = lock(&self.stores);
        stores.retain(|address, _| wanted.contains_key(address));
        for address in wanted.keys() {
            stores.entry(*address).or_insert(State::Unknown);
        }
    }
}

fn place(thing: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    thing.hash(&mut hasher);
    hasher.finish()
}

/// How this router hears of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    /// It reads the store's events.
    Reads,
    /// It asks the router of its zone that does.
    Asks,
}

/// Keeps an eye on the stores of the configuration.
pub async fn keep_watch(fleet: Arc<Fleet>, locator: Arc<Locator>, client: reqwest::Client) {
    let mut news = fleet.subscribe();
    let mut tasks: BTreeMap<(SocketAddrV4, Way), JoinHandle<()>> = BTreeMap::new();
    loop {
        let configured = configured(&fleet);
        fleet.stores.resettle(&configured);
        let wanted: BTreeMap<(SocketAddrV4, Way), KvStore> = configured
            .into_values()
            .map(|store| ((store.address, way_to(&fleet, &store)), store))
            .collect();
        tasks.retain(|key, task| {
            let is_wanted = wanted.contains_key(key);
            if !is_wanted {
                task.abort();
            }
            is_wanted
        });
        for ((address, way), store) in wanted {
            tasks.entry((address, way)).or_insert_with(|| match way {
                Way::Reads => tokio::spawn(read(
                    fleet.clone(),
                    locator.clone(),
                    address,
                    client.clone(),
                )),
                Way::Asks => tokio::spawn(ask(fleet.clone(), store)),
            });
        }
        if news.changed().await.is_err() {
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

/// The routers that read a store: one in each zone, as far as the store holds so many calls.
fn readers(fleet: &Fleet, store: &KvStore) -> BTreeMap<CompactString, (CompactString, Member)> {
    let most = (f64::from(store.max_concurrent) * READERS_SHARE) as usize;
    let directory = lock(&fleet.directory);
    let mut first: BTreeMap<CompactString, (CompactString, Member)> = BTreeMap::new();
    for (name, member) in directory
        .members()
        .filter(|(_, member)| member.status == MemberStatus::Up)
    {
        let is_first = first.get(&member.zone).is_none_or(|(other, _)| {
            place(&(store.address, name)) > place(&(store.address, other))
        });
        if is_first {
            first.insert(member.zone.clone(), (name.clone(), member.clone()));
        }
    }
    first.into_iter().take(most).collect()
}

fn way_to(fleet: &Fleet, store: &KvStore) -> Way {
    let reads = readers(fleet, store)
        .values()
        .any(|(name, _)| *name == fleet.settings.node_name);
    if reads { Way::Reads } else { Way::Asks }
}

/// Asks the router that reads a store whether it answers, for as long as it is wanted.
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
                .ask(reader.internal, request, STATUS_PATIENCE)
                .await;
            if let Some(Response::StoreStatus(Some(status))) = asked {
                fleet.stores.take_status(store.address, status);
            }
        }
        tokio::time::sleep(STATUS_PAUSE).await;
    }
}

/// Reads one store's events for as long as it is wanted, and tells the owners in this zone what has
/// given way.
async fn read(
    fleet: Arc<Fleet>,
    locator: Arc<Locator>,
    address: SocketAddrV4,
    client: reqwest::Client,
) {
    loop {
        let heard = |generation: u64, events: Vec<KeptEvent>| {
            fleet.stores.answers(address, generation);
            locator.tell_evicted_from_store(&events);
        };
        if events::follow(address, &client, heard).await.is_err() {
            fleet.stores.is_unresponsive(address);
        }
        tokio::time::sleep(TRY_AGAIN).await;
    }
}
