//! Tests of `sru::xml`.

use super::*;

#[test]
fn parses_search_scan_and_facet_responses() {
    let response = read_response(
        "<?xml version=\"1.0\"?><z:searchRetrieveResponse xmlns:z=\"http://www.loc.gov/zing/srw/\" \
         xmlns:dc=\"http://purl.org/dc/elements/1.1/\"><z:version>1.1</z:version>\
         <z:numberOfRecords>7</z:numberOfRecords><z:records><z:record><z:recordData>\
         <dc:dc><dc:title>A &amp; B</dc:title></dc:dc></z:recordData></z:record>\
         <z:record><z:recordData>&lt;dc&gt;&lt;title&gt;C&lt;/title&gt;&lt;/dc&gt;</z:recordData></z:record>\
         <z:record><z:recordData><d:diagnostic xmlns:d=\"x\"><d:uri>info:srw/diagnostic/1/67</d:uri>\
         </d:diagnostic></z:recordData></z:record></z:records><z:diagnostics><d:diagnostic xmlns:d=\"x\">\
         <d:uri>info:srw/diagnostic/1/59</d:uri><d:details>half</d:details></d:diagnostic></z:diagnostics>\
         </z:searchRetrieveResponse>",
    )
    .unwrap();
    assert_eq!(
        (response.hits, response.exact, response.version.as_deref()),
        (Some(7), true, Some("1.1"))
    );
    let titles: Vec<Option<String>> = response
        .records
        .iter()
        .map(|r| r.value("dc.title"))
        .collect();
    assert_eq!(titles, [Some("A & B".into()), Some("C".into()), None]);
    assert!(
        response.records[0].xml.contains("xmlns:dc=")
            && !response.records[0].xml.contains("xmlns:z"),
        "{:?}",
        response.records[0]
    );
    assert_eq!(
        response.records[2].fault.as_ref().map(|f| f.kind.sru),
        Some(67)
    );
    assert_eq!(response.faults, [Kind::PARTIAL.of("half")]);

    let response = read_response(
        "<scanResponse><terms><term><value>moon</value><numberOfRecords>3</numberOfRecords>\
         <displayTerm>Moon</displayTerm></term></terms></scanResponse>",
    )
    .unwrap();
    assert_eq!(
        response.terms,
        [Term {
            text: "moon".into(),
            display: Some("Moon".into()),
            count: 3
        }]
    );

    let response = read_response(
        "<searchRetrieveResponse><numberOfRecords>2</numberOfRecords><resultCountPrecision>\
         info:srw/vocabulary/resultCountPrecision/1/minimum</resultCountPrecision><facetedResults><facets>\
         <facet><index>subject</index><terms><term><actualTerm>moon</actualTerm><count>2</count></term></terms>\
         </facet></facets></facetedResults></searchRetrieveResponse>",
    )
    .unwrap();
    let facet = Facet {
        index: "dc.subject".into(),
        values: vec![("moon".into(), 2)],
    };
    assert_eq!(
        (response.exact, response.facets),
        (false, Some(vec![facet]))
    );
}

#[test]
fn rejects_truncated_deep_and_non_numeric_responses() {
    let complete = "<r><numberOfRecords>7</numberOfRecords><records><record><recordData><a/></recordData></record></records></r>";
    for cut in 0..complete.len() {
        assert!(
            read_response(&complete[..cut]).is_err(),
            "{}",
            &complete[..cut]
        );
    }
    assert!(read_response(complete).is_ok());
    assert!(read_response("<r><numberOfRecords>many</numberOfRecords></r>").is_err());
    assert!(read_response(&"<a>".repeat(1000)).is_err());
}
