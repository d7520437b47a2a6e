//! Decides which rows a page still needs, requests them from slices, and adds the results to the
//! page.

use super::{Bounds, Plan, Search, ShortReason};
use crate::fault::{Fault, Kind};
use crate::merge::{self, FacetRequest, MergeStep, MergedFacet, Row};
use crate::record::{Record, Schema};
use crate::sets::{Changed, ResultSet, SetId, SliceRange};
use crate::work::{Found, PageWork, Range, Work};

/// A page under construction.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PageAssembly {
    pub(super) set: SetId,
    pub(super) start: u64,
    pub(super) wanted: u64,
    pub(super) schema: Schema,
    pub(super) rows: Vec<Option<Record>>,
    /// The ranges requested in the current round.
    pub(super) requested: Vec<SliceRange>,
    /// Whether the current round extends the known order of a sorted set.
    pub(super) extends_order: bool,
    pub(super) failed_slices: Vec<u32>,
    pub(super) short: Option<ShortReason>,
    pub(super) replaced: bool,
    pub(super) diagnostics: Vec<Fault>,
    pub(super) facets: Vec<MergedFacet>,
    /// The search to repeat if the set has changed.
    pub(super) repeat_search: Option<Search>,
}

/// Why a slice's result ends the page.
pub(super) enum PageError {
    Changed(Changed),
    Fault(Fault),
}

/// Plans the first round of a search. The first page of an unsorted set mostly lies in its first
/// slice, so the other slices are asked only for their share.
pub(super) fn first_plan(search: &Search, bounds: &Bounds) -> Plan {
    let slices = search.slices.len().max(1) as u64;
    let want = search.want.max_records().min(bounds.page);
    let per_part = u64::from(bounds.per_part);
    let count = |first: bool| match (search.sort.is_empty(), search.start) {
        _ if want == 0 => 0,
        (true, 1) if first => want.min(per_part),
        (true, 1) => want.div_ceil(slices).min(per_part),
        // Later positions cannot be located until the slices' hit counts are known.
        (true, _) => 0,
        (false, start) => records_per_slice(start - 1 + want, slices, per_part),
    };
    let range = |(at, slice): (usize, &u32)| Range {
        slice: *slice,
        offset: 0,
        count: count(at == 0) as u32,
    };
    let facet = |request: &FacetRequest| FacetRequest {
        index: request.index.clone(),
        limit: merge::facet_request_limit(request.limit),
    };
    let work = PageWork {
        query: search.query.to_string(),
        sort: search.sort.clone(),
        schema: search.schema,
        fresh: true,
        ranges: search
            .slices
            .iter()
            .enumerate()
            .map(range)
            .filter(|r| r.count > 0)
            .collect(),
        facets: search.facets.iter().map(facet).collect(),
    };
    Plan {
        work: Work::Page(work),
        slices: search.slices.clone(),
    }
}

/// How many records to request from each slice so that `need` more can be merged.
fn records_per_slice(need: u64, slices: u64, per_part: u64) -> u64 {
    (need.div_ceil(slices) + 2).min(per_part)
}

/// Merges the buffered rows of a sorted set up to the end of the page. Returns the ranges to fetch
/// if rows run out first.
pub(super) fn extend_order(
    page: &mut PageAssembly,
    set: &mut ResultSet,
    bounds: &Bounds,
) -> Result<Option<Vec<Range>>, Fault> {
    let end = page.start - 1 + page.rows.len() as u64;
    let Some(merged) = &mut set.merged else {
        return Ok(None);
    };
    if end > bounds.reach {
        return Err(Kind::SORT_TOO_MANY.of(format!(
            "sorted sets can be read up to position {}",
            bounds.reach
        )));
    }
    let slices = merged.sources.iter().filter(|s| s.hits > 0).count().max(1) as u64;
    while (merged.order.len() as u64) < end {
        match merge::next_row(&set.sort, &mut merged.sources) {
            MergeStep::End => break,
            MergeStep::Row(at, row, disorder) => {
                let position = merged.order.len() as u64 + 1;
                merged.order.push(at as u16);
                if disorder {
                    merged.disorder.get_or_insert(set.slices[at].slice);
                }
                if let Some(slot) = position.checked_sub(page.start) {
                    page.rows[slot as usize] = Some(row.record);
                }
            }
            MergeStep::NeedMore(exhausted) => {
                let need = end - merged.order.len() as u64;
                let count = records_per_slice(need, slices, u64::from(bounds.per_part));
                let slice_range = |at: usize| SliceRange {
                    at,
                    slice: set.slices[at].slice,
                    offset: merged.sources[at].next_offset(),
                    count: count.min(merged.sources[at].unfetched()),
                };
                page.requested = exhausted.into_iter().map(slice_range).collect();
                page.extends_order = true;
                let range = |p: &SliceRange| Range {
                    slice: p.slice,
                    offset: p.offset,
                    count: p.count as u32,
                };
                return Ok(Some(page.requested.iter().map(range).collect()));
            }
        }
    }
    Ok(None)
}

/// Requests the missing rows whose position in a slice is known.
pub(super) fn missing_rows(
    page: &mut PageAssembly,
    set: &ResultSet,
    bounds: &Bounds,
) -> Option<Vec<Range>> {
    page.extends_order = false;
    page.requested.clear();
    // Within a slice, the rows already present lie before or after the missing ones, so one range
    // covers the gap.
    for (position, (at, offset)) in set.locate(page.start, page.rows.len() as u64) {
        if page.rows[(position - page.start) as usize].is_some() {
            continue;
        }
        match page.requested.iter_mut().find(|p| p.at == at) {
            Some(range) if offset < range.offset + u64::from(bounds.per_part) => {
                range.count = offset + 1 - range.offset
            }
            Some(_) => {}
            None => page.requested.push(SliceRange {
                at,
                slice: set.slices[at].slice,
                offset,
                count: 1,
            }),
        }
    }
    let ranges: Vec<Range> = page
        .requested
        .iter()
        .map(|p| set.range_to_fetch(p))
        .collect();
    (!ranges.is_empty()).then_some(ranges)
}

/// Adds a slice's result to the page.
pub(super) fn add_result(
    page: &mut PageAssembly,
    set: &mut ResultSet,
    range: &SliceRange,
    mut found: Found,
) -> Result<(), PageError> {
    if page.extends_order {
        let slice = &set.slices[range.at];
        let changed = PageError::Changed(Changed { slice: slice.slice });
        if slice.exact && found.exact && slice.hits != found.hits || found.records.is_empty() {
            return Err(changed);
        }
        let Some(merged) = &mut set.merged else {
            return Ok(());
        };
        let source = &mut merged.sources[range.at];
        // Another operation on the same set may have fetched these records in the meantime.
        let have = source.next_offset().saturating_sub(range.offset) as usize;
        let last = source.buffered.back().map(|row| row.record.fingerprint());
        for (at, record) in found.records.into_iter().enumerate().skip(have) {
            if at == have && last == Some(record.fingerprint()) {
                return Err(changed);
            }
            let row = Row::new(record, &set.sort)
                .ok_or_else(|| PageError::Fault(Kind::SORT_MISSING.of("")))?;
            source.buffered.push_back(row);
        }
        return Ok(());
    }
    set.verify(range, &mut found).map_err(PageError::Changed)?;
    let located = set.locate(page.start, page.rows.len() as u64);
    let mut last = None;
    for (position, (at, offset)) in located {
        let row = &mut page.rows[(position - page.start) as usize];
        if at == range.at
            && row.is_none()
            && let Some(index) = offset.checked_sub(range.offset)
            && let Some(record) = found.records.get(index as usize)
        {
            last = Some((offset, record.clone()));
            *row = Some(record.clone());
        }
    }
    if let Some((offset, record)) = last {
        set.record_delivered(range.at, offset, &record);
    }
    Ok(())
}
