//! Cases for SRU: 1.1 and 1.2 as the Library of Congress published them, 2.0 as OASIS did, and CQL
//! 1.2.

use super::{Case, Played, Stop, Target, miss, same, see};
use crate::front::http::{Head, Progress, Reader};
use catalogue::record::tree::{self, Element};
use catalogue::sru::request::percent;
use std::io::{Read, Write};
use std::net::TcpStream;

const SRW: &str = "http://www.loc.gov/zing/srw/";
const SRU20: &str = "http://docs.oasis-open.org/ns/search-ws/sruResponse";
const SOAP: &str = "http://schemas.xmlsoap.org/soap/envelope/";

/// A response.
struct Reply {
    head: Head,
    body: String,
    root: Element,
    namespace: String,
}

/// One request on a connection of its own, in the bytes that are given.
fn exchange(target: &Target, request: &str) -> Result<(Head, Vec<u8>), Stop> {
    let mut socket = TcpStream::connect(target.address)?;
    socket.set_read_timeout(Some(target.patience))?;
    socket.write_all(request.as_bytes())?;
    let mut reader = Reader::responses(1 << 16, 1 << 24);
    let (mut input, mut chunk) = (Vec::new(), [0; 8192]);
    loop {
        match reader.read(&mut input) {
            Ok(Progress::Whole) => return Ok(reader.take()),
            Ok(Progress::More) => {}
            Err(problem) => return miss(problem),
        }
        match socket.read(&mut chunk)? {
            0 if reader.ends_with_connection() => return Ok(reader.take()),
            0 => return miss("the connection ended before the response did"),
            n => input.extend_from_slice(&chunk[..n]),
        }
    }
}

fn parse((head, body): (Head, Vec<u8>)) -> Result<Reply, Stop> {
    let body = String::from_utf8(body)
        .map_err(|_| Stop::Miss("a response that is no UTF-8".to_owned()))?;
    let root =
        tree::read(&body).map_err(|p| Stop::Miss(format!("{p} (status {})", head.start.1)))?;
    let namespace = tree::root(&body)
        .map(|(_, namespace)| namespace)
        .unwrap_or_default();
    Ok(Reply {
        head,
        body,
        root,
        namespace,
    })
}

fn get_with(target: &Target, query: &str, header: &str) -> Result<Reply, Stop> {
    parse(exchange(
        target,
        &format!(
            "GET /{}?{query} HTTP/1.1\r\nHost: localhost\r\n{header}Connection: close\r\n\r\n",
            target.database
        ),
    )?)
}

fn get(target: &Target, query: &str) -> Result<Reply, Stop> {
    get_with(target, query, "")
}

/// A search in a version, with further parameters.
fn search(target: &Target, version: &str, more: &str) -> Result<Reply, Stop> {
    find(target, version, &target.term, more)
}

fn find(target: &Target, version: &str, query: &str, more: &str) -> Result<Reply, Stop> {
    let query = percent(query);
    match version {
        "2.0" => get(target, &format!("query={query}{more}")),
        _ => get(
            target,
            &format!("operation=searchRetrieve&version={version}&query={query}{more}"),
        ),
    }
}

impl Reply {
    fn text(&self, name: &str) -> Option<&str> {
        self.root.all(name).next().map(|e| e.text.trim())
    }

    fn number(&self, name: &str) -> Result<u64, Stop> {
        match self.text(name).map(str::parse) {
            Some(Ok(number)) => Ok(number),
            _ => miss(format!("{name} is {:?}", self.text(name))),
        }
    }

    fn records(&self) -> Vec<&Element> {
        self.root
            .all("records")
            .flat_map(|r| r.all("record"))
            .collect()
    }

    fn positions(&self) -> Vec<u64> {
        let position = |r: &&Element| r.all("recordPosition").next()?.text.trim().parse().ok();
        self.records().iter().filter_map(position).collect()
    }

    /// What each record says, prefixes and spaces apart.
    fn texts(&self) -> Vec<String> {
        let data = |r: &&Element| {
            r.all("recordData")
                .next()
                .map(Element::full_text)
                .unwrap_or_default()
        };
        let words = |text: String| text.split_whitespace().collect::<Vec<_>>().join(" ");
        self.records().iter().map(data).map(words).collect()
    }

    fn diagnostics(&self) -> Vec<(u16, String)> {
        let one = |d: &Element| {
            let text = |name: &str| {
                d.all(name)
                    .next()
                    .map(|e| e.text.trim().to_owned())
                    .unwrap_or_default()
            };
            let number = text("uri")
                .strip_prefix("info:srw/diagnostic/1/")
                .and_then(|n| n.parse().ok());
            (number.unwrap_or(0), text("details"))
        };
        self.root
            .all("diagnostics")
            .flat_map(|d| d.all("diagnostic"))
            .map(one)
            .collect()
    }

    /// The response says this diagnostic, and maybe others.
    fn says(&self, wanted: &[u16]) -> Played {
        let said: Vec<u16> = self.diagnostics().iter().map(|(n, _)| *n).collect();
        see(
            said.iter().any(|n| wanted.contains(n)),
            format_args!("diagnostics {said:?}, wanted one of {wanted:?}"),
        )
    }

    fn is_sound(&self) -> Played {
        see(
            self.diagnostics().is_empty(),
            format_args!("diagnostics {:?}", self.diagnostics()),
        )
    }
}

fn explain(target: &Target) -> Result<Element, Stop> {
    let reply = get(target, "operation=explain&version=1.1")?;
    match reply.root.find("explain") {
        Some(record) => Ok(record.clone()),
        None => miss("no explain record"),
    }
}

fn fault_of_query(target: &Target, query: &str, wanted: &[u16]) -> Played {
    find(target, "1.2", query, "")?.says(wanted)
}

fn sorted_titles(reply: &Reply) -> Result<Vec<String>, Stop> {
    reply.is_sound()?;
    let title = |r: &&Element| r.find("title").map(|t| t.full_text().to_lowercase());
    Ok(reply.records().iter().filter_map(title).collect())
}

fn in_order(target: &Target, version: &str, up: &str, down: &str) -> Played {
    let up = sorted_titles(&find(target, version, &format!("{}{up}", target.term), "")?)?;
    let down = sorted_titles(&find(
        target,
        version,
        &format!("{}{down}", target.term),
        "",
    )?)?;
    let mut wanted = up.clone();
    wanted.sort();
    same("ascending titles", &up, &wanted)?;
    wanted.reverse();
    // Ties may stand either way round; the titles are in order all the same.
    see(
        down.windows(2).all(|w| w[0] >= w[1]),
        format_args!("descending titles: {down:?}"),
    )
}

fn sorted_by_keys(target: &Target) -> Played {
    let up = sorted_titles(&search(target, "1.1", "&sortKeys=title&maximumRecords=20")?)?;
    see(
        up.windows(2).all(|w| w[0] <= w[1]),
        format_args!("ascending titles: {up:?}"),
    )?;
    let down = sorted_titles(&search(
        target,
        "1.1",
        "&sortKeys=title,,0&maximumRecords=20",
    )?)?;
    see(
        down.windows(2).all(|w| w[0] >= w[1]),
        format_args!("descending titles: {down:?}"),
    )
}

fn envelope(inner: &str) -> String {
    format!("<e:Envelope xmlns:e=\"{SOAP}\"><e:Body>{inner}</e:Body></e:Envelope>")
}

fn post(target: &Target, kind: &str, body: &str) -> Result<Reply, Stop> {
    parse(exchange(
        target,
        &format!(
            "POST /{} HTTP/1.1\r\nHost: localhost\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            target.database,
            body.len()
        ),
    )?)
}

fn scan(target: &Target, more: &str) -> Result<Reply, Stop> {
    get(
        target,
        &format!("operation=scan&version=1.2&scanClause=dc.title%3D%22%22{more}"),
    )
}

fn terms(reply: &Reply) -> Vec<String> {
    let all = reply.root.all("terms").flat_map(|t| t.all("term"));
    all.filter_map(|t| t.all("value").next())
        .map(|v| v.text.trim().to_lowercase())
        .collect()
}

macro_rules! cases {
    ($($name:literal, $clause:literal, $play:expr;)*) => {
        /// Every case.
        pub(super) const CASES: &[Case] = &[$(Case { name: $name, clause: $clause, play: $play }),*];
    };
}

cases! {
    "explain by the bare address", "SRU 1.1 Explain", |t| {
        let reply = parse(exchange(t, &format!("GET /{} HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n", t.database))?)?;
        same("root", reply.root.name.as_str(), "explainResponse")
    };
    "explain by its operation, in its version", "SRU 1.1 Explain: Response", |t| {
        let reply = get(t, "operation=explain&version=1.1")?;
        same("root", reply.root.name.as_str(), "explainResponse")?;
        same("namespace", reply.namespace.as_str(), SRW)?;
        same("version", reply.text("version"), Some("1.1"))
    };
    "the explain record says where the server is", "ZeeRex 2.0 serverInfo", |t| {
        let record = explain(t)?;
        let Some(server) = record.all("serverInfo").next() else { return miss("no serverInfo") };
        let text = |name: &str| server.all(name).next().map(|e| e.text.trim().to_owned()).unwrap_or_default();
        same("port", text("port"), t.address.port().to_string())?;
        same("database", text("database"), t.database.clone())?;
        see(!text("host").is_empty(), "no host")
    };
    "the explain record names indexes and schemas", "ZeeRex 2.0 indexInfo, schemaInfo", |t| {
        let record = explain(t)?;
        let count = |group: &str, name: &str| record.all(group).flat_map(|g| g.all(name)).count();
        see(count("indexInfo", "index") > 0 && count("schemaInfo", "schema") > 0, "no index, or no schema")
    };
    "every index of explain can be searched", "SRU 1.1 Explain; CQL Index", |t| {
        let record = explain(t)?;
        for name in record.all("indexInfo").flat_map(|i| i.all("index")).filter_map(|i| i.find("name")) {
            let full = format!("{}.{}", name.attribute("set").unwrap_or("cql"), name.text.trim());
            let said = find(t, "1.2", &format!("{full} = a"), "&maximumRecords=0")?.diagnostics();
            see(!said.iter().any(|(n, _)| matches!(n, 15 | 16)), format_args!("{full}: {said:?}"))?;
        }
        Ok(())
    };
    "every schema of explain can be asked for, by both names", "SRU 1.1 Record Schemas", |t| {
        let record = explain(t)?;
        for schema in record.all("schemaInfo").flat_map(|s| s.all("schema")) {
            for name in ["name", "identifier"].iter().filter_map(|a| schema.attribute(a)) {
                let reply = search(t, "1.1", &format!("&maximumRecords=1&recordSchema={}", percent(name)))?;
                reply.is_sound()?;
                let told = reply.records().first().and_then(|r| r.all("recordSchema").next()).map(|e| e.text.clone());
                same("recordSchema", told.as_deref(), schema.attribute("identifier"))?;
            }
        }
        Ok(())
    };
    "1.1 answers in its own namespace and version", "SRU 1.1 searchRetrieve: Response", |t| {
        let reply = search(t, "1.1", "")?;
        same("root", reply.root.name.as_str(), "searchRetrieveResponse")?;
        same("namespace", reply.namespace.as_str(), SRW)?;
        same("version", reply.text("version"), Some("1.1"))
    };
    "1.2 answers in its own version", "SRU 1.2 searchRetrieve: Response", |t| {
        same("version", search(t, "1.2", "")?.text("version"), Some("1.2"))
    };
    "2.0 answers in its own namespace, without a version", "SRU 2.0, 6 and Annex", |t| {
        let reply = search(t, "2.0", "")?;
        same("namespace", reply.namespace.as_str(), SRU20)?;
        same("version", reply.text("version"), None)
    };
    "the type of a response is XML", "SRU 1.1 HTTP GET", |t| {
        let reply = search(t, "1.1", "")?;
        let kind = reply.head.get("Content-Type").unwrap_or_default().to_owned();
        see(kind.starts_with("text/xml") || kind.starts_with("application/xml") || kind.starts_with("application/sru+xml"), kind)
    };
    "no more records than asked for", "SRU 1.1 maximumRecords", |t| {
        let reply = search(t, "1.1", "&maximumRecords=2")?;
        same("records", reply.records().len(), 2)
    };
    "none where none are asked for, and the count", "SRU 1.1 maximumRecords, numberOfRecords", |t| {
        let none = search(t, "1.1", "&maximumRecords=0")?;
        same("records", none.records().len(), 0)?;
        same("numberOfRecords", none.number("numberOfRecords")?, search(t, "1.1", "")?.number("numberOfRecords")?)
    };
    "records are at the positions asked for", "SRU 1.1 startRecord, recordPosition", |t| {
        let reply = search(t, "1.1", "&startRecord=2&maximumRecords=2")?;
        same("positions", reply.positions(), vec![2, 3])
    };
    "the next position is told, and not behind the last", "SRU 1.1 nextRecordPosition", |t| {
        let first = search(t, "1.1", "&maximumRecords=1")?;
        same("nextRecordPosition", first.text("nextRecordPosition"), Some("2"))?;
        let hits = first.number("numberOfRecords")?;
        let last = search(t, "1.1", &format!("&startRecord={hits}&maximumRecords=5"))?;
        same("nextRecordPosition behind the last", last.text("nextRecordPosition"), None)
    };
    "pages are the whole, each record once", "SRU 1.1 startRecord", |t| {
        let whole = search(t, "1.1", "&maximumRecords=6")?.texts();
        let mut pages = Vec::new();
        for start in [1, 3, 5] {
            pages.extend(search(t, "1.1", &format!("&startRecord={start}&maximumRecords=2"))?.texts());
        }
        same("pages", pages, whole)
    };
    "a first position behind the last is out of range", "SRU diagnostic 61", |t| {
        let hits = search(t, "1.1", "&maximumRecords=0")?.number("numberOfRecords")?;
        search(t, "1.1", &format!("&startRecord={}", hits + 1))?.says(&[61])
    };
    "positions count from 1", "SRU diagnostic 6", |t| search(t, "1.1", "&startRecord=0")?.says(&[6, 61]);
    "a number that is none is refused", "SRU diagnostic 6", |t| search(t, "1.1", "&maximumRecords=ten")?.says(&[6]);
    "a search without its query is refused", "SRU diagnostic 7", |t| {
        let reply = get(t, "operation=searchRetrieve&version=1.1")?;
        reply.says(&[7])?;
        see(reply.diagnostics()[0].1.contains("query"), format_args!("details {:?}", reply.diagnostics()[0].1))
    };
    "an unknown operation is refused", "SRU diagnostic 4", |t| get(t, "operation=dance&version=1.1")?.says(&[4]);
    "an unknown version is refused, and the highest told", "SRU diagnostic 5", |t| {
        let reply = get(t, "operation=searchRetrieve&version=9.9&query=a")?;
        reply.says(&[5])?;
        see(reply.diagnostics()[0].1.contains(['1', '2']), format_args!("details {:?}", reply.diagnostics()[0].1))
    };
    "an unknown parameter is refused", "SRU diagnostic 8", |t| search(t, "1.1", "&colour=red")?.says(&[8]);
    "a parameter of an extension is passed over", "SRU 1.1 Extensions: x-", |t| search(t, "1.1", "&x-info-5-colour=red")?.is_sound();
    "a diagnostic has its identifier and namespace", "SRU 1.1 Diagnostics", |t| {
        let reply = search(t, "1.1", "&colour=red")?;
        see(reply.body.contains("http://www.loc.gov/zing/srw/diagnostic/"), "another namespace")
    };
    "a database that is not there is refused", "SRU diagnostic 235", |t| {
        let elsewhere = Target { database: format!("{}-not", t.database), ..t.clone() };
        search(&elsewhere, "1.1", "")?.says(&[235])
    };
    "broken grammar is refused", "CQL; SRU diagnostics 10 to 14", |t| {
        for query in ["(a", "a and", "title = ", "\"a", "a )"] {
            fault_of_query(t, query, &[10, 11, 12, 13, 14, 27])?;
        }
        Ok(())
    };
    "an unknown index is refused", "SRU diagnostic 16", |t| fault_of_query(t, "dc.shoesize = 4", &[16]);
    "an unknown context set is refused", "SRU diagnostic 15", |t| fault_of_query(t, "> x = \"urn:nobody\" x.title = a", &[15]);
    "an unknown relation is refused", "SRU diagnostic 19", |t| fault_of_query(t, "dc.title foo.near a", &[19]);
    "an unknown relation modifier is refused", "SRU diagnostic 20", |t| fault_of_query(t, "dc.title =/foo.bar a", &[20]);
    "an unknown boolean modifier is refused", "SRU diagnostic 46", |t| fault_of_query(t, "a and/foo.bar b", &[46]);
    "proximity is done or refused", "CQL Proximity; SRU diagnostics 39 to 44", |t| {
        let said = find(t, "1.2", "a prox/unit=word/distance<=2 b", "")?.diagnostics();
        see(said.iter().all(|(n, _)| (39..=44).contains(n) || *n == 59), format_args!("{said:?}"))?;
        fault_of_query(t, "a prox/unit=furlong b", &[39, 42])
    };
    "a prefix that the query assigns is used", "CQL Prefix Assignment", |t| {
        find(t, "1.2", "> y = \"info:srw/cql-context-set/1/dc-v1.1\" y.title = a", "&maximumRecords=0")?.is_sound()
    };
    "booleans, quotes, masks and parentheses are read", "CQL 1.2 grammar", |t| {
        for query in [
            "a and (b or \"c d\") not e",
            "dc.title any \"a b\" AND dc.creator all \"c d\"",
            "dc.title = \"a\\\"b\"",
            "dc.title = mo*n?",
            "dc.title == \"^the moon^\"",
            "dc.date >= 1990 and dc.date < 2001",
            "dc.title =/stem/ignoreCase moons",
        ] {
            let said = find(t, "1.2", query, "&maximumRecords=0")?.diagnostics();
            // A server may lack a modifier or a mask, but must have understood the query.
            see(said.iter().all(|(n, _)| matches!(n, 20 | 28..=33 | 59)), format_args!("{query}: {said:?}"))?;
        }
        Ok(())
    };
    "an unknown schema is refused", "SRU diagnostic 66", |t| search(t, "1.1", "&recordSchema=nobody")?.says(&[66]);
    "records come as text where that is asked for", "SRU 1.1 recordPacking", |t| {
        let reply = search(t, "1.1", "&maximumRecords=1&recordPacking=string")?;
        let records = reply.records();
        let Some(data) = records.first().and_then(|r| r.all("recordData").next()) else { return miss("no record") };
        see(data.children.is_empty() && tree::read(data.text.trim()).is_ok(), format_args!("{:?}", data.text))?;
        let told = records[0].all("recordPacking").next().map(|e| e.text.clone());
        same("recordPacking", told.as_deref(), Some("string"))
    };
    "an unknown packing is refused", "SRU diagnostic 71", |t| search(t, "1.1", "&recordPacking=bag")?.says(&[71]);
    "XPath is done or refused", "SRU 1.1 recordXPath; diagnostic 72", |t| {
        let said = search(t, "1.1", "&recordXPath=%2Fa")?.diagnostics();
        see(said.iter().all(|(n, _)| (72..=74).contains(n)), format_args!("{said:?}"))
    };
    "records are sorted by sortKeys, up and down", "SRU 1.1 sortKeys", sorted_by_keys;
    "records are sorted by sortBy, up and down", "CQL 1.2 Sorting", |t| {
        in_order(t, "1.2", " sortBy dc.title", " sortBy dc.title/sort.descending")
    };
    "records are sorted in 2.0", "SRU 2.0 with CQL Sorting", |t| {
        in_order(t, "2.0", " sortBy dc.title", " sortBy dc.title/sort.descending")
    };
    "a key that cannot be sorted by is refused", "SRU diagnostics 80 to 91", |t| {
        search(t, "1.1", "&sortKeys=shoesize")?.says(&[80, 81, 82, 86, 87, 88, 89])
    };
    "a sorted set is paged in its order", "SRU 1.2 sortKeys with startRecord", |t| {
        let whole = search(t, "1.2", "&sortKeys=title,,0&maximumRecords=6")?.texts();
        let mut pages = Vec::new();
        for start in [1, 3, 5] {
            pages.extend(search(t, "1.2", &format!("&sortKeys=title,,0&startRecord={start}&maximumRecords=2"))?.texts());
        }
        same("pages", pages, whole)
    };
    "a result set can be asked again by its name", "SRU 1.1 Result Sets; cql.resultSetId", |t| {
        let first = search(t, "1.1", "&maximumRecords=3")?;
        let Some(id) = first.text("resultSetId") else { return Err(Stop::NotOffered("no resultSetId".to_owned())) };
        let again = find(t, "1.1", &format!("cql.resultSetId = \"{id}\""), "&maximumRecords=3")?;
        same("records", again.texts(), first.texts())?;
        same("hits", again.number("numberOfRecords")?, first.number("numberOfRecords")?)
    };
    "a result set can be searched in", "CQL cql.resultSetId", |t| {
        let first = search(t, "1.1", "&maximumRecords=0")?;
        let Some(id) = first.text("resultSetId") else { return Err(Stop::NotOffered("no resultSetId".to_owned())) };
        let said = find(t, "1.1", &format!("cql.resultSetId = \"{id}\" and {}", t.term), "&maximumRecords=0")?.diagnostics();
        see(said.iter().all(|(n, _)| matches!(n, 53..=55)), format_args!("{said:?}"))
    };
    "a result set that never was is refused", "SRU diagnostics 50, 51", |t| {
        fault_of_query(t, "cql.resultSetId = \"no-such-set\"", &[50, 51])
    };
    "a set's time is a number", "SRU 1.1 resultSetIdleTime", |t| {
        let reply = search(t, "1.1", "&resultSetTTL=20")?;
        if reply.text("resultSetId").is_none() {
            return Err(Stop::NotOffered("no resultSetId".to_owned()));
        }
        see(reply.text("resultSetIdleTime").is_none_or(|s| s.parse::<u64>().is_ok()), "no number")
    };
    "a style sheet is named", "SRU 1.1 stylesheet", |t| {
        let reply = search(t, "1.1", "&stylesheet=%2Fstyle.xsl")?;
        if reply.diagnostics().iter().any(|(n, _)| matches!(n, 110 | 111)) {
            return Err(Stop::NotOffered("style sheets are refused, as they may be".to_owned()));
        }
        let head = reply.body.split("<searchRetrieveResponse").next().unwrap_or_default().to_owned();
        see(head.contains("<?xml-stylesheet") && head.contains("/style.xsl"), head)
    };
    "a scan lists terms in order", "SRU 1.1 Scan", |t| {
        let reply = scan(t, "&maximumTerms=5")?;
        same("root", reply.root.name.as_str(), "scanResponse")?;
        reply.is_sound()?;
        let terms = terms(&reply);
        see((1..=5).contains(&terms.len()), format_args!("{} terms", terms.len()))?;
        see(terms.windows(2).all(|w| w[0] < w[1]), format_args!("{terms:?}"))
    };
    "a scan's terms have counts", "SRU 1.1 Scan: numberOfRecords", |t| {
        let reply = scan(t, "&maximumTerms=3")?;
        let counted = |e: &Element| e.all("numberOfRecords").next().is_some_and(|n| n.text.trim().parse::<u64>().is_ok());
        see(reply.root.all("terms").flat_map(|x| x.all("term")).all(counted), "a term without a count")
    };
    "a scan's starting point is where it was asked for", "SRU 1.1 responsePosition", |t| {
        let all = terms(&scan(t, "&maximumTerms=4")?);
        let [_, second, ..] = all.as_slice() else { return miss("fewer than two terms") };
        let clause = percent(&format!("dc.title = \"{second}\""));
        let reply = get(t, &format!("operation=scan&version=1.2&scanClause={clause}&maximumTerms=2&responsePosition=2"))?;
        same("terms", terms(&reply), all[..2].to_vec())
    };
    "a position outside a scan's list is refused", "SRU diagnostic 120", |t| {
        scan(t, "&maximumTerms=3&responsePosition=99")?.says(&[120])
    };
    "a scan of an unknown index is refused", "SRU diagnostic 16", |t| {
        get(t, "operation=scan&version=1.2&scanClause=dc.shoesize%3D1")?.says(&[16])
    };
    "a scan without its clause is refused", "SRU diagnostic 7", |t| get(t, "operation=scan&version=1.2")?.says(&[7]);
    "a form that is posted is a request", "SRU 1.1 HTTP POST", |t| {
        let body = format!("operation=searchRetrieve&version=1.1&maximumRecords=2&query={}", percent(&t.term));
        let posted = post(t, "application/x-www-form-urlencoded", &body)?;
        same("records", posted.texts(), search(t, "1.1", "&maximumRecords=2")?.texts())
    };
    "an envelope of SOAP 1.1 is a request", "SRU 1.1 over SOAP", |t| {
        let inner = format!(
            "<searchRetrieveRequest xmlns=\"{SRW}\"><version>1.1</version><query>{}</query>\
             <maximumRecords>2</maximumRecords></searchRetrieveRequest>",
            catalogue::escape(&t.term)
        );
        let reply = post(t, "text/xml; charset=utf-8", &envelope(&inner))?;
        same("namespace", reply.namespace.as_str(), SOAP)?;
        let Some(response) = reply.root.find("searchRetrieveResponse") else { return miss("no response inside") };
        let count = response.all("records").flat_map(|r| r.all("record")).count();
        same("records", count, 2)
    };
    "what is no request gets a SOAP fault", "SOAP 1.1, 4.4 and 6.2", |t| {
        let reply = post(t, "text/xml; charset=utf-8", &envelope("<dance/>"))?;
        same("status", reply.head.start.1.as_str(), "500")?;
        see(reply.root.find("Fault").is_some_and(|f| f.find("faultcode").is_some()), "no fault")
    };
    "2.0 says how exact the count is", "SRU 2.0 resultCountPrecision", |t| {
        let reply = search(t, "2.0", "")?;
        let precision = reply.text("resultCountPrecision").unwrap_or_default().to_owned();
        see(precision.is_empty() || precision.starts_with("info:srw/vocabulary/resultCountPrecision/1/"), precision)
    };
    "2.0 refuses a query type that it does not know", "SRU 2.0 queryType", |t| search(t, "2.0", "&queryType=nobody")?.says(&[6]);
    "2.0 has its own name for packing", "SRU 2.0 recordXMLEscaping", |t| {
        let reply = search(t, "2.0", "&maximumRecords=1&recordXMLEscaping=string")?;
        let records = reply.records();
        let Some(data) = records.first().and_then(|r| r.all("recordData").next()) else { return miss("no record") };
        see(data.children.is_empty(), "XML in place of text")
    };
    "2.0 gives the media type that is asked for", "SRU 2.0 httpAccept", |t| {
        let reply = search(t, "2.0", "&httpAccept=application%2Fsru%2Bxml")?;
        let kind = reply.head.get("Content-Type").unwrap_or_default().to_owned();
        see(kind.starts_with("application/sru+xml"), kind)
    };
    "2.0 refuses a header that takes nothing of it", "HTTP 1.1 Accept; SRU 2.0", |t| {
        let reply = get_with(t, &format!("query={}", percent(&t.term)), "Accept: image/png\r\n")?;
        same("status", reply.head.start.1.as_str(), "406")
    };
    "2.0 counts facets or says that it does not", "SRU 2.0 Facets", |t| {
        let reply = search(t, "2.0", "&facetLimit=5:dc.subject")?;
        let counted = reply.root.find("facetedResults").is_some();
        see(counted || !reply.diagnostics().is_empty(), "neither facets nor a diagnostic")
    };
    "older versions do not know what is 2.0's", "SRU diagnostic 8", |t| search(t, "1.1", "&queryType=cql")?.says(&[8]);
    "HEAD has no body", "HTTP 1.1 HEAD", |t| {
        let mut socket = TcpStream::connect(t.address)?;
        socket.set_read_timeout(Some(t.patience))?;
        write!(socket, "HEAD /{} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", t.database)?;
        let mut said = String::new();
        socket.read_to_string(&mut said)?;
        see(said.starts_with("HTTP/1.1 200") && said.ends_with("\r\n\r\n"), said.lines().last().unwrap_or_default())
    };
    "a connection may be kept for the next request", "HTTP 1.1 persistence", |t| {
        let mut socket = TcpStream::connect(t.address)?;
        socket.set_read_timeout(Some(t.patience))?;
        let (mut input, mut chunk) = (Vec::new(), [0; 8192]);
        for _ in 0..2 {
            write!(socket, "GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", t.database)?;
            let mut reader = Reader::responses(1 << 16, 1 << 24);
            while !matches!(reader.read(&mut input), Ok(Progress::Whole)) {
                match socket.read(&mut chunk)? {
                    0 => return miss("the connection ended"),
                    n => input.extend_from_slice(&chunk[..n]),
                }
            }
        }
        Ok(())
    };
}
