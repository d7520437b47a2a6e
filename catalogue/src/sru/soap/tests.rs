//! Tests of `sru::soap`.

use super::*;

#[test]
fn parses_soap_1_1_envelopes_and_rejects_others() {
    let envelope = |namespace: &str, inner: &str| {
        format!("<s:Envelope xmlns:s=\"{namespace}\"><s:Body>{inner}</s:Body></s:Envelope>")
    };
    let inner = "<z:searchRetrieveRequest xmlns:z=\"x\"><z:query>a &amp; b</z:query></z:searchRetrieveRequest>";
    let (operation, given) = read(&envelope(NAMESPACE, inner)).unwrap();
    assert_eq!(
        (operation, given["query"].as_str()),
        (Operation::SearchRetrieve, "a & b")
    );
    for bad in [
        envelope("http://www.w3.org/2003/05/soap-envelope", inner),
        envelope(NAMESPACE, ""),
        envelope(NAMESPACE, "<dance/>"),
        inner.to_owned(),
        "<a".to_owned(),
        "<a>".repeat(1000),
    ] {
        assert!(read(&bad).is_err(), "{bad}");
    }
}
