//! Cases for Z39.50-2003 (ISO 23950). Data units are put together in [`peer`] from the tags of the
//! standard's appendix.

mod peer;

use super::{Case, Stop, miss, same, see};
use catalogue::ber::{Item, universal};
use peer::*;

macro_rules! cases {
    ($($name:literal, $clause:literal, $play:expr;)*) => {
        /// Every case.
        pub(in crate::conform) const CASES: &[Case] = &[$(Case { name: $name, clause: $clause, play: $play }),*];
    };
}

cases! {
    "a session is taken, its reference given back", "3.2.1.1; 3.4 Reference-id", |t| {
        let peer = Peer::open(t)?;
        same("the unit", peer.welcome.tag, 21)?;
        same("the reference", peer.welcome.get(2).map(Item::bytes), Some(b"hello".to_vec()))
    };
    "version 3 is agreed on where both have it", "3.2.1.1.1 Version", |t| {
        see(Peer::open(t)?.welcome.get(3).is_some_and(|v| v.bit(1) && v.bit(2)), "without version 3")
    };
    "a client of version 2 is taken as one", "3.2.1.1.1 Version", |t| {
        let peer = Peer::init(t, &[0, 1], USUAL, 1 << 16)?;
        same("result", peer.welcome.get(12).and_then(Item::boolean), Some(true))?;
        see(peer.welcome.get(3).is_some_and(|v| v.bit(1) && !v.bit(2)), "version 3 for a client without it")
    };
    "a client without a version in common is refused", "3.2.1.1.1 Version; 3.2.1.1.10 Result", |t| {
        let peer = Peer::init(t, &[], USUAL, 1 << 16)?;
        same("result", peer.welcome.get(12).and_then(Item::boolean), Some(false))
    };
    "no option is agreed on that was not proposed", "3.2.1.1.4 Options", |t| {
        let peer = Peer::init(t, &[0, 1, 2], &[0, 1], 1 << 16)?;
        let more: Vec<usize> = (2..22).filter(|bit| peer.has(*bit)).collect();
        see(more.is_empty(), format_args!("options {more:?}"))
    };
    "search and present are offered", "3.2.1.1.4 Options", |t| {
        let peer = Peer::open(t)?;
        see(peer.has(0) && peer.has(1), "search or present is missing")
    };
    "message sizes are told", "3.2.1.1.5 Preferred-message-size", |t| {
        let peer = Peer::init(t, &[0, 1, 2], USUAL, 4096)?;
        let (preferred, exceptional) = (number(&peer.welcome, 5), number(&peer.welcome, 6));
        see(preferred.is_some_and(|n| n > 0) && exceptional >= preferred, format_args!("{preferred:?}, {exceptional:?}"))
    };
    "nothing may come before Init", "4.2 Protocol; 3.2.1", |t| {
        let mut peer = Peer::connect(t)?;
        peer.say(&search_request(&Search::usual(t), None))?;
        peer.is_closed(6)
    };
    "Init may come once", "4.2 Protocol", |t| {
        let mut peer = Peer::open(t)?;
        peer.say(&init_request(&[0, 1, 2], USUAL, 1 << 16))?;
        peer.is_closed(6)
    };
    "a search tells its count and gives its reference back", "3.2.2.1.9 Result-count", |t| {
        let mut peer = Peer::open(t)?;
        let reply = peer.ask(&search_request(&Search::usual(t), Some(b"abc")))?;
        same("the reference", reply.get(2).map(Item::bytes), Some(b"abc".to_vec()))?;
        see(hits(&reply)? >= 6, "fewer than six hits: the suite needs a search with more")
    };
    "a large set comes without records", "3.2.2.1.7 Large-set-lower-bound", |t| {
        let mut peer = Peer::open(t)?;
        let reply = peer.ask(&search_request(&Search { sizes: [0, 1, 5], ..Search::usual(t) }, None))?;
        same("numberOfRecordsReturned", number(&reply, 24), Some(0))
    };
    "a medium set comes with so many records", "3.2.2.1.7 Medium-set-present-number", |t| {
        let mut peer = Peer::open(t)?;
        let reply = peer.ask(&search_request(&Search { sizes: [0, 100_000, 2], syntax: Some(XML), ..Search::usual(t) }, None))?;
        same("numberOfRecordsReturned", number(&reply, 24), Some(2))?;
        same("records", records(&reply, 28).len(), 2)?;
        same("nextResultSetPosition", number(&reply, 25), Some(3))
    };
    "a small set comes whole", "3.2.2.1.7 Small-set-upper-bound", |t| {
        let mut peer = Peer::open(t)?;
        let count = hits(&peer.search(t, "default")?)?;
        if count > 50 {
            return Err(Stop::NotOffered("a search of fifty hits at most".to_owned()));
        }
        let reply = peer.ask(&search_request(&Search { sizes: [count, count + 1, 0], syntax: Some(XML), ..Search::usual(t) }, None))?;
        same("numberOfRecordsReturned", number(&reply, 24), Some(count))?;
        same("nextResultSetPosition", number(&reply, 25), Some(0))
    };
    "a set that may not be replaced is not", "3.2.2.1.3 Replace-indicator; Bib-1 21", |t| {
        let mut peer = Peer::open(t)?;
        peer.search(t, "default")?;
        let reply = peer.ask(&search_request(&Search { replace: false, ..Search::usual(t) }, None))?;
        says(&reply, &[21])
    };
    "several named sets stand side by side", "3.2.2.1.4 Result-set-name", |t| {
        let mut peer = Peer::open(t)?;
        peer.needs(14, "named result sets")?;
        for set in ["one", "two", "three"] {
            hits(&peer.search(t, set)?)?;
        }
        same("records", titles(&mut peer, "one", 2)?, titles(&mut peer, "three", 2)?)
    };
    "a set may be an operand", "3.7.1 Type-1: resultSet; Bib-1 18", |t| {
        let mut peer = Peer::open(t)?;
        let count = hits(&peer.search(t, "default")?)?;
        let reply = peer.ask(&search_request(&Search { set: "again", operand: Some("default"), ..Search::usual(t) }, None))?;
        if condition(&reply) == Some(18) {
            return Err(Stop::NotOffered("sets as operands".to_owned()));
        }
        same("resultCount", hits(&reply)?, count)
    };
    "an operand that is no set is refused", "Bib-1 30", |t| search_says(t, &Search { operand: Some("nobody"), ..Search::usual(t) }, &[18, 30]);
    "a database that is not there is refused", "Bib-1 235, 109", |t| search_says(t, &Search { database: "nobody", ..Search::usual(t) }, &[109, 235, 236]);
    "type-101 is type-1 of version 2", "3.7.2 Type-101", |t| {
        let mut peer = Peer::open(t)?;
        hits(&peer.ask(&search_request(&Search { query_type: 101, ..Search::usual(t) }, None))?).map(|_| ())
    };
    "another type of query is refused", "Bib-1 107", |t| search_says(t, &Search { query_type: 100, ..Search::usual(t) }, &[107]);
    "another attribute set is refused", "Bib-1 121", |t| search_says(t, &Search { attribute_set: "1.2.840.10003.3.999", ..Search::usual(t) }, &[121]);
    "an unknown attribute type is refused", "Bib-1 113", |t| attribute_says(t, &[(99, 1)], &[113]);
    "an unknown use attribute is refused", "Bib-1 114", |t| attribute_says(t, &[(1, 99_999)], &[114]);
    "an unknown relation is refused", "Bib-1 117", |t| attribute_says(t, &[(1, 4), (2, 999)], &[117]);
    "an unknown structure is refused", "Bib-1 118", |t| attribute_says(t, &[(1, 4), (4, 999)], &[118]);
    "an unknown position is refused", "Bib-1 119", |t| attribute_says(t, &[(1, 4), (3, 999)], &[119]);
    "an unknown truncation is refused", "Bib-1 120", |t| attribute_says(t, &[(1, 4), (5, 999)], &[120]);
    "an unknown completeness is refused", "Bib-1 122", |t| attribute_says(t, &[(1, 4), (6, 999)], &[122]);
    "what clients commonly send is understood", "Bib-1 attributes; Bath profile, level 0", |t| {
        let mut peer = Peer::open(t)?;
        // Author, title and subject keyword and exact, and any field, as the profile's level 0 has
        // them.
        for (use_attribute, structure, truncation) in
            [(1003, 2, 100), (4, 2, 100), (21, 2, 100), (1016, 2, 100), (4, 1, 1), (1003, 101, 100), (31, 4, 100)]
        {
            let list = [(1, use_attribute), (2, 3), (3, 3), (4, structure), (5, truncation), (6, 1)];
            let reply = peer.ask(&search_request(&Search { attributes: &list, term: "1999", ..Search::usual(t) }, None))?;
            hits(&reply)?;
        }
        Ok(())
    };
    "records are presented, and the next position told", "3.2.3.1 Present", |t| {
        let mut peer = Peer::open(t)?;
        peer.search(t, "default")?;
        let reply = peer.ask(&present_request("default", 2, 3, Some(XML), None))?;
        same("the unit", reply.tag, 25)?;
        same("the reference", reply.get(2).map(Item::bytes), Some(b"page".to_vec()))?;
        same("numberOfRecordsReturned", number(&reply, 24), Some(3))?;
        same("nextResultSetPosition", number(&reply, 25), Some(5))?;
        same("presentStatus", number(&reply, 27), Some(0))?;
        same("records", records(&reply, 28).len(), 3)
    };
    "pages are the whole, each record once", "3.2.3.1 Present", |t| {
        let mut peer = Peer::open(t)?;
        peer.search(t, "default")?;
        let whole = records(&peer.ask(&present_request("default", 1, 6, Some(XML), None))?, 28);
        let mut pages = Vec::new();
        for start in [1, 3, 5] {
            pages.extend(records(&peer.ask(&present_request("default", start, 2, Some(XML), None))?, 28));
        }
        see(pages == whole && whole.len() == 6, format_args!("{} of {}", pages.len(), whole.len()))
    };
    "records carry their database's name", "3.2.3.1 NamePlusRecord", |t| {
        let mut peer = Peer::open(t)?;
        peer.search(t, "default")?;
        let reply = peer.ask(&present_request("default", 1, 1, Some(XML), None))?;
        let name = reply.get(28).and_then(|l| l.items().first()).and_then(|r| r.get(0)).and_then(Item::text);
        see(name.as_deref().is_none_or(|n| n.eq_ignore_ascii_case(&t.database)), format_args!("{name:?}"))
    };
    "a range outside the set is refused", "Bib-1 13", |t| {
        let mut peer = Peer::open(t)?;
        let count = hits(&peer.search(t, "default")?)?;
        for (start, wanted) in [(count + 1, 1), (1, count + 1), (0, 1)] {
            let reply = peer.ask(&present_request("default", start, wanted, Some(XML), None))?;
            same("presentStatus", number(&reply, 27), Some(5))?;
            says(&reply, &[13])?;
        }
        Ok(())
    };
    "a set that is not there is refused", "Bib-1 30", |t| {
        let mut peer = Peer::open(t)?;
        says(&peer.ask(&present_request("nobody", 1, 1, None, None))?, &[30])
    };
    "XML is well formed", "Record syntax 109.10", |t| syntax(t, XML, |bytes| catalogue::record::tree::read(&String::from_utf8_lossy(bytes)).is_ok());
    "USMARC is of the length that it says", "Record syntax 10; ISO 2709", |t| {
        syntax(t, USMARC, |bytes| {
            let length = std::str::from_utf8(&bytes[..5.min(bytes.len())]).ok().and_then(|n| n.parse().ok());
            length == Some(bytes.len()) && bytes.last() == Some(&0x1d)
        })
    };
    "SUTRS is lines of text", "Record syntax 101", |t| syntax(t, SUTRS, |bytes| !bytes.is_empty() && std::str::from_utf8(bytes).is_ok());
    "GRS-1 has elements", "Record syntax 105", |t| syntax(t, GRS1, |bytes| !bytes.is_empty());
    "a syntax that is not known is refused", "Bib-1 238, 239", |t| {
        let mut peer = Peer::open(t)?;
        peer.search(t, "default")?;
        says(&peer.ask(&present_request("default", 1, 1, Some("1.2.840.10003.5.9999"), None))?, &[227, 238, 239])
    };
    "brief and full records are given", "3.6.2 Element set names; F and B", |t| {
        let mut peer = Peer::open(t)?;
        peer.search(t, "default")?;
        for name in ["F", "B"] {
            let reply = peer.ask(&present_request("default", 1, 1, Some(XML), Some(name)))?;
            same("presentStatus", number(&reply, 27), Some(0))?;
        }
        Ok(())
    };
    "an element set that is not known is refused", "Bib-1 25", |t| {
        let mut peer = Peer::open(t)?;
        peer.search(t, "default")?;
        says(&peer.ask(&present_request("default", 1, 1, Some(XML), Some("nobody")))?, &[24, 25])
    };
    "a set is deleted", "3.2.4 Delete: list", |t| {
        let mut peer = Peer::open(t)?;
        peer.needs(2, "deleting")?;
        peer.search(t, "default")?;
        let reply = peer.ask(&delete_request(0, &["default"]))?;
        same("the unit", reply.tag, 27)?;
        same("deleteOperationStatus", number(&reply, 0), Some(0))?;
        says(&peer.ask(&present_request("default", 1, 1, None, None))?, &[27, 30])
    };
    "of several sets each has its status", "3.2.4.1.4 Delete-list-statuses", |t| {
        let mut peer = Peer::open(t)?;
        peer.needs(2, "deleting")?;
        peer.search(t, "default")?;
        let reply = peer.ask(&delete_request(0, &["default", "nobody"]))?;
        see(number(&reply, 0).is_some_and(|n| n != 0), "success, though one was not there")?;
        let statuses: Vec<Option<i64>> =
            reply.get(1).map(Item::items).unwrap_or_default().iter().map(|s| s.get(33).and_then(Item::integer)).collect();
        same("statuses", statuses, vec![Some(0), Some(1)])
    };
    "all sets are deleted at once", "3.2.4 Delete: all", |t| {
        let mut peer = Peer::open(t)?;
        peer.needs(2, "deleting")?;
        peer.search(t, "default")?;
        let reply = peer.ask(&delete_request(1, &[]))?;
        if number(&reply, 0) == Some(7) {
            return Err(Stop::NotOffered("deleting all at once".to_owned()));
        }
        same("deleteOperationStatus", number(&reply, 0), Some(0))?;
        says(&peer.ask(&present_request("default", 1, 1, None, None))?, &[27, 30])
    };
    "a scan lists terms in order, with counts", "3.2.8.1 Scan", |t| {
        let mut peer = Peer::open(t)?;
        peer.needs(7, "scanning")?;
        let reply = peer.ask(&scan_request(t, "", 4, None, 0))?;
        same("the unit", reply.tag, 36)?;
        same("the reference", reply.get(2).map(Item::bytes), Some(b"scan".to_vec()))?;
        let list = terms(&reply);
        same("numberOfEntriesReturned", number(&reply, 5), Some(list.len() as i64))?;
        see(!list.is_empty() && list.len() <= 4, format_args!("{} terms", list.len()))?;
        see(list.windows(2).all(|w| w[0].0 < w[1].0) && list.iter().all(|t| t.1.is_some()), format_args!("{list:?}"))
    };
    "a scan's starting point is where it was asked for", "3.2.8.1.6 Preferred-position-in-response", |t| {
        let mut peer = Peer::open(t)?;
        peer.needs(7, "scanning")?;
        let all = terms(&peer.ask(&scan_request(t, "", 4, None, 0))?);
        let [first, second, ..] = all.as_slice() else { return miss("fewer than two terms") };
        let reply = peer.ask(&scan_request(t, &second.0, 2, Some(2), 0))?;
        let list: Vec<String> = terms(&reply).into_iter().map(|t| t.0).collect();
        same("terms", list, vec![first.0.clone(), second.0.clone()])?;
        same("positionOfTerm", number(&reply, 6), Some(2))
    };
    "a scan's step is 0 or refused", "3.2.8.1.4 Step-size; Bib-1 205", |t| {
        let mut peer = Peer::open(t)?;
        peer.needs(7, "scanning")?;
        let reply = peer.ask(&scan_request(t, "", 4, None, 3))?;
        if number(&reply, 4) == Some(0) { Ok(()) } else { says(&reply, &[205, 206]) }
    };
    "a position outside a scan's list is refused", "Bib-1 233", |t| {
        let mut peer = Peer::open(t)?;
        peer.needs(7, "scanning")?;
        says(&peer.ask(&scan_request(t, "", 3, Some(99), 0))?, &[233])
    };
    "a set is sorted upwards", "3.2.7 Sort: ascending", |t| {
        let list = sorted(t, 0)?;
        see(list.windows(2).all(|w| w[0] <= w[1]) && list.len() > 1, format_args!("{list:?}"))
    };
    "a set is sorted downwards", "3.2.7 Sort: descending", |t| {
        let list = sorted(t, 1)?;
        see(list.windows(2).all(|w| w[0] >= w[1]) && list.len() > 1, format_args!("{list:?}"))
    };
    "a sort of no set, or by no key, fails and says so", "3.2.7 Sort; Bib-1 30, 207", |t| {
        let mut peer = Peer::open(t)?;
        peer.needs(8, "sorting")?;
        let reply = peer.ask(&sort_request("nobody", "out", 0, 4))?;
        same("sortStatus", number(&reply, 3), Some(2))?;
        says(&reply, &[30, 208, 27])?;
        peer.search(t, "default")?;
        let reply = peer.ask(&sort_request("default", "out", 0, 99_999))?;
        same("sortStatus", number(&reply, 3), Some(2))?;
        says(&reply, &[114, 207, 209, 210, 237])
    };
    "without segmentation a response holds what fits", "3.2.3.1 Present-status partial-2", |t| {
        let (_, sizes, all, last) = fetch_small(t, USUAL)?;
        same("messages", sizes.len(), 1)?;
        same("numberOfRecordsReturned", number(&last, 24), Some(all as i64))?;
        match number(&last, 27) {
            Some(0) => Ok(()),
            Some(2) => same("nextResultSetPosition", number(&last, 25), Some(all as i64 + 1)),
            other => miss(format!("presentStatus {other:?}")),
        }
    };
    "with level 1 all come, in messages of the size", "3.3.2 Level 1 segmentation", |t| {
        let options: Vec<usize> = USUAL.iter().copied().chain([11]).collect();
        let (peer, sizes, all, last) = fetch_small(t, &options)?;
        peer.needs(11, "level 1 segmentation")?;
        same("records", all, 6)?;
        same("presentStatus", number(&last, 27), Some(0))?;
        // Around the records there is the unit itself.
        see(sizes.iter().all(|n| *n <= 1024 + 128), format_args!("{sizes:?}"))
    };
    "operations run side by side where that is agreed on", "3.5 Concurrent operations", |t| {
        let mut peer = Peer::open(t)?;
        peer.needs(13, "concurrent operations")?;
        for name in ["a", "b", "c", "d"] {
            let unit = search_request(&Search { set: name, ..Search::usual(t) }, Some(name.as_bytes()));
            peer.say(&unit)?;
        }
        let mut heard = Vec::new();
        for _ in 0..4 {
            let Some(unit) = peer.hear()? else { return miss("the connection ended") };
            hits(&unit)?;
            heard.push(unit.get(2).and_then(Item::text).unwrap_or_default());
        }
        heard.sort();
        same("references", heard.join(""), "abcd".to_owned())
    };
    "one operation waits for the other where it is not", "3.4 Serial operations", |t| {
        let mut peer = Peer::init(t, &[0, 1, 2], &[0, 1], 1 << 16)?;
        for name in [b"1", b"2", b"3"] {
            peer.say(&search_request(&Search::usual(t), Some(name)))?;
        }
        for name in [b"1", b"2", b"3"] {
            let Some(unit) = peer.hear()? else { return miss("the connection ended") };
            same("the reference", unit.get(2).map(Item::bytes), Some(name.to_vec()))?;
        }
        Ok(())
    };
    "taking back what does not run does no harm", "3.2.6.4 Trigger-resource-control", |t| {
        let mut peer = Peer::init(t, &[0, 1, 2], &[0, 1, 4], 1 << 16)?;
        peer.needs(4, "resource control")?;
        peer.say(&unit(32, Some(b"none"), |w| w.integer(46, 3)))?;
        hits(&peer.search(t, "default")?).map(|_| ())
    };
    "extended services are done or refused", "3.2.9; Bib-1 221", |t| {
        let mut peer = Peer::open(t)?;
        let reply = peer.ask(&unit(46, Some(b"es"), |w| {
            w.integer(3, 1);
            w.oid_as(4, "1.2.840.10003.9.1");
            w.integer(9, 1);
        }))?;
        if reply.tag == 48 {
            return Ok(());
        }
        same("the unit", reply.tag, 47)?;
        same("the reference", reply.get(2).map(Item::bytes), Some(b"es".to_vec()))
    };
    "Explain is there or refused", "3.2.10; Bib-1 109, 235", |t| search_says(t, &Search { database: "IR-Explain-1", ..Search::usual(t) }, &[3, 109, 235, 236]);
    "a Close is answered, and the connection ends", "3.2.11 Close", |t| {
        let mut peer = Peer::open(t)?;
        let reply = peer.ask(&unit(48, Some(b"bye"), |w| w.integer(211, 0)))?;
        same("the unit", reply.tag, 48)?;
        same("closeReason", number(&reply, 211), Some(8))?;
        match peer.hear()? {
            None => Ok(()),
            Some(more) => miss(format!("a unit {} behind the close", more.tag)),
        }
    };
    "a Close ends what is under way", "3.2.11 Close", |t| {
        let mut peer = Peer::open(t)?;
        peer.say(&search_request(&Search::usual(t), Some(b"x")))?;
        peer.say(&unit(48, None, |w| w.integer(211, 0)))?;
        let mut closed = false;
        while let Some(unit) = peer.hear()? {
            see(!closed, "something behind the close")?;
            closed = unit.tag == 48;
        }
        see(closed, "no close")
    };
    "indefinite lengths are read", "X.690, 8.1.3.6", |t| {
        let mut peer = Peer::open(t)?;
        let bytes = in_form(t, true)?;
        hits(&peer.ask(&bytes)?).map(|_| ())
    };
    "lengths in more bytes than needed are read", "X.690, 8.1.3.5", |t| {
        let mut peer = Peer::open(t)?;
        let bytes = in_form(t, false)?;
        hits(&peer.ask(&bytes)?).map(|_| ())
    };
    "a unit may come in any pieces", "TCP", |t| {
        let mut peer = Peer::open(t)?;
        for byte in search_request(&Search::usual(t), None) {
            peer.say(&[byte])?;
        }
        match peer.hear()? {
            Some(unit) => hits(&unit).map(|_| ()),
            None => miss("the connection ended"),
        }
    };
    "further information is passed over", "4.1 otherInfo", |t| {
        let mut peer = Peer::open(t)?;
        let bytes = unit(24, Some(b"page"), |w| {
            w.bytes(31, b"nobody");
            w.integer(30, 1);
            w.integer(29, 1);
            w.inside(201, |other| {
                other.inside_universal(universal::SEQUENCE, |one| one.bytes(2, b"hello"));
            });
        });
        says(&peer.ask(&bytes)?, &[30])
    };
    "what is no BER ends the session", "3.2.11.1.1 Close-reason protocolError", |t| {
        let mut peer = Peer::open(t)?;
        // A primitive value of indefinite length.
        peer.say(&[0x96, 0x80, 0, 0])?;
        peer.is_closed(6)
    };
    "a unit that is none ends the session", "3.2.11.1.1 Close-reason protocolError", |t| {
        let mut peer = Peer::open(t)?;
        peer.say(&unit(99, None, |w| w.integer(1, 1)))?;
        peer.is_closed(6)
    };
}
