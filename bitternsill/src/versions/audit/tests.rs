//! Tests of `versions::audit`.

use super::*;
use versions::audit::{Finding, Span};

/// With `VERSIONS_PAGE=FILE` the page is also written to that file.
#[test]
fn page_has_a_timeline_per_gatherer_and_needs_no_other_file() {
    let mut seen = ReadResult::default();
    for (proposal, version) in [(10, 12), (40, 44), (70, 75)] {
        let key = format!("{EVER_ACTIVE}{proposal}");
        seen.keys.insert(key, ("{}".to_owned(), version));
    }
    let span = |version, from: u64, to: u64| Span {
        incarnation: 1,
        wall_offset_ms: 36_000_000,
        version,
        accepted: (from * 1_000_000_000, to * 1_000_000_000),
        count: 1_000,
    };
    let report = |at: u64| {
        let spans = vec![
            span(12, 0, 60 + at % 3),
            span(44, 61 + at % 3, 200),
            span(75, 201 + at % 5, 300),
        ];
        let findings = match at {
            7 => vec![Finding::NoLog],
            9 => vec![Finding::ServedAutonomously {
                version: 44,
                overrun: 5_000_000_000,
                count: 12,
            }],
            _ => Vec::new(),
        };
        (
            format!("gatherer-{at:02}"),
            Report {
                spans,
                findings,
                ..Report::default()
            },
        )
    };
    let reports: BTreeMap<String, Report> = (0..60).map(report).collect();
    let fleet = FleetReport {
        revision: 90,
        versions: versions(&seen),
        reports,
    };
    let page = page::render(&fleet).unwrap();
    assert_eq!(page.matches("<rect class").count(), 180 + 3);
    assert!(
        fleet
            .reports
            .keys()
            .all(|name| page.contains(name.as_str()))
    );
    assert!(
        !page.contains("http"),
        "the page must not fetch other files"
    );
    assert!(
        page.contains("10:00:00.000")
            && page.contains("Versions 12 and 44 were in use at the same time")
    );
    if let Some(path) = std::env::var_os("VERSIONS_PAGE") {
        std::fs::write(path, page).unwrap();
    }
}
