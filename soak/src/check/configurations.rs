//! Rules on configurations: they are in force in time, versions are monotonic, and of two changes
//! on top of one version one succeeds.

use super::{SLACK_MS, Violation, acknowledged, in_touch};
use crate::clock::Millis;
use crate::history::{Change, History, ProcessEvent};
use crate::settings::CONFIG_APPLY_MS;
use std::collections::BTreeMap;

pub(super) fn acknowledged_configurations(
    history: &History,
) -> impl Iterator<Item = (u64, Millis)> {
    acknowledged(history).filter_map(|changed| match changed.change {
        Change::Configuration { version, .. } => Some((version, changed.answered_at)),
        Change::Weights(_) => None,
    })
}

/// A router in contact has a configuration in force soon after its acknowledgement.
pub(super) fn in_force(history: &History) -> Vec<Violation> {
    let acks: Vec<(u64, Millis)> = acknowledged_configurations(history).collect();
    let mut found = Vec::new();
    for seen in &history.statuses {
        let is_due = |(version, at): &&(u64, Millis)| {
            *version > seen.configuration
                && seen.asked_at > *at + CONFIG_APPLY_MS + SLACK_MS
                && in_touch(history, seen.router, *at, seen.answered_at)
        };
        if let Some((version, at)) = acks.iter().find(is_due) {
            let what = format!(
                "router {} had version {} still, {} ms after {version} was acknowledged",
                seen.router,
                seen.configuration,
                seen.asked_at - at
            );
            found.push(Violation {
                rule: "CONFIG",
                at: seen.asked_at,
                what,
            });
        }
    }
    found
}

/// Within one incarnation of a process its version of the configuration is monotonic.
pub(super) fn gone_back(history: &History) -> Vec<Violation> {
    let mut newest: BTreeMap<usize, (u64, Millis)> = BTreeMap::new();
    let mut found = Vec::new();
    for seen in &history.statuses {
        let started = history.router_events.iter().filter(|event| {
            event.router == seen.router
                && event.event == ProcessEvent::Started
                && event.at <= seen.answered_at
        });
        let life = started.map(|event| event.at).max().unwrap_or(0);
        let before = newest.entry(seen.router).or_default();
        if before.1 < life {
            *before = (0, 0);
        }
        if seen.configuration < before.0 && before.1 <= seen.asked_at && life < before.1 {
            let what = format!(
                "router {} went from version {} to {}",
                seen.router, before.0, seen.configuration
            );
            found.push(Violation {
                rule: "CONFIG",
                at: seen.answered_at,
                what,
            });
        }
        if seen.configuration >= before.0 {
            *before = (seen.configuration, seen.answered_at);
        }
    }
    found
}

/// Of two changes on top of one version at most one is acknowledged.
pub(super) fn races(history: &History) -> Vec<Violation> {
    let mut taken: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for changed in acknowledged(history) {
        let Change::Configuration { base, variant, .. } = changed.change else {
            continue;
        };
        if let Some(other) = taken
            .insert(base, variant)
            .filter(|other| *other != variant)
        {
            let what = format!(
                "variants {other} and {variant} are both acknowledged on top of version {base}"
            );
            found.push(Violation {
                rule: "CONFIG",
                at: changed.answered_at,
                what,
            });
        }
    }
    found
}
