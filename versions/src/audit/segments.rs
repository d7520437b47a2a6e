//! Joins the segments of a log and verifies them against the digest in the store.

use super::Segments;
use crate::audit_log::{Corruption, Defect, Entry, Record, Segment};
use std::collections::BTreeMap;

/// The digest of a log in the store: the hash of one of its lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogDigest {
    /// The segment of the line.
    pub segment: u64,
    /// The number of the line in the segment, from 1.
    pub length: u64,
    /// The hash of the line.
    pub hash: String,
}

/// The number of a log, from its first line.
pub(super) fn log_number(segments: &Segments) -> Option<u64> {
    let first_segment = segments.values().next()?;
    let first_line = first_segment.split_inclusive('\n').next()?;
    match Segment::read(first_line).entries.first()?.record {
        Record::SegmentStarted { log, .. } => Some(log),
        _ => None,
    }
}

/// The entries of a log from the oldest segment that is left, up to the first corruption.
///
/// A segment that does not continue the previous one, or a log that is shorter than its digest, is
/// a corruption as well.
pub(super) fn join(
    segments: &Segments,
    digests: &BTreeMap<u64, LogDigest>,
) -> (Vec<Entry>, Option<Corruption>) {
    let digest = log_number(segments).and_then(|log| digests.get(&log));
    let mut entries = Vec::new();
    let corruption = append_all(segments, digest, &mut entries).err();
    (entries, corruption)
}

fn append_all(
    segments: &Segments,
    digest: Option<&LogDigest>,
    entries: &mut Vec<Entry>,
) -> Result<(), Corruption> {
    let mut previous = None::<(u64, String)>;
    for (number, text) in segments {
        let segment = Segment::read(text);
        let length = segment.entries.len();
        if !continues(&segment, *number, previous.as_ref()) {
            return Err(Corruption {
                line: 1,
                defect: Defect::SegmentMismatch,
            });
        }
        entries.extend(segment.entries);
        if let Some(corruption) = segment.corruption {
            return Err(corruption);
        }
        let digest = digest.filter(|digest| digest.segment == *number);
        if digest.is_some_and(|d| hash_of_line(text, d.length) != Some(d.hash.as_str())) {
            return Err(Corruption {
                line: length,
                defect: Defect::DigestMismatch,
            });
        }
        previous = Some((*number, segment.chain.hash));
    }
    let last = segments.last_key_value().map(|(number, _)| *number);
    if digest.is_some_and(|digest| last.is_none_or(|last| last < digest.segment)) {
        return Err(Corruption {
            line: 0,
            defect: Defect::SegmentsMissing,
        });
    }
    Ok(())
}

/// Whether a segment has this number and continues the previous one. The oldest segment that is
/// left may continue one that was deleted.
fn continues(segment: &Segment, number: u64, previous: Option<&(u64, String)>) -> bool {
    let Some(Record::SegmentStarted {
        segment: own_number,
        previous_hash,
        ..
    }) = segment.entries.first().map(|entry| &entry.record)
    else {
        return true;
    };
    *own_number == number
        && previous.is_none_or(|(previous_number, hash)| {
            previous_number + 1 == number && hash == previous_hash
        })
}

/// The hash at the start of a line; lines are counted from 1.
fn hash_of_line(text: &str, line: u64) -> Option<&str> {
    let index = usize::try_from(line).ok()?.checked_sub(1)?;
    let (hash, _) = text.lines().nth(index)?.split_once(' ')?;
    Some(hash)
}
