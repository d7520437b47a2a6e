//! `bitternsill fleet audit`: trails are fetched from each gatherer and judged by the package `versions`.

use super::cli::Where;
use super::{GATHERERS, TRAILS, WAS};
use crate::store::client::{Seen, line};
use clap::Args;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use versions::Version;
use versions::audit::{Digest, Finding, Report, join, judge, overlaps};

/// What is audited, and how it is told.
#[derive(Debug, Args)]
pub struct Audit {
    #[command(flatten)]
    place: Where,
    /// Also write one page of HTML, with a line of time for each gatherer.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// What is printed, and whether nothing was wrong and all is known.
pub fn run(call: &Audit) -> (String, bool) {
    let seen = match call.place.client().read("") {
        Ok(seen) => seen,
        Err(problem) => return (problem, false),
    };
    let reports = collect(&seen, &call.place.at, Duration::from_millis(call.place.patience));
    let sound = reports.values().all(|r| r.findings.iter().all(|f| f.is_wrong() == Some(false)));
    let mut text = if call.place.json { as_json(&seen, &reports) } else { as_text(&seen, &reports) };
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
fn versions(seen: &Seen) -> BTreeMap<Version, String> {
    let was = seen.names(WAS);
    was.filter_map(|proposal| Some((seen.keys.get(&format!("{WAS}{proposal}"))?.1, proposal.to_owned())))
        .collect()
}

fn collect(seen: &Seen, at: &[SocketAddr], patience: Duration) -> BTreeMap<String, Report> {
    let mut trails: BTreeMap<String, BTreeMap<u64, String>> = BTreeMap::new();
    for address in at {
        // One that cannot be asked has no trail here, and is told as not known.
        if let Some((name, segments)) = fetch(*address, patience) {
            trails.insert(name, segments);
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
            Some((trail.parse().ok()?, Digest { segment, length, hash }))
        };
        let told: BTreeMap<u64, Digest> = seen.names(&prefix).filter_map(digest).collect();
        let report = match trails.get(name) {
            Some(segments) => {
                let (entries, broken) = join(segments, &told);
                judge(&entries, broken, &active)
            }
            None => Report { findings: vec![Finding::NoTrail], ..Report::default() },
        };
        reports.insert(name.to_owned(), report);
    }
    reports
}

/// All that is left of one gatherer's trail, by segment. A piece that does not come is asked for once more from where it was.
fn fetch(at: SocketAddr, patience: Duration) -> Option<(String, BTreeMap<u64, String>)> {
    let (mut segments, mut name) = (BTreeMap::<u64, String>::new(), None);
    let (mut segment, mut from) = (0, 0);
    loop {
        let asked = json!({"ask": "trail", "segment": segment, "from": from}).to_string();
        let told = line(at, &asked, patience).or_else(|_| line(at, &asked, patience)).ok()?;
        let told = &told["trail"];
        let text = told["text"].as_str()?;
        segment = told["segment"].as_u64()?;
        name.get_or_insert(told["name"].as_str()?.to_owned());
        segments.entry(segment).or_default().push_str(text);
        from += text.len() as u64;
        if told["more"] != true {
            if segment >= told["last"].as_u64()? {
                return Some((name?, segments));
            }
            (segment, from) = (segment + 1, 0);
        }
    }
}

fn as_json(seen: &Seen, reports: &BTreeMap<String, Report>) -> String {
    let span = |s: &versions::audit::Span| {
        json!({"version": s.version, "from_ms": wall(s.wall_ms, s.taken.0), "to_ms": wall(s.wall_ms, s.taken.1),
               "queries": s.count, "life": s.life})
    };
    let report = |(name, report): (&String, &Report)| {
        let findings: Vec<Json> = report
            .findings
            .iter()
            .map(|finding| json!({"what": finding.to_string(), "wrong": finding.is_wrong()}))
            .collect();
        let spans: Vec<Json> = report.spans.iter().map(span).collect();
        (name.clone(), json!({"acted": spans, "findings": findings}))
    };
    let gatherers: serde_json::Map<String, Json> = reports.iter().map(report).collect();
    let overlaps: Vec<Json> = overlaps(reports)
        .into_iter()
        .map(|((one, other), ms)| json!({"versions": [one, other], "ms": ms}))
        .collect();
    let active: Vec<Json> =
        versions(seen).into_iter().map(|(v, p)| json!({"version": v, "proposal": p})).collect();
    format!("{:#}", json!({"versions": active, "gatherers": gatherers, "overlaps": overlaps}))
}

fn wall(begin: i64, at: u64) -> i64 {
    begin + (at / 1_000_000) as i64
}

fn as_text(seen: &Seen, reports: &BTreeMap<String, Report>) -> String {
    let mut text = String::new();
    let active: Vec<String> =
        versions(seen).into_iter().map(|(v, proposal)| format!("{v} (proposal {proposal})")).collect();
    let _ = write!(
        text,
        "versions that were ever active: {}",
        if active.is_empty() { "none".to_owned() } else { active.join(", ") }
    );
    for (name, report) in reports {
        let _ = write!(text, "\n{name}");
        for span in &report.spans {
            let (from, to) =
                (clock(wall(span.wall_ms, span.taken.0)), clock(wall(span.wall_ms, span.taken.1)));
            let _ = write!(text, "\n  version {} from {from} to {to}: {} queries", span.version, span.count);
        }
        for finding in &report.findings {
            let word = match finding.is_wrong() {
                Some(true) => "WRONG",
                Some(false) => "kept",
                None => "NOT KNOWN",
            };
            let _ = write!(text, "\n  {word}: {finding}");
        }
    }
    for ((one, other), ms) in overlaps(reports) {
        let _ = write!(text, "\nversions {one} and {other} were acted on at one time for {ms} ms");
    }
    text
}

/// A wall clock's time of day, in UTC.
fn clock(ms: i64) -> String {
    let ms = ms.rem_euclid(86_400_000);
    format!("{:02}:{:02}:{:02}.{:03}", ms / 3_600_000, ms / 60_000 % 60, ms / 1_000 % 60, ms % 1_000)
}

const PAGE: &str = include_str!("audit.html");

/// One page with a line of time for each gatherer.
fn page(seen: &Seen, reports: &BTreeMap<String, Report>) -> Result<String, String> {
    let all = reports.values().flat_map(|report| &report.spans);
    let ends = all.map(|span| (wall(span.wall_ms, span.taken.0), wall(span.wall_ms, span.taken.1)));
    let (first, last) = ends.fold((i64::MAX, i64::MIN), |all, one| (all.0.min(one.0), all.1.max(one.1)));
    let (first, last) = if first > last { (0, 1) } else { (first, last.max(first + 1)) };
    let known: Vec<Version> = versions(seen).into_keys().collect();
    // Greys that stay apart in print, told again by a pattern of the version's number in the bar.
    let shade = |version: Version| known.iter().position(|of| *of == version).map_or(0, |at| 1 + at % 6);
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
            .map(|finding| json!({"what": finding.to_string(), "wrong": finding.is_wrong()}))
            .collect();
        json!({"name": name, "bars": bars, "findings": findings})
    };
    let ticks: Vec<Json> =
        (0..=5).map(|at| json!({"x": at * 200, "text": clock(first + (last - first) * at / 5)})).collect();
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
    pages.add_template("audit.html", PAGE).map_err(|problem| problem.to_string())?;
    let page = pages.get_template("audit.html").map_err(|problem| problem.to_string())?;
    let context = json!({"lines": lines, "ticks": ticks, "overlaps": overlaps, "shades": shades,
                         "height": 24 * reports.len(), "revision": seen.revision});
    page.render(context).map_err(|problem| problem.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;
    use versions::audit::Span;

    /// `VERSIONS_PAGE=FILE` keeps the page, to be looked at.
    #[test]
    fn a_page_of_sixty_gatherers_has_a_line_for_each_and_needs_nothing_else() {
        let mut seen = Seen { revision: 90, ..Seen::default() };
        for (proposal, version) in [(10, 12), (40, 44), (70, 75)] {
            seen.keys.insert(format!("{WAS}{proposal}"), ("{}".to_owned(), version));
        }
        let span = |version, from: u64, to: u64| Span {
            life: 1,
            wall_ms: 36_000_000,
            version,
            taken: (from * 1_000_000_000, to * 1_000_000_000),
            count: 1_000,
        };
        let report = |at: u64| {
            let spans =
                vec![span(12, 0, 60 + at % 3), span(44, 61 + at % 3, 200), span(75, 201 + at % 5, 300)];
            let findings = match at {
                7 => vec![Finding::NoTrail],
                9 => vec![Finding::Kept { version: 44, by: 5_000_000_000, count: 12 }],
                _ => Vec::new(),
            };
            (format!("gatherer-{at:02}"), Report { spans, findings })
        };
        let reports: BTreeMap<String, Report> = (0..60).map(report).collect();
        let page = page(&seen, &reports).unwrap();
        assert_eq!(page.matches("<rect class").count(), 180 + 3);
        assert!(reports.keys().all(|name| page.contains(name.as_str())));
        assert!(!page.contains("http"), "one file, and nothing fetched");
        assert!(
            page.contains("10:00:00.000") && page.contains("Versions 12 and 44 were acted on at one time")
        );
        if let Some(path) = std::env::var_os("VERSIONS_PAGE") {
            std::fs::write(path, page).unwrap();
        }
    }
}
