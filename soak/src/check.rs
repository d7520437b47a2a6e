//! Checks a history against the rules.

mod configurations;
mod processes;
mod requests;
mod weights;

use crate::clock::Millis;
use crate::history::{Change, ChangeRecord, History, ProcessEvent, Reply, Request, RouterEvent};
use crate::settings::CONTACT_MS;
use std::collections::BTreeSet;
use std::fmt;

/// What the scheduler of a busy machine may add to a bound.
const SLACK_MS: Millis = 400;
/// The percentage of requests that have to be served after the recovery.
const SERVED_PERCENT: u32 = 95;

/// A violated rule.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// When it was observed.
    pub at: Millis,
    /// What was observed.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} at {} ms: {}", self.rule, self.at, self.what)
    }
}

/// All violations, by time.
pub fn violations(history: &History) -> Vec<Violation> {
    let checks = [
        requests::answers,
        requests::runs,
        requests::refusals,
        requests::lost,
        requests::cancelled,
        weights::old_weights,
        weights::left_behind,
        weights::gone_back,
        configurations::in_force,
        configurations::gone_back,
        configurations::races,
        weights::holders,
        weights::turns,
        processes::processes,
        recovery,
    ];
    let mut found: Vec<Violation> = checks.iter().flat_map(|check| check(history)).collect();
    found.sort_by_key(|violation| violation.at);
    found
}

/// Whether these routers had no fault in a span, nor within [`CONTACT_MS`] before it.
fn are_calm(history: &History, routers: impl Fn(usize) -> bool, from: Millis, to: Millis) -> bool {
    let from = from.saturating_sub(CONTACT_MS);
    let disturbs = |event: &&RouterEvent| {
        routers(event.router)
            && event.event != ProcessEvent::Reloaded
            && (from..=to).contains(&event.at)
    };
    history.router_events.iter().find(disturbs).is_none() && !is_stopped(history, routers, from)
}

/// Whether any of these routers is suspended at a time.
fn is_stopped(history: &History, routers: impl Fn(usize) -> bool, at: Millis) -> bool {
    let mut stopped = BTreeSet::new();
    for event in history
        .router_events
        .iter()
        .filter(|event| routers(event.router) && event.at <= at)
    {
        match event.event {
            ProcessEvent::Suspended => stopped.insert(event.router),
            ProcessEvent::Resumed | ProcessEvent::Exited(_) => stopped.remove(&event.router),
            _ => false,
        };
    }
    !stopped.is_empty()
}

/// Whether this router was in contact with the replicas of the control state: none had a fault.
fn in_touch(history: &History, router: usize, from: Millis, to: Millis) -> bool {
    are_calm(
        history,
        |number| number < history.replicas || number == router,
        from,
        to,
    )
}

/// Whether a router's process was killed or suspended in a span.
fn was_interrupted(history: &History, router: usize, from: Millis, to: Millis) -> bool {
    let hard = |event: &&RouterEvent| {
        event.router == router
            && matches!(
                event.event,
                ProcessEvent::Killed | ProcessEvent::Suspended | ProcessEvent::Resumed
            )
            && (from..=to).contains(&event.at)
    };
    history.router_events.iter().any(|event| hard(&event))
        || is_stopped(history, |number| number == router, from)
}

fn violation(rule: &'static str, at: Millis, request: &Request, what: &str) -> Violation {
    let what = format!(
        "request {:016x} ({:?}) at router {}: {what}",
        request.id, request.kind, request.router
    );
    Violation { rule, at, what }
}

fn acknowledged(history: &History) -> impl Iterator<Item = &ChangeRecord> {
    history
        .changes
        .iter()
        .filter(|changed| changed.reply == Reply::Acknowledged)
}

/// After the recovery everything acknowledged is there, and clients are served.
fn recovery(history: &History) -> Vec<Violation> {
    let at = history
        .requests
        .iter()
        .map(|request| request.ended_at)
        .max()
        .unwrap_or(0);
    let mut found = Vec::new();
    let mut complain = |rule, what| found.push(Violation { rule, at, what });
    let newest = configurations::acknowledged_configurations(history)
        .map(|(version, _)| version)
        .max()
        .unwrap_or(0);
    match history.end.read_back {
        None => complain(
            "CONFIG",
            "no router tells the newest configuration".to_owned(),
        ),
        Some(version) if version < newest => {
            complain(
                "LOST",
                format!("version {newest} was acknowledged, and {version} is read back"),
            );
        }
        Some(version) => {
            let others = history
                .end
                .configurations
                .iter()
                .filter(|other| **other != version)
                .count();
            if others > 0 {
                complain(
                    "CONFIG",
                    format!("{others} routers do not have version {version} in force"),
                );
            }
        }
    }
    let named = acknowledged(history).filter_map(|changed| match changed.change {
        Change::Weights(version) => Some(version),
        Change::Configuration { .. } => None,
    });
    let named = named.max().unwrap_or(1);
    let old = history
        .end
        .weights
        .iter()
        .filter(|version| **version < named)
        .count();
    if old > 0 {
        complain("VERSION", format!("{old} backends lack version {named}"));
    }
    let (sent, served) = history.end.requests;
    if served * 100 < sent * SERVED_PERCENT || sent == 0 {
        complain(
            "RECOVER",
            format!("{served} of {sent} requests are served after the last trouble"),
        );
    }
    found
}
