//! Selects the nodes that this router pulls from: it follows one replica node and polls another, in
//! case the first one falls behind.

pub mod selector;
pub mod start_turns;

use crate::clock;
use crate::fleet::{Fleet, PULL_WAIT, Pull};
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::{Member, MemberStatus};
use control::ring;
use selector::{Candidate, Health, Mode, UpstreamSelector};
use start_turns::StartTurns;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
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
/// A replica node also follows its seeds for this long after its start.
const SEED_FOLLOW_TIME: Duration = Duration::from_secs(4);

struct Upstream {
    mode: Mode,
    task: JoinHandle<()>,
    health: Arc<Mutex<Health>>,
}

/// Keeps pulling from the selected nodes, for as long as the process runs.
pub async fn run(fleet: Arc<Fleet>) {
    let started_at = Instant::now();
    let mut upstreams: BTreeMap<SocketAddrV4, Upstream> = BTreeMap::new();
    let mut selector = UpstreamSelector::default();
    let mut choices = tokio::time::interval(SELECTION_INTERVAL);
    let failures = Arc::new(watch::Sender::new(0));
    loop {
        choices.tick().await;
        let now = clock::now();
        for (address, upstream) in &upstreams {
            selector.observe(*address, *lock(&upstream.health), now);
        }
        let is_starting = started_at.elapsed() < SEED_FOLLOW_TIME;
        let wanted = select(&fleet, &selector, is_starting, now);
        upstreams.retain(|address, upstream| {
            let is_wanted = wanted.get(address) == Some(&upstream.mode);
            if !is_wanted {
                upstream.task.abort();
            }
            is_wanted
        });
        let has_state = fleet.replica.is_some() || lock(&fleet.published).version().is_some();
        let turns = StartTurns::new(&fleet.settings.node_name, wanted.keys().copied(), has_state);
        for (address, mode) in wanted {
            upstreams.entry(address).or_insert_with(|| {
                let health = Arc::new(Mutex::new(Health::Unknown));
                let pulling = pull_from(
                    fleet.clone(),
                    address,
                    mode,
                    health.clone(),
                    failures.clone(),
                );
                let waiting = turns.wait(address, failures.subscribe());
                let task = tokio::spawn(async move {
                    waiting.await;
                    pulling.await;
                });
                Upstream { mode, task, health }
            });
        }
    }
}

async fn pull_from(
    fleet: Arc<Fleet>,
    address: SocketAddrV4,
    mode: Mode,
    health: Arc<Mutex<Health>>,
    failures: Arc<watch::Sender<u32>>,
) {
    // The first pull does not wait, so that a new node learns the current state.
    let mut wait = Duration::ZERO;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        match fleet
            .pull(address, wait, || *lock(&health) = Health::Failing)
            .await
        {
            answered @ (Pull::Current | Pull::Stale) => {
                *lock(&health) = match answered {
                    Pull::Current => Health::Current,
                    _ => Health::Failing,
                };
                retry_delay = MIN_RETRY_DELAY;
                match mode {
                    Mode::Follow => wait = PULL_WAIT,
                    Mode::Poll => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
            Pull::Failed => {
                *lock(&health) = Health::Failing;
                failures.send_modify(|failed| *failed += 1);
                tokio::time::sleep(retry_delay).await;
                retry_delay = (2 * retry_delay).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// The nodes to pull from. A replica node follows all other ones; the rest leave it to the selector.
/// Seeds are followed while no other node is usable.
fn select(
    fleet: &Fleet,
    selector: &UpstreamSelector,
    is_starting: bool,
    now: Millis,
) -> BTreeMap<SocketAddrV4, Mode> {
    let settings = &fleet.settings;
    let candidates = candidates(fleet);
    let mut selected: BTreeMap<SocketAddrV4, Mode> = if fleet.replica.is_some() {
        let addresses = candidates.iter().map(|candidate| candidate.address);
        addresses.map(|address| (address, Mode::Follow)).collect()
    } else {
        selector.select(&candidates, fleet.staleness(), now)
    };
    let is_any_usable = selected
        .keys()
        .any(|address| !selector.has_failed(*address));
    if !is_any_usable || is_starting && fleet.replica.is_some() {
        let seeds = settings
            .seeds
            .iter()
            .map(|seed| settings.internal_address_of(*seed));
        selected.extend(seeds.map(|seed| (seed, Mode::Follow)));
    }
    selected.remove(&settings.internal_address());
    selected
}

/// The other nodes with a replica.
fn candidates(fleet: &Fleet) -> Vec<Candidate> {
    let settings = &fleet.settings;
    let mut members: Vec<(CompactString, Member)> = fleet.replica_members();
    members.retain(|(name, member)| {
        *name != settings.node_name && member.status != MemberStatus::Left
    });
    let names = members.iter().map(|(name, _)| name.clone());
    let names: BTreeSet<CompactString> = names.chain([settings.node_name.clone()]).collect();
    let order = ring::successors(&names, &settings.node_name, names.len());
    let candidate = |(name, member): (CompactString, Member)| Candidate {
        address: member.internal,
        is_up: member.status == MemberStatus::Up,
        is_near: member.zone == settings.zone,
        distance: order
            .iter()
            .position(|other| *other == name)
            .unwrap_or(order.len()),
    };
    members.into_iter().map(candidate).collect()
}
