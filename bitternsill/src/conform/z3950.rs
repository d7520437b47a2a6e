//! Cases for Z39.50-2003 (ISO 23950). [`client`] builds the APDUs from the tags of the
//! standard's appendix.

mod client;

use super::{Case, CaseError, check, check_eq, mismatch};
use catalogue::ber::{Item, universal};
use client::*;

macro_rules! cases {
    ($($name:literal, $clause:literal, $run:expr;)*) => {
        /// Every case.
        pub(in crate::conform) const CASES: &[Case] = &[$(Case { name: $name, clause: $clause, run: $run }),*];
    };
}

cases! {
    "Init is accepted and its reference id returned", "3.2.1.1; 3.4 Reference-id", |t| {
        let client = Client::open(t)?;
        check_eq("APDU tag", client.init_response.tag, 21)?;
        check_eq("reference id", client.init_response.get(2).map(Item::bytes), Some(b"hello".to_vec()))
    };
    "version 3 is negotiated if both sides support it", "3.2.1.1.1 Version", |t| {
        check(Client::open(t)?.init_response.get(3).is_some_and(|v| v.bit(1) && v.bit(2)), "version 3 was not negotiated")
    };
    "a version 2 client is accepted with version 2", "3.2.1.1.1 Version", |t| {
        let client = Client::init(t, &[0, 1], DEFAULT_OPTIONS, 1 << 16)?;
        check_eq("result", client.init_response.get(12).and_then(Item::boolean), Some(true))?;
        check(client.init_response.get(3).is_some_and(|v| v.bit(1) && !v.bit(2)), "version 3 for a client without it")
    };
    "a client without a version in common is refused", "3.2.1.1.1 Version; 3.2.1.1.10 Result", |t| {
        let client = Client::init(t, &[], DEFAULT_OPTIONS, 1 << 16)?;
        check_eq("result", client.init_response.get(12).and_then(Item::boolean), Some(false))
    };
    "no option is negotiated that was not proposed", "3.2.1.1.4 Options", |t| {
        let client = Client::init(t, &[0, 1, 2], &[0, 1], 1 << 16)?;
        let more: Vec<usize> = (2..22).filter(|bit| client.has(*bit)).collect();
        check(more.is_empty(), format_args!("options {more:?}"))
    };
    "search and present are offered", "3.2.1.1.4 Options", |t| {
        let client = Client::open(t)?;
        check(client.has(0) && client.has(1), "search or present is missing")
    };
    "message sizes are returned", "3.2.1.1.5 Preferred-message-size", |t| {
        let client = Client::init(t, &[0, 1, 2], DEFAULT_OPTIONS, 4096)?;
        let (preferred, exceptional) = (number(&client.init_response, 5), number(&client.init_response, 6));
        check(preferred.is_some_and(|n| n > 0) && exceptional >= preferred, format_args!("{preferred:?}, {exceptional:?}"))
    };
    "a request before Init closes the session", "4.2 Protocol; 3.2.1", |t| {
        let mut client = Client::connect(t)?;
        client.send(&search_request(&Search::new(t), None))?;
        client.expect_close(6)
    };
    "a second Init closes the session", "4.2 Protocol", |t| {
        let mut client = Client::open(t)?;
        client.send(&init_request(&[0, 1, 2], DEFAULT_OPTIONS, 1 << 16))?;
        client.expect_close(6)
    };
    "a search returns its count and its reference id", "3.2.2.1.9 Result-count", |t| {
        let mut client = Client::open(t)?;
        let response = client.exchange(&search_request(&Search::new(t), Some(b"abc")))?;
        check_eq("reference id", response.get(2).map(Item::bytes), Some(b"abc".to_vec()))?;
        check(hit_count(&response)? >= 6, "fewer than six hits: the suite needs a search with more")
    };
    "a large set is returned without records", "3.2.2.1.7 Large-set-lower-bound", |t| {
        let mut client = Client::open(t)?;
        let response = client.exchange(&search_request(&Search { sizes: [0, 1, 5], ..Search::new(t) }, None))?;
        check_eq("numberOfRecordsReturned", number(&response, 24), Some(0))
    };
    "a medium set is returned with the requested number of records", "3.2.2.1.7 Medium-set-present-number", |t| {
        let mut client = Client::open(t)?;
        let response = client.exchange(&search_request(&Search { sizes: [0, 100_000, 2], syntax: Some(XML), ..Search::new(t) }, None))?;
        check_eq("numberOfRecordsReturned", number(&response, 24), Some(2))?;
        check_eq("records", records(&response, 28).len(), 2)?;
        check_eq("nextResultSetPosition", number(&response, 25), Some(3))
    };
    "a small set is returned whole", "3.2.2.1.7 Small-set-upper-bound", |t| {
        let mut client = Client::open(t)?;
        let count = hit_count(&client.search(t, "default")?)?;
        if count > 50 {
            return Err(CaseError::NotOffered("a search with at most fifty hits".to_owned()));
        }
        let response = client.exchange(&search_request(&Search { sizes: [count, count + 1, 0], syntax: Some(XML), ..Search::new(t) }, None))?;
        check_eq("numberOfRecordsReturned", number(&response, 24), Some(count))?;
        check_eq("nextResultSetPosition", number(&response, 25), Some(0))
    };
    "a set is not replaced without the replace indicator", "3.2.2.1.3 Replace-indicator; Bib-1 21", |t| {
        let mut client = Client::open(t)?;
        client.search(t, "default")?;
        let response = client.exchange(&search_request(&Search { replace: false, ..Search::new(t) }, None))?;
        check_diagnostic(&response, &[21])
    };
    "several named sets coexist", "3.2.2.1.4 Result-set-name", |t| {
        let mut client = Client::open(t)?;
        client.require_option(14, "named result sets")?;
        for set in ["one", "two", "three"] {
            hit_count(&client.search(t, set)?)?;
        }
        check_eq("records", titles(&mut client, "one", 2)?, titles(&mut client, "three", 2)?)
    };
    "a set may be an operand", "3.7.1 Type-1: resultSet; Bib-1 18", |t| {
        let mut client = Client::open(t)?;
        let count = hit_count(&client.search(t, "default")?)?;
        let response = client.exchange(&search_request(&Search { set: "again", operand: Some("default"), ..Search::new(t) }, None))?;
        if condition(&response) == Some(18) {
            return Err(CaseError::NotOffered("sets as operands".to_owned()));
        }
        check_eq("resultCount", hit_count(&response)?, count)
    };
    "an unknown set as an operand is refused", "Bib-1 30", |t| check_search_diagnostic(t, &Search { operand: Some("nobody"), ..Search::new(t) }, &[18, 30]);
    "an unknown database is refused", "Bib-1 235, 109", |t| check_search_diagnostic(t, &Search { database: "nobody", ..Search::new(t) }, &[109, 235, 236]);
    "type-101 is type-1 of version 2", "3.7.2 Type-101", |t| {
        let mut client = Client::open(t)?;
        hit_count(&client.exchange(&search_request(&Search { query_type: 101, ..Search::new(t) }, None))?).map(|_| ())
    };
    "another type of query is refused", "Bib-1 107", |t| check_search_diagnostic(t, &Search { query_type: 100, ..Search::new(t) }, &[107]);
    "another attribute set is refused", "Bib-1 121", |t| check_search_diagnostic(t, &Search { attribute_set: "1.2.840.10003.3.999", ..Search::new(t) }, &[121]);
    "an unknown attribute type is refused", "Bib-1 113", |t| check_attribute_diagnostic(t, &[(99, 1)], &[113]);
    "an unknown use attribute is refused", "Bib-1 114", |t| check_attribute_diagnostic(t, &[(1, 99_999)], &[114]);
    "an unknown relation is refused", "Bib-1 117", |t| check_attribute_diagnostic(t, &[(1, 4), (2, 999)], &[117]);
    "an unknown structure is refused", "Bib-1 118", |t| check_attribute_diagnostic(t, &[(1, 4), (4, 999)], &[118]);
    "an unknown position is refused", "Bib-1 119", |t| check_attribute_diagnostic(t, &[(1, 4), (3, 999)], &[119]);
    "an unknown truncation is refused", "Bib-1 120", |t| check_attribute_diagnostic(t, &[(1, 4), (5, 999)], &[120]);
    "an unknown completeness is refused", "Bib-1 122", |t| check_attribute_diagnostic(t, &[(1, 4), (6, 999)], &[122]);
    "common combinations of attributes are accepted", "Bib-1 attributes; Bath profile, level 0", |t| {
        let mut client = Client::open(t)?;
        // Author, title and subject as keyword and exact, and any field, as in the profile's level
        // 0.
        for (use_attribute, structure, truncation) in
            [(1003, 2, 100), (4, 2, 100), (21, 2, 100), (1016, 2, 100), (4, 1, 1), (1003, 101, 100), (31, 4, 100)]
        {
            let list = [(1, use_attribute), (2, 3), (3, 3), (4, structure), (5, truncation), (6, 1)];
            let response = client.exchange(&search_request(&Search { attributes: &list, term: "1999", ..Search::new(t) }, None))?;
            hit_count(&response)?;
        }
        Ok(())
    };
    "records are presented, and the next position returned", "3.2.3.1 Present", |t| {
        let mut client = Client::open(t)?;
        client.search(t, "default")?;
        let response = client.exchange(&present_request("default", 2, 3, Some(XML), None))?;
        check_eq("APDU tag", response.tag, 25)?;
        check_eq("reference id", response.get(2).map(Item::bytes), Some(b"page".to_vec()))?;
        check_eq("numberOfRecordsReturned", number(&response, 24), Some(3))?;
        check_eq("nextResultSetPosition", number(&response, 25), Some(5))?;
        check_eq("presentStatus", number(&response, 27), Some(0))?;
        check_eq("records", records(&response, 28).len(), 3)
    };
    "pages add up to the whole result, each record once", "3.2.3.1 Present", |t| {
        let mut client = Client::open(t)?;
        client.search(t, "default")?;
        let whole = records(&client.exchange(&present_request("default", 1, 6, Some(XML), None))?, 28);
        let mut pages = Vec::new();
        for start in [1, 3, 5] {
            pages.extend(records(&client.exchange(&present_request("default", start, 2, Some(XML), None))?, 28));
        }
        check(pages == whole && whole.len() == 6, format_args!("{} of {}", pages.len(), whole.len()))
    };
    "records carry their database's name", "3.2.3.1 NamePlusRecord", |t| {
        let mut client = Client::open(t)?;
        client.search(t, "default")?;
        let response = client.exchange(&present_request("default", 1, 1, Some(XML), None))?;
        let name = response.get(28).and_then(|l| l.items().first()).and_then(|r| r.get(0)).and_then(Item::text);
        check(name.as_deref().is_none_or(|n| n.eq_ignore_ascii_case(&t.database)), format_args!("{name:?}"))
    };
    "a range outside the set is refused", "Bib-1 13", |t| {
        let mut client = Client::open(t)?;
        let count = hit_count(&client.search(t, "default")?)?;
        for (start, wanted) in [(count + 1, 1), (1, count + 1), (0, 1)] {
            let response = client.exchange(&present_request("default", start, wanted, Some(XML), None))?;
            check_eq("presentStatus", number(&response, 27), Some(5))?;
            check_diagnostic(&response, &[13])?;
        }
        Ok(())
    };
    "an unknown set is refused", "Bib-1 30", |t| {
        let mut client = Client::open(t)?;
        check_diagnostic(&client.exchange(&present_request("nobody", 1, 1, None, None))?, &[30])
    };
    "XML is well formed", "Record syntax 109.10", |t| syntax(t, XML, |bytes| catalogue::record::tree::read(&String::from_utf8_lossy(bytes)).is_ok());
    "a USMARC record has its stated length", "Record syntax 10; ISO 2709", |t| {
        syntax(t, USMARC, |bytes| {
            let length = std::str::from_utf8(&bytes[..5.min(bytes.len())]).ok().and_then(|n| n.parse().ok());
            length == Some(bytes.len()) && bytes.last() == Some(&0x1d)
        })
    };
    "SUTRS is lines of text", "Record syntax 101", |t| syntax(t, SUTRS, |bytes| !bytes.is_empty() && std::str::from_utf8(bytes).is_ok());
    "GRS-1 has elements", "Record syntax 105", |t| syntax(t, GRS1, |bytes| !bytes.is_empty());
    "an unknown record syntax is refused", "Bib-1 238, 239", |t| {
        let mut client = Client::open(t)?;
        client.search(t, "default")?;
        check_diagnostic(&client.exchange(&present_request("default", 1, 1, Some("1.2.840.10003.5.9999"), None))?, &[227, 238, 239])
    };
    "brief and full records are given", "3.6.2 Element set names; F and B", |t| {
        let mut client = Client::open(t)?;
        client.search(t, "default")?;
        for name in ["F", "B"] {
            let response = client.exchange(&present_request("default", 1, 1, Some(XML), Some(name)))?;
            check_eq("presentStatus", number(&response, 27), Some(0))?;
        }
        Ok(())
    };
    "an unknown element set is refused", "Bib-1 25", |t| {
        let mut client = Client::open(t)?;
        client.search(t, "default")?;
        check_diagnostic(&client.exchange(&present_request("default", 1, 1, Some(XML), Some("nobody")))?, &[24, 25])
    };
    "a set is deleted", "3.2.4 Delete: list", |t| {
        let mut client = Client::open(t)?;
        client.require_option(2, "deleting")?;
        client.search(t, "default")?;
        let response = client.exchange(&delete_request(0, &["default"]))?;
        check_eq("APDU tag", response.tag, 27)?;
        check_eq("deleteOperationStatus", number(&response, 0), Some(0))?;
        check_diagnostic(&client.exchange(&present_request("default", 1, 1, None, None))?, &[27, 30])
    };
    "deleting several sets returns a status for each", "3.2.4.1.4 Delete-list-statuses", |t| {
        let mut client = Client::open(t)?;
        client.require_option(2, "deleting")?;
        client.search(t, "default")?;
        let response = client.exchange(&delete_request(0, &["default", "nobody"]))?;
        check(number(&response, 0).is_some_and(|n| n != 0), "success, although one set does not exist")?;
        let statuses: Vec<Option<i64>> =
            response.get(1).map(Item::items).unwrap_or_default().iter().map(|s| s.get(33).and_then(Item::integer)).collect();
        check_eq("statuses", statuses, vec![Some(0), Some(1)])
    };
    "all sets are deleted at once", "3.2.4 Delete: all", |t| {
        let mut client = Client::open(t)?;
        client.require_option(2, "deleting")?;
        client.search(t, "default")?;
        let response = client.exchange(&delete_request(1, &[]))?;
        if number(&response, 0) == Some(7) {
            return Err(CaseError::NotOffered("deleting all at once".to_owned()));
        }
        check_eq("deleteOperationStatus", number(&response, 0), Some(0))?;
        check_diagnostic(&client.exchange(&present_request("default", 1, 1, None, None))?, &[27, 30])
    };
    "a scan lists terms in order, with counts", "3.2.8.1 Scan", |t| {
        let mut client = Client::open(t)?;
        client.require_option(7, "scanning")?;
        let response = client.exchange(&scan_request(t, "", 4, None, 0))?;
        check_eq("APDU tag", response.tag, 36)?;
        check_eq("reference id", response.get(2).map(Item::bytes), Some(b"scan".to_vec()))?;
        let list = terms(&response);
        check_eq("numberOfEntriesReturned", number(&response, 5), Some(list.len() as i64))?;
        check(!list.is_empty() && list.len() <= 4, format_args!("{} terms", list.len()))?;
        check(list.windows(2).all(|w| w[0].0 < w[1].0) && list.iter().all(|t| t.1.is_some()), format_args!("{list:?}"))
    };
    "a scan's start term is at the requested position", "3.2.8.1.6 Preferred-position-in-response", |t| {
        let mut client = Client::open(t)?;
        client.require_option(7, "scanning")?;
        let all = terms(&client.exchange(&scan_request(t, "", 4, None, 0))?);
        let [first, second, ..] = all.as_slice() else { return mismatch("fewer than two terms") };
        let response = client.exchange(&scan_request(t, &second.0, 2, Some(2), 0))?;
        let list: Vec<String> = terms(&response).into_iter().map(|t| t.0).collect();
        check_eq("terms", list, vec![first.0.clone(), second.0.clone()])?;
        check_eq("positionOfTerm", number(&response, 6), Some(2))
    };
    "a scan's step is 0 or refused", "3.2.8.1.4 Step-size; Bib-1 205", |t| {
        let mut client = Client::open(t)?;
        client.require_option(7, "scanning")?;
        let response = client.exchange(&scan_request(t, "", 4, None, 3))?;
        if number(&response, 4) == Some(0) { Ok(()) } else { check_diagnostic(&response, &[205, 206]) }
    };
    "a position outside a scan's list is refused", "Bib-1 233", |t| {
        let mut client = Client::open(t)?;
        client.require_option(7, "scanning")?;
        check_diagnostic(&client.exchange(&scan_request(t, "", 3, Some(99), 0))?, &[233])
    };
    "a set is sorted upwards", "3.2.7 Sort: ascending", |t| {
        let list = sorted(t, 0)?;
        check(list.windows(2).all(|w| w[0] <= w[1]) && list.len() > 1, format_args!("{list:?}"))
    };
    "a set is sorted downwards", "3.2.7 Sort: descending", |t| {
        let list = sorted(t, 1)?;
        check(list.windows(2).all(|w| w[0] >= w[1]) && list.len() > 1, format_args!("{list:?}"))
    };
    "a sort of an unknown set, or by an unknown key, fails with a diagnostic", "3.2.7 Sort; Bib-1 30, 207", |t| {
        let mut client = Client::open(t)?;
        client.require_option(8, "sorting")?;
        let response = client.exchange(&sort_request("nobody", "out", 0, 4))?;
        check_eq("sortStatus", number(&response, 3), Some(2))?;
        check_diagnostic(&response, &[30, 208, 27])?;
        client.search(t, "default")?;
        let response = client.exchange(&sort_request("default", "out", 0, 99_999))?;
        check_eq("sortStatus", number(&response, 3), Some(2))?;
        check_diagnostic(&response, &[114, 207, 209, 210, 237])
    };
    "without segmentation a response holds the records that fit", "3.2.3.1 Present-status partial-2", |t| {
        let (_, sizes, all, last) = fetch_in_small_messages(t, DEFAULT_OPTIONS)?;
        check_eq("messages", sizes.len(), 1)?;
        check_eq("numberOfRecordsReturned", number(&last, 24), Some(all as i64))?;
        match number(&last, 27) {
            Some(0) => Ok(()),
            Some(2) => check_eq("nextResultSetPosition", number(&last, 25), Some(all as i64 + 1)),
            other => mismatch(format!("presentStatus {other:?}")),
        }
    };
    "with level 1 segmentation all records come, in messages of the agreed size", "3.3.2 Level 1 segmentation", |t| {
        let options: Vec<usize> = DEFAULT_OPTIONS.iter().copied().chain([11]).collect();
        let (client, sizes, all, last) = fetch_in_small_messages(t, &options)?;
        client.require_option(11, "level 1 segmentation")?;
        check_eq("records", all, 6)?;
        check_eq("presentStatus", number(&last, 27), Some(0))?;
        // The APDU itself adds to the size of the records.
        check(sizes.iter().all(|n| *n <= 1024 + 128), format_args!("{sizes:?}"))
    };
    "operations run concurrently if that is negotiated", "3.5 Concurrent operations", |t| {
        let mut client = Client::open(t)?;
        client.require_option(13, "concurrent operations")?;
        for name in ["a", "b", "c", "d"] {
            let apdu = search_request(&Search { set: name, ..Search::new(t) }, Some(name.as_bytes()));
            client.send(&apdu)?;
        }
        let mut heard = Vec::new();
        for _ in 0..4 {
            let Some(apdu) = client.receive()? else { return mismatch("the connection ended") };
            hit_count(&apdu)?;
            heard.push(apdu.get(2).and_then(Item::text).unwrap_or_default());
        }
        heard.sort();
        check_eq("references", heard.join(""), "abcd".to_owned())
    };
    "operations run in order if concurrency is not negotiated", "3.4 Serial operations", |t| {
        let mut client = Client::init(t, &[0, 1, 2], &[0, 1], 1 << 16)?;
        for name in [b"1", b"2", b"3"] {
            client.send(&search_request(&Search::new(t), Some(name)))?;
        }
        for name in [b"1", b"2", b"3"] {
            let Some(apdu) = client.receive()? else { return mismatch("the connection ended") };
            check_eq("reference id", apdu.get(2).map(Item::bytes), Some(name.to_vec()))?;
        }
        Ok(())
    };
    "cancelling an operation that does not run does no harm", "3.2.6.4 Trigger-resource-control", |t| {
        let mut client = Client::init(t, &[0, 1, 2], &[0, 1, 4], 1 << 16)?;
        client.require_option(4, "resource control")?;
        client.send(&apdu(32, Some(b"none"), |w| w.integer(46, 3)))?;
        hit_count(&client.search(t, "default")?).map(|_| ())
    };
    "extended services are supported or refused", "3.2.9; Bib-1 221", |t| {
        let mut client = Client::open(t)?;
        let response = client.exchange(&apdu(46, Some(b"es"), |w| {
            w.integer(3, 1);
            w.oid_as(4, "1.2.840.10003.9.1");
            w.integer(9, 1);
        }))?;
        if response.tag == 48 {
            return Ok(());
        }
        check_eq("APDU tag", response.tag, 47)?;
        check_eq("reference id", response.get(2).map(Item::bytes), Some(b"es".to_vec()))
    };
    "Explain is supported or refused", "3.2.10; Bib-1 109, 235", |t| check_search_diagnostic(t, &Search { database: "IR-Explain-1", ..Search::new(t) }, &[3, 109, 235, 236]);
    "a Close is answered, and the connection ends", "3.2.11 Close", |t| {
        let mut client = Client::open(t)?;
        let response = client.exchange(&apdu(48, Some(b"bye"), |w| w.integer(211, 0)))?;
        check_eq("APDU tag", response.tag, 48)?;
        check_eq("closeReason", number(&response, 211), Some(8))?;
        match client.receive()? {
            None => Ok(()),
            Some(more) => mismatch(format!("an APDU with tag {} after the Close", more.tag)),
        }
    };
    "a Close ends operations in progress", "3.2.11 Close", |t| {
        let mut client = Client::open(t)?;
        client.send(&search_request(&Search::new(t), Some(b"x")))?;
        client.send(&apdu(48, None, |w| w.integer(211, 0)))?;
        let mut closed = false;
        while let Some(apdu) = client.receive()? {
            check(!closed, "an APDU after the Close")?;
            closed = apdu.tag == 48;
        }
        check(closed, "no Close")
    };
    "indefinite lengths are accepted", "X.690, 8.1.3.6", |t| {
        let mut client = Client::open(t)?;
        let bytes = search_with_length_form(t, true)?;
        hit_count(&client.exchange(&bytes)?).map(|_| ())
    };
    "lengths in more bytes than needed are accepted", "X.690, 8.1.3.5", |t| {
        let mut client = Client::open(t)?;
        let bytes = search_with_length_form(t, false)?;
        hit_count(&client.exchange(&bytes)?).map(|_| ())
    };
    "an APDU may arrive in pieces", "TCP", |t| {
        let mut client = Client::open(t)?;
        for byte in search_request(&Search::new(t), None) {
            client.send(&[byte])?;
        }
        match client.receive()? {
            Some(apdu) => hit_count(&apdu).map(|_| ()),
            None => mismatch("the connection ended"),
        }
    };
    "otherInfo is ignored", "4.1 otherInfo", |t| {
        let mut client = Client::open(t)?;
        let bytes = apdu(24, Some(b"page"), |w| {
            w.bytes(31, b"nobody");
            w.integer(30, 1);
            w.integer(29, 1);
            w.inside(201, |other| {
                other.inside_universal(universal::SEQUENCE, |one| one.bytes(2, b"hello"));
            });
        });
        check_diagnostic(&client.exchange(&bytes)?, &[30])
    };
    "invalid BER closes the session", "3.2.11.1.1 Close-reason protocolError", |t| {
        let mut client = Client::open(t)?;
        // A primitive value of indefinite length.
        client.send(&[0x96, 0x80, 0, 0])?;
        client.expect_close(6)
    };
    "an unknown APDU closes the session", "3.2.11.1.1 Close-reason protocolError", |t| {
        let mut client = Client::open(t)?;
        client.send(&apdu(99, None, |w| w.integer(1, 1)))?;
        client.expect_close(6)
    };
}
