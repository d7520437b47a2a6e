//! Tests of `sru::request`.

use super::*;

const BOUNDS: RequestBounds = RequestBounds {
    depth: 8,
    page: 50,
    terms: 100,
    sort_keys: 4,
    facet_values: 50,
    facets: 4,
};

fn describe(query: &str) -> String {
    match read(&parameters(query), None, None, &BOUNDS) {
        Ok((form, Request::Search(s))) => format!(
            "{} search {} from {} at most {} ttl {:?} facets {} text {} schema {:?}",
            form.version.name(),
            s.query,
            s.start,
            s.max_records,
            s.ttl,
            s.facets.len(),
            form.as_text,
            form.schema
        ),
        Ok((form, Request::Scan(s))) => {
            format!(
                "{} scan {} @{} of {}",
                form.version.name(),
                Node::Clause(s.clause),
                s.position,
                s.number
            )
        }
        Ok((form, Request::Explain)) => format!("{} explain", form.version.name()),
        Err(refused) => {
            format!(
                "{} {}: {}",
                refused.form.version.name(),
                refused.fault.kind.sru,
                refused.fault
            )
        }
    }
}

#[test]
fn each_version_has_its_own_parameters_and_every_fault_its_number() {
    let cases = [
        "",
        "query=moon",
        "version=1.1&operation=searchRetrieve&query=moon&maximumRecords=900&recordPacking=string",
        "version=1.2&operation=searchRetrieve&query=moon+sortBy+title&sortKeys=date",
        "version=1.1&operation=searchRetrieve&query=moon&sortKeys=title,,0&resultSetTTL=30&recordSchema=mods",
        "query=a&facetLimit=10:dc.subject,5:date&recordXMLEscaping=string&httpAccept=application/sru%2bxml",
        "version=1.1&operation=searchRetrieve&query=a&facetLimit=10:dc.subject",
        "version=1.1&operation=searchRetrieve&query=a&queryType=cql",
        "query=a&queryType=searchTerms",
        "query=a&recordPacking=unpacked",
        "version=1.2&operation=searchRetrieve&query=a&recordPacking=packed",
        "version=1.2&operation=scan&scanClause=title%3Dmoon&maximumTerms=5&responsePosition=6",
        "version=1.2&operation=scan&scanClause=title%3Dmoon&maximumTerms=5&responsePosition=7",
        "version=1.2&operation=scan&scanClause=title%3Ca",
        "version=1.2&operation=scan&scanClause=a+and+b",
        "version=1.2&operation=scan",
        "version=1.2&operation=dance",
        "version=3.0&query=a",
        "version=1.1&operation=searchRetrieve",
        "query=a&startRecord=0",
        "query=a&maximumRecords=-1",
        "query=a&recordSchema=marc21",
        "query=a&httpAccept=image/png",
        "query=a&colour=red",
        "query=a&x-colour=red",
        "query=a&stylesheet=%3F%3E",
        "version=1.1&operation=searchRetrieve&query=a&recordXPath=/a",
    ];
    let said: Vec<String> = cases
        .iter()
        .map(|case| format!("{case}\n  {}", describe(case)))
        .collect();
    insta::assert_snapshot!(said.join("\n"));
}

#[test]
fn unsupported_accept_header_is_rejected_only_in_version_2_0() {
    let given = parameters("query=a");
    assert_eq!(
        read(&given, None, Some("image/png"), &BOUNDS)
            .map_err(|r| r.status)
            .err(),
        Some(406)
    );
    let (form, _) = read(&given, None, Some("application/sru+xml, */*"), &BOUNDS).unwrap();
    assert!(form.sru_xml);
    assert!(
        read(
            &parameters("version=1.1&operation=searchRetrieve&query=a"),
            None,
            Some("image/png"),
            &BOUNDS
        )
        .is_ok()
    );
}

#[test]
fn percent_encoding_round_trips() {
    for text in ["a b", "ü=&+%", "\"x\" and y"] {
        assert_eq!(
            parameters(&format!("query={}", percent(text)))["query"],
            text
        );
    }
    assert_eq!(unescape("%zz%4"), "%zz%4", "invalid escapes are kept");
}
