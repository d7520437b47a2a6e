//! Merges the results of slices: record order, counts with their precision, term lists and facets.

use crate::record::Record;
use crate::sort::{self, SortKey, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The precision of a count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Precision {
    /// The count is exact.
    Exact,
    /// A host stopped counting, so there may be more.
    AtLeast,
    /// Slices are missing, so there may be more.
    Partial,
}

/// A count of hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// The number of hits.
    pub hits: u64,
    /// The precision of the number.
    pub precision: Precision,
}

/// Adds up the counts of the slices that answered; `missing` says whether others did not.
pub fn count(slices: impl IntoIterator<Item = (u64, bool)>, missing: bool) -> Count {
    let first = if missing {
        Precision::Partial
    } else {
        Precision::Exact
    };
    slices.into_iter().fold(
        Count {
            hits: 0,
            precision: first,
        },
        |sum, (hits, exact)| Count {
            hits: sum.hits.saturating_add(hits),
            precision: sum.precision.max(if exact {
                Precision::Exact
            } else {
                Precision::AtLeast
            }),
        },
    )
}

/// A record with its sort values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The record.
    pub record: Record,
    /// The record's value for each sort key.
    pub values: Vec<Value>,
}

impl Row {
    /// Creates a row; `None` if the record lacks a key that is mandatory.
    pub fn new(record: Record, keys: &[SortKey]) -> Option<Row> {
        let value = |key: &SortKey| sort::value(key, record.value(&key.index).as_deref());
        let values = keys.iter().map(value).collect::<Option<Vec<_>>>()?;
        Some(Row { record, values })
    }
}

/// The records of one slice, in the order its host returned them.
#[derive(Debug, Clone, Default)]
pub struct Source {
    /// Records fetched but not yet merged.
    pub buffered: VecDeque<Row>,
    /// Number of records already merged.
    pub merged_count: u64,
    /// Number of records in the slice.
    pub hits: u64,
    /// Sort values of the last merged record.
    last: Option<Vec<Value>>,
}

impl Source {
    /// A slice with `hits` records, none of which has been fetched.
    pub fn new(hits: u64) -> Source {
        Source {
            hits,
            ..Source::default()
        }
    }

    /// The number of records not yet fetched.
    pub fn unfetched(&self) -> u64 {
        self.hits
            .saturating_sub(self.merged_count + self.buffered.len() as u64)
    }

    /// The offset of the next record to fetch, from 0.
    pub fn next_offset(&self) -> u64 {
        self.merged_count + self.buffered.len() as u64
    }
}

/// The outcome of a merge step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeStep {
    /// The next record: the index of its slice, the row, and whether the slice's previous record
    /// should have come after it.
    Row(usize, Row, bool),
    /// More records of these slices are needed to determine the next one.
    NeedMore(Vec<usize>),
    /// All records have been merged.
    End,
}

/// Takes the next record in merged order. Ties are broken by slice, so that the order is
/// reproducible.
pub fn next_row(keys: &[SortKey], sources: &mut [Source]) -> MergeStep {
    let exhausted: Vec<usize> = (0..sources.len())
        .filter(|at| sources[*at].buffered.is_empty() && sources[*at].unfetched() > 0)
        .collect();
    if !exhausted.is_empty() {
        return MergeStep::NeedMore(exhausted);
    }
    let heads = sources
        .iter()
        .enumerate()
        .filter_map(|(at, s)| Some((at, s.buffered.front()?)));
    // `min_by` returns the first of equal elements.
    let first = heads
        .min_by(|a, b| sort::compare(keys, &a.1.values, &b.1.values))
        .map(|(at, _)| at);
    let Some(at) = first else {
        return MergeStep::End;
    };
    let source = &mut sources[at];
    let Some(row) = source.buffered.pop_front() else {
        return MergeStep::End;
    };
    source.merged_count += 1;
    let disorder = source
        .last
        .as_ref()
        .is_some_and(|last| sort::compare(keys, last, &row.values).is_gt());
    source.last = Some(row.values.clone());
    MergeStep::Row(at, row, disorder)
}

/// A term of an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// The term.
    pub text: String,
    /// Display form of the term, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub display: Option<String>,
    /// The number of records with the term.
    pub count: u64,
}

/// The term list of one slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// The terms in index order.
    pub terms: Vec<Term>,
    /// The host that returned the list.
    pub host: u32,
}

/// Merges the term lists of slices around a starting point. The result has `number` terms, and the
/// starting point or the first term after it is at `position`: from 1, with 0 for just before the
/// list and `number + 1` for just after it. Returns the terms and the actual position.
///
/// Every slice received the same request. A term among the first `number` of all is also among the
/// first `number` of each slice that contains it, so its count is correct for the slices that
/// answered.
pub fn scan(lists: &[Terms], seed: &str, number: usize, position: usize) -> (Vec<Term>, usize) {
    let seed = sort::fold(seed, false);
    let mut all: BTreeMap<String, Term> = BTreeMap::new();
    for term in lists.iter().flat_map(|list| &list.terms) {
        let entry = all.entry(sort::fold(&term.text, false));
        entry
            .and_modify(|t| t.count = t.count.saturating_add(term.count))
            .or_insert_with(|| term.clone());
    }
    let behind: Vec<Term> = all.split_off(&seed).into_values().collect();
    let before: Vec<Term> = all.into_values().collect();
    let wanted_before = position.saturating_sub(1).min(number);
    let wanted_behind = if position == 0 {
        number
    } else {
        number - wanted_before
    };
    // With position 0 the starting point itself is not part of the list.
    let behind = behind
        .into_iter()
        .skip(usize::from(position == 0))
        .take(wanted_behind);
    let kept = before.len().saturating_sub(wanted_before);
    let kept_before = before.len() - kept;
    let terms: Vec<Term> = before.into_iter().skip(kept).chain(behind).collect();
    (terms, if position == 0 { 0 } else { kept_before + 1 })
}

/// A request for a facet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FacetRequest {
    /// The name of the index.
    pub index: String,
    /// Maximum number of values.
    pub limit: u32,
}

/// The values of one index and the number of matching records for each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facet {
    /// The name of the index.
    pub index: String,
    /// The values, in descending order of their counts.
    pub values: Vec<(String, u64)>,
}

/// A merged facet and whether its counts are exact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MergedFacet {
    /// The facet.
    pub facet: Facet,
    /// Whether every count is exact, that is, no slice can have omitted one of these values.
    pub exact: bool,
}

/// The number of values to request from each slice. Asking for more than `limit` makes it unlikely
/// that a slice omits a relevant value.
pub fn facet_request_limit(limit: u32) -> u32 {
    limit.saturating_mul(2).saturating_add(10)
}

/// Adds up one facet over all slices; `lists` has `None` for a slice that returned none.
pub fn facets(request: &FacetRequest, lists: &[Option<&Facet>]) -> MergedFacet {
    let requested = facet_request_limit(request.limit) as usize;
    let mut all: BTreeMap<&str, u64> = BTreeMap::new();
    for (value, count) in lists.iter().flatten().flat_map(|f| &f.values) {
        *all.entry(value).or_insert(0) += count;
    }
    let mut values: Vec<(String, u64)> = all.into_iter().map(|(v, n)| (v.to_owned(), n)).collect();
    // A stable sort: equal counts remain ordered by value.
    values.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    values.truncate(request.limit as usize);
    // A truncated list may omit any value whose count is at most that of its last entry.
    let complete = |facet: &Facet| {
        facet.values.len() < requested
            || values
                .iter()
                .all(|(v, _)| facet.values.iter().any(|(known, _)| known == v))
    };
    let exact = lists.iter().all(|list| list.is_some_and(complete));
    MergedFacet {
        facet: Facet {
            index: request.index.clone(),
            values,
        },
        exact,
    }
}

#[cfg(test)]
mod tests;
