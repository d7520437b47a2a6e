//! Tests of `merge`.

use super::*;

fn terms(list: &[(&str, u64)]) -> Terms {
    let term = |(text, count): &(&str, u64)| Term {
        text: (*text).to_owned(),
        display: None,
        count: *count,
    };
    Terms {
        terms: list.iter().map(term).collect(),
        host: 0,
    }
}

fn describe(merged: &(Vec<Term>, usize)) -> String {
    let words: Vec<String> = merged
        .0
        .iter()
        .map(|t| format!("{}:{}", t.text, t.count))
        .collect();
    format!("{} @{}", words.join(" "), merged.1)
}

#[test]
fn term_lists_are_merged_around_the_starting_point() {
    let lists = [
        terms(&[("ant", 1), ("bee", 2), ("cat", 1)]),
        terms(&[("bee", 3), ("Cat", 4), ("dog", 9)]),
    ];
    assert_eq!(describe(&scan(&lists, "bee", 2, 1)), "bee:5 cat:5 @1");
    assert_eq!(describe(&scan(&lists, "bee", 3, 2)), "ant:1 bee:5 cat:5 @2");
    assert_eq!(describe(&scan(&lists, "bea", 2, 1)), "bee:5 cat:5 @1");
    assert_eq!(describe(&scan(&lists, "bee", 2, 0)), "cat:5 dog:9 @0");
    assert_eq!(describe(&scan(&lists, "dog", 2, 3)), "bee:5 cat:5 @3");
    // Fewer terms precede the starting point than requested, so its position is lower.
    assert_eq!(describe(&scan(&lists, "ant", 3, 3)), "ant:1 @1");
    assert_eq!(describe(&scan(&lists, "zebra", 2, 1)), " @1");
}

#[test]
fn merged_count_reports_its_precision() {
    let count_of = |slices: &[(u64, bool)], missing| count(slices.iter().copied(), missing);
    assert_eq!(
        count_of(&[(3, true), (4, true)], false),
        Count {
            hits: 7,
            precision: Precision::Exact
        }
    );
    assert_eq!(
        count_of(&[(3, true), (4, false)], false).precision,
        Precision::AtLeast
    );
    assert_eq!(
        count_of(&[(3, true), (4, false)], true).precision,
        Precision::Partial
    );
    assert_eq!(
        count_of(&[(u64::MAX, true), (4, true)], false).hits,
        u64::MAX,
        "the sum saturates"
    );
}

#[test]
fn truncated_facet_list_is_inexact_only_if_it_may_omit_a_value() {
    let request = FacetRequest {
        index: "dc.subject".into(),
        limit: 1,
    };
    let list = |values: &[(&str, u64)]| Facet {
        index: "dc.subject".into(),
        values: values.iter().map(|(v, n)| ((*v).to_owned(), *n)).collect(),
    };
    let (a, b) = (list(&[("moon", 5), ("sun", 4)]), list(&[("sun", 3)]));
    let merged = facets(&request, &[Some(&a), Some(&b)]);
    assert_eq!(
        (merged.facet.values, merged.exact),
        (vec![("sun".to_owned(), 7)], true)
    );
    let names: Vec<String> = (0..12).map(|n| format!("v{n:02}")).collect();
    let full: Vec<(&str, u64)> = names.iter().map(|n| (n.as_str(), 1)).collect();
    assert!(
        !facets(&request, &[Some(&a), Some(&list(&full))]).exact,
        "the list may omit moon"
    );
    assert!(!facets(&request, &[Some(&a), None]).exact);
}
