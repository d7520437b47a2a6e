//! Selects the nodes that this router pulls state from, and runs a pull loop for each. A router
//! without a replica follows one replica node, and polls another in case the first falls behind.

pub mod initial_pull_order;
pub mod selector;

use crate::clock;
use crate::fleet::{Fleet, PULL_WAIT, Pull};
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::{Member, MemberStatus};
use control::ring;
use initial_pull_order::InitialPullOrder;
use selector::{Candidate, Health, Mode, UpstreamSelector};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Interval at which the set of upstreams is selected again.
const SELECTION_INTERVAL: Duration = Duration::from_millis(150);
/// Pause between two polls of the same node. If the followed node stops responding, updates arrive
/// from the polled node within twice this time.
const POLL_INTERVAL: Duration = Duration::from_millis(800);
/// Initial and maximum delay after a failed pull. The delay doubles with each consecutive failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(120);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// A replica node delays its next pull by at most this time until the withdrawals of backends in the
/// last response are on its disk. It pulls on with a disk that hangs, but not in a tight loop: the
/// same withdrawals are sent again until they are saved.
const MAX_SAVE_WAIT: Duration = Duration::from_millis(200);
/// Time after start-up during which a replica node also follows its seeds.
const SEED_FOLLOW_TIME: Duration = Duration::from_secs(4);

struct Upstream {
    mode: Mode,
    task: JoinHandle<()>,
    health: Arc<Mutex<Health>>,
}

/// Pulls from the selected nodes until the process exits.
pub async fn run(fleet: Arc<Fleet>) {
    let started_at = Instant::now();
    let mut upstreams: BTreeMap<SocketAddrV4, Upstream> = BTreeMap::new();
    let mut selector = UpstreamSelector::default();
    let mut selection_timer = tokio::time::interval(SELECTION_INTERVAL);
    let failures = Arc::new(watch::Sender::new(0));
    loop {
        selection_timer.tick().await;
        let now = clock::now();
        for (address, upstream) in &upstreams {
            selector.observe(*address, *lock(&upstream.health), now);
        }
        let is_starting = started_at.elapsed() < SEED_FOLLOW_TIME;
        let selected = select(&fleet, &selector, is_starting, now);
        upstreams.retain(|address, upstream| {
            let is_selected = selected.get(address) == Some(&upstream.mode);
            if !is_selected {
                upstream.task.abort();
            }
            is_selected
        });
        let has_state = fleet.replica.is_some() || lock(&fleet.published).version().is_some();
        let pull_order = InitialPullOrder::new(
            &fleet.settings.node_name,
            selected.keys().copied(),
            has_state,
        );
        for (address, mode) in selected {
            upstreams.entry(address).or_insert_with(|| {
                let health = Arc::new(Mutex::new(Health::Unknown));
                let pull_loop = pull_from(
                    fleet.clone(),
                    address,
                    mode,
                    health.clone(),
                    failures.clone(),
                );
                let turn = pull_order.wait_for_turn(address, failures.subscribe());
                let task = tokio::spawn(async move {
                    turn.await;
                    pull_loop.await;
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
    // The first pull asks for an immediate answer, so that a new node gets the current state.
    let mut wait = Duration::ZERO;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        fleet.wait_for_save(MAX_SAVE_WAIT).await;
        match fleet
            .pull(address, wait, || *lock(&health) = Health::Failing)
            .await
        {
            outcome @ (Pull::Current | Pull::Stale) => {
                *lock(&health) = match outcome {
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

/// The nodes to pull from. A replica node follows all other replica nodes; any other node uses the
/// selector. Seeds are followed as well while no other node is usable.
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
    if let Some(replica) = &fleet.replica
        && fleet.leader().is_none()
    {
        // The seeds may have changed since the first start, before there is a first view.
        let electorate = replica.electorate.iter();
        selected.extend(electorate.map(|address| (*address, Mode::Follow)));
    }
    selected.remove(&settings.internal_address());
    selected
}

/// The replica nodes that this router can pull from, without this node and those that have left.
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
