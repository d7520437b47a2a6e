//! What concerns weights: no request begins on old ones, no backend is left behind, and orders come
//! from one router at a time.

use super::{SLACK_MS, Violation, acknowledged, in_touch, violation};
use crate::clock::Millis;
use crate::history::{Blow, Change, Changed, History, OrderSeen, Request, Stage};
use crate::settings::{CONTACT_MS, LEASE_MS, VERSION_MS};
use std::collections::{BTreeMap, HashMap};

/// Calm times that are shorter don't count.
const SHORTEST_CALM_MS: Millis = 2_000;
/// A backend has newer weights after so much calm time altogether.
const BEHIND_MS: Millis = VERSION_MS * 3 / 2;
/// Orders so soon after their sender stood still, or the way to their backend was cut, may have
/// been on their way before.
const THAW_MS: Millis = 300;

/// No request begins on weights that have been replaced for too long.
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
        let is_too_old = |changed: &&Changed| match changed.change {
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

/// From when to when.
type Span = (Millis, Millis);

/// Versions of weights with the moments at which they were acknowledged.
fn named(history: &History) -> impl Iterator<Item = (u64, Millis)> {
    acknowledged(history).filter_map(|changed| match changed.change {
        Change::Weights(version) => Some((version, changed.answered_at)),
        Change::Configuration { .. } => None,
    })
}

/// When routers with the control state had trouble, or had had some a moment before.
fn troubled(history: &History) -> Vec<Span> {
    let mut open: BTreeMap<usize, Millis> = BTreeMap::new();
    let mut spans = Vec::new();
    for struck in history
        .struck
        .iter()
        .filter(|struck| struck.router < history.replicas)
    {
        match struck.blow {
            Blow::HungUp => continue,
            Blow::Stopped | Blow::Terminated | Blow::Killed => {
                open.entry(struck.router).or_insert(struck.at);
            }
            Blow::Continued | Blow::Ended(_) | Blow::Started => {
                let begun = open.remove(&struck.router).unwrap_or(struck.at);
                spans.push((begun, struck.at + CONTACT_MS));
            }
        }
    }
    spans.extend(open.into_values().map(|begun| (begun, Millis::MAX)));
    spans
}

/// When a backend was in such a trouble, or had been a moment before.
fn troubles_of(history: &History, backend: u64, begins: Stage, ends: Stage) -> Vec<Span> {
    let mut spans = Vec::new();
    let mut since = None;
    for staged in history
        .backends
        .iter()
        .filter(|staged| staged.backend == backend)
    {
        if staged.stage == begins {
            since = since.or(Some(staged.at));
        } else if staged.stage == ends {
            spans.extend(since.take().map(|since| (since, staged.at + CONTACT_MS)));
        }
    }
    spans.extend(since.map(|since| (since, Millis::MAX)));
    spans
}

/// How much of a span lies outside of others, in stretches that are long enough.
fn calm_within((from, to): Span, troubles: &[Span]) -> Millis {
    let mut troubles = troubles.to_vec();
    troubles.sort_unstable();
    let mut calm = 0;
    let mut begun = from;
    for (since, until) in troubles.into_iter().chain([(to, Millis::MAX)]) {
        let stretch = since.min(to).saturating_sub(begun);
        if stretch >= SHORTEST_CALM_MS {
            calm += stretch;
        }
        begun = begun.max(until);
    }
    calm
}

/// Every backend that answers gets newer weights, however often trouble interrupts.
pub(super) fn left_behind(history: &History) -> Vec<Violation> {
    let end = history
        .requests
        .iter()
        .map(|request| request.ended_at)
        .max()
        .unwrap_or(0);
    let core = troubled(history);
    let named: Vec<(u64, Millis)> = named(history).collect();
    let starts = history
        .backends
        .iter()
        .filter_map(|staged| match staged.stage {
            Stage::Started { version } => Some((staged.backend, staged.at, version)),
            _ => None,
        });
    let mut found = Vec::new();
    for (backend, started, first) in starts {
        let life = || {
            history
                .backends
                .iter()
                .filter(move |staged| staged.backend == backend)
        };
        let left = life()
            .find(|staged| staged.stage == Stage::Leaving)
            .map_or(end, |staged| staged.at);
        let mut troubles = core.clone();
        troubles.extend(troubles_of(
            history,
            backend,
            Stage::Hanging,
            Stage::Answering,
        ));
        troubles.extend(troubles_of(history, backend, Stage::Cut, Stage::Healed));
        let versions = life().filter_map(|staged| match staged.stage {
            Stage::Loaded { version } => Some((version, staged.at)),
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
            let calm = calm_within((started.max(*acknowledged), until), &troubles);
            if calm > BEHIND_MS + SLACK_MS {
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

/// No backend gets older weights than it has.
pub(super) fn gone_back(history: &History) -> Vec<Violation> {
    let mut versions: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for staged in &history.backends {
        let (Stage::Started { version } | Stage::Loaded { version }) = staged.stage else {
            continue;
        };
        let former = versions.insert(staged.backend, version).unwrap_or(0);
        if version < former {
            let what = format!(
                "backend {} went from version {former} to {version}",
                staged.backend
            );
            found.push(Violation {
                rule: "VERSION",
                at: staged.at,
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
        let holder = holders.entry(order.fence).or_insert(&order.holder);
        if *holder != order.holder {
            let what = format!(
                "{holder} and {} use fencing token {}",
                order.holder, order.fence
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

/// Orders of two routers lie further apart than a lease.
pub(super) fn turns(history: &History) -> Vec<Violation> {
    let has_just_thawed = |order: &&OrderSeen| {
        let thaws = history
            .struck
            .iter()
            .filter(|struck| struck.blow == Blow::Continued);
        let heals = history
            .backends
            .iter()
            .filter(|staged| staged.backend == order.backend && staged.stage == Stage::Healed);
        let ends = thaws
            .map(|struck| struck.at)
            .chain(heals.map(|staged| staged.at));
        ends.into_iter()
            .any(|at| (at..at + THAW_MS + SLACK_MS).contains(&order.at))
    };
    let mut orders: Vec<&OrderSeen> = history
        .orders
        .iter()
        .filter(|order| !has_just_thawed(order))
        .collect();
    orders.sort_by_key(|order| order.at);
    let pairs = orders
        .windows(2)
        .filter(|pair| pair[0].holder != pair[1].holder);
    let too_close = pairs.filter(|pair| pair[1].at < pair[0].at + LEASE_MS);
    let tell = |pair: &[&OrderSeen]| {
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
