//! Records in responses (NamePlusRecord) and their segmentation (section 3.3).

use super::{Fault, tag, write_fault};
use crate::ber::{Class, Item, Writer, universal};
use crate::record::{Record, RecordError, Schema, Syntax};

/// An encoded record, or the diagnostic in its place.
pub type EncodedRecord = Result<Vec<u8>, Fault>;

fn external(w: &mut Writer, syntax: Syntax, bytes: &[u8]) {
    w.inside_universal(universal::EXTERNAL, |external| {
        external.oid(syntax.oid());
        match syntax {
            // ASN.1 types are embedded directly, all others as octets.
            Syntax::Grs1 => external.inside(0, |single| single.raw(bytes)),
            Syntax::Sutrs => {
                external.inside(0, |single| single.universal(universal::GENERAL, bytes))
            }
            _ => external.bytes(1, bytes),
        }
    });
}

/// The role of an entry in a list of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fragment {
    Whole = 1,
    First = 3,
    Middle = 4,
    Last = 5,
}

fn entry(database: &str, fragment: Fragment, syntax: Syntax, record: &EncodedRecord) -> Vec<u8> {
    let mut w = Writer::default();
    w.inside_universal(universal::SEQUENCE, |named| {
        named.bytes(0, database.as_bytes());
        named.inside(1, |choice| match (record, fragment) {
            (Ok(bytes), Fragment::Whole) => {
                choice.inside(1, |retrieval| external(retrieval, syntax, bytes))
            }
            // A fragment is raw bytes and not a record: notExternallyTagged.
            (Ok(bytes), fragment) => choice.inside(fragment as u32, |f| f.bytes(0, bytes)),
            (Err(fault), _) => choice.inside(2, |surrogate| {
                surrogate.inside_universal(universal::SEQUENCE, |d| write_fault(d, fault));
            }),
        });
    });
    w.finish()
}

/// The message sizes and segmentation that a client accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentLimits {
    /// Preferred maximum bytes of the records in a message.
    pub preferred: usize,
    /// Maximum bytes of a single record that exceeds the preferred size.
    pub exceptional: usize,
    /// Segmentation level: 0 for none, 1 for whole records in several messages, 2 for fragments of
    /// records as well.
    pub segmentation: u8,
}

/// Records divided into messages.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SegmentedRecords {
    /// The segments sent before the response: the number of records in each, and their bytes.
    pub segments: Vec<(usize, Vec<u8>)>,
    /// The records in the response itself.
    pub last: (usize, Vec<u8>),
    /// The total number of records.
    pub delivered: usize,
    /// Whether some records did not fit.
    pub truncated: bool,
}

/// Divides records into messages of at most `max_bytes` bytes in total.
pub fn segment_records(
    database: &str,
    syntax: Syntax,
    records: Vec<EncodedRecord>,
    limits: SegmentLimits,
    max_bytes: usize,
) -> SegmentedRecords {
    use crate::fault::Kind;
    let mut out = SegmentedRecords::default();
    let (mut current, mut total_bytes): ((usize, Vec<u8>), usize) = ((0, Vec::new()), 0);
    for mut record in records {
        let mut bytes = entry(database, Fragment::Whole, syntax, &record);
        if bytes.len() > limits.preferred && limits.segmentation < 2 {
            // A record alone in its message may reach the exceptional size.
            if bytes.len() > limits.exceptional {
                record = Err(Kind::RECORD_TOO_LONG.of(bytes.len().to_string()));
                bytes = entry(database, Fragment::Whole, syntax, &record);
            } else if limits.segmentation == 0 && current.0 > 0 {
                record = Err(Kind::RECORD_OVER_MESSAGE.of(bytes.len().to_string()));
                bytes = entry(database, Fragment::Whole, syntax, &record);
            }
        }
        if total_bytes + bytes.len() > max_bytes {
            out.truncated = true;
            break;
        }
        total_bytes += bytes.len();
        let fits = current.1.len() + bytes.len() <= limits.preferred;
        if !fits && limits.segmentation == 0 && current.0 > 0 {
            out.truncated = true;
            break;
        }
        if !fits && current.0 > 0 {
            out.segments.push(std::mem::take(&mut current));
        }
        if let (Ok(complete), 2) = (&record, limits.segmentation)
            && bytes.len() > limits.preferred
        {
            // Each message carries one fragment. The last one leaves room for further records.
            let step = limits
                .preferred
                .saturating_sub(64 + database.len())
                .max(256);
            let fragments: Vec<&[u8]> = complete.chunks(step).collect();
            let count = fragments.len();
            for (at, fragment) in fragments.into_iter().enumerate() {
                let kind = match at {
                    0 if count > 1 => Fragment::First,
                    _ if at + 1 < count => Fragment::Middle,
                    _ if count > 1 => Fragment::Last,
                    _ => Fragment::Whole,
                };
                let part = entry(database, kind, syntax, &Ok(fragment.to_vec()));
                if at + 1 < count {
                    out.segments.push((1, part));
                } else {
                    current = (1, part);
                }
            }
        } else {
            current.0 += 1;
            current.1.extend(bytes);
        }
        out.delivered += 1;
    }
    out.last = current;
    out
}

/// Encodes a segment (section 3.2.3.2).
pub fn segment(reference: Option<&[u8]>, count: usize, bytes: &[u8]) -> Vec<u8> {
    super::unit(tag::SEGMENT, reference, |w| {
        w.integer(tag::RETURNED, count as i64);
        w.inside(0, |list| list.raw(bytes));
    })
}

/// Writes the records of a response.
pub fn write(w: &mut Writer, bytes: &[u8]) {
    if !bytes.is_empty() {
        w.inside(tag::RECORDS, |list| list.raw(bytes));
    }
}

/// Writes all records of a database into one message, as a server without size limits does.
pub fn write_all(w: &mut Writer, database: &str, syntax: Syntax, records: &[Vec<u8>]) {
    let all: Vec<u8> = records
        .iter()
        .flat_map(|r| entry(database, Fragment::Whole, syntax, &Ok(r.clone())))
        .collect();
    write(w, &all);
}

/// A record of a response, or the diagnostic in its place.
pub type RecordResult = Result<Record, Fault>;

/// Reads the records of a response or segment. Fails if an entry is malformed.
pub fn read(response: &Item, list_tag: u32) -> Result<Vec<RecordResult>, RecordError> {
    let Some(list) = response.get(list_tag) else {
        return Ok(Vec::new());
    };
    list.items().iter().map(read_entry).collect()
}

fn read_entry(named: &Item) -> Result<RecordResult, RecordError> {
    let choice = named
        .get(1)
        .ok_or(RecordError::Malformed("record missing"))?;
    if let Some(surrogate) = choice.get(2) {
        let fault = surrogate
            .items()
            .first()
            .ok_or(RecordError::Malformed("diagnostic missing"))?;
        return Ok(Err(super::read_fault(fault)));
    }
    let external = choice
        .get(1)
        .and_then(|r| r.items().first())
        .ok_or(RecordError::Malformed("record missing"))?;
    let oid = external
        .items()
        .first()
        .and_then(Item::oid)
        .unwrap_or_default();
    let syntax = Syntax::of_oid(&oid).ok_or(RecordError::Malformed("unknown record syntax"))?;
    // Some servers wrap octets as a single ASN.1 type.
    let bytes = match (external.get(1), external.get(0)) {
        (Some(octets), _) => octets.bytes(),
        (None, Some(single)) => {
            let inner = single
                .items()
                .first()
                .ok_or(RecordError::Malformed("empty record"))?;
            if syntax == Syntax::Grs1 {
                encode(inner)
            } else {
                inner.bytes()
            }
        }
        _ => return Err(RecordError::Malformed("record missing")),
    };
    Record::from_bytes(syntax, &bytes).map(Ok)
}

/// Encodes a decoded value again.
fn encode(item: &Item) -> Vec<u8> {
    let mut w = Writer::default();
    w.item(item);
    w.finish()
}

/// The schema for an element set name, and whether records are to be brief (section 3.6.2).
pub fn element_set(name: &str) -> Option<(Schema, bool)> {
    match name {
        "F" | "f" => Some((Schema::Dc, false)),
        "B" | "b" => Some((Schema::Dc, true)),
        // In XML requests the element set name commonly is a schema.
        other => Schema::named(other).map(|schema| (schema, false)),
    }
}

/// Whether an item is an EXTERNAL, which distinguishes a record from a fragment.
pub fn is_external(item: &Item) -> bool {
    item.class == Class::Universal && item.tag == universal::EXTERNAL
}

#[cfg(test)]
mod tests;
