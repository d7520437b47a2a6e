//! Stores of kept prompts: what they hold, as far as their events tell, and when backends take from them or save there.

use crate::clock;
use crate::fleet::Fleet;
use crate::links::lock;
use crate::protocol::{KeptNews, Request, Response};
use compact_str::CompactString;
use control::Millis;
use control::configuration::KvStore;
use control::directory::{Member, MemberStatus};
use routing::index::HolderIndex;
use routing::prompt::{Part, Prompt};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
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
/// Events that are kept for routers which ask.
const EVENTS_KEPT: usize = 2_048;
/// Time between two questions to a router that reads a store.
const RELAY_PAUSE: Duration = Duration::from_millis(500);
/// Salts and parts that are remembered as being saved.
const SAVES_KEPT: usize = 4_096;

/// A store as this router sees it.
#[derive(Debug)]
struct Store {
    address: SocketAddrV4,
    /// Whether this router reads its events; others ask one that does.
    reads: bool,
    /// Whether the index says what it keeps.
    is_known: bool,
    /// Whether it answers, as far as this router can tell.
    answers: bool,
    index: HolderIndex,
    log: EventLog,
    saving: HashMap<(CompactString, CompactString), Millis>,
}

/// The last events of one reading, for routers that do not read the store themselves.
#[derive(Debug, Default)]
struct EventLog {
    generation: u64,
    last: u64,
    events: VecDeque<KeptPart>,
}

/// Salt, part and its tokens; 0 tokens where it is kept no more.
pub type KeptPart = (CompactString, CompactString, u64);

impl EventLog {
    fn begin(&mut self) {
        *self = EventLog { generation: fastrand::u64(1..), ..EventLog::default() };
    }

    fn push(&mut self, part: KeptPart) {
        self.last += 1;
        self.events.push_back(part);
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// The events behind one; none where some of them are not kept any more.
    fn since(&self, generation: u64, since: u64) -> Option<Vec<KeptPart>> {
        let behind = self.last.checked_sub(since)? as usize;
        if generation != self.generation || behind > self.events.len() {
            return None;
        }
        Some(self.events.iter().skip(self.events.len() - behind).cloned().collect())
    }
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
        let answering = stores.values().filter(|store| store.answers && store.is_known);
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
        let fetch = (held > 0 || !store.is_known).then_some(store.address);
        // A save brings the whole prompt to the store, and what nobody asks for again makes other parts give way.
        let worthwhile = (whole - held) as f64 >= SAVE_SHARE * prompt.tokens_in as f64;
        let save = (store.is_known && worthwhile && store.begin_save(salt, shared)).then_some(store.address);
        Transfer { fetch, save, held }
    }

    /// What a router lacks that knows a reading up to some event.
    pub fn news(&self, address: SocketAddrV4, generation: u64, since: u64) -> Option<KeptNews> {
        let stores = lock(&self.stores);
        let store = stores.get(&address).filter(|store| store.reads && store.is_known)?;
        let (generation_now, next) = (store.log.generation, store.log.last);
        let (whole, parts) = match store.log.since(generation, since) {
            Some(parts) => (false, parts),
            None => {
                let all = store.index.entries();
                (true, all.map(|(salt, id, tokens)| (salt.into(), id.into(), tokens)).collect())
            }
        };
        Some(KeptNews { generation: generation_now, next, whole, parts })
    }

    /// Takes the stores of the configuration.
    pub fn resettle(&self, wanted: &BTreeMap<SocketAddrV4, KvStore>, reads: impl Fn(&KvStore) -> bool) {
        let mut stores = lock(&self.stores);
        stores.retain(|address, _| wanted.contains_key(address));
        for (address, store) in wanted {
            let reads = reads(store);
            let entry = stores.entry(*address).or_insert_with(|| Store {
                address: *address,
                reads,
                is_known: false,
                answers: !reads,
                index: HolderIndex::new(store.kv_capacity),
                log: EventLog::default(),
                saving: HashMap::new(),
            });
            if entry.reads != reads {
                entry.reads = reads;
                entry.is_known = false;
                entry.answers = !reads;
                entry.index.clear();
            }
        }
    }

    /// The store's list was read: what it keeps now.
    pub fn begin_reading(&self, address: SocketAddrV4, kept: impl IntoIterator<Item = KeptPart>) {
        self.with(address, |store| {
            store.index.clear();
            kept.into_iter().for_each(|(salt, id, tokens)| store.index.told(&salt, &id, tokens));
            store.log.begin();
            store.is_known = true;
            store.answers = true;
        });
    }

    /// The store's events were read.
    pub fn take_events(&self, address: SocketAddrV4, events: impl IntoIterator<Item = KeptPart>) {
        self.with(address, |store| {
            for (salt, id, tokens) in events {
                store.index.told(&salt, &id, tokens);
                store.log.push((salt, id, tokens));
            }
        });
    }

    /// Takes what a router that reads the store says.
    pub fn take_news(&self, address: SocketAddrV4, news: KeptNews) {
        self.with(address, |store| store.take(news));
    }

    fn with(&self, address: SocketAddrV4, change: impl FnOnce(&mut Store)) {
        if let Some(store) = lock(&self.stores).get_mut(&address) {
            change(store);
        }
    }
}

impl Store {
    /// Takes what a router that reads the store's events says.
    fn take(&mut self, news: KeptNews) {
        if news.whole {
            self.index.clear();
        }
        news.parts.iter().for_each(|(salt, id, tokens)| self.index.told(salt, id, *tokens));
        self.is_known = true;
    }

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

/// Keeps the stores of the configuration read, here or by way of a router that reads them.
pub async fn keep_reading(stores: Arc<Stores>, fleet: Arc<Fleet>, client: reqwest::Client) {
    let mut news = fleet.subscribe();
    let mut tasks: BTreeMap<(SocketAddrV4, bool), JoinHandle<()>> = BTreeMap::new();
    loop {
        let wanted = configured(&fleet);
        stores.resettle(&wanted, |store| is_reader(&fleet, store));
        let kept: BTreeMap<(SocketAddrV4, bool), KvStore> =
            wanted.into_values().map(|store| ((store.address, is_reader(&fleet, &store)), store)).collect();
        tasks.retain(|key, task| {
            let is_kept = kept.contains_key(key);
            if !is_kept {
                task.abort();
            }
            is_kept
        });
        for ((address, reads), store) in kept {
            tasks.entry((address, reads)).or_insert_with(|| {
                if reads {
                    tokio::spawn(read(stores.clone(), address, client.clone()))
                } else {
                    tokio::spawn(ask_readers(stores.clone(), fleet.clone(), store))
                }
            });
        }
        if news.changed().await.is_err() {
            return;
        }
    }
}

fn configured(fleet: &Fleet) -> BTreeMap<SocketAddrV4, KvStore> {
    let published = lock(&fleet.published);
    let services =
        published.configuration().into_iter().flat_map(|configuration| configuration.services.values());
    let stores = services.filter_map(|service| service.kv_store.clone());
    stores.map(|store| (store.address, store)).collect()
}

/// Routers in an order that differs by store. A store holds few calls at once, so only the first of them read it.
fn readers(fleet: &Fleet, store: &KvStore) -> Vec<(CompactString, Member)> {
    let most = (f64::from(store.max_concurrent) * READERS_SHARE) as usize;
    let place = |name: &str| {
        let mut hasher = DefaultHasher::new();
        (store.address, name).hash(&mut hasher);
        hasher.finish()
    };
    let directory = lock(&fleet.directory);
    let mut members: Vec<(CompactString, Member)> =
        directory.members().map(|(name, member)| (name.clone(), member.clone())).collect();
    members.sort_by_key(|(name, _)| place(name));
    members.truncate(most);
    members
}

fn is_reader(fleet: &Fleet, store: &KvStore) -> bool {
    readers(fleet, store).iter().any(|(name, _)| *name == fleet.settings.node_name)
}

/// Asks routers that read a store what it keeps, for as long as it is wanted.
async fn ask_readers(stores: Arc<Stores>, fleet: Arc<Fleet>, store: KvStore) {
    let (mut generation, mut since) = (0, 0);
    let mut turn = 0;
    loop {
        let mut readers = readers(&fleet, &store);
        readers.retain(|(_, member)| member.status == MemberStatus::Up);
        // Those of the own zone, and among them others in turn where one does not answer.
        readers.sort_by_key(|(_, member)| member.zone != fleet.settings.zone);
        let near = readers.iter().filter(|(_, member)| member.zone == fleet.settings.zone).count();
        let choices = if near > 0 && turn < near { near } else { readers.len() };
        let news = match readers.get(turn % choices.max(1)) {
            Some((_, reader)) => {
                let request = Request::Kept { store: store.address, generation, since };
                match fleet.links.ask(reader.internal, request, CALL_PATIENCE).await {
                    Some(Response::Kept(news)) => news,
                    _ => None,
                }
            }
            None => None,
        };
        match news {
            Some(news) => {
                (generation, since) = (news.generation, news.next);
                stores.take_news(store.address, news);
            }
            None => {
                (generation, since) = (0, 0);
                turn += 1;
                stores.with(store.address, |store| store.is_known = false);
            }
        }
        tokio::time::sleep(RELAY_PAUSE).await;
    }
}

/// Reads one store's events for as long as it is wanted.
async fn read(stores: Arc<Stores>, address: SocketAddrV4, client: reqwest::Client) {
    loop {
        let told = follow(&stores, address, &client).await;
        if told.is_none() {
            stores.with(address, |store| {
                store.answers = false;
                store.is_known = false;
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
    stores.begin_reading(address, held.held.into_iter().map(|(salt, id, tokens, _)| (salt, id, tokens)));
    let (epoch, mut since) = (held.epoch, held.next_page_token);
    loop {
        let told: Events = call(client, format!("http://{address}/v1/kv-events?since={since}")).await?;
        if told.epoch != epoch || told.lost {
            return Some(());
        }
        since = told.next_page_token;
        // What is left of a part that gives way in pieces is told with its removal.
        let parts = told.events.into_iter().map(|(_, _, salt, id, tokens, _)| (salt, id, tokens));
        stores.take_events(address, parts);
        tokio::time::sleep(EVENTS_PAUSE).await;
    }
}
