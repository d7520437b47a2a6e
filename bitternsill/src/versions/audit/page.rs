//! The result of an audit as a self-contained HTML page with a timeline for each gatherer.

use super::FleetReport;
use super::report::{finding_json, time_of_day};
use serde_json::{Value as Json, json};
use versions::Version;
use versions::audit::{OperatorCall, Report, Span, overlaps};

const TEMPLATE: &str = include_str!("../audit.html");
const TEMPLATE_NAME: &str = "audit.html";
/// The width of the timelines, in SVG units.
const WIDTH: f64 = 1000.0;
/// The minimum width of a bar, so that it is visible.
const MIN_BAR_WIDTH: f64 = 2.0;
/// The height of a timeline.
const ROW_HEIGHT: usize = 24;
/// The number of intervals between the ticks of the time axis.
const TICKS: i64 = 5;
/// The number of shades in the template, not counting the one for unknown versions.
const SHADES: usize = 6;

/// Renders the page.
pub(super) fn render(fleet: &FleetReport) -> Result<String, minijinja::Error> {
    let timeline = Timeline::new(fleet);
    let lines: Vec<Json> = fleet
        .reports
        .iter()
        .map(|(name, report)| timeline.row(name, report))
        .collect();
    let overlaps: Vec<Json> = overlaps(&fleet.reports)
        .into_iter()
        .map(|o| json!({"one": o.earlier, "other": o.later, "ms": o.duration_ms}))
        .collect();
    let shades: Vec<Json> = fleet
        .versions
        .iter()
        .map(|(version, proposal)| {
            json!({"version": version, "proposal": proposal, "shade": timeline.shade(*version)})
        })
        .collect();
    let context = json!({
        "lines": lines,
        "ticks": timeline.ticks(),
        "overlaps": overlaps,
        "shades": shades,
        "height": ROW_HEIGHT * fleet.reports.len(),
        "revision": fleet.revision,
    });
    let mut templates = minijinja::Environment::new();
    templates.add_template(TEMPLATE_NAME, TEMPLATE)?;
    templates.get_template(TEMPLATE_NAME)?.render(context)
}

/// The time axis that all rows share, in milliseconds of the wall clock.
struct Timeline {
    first: i64,
    last: i64,
    versions: Vec<Version>,
}

impl Timeline {
    fn new(fleet: &FleetReport) -> Timeline {
        let spans = fleet.reports.values().flat_map(|report| &report.spans);
        let calls = fleet.reports.values().flat_map(|report| &report.calls);
        let times: Vec<i64> = spans
            .flat_map(|span| [span.first_wall_ms(), span.last_wall_ms()])
            .chain(calls.map(|call| call.wall_ms))
            .collect();
        let first = times.iter().min().copied().unwrap_or(0);
        let last = times.iter().max().copied().unwrap_or(0);
        Timeline {
            first,
            // The axis must not be empty: its width is a divisor.
            last: last.max(first + 1),
            versions: fleet.versions.keys().copied().collect(),
        }
    }

    fn x(&self, wall_ms: i64) -> f64 {
        (wall_ms - self.first) as f64 / (self.last - self.first) as f64 * WIDTH
    }

    /// The shade of a version's bars. Consecutive versions have different shades; as shades repeat,
    /// bars also carry the version's number.
    fn shade(&self, version: Version) -> usize {
        self.versions
            .iter()
            .position(|known| *known == version)
            .map_or(0, |index| 1 + index % SHADES)
    }

    fn ticks(&self) -> Vec<Json> {
        let tick = |n: i64| {
            let wall_ms = self.first + (self.last - self.first) * n / TICKS;
            json!({"x": n * WIDTH as i64 / TICKS, "text": time_of_day(wall_ms)})
        };
        (0..=TICKS).map(tick).collect()
    }

    fn row(&self, name: &str, report: &Report) -> Json {
        let bars: Vec<Json> = report.spans.iter().map(|span| self.bar(span)).collect();
        let calls: Vec<Json> = report.calls.iter().map(|call| self.call(call)).collect();
        let findings: Vec<Json> = report.findings.iter().map(finding_json).collect();
        json!({"name": name, "bars": bars, "calls": calls, "findings": findings})
    }

    fn bar(&self, span: &Span) -> Json {
        let (first, last) = (span.first_wall_ms(), span.last_wall_ms());
        let title = format!(
            "version {}: {} queries from {} to {}",
            span.version,
            span.count,
            time_of_day(first),
            time_of_day(last)
        );
        json!({
            "x": self.x(first),
            "width": (self.x(last) - self.x(first)).max(MIN_BAR_WIDTH),
            "shade": self.shade(span.version),
            "version": span.version,
            "title": title,
        })
    }

    fn call(&self, call: &OperatorCall) -> Json {
        let title = format!(
            "{} at {}, under version {}",
            call.call,
            time_of_day(call.wall_ms),
            call.version
        );
        json!({"x": self.x(call.wall_ms), "title": title})
    }
}
