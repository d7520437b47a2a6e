//! `bitternsill fleet audit`: trails are fetched from each gatherer and judged by the package
//! `versions`.

use super::cli::Where;
use super::collect::Trails;
use super::{GATHERERS, TRAILS, WAS};
use crate::store::client::ReadResult;
use clap::Args;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::Duration;
use versions::Version;
use versions::audit::{Digest, Report, account, overlaps};

/// What is audited, and how it is told.
#[derive(Debug, Args)]
pub struct Audit {
    #[command(flatten)]
    place: Where,
    /// Also write one page of HTML, with a line of time for each gatherer.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Keep what is fetched in this folder, and fetch only what it does not have yet: a trail that
    /// was collected once is known whatever becomes of its gatherer's disk.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

/// What is printed, and whether nothing was wrong and all is known.
pub fn run(call: &Audit) -> (String, bool) {
    let seen = match call.place.client().read("") {
        Ok(seen) => seen,
        Err(problem) => return (problem.to_string(), false),
    };
    let (reports, problems) = collect(call, &seen);
    let sound = reports
        .values()
        .all(|r| r.findings.iter().all(|f| f.is_wrong() == Some(false)));
    let mut text = if call.place.json {
        as_json(&seen, &reports)
    } else {
        as_text(&seen, &reports)
    };
    for problem in problems.iter().filter(|_| !call.place.json) {
        let _ = write!(text, "\nnot asked: {problem}");
    }
    if let Some(path) = &call.html {
        let written = page(&seen, &reports).and_then(|page| {
            std::fs::write(path, page).map_err(|problem| format!("{}: {problem}", path.display()))
        });
        if let Err(problem) = written {
            let _ = write!(text, "\n{problem}");
            return (text, false);
        }
    }
    (text, sound)
}

/// Every version that the store ever made active, with its proposal.
fn versions(seen: &ReadResult) -> BTreeMap<Version, String> {
    let was = seen.names(WAS);
    was.filter_map(|proposal| {
        Some((
            seen.keys.get(&format!("{WAS}{proposal}"))?.1,
            proposal.to_owned(),
        ))
    })
    .collect()
}

/// What is known of each gatherer that the store knows, and why one could not be asked.
fn collect(call: &Audit, seen: &ReadResult) -> (BTreeMap<String, Report>, Vec<String>) {
    let (keep, patience) = (
        call.keep.as_deref(),
        Duration::from_millis(call.place.patience),
    );
    let mut problems = Vec::new();
    let mut trails = match keep.map(Trails::kept) {
        Some(Err(problem)) => {
            problems.push(format!("what was kept cannot be read: {problem}"));
            Trails::default()
        }
        Some(Ok(kept)) => kept,
        None => Trails::default(),
    };
    for address in &call.place.at {
        // Of one that cannot be asked is known what was kept of it before, or nothing.
        if let Err(problem) = trails.fetch(*address, keep, patience) {
            problems.push(format!("{address}: {problem}"));
        }
    }
    let active: BTreeSet<Version> = versions(seen).into_keys().collect();
    let mut reports = BTreeMap::new();
    for name in seen.names(GATHERERS) {
        let prefix = format!("{TRAILS}{name}/");
        let digest = |trail: &str| {
            let (digest, _) = seen.json(&format!("{prefix}{trail}"))?;
            let (segment, length) = (digest["segment"].as_u64()?, digest["length"].as_u64()?);
            let hash = digest["hash"].as_str()?.to_owned();
            Some((
                trail.parse().ok()?,
                Digest {
                    segment,
                    length,
                    hash,
                },
            ))
        };
        let told: BTreeMap<u64, Digest> = seen.names(&prefix).filter_map(digest).collect();
        let (trails, fetched) = trails.of(name);
        reports.insert(name.to_owned(), account(&trails, fetched, &told, &active));
    }
    (reports, problems)
}

fn as_json(seen: &ReadResult, reports: &BTreeMap<String, Report>) -> String {
    let span = |s: &versions::audit::Span| {
        json!({"version": s.version, "from_ms": wall(s.wall_ms, s.taken.0), "to_ms": wall(s.wall_ms, s.taken.1),
               "queries": s.count, "life": s.life})
    };
    let report = |(name, report): (&String, &Report)| {
        let findings: Vec<Json> = report
            .findings
            .iter()
            .map(|finding| json!({"what": finding.to_string(), "wrong": finding.is_wrong(), "word": finding.word()}))
            .collect();
        let spans: Vec<Json> = report.spans.iter().map(span).collect();
        let call = |c: &versions::audit::Called| json!({"at_ms": c.wall_ms, "version": c.version, "call": c.call});
        let calls: Vec<Json> = report.calls.iter().map(call).collect();
        (
            name.clone(),
            json!({"acted": spans, "calls": calls, "findings": findings}),
        )
    };
    let gatherers: serde_json::Map<String, Json> = reports.iter().map(report).collect();
    let overlaps: Vec<Json> = overlaps(reports)
        .into_iter()
        .map(|((one, other), ms)| json!({"versions": [one, other], "ms": ms}))
        .collect();
    let active: Vec<Json> = versions(seen)
        .into_iter()
        .map(|(v, p)| json!({"version": v, "proposal": p}))
        .collect();
    format!(
        "{:#}",
        json!({"versions": active, "gatherers": gatherers, "overlaps": overlaps})
    )
}

fn wall(begin: i64, at: u64) -> i64 {
    begin + (at / 1_000_000) as i64
}

fn as_text(seen: &ReadResult, reports: &BTreeMap<String, Report>) -> String {
    let mut text = String::new();
    let active: Vec<String> = versions(seen)
        .into_iter()
        .map(|(v, proposal)| format!("{v} (proposal {proposal})"))
        .collect();
    let _ = write!(
        text,
        "versions that were ever active: {}",
        if active.is_empty() {
            "none".to_owned()
        } else {
            active.join(", ")
        }
    );
    for (name, report) in reports {
        let _ = write!(text, "\n{name}");
        for span in &report.spans {
            let (from, to) = (
                clock(wall(span.wall_ms, span.taken.0)),
                clock(wall(span.wall_ms, span.taken.1)),
            );
            let _ = write!(
                text,
                "\n  version {} from {from} to {to}: {} queries",
                span.version, span.count
            );
        }
        for call in &report.calls {
            let _ = write!(
                text,
                "\n  at {} under version {}: {}",
                clock(call.wall_ms),
                call.version,
                call.call
            );
        }
        for finding in &report.findings {
            let _ = write!(text, "\n  {}: {finding}", finding.word());
        }
    }
    for ((one, other), ms) in overlaps(reports) {
        let _ = write!(
            text,
            "\nversions {one} and {other} were acted on at one time for {ms} ms"
        );
    }
    text
}

/// A wall clock's time of day, in UTC.
fn clock(ms: i64) -> String {
    let ms = ms.rem_euclid(86_400_000);
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        ms / 3_600_000,
        ms / 60_000 % 60,
        ms / 1_000 % 60,
        ms % 1_000
    )
}

const PAGE: &str = include_str!("audit.html");

/// One page with a line of time for each gatherer.
fn page(seen: &ReadResult, reports: &BTreeMap<String, Report>) -> Result<String, String> {
    let all = reports.values().flat_map(|report| &report.spans);
    let ends = all.map(|span| {
        (
            wall(span.wall_ms, span.taken.0),
            wall(span.wall_ms, span.taken.1),
        )
    });
    let called = reports
        .values()
        .flat_map(|report| &report.calls)
        .map(|call| (call.wall_ms, call.wall_ms));
    let ends = ends.chain(called);
    let (first, last) = ends.fold((i64::MAX, i64::MIN), |all, one| {
        (all.0.min(one.0), all.1.max(one.1))
    });
    let (first, last) = if first > last {
        (0, 1)
    } else {
        (first, last.max(first + 1))
    };
    let known: Vec<Version> = versions(seen).into_keys().collect();
    // Greys that stay apart in print, told again by a pattern of the version's number in the bar.
    let shade = |version: Version| {
        known
            .iter()
            .position(|of| *of == version)
            .map_or(0, |at| 1 + at % 6)
    };
    let x = |ms: i64| (ms - first) as f64 / (last - first) as f64 * 1000.0;
    let line = |(name, report): (&String, &Report)| {
        let bars: Vec<Json> = report
            .spans
            .iter()
            .map(|span| {
                let (from, to) = (wall(span.wall_ms, span.taken.0), wall(span.wall_ms, span.taken.1));
                json!({"x": x(from), "width": (x(to) - x(from)).max(2.0), "shade": shade(span.version),
                       "version": span.version, "title": format!("version {}: {} queries from {} to {}", span.version, span.count, clock(from), clock(to))})
            })
            .collect();
        let findings: Vec<Json> = report
            .findings
            .iter()
            .map(|finding| json!({"what": finding.to_string(), "wrong": finding.is_wrong(), "word": finding.word()}))
            .collect();
        let call = |call: &versions::audit::Called| {
            let title = format!(
                "{} at {}, under version {}",
                call.call,
                clock(call.wall_ms),
                call.version
            );
            json!({"x": x(call.wall_ms), "title": title})
        };
        let calls: Vec<Json> = report.calls.iter().map(call).collect();
        json!({"name": name, "bars": bars, "calls": calls, "findings": findings})
    };
    let ticks: Vec<Json> = (0..=5)
        .map(|at| json!({"x": at * 200, "text": clock(first + (last - first) * at / 5)}))
        .collect();
    let overlaps: Vec<Json> = overlaps(reports)
        .into_iter()
        .map(|((one, other), ms)| json!({"one": one, "other": other, "ms": ms}))
        .collect();
    let lines: Vec<Json> = reports.iter().map(line).collect();
    let shades: Vec<Json> = versions(seen)
        .into_iter()
        .map(|(version, proposal)| json!({"version": version, "proposal": proposal, "shade": shade(version)}))
        .collect();
    let mut pages = minijinja::Environment::new();
    pages
        .add_template("audit.html", PAGE)
        .map_err(|problem| problem.to_string())?;
    let page = pages
        .get_template("audit.html")
        .map_err(|problem| problem.to_string())?;
    let context = json!({"lines": lines, "ticks": ticks, "overlaps": overlaps, "shades": shades,
                         "height": 24 * reports.len(), "revision": seen.revision});
    page.render(context).map_err(|problem| problem.to_string())
}

#[cfg(test)]
mod tests;
