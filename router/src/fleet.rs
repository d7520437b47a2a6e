//! What a router knows of its fleet, and how it gets to know it: pulls by version vectors, and member heartbeats.

use crate::clock;
use crate::disk::Known;
use crate::links::{Answer, Links, Service, lock};
use crate::protocol::{MOST_HOPS, PullRequest, Pulled, Request, Response};
use crate::proxy::locator::Question;
use crate::proxy::stores::Stores;
use crate::published::Published;
use crate::replica::ReplicaHandle;
use crate::settings::Settings;
use compact_str::CompactString;
use control::Millis;
use control::changes::{Change, Outcome};
use control::digest::Digests;
use control::directory::{Backend, BackendPhase, Directory, Key, Member, MemberStatus, Origin, Value};
use control::silence::Silence;
use control::view::{Epoch, ReplicaId};
use routing::locations::Locations;
use std::collections::BTreeSet;
use std::future::Future;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Semaphore, watch};

/// How long a pull may wait for news.
pub const PULL_WAIT: Duration = Duration::from_millis(1_500);
/// An answer with news is late after this, beyond the time that it may wait for them.
const NEWS_PATIENCE: Duration = Duration::from_millis(900);
/// The same for an answer with everything.
const WHOLE_PATIENCE: Duration = Duration::from_millis(4_000);
/// A late answer is given up after this. A connection whose other end has gone breaks sooner.
const ANSWER_PATIENCE: Duration = Duration::from_millis(5_000);
/// News that come one by one are taken together where the asker holds no replica: for so long a member of the fleet, so that
/// large fleets are not told of each backend by an answer of its own, and at the most for this long.
const GATHER_EACH: Duration = Duration::from_micros(500);
const LONGEST_GATHER: Duration = Duration::from_millis(250);
/// Kilobytes of answers with everything that are in memory at once.
const WHOLE_ANSWERS_KB: u32 = 8 << 10;
/// A record takes about so many bytes in an answer.
const RECORD_BYTES: usize = 200;
/// How long one try to reach a node with a replica may take.
const FORWARD_PATIENCE: Duration = Duration::from_millis(900);
/// How long an acknowledgement of a draining backend waits for another node to know of it.
const DRAIN_SPREAD: Duration = Duration::from_millis(300);

/// A monitored member with its incarnation: after it was taken for down and came back, its silence is counted anew.
pub type MonitoredLife = (CompactString, u64);

/// What came of a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pull {
    /// There was an answer.
    Answered,
    /// There was none in time, or the connection broke.
    Failed,
}

/// The shared state of a router.
pub struct Fleet {
    /// The settings of the process.
    pub settings: Arc<Settings>,
    /// Connections to other routers.
    pub links: Links,
    /// Soft state.
    pub directory: Mutex<Directory>,
    /// Durable state, as committed.
    pub published: Mutex<Published>,
    /// Stores of kept prompts.
    pub stores: Stores,
    /// Where the shared starts of prompts are kept that this router owns.
    pub locations: Mutex<Locations>,
    /// The replica that this node runs, if any.
    pub replica: Option<ReplicaHandle>,
    /// This process's own life.
    pub life: u64,
    /// Members whose heartbeats this node receives.
    pub monitored: Mutex<Silence<MonitoredLife>>,
    heard_backends: Mutex<Silence<CompactString>>,
    leader: Mutex<Option<(Epoch, ReplicaId)>>,
    leaving: AtomicBool,
    news: watch::Sender<u64>,
    spread: watch::Sender<u64>,
    whole_answers: Arc<Semaphore>,
}

impl Fleet {
    /// A router that knows nothing yet.
    pub fn new(settings: Arc<Settings>, replica: Option<ReplicaHandle>, life: u64) -> Arc<Self> {
        let now = clock::now();
        let fleet = Fleet {
            links: Links::default(),
            directory: Mutex::new(Directory::new(Origin(life))),
            published: Mutex::new(Published::default()),
            stores: Stores::default(),
            locations: Mutex::default(),
            replica,
            life,
            monitored: Mutex::new(Silence::new(now)),
            heard_backends: Mutex::new(Silence::new(now)),
            leader: Mutex::new(None),
            leaving: AtomicBool::new(false),
            news: watch::Sender::new(0),
            spread: watch::Sender::new(0),
            whole_answers: Arc::new(Semaphore::new(WHOLE_ANSWERS_KB as usize)),
            settings,
        };
        let fleet = Arc::new(fleet);
        fleet.put(Key::Member(fleet.settings.node_name.clone()), Value::Member(fleet.own_member(1)));
        fleet
    }

    /// Is told whenever anything has changed.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Tells that something has changed.
    pub fn announce(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Rises with every change.
    pub fn changes(&self) -> u64 {
        *self.news.borrow()
    }

    /// Takes what was known when this node's former process ended. Heartbeats that come since are newer.
    pub fn restore(&self, known: Known) {
        for (key, value) in known {
            if key == Key::Member(self.settings.node_name.clone()) {
                continue;
            }
            if let Key::Backend(id) = &key {
                lock(&self.heard_backends).heard(id.clone());
            }
            self.put(key, value);
        }
    }

    /// What this node is.
    fn own_member(&self, incarnation: u64) -> Member {
        Member {
            zone: self.settings.zone.clone(),
            internal: self.settings.internal_address(),
            control: self.settings.listen.control_plane,
            replica: self.replica.as_ref().map(|replica| replica.id.clone()),
            life: self.life,
            incarnation,
            status: if self.leaving.load(Ordering::Relaxed) { MemberStatus::Left } else { MemberStatus::Up },
        }
    }

    /// The process is about to end.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.announce();
    }

    /// Whether the process is about to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Writes a record of this node's own.
    pub fn put(&self, key: Key, value: Value) -> bool {
        let changed = lock(&self.directory).put(key, value);
        if changed {
            self.announce();
        }
        changed
    }

    /// The newest primary that this node has heard of.
    pub fn leader(&self) -> Option<(Epoch, ReplicaId)> {
        lock(&self.leader).clone()
    }

    /// Takes news of who is primary.
    pub fn hear_of_leader(&self, leader: Option<(Epoch, ReplicaId)>) {
        let mut known = lock(&self.leader);
        let newer = |(epoch, _): &(Epoch, ReplicaId)| known.as_ref().is_none_or(|known| *epoch > known.0);
        if let Some(leader) = leader.filter(newer) {
            *known = Some(leader);
            drop(known);
            self.announce();
        }
    }

    /// Members that hold replicas and are not known to have left, with whether they are thought to be up.
    pub fn replica_members(&self) -> Vec<(CompactString, Member)> {
        let directory = lock(&self.directory);
        let members = directory.members().filter(|(_, member)| member.replica.is_some());
        members.map(|(name, member)| (name.clone(), member.clone())).collect()
    }

    /// How many members take traffic, this one included.
    pub fn members_up(&self) -> usize {
        let directory = lock(&self.directory);
        directory.members().filter(|(_, member)| member.status == MemberStatus::Up).count().max(1)
    }

    // ---- pulls ---------------------------------------------------------------------------------------------

    fn pull_request(&self, wait: Duration) -> PullRequest {
        let directory = lock(&self.directory);
        let published = lock(&self.published);
        let own = directory.get(&Key::Member(self.settings.node_name.clone()));
        let incarnation = match own {
            Some(Value::Member(member))
                if member.life != self.life || member.status == MemberStatus::Down =>
            {
                member.incarnation + 1
            }
            Some(Value::Member(member)) => member.incarnation,
            _ => 1,
        };
        PullRequest {
            name: self.settings.node_name.clone(),
            member: self.own_member(incarnation),
            vector: directory.vector().clone(),
            position: published.position(),
            base: published.base(),
            epoch: lock(&self.leader).as_ref().map_or(0, |leader| leader.0),
            wait_ms: wait.as_millis() as u64,
            missing: self.missing_members(&directory),
        }
    }

    /// Members that this node monitors and does not hear.
    pub fn missing(&self) -> Vec<(CompactString, u64)> {
        self.missing_members(&lock(&self.directory))
    }

    fn missing_members(&self, directory: &Directory) -> Vec<(CompactString, u64)> {
        let silent = lock(&self.monitored).silent_for(MEMBER_PATIENCE);
        let is_up = |(name, incarnation): &MonitoredLife| match directory.get(&Key::Member(name.clone())) {
            Some(Value::Member(member)) => {
                member.status == MemberStatus::Up && member.incarnation == *incarnation
            }
            _ => false,
        };
        silent.into_iter().filter(is_up).collect()
    }

    /// Asks one node for news once. `is_late` is called where the answer does not come when it should; it is waited for a
    /// while longer, as asking again would only add to what is queued.
    pub async fn pull(&self, from: SocketAddrV4, wait: Duration, is_late: impl FnOnce()) -> Pull {
        let request = self.pull_request(wait);
        // Whoever has nothing yet gets everything, and many may ask for that at once.
        let patience = if request.base.is_none() { WHOLE_PATIENCE } else { NEWS_PATIENCE };
        let asked = self.links.ask(from, Request::Pull(request), wait + ANSWER_PATIENCE);
        tokio::pin!(asked);
        let response = match tokio::time::timeout(wait + patience, &mut asked).await {
            Ok(response) => response,
            Err(_) => {
                is_late();
                asked.await
            }
        };
        let Some(Response::Pulled(pulled)) = response else { return Pull::Failed };
        let changed = lock(&self.directory).merge(pulled.records, &pulled.vector);
        let news = pulled.state.is_some_and(|state| lock(&self.published).take(state));
        self.hear_of_leader(pulled.leader);
        if !changed.is_empty() || news {
            self.announce();
        }
        Pull::Answered
    }

    /// Answers a pull as soon as there is news for the asker. Answers with everything are large, and many routers may ask for
    /// one at the same time: only a few of them are in memory at once.
    async fn answer_pull(&self, request: PullRequest) -> Answer {
        self.take_member(&request);
        let mut news = self.subscribe();
        // Whoever asks with a vector has what this node wrote up to there.
        let knows = request.vector.get(&Origin(self.life)).copied().unwrap_or(0);
        if request.member.replica.is_some() {
            self.spread.send_modify(|spread| *spread = (*spread).max(knows));
        }
        let wait = tokio::time::sleep(Duration::from_millis(request.wait_ms));
        tokio::pin!(wait);
        loop {
            if self.has_news_for(&request) {
                break;
            }
            tokio::select! {
                () = &mut wait => break,
                changed = news.changed() => if changed.is_err() { break },
            }
            if request.member.replica.is_none() && self.has_news_for(&request) {
                let members = u32::try_from(self.members_up()).unwrap_or(u32::MAX);
                tokio::time::sleep(GATHER_EACH.saturating_mul(members).min(LONGEST_GATHER)).await;
            }
        }
        let permit = if self.wants_everything(&request) {
            let kilobytes = self.whole_answer_kb();
            // The semaphore is never closed.
            self.whole_answers.clone().acquire_many_owned(kilobytes).await.ok()
        } else {
            None
        };
        let directory = lock(&self.directory);
        let pulled = Pulled {
            records: directory.news_for(&request.vector),
            vector: directory.vector().clone(),
            state: lock(&self.published).news_for(request.position, request.base),
            leader: self.leader(),
        };
        Answer { response: Response::Pulled(Box::new(pulled)), permit }
    }

    /// Whether the answer to a pull holds all members and backends, or a whole configuration.
    fn wants_everything(&self, request: &PullRequest) -> bool {
        let knows_some = !request.vector.is_empty();
        let lacks_configuration = request.base.is_none() && lock(&self.published).version().is_some();
        lacks_configuration || !knows_some
    }

    /// About how many kilobytes an answer with everything takes.
    fn whole_answer_kb(&self) -> u32 {
        let records = lock(&self.directory).len() * RECORD_BYTES;
        let bytes = records + lock(&self.published).text_bytes();
        u32::try_from(1 + bytes / 1024).unwrap_or(u32::MAX).min(WHOLE_ANSWERS_KB)
    }

    fn has_news_for(&self, request: &PullRequest) -> bool {
        lock(&self.directory).has_news_for(&request.vector)
            || lock(&self.published).position().index > request.position.index
            || self.leader().is_some_and(|(epoch, _)| epoch > request.epoch)
    }

    /// Notes the asker as a member, and the members that it misses as down.
    fn take_member(&self, request: &PullRequest) {
        let key = Key::Member(request.name.clone());
        let held = match lock(&self.directory).get(&key) {
            Some(Value::Member(member)) => Some(member.clone()),
            _ => None,
        };
        let mut member = request.member.clone();
        if let Some(held) = &held {
            let same = held.life == member.life && held.status == member.status;
            let refutes = held.life != member.life || held.status == MemberStatus::Down;
            member.incarnation = match (same, refutes) {
                (true, _) => held.incarnation,
                (_, true) => held.incarnation.max(member.incarnation - 1) + 1,
                _ => held.incarnation,
            };
        }
        if held.as_ref() != Some(&member) {
            self.put(key, Value::Member(member));
        }
        for (name, incarnation) in &request.missing {
            self.mark_down(name, *incarnation);
        }
    }

    /// A monitor misses a member.
    pub fn mark_down(&self, name: &CompactString, incarnation: u64) {
        let key = Key::Member(name.clone());
        let held = match lock(&self.directory).get(&key) {
            Some(Value::Member(member)) => member.clone(),
            _ => return,
        };
        if held.incarnation == incarnation && held.status == MemberStatus::Up {
            log::info!("member {name} is down: a monitor misses its heartbeats");
            self.put(key, Value::Member(Member { status: MemberStatus::Down, ..held }));
        }
    }

    // ---- backends ------------------------------------------------------------------------------------------

    /// Takes a backend's heartbeat or end, here or at a node with a replica. The value says whether it is
    /// acknowledged, and where later heartbeats should go.
    pub async fn register(&self, id: CompactString, backend: Backend) -> Option<Option<SocketAddrV4>> {
        if self.replica.is_some() && !self.is_leaving() {
            return Some(self.take_backend(id, backend).await);
        }
        for member in self.replicas_for(&id).into_iter().take(2) {
            let request = Request::Register { id: id.clone(), backend: backend.clone() };
            let asked = self.links.ask(member.internal, request, FORWARD_PATIENCE / 2).await;
            if let Some(Response::Registered(address)) = asked {
                return Some(address);
            }
        }
        None
    }

    /// Nodes with replicas that are up: the leader's zone does not matter, this node's own does.
    pub fn nearest_replicas(&self) -> Vec<(CompactString, Member)> {
        let mut members = self.replica_members();
        members
            .retain(|(name, member)| member.status == MemberStatus::Up && *name != self.settings.node_name);
        members.sort_by_key(|(name, member)| (member.zone != self.settings.zone, name.clone()));
        members
    }

    async fn take_backend(&self, id: CompactString, mut backend: Backend) -> Option<SocketAddrV4> {
        backend.owner = self.settings.node_name.clone();
        let key = Key::Backend(id.clone());
        let leaves = backend.phase != BackendPhase::Ready;
        if backend.phase == BackendPhase::Gone {
            lock(&self.heard_backends).forget(&id);
        } else {
            lock(&self.heard_backends).heard(id.clone());
        }
        let zone = backend.zone.clone();
        let address = self.address_for(&id, &zone);
        let changed = self.put_backend(key, backend);
        if leaves && changed {
            self.wait_until_spread().await;
        }
        address
    }

    /// Writes a backend's record where it says something new. A heartbeat that only counts up is not passed on.
    fn put_backend(&self, key: Key, mut backend: Backend) -> bool {
        let mut directory = lock(&self.directory);
        if let Some(Value::Backend(held)) = directory.get(&key) {
            if held.phase == BackendPhase::Gone || held.sequence > backend.sequence {
                return false;
            }
            let counts_up = Backend { sequence: held.sequence, ..backend.clone() };
            if counts_up == *held {
                return false;
            }
            // A deregistration carries nothing but the id.
            if backend.phase == BackendPhase::Gone {
                backend = Backend { phase: BackendPhase::Gone, ..held.clone() };
            }
        }
        let changed = directory.put(key, Value::Backend(backend));
        drop(directory);
        if changed {
            self.announce();
        }
        changed
    }

    /// Waits until another node with a replica has what this one has written, as far as there is one in reach.
    async fn wait_until_spread(&self) {
        let own = lock(&self.directory).vector().get(&Origin(self.life)).copied().unwrap_or(0);
        let mut spread = self.spread.subscribe();
        let known = spread.wait_for(|known| *known >= own);
        // Without another node in reach the backend's own repetition has to do.
        let _ = tokio::time::timeout(DRAIN_SPREAD, known).await;
    }

    /// Where a backend should send its heartbeats: to a node with a replica in its zone. Backends are spread over these.
    fn address_for(&self, id: &str, zone: &str) -> Option<SocketAddrV4> {
        let members = self.replica_members();
        let near = members.iter().filter(|(_, m)| m.zone == zone && m.status == MemberStatus::Up);
        let near = near.max_by_key(|(name, _)| place(id, name));
        let near = near.and_then(|(_, member)| member.control);
        near.or(self.settings.listen.control_plane)
    }

    /// Nodes with replicas that may take a backend's heartbeat, those of this node's zone first, in an order that differs by
    /// backend.
    fn replicas_for(&self, id: &str) -> Vec<Member> {
        let mut members = self.nearest_replicas();
        members.sort_by_key(|(name, member)| {
            (member.zone != self.settings.zone, std::cmp::Reverse(place(id, name)))
        });
        members.into_iter().map(|(_, member)| member).collect()
    }

    /// Marks backends as silent whose heartbeats have stopped coming here.
    pub fn watch_backends(&self, now: Millis) {
        let patience = 5 * self.settings.heartbeat_interval_ms / 2;
        let orphans = self.orphaned_backends();
        let silent = {
            let mut heard = lock(&self.heard_backends);
            heard.advance(now);
            for id in orphans {
                if !heard.knows(&id) {
                    heard.heard(id);
                }
            }
            heard.silent_for(patience)
        };
        for id in silent {
            lock(&self.heard_backends).forget(&id);
            self.mark_silent(id);
        }
    }

    /// Backends whose heartbeats went to a node that is not there any more.
    fn orphaned_backends(&self) -> Vec<CompactString> {
        let directory = lock(&self.directory);
        let is_up = |name: &CompactString| {
            let member = directory.get(&Key::Member(name.clone()));
            matches!(member, Some(Value::Member(member)) if member.status == MemberStatus::Up)
        };
        let heard = |backend: &Backend| {
            backend.silent || backend.phase == BackendPhase::Gone || is_up(&backend.owner)
        };
        directory.backends().filter(|(_, backend)| !heard(backend)).map(|(id, _)| id.clone()).collect()
    }

    fn mark_silent(&self, id: CompactString) {
        let key = Key::Backend(id.clone());
        let held = match lock(&self.directory).get(&key) {
            Some(Value::Backend(backend)) => backend.clone(),
            _ => return,
        };
        let owner = Key::Member(held.owner.clone());
        let other_hears = held.owner != self.settings.node_name
            && matches!(lock(&self.directory).get(&owner), Some(Value::Member(m)) if m.status == MemberStatus::Up);
        if !held.silent && held.phase != BackendPhase::Gone && !other_hears {
            log::info!("backend {id} is silent");
            self.put(key, Value::Backend(Backend { silent: true, ..held }));
        }
    }

    // ---- operators -----------------------------------------------------------------------------------------

    /// Makes an operator's change, here or at the primary.
    pub async fn submit(&self, change: Change, hops: u8) -> Outcome {
        let leads = self.replica.as_ref().is_some_and(ReplicaHandle::leads);
        if leads && let Some(replica) = &self.replica {
            return replica.submit(change).await;
        }
        if hops == 0 {
            return Outcome::Unknown;
        }
        let request = || Request::Submit { change: change.clone(), hops: hops - 1 };
        for address in self.way_to_the_primary() {
            let patience = Duration::from_millis(self.settings.bounds.ack_timeout_ms.min(3_000));
            match self.links.ask(address, request(), patience).await {
                Some(Response::Outcome(Outcome::Unknown)) | None => {}
                Some(Response::Outcome(outcome)) => return outcome,
                Some(_) => {}
            }
        }
        Outcome::Unknown
    }

    /// The newest configuration. The outer value is none where nobody can tell at present.
    pub async fn read_configuration(&self, hops: u8) -> Option<Option<Vec<u8>>> {
        if let Some(replica) = self.replica.as_ref().filter(|replica| replica.leads()) {
            return replica.read().await;
        }
        if hops == 0 {
            return None;
        }
        for address in self.way_to_the_primary() {
            let request = Request::ReadConfiguration { hops: hops - 1 };
            let asked = self.links.ask(address, request, FORWARD_PATIENCE).await;
            if let Some(Response::Configuration(Some(body))) = asked {
                return Some(body);
            }
        }
        None
    }

    /// Addresses to pass a call on to: the primary, then another node that may know a newer one.
    fn way_to_the_primary(&self) -> Vec<SocketAddrV4> {
        let own = self.settings.internal_address();
        let leader = self.leader().map(|(_, replica)| replica.address);
        let others = self.nearest_replicas().into_iter().map(|(_, member)| member.internal);
        let mut way: Vec<SocketAddrV4> = Vec::new();
        for address in leader.into_iter().chain(others) {
            if address != own && !way.contains(&address) {
                way.push(address);
            }
        }
        way.truncate(2);
        way
    }

    /// Takes what this node's own replica has committed.
    pub fn publish_own(&self, state: &control::state::ControlState) {
        if lock(&self.published).take_own(state) {
            self.announce();
        }
    }
}

/// A member's place in the order in which it is chosen for a backend.
fn place(backend: &str, member: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (backend, member).hash(&mut hasher);
    hasher.finish()
}

/// Counted time after which a monitored member is missed.
const MEMBER_PATIENCE: Millis = 3_500;

impl Service for Fleet {
    fn answer(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Option<Answer>> + Send>> {
        Box::pin(async move {
            let response = match request {
                Request::Replica(envelope) => {
                    if let Some(replica) = &self.replica {
                        replica.receive(envelope);
                    }
                    None
                }
                Request::Pull(request) => return Some(self.answer_pull(request).await),
                Request::Submit { change, hops } => {
                    Some(Response::Outcome(self.submit(change, hops.min(MOST_HOPS)).await))
                }
                Request::ReadConfiguration { hops } => {
                    Some(Response::Configuration(self.read_configuration(hops.min(MOST_HOPS)).await))
                }
                Request::Register { id, backend } => {
                    if self.replica.is_none() || self.is_leaving() {
                        return None;
                    }
                    Some(Response::Registered(self.take_backend(id, backend).await))
                }
                Request::Compare { range } => {
                    let digests = Digests::new(lock(&self.directory).hashes());
                    Some(Response::Summary(digests.summary(range)))
                }
                Request::StoreStatus { store } => Some(Response::StoreStatus(self.stores.status(store))),
                Request::Locate { key, planned, wants_save } => {
                    Some(Response::Located(self.locate(&Question { key, planned, wants_save })))
                }
                Request::Placed { key, placement } => {
                    lock(&self.locations).placed(key, &placement, clock::now());
                    None
                }
                Request::Evicted { backend, prefixes } => {
                    self.take_evicted(&backend, &prefixes);
                    None
                }
                Request::EvictedFromStore { prefixes } => {
                    self.take_evicted_from_store(&prefixes);
                    None
                }
                Request::Fetch { keys } => {
                    let keys: BTreeSet<u64> = keys.into_iter().collect();
                    Some(Response::Records(lock(&self.directory).by_hash(&keys)))
                }
            };
            response.map(Answer::from)
        })
    }
}
