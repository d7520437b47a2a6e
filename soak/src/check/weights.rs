//! Rules on weights: no request is executed on outdated ones, every backend is updated, and only
//! one router sends orders at a time.

use super::{SLACK_MS, Violation, acknowledged, in_touch, violation};
use crate::clock::Millis;
use crate::history::{
    BackendState, Change, ChangeRecord, History, ProcessEvent, ReceivedOrder, Request,
};
use crate::settings::{CONTACT_MS, LEASE_MS, VERSION_MS};
use std::collections::{BTreeMap, HashMap};

/// Shorter stretches without faults do not count.
const MIN_CALM_MS: Millis = 2_000;
/// The total time without faults after which a backend must have newer weights.
const DEPLOYMENT_MS: Millis = VERSION_MS * 3 / 2;
/// Orders so soon after their sender was suspended, or the link to their backend partitioned, may
/// have been in flight before.
const IN_FLIGHT_MS: Millis = 300;

/// No request begins on weights that were replaced too long ago.
pub(super) fn old_weights(history: &History) -> Vec<Violation> {
    let requests: HashMap<u64, &Request> = history
        .requests
        .iter()
        .map(|request| (request.id, request))
        .collect();
    let mut found = Vec::new();
    for run in &history.runs {
        let (Some(begun), Some(request)) = (run.begun_at, requests.get(&run.request)) else {
            continue;
        };
        let is_too_old = |changed: &&ChangeRecord| match changed.change {
            Change::Weights(version) => {
                version > run.version
                    && begun > changed.answered_at + VERSION_MS + SLACK_MS
                    && in_touch(history, request.router, changed.answered_at, begun)
            }
            Change::Configuration { .. } => false,
        };
        if let Some(changed) = acknowledged(history).find(is_too_old) {
            let what = format!(
                "it began on version {}, {} ms after {:?} was acknowledged: {request:?}, {run:?}",
                run.version,
                begun - changed.answered_at,
                changed.change
            );
            found.push(violation("VERSION", begun, request, &what));
        }
    }
    found
}

/// A span of time, from begin to end.
type Span = (Millis, Millis);

/// The versions of weights with the times of their acknowledgement.
fn named(history: &History) -> impl Iterator<Item = (u64, Millis)> {
    acknowledged(history).filter_map(|changed| match changed.change {
        Change::Weights(version) => Some((version, changed.answered_at)),
        Change::Configuration { .. } => None,
    })
}

/// When replicas of the control state had faults, or had them within [`CONTACT_MS`] before.
fn control_faults(history: &History) -> Vec<Span> {
    let mut open: BTreeMap<usize, Millis> = BTreeMap::new();
    let mut spans = Vec::new();
    for event in history
        .router_events
        .iter()
        .filter(|event| event.router < history.replicas)
    {
        match event.event {
            ProcessEvent::Reloaded => continue,
            ProcessEvent::Suspended | ProcessEvent::Terminated | ProcessEvent::Killed => {
                open.entry(event.router).or_insert(event.at);
            }
            ProcessEvent::Resumed | ProcessEvent::Exited(_) | ProcessEvent::Started => {
                let begun = open.remove(&event.router).unwrap_or(event.at);
                spans.push((begun, event.at + CONTACT_MS));
            }
        }
    }
    spans.extend(open.into_values().map(|begun| (begun, Millis::MAX)));
    spans
}

/// When a backend was in a faulty state, or had been within [`CONTACT_MS`] before.
fn backend_faults(
    history: &History,
    backend: u64,
    begins: BackendState,
    ends: BackendState,
) -> Vec<Span> {
    let mut spans = Vec::new();
    let mut since = None;
    for event in history
        .backends
        .iter()
        .filter(|event| event.backend == backend)
    {
        if event.state == begins {
            since = since.or(Some(event.at));
        } else if event.state == ends {
            spans.extend(since.take().map(|since| (since, event.at + CONTACT_MS)));
        }
    }
    spans.extend(since.map(|since| (since, Millis::MAX)));
    spans
}

/// How much of a span has no faults, in stretches of at least [`MIN_CALM_MS`].
fn calm_within((from, to): Span, faults: &[Span]) -> Millis {
    let mut faults = faults.to_vec();
    faults.sort_unstable();
    let mut calm = 0;
    let mut begun = from;
    for (since, until) in faults.into_iter().chain([(to, Millis::MAX)]) {
        let stretch = since.min(to).saturating_sub(begun);
        if stretch >= MIN_CALM_MS {
            calm += stretch;
        }
        begun = begun.max(until);
    }
    calm
}

/// Every backend that responds gets newer weights, however often faults interrupt that.
pub(super) fn left_behind(history: &History) -> Vec<Violation> {
    let end = history
        .requests
        .iter()
        .map(|request| request.ended_at)
        .max()
        .unwrap_or(0);
    let core = control_faults(history);
    let named: Vec<(u64, Millis)> = named(history).collect();
    let starts = history
        .backends
        .iter()
        .filter_map(|event| match event.state {
            BackendState::Started { version } => Some((event.backend, event.at, version)),
            _ => None,
        });
    let mut found = Vec::new();
    for (backend, started, first) in starts {
        let life = || {
            history
                .backends
                .iter()
                .filter(move |event| event.backend == backend)
        };
        let left = life()
            .find(|event| event.state == BackendState::Stopping)
            .map_or(end, |event| event.at);
        let mut faults = core.clone();
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
        let versions = life().filter_map(|event| match event.state {
            BackendState::Loaded { version } => Some((version, event.at)),
            _ => None,
        });
        let versions: Vec<(u64, Millis)> = versions.chain([(first, started)]).collect();
        for (version, acknowledged) in &named {
            let loaded = versions
                .iter()
                .filter(|(held, _)| held >= version)
                .map(|(_, at)| *at)
                .min();
            let until = loaded.unwrap_or(left).min(left);
            let calm = calm_within((started.max(*acknowledged), until), &faults);
            if calm > DEPLOYMENT_MS + SLACK_MS {
                let what = format!(
                    "backend {backend} had no version {version} after {calm} ms of calm time"
                );
                found.push(Violation {
                    rule: "VERSION",
                    at: until,
                    what,
                });
                break;
            }
        }
    }
    found
}

/// The version of the weights of a backend is monotonic.
pub(super) fn gone_back(history: &History) -> Vec<Violation> {
    let mut versions: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for event in &history.backends {
        let (BackendState::Started { version } | BackendState::Loaded { version }) = event.state
        else {
            continue;
        };
        let former = versions.insert(event.backend, version).unwrap_or(0);
        if version < former {
            let what = format!(
                "backend {} went from version {former} to {version}",
                event.backend
            );
            found.push(Violation {
                rule: "VERSION",
                at: event.at,
                what,
            });
        }
    }
    found
}

/// One fencing token has one holder.
pub(super) fn holders(history: &History) -> Vec<Violation> {
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut found = Vec::new();
    for order in &history.orders {
        let holder = holders.entry(order.fencing_token).or_insert(&order.holder);
        if *holder != order.holder {
            let what = format!(
                "{holder} and {} use fencing token {}",
                order.holder, order.fencing_token
            );
            found.push(Violation {
                rule: "ONE",
                at: order.at,
                what,
            });
        }
    }
    found
}

/// Orders of two lease holders are at least a lease apart.
pub(super) fn turns(history: &History) -> Vec<Violation> {
    let was_in_flight = |order: &&ReceivedOrder| {
        let thaws = history
            .router_events
            .iter()
            .filter(|event| event.event == ProcessEvent::Resumed);
        let heals = history.backends.iter().filter(|event| {
            event.backend == order.backend && event.state == BackendState::Reachable
        });
        let ends = thaws
            .map(|event| event.at)
            .chain(heals.map(|event| event.at));
        ends.into_iter()
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
    let tell = |pair: &[&ReceivedOrder]| {
        let (one, other) = (pair[0], pair[1]);
        let what = format!(
            "{} orders {} ms after {}",
            other.holder,
            other.at - one.at,
            one.holder
        );
        Violation {
            rule: "ONE",
            at: other.at,
            what,
        }
    };
    too_close.map(tell).collect()
}
