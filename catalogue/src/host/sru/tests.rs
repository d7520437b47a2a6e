//! Tests of `host::sru`.

use super::*;
use crate::sort::SortKey;
use crate::work::Range;

const BOUNDS: HostBounds = HostBounds {
    local_sort: 4,
    message: 1 << 16,
    named_sets: 4,
    set_age: 100,
    exchanges: 6,
};

fn job(capabilities: &HostCapabilities, sort: bool, offset: u64, count: u32) -> Job {
    let work = Work::Page(PageWork {
        query: "cql.serverChoice = \"moon\"".into(),
        sort: if sort {
            vec![SortKey::named("title").unwrap()]
        } else {
            Vec::new()
        },
        schema: Schema::Mods,
        fresh: true,
        ranges: vec![Range {
            slice: 3,
            offset,
            count,
        }],
        facets: Vec::new(),
    });
    Job::new(work, 3, capabilities)
}

fn diagnostic(number: u16, details: &str) -> String {
    format!(
        "<r><version>1.1</version><diagnostics><diagnostic><uri>info:srw/diagnostic/1/{number}</uri>\
         <details>{details}</details></diagnostic></diagnostics></r>"
    )
}

fn records(hits: u64, titles: &[&str]) -> String {
    let records: String = titles
        .iter()
        .map(|t| format!("<record><recordData><dc><title>{t}</title></dc></recordData></record>"))
        .collect();
    format!("<r><numberOfRecords>{hits}</numberOfRecords><records>{records}</records></r>")
}

fn titles(next: Next<()>) -> Vec<String> {
    match next {
        Next::Done(WorkResult::Found(found)) => found
            .records
            .iter()
            .filter_map(|r| r.value("dc.title"))
            .collect(),
        other => panic!("{other:?}"),
    }
}

/// A host that supports only version 2.0 refuses older ones. The next part uses 2.0 at once.
#[test]
fn negotiates_and_remembers_host_version() {
    let mut capabilities = HostCapabilities::default();
    let mut one = job(&capabilities, false, 0, 1);
    let mut queries = Vec::new();
    loop {
        let query = one.query_string(&BOUNDS, &capabilities);
        queries.push(query.split('&').next().unwrap().to_owned());
        if !query.contains("version=") {
            break;
        }
        assert_eq!(
            one.answered(200, &diagnostic(5, ""), &BOUNDS, &mut capabilities),
            Next::Send(())
        );
    }
    assert_eq!(
        queries,
        [
            "version=1.2",
            "version=1.1",
            "query=cql.serverChoice%20%3D%20%22moon%22"
        ]
    );
    assert_eq!(
        titles(one.answered(200, &records(1, &["a"]), &BOUNDS, &mut capabilities)),
        ["a"]
    );
    assert!(
        !job(&capabilities, false, 0, 1)
            .query_string(&BOUNDS, &capabilities)
            .contains("version=")
    );
    // For a host that supports no version, the part ends after one attempt with each.
    let mut capabilities = HostCapabilities::default();
    let mut none = job(&capabilities, false, 0, 1);
    let ends = (0..4).find_map(|_| {
        match none.answered(200, &diagnostic(5, "x"), &BOUNDS, &mut capabilities) {
            Next::Send(()) => None,
            other => Some(other),
        }
    });
    assert_eq!(
        ends,
        Some(Next::Done(WorkResult::Refused(Kind::VERSION.of("x"))))
    );
}

#[test]
fn works_around_missing_schema_and_sorting() {
    let mut capabilities = HostCapabilities::default();
    let mut one = job(&capabilities, true, 1, 2);
    let query = one.query_string(&BOUNDS, &capabilities);
    assert!(
        query.contains("recordSchema=mods") && query.contains("sortKeys=title"),
        "{query}"
    );
    assert_eq!(
        one.answered(200, &diagnostic(66, "mods"), &BOUNDS, &mut capabilities),
        Next::Send(())
    );
    assert!(
        one.query_string(&BOUNDS, &capabilities)
            .contains("recordSchema=dc")
    );
    assert_eq!(
        one.answered(200, &diagnostic(80, ""), &BOUNDS, &mut capabilities),
        Next::Send(())
    );
    let query = one.query_string(&BOUNDS, &capabilities);
    assert!(
        !query.contains("sortKeys") && query.contains("startRecord=1&maximumRecords=4"),
        "{query}"
    );
    // The host returns two records at a time. They are collected and sorted locally, and the range
    // is returned.
    assert_eq!(
        one.answered(200, &records(3, &["c", "a"]), &BOUNDS, &mut capabilities),
        Next::Send(())
    );
    assert!(
        one.query_string(&BOUNDS, &capabilities)
            .contains("startRecord=3&maximumRecords=1")
    );
    assert_eq!(
        titles(one.answered(200, &records(3, &["b"]), &BOUNDS, &mut capabilities)),
        ["b", "c"]
    );
    // The next part sorts locally at once and is refused if there are too many records.
    let mut next = job(&capabilities, true, 0, 1);
    assert!(
        !next
            .query_string(&BOUNDS, &capabilities)
            .contains("sortKeys")
    );
    match next.answered(
        200,
        &records(5, &["a", "b", "c", "d"]),
        &BOUNDS,
        &mut capabilities,
    ) {
        Next::Done(WorkResult::Refused(fault)) => assert_eq!(fault.kind, Kind::SORT_TOO_MANY),
        other => panic!("{other:?}"),
    }
}

#[test]
fn server_faults_fail_the_part_and_query_faults_are_results() {
    let answer = |status, body: &str| {
        let mut capabilities = HostCapabilities::default();
        job(&capabilities, false, 0, 1).answered(status, body, &BOUNDS, &mut capabilities)
    };
    assert_eq!(answer(503, ""), Next::Rejected);
    assert_eq!(answer(200, &diagnostic(2, "")), Next::Rejected);
    assert!(matches!(answer(200, &diagnostic(1, "")), Next::Failed(_)));
    assert!(matches!(answer(500, "oops"), Next::Failed(_)));
    assert!(matches!(answer(500, &records(1, &["a"])), Next::Failed(_)));
    assert_eq!(
        answer(200, &diagnostic(16, "x")),
        Next::Done(WorkResult::Refused(Kind::INDEX.of("x")))
    );
    assert_eq!(
        answer(400, &diagnostic(10, "x")),
        Next::Done(WorkResult::Refused(Kind::SYNTAX.of("x")))
    );
    let partial = records(2, &["a"]).replace(
        "</r>",
        "<diagnostics><diagnostic><uri>info:srw/diagnostic/1/59</uri></diagnostic></diagnostics></r>",
    );
    match answer(200, &partial) {
        Next::Done(WorkResult::Found(found)) => assert!(!found.exact && found.hits == 2),
        other => panic!("{other:?}"),
    }
}
