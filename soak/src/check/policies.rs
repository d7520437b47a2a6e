//! Rules on the [`Policy`] of configurations: how often requests may be executed, and which tenants
//! are isolated. The rules bind connected and partitioned routers alike, once a configuration was
//! acknowledged longer than [`CONFIG_APPLY_MS`] ago.

use super::configurations::acknowledged_configurations;
use super::requests::executions_by_request;
use super::{Violation, violation};
use crate::history::{Change, Execution, History, Kind, Policy, Reply, Request, Tenant};
use crate::settings::CONFIG_APPLY_MS;
use std::collections::HashMap;

/// Whether every configuration that may be in force for a request has the strict policy.
///
/// A configuration may be in force if it was sent before the request ended, was not refused, and no
/// newer one was acknowledged longer than [`CONFIG_APPLY_MS`] before the request was sent.
fn is_bound_by_strict(history: &History, request: &Request) -> bool {
    let binding = acknowledged_configurations(history)
        .filter(|(_, at)| at + CONFIG_APPLY_MS < request.sent_at)
        .map(|(version, _)| version)
        .max()
        .unwrap_or(0);
    let possible = history
        .changes
        .iter()
        .filter_map(|record| match record.change {
            Change::Configuration {
                version, policy, ..
            } => (version >= binding
                && record.sent_at <= request.ended_at
                && !matches!(record.reply, Reply::Refused(_)))
            .then_some(policy),
            Change::Weights(_) => None,
        });
    let mut possible = possible.peekable();
    possible.peek().is_some() && possible.all(|policy| policy == Policy::Strict)
}

/// The number of requests whose treatment depends on the configuration and that a strict one bound.
pub(crate) fn bound_requests(history: &History) -> usize {
    let depends =
        |request: &&Request| request.kind == Kind::Configured || request.tenant == Tenant::Second;
    history
        .requests
        .iter()
        .filter(depends)
        .filter(|request| is_bound_by_strict(history, request))
        .count()
}

/// Requests that every possible configuration says are not idempotent are executed at most once.
pub(super) fn repeated_executions(history: &History) -> Vec<Violation> {
    let executions = executions_by_request(history);
    let started = |request: &Request| {
        let executions = executions.get(&request.id).map_or(&[][..], Vec::as_slice);
        executions
            .iter()
            .filter(|execution| execution.started_at.is_some())
            .count()
    };
    let configured = history
        .requests
        .iter()
        .filter(|request| request.kind == Kind::Configured);
    let repeated = configured.filter(|request| started(request) > 1);
    repeated
        .filter(|request| is_bound_by_strict(history, request))
        .map(|request| {
            let details = format!(
                "executed {} times although the configuration forbids it",
                started(request)
            );
            violation("TWICE", request.ended_at, request, &details)
        })
        .collect()
}

/// A tenant that every possible configuration isolates neither uses segments that another tenant's
/// requests computed, nor leaves any for them.
pub(super) fn shared_segments(history: &History) -> Vec<Violation> {
    let requests: HashMap<u64, &Request> = history
        .requests
        .iter()
        .map(|request| (request.id, request))
        .collect();
    let is_isolated = |request: &Request| {
        request.tenant == Tenant::Second && is_bound_by_strict(history, request)
    };
    let reuses = |execution: &Execution| {
        let user = requests.get(&execution.request).copied();
        let makers = execution.reused_from.iter();
        let makers: Vec<&Request> = makers.filter_map(|id| requests.get(id).copied()).collect();
        makers
            .into_iter()
            .filter_map(move |maker| Some((user?, maker)))
            .collect::<Vec<_>>()
    };
    history
        .executions
        .iter()
        .flat_map(reuses)
        .filter(|(user, maker)| user.tenant != maker.tenant)
        .filter(|(user, maker)| is_isolated(user) || is_isolated(maker))
        .map(|(user, maker)| {
            let details = format!(
                "of {:?} used a segment that request {:016x} of {:?} computed",
                user.tenant, maker.id, maker.tenant
            );
            violation("WALL", user.ended_at, user, &details)
        })
        .collect()
}
