//! Operations on a simulated index: which records the pages contain when slices are missing, late
//! or changed, and how many records are fetched for them.

use catalogue::cql;
use catalogue::fault::Kind;
use catalogue::operation::{
    Bounds, FailureReason, Operation, Outcome, Page, Plan, Round, Search, Step, Want,
};
use catalogue::record::{Record, Schema};
use catalogue::sets::{Owner, SetBounds, SetId, SetTable};
use catalogue::sort::SortKey;
use catalogue::work::{Found, Work, WorkResult};
use proptest::prelude::*;
use std::collections::BTreeSet;

const BOUNDS: Bounds = Bounds {
    floor: 0.4,
    per_part: 50,
    page: 100,
    reach: 1000,
    rounds: 12,
};

/// A simulated index: the titles of each slice, in the order of its host.
#[derive(Debug, Clone)]
struct SimulatedIndex {
    slices: Vec<Vec<String>>,
    missing: BTreeSet<u32>,
    fetched: u64,
}

fn record(title: &str) -> Record {
    Record::new(format!("<dc><title>{title}</title></dc>"))
}

impl SimulatedIndex {
    fn new(slices: &[Vec<u16>], sorted: bool) -> SimulatedIndex {
        let titles = |(at, slice): (usize, &Vec<u16>)| {
            let mut titles: Vec<String> = slice
                .iter()
                .enumerate()
                .map(|(n, key)| format!("{key:05} {at}-{n:03}"))
                .collect();
            if sorted {
                titles.sort();
            }
            titles
        };
        let slices = slices.iter().enumerate().map(titles).collect();
        SimulatedIndex {
            slices,
            missing: BTreeSet::new(),
            fetched: 0,
        }
    }

    fn slice_numbers(&self) -> Vec<u32> {
        (0..self.slices.len() as u32).collect()
    }

    fn answer(&mut self, plan: &Plan) -> Round {
        let Work::Page(page) = &plan.work else {
            panic!("not a page request")
        };
        let mut values = Vec::new();
        for slice in &plan.slices {
            if self.missing.contains(slice) {
                continue;
            }
            let range = page.range(*slice);
            let titles = &self.slices[*slice as usize];
            let records: Vec<Record> = titles
                .iter()
                .skip(range.offset as usize)
                .take(range.count as usize)
                .map(|title| record(title))
                .collect();
            self.fetched += records.len() as u64;
            let found = Found {
                hits: titles.len() as u64,
                exact: true,
                records,
                ..Found::default()
            };
            values.push((*slice, WorkResult::Found(found)));
        }
        // The dispatch core returns no answer below the class's floor.
        if values.is_empty() || (values.len() as f64) < BOUNDS.floor * plan.slices.len() as f64 {
            return Round::Failed(FailureReason::GivenUp);
        }
        Round::Served(values)
    }

    fn run(
        &mut self,
        (mut operation, mut step): (Operation, Step),
        sets: &mut SetTable,
    ) -> Outcome {
        let mut rounds = 0;
        loop {
            match step {
                Step::Done(outcome) => return outcome,
                Step::Query(plan) => {
                    rounds += 1;
                    assert!(rounds <= BOUNDS.rounds, "too many rounds");
                    assert!(!plan.slices.is_empty(), "no slices in the plan");
                    let round = self.answer(&plan);
                    step = operation.answered(round, sets, 0);
                }
            }
        }
    }

    fn search(&self, sorted: bool, start: u64, count: u64) -> Search {
        Search {
            query: cql::parse("moon", 8).unwrap().root,
            sort: if sorted {
                vec![SortKey::named("title").unwrap()]
            } else {
                Vec::new()
            },
            schema: Schema::Dc,
            start,
            want: Want::Count(count),
            slices: self.slice_numbers(),
            left_out: Vec::new(),
            facets: Vec::new(),
            owner: Owner::Shared,
            ttl: None,
        }
    }

    fn first_page(&mut self, sorted: bool, count: u64, sets: &mut SetTable) -> Outcome {
        let search = self.search(sorted, 1, count);
        self.run(Operation::search(search, BOUNDS), sets)
    }

    fn page(&mut self, set: SetId, start: u64, count: u64, sets: &mut SetTable) -> Outcome {
        let started = Operation::page(set, (start, count), Schema::Dc, None, BOUNDS, sets, 0);
        self.run(started, sets)
    }

    /// The contents of a set without the missing slices, in order.
    fn expected(&self, sorted: bool) -> Vec<String> {
        let kept = self
            .slice_numbers()
            .into_iter()
            .filter(|s| !self.missing.contains(s));
        let mut all: Vec<String> = kept.flat_map(|s| self.slices[s as usize].clone()).collect();
        if sorted {
            all.sort();
        }
        all
    }
}

fn table() -> SetTable {
    SetTable::new(
        SetBounds {
            sets: 16,
            bytes: 1 << 22,
            ttl: 1000,
            deleted_tokens: 16,
        },
        1,
    )
}

fn titles(page: &Page) -> Vec<String> {
    page.records
        .iter()
        .map(|r| r.value("dc.title").unwrap())
        .collect()
}

fn expect_page(outcome: Outcome) -> Box<Page> {
    match outcome {
        Outcome::Page(page) => page,
        other => panic!("{other:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Consecutive pages contain each record of the set exactly once, in merged order. After the
    /// first page, hardly any record is fetched without being delivered.
    #[test]
    fn pages_cover_the_set_exactly_and_fetch_little_extra(
        slices in prop::collection::vec(prop::collection::vec(0u16..300, 0..60), 1..7),
        sorted: bool,
        count in 1u64..30,
        late in 0u32..7,
    ) {
        let mut index = SimulatedIndex::new(&slices, sorted);
        let mut sets = table();
        if index.slices.len() > 2 && (late as usize) < index.slices.len() {
            index.missing.insert(late);
        }
        let page = expect_page(index.first_page(sorted, count, &mut sets));
        let expected = index.expected(sorted);
        prop_assert_eq!(page.count.hits as usize, expected.len());
        prop_assert_eq!(page.complete, index.missing.is_empty());
        prop_assert_eq!(page.diagnostics.iter().any(|f| f.kind == Kind::PARTIAL), !page.complete);
        let mut read = titles(&page);
        let mut next = page.next();
        let first_cost = index.fetched;
        let late_slice = std::mem::take(&mut index.missing);
        while let Some(start) = next {
            // The missing slice is available again, but the set must not change.
            let more = expect_page(index.page(page.set, start, count, &mut sets));
            prop_assert!(!more.records.is_empty());
            read.extend(titles(&more));
            next = more.next();
        }
        index.missing = late_slice;
        prop_assert_eq!(&read, &expected);
        let delivered = expected.len().saturating_sub(count as usize) as u64;
        let fetched = index.fetched - first_cost;
        let slack = if sorted { 0 } else { index.slices.len() as u64 };
        // One extra record is fetched as a check for each slice that a page continues.
        prop_assert!(fetched <= delivered + delivered.div_ceil(count) + slack + 1, "{fetched} for {delivered}");
    }

    /// If slices fail while a page is fetched, the page ends before the gap, and the next request
    /// continues there.
    #[test]
    fn page_ends_before_a_failed_slice_and_resumes_there(
        slices in prop::collection::vec(prop::collection::vec(0u16..300, 0..40), 2..6),
        sorted: bool,
        count in 1u64..40,
        lost in prop::collection::vec(prop::option::of(0u32..6), 1..60),
    ) {
        let mut index = SimulatedIndex::new(&slices, sorted);
        let mut sets = table();
        let page = expect_page(index.first_page(sorted, 0, &mut sets));
        let expected = index.expected(sorted);
        let mut read: Vec<String> = Vec::new();
        let mut lost = lost.into_iter();
        while read.len() < expected.len() {
            index.missing = lost.next().flatten().into_iter().collect();
            let more = expect_page(index.page(page.set, read.len() as u64 + 1, count, &mut sets));
            prop_assert!(!more.records.is_empty() || more.short.is_some(), "empty page without a reason");
            read.extend(titles(&more));
        }
        prop_assert_eq!(&read, &expected);
    }

    /// A record is added, removed or moved between two pages. Either the set is reported as gone,
    /// or the page is correct.
    #[test]
    fn change_between_pages_is_detected_or_harmless(
        slices in prop::collection::vec(prop::collection::vec(0u16..300, 3..20), 1..5),
        count in 2u64..9,
        slice in 0usize..5,
        at in 0usize..20,
        kind in 0u8..3,
    ) {
        let mut index = SimulatedIndex::new(&slices, false);
        let mut sets = table();
        let page = expect_page(index.first_page(false, count, &mut sets));
        let before = index.expected(false);
        let slice = slice % index.slices.len();
        let titles_of = &mut index.slices[slice];
        let at = at % titles_of.len();
        match kind {
            0 => titles_of.insert(at, "new".to_owned()),
            1 => { titles_of.remove(at); }
            _ => titles_of.rotate_left(1),
        }
        let Some(start) = page.next() else { return Ok(()) };
        match index.page(page.set, start, count, &mut sets) {
            Outcome::Fault(fault) => prop_assert_eq!(fault.kind, Kind::SET_GONE),
            Outcome::Page(more) => {
                // The page read only unchanged slices, or records moved in a slice of which none
                // had been delivered, so the change could not be detected.
                let wanted: Vec<String> = before.iter().skip(start as usize - 1).take(count as usize).cloned().collect();
                let same = titles(&more) == wanted;
                let untouched = !titles(&page).iter().any(|t| t.contains(&format!(" {slice}-")));
                prop_assert!(same || untouched && kind == 2, "{:?} for {wanted:?}", titles(&more));
            }
            other => prop_assert!(false, "{other:?}"),
        }
    }
}

#[test]
fn continued_search_on_changed_set_is_repeated_and_marked() {
    let mut index = SimulatedIndex::new(&[vec![1, 2, 3, 4, 5], vec![6, 7]], false);
    let mut sets = table();
    let page = expect_page(index.first_page(false, 2, &mut sets));
    index.slices[0].remove(0);
    let repeat_search = index.search(false, 3, 2);
    let started = Operation::page(
        page.set,
        (3, 2),
        Schema::Dc,
        Some(repeat_search),
        BOUNDS,
        &mut sets,
        0,
    );
    let more = expect_page(index.run(started, &mut sets));
    assert!(more.replaced && more.set != page.set && more.token != page.token);
    assert_eq!((titles(&more).len(), more.count.hits), (2, 6));
}

#[test]
fn reports_host_that_sorts_differently() {
    let mut index = SimulatedIndex::new(&[vec![1, 5, 9], vec![2, 3]], true);
    index.slices[0].reverse();
    let page = expect_page(index.first_page(true, 5, &mut table()));
    assert!(
        page.diagnostics
            .iter()
            .any(|f| f.kind == Kind::SORT && f.about.contains("slice 0")),
        "{:?}",
        page.diagnostics
    );
    assert_eq!(page.records.len(), 5, "no record is lost");
}

#[test]
fn floor_is_enforced_when_refusals_were_counted_as_answers() {
    let index = SimulatedIndex::new(&[vec![1], vec![2], vec![3]], false);
    let mut sets = table();
    let bounds = Bounds {
        floor: 0.6,
        ..BOUNDS
    };
    let (mut operation, _) = Operation::search(index.search(false, 1, 1), bounds);
    let refused = || WorkResult::Refused(Kind::INDEX.of("title"));
    let found = WorkResult::Found(Found {
        hits: 1,
        exact: true,
        ..Found::default()
    });
    let round = Round::Served(vec![(0, found.clone()), (1, refused()), (2, refused())]);
    assert_eq!(
        operation.answered(round, &mut sets, 0),
        Step::Done(Outcome::Fault(Kind::INDEX.of("title")))
    );
    assert_eq!(sets.size().0, 0);
    // If the floor is met, the refusal is reported with the partial result.
    let (mut operation, _) = Operation::search(index.search(false, 1, 0), bounds);
    let round = Round::Served(vec![(0, found.clone()), (1, found), (2, refused())]);
    let Step::Done(outcome) = operation.answered(round, &mut sets, 0) else {
        panic!("more than one round")
    };
    let page = expect_page(outcome);
    let kinds: Vec<Kind> = page.diagnostics.iter().map(|f| f.kind).collect();
    assert_eq!(
        (page.complete, kinds),
        (false, vec![Kind::PARTIAL, Kind::INDEX])
    );
}

/// The number of records fetched for pages at positions 1, 41 and 491 of six slices, which the
/// operators' documentation quotes.
#[test]
fn records_fetched_for_near_and_far_pages_stay_bounded() {
    for (sorted, least) in [(false, [20, 11, 10]), (true, [27, 100, 500])] {
        let slices: Vec<Vec<u16>> = (0..6u16)
            .map(|s| (0..200u16).map(|n| n * 7 % 211 * 6 + s).collect())
            .collect();
        let mut index = SimulatedIndex::new(&slices, sorted);
        let mut sets = table();
        let page = expect_page(index.first_page(sorted, 10, &mut sets));
        let mut costs = vec![index.fetched];
        for start in [41, 491] {
            let before = index.fetched;
            let more = expect_page(index.page(page.set, start, 10, &mut sets));
            assert_eq!(more.records.len(), 10);
            costs.push(index.fetched - before);
        }
        for (cost, least) in costs.iter().zip(least) {
            assert!(*cost <= least, "sorted {sorted}: {costs:?}");
        }
    }
}
