//! Rules on weights: no request is executed on outdated weights, every backend is updated, and only
//! one router sends orders at a time.

use super::{SLACK_MS, Violation, acknowledged, violation, was_connected};
use crate::clock::Millis;
use crate::history::{
    BackendState, Change, ChangeRecord, History, ProcessEvent, ReceivedOrder, Request,
};
use crate::settings::{LEASE_MS, RECONNECT_MS, WEIGHTS_APPLY_MS};
use std::collections::{BTreeMap, HashMap};

/// The shortest period without faults that counts as time for a deployment.
const MIN_FAULT_FREE_MS: Millis = 2_000;
/// The total time without faults after which a backend must have loaded newer weights.
const DEPLOYMENT_MS: Millis = WEIGHTS_APPLY_MS * 3 / 2;
/// Orders that are received within this time after a router is resumed, or after a partition of the
/// link to their backend ends, may have been sent before.
const IN_FLIGHT_MS: Millis = 300;

/// No request starts on a version of the weights if a newer one was acknowledged more than
/// [`WEIGHTS_APPLY_MS`] before.
pub(super) fn outdated_executions(history: &History) -> Vec<Violation> {
    let requests: HashMap<u64, &Request> = history
        .requests
        .iter()
        .map(|request| (request.id, request))
        .collect();
    let mut found = Vec::new();
    for execution in &history.executions {
        let (Some(started_at), Some(request)) =
            (execution.started_at, requests.get(&execution.request))
        else {
            continue;
        };
        let is_too_old = |change_record: &&ChangeRecord| match change_record.change {
            Change::Weights(version) => {
                version > execution.version
                    && started_at > change_record.answered_at + WEIGHTS_APPLY_MS + SLACK_MS
                    && was_connected(
                        history,
                        request.router,
                        change_record.answered_at,
                        started_at,
                    )
            }
            Change::Configuration { .. } => false,
        };
        if let Some(change_record) = acknowledged(history).find(is_too_old) {
            let details = format!(
                "started on version {}, {} ms after {:?} was acknowledged: {request:?}, {execution:?}",
                execution.version,
                started_at - change_record.answered_at,
                change_record.change
            );
            found.push(violation("VERSION", started_at, request, &details));
        }
    }
    found
}

/// A period of time, from start to end.
type Period = (Millis, Millis);

/// The versions of the weights with the times of their acknowledgement.
fn acknowledged_versions(history: &History) -> impl Iterator<Item = (u64, Millis)> {
    acknowledged(history).filter_map(|change_record| match change_record.change {
        Change::Weights(version) => Some((version, change_record.answered_at)),
        Change::Configuration { .. } => None,
    })
}

/// The periods in which replicas of the control state had faults, or had them at most
/// [`RECONNECT_MS`] before.
fn control_faults(history: &History) -> Vec<Period> {
    let mut faulty_since: BTreeMap<usize, Millis> = BTreeMap::new();
    let mut periods = Vec::new();
    for event in history
        .router_events
        .iter()
        .filter(|event| event.router < history.replicas)
    {
        match event.event {
            ProcessEvent::Reloaded => continue,
            ProcessEvent::Suspended | ProcessEvent::Terminated | ProcessEvent::Killed => {
                faulty_since.entry(event.router).or_insert(event.at);
            }
            ProcessEvent::Resumed | ProcessEvent::Exited(_) | ProcessEvent::Started => {
                let since = faulty_since.remove(&event.router).unwrap_or(event.at);
                periods.push((since, event.at + RECONNECT_MS));
            }
        }
    }
    periods.extend(faulty_since.into_values().map(|since| (since, Millis::MAX)));
    periods
}

/// The periods in which a backend was in a faulty state, or had been at most [`RECONNECT_MS`]
/// before.
fn backend_faults(
    history: &History,
    backend: u64,
    faulty: BackendState,
    recovered: BackendState,
) -> Vec<Period> {
    let mut periods = Vec::new();
    let mut since = None;
    for event in history
        .backends
        .iter()
        .filter(|event| event.backend == backend)
    {
        if event.state == faulty {
            since = since.or(Some(event.at));
        } else if event.state == recovered {
            periods.extend(since.take().map(|since| (since, event.at + RECONNECT_MS)));
        }
    }
    periods.extend(since.map(|since| (since, Millis::MAX)));
    periods
}

/// The time without faults in a period, summed over stretches of at least [`MIN_FAULT_FREE_MS`].
fn fault_free_ms((from, to): Period, faults: &[Period]) -> Millis {
    let mut faults = faults.to_vec();
    faults.sort_unstable();
    let mut total = 0;
    let mut fault_free_since = from;
    for (since, until) in faults.into_iter().chain([(to, Millis::MAX)]) {
        let stretch = since.min(to).saturating_sub(fault_free_since);
        if stretch >= MIN_FAULT_FREE_MS {
            total += stretch;
        }
        fault_free_since = fault_free_since.max(until);
    }
    total
}

/// Every backend that responds is updated to newer weights, however often faults interrupt the
/// deployment.
pub(super) fn missing_updates(history: &History) -> Vec<Violation> {
    let end = history
        .requests
        .iter()
        .map(|request| request.ended_at)
        .max()
        .unwrap_or(0);
    let control_faults = control_faults(history);
    let announced: Vec<(u64, Millis)> = acknowledged_versions(history).collect();
    let starts = history
        .backends
        .iter()
        .filter_map(|event| match event.state {
            BackendState::Started { version } => Some((event.backend, event.at, version)),
            _ => None,
        });
    let mut found = Vec::new();
    for (backend, started_at, first_version) in starts {
        let events = || {
            history
                .backends
                .iter()
                .filter(move |event| event.backend == backend)
        };
        let stopped_at = events()
            .find(|event| event.state == BackendState::Stopping)
            .map_or(end, |event| event.at);
        let mut faults = control_faults.clone();
        faults.extend(backend_faults(
            history,
            backend,
            BackendState::Unresponsive,
            BackendState::Responding,
        ));
        faults.extend(backend_faults(
            history,
            backend,
            BackendState::Partitioned,
            BackendState::Reachable,
        ));
        let versions = events().filter_map(|event| match event.state {
            BackendState::Loaded { version } => Some((version, event.at)),
            _ => None,
        });
        let versions: Vec<(u64, Millis)> = versions.chain([(first_version, started_at)]).collect();
        for (version, acknowledged_at) in &announced {
            let loaded_at = versions
                .iter()
                .filter(|(loaded, _)| loaded >= version)
                .map(|(_, at)| *at)
                .min();
            let until = loaded_at.unwrap_or(stopped_at).min(stopped_at);
            let fault_free = fault_free_ms((started_at.max(*acknowledged_at), until), &faults);
            if fault_free > DEPLOYMENT_MS + SLACK_MS {
                let details = format!(
                    "backend {backend} did not load version {version} in {fault_free} ms without faults"
                );
                found.push(Violation {
                    rule: "VERSION",
                    at: until,
                    details,
                });
                break;
            }
        }
    }
    found
}

/// The version of the weights of each backend is monotonic.
pub(super) fn regressions(history: &History) -> Vec<Violation> {
    let mut versions: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for event in &history.backends {
        let (BackendState::Started { version } | BackendState::Loaded { version }) = event.state
        else {
            continue;
        };
        let previous = versions.insert(event.backend, version).unwrap_or(0);
        if version < previous {
            let details = format!(
                "backend {} regressed from version {previous} to {version}",
                event.backend
            );
            found.push(Violation {
                rule: "VERSION",
                at: event.at,
                details,
            });
        }
    }
    found
}

/// A fencing token has only one holder.
pub(super) fn shared_fencing_tokens(history: &History) -> Vec<Violation> {
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut found = Vec::new();
    for order in &history.orders {
        let holder = holders.entry(order.fencing_token).or_insert(&order.holder);
        if *holder != order.holder {
            let details = format!(
                "{holder} and {} both use fencing token {}",
                order.holder, order.fencing_token
            );
            found.push(Violation {
                rule: "ONE",
                at: order.at,
                details,
            });
        }
    }
    found
}

/// Consecutive orders of different lease holders are at least [`LEASE_MS`] apart.
pub(super) fn overlapping_leases(history: &History) -> Vec<Violation> {
    let was_in_flight = |order: &&ReceivedOrder| {
        let resumes = history
            .router_events
            .iter()
            .filter(|event| event.event == ProcessEvent::Resumed);
        let recoveries = history.backends.iter().filter(|event| {
            event.backend == order.backend && event.state == BackendState::Reachable
        });
        let fault_ends = resumes
            .map(|event| event.at)
            .chain(recoveries.map(|event| event.at));
        fault_ends
            .into_iter()
            .any(|at| (at..at + IN_FLIGHT_MS + SLACK_MS).contains(&order.at))
    };
    let mut orders: Vec<&ReceivedOrder> = history
        .orders
        .iter()
        .filter(|order| !was_in_flight(order))
        .collect();
    orders.sort_by_key(|order| order.at);
    let pairs = orders
        .windows(2)
        .filter(|pair| pair[0].holder != pair[1].holder);
    let too_close = pairs.filter(|pair| pair[1].at < pair[0].at + LEASE_MS);
    let to_violation = |pair: &[&ReceivedOrder]| {
        let (first, second) = (pair[0], pair[1]);
        let details = format!(
            "{} sent an order {} ms after one from {}",
            second.holder,
            second.at - first.at,
            first.holder
        );
        Violation {
            rule: "ONE",
            at: second.at,
            details,
        }
    };
    too_close.map(to_violation).collect()
}
