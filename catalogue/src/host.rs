//! Runs one part as one or more exchanges with an index host, and works around features that the
//! host lacks.
//!
//! To the dispatch core a part is one attempt, regardless of the number of exchanges.

pub mod sru;
pub mod z3950;

use crate::fault::{Fault, Kind};
use crate::merge::Row;
use crate::record::Record;
use crate::sort::{self, SortKey};
use crate::work::{Found, Range};

/// Limits of the exchanges of one part.
#[derive(Debug, Clone, Copy)]
pub struct HostBounds {
    /// Maximum records sorted locally for a host that does not sort.
    pub local_sort: u32,
    /// Maximum bytes of one message.
    pub message: usize,
    /// Result sets that a Z39.50 session keeps at its host.
    pub named_sets: usize,
    /// Age after which such a set is searched again instead of presented.
    pub set_age: crate::sets::Time,
    /// Maximum exchanges of one part.
    pub exchanges: u32,
}

/// The next step of a part.
#[derive(Debug, Clone, PartialEq)]
pub enum Next<Message> {
    /// Send this and wait for the response.
    Send(Message),
    /// The part is complete.
    Done(crate::work::WorkResult),
    /// The host rejected the part without running it.
    Rejected,
    /// The part failed and may have run.
    Failed(String),
}

/// The meaning of a message from a host.
#[derive(Debug, Clone, PartialEq)]
pub enum HostEvent {
    /// The session is open.
    Opened,
    /// The host refused the session.
    Rejected(String),
    /// The host closed the session.
    Closed,
    /// The next step of the current part.
    Next(Next<Vec<u8>>),
}

/// Maps a host's diagnostic to the next step of the part.
fn step_for_diagnostic<M>(fault: Fault) -> Next<M> {
    match fault.kind {
        kind if kind.bib1 == 2 => Next::Rejected,
        kind if kind.is_server_fault() => Next::Failed(fault.to_string()),
        _ => Next::Done(crate::work::WorkResult::Refused(fault)),
    }
}

/// Sorts the records of a host that does not sort itself, and returns the requested range.
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
    // A stable sort keeps the host's order among equal records, so that it is the same on every
    // page.
    rows.sort_by(|a, b| sort::compare(keys, &a.values, &b.values));
    let cut = rows
        .into_iter()
        .skip(range.offset as usize)
        .take(range.count as usize);
    Ok(cut.map(|row| row.record).collect())
}

fn too_many_to_sort(hits: u64, bounds: &HostBounds) -> Fault {
    Kind::SORT_TOO_MANY.of(format!(
        "the host does not sort, and {hits} records exceed the local limit of {}",
        bounds.local_sort
    ))
}

/// Collects records until as many as requested have arrived.
#[derive(Debug, Clone, Default)]
struct RecordBuffer {
    records: Vec<Record>,
    /// Offset of the first requested record, from 0.
    from: u64,
    /// Total number of requested records.
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

    /// The offset of the next record to request, from 0, and how many are still missing.
    fn remaining(&self) -> (u64, u64) {
        let have = self.records.len() as u64;
        (self.from + have, self.want.saturating_sub(have))
    }

    fn is_done(&self) -> bool {
        self.remaining().1 == 0
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
