//! Checks the history of a run against the rules.

mod configurations;
mod policies;
mod processes;
mod requests;
mod weights;
mod withdrawals;

use crate::clock::Millis;
use crate::history::{Change, ChangeRecord, History, ProcessEvent, Reply, Request, RouterEvent};
use crate::settings::RECONNECT_MS;
use std::collections::BTreeSet;
use std::fmt;

/// The delay that scheduling on a busy machine may add to a time limit.
const SLACK_MS: Millis = 400;
/// The percentage of requests that must be served after recovery.
const MIN_SERVED_PERCENT: u32 = 95;

/// A violated rule.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// When the violation was observed.
    pub at: Millis,
    /// The observation, as text.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at {} ms: {}",
            self.rule, self.at, self.details
        )
    }
}

/// Returns all violations, sorted by time.
pub fn violations(history: &History) -> Vec<Violation> {
    let checks = [
        requests::corrupted_responses,
        requests::forbidden_executions,
        requests::executed_refusals,
        requests::lost_requests,
        requests::late_cancellations,
        weights::outdated_executions,
        weights::missing_updates,
        weights::regressions,
        configurations::late_configurations,
        configurations::regressions,
        configurations::conflicting_changes,
        policies::repeated_executions,
        policies::shared_segments,
        weights::shared_fencing_tokens,
        weights::overlapping_leases,
        processes::failed_exits,
        withdrawals::late_requests,
        recovery,
    ];
    let mut found: Vec<Violation> = checks.iter().flat_map(|check| check(history)).collect();
    found.sort_by_key(|violation| violation.at);
    found
}

/// The number of requests that a strict policy bound, of those whose treatment depends on it.
pub fn requests_bound_by_strict_policy(history: &History) -> usize {
    policies::bound_requests(history)
}

/// Whether the selected routers had no faults in a period and in the [`RECONNECT_MS`] before it.
fn had_no_faults(
    history: &History,
    routers: impl Fn(usize) -> bool,
    from: Millis,
    to: Millis,
) -> bool {
    let from = from.saturating_sub(RECONNECT_MS);
    let is_fault = |event: &&RouterEvent| {
        routers(event.router)
            && event.event != ProcessEvent::Reloaded
            && (from..=to).contains(&event.at)
    };
    history.router_events.iter().find(is_fault).is_none()
        && !is_any_suspended(history, routers, from)
}

/// Whether any of the selected routers was suspended at a time.
fn is_any_suspended(history: &History, routers: impl Fn(usize) -> bool, at: Millis) -> bool {
    let mut suspended = BTreeSet::new();
    for event in history
        .router_events
        .iter()
        .filter(|event| routers(event.router) && event.at <= at)
    {
        match event.event {
            ProcessEvent::Suspended => suspended.insert(event.router),
            ProcessEvent::Resumed | ProcessEvent::Exited(_) => suspended.remove(&event.router),
            _ => false,
        };
    }
    !suspended.is_empty()
}

/// Whether a router is assumed to have been connected to the replicas of the control state: neither
/// the router nor any of the replicas had faults.
fn was_connected(history: &History, router: usize, from: Millis, to: Millis) -> bool {
    had_no_faults(
        history,
        |number| number < history.replicas || number == router,
        from,
        to,
    )
}

/// Whether a router's process was killed or suspended in a period.
fn was_interrupted(history: &History, router: usize, from: Millis, to: Millis) -> bool {
    let is_interruption = |event: &&RouterEvent| {
        event.router == router
            && matches!(
                event.event,
                ProcessEvent::Killed | ProcessEvent::Suspended | ProcessEvent::Resumed
            )
            && (from..=to).contains(&event.at)
    };
    history
        .router_events
        .iter()
        .any(|event| is_interruption(&event))
        || is_any_suspended(history, |number| number == router, from)
}

/// A violation that concerns one request.
fn violation(rule: &'static str, at: Millis, request: &Request, details: &str) -> Violation {
    let details = format!(
        "request {:016x} ({:?}) at router {}: {details}",
        request.id, request.kind, request.router
    );
    Violation { rule, at, details }
}

fn acknowledged(history: &History) -> impl Iterator<Item = &ChangeRecord> {
    history
        .changes
        .iter()
        .filter(|change_record| change_record.reply == Reply::Acknowledged)
}

/// After recovery all acknowledged changes are in force, and clients are served.
fn recovery(history: &History) -> Vec<Violation> {
    let at = history
        .requests
        .iter()
        .map(|request| request.ended_at)
        .max()
        .unwrap_or(0);
    let mut found = Vec::new();
    let mut report = |rule, details| found.push(Violation { rule, at, details });
    let newest = configurations::acknowledged_configurations(history)
        .map(|(version, _)| version)
        .max()
        .unwrap_or(0);
    match history.final_state.read_back {
        None => report(
            "CONFIG",
            "no router returned the newest configuration".to_owned(),
        ),
        Some(version) if version < newest => {
            report(
                "LOST",
                format!(
                    "configuration version {newest} was acknowledged, but {version} was read after recovery"
                ),
            );
        }
        Some(version) => {
            let outdated = history
                .final_state
                .configurations
                .iter()
                .filter(|configuration| **configuration != version)
                .count();
            if outdated > 0 {
                report(
                    "CONFIG",
                    format!(
                        "{outdated} routers do not have configuration version {version} in force"
                    ),
                );
            }
        }
    }
    let announced = acknowledged(history).filter_map(|change_record| match change_record.change {
        Change::Weights(version) => Some(version),
        Change::Configuration { .. } => None,
    });
    let newest_weights = announced.max().unwrap_or(1);
    let outdated = history
        .final_state
        .weights
        .iter()
        .filter(|version| **version < newest_weights)
        .count();
    if outdated > 0 {
        report(
            "VERSION",
            format!("{outdated} backends do not have version {newest_weights} of the weights"),
        );
    }
    let (sent, served) = history.final_state.requests;
    if served * 100 < sent * MIN_SERVED_PERCENT || sent == 0 {
        report(
            "RECOVER",
            format!("{served} of {sent} requests were served after recovery"),
        );
    }
    found
}
