//! Selects the nodes that this router pulls from: it follows one replica node and polls another, in
//! case the first one falls behind.

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

/// Time between two selections.
const SELECTION_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two polls. If the followed node falls silent, updates arrive within twice this by
/// way of the polled one.
const POLL_INTERVAL: Duration = Duration::from_millis(800);
/// Initial and maximum delay after failed pulls; it doubles with each one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(120);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// A node that failed or is stale is avoided for this long if there is another one.
const AVOID_DURATION: Duration = Duration::from_millis(3_000);
/// A node without state asks the seeds one after the other for the full state: the next one after a
/// failure or this time.
const SEED_STAGGER: Duration = Duration::from_millis(200);
/// A replica node also follows its seeds for this long after its start.
const SEED_FOLLOW_TIME: Duration = Duration::from_secs(4);

/// How a node is pulled from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each pull waits for updates.
    Follow,
    /// Each pull is answered immediately; the next one follows after a pause.
    Poll,
}

struct Upstream {
    mode: Mode,
    task: JoinHandle<()>,
    failing: Arc<AtomicBool>,
}

/// Keeps pulling from the selected nodes, for as long as the process runs.
pub async fn run(fleet: Arc<Fleet>) {
    let started_at = Instant::now();
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
        let wanted = select(&fleet, is_avoided, started_at.elapsed() < SEED_FOLLOW_TIME);
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

/// The order in which a router without a replica and configuration asks the seeds for the full
/// state. It differs between routers, so that no seed is asked by all at once.
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

/// Waits until the upstreams before this position have failed, or have had time to respond.
async fn wait_for_start(position: u32, mut failures: watch::Receiver<u32>) {
    let had_failed = *failures.borrow_and_update();
    let all_failed = failures.wait_for(|failed| *failed >= had_failed + position);
    // Either way this upstream is next.
    let _ = tokio::time::timeout(position * SEED_STAGGER, all_failed).await;
}

async fn pull_from(
    fleet: Arc<Fleet>,
    address: SocketAddrV4,
    mode: Mode,
    failing: Arc<AtomicBool>,
    failures: Arc<watch::Sender<u32>>,
) {
    // The first pull does not wait, so that a new node learns the current state.
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

/// The nodes to pull from. A replica node follows all other ones; the rest follow one and poll
/// another, preferably in their own zone. Seeds are followed while no other node is known.
fn select(
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
    let mut selected: BTreeMap<SocketAddrV4, Mode> = if fleet.replica.is_some() {
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
    let is_any_usable = selected.keys().any(|address| !is_avoided(*address));
    if !is_any_usable || is_starting && fleet.replica.is_some() {
        let seeds = settings
            .seeds
            .iter()
            .map(|seed| settings.internal_address_of(*seed));
        selected.extend(seeds.map(|seed| (seed, Mode::Follow)));
    }
    selected.remove(&own);
    selected
}

/// Sorts nodes that are up first, then those of the own zone, then by distance on the ring, which
/// spreads routers over the nodes.
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
