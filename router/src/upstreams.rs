//! From whom this router pulls: one node with a replica is followed, another one is asked now and
//! then in case the first falls behind.

use crate::fleet::{Fleet, PULL_WAIT, Pull};
use crate::sync::lock;
use compact_str::CompactString;
use control::directory::{Member, MemberStatus};
use control::ring;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time between two choices of whom to pull from.
const SELECTION_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two questions to a node that is not followed. Within twice this, news come by way
/// of it where the followed node has fallen silent.
const POLL_INTERVAL: Duration = Duration::from_millis(800);
/// Wait after a pull that failed, and the longest one after several.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(120);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// A node that failed, or has lost touch with the primary, is only followed again after this, where
/// there is another one.
const AVOID_DURATION: Duration = Duration::from_millis(3_000);
/// A node that knows nothing yet asks one seed for everything, and the next one where that fails or
/// takes so long.
const SEED_STAGGER: Duration = Duration::from_millis(200);
/// For so long after its start a node with a replica follows its seeds as well.
const SEED_FOLLOW_TIME: Duration = Duration::from_secs(4);

/// How a node is pulled from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each pull waits for news.
    Follow,
    /// Each pull is answered at once, and the next one comes after a pause.
    Poll,
}

struct Upstream {
    mode: Mode,
    task: JoinHandle<()>,
    failing: Arc<AtomicBool>,
}

/// Keeps pulling from the right nodes.
pub async fn run(fleet: Arc<Fleet>) {
    let begun = Instant::now();
    let mut upstreams: BTreeMap<SocketAddrV4, Upstream> = BTreeMap::new();
    let mut avoided: BTreeMap<SocketAddrV4, Instant> = BTreeMap::new();
    let mut choices = tokio::time::interval(SELECTION_INTERVAL);
    let failures = Arc::new(watch::Sender::new(0));
    loop {
        choices.tick().await;
        let now = Instant::now();
        avoided.retain(|_, until| *until > now);
        let failing = upstreams
            .iter()
            .filter(|(_, upstream)| upstream.failing.load(Ordering::Relaxed));
        avoided.extend(failing.map(|(address, _)| (*address, now + AVOID_DURATION)));
        let is_avoided = |address: SocketAddrV4| avoided.contains_key(&address);
        let wanted = choose(&fleet, is_avoided, begun.elapsed() < SEED_FOLLOW_TIME);
        upstreams.retain(|address, upstream| {
            let is_wanted = wanted.get(address) == Some(&upstream.mode);
            if !is_wanted {
                upstream.task.abort();
            }
            is_wanted
        });
        let start_order = start_order(&fleet, &wanted);
        for (address, mode) in wanted {
            upstreams.entry(address).or_insert_with(|| {
                let failing = Arc::new(AtomicBool::new(false));
                let pulling = pull_from(
                    fleet.clone(),
                    address,
                    mode,
                    failing.clone(),
                    failures.clone(),
                );
                let position = start_order.get(&address).copied().unwrap_or(0);
                let waiting = wait_for_start(position, failures.subscribe());
                let task = tokio::spawn(async move {
                    waiting.await;
                    pulling.await;
                });
                Upstream {
                    mode,
                    task,
                    failing,
                }
            });
        }
    }
}

/// In which turn a router without a replica that has no configuration yet asks for everything: each
/// router in another order, so that no seed is asked by all at once.
fn start_order(
    fleet: &Fleet,
    wanted: &BTreeMap<SocketAddrV4, Mode>,
) -> BTreeMap<SocketAddrV4, u32> {
    if fleet.replica.is_some() || lock(&fleet.published).version().is_some() {
        return BTreeMap::new();
    }
    let mut order: Vec<SocketAddrV4> = wanted.keys().copied().collect();
    order.sort_by_key(|address| {
        let mut hasher = DefaultHasher::new();
        (&fleet.settings.node_name, address).hash(&mut hasher);
        hasher.finish()
    });
    order.into_iter().zip(0..).collect()
}

/// Waits until the upstreams of earlier turns have failed, or have had the time to answer.
async fn wait_for_start(position: u32, mut failures: watch::Receiver<u32>) {
    let had_failed = *failures.borrow_and_update();
    let all_failed = failures.wait_for(|failed| *failed >= had_failed + position);
    // Either way it is this one's turn.
    let _ = tokio::time::timeout(position * SEED_STAGGER, all_failed).await;
}

async fn pull_from(
    fleet: Arc<Fleet>,
    address: SocketAddrV4,
    mode: Mode,
    failing: Arc<AtomicBool>,
    failures: Arc<watch::Sender<u32>>,
) {
    // The first answer comes at once, so that a new node knows what there is.
    let mut wait = Duration::ZERO;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        match fleet
            .pull(address, wait, || failing.store(true, Ordering::Relaxed))
            .await
        {
            answered @ (Pull::Current | Pull::Stale) => {
                failing.store(answered == Pull::Stale, Ordering::Relaxed);
                retry_delay = MIN_RETRY_DELAY;
                match mode {
                    Mode::Follow => wait = PULL_WAIT,
                    Mode::Poll => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
            Pull::Failed => {
                failing.store(true, Ordering::Relaxed);
                failures.send_modify(|failed| *failed += 1);
                tokio::time::sleep(retry_delay).await;
                retry_delay = (2 * retry_delay).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Nodes with replicas follow all others of these; the rest follow one and poll another, in their
/// own zone first. Seeds are followed while nobody else is known.
fn choose(
    fleet: &Fleet,
    is_avoided: impl Fn(SocketAddrV4) -> bool,
    is_starting: bool,
) -> BTreeMap<SocketAddrV4, Mode> {
    let settings = &fleet.settings;
    let own = settings.internal_address();
    let mut members = fleet.replica_members();
    members.retain(|(name, member)| {
        *name != settings.node_name && member.status != MemberStatus::Left
    });
    sort_by_preference(&mut members, fleet, &is_avoided);
    let mut chosen: BTreeMap<SocketAddrV4, Mode> = if fleet.replica.is_some() {
        members
            .iter()
            .map(|(_, member)| (member.internal, Mode::Follow))
            .collect()
    } else {
        members
            .iter()
            .map(|(_, member)| member.internal)
            .zip([Mode::Follow, Mode::Poll])
            .collect()
    };
    let has_usable = chosen.keys().any(|address| !is_avoided(*address));
    if !has_usable || is_starting && fleet.replica.is_some() {
        let seeds = settings
            .seeds
            .iter()
            .map(|seed| settings.internal_address_of(*seed));
        chosen.extend(seeds.map(|seed| (seed, Mode::Follow)));
    }
    chosen.remove(&own);
    chosen
}

/// Those that are up first, then those of the own zone, spread over them by the node's place on the
/// ring.
fn sort_by_preference(
    members: &mut [(CompactString, Member)],
    fleet: &Fleet,
    is_avoided: impl Fn(SocketAddrV4) -> bool,
) {
    let settings = &fleet.settings;
    let names: BTreeSet<CompactString> = members
        .iter()
        .map(|(name, _)| name.clone())
        .chain([settings.node_name.clone()])
        .collect();
    let order = ring::successors(&names, &settings.node_name, names.len());
    members.sort_by_key(|(name, member)| {
        let rank = order.iter().position(|other| other == name);
        let is_down = member.status != MemberStatus::Up || is_avoided(member.internal);
        (is_down, member.zone != settings.zone, rank)
    });
}
