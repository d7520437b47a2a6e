//! Rules on requests: responses are complete and from a backend, refused and unsent requests are
//! not executed, requests that are not idempotent are not repeated, none is lost, and work on
//! cancelled ones stops.

use super::{SLACK_MS, Violation, violation, was_interrupted};
use crate::clock::Millis;
use crate::history::{BackendState, Execution, History, Kind, Outcome, Request};
use crate::settings::ROUTE_TIMEOUT_MS;
use std::collections::HashMap;

/// The longest time that a backend may work on a request after its cancellation.
const MAX_CANCEL_MS: Millis = 500;
/// The number of cancelled requests in a run that may exceed [`MAX_CANCEL_MS`].
const TOLERATED_LATE_CANCELLATIONS: usize = 3;
/// How long before the route's time-out a router may end a response.
const ROUTE_TIMEOUT_MARGIN_MS: Millis = 50;
/// How long after sending a request its connection may close without a response, because a close by
/// the router can cross the request.
const MAX_CROSSING_MS: Millis = 200;

pub(super) fn executions_by_request(history: &History) -> HashMap<u64, Vec<&Execution>> {
    let mut executions: HashMap<u64, Vec<&Execution>> = HashMap::new();
    history.executions.iter().for_each(|execution| {
        executions
            .entry(execution.request)
            .or_default()
            .push(execution)
    });
    executions
}

/// Responses with status 200 are exactly as the backend sent them.
pub(super) fn corrupted_responses(history: &History) -> Vec<Violation> {
    let corrupted = history
        .requests
        .iter()
        .filter_map(|request| match request.outcome {
            Outcome::Corrupted(how) => Some(violation("MIXED", request.ended_at, request, how)),
            _ => None,
        });
    corrupted.collect()
}

/// Requests that are not idempotent are executed at most once, and unsent ones never.
pub(super) fn forbidden_executions(history: &History) -> Vec<Violation> {
    let requests: HashMap<u64, &Request> = history
        .requests
        .iter()
        .map(|request| (request.id, request))
        .collect();
    let mut found = Vec::new();
    for (id, executions) in executions_by_request(history) {
        let started: Vec<&&Execution> = executions
            .iter()
            .filter(|execution| execution.started_at.is_some())
            .collect();
        // Clients do not record requests that are in flight at the end of the soak run.
        let Some(request) = requests.get(&id) else {
            continue;
        };
        if request.kind == Kind::Unsafe && started.len() > 1 {
            let details = format!("executed {} times although not idempotent", started.len());
            found.push(violation("TWICE", request.ended_at, request, &details));
        }
        if request.outcome == Outcome::NotSent && !executions.is_empty() {
            found.push(violation(
                "UNASKED",
                request.ended_at,
                request,
                "not sent by its client, but received by a backend",
            ));
        }
    }
    found
}

/// A status like 503 guarantees that the request was not executed and will not be.
pub(super) fn executed_refusals(history: &History) -> Vec<Violation> {
    let executions = executions_by_request(history);
    let is_refusal = |outcome| matches!(outcome, Outcome::Status(408 | 421 | 429 | 503));
    let refused = history
        .requests
        .iter()
        .filter(|request| request.kind == Kind::Unsafe && is_refusal(request.outcome));
    let was_executed = |request: &&Request| {
        executions.get(&request.id).is_some_and(|executions| {
            executions
                .iter()
                .any(|execution| execution.started_at.is_some())
        })
    };
    refused
        .filter(was_executed)
        .map(|request| {
            violation(
                "REFUSED",
                request.ended_at,
                request,
                "refused, but executed",
            )
        })
        .collect()
}

/// A process responds to every request that it has received, also when it is terminated or reloads
/// its settings in the meantime.
pub(super) fn lost_requests(history: &History) -> Vec<Violation> {
    let executions = executions_by_request(history);
    let mut found = Vec::new();
    for request in &history.requests {
        if !matches!(request.outcome, Outcome::NoResponse | Outcome::Truncated)
            || was_interrupted(history, request.router, request.sent_at, request.ended_at)
        {
            continue;
        }
        let executions = executions.get(&request.id).map_or(&[][..], Vec::as_slice);
        // During a partition the response is held back until the route's time-out, or until the
        // backend has stopped.
        let was_unreachable = |execution: &&Execution| {
            was_partitioned(
                history,
                execution.backend,
                request.sent_at,
                request.ended_at,
            )
        };
        let took = request.ended_at - request.sent_at;
        let has_timed_out = took + ROUTE_TIMEOUT_MARGIN_MS >= ROUTE_TIMEOUT_MS;
        if has_timed_out
            || executions
                .iter()
                .any(|execution| execution.backend_crashed || was_unreachable(execution))
        {
            continue;
        }
        if executions
            .iter()
            .any(|execution| execution.started_at.is_some())
        {
            let details = format!(
                "forwarded to a backend, but the connection closed without a complete response after {took} ms: {executions:?}"
            );
            found.push(violation("LOST", request.ended_at, request, &details));
        } else if took > MAX_CROSSING_MS + SLACK_MS {
            let details = format!("the connection closed without a response after {took} ms");
            found.push(violation("LOST", request.ended_at, request, &details));
        }
    }
    found
}

/// Backends stop working on a request soon after its cancellation.
pub(super) fn late_cancellations(history: &History) -> Vec<Violation> {
    let executions = executions_by_request(history);
    let mut found = Vec::new();
    for request in history
        .requests
        .iter()
        .filter(|request| request.outcome == Outcome::Cancelled)
    {
        let deadline = request.ended_at + MAX_CANCEL_MS + SLACK_MS;
        if was_interrupted(history, request.router, request.sent_at, deadline) {
            continue;
        }
        // During a partition the backend cannot be notified of the cancellation.
        let was_reachable = |execution: &Execution| {
            !was_partitioned(history, execution.backend, request.sent_at, deadline)
        };
        let exceeds_deadline = |execution: &&&Execution| {
            execution.arrived_at > deadline
                || was_reachable(execution)
                    && execution.ended_at.is_none_or(|ended| ended > deadline)
        };
        if let Some(execution) = executions
            .get(&request.id)
            .and_then(|executions| executions.iter().find(exceeds_deadline))
        {
            let details = format!(
                "cancelled at {} ms, but backend {} continued to work on it",
                request.ended_at, execution.backend
            );
            found.push(violation("GONE", deadline, request, &details));
        }
    }
    if found.len() > TOLERATED_LATE_CANCELLATIONS {
        found
    } else {
        Vec::new()
    }
}

/// Whether the link to a backend was partitioned at any time in a period.
fn was_partitioned(history: &History, backend: u64, from: Millis, to: Millis) -> bool {
    let mut since = None;
    for event in history
        .backends
        .iter()
        .filter(|event| event.backend == backend && event.at <= to)
    {
        match event.state {
            BackendState::Partitioned => since = since.or(Some(event.at)),
            BackendState::Reachable if event.at >= from && since.is_some() => return true,
            BackendState::Reachable => since = None,
            _ => {}
        }
    }
    since.is_some()
}
