//! What concerns requests: answers are a backend's own and whole, nothing runs that must not, and
//! nothing is lost or worked on in vain.

use super::{SLACK_MS, Violation, violation, was_struck_hard};
use crate::clock::Millis;
use crate::history::{History, Kind, Outcome, Request, Run, Stage};
use crate::settings::ROUTE_TIMEOUT_MS;
use std::collections::HashMap;

/// Backends may work on for so long for a client that has left.
const GONE_MS: Millis = 500;
/// More work than a few requests' for clients that have left breaks the rule.
const MOST_GONE: usize = 3;
/// A router ends an answer so long before the time of its route is over, at the most.
const TIME_OUT_MARGIN_MS: Millis = 50;
/// A connection that ends without an answer has to do so soon after its request.
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
            Outcome::Spoiled(how) => Some(violation("MIXED", request.ended_at, request, how)),
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
        // What was under way at the end of the run is not recorded by its client.
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

/// 503 and its like promise that the request has not run and will not.
pub(super) fn promises(history: &History) -> Vec<Violation> {
    let runs = runs_by_request(history);
    let is_promise = |outcome| matches!(outcome, Outcome::Status(408 | 421 | 429 | 503));
    let promised = history
        .requests
        .iter()
        .filter(|request| request.kind == Kind::Unsafe && is_promise(request.outcome));
    let has_run = |request: &&Request| {
        runs.get(&request.id)
            .is_some_and(|runs| runs.iter().any(|run| run.begun_at.is_some()))
    };
    promised
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
        if !matches!(request.outcome, Outcome::NoAnswer | Outcome::BrokenOff)
            || was_struck_hard(history, request.router, request.sent_at, request.ended_at)
        {
            continue;
        }
        let runs = runs.get(&request.id).map_or(&[][..], Vec::as_slice);
        // A cut way holds the answer up until the time of the route is over, or its backend is
        // gone.
        let was_out_of_reach =
            |run: &&Run| was_cut(history, run.backend, request.sent_at, request.ended_at);
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

/// Backends stop working for clients that have left.
pub(super) fn abandoned(history: &History) -> Vec<Violation> {
    let runs = runs_by_request(history);
    let mut found = Vec::new();
    for request in history
        .requests
        .iter()
        .filter(|request| request.outcome == Outcome::Left)
    {
        let until = request.ended_at + GONE_MS + SLACK_MS;
        if was_struck_hard(history, request.router, request.sent_at, until) {
            continue;
        }
        // An end that the way to the backend holds up is not known there.
        let is_known = |run: &Run| !was_cut(history, run.backend, request.sent_at, until);
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
    if found.len() > MOST_GONE {
        found
    } else {
        Vec::new()
    }
}

/// Whether the way to a backend was cut at some moment of a span.
fn was_cut(history: &History, backend: u64, from: Millis, to: Millis) -> bool {
    let mut cut_since = None;
    for staged in history
        .backends
        .iter()
        .filter(|staged| staged.backend == backend && staged.at <= to)
    {
        match staged.stage {
            Stage::Cut => cut_since = cut_since.or(Some(staged.at)),
            Stage::Healed if staged.at >= from && cut_since.is_some() => return true,
            Stage::Healed => cut_since = None,
            _ => {}
        }
    }
    cut_since.is_some()
}
