//! Runs a client's operation as a sequence of rounds: which slices receive which request, and when
//! the operation is complete.
//!
//! Each round is one query to the dispatch core, with its own parts, class and final answer. An
//! operation ends in exactly one [`Outcome`], after at most [`Bounds::rounds`] rounds.

mod page_assembly;

use crate::cql::{Clause, Node};
use crate::fault::{Fault, Kind};
use crate::merge::{self, Count, FacetRequest, MergedFacet, Row, Term};
use crate::record::{Record, Schema};
use crate::sets::{Changed, Owner, ResultSet, SetId, SetTable, Time};
use crate::sort::SortKey;
use crate::work::{Found, PageWork, ScanWork, Work, WorkResult};
use page_assembly::{PageAssembly, PageError, add_result, extend_order, first_plan, missing_rows};

/// Tolerance for floating-point error when a fraction of slices is compared with the floor.
const ROUNDING: f64 = 0.0001;

/// Limits of an operation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The class's floor: the smallest fraction of slices whose results make an answer.
    pub floor: f64,
    /// Maximum records that one part requests.
    pub per_part: u32,
    /// Maximum records of one page.
    pub page: u64,
    /// Highest readable position of a sorted set.
    pub reach: u64,
    /// Maximum rounds of one operation.
    pub rounds: u32,
}

/// One round: a query to the dispatch core with one part per slice.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The work sent in every part.
    pub work: Work,
    /// The slices to query.
    pub slices: Vec<u32>,
}

/// The result of a round.
#[derive(Debug, Clone, PartialEq)]
pub enum Round {
    /// The result of each slice that answered.
    Served(Vec<(u32, WorkResult)>),
    /// Rejected before it ran, so a retry is safe.
    Refused {
        /// Suggested delay before a retry; 0 if there is none.
        hold_off: Time,
    },
    /// The round failed.
    Failed(FailureReason),
}

/// Why an operation or a round failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureReason {
    /// The deadline passed.
    TimeUp,
    /// The dispatch module abandoned the request, or too few slices answered.
    GivenUp,
}

/// The next step of an operation.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Run another round.
    Query(Plan),
    /// The operation is complete.
    Done(Outcome),
}

/// The result of an operation.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A result set and some of its records.
    Page(Box<Page>),
    /// The terms of a scan.
    Scan(Scanned),
    /// Rejected before it ran, so a retry is safe.
    Refused {
        /// Suggested delay before a retry; 0 if there is none.
        hold_off: Time,
    },
    /// The operation failed.
    Failed(FailureReason),
    /// The request cannot be served.
    Fault(Fault),
}

/// A result set and some of its records.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The result set.
    pub set: SetId,
    /// The result set's identifier for SRU clients.
    pub token: String,
    /// The number of hits.
    pub count: Count,
    /// Whether the set includes every slice.
    pub complete: bool,
    /// The position of the first record, from 1.
    pub start: u64,
    /// Consecutive records from `start`, without gaps.
    pub records: Vec<Record>,
    /// The number of records that the page should have.
    pub wanted: u64,
    /// Why the page has fewer records than wanted.
    pub short: Option<ShortReason>,
    /// Whether this set replaces one whose slices have changed.
    pub replaced: bool,
    /// Further diagnostics for the client.
    pub diagnostics: Vec<Fault>,
    /// The merged facets.
    pub facets: Vec<MergedFacet>,
}

impl Page {
    /// The position after the last record, if the set has one.
    pub fn next(&self) -> Option<u64> {
        let next = self.start + self.records.len() as u64;
        (next <= self.count.hits).then_some(next)
    }
}

/// Why a page has fewer records than wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShortReason {
    /// Rejected before it ran, so a retry is safe.
    Refused {
        /// Suggested delay before a retry; 0 if there is none.
        hold_off: Time,
    },
    /// The round failed, or a slice did not answer.
    Failed(FailureReason),
    /// The remaining records are beyond the positions that one operation can read.
    Reach,
}

/// The terms of a scan.
#[derive(Debug, Clone, PartialEq)]
pub struct Scanned {
    /// The terms in index order.
    pub terms: Vec<Term>,
    /// Position of the starting point in the list, from 1.
    pub position: u64,
    /// Whether every slice answered.
    pub complete: bool,
    /// Further diagnostics for the client.
    pub diagnostics: Vec<Fault>,
}

/// How many records a search should return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Want {
    /// A fixed number.
    Count(u64),
    /// The Z39.50 bounds: all records of a small set, none of a large set, and a fixed number of
    /// any other set.
    Sized {
        /// Most hits of a small set (small-set-upper-bound).
        small: u64,
        /// Fewest hits of a large set (large-set-lower-bound).
        large: u64,
        /// Records of a set between the two (medium-set-present-number).
        medium: u64,
    },
}

impl Want {
    /// The largest number of records that any hit count can lead to.
    fn max_records(self) -> u64 {
        match self {
            Want::Count(n) => n,
            Want::Sized {
                small,
                large,
                medium,
            } => small.max(if large > 1 { medium } else { 0 }),
        }
    }

    /// The number of records for a set with `hits` hits.
    pub fn record_count(self, hits: u64) -> u64 {
        match self {
            Want::Count(n) => n,
            Want::Sized { small, .. } if hits <= small => hits,
            Want::Sized { large, .. } if hits >= large => 0,
            Want::Sized { medium, .. } => medium.min(hits),
        }
    }
}

/// A search request.
#[derive(Debug, Clone, PartialEq)]
pub struct Search {
    /// The query, with references to result sets already resolved.
    pub query: Node,
    /// The sort keys; if empty, the slices follow one another, each in its own order.
    pub sort: Vec<SortKey>,
    /// The requested record schema.
    pub schema: Schema,
    /// The first requested position, from 1.
    pub start: u64,
    /// How many records to return.
    pub want: Want,
    /// The slices to query.
    pub slices: Vec<u32>,
    /// Slices to skip, because a result set named in the query lacks them.
    pub left_out: Vec<u32>,
    /// The requested facets.
    pub facets: Vec<FacetRequest>,
    /// The owner of the new result set.
    pub owner: Owner,
    /// The requested lifetime of the result set.
    pub ttl: Option<Time>,
}

#[derive(Debug, Clone, PartialEq)]
enum State {
    Searching {
        search: Search,
        replaced: bool,
    },
    PageAssembly(PageAssembly),
    Scanning {
        number: u32,
        position: u32,
        /// The term at which the scan starts.
        start_term: String,
        slices: Vec<u32>,
    },
}

/// A running operation.
#[derive(Debug, Clone, PartialEq)]
pub struct Operation {
    bounds: Bounds,
    rounds: u32,
    state: State,
}

impl Operation {
    /// Starts a search.
    pub fn search(search: Search, bounds: Bounds) -> (Operation, Step) {
        let step = Step::Query(first_plan(&search, &bounds));
        (
            Operation {
                bounds,
                rounds: 1,
                state: State::Searching {
                    search,
                    replaced: false,
                },
            },
            step,
        )
    }

    /// Starts to fetch records of a set. If the set has changed, the operation repeats the search
    /// in `repeat_search`; without one it ends with the diagnostic that the set is gone.
    pub fn page(
        set: SetId,
        (start, count): (u64, u64),
        schema: Schema,
        repeat_search: Option<Search>,
        bounds: Bounds,
        sets: &mut SetTable,
        now: Time,
    ) -> (Operation, Step) {
        let hits = sets.get(set, now).map_or(0, |s| s.count().hits);
        let available = hits.saturating_add(1).saturating_sub(start.max(1));
        let wanted = count.min(available);
        let page_assembly = PageAssembly {
            set,
            start,
            wanted,
            schema,
            rows: vec![None; wanted.min(bounds.page) as usize],
            requested: Vec::new(),
            extends_order: false,
            failed_slices: Vec::new(),
            short: None,
            replaced: false,
            diagnostics: Vec::new(),
            facets: Vec::new(),
            repeat_search,
        };
        let mut operation = Operation {
            bounds,
            rounds: 0,
            state: State::PageAssembly(page_assembly),
        };
        let step = operation.continue_page(sets, now);
        (operation, step)
    }

    /// Starts a scan.
    pub fn scan(
        clause: &Clause,
        number: u32,
        position: u32,
        slices: Vec<u32>,
        bounds: Bounds,
    ) -> (Operation, Step) {
        let work = Work::Scan(ScanWork {
            clause: Node::Clause(clause.clone()).to_string(),
            number,
            position,
        });
        let step = Step::Query(Plan {
            work,
            slices: slices.clone(),
        });
        let start_term = crate::cql::term::parse(&clause.term).plain();
        (
            Operation {
                bounds,
                rounds: 1,
                state: State::Scanning {
                    number,
                    position,
                    start_term,
                    slices,
                },
            },
            step,
        )
    }

    /// Processes the result of a round and returns the next step.
    pub fn answered(&mut self, round: Round, sets: &mut SetTable, now: Time) -> Step {
        match &self.state {
            State::Searching { .. } => self.search_answered(round, sets, now),
            State::PageAssembly(_) => self.page_answered(round, sets, now),
            State::Scanning { .. } => self.scan_answered(round),
        }
    }

    fn search_answered(&mut self, round: Round, sets: &mut SetTable, now: Time) -> Step {
        let State::Searching { search, replaced } = &self.state else {
            return failed();
        };
        let (search, replaced) = (search.clone(), *replaced);
        let values = match round {
            Round::Served(values) => values,
            Round::Refused { hold_off } => return Step::Done(Outcome::Refused { hold_off }),
            Round::Failed(reason) => return Step::Done(Outcome::Failed(reason)),
        };
        let mut found: Vec<(u32, Found)> = Vec::new();
        let mut faults: Vec<(u32, Fault)> = Vec::new();
        for (slice, result) in values {
            match result {
                WorkResult::Found(result) => found.push((slice, result)),
                WorkResult::Refused(fault) => faults.push((slice, fault)),
                WorkResult::Scanned(_) => {}
            }
        }
        if let Some(step) =
            below_floor(found.len(), search.slices.len(), &faults, self.bounds.floor)
        {
            return step;
        }
        let requested: Vec<u32> = search
            .slices
            .iter()
            .chain(&search.left_out)
            .copied()
            .collect();
        let mut set = ResultSet::new(
            search.query.clone(),
            search.sort.clone(),
            &requested,
            &found,
            now,
        );
        let mut diagnostics = diagnostics_of(&set.missing, faults);
        let lists: Vec<_> = found.iter().map(|(_, f)| f.facets.clone()).collect();
        let facets = merged_facets(
            &search.facets,
            &lists,
            !set.missing.is_empty(),
            &mut diagnostics,
        );
        let hits = set.count().hits;
        let wanted = search
            .want
            .record_count(hits)
            .min((hits + 1).saturating_sub(search.start));
        let mut rows: Vec<Option<Record>> = vec![None; wanted.min(self.bounds.page) as usize];
        // A search response already contains the first records of each slice.
        for (slice, result) in found {
            let Some(slice_index) = set.slices.iter().position(|s| s.slice == slice) else {
                continue;
            };
            if let Some(merged) = &mut set.merged {
                for record in result.records {
                    match Row::new(record, &search.sort) {
                        Some(row) => merged.sources[slice_index].buffered.push_back(row),
                        None => return Step::Done(Outcome::Fault(Kind::SORT_MISSING.of(""))),
                    }
                }
            } else {
                let hits_before: u64 = set.slices[..slice_index].iter().map(|s| s.hits).sum();
                let mut last = None;
                for (offset, record) in (0u64..).zip(result.records) {
                    let slot = (hits_before + offset + 1)
                        .checked_sub(search.start)
                        .map(|s| s as usize);
                    if let Some(row) = slot.and_then(|s| rows.get_mut(s)) {
                        last = Some(offset);
                        *row = Some(record);
                    }
                }
                // The next page is checked only against the last record, so only that one is parsed
                // for its fingerprint.
                if let Some(offset) = last
                    && let Some(Some(record)) =
                        rows.get((hits_before + offset + 1 - search.start) as usize)
                {
                    set.record_delivered(slice_index, offset, record);
                }
            }
        }
        let id = sets.insert(set, search.owner, search.ttl, now);
        self.state = State::PageAssembly(PageAssembly {
            set: id,
            start: search.start,
            wanted,
            schema: search.schema,
            rows,
            requested: Vec::new(),
            extends_order: false,
            failed_slices: Vec::new(),
            short: None,
            replaced,
            diagnostics,
            facets,
            repeat_search: Some(search),
        });
        self.continue_page(sets, now)
    }

    /// Requests the rows that the page lacks, or completes the operation.
    fn continue_page(&mut self, sets: &mut SetTable, now: Time) -> Step {
        let State::PageAssembly(page) = &mut self.state else {
            return failed();
        };
        let Some(set) = sets.get(page.set, now) else {
            return Step::Done(Outcome::Fault(
                Kind::SET_GONE.of("the result set was evicted"),
            ));
        };
        let mut plan = None;
        if page.short.is_none() && page.rows.iter().any(Option::is_none) {
            plan = match extend_order(page, set, &self.bounds) {
                Ok(plan) => plan.or_else(|| missing_rows(page, set, &self.bounds)),
                Err(fault) => return Step::Done(Outcome::Fault(fault)),
            };
        }
        let query = set.query.to_string();
        let sort = set.sort.clone();
        let count = set.count();
        let (complete, token) = (set.missing.is_empty(), set.token.clone());
        let disorder = set.merged.as_ref().and_then(|m| m.disorder);
        sets.remeasure(page.set);
        if let Some(ranges) = plan {
            if self.rounds < self.bounds.rounds {
                self.rounds += 1;
                let slices = ranges.iter().map(|r| r.slice).collect();
                let facets = Vec::new();
                let work = PageWork {
                    query,
                    sort,
                    schema: page.schema,
                    fresh: false,
                    ranges,
                    facets,
                };
                return Step::Query(Plan {
                    work: Work::Page(work),
                    slices,
                });
            }
            page.short = Some(ShortReason::Reach);
        }
        if let Some(slice) = disorder {
            page.diagnostics.push(Kind::SORT.of(format!(
                "the host of slice {slice} returned records out of order"
            )));
        }
        let mut records = Vec::new();
        for row in std::mem::take(&mut page.rows) {
            // Records after a gap are not delivered: clients would take them for the missing ones.
            let Some(record) = row else { break };
            records.push(record);
        }
        if (records.len() as u64) < page.wanted && page.short.is_none() {
            page.short = Some(ShortReason::Reach);
        }
        Step::Done(Outcome::Page(Box::new(Page {
            set: page.set,
            token,
            count,
            complete,
            start: page.start,
            records,
            wanted: page.wanted,
            short: page.short,
            replaced: page.replaced,
            diagnostics: std::mem::take(&mut page.diagnostics),
            facets: std::mem::take(&mut page.facets),
        })))
    }

    fn page_answered(&mut self, round: Round, sets: &mut SetTable, now: Time) -> Step {
        let State::PageAssembly(page) = &mut self.state else {
            return failed();
        };
        let values = match round {
            Round::Served(values) => values,
            // The records received so far remain valid.
            Round::Refused { hold_off } => {
                page.short = Some(ShortReason::Refused { hold_off });
                return self.continue_page(sets, now);
            }
            Round::Failed(reason) => {
                page.short = Some(ShortReason::Failed(reason));
                return self.continue_page(sets, now);
            }
        };
        let Some(set) = sets.get(page.set, now) else {
            return Step::Done(Outcome::Fault(
                Kind::SET_GONE.of("the result set was evicted"),
            ));
        };
        let mut results: Vec<(u32, WorkResult)> = values;
        for range in std::mem::take(&mut page.requested) {
            let index = results.iter().position(|(slice, _)| *slice == range.slice);
            let added = match index.map(|index| results.swap_remove(index).1) {
                Some(WorkResult::Found(found)) => add_result(page, set, &range, found),
                Some(WorkResult::Refused(fault)) => {
                    page.diagnostics.push(
                        fault
                            .kind
                            .of(format!("slice {}: {}", range.slice, fault.about)),
                    );
                    page.failed_slices.push(range.slice);
                    Ok(())
                }
                _ => {
                    page.failed_slices.push(range.slice);
                    Ok(())
                }
            };
            match added {
                Ok(()) => {}
                Err(PageError::Fault(fault)) => return Step::Done(Outcome::Fault(fault)),
                Err(PageError::Changed(Changed { slice })) => {
                    return self.restart_search(slice, sets);
                }
            }
        }
        if !page.failed_slices.is_empty() {
            page.short = Some(ShortReason::Failed(FailureReason::GivenUp));
        }
        self.continue_page(sets, now)
    }

    /// Handles a changed set. Its positions are no longer valid, so the search is repeated if
    /// possible.
    fn restart_search(&mut self, slice: u32, sets: &mut SetTable) -> Step {
        let State::PageAssembly(page) = &mut self.state else {
            return failed();
        };
        sets.remove(page.set);
        match page.repeat_search.take() {
            Some(search) if self.rounds < self.bounds.rounds => {
                self.rounds += 1;
                let step = Step::Query(first_plan(&search, &self.bounds));
                self.state = State::Searching {
                    search,
                    replaced: true,
                };
                step
            }
            _ => Step::Done(Outcome::Fault(
                Kind::SET_GONE.of(format!("slice {slice} has changed")),
            )),
        }
    }

    fn scan_answered(&mut self, round: Round) -> Step {
        let State::Scanning {
            number,
            position,
            start_term,
            slices,
        } = &self.state
        else {
            return failed();
        };
        let values = match round {
            Round::Served(values) => values,
            Round::Refused { hold_off } => return Step::Done(Outcome::Refused { hold_off }),
            Round::Failed(reason) => return Step::Done(Outcome::Failed(reason)),
        };
        let (mut lists, mut faults, mut missing) = (Vec::new(), Vec::new(), slices.clone());
        for (slice, result) in values {
            match result {
                WorkResult::Scanned(terms) => {
                    missing.retain(|s| *s != slice);
                    lists.push(terms);
                }
                WorkResult::Refused(fault) => faults.push((slice, fault)),
                WorkResult::Found(_) => {}
            }
        }
        if let Some(step) = below_floor(lists.len(), slices.len(), &faults, self.bounds.floor) {
            return step;
        }
        let (terms, position) =
            merge::scan(&lists, start_term, *number as usize, *position as usize);
        let diagnostics = diagnostics_of(&missing, faults);
        Step::Done(Outcome::Scan(Scanned {
            terms,
            position: position as u64,
            complete: missing.is_empty(),
            diagnostics,
        }))
    }
}

/// The step for a state that does not match the round, which does not occur.
fn failed() -> Step {
    Step::Done(Outcome::Failed(FailureReason::GivenUp))
}

/// Returns the final step of an operation that too few slices have answered for the class's floor.
/// The dispatch core may have counted a refusal as an answer, so its own check is not sufficient.
fn below_floor(
    answered: usize,
    requested: usize,
    faults: &[(u32, Fault)],
    floor: f64,
) -> Option<Step> {
    if answered > 0 && answered as f64 / requested.max(1) as f64 + ROUNDING >= floor {
        return None;
    }
    Some(Step::Done(match faults.first() {
        Some((_, fault)) => Outcome::Fault(fault.clone()),
        None => Outcome::Failed(FailureReason::GivenUp),
    }))
}

fn diagnostics_of(missing: &[u32], faults: Vec<(u32, Fault)>) -> Vec<Fault> {
    let mut diagnostics = Vec::new();
    if !missing.is_empty() {
        let numbers: Vec<String> = missing.iter().map(u32::to_string).collect();
        let plural = if missing.len() == 1 {
            "slice"
        } else {
            "slices"
        };
        diagnostics.push(Kind::PARTIAL.of(format!("without {plural} {}", numbers.join(", "))));
    }
    diagnostics.extend(
        faults
            .into_iter()
            .map(|(slice, f)| f.kind.of(format!("slice {slice}: {}", f.about))),
    );
    diagnostics
}

fn merged_facets(
    requests: &[FacetRequest],
    lists: &[Option<Vec<merge::Facet>>],
    missing: bool,
    diagnostics: &mut Vec<Fault>,
) -> Vec<MergedFacet> {
    let merge_one = |request: &FacetRequest| {
        let position = |list: &'_ Option<Vec<merge::Facet>>| {
            list.as_ref()
                .and_then(|facets| facets.iter().position(|f| f.index == request.index))
        };
        let per_slice: Vec<Option<&merge::Facet>> = lists
            .iter()
            .map(|l| position(l).and_then(|index| l.as_ref().map(|facets| &facets[index])))
            .collect();
        let mut merged = merge::facets(request, &per_slice);
        merged.exact &= !missing;
        merged
    };
    let merged: Vec<MergedFacet> = requests.iter().map(merge_one).collect();
    if lists.iter().any(Option::is_none) && !requests.is_empty() {
        diagnostics
            .push(Kind::FEATURE.of("facets: some hosts do not count them, so counts are too low"));
    }
    merged
}
