//! Tests of `host::z3950`.

use super::*;
use crate::ber;
use crate::record::Record;
use crate::sort::SortKey;

const BOUNDS: HostBounds = HostBounds {
    local_sort: 6,
    message: 1 << 16,
    named_sets: 2,
    set_age: 100,
    exchanges: 12,
};

/// A simulated host with its titles and capabilities.
struct SimulatedHost {
    titles: Vec<&'static str>,
    abilities: Vec<Ability>,
    syntax: Syntax,
    max_records: usize,
    sets: std::collections::BTreeMap<String, Vec<&'static str>>,
    received_tags: Vec<u32>,
    sorts: bool,
}

impl SimulatedHost {
    fn new(titles: &[&'static str], abilities: &[Ability]) -> SimulatedHost {
        SimulatedHost {
            titles: titles.to_vec(),
            abilities: abilities.to_vec(),
            syntax: Syntax::Xml,
            max_records: 100,
            sets: Default::default(),
            received_tags: Vec::new(),
            sorts: true,
        }
    }

    fn records(&self, w: &mut ber::Writer, titles: &[&str]) {
        let record = |t: &&str| {
            let record = Record::new(format!("<dc><title>{t}</title></dc>"));
            record.to_bytes(self.syntax, Schema::Dc, false).unwrap()
        };
        let records: Vec<Vec<u8>> = titles.iter().map(record).collect();
        records::write_all(w, "d", self.syntax, &records);
    }

    fn answer(&mut self, unit: &Item) -> Vec<u8> {
        self.received_tags.push(unit.tag);
        let wrong_syntax = unit
            .get(tag::SYNTAX)
            .is_some_and(|s| s.oid().as_deref() != Some(self.syntax.oid()));
        let diagnostic = |w: &mut ber::Writer, kind: Kind| {
            w.inside(tag::DIAGNOSTIC, |d| z3950::write_fault(d, &kind.of("")));
        };
        let text = |tag| unit.get(tag).and_then(Item::text).unwrap_or_default();
        let number = |tag| unit.get(tag).and_then(Item::integer).unwrap_or(0) as usize;
        match unit.tag {
            tag::INIT_REQUEST => z3950::unit(tag::INIT_RESPONSE, None, |w| {
                init::write_negotiation(w, true, Abilities::of(&self.abilities), 1000, 1000);
                w.boolean(tag::RESULT, true);
            }),
            tag::SEARCH_REQUEST => {
                let name = text(tag::SET_NAME);
                assert!(
                    self.abilities.contains(&Ability::NamedResultSets) || name == "default",
                    "{name}"
                );
                self.sets.insert(name, self.titles.clone());
                let included = number(tag::MEDIUM_SET)
                    .min(self.titles.len())
                    .min(self.max_records);
                z3950::unit(tag::SEARCH_RESPONSE, None, |w| {
                    w.integer(tag::RESULT_COUNT, self.titles.len() as i64);
                    w.boolean(tag::SEARCH_STATUS, true);
                    if included > 0 && wrong_syntax {
                        diagnostic(w, Kind::RECORD_SYNTAX);
                    } else {
                        self.records(w, &self.titles[..included]);
                    }
                })
            }
            tag::SORT_REQUEST => {
                let set = self.sets.get_mut(&text(4)).expect("a set");
                if self.sorts {
                    set.sort_unstable();
                }
                let status = if self.sorts {
                    sort::SortStatus::Success
                } else {
                    sort::SortStatus::Failure
                };
                z3950::unit(tag::SORT_RESPONSE, None, |w| {
                    sort::write_response(w, status, None)
                })
            }
            tag::PRESENT_REQUEST => z3950::unit(tag::PRESENT_RESPONSE, None, |w| {
                let Some(set) = self.sets.get(&text(tag::SET_ID)) else {
                    return diagnostic(w, Kind::NO_SET);
                };
                let (from, count) = (
                    number(tag::START) - 1,
                    number(tag::REQUESTED).min(self.max_records),
                );
                match set.get(from..(from + count).min(set.len())) {
                    _ if wrong_syntax => diagnostic(w, Kind::RECORD_SYNTAX),
                    Some(titles) => self.records(w, titles),
                    None => diagnostic(w, Kind::RANGE),
                }
            }),
            other => panic!("unexpected data unit {other}"),
        }
    }
}

struct TestSession {
    inner: Session,
    capabilities: HostCapabilities,
    now: Time,
}

impl TestSession {
    fn open(host: &mut SimulatedHost) -> TestSession {
        let mut session = TestSession {
            inner: Session::default(),
            capabilities: HostCapabilities::default(),
            now: 0,
        };
        let init_request = ber::read(&mut init_request(&BOUNDS), 1 << 16, 32)
            .unwrap()
            .expect("a unit");
        let welcome = ber::read(&mut host.answer(&init_request), 1 << 16, 32)
            .unwrap()
            .expect("a unit");
        let receive = session
            .inner
            .receive(&welcome, &BOUNDS, &mut session.capabilities, 0);
        assert_eq!(receive, Ok(HostEvent::Opened));
        host.received_tags.clear();
        session
    }

    fn page(
        &mut self,
        host: &mut SimulatedHost,
        sort: bool,
        fresh: bool,
        offset: u64,
        count: u32,
    ) -> Next<Vec<u8>> {
        let work = Work::Page(PageWork {
            query: "cql.serverChoice = \"moon\"".into(),
            sort: if sort {
                vec![SortKey::named("title").unwrap()]
            } else {
                Vec::new()
            },
            schema: Schema::Dc,
            fresh,
            ranges: vec![Range {
                slice: 0,
                offset,
                count,
            }],
            facets: Vec::new(),
        });
        let mut next = self
            .inner
            .begin(&work, 0, "d", &BOUNDS, &self.capabilities, self.now);
        while let Next::Send(bytes) = next {
            let unit = ber::read(&mut bytes.clone(), 1 << 16, 32)
                .unwrap()
                .expect("a unit");
            let reply = ber::read(&mut host.answer(&unit), 1 << 16, 32)
                .unwrap()
                .expect("a unit");
            next = match self
                .inner
                .receive(&reply, &BOUNDS, &mut self.capabilities, self.now)
            {
                Ok(HostEvent::Next(next)) => next,
                other => panic!("{other:?}"),
            };
        }
        next
    }

    fn titles(
        &mut self,
        host: &mut SimulatedHost,
        sort: bool,
        fresh: bool,
        offset: u64,
        count: u32,
    ) -> (u64, String) {
        match self.page(host, sort, fresh, offset, count) {
            Next::Done(WorkResult::Found(f)) => {
                let titles: Vec<String> = f
                    .records
                    .iter()
                    .filter_map(|r| r.value("dc.title"))
                    .collect();
                (f.hits, titles.join(""))
            }
            other => panic!("{other:?}"),
        }
    }
}

const ALL: &[Ability] = &[
    Ability::Search,
    Ability::Present,
    Ability::Sort,
    Ability::NamedResultSets,
];

#[test]
fn reuses_host_sets_and_minimizes_exchanges() {
    let mut host = SimulatedHost::new(&["c", "a", "b", "e", "d"], ALL);
    let mut session = TestSession::open(&mut host);
    assert_eq!(
        session.titles(&mut host, false, true, 0, 2),
        (5, "ca".into())
    );
    assert_eq!(
        session.titles(&mut host, false, false, 2, 2),
        (5, "be".into())
    );
    assert_eq!(
        session.titles(&mut host, true, true, 1, 3),
        (5, "bcd".into())
    );
    assert_eq!(
        session.titles(&mut host, false, false, 4, 9),
        (5, "d".into()),
        "the host still has both sets"
    );
    let (s, p, o) = (tag::SEARCH_REQUEST, tag::PRESENT_REQUEST, tag::SORT_REQUEST);
    assert_eq!(host.received_tags, [s, p, s, o, p, p]);
    session.now = 100;
    session.titles(&mut host, false, false, 0, 1);
    assert_eq!(
        host.received_tags.last(),
        Some(&s),
        "an old set is searched again"
    );
}

#[test]
fn works_around_missing_named_sets_sorting_xml_and_small_responses() {
    let mut host = SimulatedHost::new(
        &["c", "a", "b", "e", "d"],
        &[Ability::Search, Ability::Present],
    );
    host.syntax = Syntax::Usmarc;
    host.max_records = 2;
    let mut session = TestSession::open(&mut host);
    assert_eq!(
        session.titles(&mut host, true, true, 1, 3),
        (5, "bcd".into())
    );
    assert_eq!(
        session.titles(&mut host, false, true, 1, 3),
        (5, "abe".into())
    );
    assert_eq!(session.capabilities.no_syntax, [Syntax::Xml]);
    // A host that offers sorting but fails to sort.
    let mut host = SimulatedHost::new(&["c", "a", "b"], ALL);
    host.sorts = false;
    let mut session = TestSession::open(&mut host);
    assert_eq!(
        session.titles(&mut host, true, true, 0, 3),
        (3, "abc".into())
    );
    assert!(session.capabilities.no_sort);
    let mut many = SimulatedHost::new(
        &["g", "f", "e", "d", "c", "b", "a"],
        &[Ability::Search, Ability::Present],
    );
    let mut session = TestSession::open(&mut many);
    match session.page(&mut many, true, true, 0, 3) {
        Next::Done(WorkResult::Refused(fault)) => assert_eq!(fault.kind, Kind::SORT_TOO_MANY),
        other => panic!("{other:?}"),
    }
}

#[test]
fn repeats_search_when_host_dropped_the_set() {
    let mut host = SimulatedHost::new(&["c", "a", "b"], ALL);
    let mut session = TestSession::open(&mut host);
    session.titles(&mut host, false, true, 0, 1);
    host.sets.clear();
    assert_eq!(
        session.titles(&mut host, false, false, 1, 2),
        (3, "ab".into())
    );
}
