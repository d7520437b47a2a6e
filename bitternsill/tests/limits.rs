//! Limits derived from the deployment settings.

use bitternsill::limits::{Limits, MS};
use dispatch::Aggregator;
use dispatch::interface::{Action, Endpoint, Event, ListKind, ServerId, Settings, Time};

/// Guards against too short a shutdown: with deadlines under half a second, the last queries had
/// only 0.1 s and then failed.
#[test]
fn shutdown_leaves_time_for_last_queries() {
    for deadline in [300, 400, 600, 1000, 1400, 2500, 5000] {
        for aim in [deadline / 3, deadline / 2, deadline * 3 / 4] {
            let limits = Limits::default().with_shutdown(deadline * MS, aim * MS);
            let kill = deadline.min(3000) * MS + 700 * MS;
            let (keep, last) = (limits.keep_serving, limits.shutdown_deadline);
            assert!(
                last < kill,
                "{deadline}, {aim}: shutdown deadline after the kill"
            );
            assert!(
                keep >= 450 * MS,
                "{deadline}, {aim}: accepts connections for less than 0.45 s"
            );
            let fits = keep + aim * MS <= last || keep == 450 * MS;
            assert!(
                fits,
                "{deadline}, {aim}: {} and {} of {}",
                keep / MS,
                aim,
                last / MS
            );
        }
    }
}

#[test]
fn client_and_host_limits_reserve_descriptors() {
    for descriptors in [120, 256, 512, 1024, 4096] {
        let limits = Limits::default()
            .with_descriptors(descriptors)
            .with_memory(192);
        let own = descriptors - limits.clients - limits.host_links;
        assert!(
            own >= 24 + limits.admin_connections,
            "{descriptors}: only {own} reserved"
        );
        assert!(
            limits.host_links >= descriptors / 10,
            "{descriptors}: {}",
            limits.host_links
        );
    }
}

/// The delays of an aggregator with a list before its next call, after each of these consecutive
/// failures; `true` for a refused call.
fn retry_delays(aggregators: u32, refused: &[bool], seed: u64) -> Vec<Time> {
    let settings = Settings {
        aggregators,
        discovery_on_request: true,
        max_list_age: 20_000 * MS,
        cells: 1,
        replication_factor: 1,
        ..Settings::default()
    };
    let (mut module, mut now, mut out) = (Aggregator::new(settings, seed), 1000 * MS, Vec::new());
    let entries = [Endpoint {
        server: ServerId(7),
        ..Endpoint::default()
    }]
    .into();
    module.turn(
        now,
        &[Event::Endpoints {
            kind: ListKind::Complete,
            entries,
        }],
        &mut out,
    );
    let mut wait = |refused: &bool| {
        out.clear();
        module.turn(
            now,
            &[Event::DiscoveryFailed { refused: *refused }],
            &mut out,
        );
        let due = out.iter().find_map(|action| match action {
            Action::WakeAt(at) => Some(*at),
            _ => None,
        });
        let before = std::mem::replace(&mut now, due.expect("no further call scheduled"));
        out.clear();
        module.turn(now, &[Event::Wake], &mut out);
        assert!(
            out.contains(&Action::Watch(true)),
            "no call at the scheduled time"
        );
        now - before
    };
    refused.iter().map(&mut wait).collect()
}

/// A change must be known 6 s after discovery had it and could be reached, whatever failed before.
/// Guards against two cases in a fleet of a hundred: a silent watch followed by a timed-out call
/// took 8.9 s, and a timed-out call after refused ones 10 s.
#[test]
fn discovery_delays_fit_in_six_seconds_for_any_fleet_size() {
    let limits = Limits::default();
    let (silent, call, answer) = (
        limits.watch_timeout,
        limits.discovery_timeout,
        limits.discovery_busy_timeout,
    );
    // Leaves 200 ms for the response to the last call.
    let time_limit = 6_000 * MS - 200 * MS;
    for aggregators in [1, 3, 10, 30, 60, 100, 300, 1000] {
        for seed in 0..40 {
            // A watch falls silent, and the next call times out.
            let after = retry_delays(aggregators, &[false, false], seed);
            let took = silent + after[0] + call + after[1];
            assert!(took <= time_limit, "{aggregators}: {} ms", took / MS);
            // Discovery returns just after it refused a call; then the next call times out, or its
            // watch is silent from the start, or it ends without an update.
            for refusals in 1..12 {
                let failures: Vec<bool> = (0..=refusals).map(|at| at < refusals).collect();
                let after = retry_delays(aggregators, &failures, seed);
                let (before_return, after_return) = (after[refusals - 1], after[refusals]);
                for lost in [answer, silent] {
                    let took = before_return + lost + after_return;
                    assert!(
                        took <= time_limit,
                        "{aggregators}, {refusals} refusals: {} ms",
                        took / MS
                    );
                }
            }
        }
    }
}
