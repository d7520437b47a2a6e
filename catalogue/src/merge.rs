//! Slices' answers as one: order, counts with what they are worth, lists of terms, facets.

use crate::record::Record;
use crate::sort::{self, SortKey, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What a count is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Precision {
    /// It is the count.
    Exact,
    /// A host stopped counting there: there may be more.
    AtLeast,
    /// Slices are missing: there may be more.
    Partial,
}

/// A count of hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// How many.
    pub hits: u64,
    /// What that is worth.
    pub precision: Precision,
}

/// Adds up the slices that are in; `missing` says whether others are not.
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

/// A record with what it is ordered by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The record.
    pub record: Record,
    /// Its value for each key.
    pub values: Vec<Value>,
}

impl Row {
    /// A record's row; `None` where it lacks a key that none may lack.
    pub fn new(record: Record, keys: &[SortKey]) -> Option<Row> {
        let value = |key: &SortKey| sort::value(key, record.value(&key.index).as_deref());
        let values = keys.iter().map(value).collect::<Option<Vec<_>>>()?;
        Some(Row { record, values })
    }
}

/// One slice's records, in its host's order, as far as they are here.
#[derive(Debug, Clone, Default)]
pub struct Source {
    /// Those not yet placed.
    pub ahead: VecDeque<Row>,
    /// How many are placed.
    pub placed: u64,
    /// How many the slice has.
    pub hits: u64,
    /// The values of the last one placed.
    last: Option<Vec<Value>>,
}

impl Source {
    /// A slice with so many hits, of which none is here.
    pub fn new(hits: u64) -> Source {
        Source {
            hits,
            ..Source::default()
        }
    }

    /// How many are not here.
    pub fn behind(&self) -> u64 {
        self.hits
            .saturating_sub(self.placed + self.ahead.len() as u64)
    }

    /// The place of the next one that is not here, counted from 0.
    pub fn next_offset(&self) -> u64 {
        self.placed + self.ahead.len() as u64
    }
}

/// The next record of all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pull {
    /// It is this one, of the slice at this place; and whether it stands behind one that it should
    /// precede.
    Row(usize, Row, bool),
    /// That cannot be said before more of these slices' records are here.
    Dry(Vec<usize>),
    /// There is none.
    End,
}

/// Takes the next record of all. Equal ones come by slice, so that the same slices always give the
/// same order.
pub fn pull(keys: &[SortKey], sources: &mut [Source]) -> Pull {
    let dry: Vec<usize> = (0..sources.len())
        .filter(|at| sources[*at].ahead.is_empty() && sources[*at].behind() > 0)
        .collect();
    if !dry.is_empty() {
        return Pull::Dry(dry);
    }
    let heads = sources
        .iter()
        .enumerate()
        .filter_map(|(at, s)| Some((at, s.ahead.front()?)));
    // `min_by` keeps the first of equals.
    let least = heads
        .min_by(|a, b| sort::compare(keys, &a.1.values, &b.1.values))
        .map(|(at, _)| at);
    let Some(at) = least else { return Pull::End };
    let source = &mut sources[at];
    let Some(row) = source.ahead.pop_front() else {
        return Pull::End;
    };
    source.placed += 1;
    let disorder = source
        .last
        .as_ref()
        .is_some_and(|last| sort::compare(keys, last, &row.values).is_gt());
    source.last = Some(row.values.clone());
    Pull::Row(at, row, disorder)
}

/// A term of an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// The term.
    pub text: String,
    /// How it is shown, where that differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub display: Option<String>,
    /// How many records have it.
    pub count: u64,
}

/// One slice's list of terms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// In their order.
    pub terms: Vec<Term>,
    /// Which host gave them.
    pub host: u32,
}

/// Merges slices' lists around a starting point: `number` terms, of which that point, or the first
/// behind it, stands at `position` (from 1; 0 for just before the list, `number + 1` for just
/// behind it). Gives them and where the point came to stand.
///
/// Each slice was asked for the same: a term among the first so many of all is among the first so
/// many of each slice that has it, so its count is right for the slices that are in.
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
    // The point itself stands outside the list where its place is 0.
    let behind = behind
        .into_iter()
        .skip(usize::from(position == 0))
        .take(wanted_behind);
    let kept = before.len().saturating_sub(wanted_before);
    let kept_before = before.len() - kept;
    let terms: Vec<Term> = before.into_iter().skip(kept).chain(behind).collect();
    (terms, if position == 0 { 0 } else { kept_before + 1 })
}

/// What is counted by the values of one index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FacetAsk {
    /// The index's name.
    pub index: String,
    /// How many values.
    pub limit: u32,
}

/// The values of one index and how many records of a result have each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facet {
    /// The index's name.
    pub index: String,
    /// The values, most records first.
    pub values: Vec<(String, u64)>,
}

/// A merged facet, and whether its counts are exact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MergedFacet {
    /// The facet.
    pub facet: Facet,
    /// Each value's count is right: no slice left one out that it may have.
    pub exact: bool,
}

/// How many values a slice is asked for, so that its list is rarely cut above one that matters.
pub fn facet_ask(limit: u32) -> u32 {
    limit.saturating_mul(2).saturating_add(10)
}

/// Adds up one facet over the slices; `lists` holds `None` for a slice that gave none.
pub fn facets(ask: &FacetAsk, lists: &[Option<&Facet>]) -> MergedFacet {
    let asked = facet_ask(ask.limit) as usize;
    let mut all: BTreeMap<&str, u64> = BTreeMap::new();
    for (value, count) in lists.iter().flatten().flat_map(|f| &f.values) {
        *all.entry(value).or_insert(0) += count;
    }
    let mut values: Vec<(String, u64)> = all.into_iter().map(|(v, n)| (v.to_owned(), n)).collect();
    // By count, then by value, which is their order so far.
    values.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    values.truncate(ask.limit as usize);
    // A list that was cut may hide up to its last count of any value that it does not show.
    let sure = |facet: &Facet| {
        facet.values.len() < asked
            || values
                .iter()
                .all(|(v, _)| facet.values.iter().any(|(known, _)| known == v))
    };
    let exact = lists.iter().all(|list| list.is_some_and(sure));
    MergedFacet {
        facet: Facet {
            index: ask.index.clone(),
            values,
        },
        exact,
    }
}

#[cfg(test)]
mod tests;
