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

/// A modelled host: its titles, and what it can do.
struct Host {
    titles: Vec<&'static str>,
    abilities: Vec<Ability>,
    syntax: Syntax,
    most: usize,
    sets: std::collections::BTreeMap<String, Vec<&'static str>>,
    said: Vec<u32>,
    sorts: bool,
}

impl Host {
    fn new(titles: &[&'static str], abilities: &[Ability]) -> Host {
        Host {
            titles: titles.to_vec(),
            abilities: abilities.to_vec(),
            syntax: Syntax::Xml,
            most: 100,
            sets: Default::default(),
            said: Vec::new(),
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
        self.said.push(unit.tag);
        let wrong = unit
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
                let along = number(tag::MEDIUM_SET)
                    .min(self.titles.len())
                    .min(self.most);
                z3950::unit(tag::SEARCH_RESPONSE, None, |w| {
                    w.integer(tag::RESULT_COUNT, self.titles.len() as i64);
                    w.boolean(tag::SEARCH_STATUS, true);
                    if along > 0 && wrong {
                        diagnostic(w, Kind::RECORD_SYNTAX);
                    } else {
                        self.records(w, &self.titles[..along]);
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
                    number(tag::REQUESTED).min(self.most),
                );
                match set.get(from..(from + count).min(set.len())) {
                    _ if wrong => diagnostic(w, Kind::RECORD_SYNTAX),
                    Some(titles) => self.records(w, titles),
                    None => diagnostic(w, Kind::RANGE),
                }
            }),
            other => panic!("a data unit {other}"),
        }
    }
}

struct Play {
    session: Session,
    capabilities: HostCapabilities,
    now: Time,
}

impl Play {
    fn open(host: &mut Host) -> Play {
        let mut play = Play {
            session: Session::default(),
            capabilities: HostCapabilities::default(),
            now: 0,
        };
        let init_request = ber::read(&mut init_request(&BOUNDS), 1 << 16, 32)
            .unwrap()
            .expect("a unit");
        let welcome = ber::read(&mut host.answer(&init_request), 1 << 16, 32)
            .unwrap()
            .expect("a unit");
        let receive = play
            .session
            .receive(&welcome, &BOUNDS, &mut play.capabilities, 0);
        assert_eq!(receive, Ok(HostEvent::Opened));
        host.said.clear();
        play
    }

    fn page(
        &mut self,
        host: &mut Host,
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
            .session
            .begin(&work, 0, "d", &BOUNDS, &self.capabilities, self.now);
        while let Next::Send(bytes) = next {
            let unit = ber::read(&mut bytes.clone(), 1 << 16, 32)
                .unwrap()
                .expect("a unit");
            let reply = ber::read(&mut host.answer(&unit), 1 << 16, 32)
                .unwrap()
                .expect("a unit");
            next = match self
                .session
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
        host: &mut Host,
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
fn a_page_costs_one_exchange_where_it_can_and_a_set_is_used_again() {
    let mut host = Host::new(&["c", "a", "b", "e", "d"], ALL);
    let mut play = Play::open(&mut host);
    assert_eq!(play.titles(&mut host, false, true, 0, 2), (5, "ca".into()));
    assert_eq!(play.titles(&mut host, false, false, 2, 2), (5, "be".into()));
    assert_eq!(play.titles(&mut host, true, true, 1, 3), (5, "bcd".into()));
    assert_eq!(
        play.titles(&mut host, false, false, 4, 9),
        (5, "d".into()),
        "both sets are there"
    );
    let (s, p, o) = (tag::SEARCH_REQUEST, tag::PRESENT_REQUEST, tag::SORT_REQUEST);
    assert_eq!(host.said, [s, p, s, o, p, p]);
    play.now = 100;
    play.titles(&mut host, false, false, 0, 1);
    assert_eq!(host.said.last(), Some(&s), "an old set is searched anew");
}

#[test]
fn hosts_without_named_sets_sorting_xml_or_patience_are_asked_round_it() {
    let mut host = Host::new(
        &["c", "a", "b", "e", "d"],
        &[Ability::Search, Ability::Present],
    );
    host.syntax = Syntax::Usmarc;
    host.most = 2;
    let mut play = Play::open(&mut host);
    assert_eq!(play.titles(&mut host, true, true, 1, 3), (5, "bcd".into()));
    assert_eq!(play.titles(&mut host, false, true, 1, 3), (5, "abe".into()));
    assert_eq!(play.capabilities.no_syntax, [Syntax::Xml]);
    // One that says it sorts and then does not.
    let mut host = Host::new(&["c", "a", "b"], ALL);
    host.sorts = false;
    let mut play = Play::open(&mut host);
    assert_eq!(play.titles(&mut host, true, true, 0, 3), (3, "abc".into()));
    assert!(play.capabilities.no_sort);
    let mut many = Host::new(
        &["g", "f", "e", "d", "c", "b", "a"],
        &[Ability::Search, Ability::Present],
    );
    let mut play = Play::open(&mut many);
    match play.page(&mut many, true, true, 0, 3) {
        Next::Done(WorkResult::Refused(fault)) => assert_eq!(fault.kind, Kind::SORT_TOO_MANY),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_set_that_the_host_dropped_is_made_again() {
    let mut host = Host::new(&["c", "a", "b"], ALL);
    let mut play = Play::open(&mut host);
    play.titles(&mut host, false, true, 0, 1);
    host.sets.clear();
    assert_eq!(play.titles(&mut host, false, false, 1, 2), (3, "ab".into()));
}
