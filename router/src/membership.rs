//! The tasks that keep this node in touch with its fleet: heartbeats to monitors, the founding, and
//! repair.

use crate::clock;
use crate::fleet::{Fleet, MonitoredLife};
use crate::links::lock;
use crate::protocol::{MemberHeartbeat, Request, Response};
use compact_str::CompactString;
use control::digest::{Digests, Range};
use control::directory::{Key, Member, MemberStatus, Value, VersionVector};
use control::node::Timing;
use control::ring;
use control::view::ReplicaId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// How many members receive a member's heartbeats.
const MONITORS: usize = 3;
/// Time between two heartbeats to monitors.
const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// A founder waits until no further replica has come up for so long.
const FOUNDING_CALM: Duration = Duration::from_millis(400);
/// The longest that a founder waits, so that replicas that never come do not hold up the system.
const FOUNDING_PATIENCE: Duration = Duration::from_millis(4_000);
/// Time between two attempts to found the system.
const FOUNDING_AGAIN: Duration = Duration::from_millis(400);
/// Each seed waits so much longer than the one before it.
const FOUNDER_TURN: Duration = Duration::from_millis(1_500);
/// What has ended is forgotten after one to two times this.
const PRUNE: Duration = Duration::from_secs(120);
/// Time between two comparisons with another holder.
const REPAIR: Duration = Duration::from_secs(10);

/// Sends heartbeats to this node's monitors, and receives those of the members that it monitors.
pub async fn monitor(fleet: Arc<Fleet>, socket: UdpSocket) {
    let mut beats = tokio::time::interval(HEARTBEAT);
    let mut buffer = [0; 512];
    loop {
        tokio::select! {
            _ = beats.tick() => {
                send_heartbeats(&fleet, &socket).await;
                watch_members(&fleet);
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, _)) = received else { continue };
                if let Ok(heartbeat) = postcard::from_bytes::<MemberHeartbeat>(&buffer[..length]) {
                    hear(&fleet, heartbeat);
                }
            }
        }
    }
}

/// A member that this node monitors is there.
fn hear(fleet: &Fleet, heartbeat: MemberHeartbeat) {
    let held = match lock(&fleet.directory).get(&Key::Member(heartbeat.name.clone())) {
        Some(Value::Member(member)) if member.incarnation == heartbeat.incarnation => {
            member.revision
        }
        _ => return,
    };
    lock(&fleet.monitored).record_heartbeat((heartbeat.name, held));
}

fn members_up(fleet: &Fleet) -> BTreeMap<CompactString, Member> {
    let directory = lock(&fleet.directory);
    let up = directory
        .members()
        .filter(|(_, member)| member.status == MemberStatus::Up);
    up.map(|(name, member)| (name.clone(), member.clone()))
        .collect()
}

async fn send_heartbeats(fleet: &Fleet, socket: &UdpSocket) {
    if fleet.is_leaving() {
        return;
    }
    let name = fleet.settings.node_name.clone();
    let members = members_up(fleet);
    let names: BTreeSet<CompactString> = members.keys().cloned().collect();
    let heartbeat = MemberHeartbeat {
        name: name.clone(),
        incarnation: fleet.incarnation,
    };
    let Ok(bytes) = postcard::to_stdvec(&heartbeat) else {
        return;
    };
    for monitor in ring::successors(&names, &name, MONITORS) {
        if let Some(member) = members.get(&monitor) {
            // A lost heartbeat is followed by the next one.
            let _ = socket.send_to(&bytes, member.internal).await;
        }
    }
}

/// Counts the silence of the members that this node monitors; nodes with replicas write down what
/// they miss.
fn watch_members(fleet: &Fleet) {
    let members = members_up(fleet);
    let names: BTreeSet<CompactString> = members.keys().cloned().collect();
    let monitored = ring::monitored_by(&names, &fleet.settings.node_name, MONITORS);
    let mut silence = lock(&fleet.monitored);
    // Steps longer than the counted ones are split, as the ring is looked at once a second only.
    let now = clock::now();
    for at in (0..4).rev() {
        silence.advance(now.saturating_sub(at * HEARTBEAT.as_millis() as u64 / 4));
    }
    let incarnations: BTreeSet<MonitoredLife> = monitored
        .into_iter()
        .filter_map(|name| Some((name.clone(), members.get(&name)?.revision)))
        .collect();
    silence.retain(|incarnation| incarnations.contains(incarnation));
    for incarnation in incarnations {
        if !silence.is_monitored(&incarnation) {
            silence.record_heartbeat(incarnation);
        }
    }
    drop(silence);
    if fleet.replica.is_some() {
        for (name, revision) in fleet.missing() {
            fleet.mark_down(&name, revision);
        }
    }
}

/// Marks backends as silent whose heartbeats have stopped.
pub async fn watch_backends(fleet: Arc<Fleet>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(200));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if fleet.replica.is_some() {
            fleet.watch_backends(clock::now());
        }
    }
}

/// A seed of a system that starts for the first time has the seeds decide the first view. The first
/// seed does so at once, the others where it does not.
pub async fn found(fleet: Arc<Fleet>) {
    let settings = &fleet.settings;
    let own = settings.listen.control_plane;
    let place = settings.seeds.iter().position(|seed| Some(*seed) == own);
    let (Some(place), Some(replica), true) = (place, &fleet.replica, settings.bootstrap) else {
        return;
    };
    let fewest = Timing::tolerating(settings.fault_tolerance.machines).min_witnesses();
    tokio::time::sleep(FOUNDER_TURN * place as u32).await;
    let begun = Instant::now();
    let mut known = BTreeSet::new();
    let mut since = Instant::now();
    loop {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if fleet.leader().is_some() {
            return;
        }
        let members = fleet.replica_members();
        let replicas: BTreeSet<ReplicaId> =
            members.into_iter().filter_map(|(_, m)| m.replica).collect();
        if replicas != known {
            (known, since) = (replicas, Instant::now());
        }
        let is_calm = since.elapsed() > FOUNDING_CALM && begun.elapsed() > 2 * FOUNDING_CALM;
        let are_all_here = is_calm && known.len() >= fewest;
        if !are_all_here && begun.elapsed() < FOUNDING_PATIENCE {
            continue;
        }
        log::info!("founding the control state with {} replicas", known.len());
        replica.found(electorate(&fleet), known.clone());
        tokio::time::sleep(FOUNDING_AGAIN).await;
    }
}

/// The replicas at the addresses of the seeds. One that was not heard yet counts as well, under a
/// name that nobody has, so that no two founders take different nodes for all.
fn electorate(fleet: &Fleet) -> BTreeSet<ReplicaId> {
    const UNHEARD: u64 = 0;
    let directory = lock(&fleet.directory);
    let seeds = fleet
        .settings
        .seeds
        .iter()
        .map(|seed| fleet.settings.internal_address_of(*seed));
    let replica_at = |address: SocketAddrV4| {
        let member = directory
            .members()
            .map(|(_, member)| member)
            .find(|member| member.internal == address);
        match member {
            Some(member) => member.replica.clone(),
            None => Some(ReplicaId {
                disk: UNHEARD,
                node: CompactString::default(),
                address,
            }),
        }
    };
    seeds.filter_map(replica_at).collect()
}

/// Now and then compares records with another holder, and fetches what differs.
pub async fn repair(fleet: Arc<Fleet>) {
    let mut turn = 0;
    loop {
        tokio::time::sleep(REPAIR).await;
        let others = fleet.nearest_replicas();
        if others.is_empty() {
            continue;
        }
        turn += 1;
        let (_, other) = &others[turn % others.len()];
        if let Some(keys) = differing_keys(&fleet, other.internal).await
            && !keys.is_empty()
        {
            fetch(&fleet, other.internal, keys).await;
        }
    }
}

/// Forgets what has ended some time ago, so that long days do not fill the memory.
pub async fn prune(fleet: Arc<Fleet>) {
    let mut before = BTreeSet::new();
    loop {
        tokio::time::sleep(PRUNE).await;
        let mut directory = lock(&fleet.directory);
        let ended = directory.expired();
        ended
            .intersection(&before)
            .for_each(|key| directory.remove(key));
        before = directory.expired();
    }
}

/// Hashes of keys whose records differ at the other holder. None where it does not answer.
async fn differing_keys(fleet: &Fleet, other: SocketAddrV4) -> Option<Vec<u64>> {
    const PATIENCE: Duration = Duration::from_millis(800);
    let mut ranges = vec![Range::ALL];
    let mut differing = Vec::new();
    while let Some(range) = ranges.pop() {
        let response = fleet
            .links
            .ask(other, Request::Compare { range }, PATIENCE)
            .await;
        let Some(Response::Summary(summary)) = response else {
            return None;
        };
        let digests = Digests::new(lock(&fleet.directory).hashes());
        let (narrower, keys) = digests.compare(range, &summary);
        ranges.extend(narrower);
        differing.extend(keys);
    }
    Some(differing)
}

async fn fetch(fleet: &Fleet, other: SocketAddrV4, keys: Vec<u64>) {
    const PATIENCE: Duration = Duration::from_millis(800);
    let response = fleet
        .links
        .ask(other, Request::Fetch { keys }, PATIENCE)
        .await;
    if let Some(Response::Records(records)) = response {
        let changed = lock(&fleet.directory).merge(records, &VersionVector::new());
        if !changed.is_empty() {
            log::info!("repair brought {} records", changed.len());
            fleet.announce();
        }
    }
}

/// Whether this node is known to be up, as others see it.
pub fn is_known(fleet: &Fleet) -> bool {
    let directory = lock(&fleet.directory);
    matches!(
        directory.get(&Key::Member(fleet.settings.node_name.clone())),
        Some(Value::Member(member)) if member.status == MemberStatus::Up
    )
}
