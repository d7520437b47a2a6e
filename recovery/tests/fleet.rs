//! A whole fleet of gatherers that start, lose power again, cannot reach each other or discovery,
//! by seed: whatever happens, nobody waits longer than the bounds say, and all serve in full in the
//! end.

use recovery::Time;
use recovery::phase::{Config, Peer, Phase, Recovery};
use recovery::slow_start::SlowStart;
use std::collections::BTreeMap;

const MS: Time = 1_000_000;
const ASK: Time = 800 * MS;
const LIST: Time = 1_200 * MS;
const RAMP: Time = 6_000 * MS;

struct Gatherer {
    recovery: Option<Recovery>,
    back_at: Time,
    asked_at: Time,
    /// When it first had a list in this life, and when it came to be ready.
    listed_at: Option<Time>,
    ready_at: Option<Time>,
    up_at: Time,
}

fn plan() -> Config {
    let slow_start = SlowStart::new(0.2, RAMP, 2_000 * MS, &[1.0, 3.0]);
    Config {
        peer_timeout: ASK,
        discovery_timeout: LIST,
        restart_window: 3_000 * MS,
        slow_start,
        query_timeout: 2_000 * MS,
    }
}

/// Plays a fleet; what was wrong.
fn play(seed: u64) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = [3, 10, 30][seed as usize % 3];
    let mut fleet: Vec<Gatherer> = (0..count)
        .map(|_| Gatherer {
            recovery: None,
            back_at: rng.u64(0..2_000) * MS,
            asked_at: 0,
            listed_at: None,
            ready_at: None,
            up_at: 0,
        })
        .collect();
    // Pairs that do not hear each other, and how long discovery is dead.
    let deaf: u64 = rng.u64(0..100);
    let discovery_at = rng.u64(0..8_000) * MS;
    let has_list: Vec<bool> = (0..count).map(|_| rng.bool()).collect();
    let mut answers: Vec<(Time, usize, u64, Peer)> = Vec::new();
    let mut now = 0;
    while now < 60_000 * MS {
        now += 10 * MS;
        let calm = now > 20_000 * MS;
        for at in 0..count {
            if fleet[at].recovery.is_none() {
                if now < fleet[at].back_at {
                    continue;
                }
                let peers = (0..count as u64).filter(|peer| *peer != at as u64);
                fleet[at].recovery = Some(Recovery::new(plan(), peers, now));
                (fleet[at].up_at, fleet[at].asked_at) = (now, 0);
                (fleet[at].listed_at, fleet[at].ready_at) = (None, None);
            }
            if !calm && rng.u16(0..3000) == 0 {
                // Power lost again, in whichever phase.
                fleet[at].recovery = None;
                fleet[at].back_at = now + rng.u64(50..4_000) * MS;
                continue;
            }
            if now >= fleet[at].asked_at + 100 * MS {
                fleet[at].asked_at = now;
                for peer in fleet[at]
                    .recovery
                    .as_ref()
                    .map(Recovery::unanswered)
                    .unwrap_or_default()
                {
                    let transitions = fleet[peer as usize].recovery.as_ref();
                    let transitions = transitions.map(|r| Peer {
                        uptime: r.uptime(now),
                        phase: Some(r.phase()),
                    });
                    if let Some(transitions) = transitions.filter(|_| rng.u64(0..100) >= deaf) {
                        answers.push((now + rng.u64(0..300) * MS, at, peer, transitions));
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
            let recovery = gatherer.recovery.as_mut().expect("it is up");
            due.into_iter().for_each(|(_, _, peer, transitions)| {
                recovery.on_peer_answer(peer, transitions, now)
            });
            let transitions = now >= discovery_at;
            if transitions || has_list[at] {
                recovery.on_endpoints(true, transitions, now);
                gatherer.listed_at.get_or_insert(now);
            }
            recovery.tick(now);
            if recovery.is_ready() {
                let ready = *gatherer.ready_at.get_or_insert(now);
                let on_endpoints = gatherer.listed_at.ok_or("ready without a list")?;
                if ready > on_endpoints.max(gatherer.up_at + LIST) + 20 * MS {
                    return Err(format!(
                        "gatherer {at} was ready {} ms too late",
                        (ready - on_endpoints) / MS
                    ));
                }
            } else if now > gatherer.listed_at.unwrap_or(now).max(gatherer.up_at + LIST) + 20 * MS {
                return Err(format!("gatherer {at} is kept at {}", recovery.phase()));
            }
        }
    }
    let phases: BTreeMap<usize, Phase> = fleet
        .iter()
        .enumerate()
        .filter_map(|(at, g)| Some((at, g.recovery.as_ref()?.phase())))
        .collect();
    let full = phases.len() == count && phases.values().all(|phase| *phase == Phase::Serving);
    if full {
        Ok(())
    } else {
        Err(format!("in the end {phases:?}"))
    }
}

#[test]
fn no_circular_wait_and_all_serve_in_the_end() {
    for seed in 0..60 {
        play(seed).unwrap_or_else(|problem| panic!("seed {seed}: {problem}"));
    }
}
