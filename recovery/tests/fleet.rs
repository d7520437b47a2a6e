//! Simulation of a whole fleet of gatherers that start, lose power again, and cannot reach each
//! other or discovery, reproducible by seed: no gatherer waits beyond the time limits, and all
//! serve in full in the end.

use recovery::Time;
use recovery::phase::{Config, Peer, Phase, Recovery};
use recovery::slow_start::SlowStart;
use std::collections::BTreeMap;

const MS: Time = 1_000_000;
const PEER_TIMEOUT: Time = 800 * MS;
const DISCOVERY_TIMEOUT: Time = 1_200 * MS;
const SLOW_START: Time = 6_000 * MS;

struct Gatherer {
    recovery: Option<Recovery>,
    restart_at: Time,
    queried_peers_at: Time,
    /// When the gatherer first had an endpoint list since its last start.
    endpoints_at: Option<Time>,
    /// When the gatherer became ready since its last start.
    ready_at: Option<Time>,
    started_at: Time,
}

fn config() -> Config {
    let slow_start = SlowStart::new(0.2, SLOW_START, 2_000 * MS, &[1.0, 3.0]);
    Config {
        peer_timeout: PEER_TIMEOUT,
        discovery_timeout: DISCOVERY_TIMEOUT,
        restart_window: 3_000 * MS,
        slow_start,
        query_timeout: 2_000 * MS,
    }
}

/// Simulates a fleet; returns the first violation.
fn simulate(seed: u64) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = [3, 10, 30][seed as usize % 3];
    let mut fleet: Vec<Gatherer> = (0..count)
        .map(|_| Gatherer {
            recovery: None,
            restart_at: rng.u64(0..2_000) * MS,
            queried_peers_at: 0,
            endpoints_at: None,
            ready_at: None,
            started_at: 0,
        })
        .collect();
    let answer_loss_percent: u64 = rng.u64(0..100);
    let discovery_up_at = rng.u64(0..8_000) * MS;
    let has_persisted_list: Vec<bool> = (0..count).map(|_| rng.bool()).collect();
    let mut answers: Vec<(Time, usize, u64, Peer)> = Vec::new();
    let mut now = 0;
    while now < 60_000 * MS {
        now += 10 * MS;
        let has_faults = now <= 20_000 * MS;
        for at in 0..count {
            if fleet[at].recovery.is_none() {
                if now < fleet[at].restart_at {
                    continue;
                }
                let peers = (0..count as u64).filter(|peer| *peer != at as u64);
                fleet[at].recovery = Some(Recovery::new(config(), peers, now));
                (fleet[at].started_at, fleet[at].queried_peers_at) = (now, 0);
                (fleet[at].endpoints_at, fleet[at].ready_at) = (None, None);
            }
            if has_faults && rng.u16(0..3000) == 0 {
                // Another power failure, in any phase.
                fleet[at].recovery = None;
                fleet[at].restart_at = now + rng.u64(50..4_000) * MS;
                continue;
            }
            if now >= fleet[at].queried_peers_at + 100 * MS {
                fleet[at].queried_peers_at = now;
                for peer in fleet[at]
                    .recovery
                    .as_ref()
                    .map(Recovery::unanswered)
                    .unwrap_or_default()
                {
                    let answer = fleet[peer as usize].recovery.as_ref();
                    let answer = answer.map(|recovery| Peer {
                        uptime: recovery.uptime(now),
                        phase: Some(recovery.phase()),
                    });
                    if let Some(answer) = answer.filter(|_| rng.u64(0..100) >= answer_loss_percent)
                    {
                        answers.push((now + rng.u64(0..300) * MS, at, peer, answer));
                    }
                }
            }
            let due: Vec<_> = answers
                .iter()
                .filter(|a| a.0 <= now && a.1 == at)
                .copied()
                .collect();
            answers.retain(|a| !(a.0 <= now && a.1 == at));
            let gatherer = &mut fleet[at];
            let recovery = gatherer.recovery.as_mut().expect("the gatherer is up");
            due.into_iter()
                .for_each(|(_, _, peer, answer)| recovery.on_peer_answer(peer, answer, now));
            let discovery_is_up = now >= discovery_up_at;
            if discovery_is_up || has_persisted_list[at] {
                recovery.on_endpoints(true, discovery_is_up, now);
                gatherer.endpoints_at.get_or_insert(now);
            }
            recovery.tick(now);
            if recovery.is_ready() {
                let ready = *gatherer.ready_at.get_or_insert(now);
                let endpoints_at = gatherer
                    .endpoints_at
                    .ok_or("ready without an endpoint list")?;
                if ready > endpoints_at.max(gatherer.started_at + DISCOVERY_TIMEOUT) + 20 * MS {
                    return Err(format!(
                        "gatherer {at} was ready only {} ms after it had an endpoint list",
                        (ready - endpoints_at) / MS
                    ));
                }
            } else if now
                > gatherer
                    .endpoints_at
                    .unwrap_or(now)
                    .max(gatherer.started_at + DISCOVERY_TIMEOUT)
                    + 20 * MS
            {
                return Err(format!(
                    "gatherer {at} stays in phase {} beyond the time limits",
                    recovery.phase()
                ));
            }
        }
    }
    let phases: BTreeMap<usize, Phase> = fleet
        .iter()
        .enumerate()
        .filter_map(|(at, g)| Some((at, g.recovery.as_ref()?.phase())))
        .collect();
    let all_serving =
        phases.len() == count && phases.values().all(|phase| *phase == Phase::Serving);
    if all_serving {
        Ok(())
    } else {
        Err(format!("final phases: {phases:?}"))
    }
}

#[test]
fn waits_are_bounded_and_all_gatherers_serve_in_the_end() {
    for seed in 0..60 {
        simulate(seed).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}
