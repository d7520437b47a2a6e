//! Holds what was seen against the rules.

mod configurations;
mod processes;
mod requests;
mod weights;

use crate::clock::Millis;
use crate::history::{Blow, Change, Changed, History, Reply, Request, Struck};
use crate::settings::CONTACT_MS;
use std::collections::BTreeSet;
use std::fmt;

/// What scheduling of processes on a busy machine may add to a bound.
const SLACK_MS: Millis = 400;
/// Of the last requests so many in a hundred have to be served.
const SERVED_PERCENT: u32 = 95;

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// When it was seen.
    pub at: Millis,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} at {} ms: {}", self.rule, self.at, self.what)
    }
}

/// Everything that breaks a rule.
pub fn violations(history: &History) -> Vec<Violation> {
    let checks = [
        requests::answers,
        requests::runs,
        requests::promises,
        requests::lost,
        requests::abandoned,
        weights::old_weights,
        weights::left_behind,
        weights::gone_back,
        configurations::in_force,
        configurations::gone_back,
        configurations::races,
        weights::holders,
        weights::turns,
        processes::processes,
        ending,
    ];
    let mut found: Vec<Violation> = checks.iter().flat_map(|check| check(history)).collect();
    found.sort_by_key(|violation| violation.at);
    found
}

/// Whether nothing happened to any of some routers from some time before a span to its end.
fn are_calm(history: &History, routers: impl Fn(usize) -> bool, from: Millis, to: Millis) -> bool {
    let from = from.saturating_sub(CONTACT_MS);
    let disturbs = |struck: &&Struck| {
        routers(struck.router) && struck.blow != Blow::HungUp && (from..=to).contains(&struck.at)
    };
    history.struck.iter().find(disturbs).is_none() && !is_stopped(history, routers, from)
}

/// Whether any of some routers stands still at a moment.
fn is_stopped(history: &History, routers: impl Fn(usize) -> bool, at: Millis) -> bool {
    let mut stopped = BTreeSet::new();
    for struck in history
        .struck
        .iter()
        .filter(|struck| routers(struck.router) && struck.at <= at)
    {
        match struck.blow {
            Blow::Stopped => stopped.insert(struck.router),
            Blow::Continued | Blow::Ended(_) => stopped.remove(&struck.router),
            _ => false,
        };
    }
    !stopped.is_empty()
}

/// Whether the routers with the control state and this one had no trouble.
fn in_touch(history: &History, router: usize, from: Millis, to: Millis) -> bool {
    are_calm(
        history,
        |number| number < history.replicas || number == router,
        from,
        to,
    )
}

/// Whether a router's process was killed, stood still or came to the end of its grace period in a
/// span.
fn was_struck_hard(history: &History, router: usize, from: Millis, to: Millis) -> bool {
    let hard = |struck: &&Struck| {
        struck.router == router
            && matches!(struck.blow, Blow::Killed | Blow::Stopped | Blow::Continued)
            && (from..=to).contains(&struck.at)
    };
    history.struck.iter().any(|struck| hard(&struck))
        || is_stopped(history, |number| number == router, from)
}

fn violation(rule: &'static str, at: Millis, request: &Request, what: &str) -> Violation {
    let what = format!(
        "request {:016x} ({:?}) at router {}: {what}",
        request.id, request.kind, request.router
    );
    Violation { rule, at, what }
}

fn acknowledged(history: &History) -> impl Iterator<Item = &Changed> {
    history
        .changes
        .iter()
        .filter(|changed| changed.reply == Reply::Acknowledged)
}

/// Once trouble is over everything acknowledged is there, and clients are served.
fn ending(history: &History) -> Vec<Violation> {
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
