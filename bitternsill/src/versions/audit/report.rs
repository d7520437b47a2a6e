//! The result of an audit as text and as JSON.

use super::FleetReport;
use serde_json::{Value as Json, json};
use std::fmt::Write as _;
use versions::audit::{Finding, OperatorCall, Report, Span, overlaps};

const MS_PER_SECOND: i64 = 1_000;
const MS_PER_MINUTE: i64 = 60 * MS_PER_SECOND;
const MS_PER_HOUR: i64 = 60 * MS_PER_MINUTE;
const MS_PER_DAY: i64 = 24 * MS_PER_HOUR;

pub(super) fn to_json(fleet: &FleetReport) -> String {
    let versions: Vec<Json> = fleet
        .versions
        .iter()
        .map(|(version, proposal)| json!({"version": version, "proposal": proposal}))
        .collect();
    let gatherers: serde_json::Map<String, Json> = fleet
        .reports
        .iter()
        .map(|(name, report)| (name.clone(), gatherer_json(report)))
        .collect();
    let overlaps: Vec<Json> = overlaps(&fleet.reports)
        .into_iter()
        .map(|o| json!({"versions": [o.earlier, o.later], "ms": o.duration_ms}))
        .collect();
    let report = json!({"versions": versions, "gatherers": gatherers, "overlaps": overlaps});
    format!("{report:#}")
}

fn gatherer_json(report: &Report) -> Json {
    let spans: Vec<Json> = report.spans.iter().map(span_json).collect();
    let calls: Vec<Json> = report.calls.iter().map(call_json).collect();
    let findings: Vec<Json> = report.findings.iter().map(finding_json).collect();
    json!({"acted": spans, "calls": calls, "findings": findings})
}

fn span_json(span: &Span) -> Json {
    json!({
        "version": span.version,
        "from_ms": span.first_wall_ms(),
        "to_ms": span.last_wall_ms(),
        "queries": span.count,
        "life": span.incarnation,
    })
}

fn call_json(call: &OperatorCall) -> Json {
    json!({"at_ms": call.wall_ms, "version": call.version, "call": call.call})
}

pub(super) fn finding_json(finding: &Finding) -> Json {
    json!({
        "what": finding.to_string(),
        "wrong": finding.is_violation(),
        "word": finding.label(),
    })
}

pub(super) fn to_text(fleet: &FleetReport) -> String {
    let versions: Vec<String> = fleet
        .versions
        .iter()
        .map(|(version, proposal)| format!("{version} (proposal {proposal})"))
        .collect();
    let versions = if versions.is_empty() {
        "none".to_owned()
    } else {
        versions.join(", ")
    };
    let mut text = format!("versions that were ever active: {versions}");
    for (name, report) in &fleet.reports {
        let _ = write!(text, "\n{name}");
        write_gatherer(&mut text, report);
    }
    for overlap in overlaps(&fleet.reports) {
        let _ = write!(
            text,
            "\nversions {} and {} were in use at the same time for {} ms",
            overlap.earlier, overlap.later, overlap.duration_ms
        );
    }
    text
}

fn write_gatherer(text: &mut String, report: &Report) {
    for span in &report.spans {
        let from = time_of_day(span.first_wall_ms());
        let to = time_of_day(span.last_wall_ms());
        let (version, count) = (span.version, span.count);
        let _ = write!(
            text,
            "\n  version {version} from {from} to {to}: {count} queries"
        );
    }
    for call in &report.calls {
        let at = time_of_day(call.wall_ms);
        let _ = write!(
            text,
            "\n  at {at} under version {}: {}",
            call.version, call.call
        );
    }
    for finding in &report.findings {
        let _ = write!(text, "\n  {}: {finding}", finding.label());
    }
}

/// The time of day in UTC.
pub(super) fn time_of_day(wall_ms: i64) -> String {
    let ms = wall_ms.rem_euclid(MS_PER_DAY);
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        ms / MS_PER_HOUR,
        ms / MS_PER_MINUTE % 60,
        ms / MS_PER_SECOND % 60,
        ms % MS_PER_SECOND
    )
}
