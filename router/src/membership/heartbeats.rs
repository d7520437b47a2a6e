//! Heartbeats between members, and failure detection of members and backends.

use crate::clock;
use crate::fleet::{Fleet, MonitoredIncarnation};
use crate::protocol::MemberHeartbeat;
use crate::sync::lock;
use compact_str::CompactString;
use control::directory::{Key, Member, MemberStatus, Value};
use control::ring;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Number of other members that monitor each member.
const MONITORS_PER_MEMBER: usize = 3;
/// Interval between heartbeats to monitors.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between checks for backends whose heartbeats have stopped.
const BACKEND_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Sends heartbeats to this node's monitors, and receives those of the members that it monitors.
pub async fn monitor(fleet: Arc<Fleet>, socket: UdpSocket) {
    let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    let mut buffer = [0; 512];
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                send_heartbeats(&fleet, &socket).await;
                watch_members(&fleet);
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, _)) = received else { continue };
                if let Ok(heartbeat) = postcard::from_bytes::<MemberHeartbeat>(&buffer[..length]) {
                    record_heartbeat(&fleet, heartbeat);
                }
            }
        }
    }
}

/// Records a heartbeat of a monitored member.
fn record_heartbeat(fleet: &Fleet, heartbeat: MemberHeartbeat) {
    let current = match lock(&fleet.directory).get(&Key::Member(heartbeat.name.clone())) {
        Some(Value::Member(member)) if member.incarnation == heartbeat.incarnation => {
            member.revision
        }
        _ => return,
    };
    lock(&fleet.monitored).record_heartbeat((heartbeat.name, current));
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
    if fleet.is_shutting_down() {
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
    for monitor in ring::successors(&names, &name, MONITORS_PER_MEMBER) {
        if let Some(member) = members.get(&monitor) {
            // A lost heartbeat is followed by the next one.
            let _ = socket.send_to(&bytes, member.internal).await;
        }
    }
}

/// Advances the failure detector of the monitored members. Replica nodes also mark missing members
/// as down.
fn watch_members(fleet: &Fleet) {
    let members = members_up(fleet);
    let names: BTreeSet<CompactString> = members.keys().cloned().collect();
    let monitored = ring::monitored_by(&names, &fleet.settings.node_name, MONITORS_PER_MEMBER);
    let mut detector = lock(&fleet.monitored);
    // The detector caps the length of each step, to ignore pauses of this process. This function
    // runs once a second, which exceeds the cap, so the second is split into steps.
    let now = clock::now();
    for at in (0..4).rev() {
        detector.advance(now.saturating_sub(at * HEARTBEAT_INTERVAL.as_millis() as u64 / 4));
    }
    let incarnations: BTreeSet<MonitoredIncarnation> = monitored
        .into_iter()
        .filter_map(|name| Some((name.clone(), members.get(&name)?.revision)))
        .collect();
    detector.retain(|incarnation| incarnations.contains(incarnation));
    for incarnation in incarnations {
        if !detector.is_monitored(&incarnation) {
            detector.record_heartbeat(incarnation);
        }
    }
    drop(detector);
    if fleet.replica.is_some() {
        for (name, revision) in fleet.missing() {
            fleet.mark_down(&name, revision);
        }
    }
}

/// Marks backends as unresponsive whose heartbeats have stopped.
pub async fn watch_backends(fleet: Arc<Fleet>) {
    let mut ticks = tokio::time::interval(BACKEND_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if fleet.replica.is_some() {
            fleet.watch_backends(clock::now());
        }
    }
}
