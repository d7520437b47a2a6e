//! Operations over modelled slices: what pages add up to, whatever is missing, late or changed, and
//! what they cost.

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

/// Slices as their hosts hold them: titles, each in its slice's order.
#[derive(Debug, Clone)]
struct World {
    slices: Vec<Vec<String>>,
    missing: BTreeSet<u32>,
    fetched: u64,
}

fn record(title: &str) -> Record {
    Record::new(format!("<dc><title>{title}</title></dc>"))
}

impl World {
    fn new(slices: &[Vec<u16>], sorted: bool) -> World {
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
        World {
            slices,
            missing: BTreeSet::new(),
            fetched: 0,
        }
    }

    fn numbers(&self) -> Vec<u32> {
        (0..self.slices.len() as u32).collect()
    }

    fn answer(&mut self, plan: &Plan) -> Round {
        let Work::Page(page) = &plan.work else {
            panic!("no page")
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
        // The core gives no answer under the class's floor.
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
                Step::Ask(plan) => {
                    rounds += 1;
                    assert!(rounds <= BOUNDS.rounds, "an operation ends");
                    assert!(!plan.slices.is_empty(), "a query has parts");
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
            slices: self.numbers(),
            left_out: Vec::new(),
            facets: Vec::new(),
            owner: Owner::Shared,
            ttl: None,
        }
    }

    fn first(&mut self, sorted: bool, count: u64, sets: &mut SetTable) -> Outcome {
        let search = self.search(sorted, 1, count);
        self.run(Operation::search(search, BOUNDS), sets)
    }

    fn page(&mut self, set: SetId, start: u64, count: u64, sets: &mut SetTable) -> Outcome {
        let begun = Operation::page(set, (start, count), Schema::Dc, None, BOUNDS, sets, 0);
        self.run(begun, sets)
    }

    /// What a set without the missing slices holds, in order.
    fn expected(&self, sorted: bool) -> Vec<String> {
        let kept = self
            .numbers()
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

fn served(outcome: Outcome) -> Box<Page> {
    match outcome {
        Outcome::Page(page) => page,
        other => panic!("{other:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Pages read one behind the other are the whole set: none twice, none left out, in the merged
    /// order; and behind page one hardly a record is fetched that is not delivered.
    #[test]
    fn pages_add_up_to_the_set_and_cost_little_more_than_they_deliver(
        slices in prop::collection::vec(prop::collection::vec(0u16..300, 0..60), 1..7),
        sorted: bool,
        count in 1u64..30,
        late in 0u32..7,
    ) {
        let mut world = World::new(&slices, sorted);
        let mut sets = table();
        if world.slices.len() > 2 && (late as usize) < world.slices.len() {
            world.missing.insert(late);
        }
        let page = served(world.first(sorted, count, &mut sets));
        let expected = world.expected(sorted);
        prop_assert_eq!(page.count.hits as usize, expected.len());
        prop_assert_eq!(page.complete, world.missing.is_empty());
        prop_assert_eq!(page.diagnostics.iter().any(|f| f.kind == Kind::PARTIAL), !page.complete);
        let mut read = titles(&page);
        let mut next = page.next();
        let first_cost = world.fetched;
        let late_slice = std::mem::take(&mut world.missing);
        while let Some(start) = next {
            // The slice that was late is there again; the set stays what it was.
            let more = served(world.page(page.set, start, count, &mut sets));
            prop_assert!(!more.records.is_empty());
            read.extend(titles(&more));
            next = more.next();
        }
        world.missing = late_slice;
        prop_assert_eq!(&read, &expected);
        let delivered = expected.len().saturating_sub(count as usize) as u64;
        let fetched = world.fetched - first_cost;
        let slack = if sorted { 0 } else { world.slices.len() as u64 };
        // One record to check by for each slice that a page continues.
        prop_assert!(fetched <= delivered + delivered.div_ceil(count) + slack + 1, "{fetched} for {delivered}");
    }

    /// Whatever slices are lost while a page is fetched: it ends before the gap, and asking again
    /// goes on there.
    #[test]
    fn a_lost_slice_leaves_no_gap(
        slices in prop::collection::vec(prop::collection::vec(0u16..300, 0..40), 2..6),
        sorted: bool,
        count in 1u64..40,
        lost in prop::collection::vec(prop::option::of(0u32..6), 1..60),
    ) {
        let mut world = World::new(&slices, sorted);
        let mut sets = table();
        let page = served(world.first(sorted, 0, &mut sets));
        let expected = world.expected(sorted);
        let mut read: Vec<String> = Vec::new();
        let mut lost = lost.into_iter();
        while read.len() < expected.len() {
            world.missing = lost.next().flatten().into_iter().collect();
            let more = served(world.page(page.set, read.len() as u64 + 1, count, &mut sets));
            prop_assert!(!more.records.is_empty() || more.short.is_some(), "an empty page says why");
            read.extend(titles(&more));
        }
        prop_assert_eq!(&read, &expected);
    }

    /// A record that comes, goes or moves between two pages: the set says that it is gone, or the
    /// page is right.
    #[test]
    fn a_change_between_pages_is_never_passed_over(
        slices in prop::collection::vec(prop::collection::vec(0u16..300, 3..20), 1..5),
        count in 2u64..9,
        slice in 0usize..5,
        at in 0usize..20,
        kind in 0u8..3,
    ) {
        let mut world = World::new(&slices, false);
        let mut sets = table();
        let page = served(world.first(false, count, &mut sets));
        let before = world.expected(false);
        let slice = slice % world.slices.len();
        let titles_of = &mut world.slices[slice];
        let at = at % titles_of.len();
        match kind {
            0 => titles_of.insert(at, "new".to_owned()),
            1 => { titles_of.remove(at); }
            _ => titles_of.rotate_left(1),
        }
        let Some(start) = page.next() else { return Ok(()) };
        match world.page(page.set, start, count, &mut sets) {
            Outcome::Fault(fault) => prop_assert_eq!(fault.kind, Kind::SET_GONE),
            Outcome::Page(more) => {
                // It read slices that have not changed, or (moved, unseen before) ones never
                // delivered from.
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
fn a_continued_search_whose_set_has_changed_begins_anew_and_says_so() {
    let mut world = World::new(&[vec![1, 2, 3, 4, 5], vec![6, 7]], false);
    let mut sets = table();
    let page = served(world.first(false, 2, &mut sets));
    world.slices[0].remove(0);
    let again = world.search(false, 3, 2);
    let begun = Operation::page(
        page.set,
        (3, 2),
        Schema::Dc,
        Some(again),
        BOUNDS,
        &mut sets,
        0,
    );
    let more = served(world.run(begun, &mut sets));
    assert!(more.replaced && more.set != page.set && more.token != page.token);
    assert_eq!((titles(&more).len(), more.count.hits), (2, 6));
}

#[test]
fn a_host_that_sorts_otherwise_is_told_of() {
    let mut world = World::new(&[vec![1, 5, 9], vec![2, 3]], true);
    world.slices[0].reverse();
    let page = served(world.first(true, 5, &mut table()));
    assert!(
        page.diagnostics
            .iter()
            .any(|f| f.kind == Kind::SORT && f.about.contains("slice 0")),
        "{:?}",
        page.diagnostics
    );
    assert_eq!(page.records.len(), 5, "and nothing is lost by it");
}

#[test]
fn too_few_slices_are_no_answer_even_if_the_core_took_refusals_for_answers() {
    let world = World::new(&[vec![1], vec![2], vec![3]], false);
    let mut sets = table();
    let bounds = Bounds {
        floor: 0.6,
        ..BOUNDS
    };
    let (mut operation, _) = Operation::search(world.search(false, 1, 1), bounds);
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
    // With the floor kept, the refusal is told beside the partial result.
    let (mut operation, _) = Operation::search(world.search(false, 1, 0), bounds);
    let round = Round::Served(vec![(0, found.clone()), (1, found), (2, refused())]);
    let Step::Done(outcome) = operation.answered(round, &mut sets, 0) else {
        panic!("one round")
    };
    let page = served(outcome);
    let kinds: Vec<Kind> = page.diagnostics.iter().map(|f| f.kind).collect();
    assert_eq!(
        (page.complete, kinds),
        (false, vec![Kind::PARTIAL, Kind::INDEX])
    );
}

/// What a page costs at positions 1, 41 and 491 of six slices; the operators' page quotes it.
#[test]
fn a_far_page_costs_what_it_delivers() {
    for (sorted, least) in [(false, [20, 11, 10]), (true, [27, 100, 500])] {
        let slices: Vec<Vec<u16>> = (0..6u16)
            .map(|s| (0..200u16).map(|n| n * 7 % 211 * 6 + s).collect())
            .collect();
        let mut world = World::new(&slices, sorted);
        let mut sets = table();
        let page = served(world.first(sorted, 10, &mut sets));
        let mut costs = vec![world.fetched];
        for start in [41, 491] {
            let before = world.fetched;
            let more = served(world.page(page.set, start, 10, &mut sets));
            assert_eq!(more.records.len(), 10);
            costs.push(world.fetched - before);
        }
        for (cost, least) in costs.iter().zip(least) {
            assert!(*cost <= least, "sorted {sorted}: {costs:?}");
        }
    }
}
