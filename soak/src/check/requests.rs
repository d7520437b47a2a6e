//! Rules on requests: responses are complete and from a backend, no request is executed that must
//! not be, none is lost, and cancelled ones stop.

use super::{SLACK_MS, Violation, violation, was_interrupted};
use crate::clock::Millis;
use crate::history::{BackendState, History, Kind, Outcome, Request, Run};
use crate::settings::ROUTE_TIMEOUT_MS;
use std::collections::HashMap;

/// How long a backend may work on a cancelled request.
const CANCEL_MS: Millis = 500;
/// The number of cancelled requests that may be worked on for longer.
const TOLERATED_CANCELLED_RUNS: usize = 3;
/// How long before the time-out of its route a router may end a response.
const TIME_OUT_MARGIN_MS: Millis = 50;
/// How long after its request a connection may end without a response.
const UNANSWERED_MS: Millis = 200;

fn runs_by_request(history: &History) -> HashMap<u64, Vec<&Run>> {
    let mut runs: HashMap<u64, Vec<&Run>> = HashMap::new();
    history
        .runs
        .iter()
        .for_each(|run| runs.entry(run.request).or_default().push(run));
    runs
}

pub(super) fn answers(history: &History) -> Vec<Violation> {
    let spoiled = history
        .requests
        .iter()
        .filter_map(|request| match request.outcome {
            Outcome::Corrupted(how) => Some(violation("MIXED", request.ended_at, request, how)),
            _ => None,
        });
    spoiled.collect()
}

pub(super) fn runs(history: &History) -> Vec<Violation> {
    let requests: HashMap<u64, &Request> = history
        .requests
        .iter()
        .map(|request| (request.id, request))
        .collect();
    let mut found = Vec::new();
    for (id, runs) in runs_by_request(history) {
        let begun: Vec<&&Run> = runs.iter().filter(|run| run.begun_at.is_some()).collect();
        // A request in flight at the end of the run is not recorded by its client.
        let Some(request) = requests.get(&id) else {
            continue;
        };
        if request.kind == Kind::Unsafe && begun.len() > 1 {
            let what = format!("it ran {} times", begun.len());
            found.push(violation("TWICE", request.ended_at, request, &what));
        }
        if request.outcome == Outcome::NotSent && !runs.is_empty() {
            found.push(violation(
                "UNASKED",
                request.ended_at,
                request,
                "it was never sent, and reached a backend",
            ));
        }
    }
    found
}

/// Statuses like 503 promise that the request was not executed and will not be.
pub(super) fn refusals(history: &History) -> Vec<Violation> {
    let runs = runs_by_request(history);
    let is_refusal = |outcome| matches!(outcome, Outcome::Status(408 | 421 | 429 | 503));
    let refused = history
        .requests
        .iter()
        .filter(|request| request.kind == Kind::Unsafe && is_refusal(request.outcome));
    let has_run = |request: &&Request| {
        runs.get(&request.id)
            .is_some_and(|runs| runs.iter().any(|run| run.begun_at.is_some()))
    };
    refused
        .filter(has_run)
        .map(|request| {
            violation(
                "REFUSED",
                request.ended_at,
                request,
                "it was refused, and has run",
            )
        })
        .collect()
}

/// A process that has read a whole request answers it, whatever it was told meanwhile.
pub(super) fn lost(history: &History) -> Vec<Violation> {
    let runs = runs_by_request(history);
    let mut found = Vec::new();
    for request in &history.requests {
        if !matches!(request.outcome, Outcome::NoResponse | Outcome::Truncated)
            || was_interrupted(history, request.router, request.sent_at, request.ended_at)
        {
            continue;
        }
        let runs = runs.get(&request.id).map_or(&[][..], Vec::as_slice);
        // A partition holds the response back until the time-out of the route, or until its
        // backend is gone.
        let was_out_of_reach =
            |run: &&Run| was_partitioned(history, run.backend, request.sent_at, request.ended_at);
        let took = request.ended_at - request.sent_at;
        let is_over = took + TIME_OUT_MARGIN_MS >= ROUTE_TIMEOUT_MS;
        if is_over
            || runs
                .iter()
                .any(|run| run.broke_off || was_out_of_reach(run))
        {
            continue;
        }
        if runs.iter().any(|run| run.begun_at.is_some()) {
            let what = format!(
                "it was passed on, and its connection ended without a whole answer after {took} ms: {runs:?}"
            );
            found.push(violation("LOST", request.ended_at, request, &what));
        } else if took > UNANSWERED_MS + SLACK_MS {
            let what = format!("its connection ended without an answer after {took} ms");
            found.push(violation("LOST", request.ended_at, request, &what));
        }
    }
    found
}

/// Backends stop working on cancelled requests.
pub(super) fn cancelled(history: &History) -> Vec<Violation> {
    let runs = runs_by_request(history);
    let mut found = Vec::new();
    for request in history
        .requests
        .iter()
        .filter(|request| request.outcome == Outcome::Cancelled)
    {
        let until = request.ended_at + CANCEL_MS + SLACK_MS;
        if was_interrupted(history, request.router, request.sent_at, until) {
            continue;
        }
        // During a partition the backend does not learn of the cancellation.
        let is_known = |run: &Run| !was_partitioned(history, run.backend, request.sent_at, until);
        let works_on = |run: &&&Run| {
            run.arrived_at > until
                || is_known(run) && run.ended_at.is_none_or(|ended| ended > until)
        };
        if let Some(run) = runs
            .get(&request.id)
            .and_then(|runs| runs.iter().find(works_on))
        {
            let what = format!(
                "its client left at {} ms, and backend {} worked on",
                request.ended_at, run.backend
            );
            found.push(violation("GONE", until, request, &what));
        }
    }
    if found.len() > TOLERATED_CANCELLED_RUNS {
        found
    } else {
        Vec::new()
    }
}

/// Whether the link to a backend was partitioned at some time of a span.
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
