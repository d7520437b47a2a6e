//! A client of Z39.50 that puts its data units together from the standard's tags.

use crate::conform::{Played, Stop, Target, miss, same, see};
use catalogue::ber::{self, Class, Item, Writer, universal};
use std::io::{Read, Write};
use std::net::TcpStream;

pub(super) const BIB1: &str = "1.2.840.10003.3.1";
pub(super) const XML: &str = "1.2.840.10003.5.109.10";
pub(super) const USMARC: &str = "1.2.840.10003.5.10";
pub(super) const SUTRS: &str = "1.2.840.10003.5.101";
pub(super) const GRS1: &str = "1.2.840.10003.5.105";

/// Options that are proposed: search, present, delSet, scan, sort, concurrentOperations,
/// namedResultSets.
pub(super) const USUAL: &[usize] = &[0, 1, 2, 7, 8, 13, 14];

pub(super) struct Peer {
    pub(super) socket: TcpStream,
    pub(super) input: Vec<u8>,
    /// The response to Init.
    pub(super) welcome: Item,
}

impl Peer {
    pub(super) fn connect(target: &Target) -> Result<Peer, Stop> {
        let socket = TcpStream::connect(target.address)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(target.patience))?;
        let nothing = Item {
            class: Class::Other,
            tag: 0,
            content: ber::Content::Constructed(Vec::new()),
        };
        Ok(Peer {
            socket,
            input: Vec::new(),
            welcome: nothing,
        })
    }

    /// A session with these versions and options; `None` where the server does not take it.
    pub(super) fn init(
        target: &Target,
        versions: &[usize],
        options: &[usize],
        size: i64,
    ) -> Result<Peer, Stop> {
        let mut peer = Peer::connect(target)?;
        let request = init_request(versions, options, size);
        peer.welcome = peer.ask(&request)?;
        Ok(peer)
    }

    pub(super) fn open(target: &Target) -> Result<Peer, Stop> {
        let peer = Peer::init(target, &[0, 1, 2], USUAL, 1 << 20)?;
        match peer.welcome.get(12).and_then(Item::boolean) {
            Some(true) => Ok(peer),
            _ => miss("the session is not taken"),
        }
    }

    pub(super) fn has(&self, option: usize) -> bool {
        self.welcome.get(4).is_some_and(|o| o.bit(option))
    }

    pub(super) fn needs(&self, option: usize, what: &str) -> Played {
        if self.has(option) {
            Ok(())
        } else {
            Err(Stop::NotOffered(format!("{what} was not agreed on")))
        }
    }

    pub(super) fn say(&mut self, bytes: &[u8]) -> Played {
        Ok(self.socket.write_all(bytes)?)
    }

    /// The next data unit, or `None` at the connection's end.
    pub(super) fn hear(&mut self) -> Result<Option<Item>, Stop> {
        let mut chunk = [0; 8192];
        loop {
            match ber::read(&mut self.input, 1 << 24, 64) {
                Ok(Some(unit)) => return Ok(Some(unit)),
                Ok(None) => {}
                Err(problem) => return miss(problem),
            }
            match self.socket.read(&mut chunk) {
                Ok(0) => return Ok(None),
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return Ok(None),
                Err(e) => return Err(e.into()),
            }
        }
    }

    pub(super) fn ask(&mut self, bytes: &[u8]) -> Result<Item, Stop> {
        self.say(bytes)?;
        match self.hear()? {
            Some(unit) => Ok(unit),
            None => miss("the connection ended without an answer"),
        }
    }

    /// The session ends: with a Close of this reason, or by its connection's end.
    pub(super) fn is_closed(&mut self, reason: i64) -> Played {
        match self.hear()? {
            None => Ok(()),
            Some(unit) => {
                same("the unit", unit.tag, 48)?;
                same(
                    "closeReason",
                    unit.get(211).and_then(Item::integer),
                    Some(reason),
                )
            }
        }
    }

    pub(super) fn search(&mut self, target: &Target, set: &str) -> Result<Item, Stop> {
        let unit = search_request(
            &Search {
                set,
                ..Search::usual(target)
            },
            None,
        );
        self.ask(&unit)
    }
}

/// One data unit with a reference.
pub(super) fn unit(tag: u32, reference: Option<&[u8]>, fill: impl FnOnce(&mut Writer)) -> Vec<u8> {
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
    unit(20, Some(b"hello"), |w| {
        w.bits(3, versions.iter().copied());
        w.bits(4, options.iter().copied());
        w.integer(5, size);
        w.integer(6, size);
        w.bytes(110, b"conform");
    })
}

/// A search; what is not told is as usual.
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
    pub(super) fn usual(target: &'a Target) -> Search<'a> {
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
    unit(22, reference, |w| {
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
    unit(24, Some(b"page"), |w| {
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
    unit(35, Some(b"scan"), |w| {
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
    unit(43, Some(b"sort"), |w| {
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
    unit(26, Some(b"del"), |w| {
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

pub(super) fn number(unit: &Item, tag: u32) -> Option<i64> {
    unit.get(tag).and_then(Item::integer)
}

pub(super) fn hits(unit: &Item) -> Result<i64, Stop> {
    same("the unit", unit.tag, 23)?;
    same(
        "searchStatus",
        unit.get(22).and_then(Item::boolean),
        Some(true),
    )?;
    match number(unit, 23) {
        Some(count) if count >= 0 => Ok(count),
        other => miss(format!("resultCount {other:?}")),
    }
}

/// A diagnostic's condition, wherever it stands.
pub(super) fn condition(unit: &Item) -> Option<i64> {
    match unit.class == Class::Universal && unit.tag == universal::INTEGER {
        true => unit.integer(),
        false => unit.items().iter().find_map(condition),
    }
}

pub(super) fn says(unit: &Item, wanted: &[i64]) -> Played {
    let said = condition(unit);
    see(
        said.is_some_and(|n| wanted.contains(&n)),
        format_args!("diagnostic {said:?}, wanted one of {wanted:?}"),
    )
}

/// A search that fails with one of these.
pub(super) fn search_says(target: &Target, search: &Search<'_>, wanted: &[i64]) -> Played {
    let mut peer = Peer::open(target)?;
    let reply = peer.ask(&search_request(search, Some(b"bad")))?;
    same("the unit", reply.tag, 23)?;
    same(
        "searchStatus",
        reply.get(22).and_then(Item::boolean),
        Some(false),
    )?;
    same("resultCount", number(&reply, 23), Some(0))?;
    says(&reply, wanted)?;
    // The session is none the worse for it.
    hits(&peer.search(target, "default")?).map(|_| ())
}

pub(super) fn attribute_says(target: &Target, attributes: &[(i64, i64)], wanted: &[i64]) -> Played {
    search_says(
        target,
        &Search {
            attributes,
            ..Search::usual(target)
        },
        wanted,
    )
}

/// The records of a response or segment: syntax and bytes.
pub(super) fn records(unit: &Item, tag: u32) -> Vec<(String, Vec<u8>)> {
    let list = unit.get(tag).map(Item::items).unwrap_or_default();
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

pub(super) fn titles(peer: &mut Peer, set: &str, count: i64) -> Result<Vec<String>, Stop> {
    let reply = peer.ask(&present_request(set, 1, count, Some(XML), None))?;
    same("presentStatus", number(&reply, 27), Some(0))?;
    let title = |bytes: Vec<u8>| {
        let root = catalogue::record::tree::read(&String::from_utf8_lossy(&bytes)).ok()?;
        Some(root.find("title")?.full_text().to_lowercase())
    };
    Ok(records(&reply, 28)
        .into_iter()
        .filter_map(|(_, bytes)| title(bytes))
        .collect())
}

pub(super) fn syntax(target: &Target, oid: &str, sound: fn(&[u8]) -> bool) -> Played {
    let mut peer = Peer::open(target)?;
    peer.search(target, "default")?;
    let reply = peer.ask(&present_request("default", 1, 1, Some(oid), Some("F")))?;
    if condition(&reply).is_some_and(|n| matches!(n, 238 | 239)) {
        return Err(Stop::NotOffered("this syntax".to_owned()));
    }
    let records = records(&reply, 28);
    let Some((given, bytes)) = records.first() else {
        return miss("no record");
    };
    same("the syntax", given.as_str(), oid)?;
    see(
        sound(bytes),
        format_args!("{:?}", String::from_utf8_lossy(bytes)),
    )
}

pub(super) fn terms(unit: &Item) -> Vec<(String, Option<i64>)> {
    let entries = unit
        .get(7)
        .and_then(|l| l.get(1))
        .map(Item::items)
        .unwrap_or_default();
    let term = |entry: &Item| Some((entry.get(45)?.text()?, entry.get(2).and_then(Item::integer)));
    entries.iter().filter_map(term).collect()
}

pub(super) fn sorted(target: &Target, relation: i64) -> Result<Vec<String>, Stop> {
    let mut peer = Peer::open(target)?;
    peer.needs(8, "sorting")?;
    let count = hits(&peer.search(target, "default")?)?.min(20);
    let reply = peer.ask(&sort_request("default", "sorted", relation, 4))?;
    same("the unit", reply.tag, 44)?;
    same("sortStatus", number(&reply, 3), Some(0))?;
    same(
        "the reference",
        reply.get(2).map(Item::bytes),
        Some(b"sort".to_vec()),
    )?;
    titles(&mut peer, "sorted", count)
}

/// A search request with the lengths of everything outermost in another form.
pub(super) fn in_form(target: &Target, indefinite: bool) -> Result<Vec<u8>, Stop> {
    let bytes = search_request(&Search::usual(target), None);
    // Its tag is one byte; then comes its length.
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

/// Fetches six records with a small message size; the sizes of messages, records in all, and the
/// response.
pub(super) fn fetch_small(
    target: &Target,
    options: &[usize],
) -> Result<(Peer, Vec<usize>, usize, Item), Stop> {
    let mut peer = Peer::init(target, &[0, 1, 2], options, 1024)?;
    let count = hits(&peer.search(target, "default")?)?.min(6);
    peer.say(&present_request("default", 1, count, Some(XML), None))?;
    let (mut sizes, mut all) = (Vec::new(), 0);
    loop {
        let Some(unit) = peer.hear()? else {
            return miss("the connection ended");
        };
        let last = unit.tag == 25;
        let mut w = Writer::default();
        w.item(&unit);
        sizes.push(w.finish().len());
        all += records(&unit, if last { 28 } else { 0 }).len();
        if last {
            return Ok((peer, sizes, all, unit));
        }
        same("the unit", unit.tag, 45)?;
    }
}
