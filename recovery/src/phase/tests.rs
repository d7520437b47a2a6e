//! Tests of `phase`.

use super::*;

const MS: Time = 1_000_000;

fn start(peers: &[u64]) -> Recovery {
    let slow_start = SlowStart::new(0.2, 10_000 * MS, 1_000 * MS, &[1.0, 5.0, 2.0]);
    let config = Config {
        peer_timeout: 1_000 * MS,
        discovery_timeout: 1_500 * MS,
        restart_window: 5_000 * MS,
        slow_start,
        query_timeout: 3_000 * MS,
    };
    Recovery::new(config, peers.iter().copied(), 100 * MS)
}

fn peer(uptime: Time, phase: Phase) -> Peer {
    Peer {
        uptime,
        phase: Some(phase),
    }
}

#[test]
fn single_restart_serves_once_it_has_endpoints() {
    let mut recovery = start(&[1, 2]);
    recovery.on_endpoints(true, false, 110 * MS);
    assert_eq!(
        (recovery.phase(), recovery.is_ready()),
        (Phase::QueryingPeers, false)
    );
    // One peer in full service is enough; the other is not waited for.
    recovery.on_peer_answer(2, peer(90_000 * MS, Phase::Serving), 150 * MS);
    assert_eq!(
        (
            recovery.phase(),
            recovery.is_ready(),
            recovery.distrusts_hosts()
        ),
        (Phase::Serving, true, false)
    );
    assert_eq!(recovery.admit(0, 1.0, 150 * MS), Admission::Admitted);
    assert_eq!(
        recovery.reasons(),
        [Reason::SingleRestart, Reason::EndpointsUnconfirmed]
    );
}

#[test]
fn fleet_restart_uses_slow_start_and_distrusts_persisted_endpoints() {
    let mut recovery = start(&[1, 2]);
    recovery.on_peer_answer(1, peer(30 * MS, Phase::QueryingPeers), 140 * MS);
    recovery.on_peer_answer(9, peer(30 * MS, Phase::Serving), 140 * MS);
    assert_eq!(
        recovery.phase(),
        Phase::QueryingPeers,
        "answers from unknown peers are ignored"
    );
    recovery.on_peer_answer(2, peer(2_000 * MS, Phase::AwaitingEndpoints), 150 * MS);
    assert_eq!(
        (recovery.phase(), recovery.reasons()),
        (Phase::AwaitingEndpoints, vec![Reason::NoEndpoints])
    );
    recovery.on_endpoints(true, false, 160 * MS);
    // Waits for discovery, but only until the time-out.
    assert_eq!(
        (recovery.phase(), recovery.due()),
        (Phase::AwaitingEndpoints, Some(1_600 * MS))
    );
    recovery.tick(1_600 * MS);
    assert_eq!(
        (recovery.phase(), recovery.distrusts_hosts()),
        (Phase::SlowStart, true)
    );
    recovery.on_endpoints(true, true, 1_700 * MS);
    assert!(
        !recovery.distrusts_hosts(),
        "discovery knows when each host started"
    );
    recovery.tick(11_599 * MS);
    assert_eq!(recovery.phase(), Phase::SlowStart);
    recovery.tick(11_600 * MS);
    let transitions: Vec<(Phase, Phase)> = recovery
        .take_transitions()
        .iter()
        .map(|c| (c.from, c.to))
        .collect();
    let phases = [
        Phase::QueryingPeers,
        Phase::AwaitingEndpoints,
        Phase::SlowStart,
        Phase::Serving,
    ];
    assert_eq!(
        transitions,
        phases.windows(2).map(|w| (w[0], w[1])).collect::<Vec<_>>()
    );
}

#[test]
fn waits_for_peers_until_timeout() {
    let mut recovery = start(&[1, 2, 3]);
    recovery.on_peer_answer(3, peer(90_000 * MS, Phase::SlowStart), 200 * MS);
    assert_eq!(
        (recovery.due(), recovery.unanswered()),
        (Some(1_100 * MS), vec![1, 2])
    );
    recovery.on_endpoints(true, true, 1_099 * MS);
    assert!(!recovery.is_ready());
    recovery.tick(1_100 * MS);
    // The only peer that answered has been running for long, so only this gatherer restarted.
    assert_eq!(recovery.phase(), Phase::Serving);
    let reasons = &recovery.take_transitions()[0].reasons;
    assert_eq!(
        reasons[..],
        [Reason::SingleRestart, Reason::PeersTimedOut(2)]
    );
    let mut cut_off = start(&[1, 2, 3]);
    cut_off.on_endpoints(true, true, 200 * MS);
    cut_off.tick(1_100 * MS);
    assert_eq!(
        cut_off.phase(),
        Phase::SlowStart,
        "without answers a fleet restart is assumed"
    );
}
