//! Rules on configurations: each is in force in time, versions are monotonic, and at most one
//! change to the same base version succeeds.

use super::{SLACK_MS, Violation, acknowledged, was_connected};
use crate::clock::Millis;
use crate::history::{Change, History, ProcessEvent};
use crate::settings::CONFIG_APPLY_MS;
use std::collections::BTreeMap;

pub(super) fn acknowledged_configurations(
    history: &History,
) -> impl Iterator<Item = (u64, Millis)> {
    acknowledged(history).filter_map(|change_record| match change_record.change {
        Change::Configuration { version, .. } => Some((version, change_record.answered_at)),
        Change::Weights(_) => None,
    })
}

/// A connected router has a configuration in force [`CONFIG_APPLY_MS`] after its acknowledgement.
pub(super) fn late_configurations(history: &History) -> Vec<Violation> {
    let acknowledged: Vec<(u64, Millis)> = acknowledged_configurations(history).collect();
    let mut found = Vec::new();
    for status in &history.statuses {
        let is_due = |(version, at): &&(u64, Millis)| {
            *version > status.configuration
                && status.asked_at > *at + CONFIG_APPLY_MS + SLACK_MS
                && was_connected(history, status.router, *at, status.answered_at)
        };
        if let Some((version, at)) = acknowledged.iter().find(is_due) {
            let details = format!(
                "router {} still had version {}, {} ms after {version} was acknowledged",
                status.router,
                status.configuration,
                status.asked_at - at
            );
            found.push(Violation {
                rule: "CONFIG",
                at: status.asked_at,
                details,
            });
        }
    }
    found
}

/// While a process runs, the version of its configuration is monotonic.
pub(super) fn regressions(history: &History) -> Vec<Violation> {
    let mut newest: BTreeMap<usize, (u64, Millis)> = BTreeMap::new();
    let mut found = Vec::new();
    for status in &history.statuses {
        let starts = history.router_events.iter().filter(|event| {
            event.router == status.router
                && event.event == ProcessEvent::Started
                && event.at <= status.answered_at
        });
        let started_at = starts.map(|event| event.at).max().unwrap_or(0);
        let previous = newest.entry(status.router).or_default();
        if previous.1 < started_at {
            *previous = (0, 0);
        }
        if status.configuration < previous.0
            && previous.1 <= status.asked_at
            && started_at < previous.1
        {
            let details = format!(
                "router {} regressed from version {} to {}",
                status.router, previous.0, status.configuration
            );
            found.push(Violation {
                rule: "CONFIG",
                at: status.answered_at,
                details,
            });
        }
        if status.configuration >= previous.0 {
            *previous = (status.configuration, status.answered_at);
        }
    }
    found
}

/// At most one change to the same base version is acknowledged.
pub(super) fn conflicting_changes(history: &History) -> Vec<Violation> {
    let mut variants: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for change_record in acknowledged(history) {
        let Change::Configuration { base, variant, .. } = change_record.change else {
            continue;
        };
        if let Some(other) = variants
            .insert(base, variant)
            .filter(|other| *other != variant)
        {
            let details = format!(
                "variants {other} and {variant} were both acknowledged as changes to version {base}"
            );
            found.push(Violation {
                rule: "CONFIG",
                at: change_record.answered_at,
                details,
            });
        }
    }
    found
}
