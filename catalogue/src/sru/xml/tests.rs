//! Tests of `sru::xml`.

use super::*;

#[test]
fn responses_of_every_kind_are_read() {
    let said = read_response(
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
        (said.hits, said.exact, said.version.as_deref()),
        (Some(7), true, Some("1.1"))
    );
    let titles: Vec<Option<String>> = said.records.iter().map(|r| r.value("dc.title")).collect();
    assert_eq!(titles, [Some("A & B".into()), Some("C".into()), None]);
    assert!(
        said.records[0].xml.contains("xmlns:dc=") && !said.records[0].xml.contains("xmlns:z"),
        "{:?}",
        said.records[0]
    );
    assert_eq!(said.records[2].fault.as_ref().map(|f| f.kind.sru), Some(67));
    assert_eq!(said.faults, [Kind::PARTIAL.of("half")]);

    let said = read_response(
        "<scanResponse><terms><term><value>moon</value><numberOfRecords>3</numberOfRecords>\
         <displayTerm>Moon</displayTerm></term></terms></scanResponse>",
    )
    .unwrap();
    assert_eq!(
        said.terms,
        [Term {
            text: "moon".into(),
            display: Some("Moon".into()),
            count: 3
        }]
    );

    let said = read_response(
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
    assert_eq!((said.exact, said.facets), (false, Some(vec![facet])));
}

#[test]
fn what_is_cut_short_or_no_number_is_no_response() {
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
