//! A client of Z39.50 that builds its APDUs from the tags in the standard.

use crate::conform::{CaseError, CaseResult, Target, check, check_eq, mismatch};
use catalogue::ber::{self, Class, Item, Writer, universal};
use std::io::{Read, Write};
use std::net::TcpStream;

pub(super) const BIB1: &str = "1.2.840.10003.3.1";
pub(super) const XML: &str = "1.2.840.10003.5.109.10";
pub(super) const USMARC: &str = "1.2.840.10003.5.10";
pub(super) const SUTRS: &str = "1.2.840.10003.5.101";
pub(super) const GRS1: &str = "1.2.840.10003.5.105";

/// The options that are proposed by default: search, present, delSet, scan, sort, concurrentOperations,
/// namedResultSets.
pub(super) const DEFAULT_OPTIONS: &[usize] = &[0, 1, 2, 7, 8, 13, 14];

pub(super) struct Client {
    pub(super) socket: TcpStream,
    pub(super) input: Vec<u8>,
    /// The response to Init.
    pub(super) init_response: Item,
}

impl Client {
    pub(super) fn connect(target: &Target) -> Result<Client, CaseError> {
        let socket = TcpStream::connect(target.address)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(target.timeout))?;
        let nothing = Item {
            class: Class::Other,
            tag: 0,
            content: ber::Content::Constructed(Vec::new()),
        };
        Ok(Client {
            socket,
            input: Vec::new(),
            init_response: nothing,
        })
    }

    /// Opens a session with these versions and options. The server may have rejected it: see
    /// `init_response`.
    pub(super) fn init(
        target: &Target,
        versions: &[usize],
        options: &[usize],
        size: i64,
    ) -> Result<Client, CaseError> {
        let mut client = Client::connect(target)?;
        let request = init_request(versions, options, size);
        client.init_response = client.exchange(&request)?;
        Ok(client)
    }

    pub(super) fn open(target: &Target) -> Result<Client, CaseError> {
        let client = Client::init(target, &[0, 1, 2], DEFAULT_OPTIONS, 1 << 20)?;
        match client.init_response.get(12).and_then(Item::boolean) {
            Some(true) => Ok(client),
            _ => mismatch("the server rejected Init"),
        }
    }

    pub(super) fn has(&self, option: usize) -> bool {
        self.init_response.get(4).is_some_and(|o| o.bit(option))
    }

    pub(super) fn require_option(&self, option: usize, what: &str) -> CaseResult {
        if self.has(option) {
            Ok(())
        } else {
            Err(CaseError::NotOffered(format!("{what} was not negotiated")))
        }
    }

    pub(super) fn send(&mut self, bytes: &[u8]) -> CaseResult {
        Ok(self.socket.write_all(bytes)?)
    }

    /// The next APDU, or `None` at the end of the connection.
    pub(super) fn receive(&mut self) -> Result<Option<Item>, CaseError> {
        let mut chunk = [0; 8192];
        loop {
            match ber::read(&mut self.input, 1 << 24, 64) {
                Ok(Some(apdu)) => return Ok(Some(apdu)),
                Ok(None) => {}
                Err(problem) => return mismatch(problem),
            }
            match self.socket.read(&mut chunk) {
                Ok(0) => return Ok(None),
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return Ok(None),
                Err(e) => return Err(e.into()),
            }
        }
    }

    pub(super) fn exchange(&mut self, bytes: &[u8]) -> Result<Item, CaseError> {
        self.send(bytes)?;
        match self.receive()? {
            Some(apdu) => Ok(apdu),
            None => mismatch("the connection ended without a response"),
        }
    }

    /// Expects the end of the session: a Close with this reason, or the end of the connection.
    pub(super) fn expect_close(&mut self, reason: i64) -> CaseResult {
        match self.receive()? {
            None => Ok(()),
            Some(apdu) => {
                check_eq("APDU tag", apdu.tag, 48)?;
                check_eq(
                    "closeReason",
                    apdu.get(211).and_then(Item::integer),
                    Some(reason),
                )
            }
        }
    }

    pub(super) fn search(&mut self, target: &Target, set: &str) -> Result<Item, CaseError> {
        let apdu = search_request(
            &Search {
                set,
                ..Search::new(target)
            },
            None,
        );
        self.exchange(&apdu)
    }
}

/// Encodes an APDU, with a reference id if there is one.
pub(super) fn apdu(tag: u32, reference: Option<&[u8]>, fill: impl FnOnce(&mut Writer)) -> Vec<u8> {
    let mut w = Writer::default();
    w.inside(tag, |w| {
        if let Some(reference) = reference {
            w.bytes(2, reference);
        }
        fill(w);
    });
    w.finish()
}

pub(super) fn init_request(versions: &[usize], options: &[usize], size: i64) -> Vec<u8> {
    apdu(20, Some(b"hello"), |w| {
        w.bits(3, versions.iter().copied());
        w.bits(4, options.iter().copied());
        w.integer(5, size);
        w.integer(6, size);
        w.bytes(110, b"conform");
    })
}

/// The parameters of a search; [`Search::new`] has the defaults.
pub(super) struct Search<'a> {
    pub(super) set: &'a str,
    pub(super) database: &'a str,
    pub(super) sizes: [i64; 3],
    pub(super) replace: bool,
    pub(super) query_type: u32,
    pub(super) attribute_set: &'a str,
    pub(super) attributes: &'a [(i64, i64)],
    pub(super) term: &'a str,
    pub(super) syntax: Option<&'a str>,
    pub(super) elements: Option<&'a str>,
    pub(super) operand: Option<&'a str>,
}

impl<'a> Search<'a> {
    pub(super) fn new(target: &'a Target) -> Search<'a> {
        Search {
            set: "default",
            database: &target.database,
            sizes: [0, 1, 0],
            replace: true,
            query_type: 1,
            attribute_set: BIB1,
            attributes: &[(1, 1016)],
            term: &target.term,
            syntax: None,
            elements: None,
            operand: None,
        }
    }
}

pub(super) fn attributes(w: &mut Writer, list: &[(i64, i64)]) {
    w.inside(44, |all| {
        for (kind, value) in list {
            all.inside_universal(universal::SEQUENCE, |a| {
                a.integer(120, *kind);
                a.integer(121, *value);
            });
        }
    });
}

pub(super) fn search_request(search: &Search<'_>, reference: Option<&[u8]>) -> Vec<u8> {
    apdu(22, reference, |w| {
        w.integer(13, search.sizes[0]);
        w.integer(14, search.sizes[1]);
        w.integer(15, search.sizes[2]);
        w.boolean(16, search.replace);
        w.bytes(17, search.set.as_bytes());
        w.inside(18, |names| names.bytes(105, search.database.as_bytes()));
        if let Some(elements) = search.elements {
            w.inside(100, |e| e.bytes(0, elements.as_bytes()));
            w.inside(101, |e| e.bytes(0, elements.as_bytes()));
        }
        if let Some(syntax) = search.syntax {
            w.oid_as(104, syntax);
        }
        w.inside(21, |query| {
            query.inside(search.query_type, |rpn| {
                rpn.oid(search.attribute_set);
                rpn.inside(0, |operand| match search.operand {
                    Some(set) => operand.bytes(31, set.as_bytes()),
                    None => operand.inside(102, |clause| {
                        attributes(clause, search.attributes);
                        clause.bytes(45, search.term.as_bytes());
                    }),
                });
            });
        });
    })
}

pub(super) fn present_request(
    set: &str,
    start: i64,
    count: i64,
    syntax: Option<&str>,
    elements: Option<&str>,
) -> Vec<u8> {
    apdu(24, Some(b"page"), |w| {
        w.bytes(31, set.as_bytes());
        w.integer(30, start);
        w.integer(29, count);
        if let Some(elements) = elements {
            w.inside(19, |e| e.bytes(0, elements.as_bytes()));
        }
        if let Some(syntax) = syntax {
            w.oid_as(104, syntax);
        }
    })
}

pub(super) fn scan_request(
    target: &Target,
    term: &str,
    number: i64,
    position: Option<i64>,
    step: i64,
) -> Vec<u8> {
    apdu(35, Some(b"scan"), |w| {
        w.inside(3, |names| names.bytes(105, target.database.as_bytes()));
        w.oid(BIB1);
        w.inside(102, |clause| {
            attributes(clause, &[(1, 4)]);
            clause.bytes(45, term.as_bytes());
        });
        w.integer(5, step);
        w.integer(6, number);
        if let Some(position) = position {
            w.integer(7, position);
        }
    })
}

pub(super) fn sort_request(
    input: &str,
    output: &str,
    relation: i64,
    use_attribute: i64,
) -> Vec<u8> {
    apdu(43, Some(b"sort"), |w| {
        w.inside(3, |sets| {
            sets.universal(universal::GENERAL, input.as_bytes())
        });
        w.bytes(4, output.as_bytes());
        w.inside(5, |specs| {
            specs.inside_universal(universal::SEQUENCE, |spec| {
                // SortElement generic [1], SortKey sortAttributes [2].
                spec.inside(1, |generic| {
                    generic.inside(2, |key| {
                        key.oid(BIB1);
                        attributes(key, &[(1, use_attribute)]);
                    });
                });
                spec.integer(1, relation);
                spec.integer(2, 1);
            });
        });
    })
}

pub(super) fn delete_request(function: i64, names: &[&str]) -> Vec<u8> {
    apdu(26, Some(b"del"), |w| {
        w.integer(32, function);
        if !names.is_empty() {
            w.inside_universal(universal::SEQUENCE, |list| {
                names
                    .iter()
                    .for_each(|name| list.bytes(31, name.as_bytes()));
            });
        }
    })
}

pub(super) fn number(apdu: &Item, tag: u32) -> Option<i64> {
    apdu.get(tag).and_then(Item::integer)
}

pub(super) fn hit_count(apdu: &Item) -> Result<i64, CaseError> {
    check_eq("APDU tag", apdu.tag, 23)?;
    check_eq(
        "searchStatus",
        apdu.get(22).and_then(Item::boolean),
        Some(true),
    )?;
    match number(apdu, 23) {
        Some(count) if count >= 0 => Ok(count),
        other => mismatch(format!("resultCount {other:?}")),
    }
}

/// The condition of the first diagnostic, at any depth.
pub(super) fn condition(apdu: &Item) -> Option<i64> {
    match apdu.class == Class::Universal && apdu.tag == universal::INTEGER {
        true => apdu.integer(),
        false => apdu.items().iter().find_map(condition),
    }
}

pub(super) fn check_diagnostic(apdu: &Item, expected: &[i64]) -> CaseResult {
    let condition = condition(apdu);
    check(
        condition.is_some_and(|n| expected.contains(&n)),
        format_args!("diagnostic {condition:?}, expected one of {expected:?}"),
    )
}

/// Expects a search to fail with one of these diagnostics.
pub(super) fn check_search_diagnostic(
    target: &Target,
    search: &Search<'_>,
    expected: &[i64],
) -> CaseResult {
    let mut client = Client::open(target)?;
    let response = client.exchange(&search_request(search, Some(b"bad")))?;
    check_eq("APDU tag", response.tag, 23)?;
    check_eq(
        "searchStatus",
        response.get(22).and_then(Item::boolean),
        Some(false),
    )?;
    check_eq("resultCount", number(&response, 23), Some(0))?;
    check_diagnostic(&response, expected)?;
    // The session is still usable.
    hit_count(&client.search(target, "default")?).map(|_| ())
}

pub(super) fn check_attribute_diagnostic(
    target: &Target,
    attributes: &[(i64, i64)],
    expected: &[i64],
) -> CaseResult {
    check_search_diagnostic(
        target,
        &Search {
            attributes,
            ..Search::new(target)
        },
        expected,
    )
}

/// The records of a response or segment: syntax and bytes.
pub(super) fn records(apdu: &Item, tag: u32) -> Vec<(String, Vec<u8>)> {
    let list = apdu.get(tag).map(Item::items).unwrap_or_default();
    let record = |named: &Item| {
        let external = named.get(1)?.get(1)?.items().first()?;
        let syntax = external.items().first()?.oid()?;
        let bytes = external
            .get(1)
            .or_else(|| external.get(0))
            .map(Item::bytes)?;
        Some((syntax, bytes))
    };
    list.iter().filter_map(record).collect()
}

pub(super) fn titles(client: &mut Client, set: &str, count: i64) -> Result<Vec<String>, CaseError> {
    let response = client.exchange(&present_request(set, 1, count, Some(XML), None))?;
    check_eq("presentStatus", number(&response, 27), Some(0))?;
    let title = |bytes: Vec<u8>| {
        let root = catalogue::record::tree::read(&String::from_utf8_lossy(&bytes)).ok()?;
        Some(root.find("title")?.full_text().to_lowercase())
    };
    Ok(records(&response, 28)
        .into_iter()
        .filter_map(|(_, bytes)| title(bytes))
        .collect())
}

pub(super) fn syntax(target: &Target, oid: &str, sound: fn(&[u8]) -> bool) -> CaseResult {
    let mut client = Client::open(target)?;
    client.search(target, "default")?;
    let response = client.exchange(&present_request("default", 1, 1, Some(oid), Some("F")))?;
    if condition(&response).is_some_and(|n| matches!(n, 238 | 239)) {
        return Err(CaseError::NotOffered("this syntax".to_owned()));
    }
    let records = records(&response, 28);
    let Some((given, bytes)) = records.first() else {
        return mismatch("no record");
    };
    check_eq("record syntax", given.as_str(), oid)?;
    check(
        sound(bytes),
        format_args!("{:?}", String::from_utf8_lossy(bytes)),
    )
}

pub(super) fn terms(apdu: &Item) -> Vec<(String, Option<i64>)> {
    let entries = apdu
        .get(7)
        .and_then(|l| l.get(1))
        .map(Item::items)
        .unwrap_or_default();
    let term = |entry: &Item| Some((entry.get(45)?.text()?, entry.get(2).and_then(Item::integer)));
    entries.iter().filter_map(term).collect()
}

pub(super) fn sorted(target: &Target, relation: i64) -> Result<Vec<String>, CaseError> {
    let mut client = Client::open(target)?;
    client.require_option(8, "sorting")?;
    let count = hit_count(&client.search(target, "default")?)?.min(20);
    let response = client.exchange(&sort_request("default", "sorted", relation, 4))?;
    check_eq("APDU tag", response.tag, 44)?;
    check_eq("sortStatus", number(&response, 3), Some(0))?;
    check_eq(
        "reference id",
        response.get(2).map(Item::bytes),
        Some(b"sort".to_vec()),
    )?;
    titles(&mut client, "sorted", count)
}

/// A search request with the outermost length in another form.
pub(super) fn search_with_length_form(
    target: &Target,
    indefinite: bool,
) -> Result<Vec<u8>, CaseError> {
    let bytes = search_request(&Search::new(target), None);
    // The tag is one byte, followed by the length.
    let skip = if bytes[1] < 0x80 {
        2
    } else {
        2 + usize::from(bytes[1] & 0x7f)
    };
    let body = &bytes[skip..];
    Ok(match indefinite {
        true => [&bytes[..1], &[0x80], body, &[0, 0]].concat(),
        false => [
            &bytes[..1],
            &[0x84],
            &(body.len() as u32).to_be_bytes(),
            body,
        ]
        .concat(),
    })
}

/// Fetches six records with a small message size. Returns the client, the sizes of the messages, the
/// total of records, and the response.
pub(super) fn fetch_in_small_messages(
    target: &Target,
    options: &[usize],
) -> Result<(Client, Vec<usize>, usize, Item), CaseError> {
    let mut client = Client::init(target, &[0, 1, 2], options, 1024)?;
    let count = hit_count(&client.search(target, "default")?)?.min(6);
    client.send(&present_request("default", 1, count, Some(XML), None))?;
    let (mut sizes, mut all) = (Vec::new(), 0);
    loop {
        let Some(apdu) = client.receive()? else {
            return mismatch("the connection ended");
        };
        let last = apdu.tag == 25;
        let mut w = Writer::default();
        w.item(&apdu);
        sizes.push(w.finish().len());
        all += records(&apdu, if last { 28 } else { 0 }).len();
        if last {
            return Ok((client, sizes, all, apdu));
        }
        check_eq("APDU tag", apdu.tag, 45)?;
    }
}
