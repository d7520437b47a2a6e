//! One part as exchanges with one index host, and the way round what the host lacks.
//!
//! To the core a part is one attempt, however many exchanges it takes on its session.

pub mod sru;
pub mod z3950;

use crate::fault::{Fault, Kind};
use crate::merge::Row;
use crate::record::Record;
use crate::sort::{self, SortKey};
use crate::work::{Found, Range};

/// What bounds the exchanges of one part.
#[derive(Debug, Clone, Copy)]
pub struct HostBounds {
    /// Records that are sorted here for a host that does not sort.
    pub local_sort: u32,
    /// Bytes of one message.
    pub message: usize,
    /// Sets that a Z39.50 session keeps at its host.
    pub named_sets: usize,
    /// How long such a set is presented from before it is searched again.
    pub set_age: crate::sets::Time,
    /// Exchanges of one part.
    pub exchanges: u32,
}

/// What comes next on a session.
#[derive(Debug, Clone, PartialEq)]
pub enum Next<Message> {
    /// Say this and wait.
    Send(Message),
    /// The part is done.
    Done(crate::work::WorkResult),
    /// The host turned the part away unseen.
    Later,
    /// It failed; it may have run.
    Failed(String),
}

/// What something that a host said means.
#[derive(Debug, Clone, PartialEq)]
pub enum HostEvent {
    /// The session may be used.
    Opened,
    /// The host does not take the session.
    Rejected(String),
    /// The host ends it.
    Closed,
    /// What comes next for the part under way.
    Next(Next<Vec<u8>>),
}

/// What a host's diagnostic means for the part.
fn refused<M>(fault: Fault) -> Next<M> {
    match fault.kind {
        kind if kind.bib1 == 2 => Next::Later,
        kind if kind.is_of_the_server() => Next::Failed(fault.to_string()),
        _ => Next::Done(crate::work::WorkResult::Refused(fault)),
    }
}

/// Sorts a host's records here and cuts the range out: for a host that does not sort itself.
fn sort_locally(
    keys: &[SortKey],
    records: Vec<Record>,
    range: Range,
) -> Result<Vec<Record>, Fault> {
    let rows = records
        .into_iter()
        .map(|record| Row::new(record, keys))
        .collect::<Option<Vec<_>>>();
    let mut rows = rows.ok_or_else(|| Kind::SORT_MISSING.of(""))?;
    // Stable, so that equal ones keep the host's order on every page.
    rows.sort_by(|a, b| sort::compare(keys, &a.values, &b.values));
    let cut = rows
        .into_iter()
        .skip(range.offset as usize)
        .take(range.count as usize);
    Ok(cut.map(|row| row.record).collect())
}

fn too_many_to_sort(hits: u64, bounds: &HostBounds) -> Fault {
    Kind::SORT_TOO_MANY.of(format!(
        "the host does not sort, and {hits} are more than {}",
        bounds.local_sort
    ))
}

/// Records as they come, until as many as were asked for are here.
#[derive(Debug, Clone, Default)]
struct RecordBuffer {
    records: Vec<Record>,
    /// The first place that is wanted, from 0.
    from: u64,
    /// How many in all.
    want: u64,
}

impl RecordBuffer {
    fn of(range: Range, hits: u64) -> RecordBuffer {
        let want = u64::from(range.count).min(hits.saturating_sub(range.offset));
        RecordBuffer {
            records: Vec::new(),
            from: range.offset,
            want,
        }
    }

    /// What is still to be asked for: the place of the first, from 0, and how many.
    fn rest(&self) -> (u64, u64) {
        let have = self.records.len() as u64;
        (self.from + have, self.want.saturating_sub(have))
    }

    fn is_done(&self) -> bool {
        self.rest().1 == 0
    }
}

fn found(hits: u64, exact: bool, records: Vec<Record>) -> Found {
    Found {
        hits,
        exact,
        records,
        facets: None,
        host: 0,
    }
}
