//! Tests of `versions::audit`.

use super::*;
use versions::audit::{Finding, Span};

/// `VERSIONS_PAGE=FILE` keeps the page, to be looked at.
#[test]
fn a_page_of_sixty_gatherers_has_a_line_for_each_and_needs_nothing_else() {
    let mut seen = ReadResult {
        revision: 90,
        ..ReadResult::default()
    };
    for (proposal, version) in [(10, 12), (40, 44), (70, 75)] {
        seen.keys
            .insert(format!("{WAS}{proposal}"), ("{}".to_owned(), version));
    }
    let span = |version, from: u64, to: u64| Span {
        life: 1,
        wall_ms: 36_000_000,
        version,
        taken: (from * 1_000_000_000, to * 1_000_000_000),
        count: 1_000,
    };
    let report = |at: u64| {
        let spans = vec![
            span(12, 0, 60 + at % 3),
            span(44, 61 + at % 3, 200),
            span(75, 201 + at % 5, 300),
        ];
        let findings = match at {
            7 => vec![Finding::NoTrail],
            9 => vec![Finding::Kept {
                version: 44,
                by: 5_000_000_000,
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
    let page = page(&seen, &reports).unwrap();
    assert_eq!(page.matches("<rect class").count(), 180 + 3);
    assert!(reports.keys().all(|name| page.contains(name.as_str())));
    assert!(!page.contains("http"), "one file, and nothing fetched");
    assert!(
        page.contains("10:00:00.000")
            && page.contains("Versions 12 and 44 were acted on at one time")
    );
    if let Some(path) = std::env::var_os("VERSIONS_PAGE") {
        std::fs::write(path, page).unwrap();
    }
}
