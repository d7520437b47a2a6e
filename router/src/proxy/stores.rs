//! Stores of kept prompts: what they hold, as far as their events tell, and when backends take from them or save there.

use crate::clock;
use crate::fleet::Fleet;
use crate::links::lock;
use compact_str::CompactString;
use control::Millis;
use control::configuration::KvStore;
use routing::index::HolderIndex;
use routing::prompt::{Part, Prompt};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// How long a call for events may be held by a store.
const EVENTS_WAIT: Duration = Duration::from_millis(1_000);
/// Events that come one by one are taken together after this.
const EVENTS_PAUSE: Duration = Duration::from_millis(200);
/// Patience beyond the time that a call may be held.
const CALL_PATIENCE: Duration = Duration::from_millis(600);
/// Time between two tries at a store that does not answer.
const TRY_AGAIN: Duration = Duration::from_millis(300);
/// Part of the calls that a store holds which routers use.
const READERS_SHARE: f64 = 0.75;
/// A part that was to be saved is not saved again within this.
const SAVE_AGAIN: Millis = 2_500;
/// A prompt is saved where the store lacks so much of it that others may ask for.
const SAVE_SHARE: f64 = 0.25;
/// Salts and parts that are remembered as being saved.
const SAVES_KEPT: usize = 4_096;

/// A store as this router sees it.
#[derive(Debug)]
struct Store {
    address: SocketAddrV4,
    /// Whether this router reads its events.
    reads: bool,
    /// Whether it answers; always true where this router does not read.
    answers: bool,
    index: HolderIndex,
    saving: HashMap<(CompactString, CompactString), Millis>,
}

/// What a send tells its backend about stores.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Take missing parts from there.
    pub fetch: Option<SocketAddrV4>,
    /// Send the parts there once they are read.
    pub save: Option<SocketAddrV4>,
    /// Tokens of the prompt that the store is known to hold.
    pub held: u64,
}

/// The stores of the configuration.
#[derive(Default)]
pub struct Stores {
    stores: Mutex<BTreeMap<SocketAddrV4, Store>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Events {
    epoch: u64,
    next_page_token: u64,
    #[serde(default)]
    lost: bool,
    #[serde(default)]
    events: Vec<(u64, CompactString, CompactString, CompactString, u64, CompactString)>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Held {
    epoch: u64,
    next_page_token: u64,
    #[serde(default)]
    held: Vec<(CompactString, CompactString, u64, CompactString)>,
}

impl Stores {
    /// Tokens of a prompt that some store is known to hold.
    pub fn held_tokens(&self, salt: &str, prompt: &Prompt) -> u64 {
        let stores = lock(&self.stores);
        let answering = stores.values().filter(|store| store.answers && store.reads);
        answering.map(|store| store.index.kept_tokens(salt, prompt.shared())).max().unwrap_or(0)
    }

    /// What a send under this salt is to tell its backend.
    pub fn transfer(&self, salt: &str, prompt: &Prompt) -> Transfer {
        let mut stores = lock(&self.stores);
        let shared = prompt.shared();
        let answering = stores.values_mut().filter(|store| store.answers);
        let best = answering.max_by_key(|store| store.index.kept_tokens(salt, shared));
        let Some(store) = best.filter(|_| !shared.is_empty()) else { return Transfer::default() };
        let held = store.index.kept_tokens(salt, shared);
        let whole: u64 = shared.iter().map(|part| part.tokens).sum();
        let fetch = (held > 0 || !store.reads).then_some(store.address);
        // A save brings the whole prompt to the store, and what nobody asks for again makes other parts give way.
        let worthwhile = (whole - held) as f64 >= SAVE_SHARE * prompt.tokens_in as f64;
        let save = (store.reads && worthwhile && store.begin_save(salt, shared)).then_some(store.address);
        Transfer { fetch, save, held }
    }

    /// Takes the stores of the configuration.
    fn resettle(&self, wanted: &BTreeMap<SocketAddrV4, KvStore>, reads: impl Fn(&KvStore) -> bool) {
        let mut stores = lock(&self.stores);
        stores.retain(|address, _| wanted.contains_key(address));
        for (address, store) in wanted {
            let reads = reads(store);
            let entry = stores.entry(*address).or_insert_with(|| Store {
                address: *address,
                reads,
                answers: !reads,
                index: HolderIndex::new(store.kv_capacity),
                saving: HashMap::new(),
            });
            if entry.reads != reads {
                entry.reads = reads;
                entry.answers = !reads;
                entry.index.clear();
            }
        }
    }

    fn with(&self, address: SocketAddrV4, change: impl FnOnce(&mut Store)) {
        if let Some(store) = lock(&self.stores).get_mut(&address) {
            change(store);
        }
    }
}

impl Store {
    /// Whether parts that the store lacks are to be saved now: nobody here has just had them saved.
    fn begin_save(&mut self, salt: &str, shared: &[Part]) -> bool {
        let now = clock::now();
        if self.saving.len() > SAVES_KEPT {
            self.saving.retain(|_, until| now < *until);
        }
        let lacking = shared
            .iter()
            .filter(|part| self.index.kept_tokens(salt, std::slice::from_ref(part)) < part.tokens);
        let keys: Vec<_> = lacking.map(|part| (CompactString::from(salt), part.id.clone())).collect();
        if keys.iter().all(|key| self.saving.get(key).is_some_and(|until| now < *until)) {
            return false;
        }
        self.saving.extend(keys.into_iter().map(|key| (key, now + SAVE_AGAIN)));
        true
    }
}

/// Keeps the stores of the configuration read.
pub async fn keep_reading(stores: Arc<Stores>, fleet: Arc<Fleet>, client: reqwest::Client) {
    let mut news = fleet.subscribe();
    let mut readers: BTreeMap<SocketAddrV4, JoinHandle<()>> = BTreeMap::new();
    loop {
        let wanted = configured(&fleet);
        stores.resettle(&wanted, |store| is_reader(&fleet, store));
        let reading: Vec<SocketAddrV4> =
            wanted.values().filter(|store| is_reader(&fleet, store)).map(|store| store.address).collect();
        readers.retain(|address, task| {
            let kept = reading.contains(address);
            if !kept {
                task.abort();
            }
            kept
        });
        for address in reading {
            readers
                .entry(address)
                .or_insert_with(|| tokio::spawn(read(stores.clone(), address, client.clone())));
        }
        if news.changed().await.is_err() {
            return;
        }
    }
}

fn configured(fleet: &Fleet) -> BTreeMap<SocketAddrV4, KvStore> {
    let published = lock(&fleet.published);
    let services = published.configuration().into_iter().flat_map(|loaded| loaded.parsed.services.values());
    let stores = services.filter_map(|service| service.kv_store.clone());
    stores.map(|store| (store.address, store)).collect()
}

/// A store holds few calls at once, so only some routers read it: the first in an order that differs by store.
fn is_reader(fleet: &Fleet, store: &KvStore) -> bool {
    let most = (f64::from(store.max_concurrent) * READERS_SHARE) as usize;
    let place = |name: &str| {
        let mut hasher = DefaultHasher::new();
        (store.address, name).hash(&mut hasher);
        hasher.finish()
    };
    let own = place(&fleet.settings.node_name);
    let directory = lock(&fleet.directory);
    let before = directory.members().filter(|(name, _)| place(name) < own).count();
    before < most
}

/// Reads one store's events for as long as it is wanted.
async fn read(stores: Arc<Stores>, address: SocketAddrV4, client: reqwest::Client) {
    loop {
        let told = follow(&stores, address, &client).await;
        if told.is_none() {
            stores.with(address, |store| {
                store.answers = false;
                store.index.clear();
            });
        }
        tokio::time::sleep(TRY_AGAIN).await;
    }
}

async fn call<T: serde::de::DeserializeOwned>(client: &reqwest::Client, url: String) -> Option<T> {
    let wait = EVENTS_WAIT.as_millis().to_string();
    let asked =
        client.get(url).header("wait-ms", wait).timeout(EVENTS_WAIT + CALL_PATIENCE).send().await.ok()?;
    if !asked.status().is_success() {
        return None;
    }
    serde_json::from_slice(&asked.bytes().await.ok()?).ok()
}

/// Takes the whole list, then events from there on. None where the store stops answering.
async fn follow(stores: &Stores, address: SocketAddrV4, client: &reqwest::Client) -> Option<()> {
    let held: Held = call(client, format!("http://{address}/v1/kv-list")).await?;
    stores.with(address, |store| {
        store.index.clear();
        held.held.iter().for_each(|(salt, id, tokens, _)| store.index.told(salt, id, *tokens));
        store.answers = true;
    });
    let (epoch, mut since) = (held.epoch, held.next_page_token);
    loop {
        let told: Events = call(client, format!("http://{address}/v1/kv-events?since={since}")).await?;
        if told.epoch != epoch || told.lost {
            return Some(());
        }
        since = told.next_page_token;
        stores.with(address, |store| {
            for (_, sign, salt, id, tokens, _) in &told.events {
                // What is left of a part that gives way in pieces is told with its removal.
                let _ = sign;
                store.index.told(salt, id, *tokens);
            }
        });
        tokio::time::sleep(EVENTS_PAUSE).await;
    }
}
