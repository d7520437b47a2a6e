//! Holds what was seen against the rules.

mod weights;

use crate::clock::Millis;
use crate::history::{
    Blow, Change, Changed, Ending, History, Kind, Outcome, Reply, Request, Run, Stage, Struck,
};
use crate::settings::{CONFIG_APPLY_MS, CONTACT_MS, GRACE_MS};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

/// What scheduling of processes on a busy machine may add to a bound.
const SLACK_MS: Millis = 400;
/// Backends may work on for so long for a client that has left.
const GONE_MS: Millis = 500;
/// More work than a few requests' for clients that have left breaks the rule.
const MOST_GONE: usize = 3;
/// A connection that ends without an answer has to do so soon after its request.
const UNANSWERED_MS: Millis = 200;
/// A process that is signalled so soon after its start may not have taken its signals yet.
const START_MS: Millis = 60;
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
        answers,
        runs,
        promises,
        lost_requests,
        abandoned_work,
        weights::old_weights,
        weights::left_behind,
        weights::gone_back,
        configurations_in_force,
        configurations_that_go_back,
        races,
        weights::holders,
        weights::turns,
        processes,
        ending,
    ];
    let mut found: Vec<Violation> = checks.iter().flat_map(|check| check(history)).collect();
    found.sort_by_key(|violation| violation.at);
    found
}

fn runs_by_request(history: &History) -> HashMap<u64, Vec<&Run>> {
    let mut runs: HashMap<u64, Vec<&Run>> = HashMap::new();
    history.runs.iter().for_each(|run| runs.entry(run.request).or_default().push(run));
    runs
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
    for struck in history.struck.iter().filter(|struck| routers(struck.router) && struck.at <= at) {
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
    are_calm(history, |number| number < history.replicas || number == router, from, to)
}

/// Whether a router's process was killed, stood still or came to the end of its grace period in a span.
fn was_struck_hard(history: &History, router: usize, from: Millis, to: Millis) -> bool {
    let hard = |struck: &&Struck| {
        struck.router == router
            && matches!(struck.blow, Blow::Killed | Blow::Stopped | Blow::Continued)
            && (from..=to).contains(&struck.at)
    };
    history.struck.iter().any(|struck| hard(&struck)) || is_stopped(history, |number| number == router, from)
}

fn answers(history: &History) -> Vec<Violation> {
    let spoiled = history.requests.iter().filter_map(|request| match request.outcome {
        Outcome::Spoiled(how) => Some(violation("MIXED", request.ended_at, request, how)),
        _ => None,
    });
    spoiled.collect()
}

fn violation(rule: &'static str, at: Millis, request: &Request, what: &str) -> Violation {
    let what =
        format!("request {:016x} ({:?}) at router {}: {what}", request.id, request.kind, request.router);
    Violation { rule, at, what }
}

fn runs(history: &History) -> Vec<Violation> {
    let requests: HashMap<u64, &Request> =
        history.requests.iter().map(|request| (request.id, request)).collect();
    let mut found = Vec::new();
    for (id, runs) in runs_by_request(history) {
        let begun: Vec<&&Run> = runs.iter().filter(|run| run.begun_at.is_some()).collect();
        // What was under way at the end of the run is not recorded by its client.
        let Some(request) = requests.get(&id) else { continue };
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
fn promises(history: &History) -> Vec<Violation> {
    let runs = runs_by_request(history);
    let is_promise = |outcome| matches!(outcome, Outcome::Status(408 | 421 | 429 | 503));
    let promised =
        history.requests.iter().filter(|request| request.kind == Kind::Unsafe && is_promise(request.outcome));
    let has_run = |request: &&Request| {
        runs.get(&request.id).is_some_and(|runs| runs.iter().any(|run| run.begun_at.is_some()))
    };
    promised
        .filter(has_run)
        .map(|request| violation("REFUSED", request.ended_at, request, "it was refused, and has run"))
        .collect()
}

/// A process that has read a whole request answers it, whatever it was told meanwhile.
fn lost_requests(history: &History) -> Vec<Violation> {
    let runs = runs_by_request(history);
    let mut found = Vec::new();
    for request in &history.requests {
        if !matches!(request.outcome, Outcome::NoAnswer | Outcome::BrokenOff)
            || was_struck_hard(history, request.router, request.sent_at, request.ended_at)
        {
            continue;
        }
        let runs = runs.get(&request.id).map_or(&[][..], Vec::as_slice);
        // A cut way holds the answer up until the time of the route is over, or its backend is gone.
        let was_out_of_reach = |run: &&Run| was_cut(history, run.backend, request.sent_at, request.ended_at);
        if runs.iter().any(|run| run.broke_off || was_out_of_reach(run)) {
            continue;
        }
        let took = request.ended_at - request.sent_at;
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
fn abandoned_work(history: &History) -> Vec<Violation> {
    let runs = runs_by_request(history);
    let mut found = Vec::new();
    for request in history.requests.iter().filter(|request| request.outcome == Outcome::Left) {
        let until = request.ended_at + GONE_MS + SLACK_MS;
        if was_struck_hard(history, request.router, request.sent_at, until) {
            continue;
        }
        // An end that the way to the backend holds up is not known there.
        let is_known = |run: &Run| !was_cut(history, run.backend, request.sent_at, until);
        let works_on = |run: &&&Run| {
            run.arrived_at > until || is_known(run) && run.ended_at.is_none_or(|ended| ended > until)
        };
        if let Some(run) = runs.get(&request.id).and_then(|runs| runs.iter().find(works_on)) {
            let what =
                format!("its client left at {} ms, and backend {} worked on", request.ended_at, run.backend);
            found.push(violation("GONE", until, request, &what));
        }
    }
    if found.len() > MOST_GONE { found } else { Vec::new() }
}

/// Whether the way to a backend was cut at some moment of a span.
fn was_cut(history: &History, backend: u64, from: Millis, to: Millis) -> bool {
    let mut cut_since = None;
    for staged in history.backends.iter().filter(|staged| staged.backend == backend && staged.at <= to) {
        match staged.stage {
            Stage::Cut => cut_since = cut_since.or(Some(staged.at)),
            Stage::Healed if staged.at >= from && cut_since.is_some() => return true,
            Stage::Healed => cut_since = None,
            _ => {}
        }
    }
    cut_since.is_some()
}

fn acknowledged(history: &History) -> impl Iterator<Item = &Changed> {
    history.changes.iter().filter(|changed| changed.reply == Reply::Acknowledged)
}

fn configuration_acks(history: &History) -> impl Iterator<Item = (u64, Millis)> {
    acknowledged(history).filter_map(|changed| match changed.change {
        Change::Configuration { version, .. } => Some((version, changed.answered_at)),
        Change::Weights(_) => None,
    })
}

/// A router in touch has every configuration in force soon after its acknowledgement.
fn configurations_in_force(history: &History) -> Vec<Violation> {
    let acks: Vec<(u64, Millis)> = configuration_acks(history).collect();
    let mut found = Vec::new();
    for seen in &history.seen {
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
            found.push(Violation { rule: "CONFIG", at: seen.asked_at, what });
        }
    }
    found
}

/// Within one life of a process its configuration never gets older.
fn configurations_that_go_back(history: &History) -> Vec<Violation> {
    let mut newest: BTreeMap<usize, (u64, Millis)> = BTreeMap::new();
    let mut found = Vec::new();
    for seen in &history.seen {
        let started = history.struck.iter().filter(|struck| {
            struck.router == seen.router && struck.blow == Blow::Started && struck.at <= seen.answered_at
        });
        let life = started.map(|struck| struck.at).max().unwrap_or(0);
        let before = newest.entry(seen.router).or_default();
        if before.1 < life {
            *before = (0, 0);
        }
        if seen.configuration < before.0 && before.1 <= seen.asked_at && life < before.1 {
            let what =
                format!("router {} went from version {} to {}", seen.router, before.0, seen.configuration);
            found.push(Violation { rule: "CONFIG", at: seen.answered_at, what });
        }
        if seen.configuration >= before.0 {
            *before = (seen.configuration, seen.answered_at);
        }
    }
    found
}

/// Of two changes on top of one version at most one is acknowledged.
fn races(history: &History) -> Vec<Violation> {
    let mut taken: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for changed in acknowledged(history) {
        let Change::Configuration { base, variant, .. } = changed.change else { continue };
        if let Some(other) = taken.insert(base, variant).filter(|other| *other != variant) {
            let what =
                format!("variants {other} and {variant} are both acknowledged on top of version {base}");
            found.push(Violation { rule: "CONFIG", at: changed.answered_at, what });
        }
    }
    found
}

/// Processes end when they are told to, in order and in time, and not by themselves.
fn processes(history: &History) -> Vec<Violation> {
    let mut told: BTreeMap<usize, Option<Struck>> = BTreeMap::new();
    let mut lives: BTreeMap<usize, Life> = BTreeMap::new();
    let mut found = Vec::new();
    for struck in &history.struck {
        let last = told.entry(struck.router).or_default();
        let life = lives.entry(struck.router).or_default();
        let mut complain = |what: String| found.push(Violation { rule: "FAULT", at: struck.at, what });
        match struck.blow {
            Blow::Started => {
                *last = None;
                *life = Life { started: Some(struck.at), ..Life::default() };
            }
            Blow::Terminated => *last = last.or(Some(*struck)),
            Blow::Killed => {
                let grace_is_over =
                    last.is_some_and(|last| last.blow == Blow::Terminated && struck.at >= last.at + GRACE_MS);
                if grace_is_over && !life.stood_still() {
                    complain(format!(
                        "router {} was still there at the end of its grace period",
                        struck.router
                    ));
                }
                *last = Some(*struck);
            }
            Blow::Stopped => life.stopped = life.stopped.or(Some(struck.at)),
            Blow::Continued => life.go_on(struck.at),
            Blow::Ended(_) if life.ran(struck.at).is_some_and(|ran| ran < START_MS) => {}
            Blow::Ended(ending) => match last {
                None => complain(format!("router {} ended by itself: {ending:?}", struck.router)),
                Some(last) if last.blow == Blow::Terminated && ending != Ending::InOrder => {
                    let ran = life.ran(struck.at).unwrap_or(0);
                    complain(format!(
                        "router {} was told to end, and failed after it had run for {ran} ms: {ending:?}",
                        struck.router
                    ));
                }
                Some(_) => {}
            },
            Blow::HungUp => {}
        }
    }
    found
}

/// How long a process has run. One that was stopped right after its start takes no signals until it goes on.
#[derive(Debug, Clone, Copy, Default)]
struct Life {
    started: Option<Millis>,
    stopped: Option<Millis>,
    still: Millis,
}

impl Life {
    fn stood_still(&self) -> bool {
        self.stopped.is_some() || self.still > 0
    }

    fn go_on(&mut self, now: Millis) {
        self.still += self.stopped.take().map_or(0, |stopped| now - stopped);
    }

    /// How long it has run; none where its start was not seen.
    fn ran(&self, now: Millis) -> Option<Millis> {
        let still = self.still + self.stopped.map_or(0, |stopped| now - stopped);
        self.started.map(|started| (now - started).saturating_sub(still))
    }
}

/// Once trouble is over everything acknowledged is there, and clients are served.
fn ending(history: &History) -> Vec<Violation> {
    let at = history.requests.iter().map(|request| request.ended_at).max().unwrap_or(0);
    let mut found = Vec::new();
    let mut complain = |rule, what| found.push(Violation { rule, at, what });
    let newest = configuration_acks(history).map(|(version, _)| version).max().unwrap_or(0);
    match history.end.read_back {
        None => complain("CONFIG", "no router tells the newest configuration".to_owned()),
        Some(version) if version < newest => {
            complain("LOST", format!("version {newest} was acknowledged, and {version} is read back"));
        }
        Some(version) => {
            let others = history.end.configurations.iter().filter(|other| **other != version).count();
            if others > 0 {
                complain("CONFIG", format!("{others} routers do not have version {version} in force"));
            }
        }
    }
    let named = acknowledged(history).filter_map(|changed| match changed.change {
        Change::Weights(version) => Some(version),
        Change::Configuration { .. } => None,
    });
    let named = named.max().unwrap_or(1);
    let old = history.end.weights.iter().filter(|version| **version < named).count();
    if old > 0 {
        complain("VERSION", format!("{old} backends lack version {named}"));
    }
    let (sent, served) = history.end.requests;
    if served * 100 < sent * SERVED_PERCENT || sent == 0 {
        complain("RECOVER", format!("{served} of {sent} requests are served after the last trouble"));
    }
    found
}
