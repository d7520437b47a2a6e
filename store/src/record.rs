//! The records of a member's file and their encoding.
//!
//! A file is the magic with the format's version, then records. Each record is a header of
//! 16 bytes (length of the content, ordinal of the record, CRC-32 of both, little-endian), the
//! content as JSON, and the CRC-32 of the content. The checksums distinguish a file truncated by a
//! crash, whose torn tail was never acknowledged, from a corrupt file, which must not be used.

use crate::log::{self, Entries, Snapshot};
use crate::rejoin::Peer;
use serde_json::{Value as Json, json};
use std::fmt;

/// A record of a member's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// Number of starts of the member. Written before the member votes or acknowledges in that
    /// start.
    Start(u64),
    /// Id of the store; 0 for none.
    Cluster(u64),
    /// The current term.
    Term(u64),
    /// The member's vote in the current term.
    Vote(Option<u64>),
    /// Log entries, which replace all entries from the first of their positions on.
    Append(Entries),
    /// The state up to a position, in place of all earlier entries.
    Snapshot(Snapshot),
    /// The member's generation: the number of times that its file was lost.
    Generation(u64),
    /// Generation, starts and incarnation of another member.
    Peer(u64, Peer),
    /// The member belongs to a store in which it has not voted yet.
    Joined,
    /// Whether the member is still bootstrapping the store.
    Bootstrapping(bool),
    /// The records before this one do not cover everything that the member has acknowledged.
    Lost,
}

impl Record {
    fn json(&self) -> Json {
        match self {
            Record::Start(count) => json!({"start": count}),
            Record::Cluster(id) => json!({"cluster": id}),
            Record::Term(term) => json!({"term": term}),
            Record::Vote(vote) => json!({"vote": vote}),
            Record::Append(entries) => json!({"append": log::write_entries(entries)}),
            Record::Snapshot(snapshot) => json!({"snapshot": log::write_snapshot(snapshot)}),
            Record::Generation(generation) => json!({"generation": generation}),
            Record::Peer(id, peer) => {
                json!({"peer": [id, peer.generation, peer.starts, peer.incarnation]})
            }
            Record::Joined => json!({"joined": true}),
            Record::Bootstrapping(bootstrapping) => json!({"founding": bootstrapping}),
            Record::Lost => json!({"lost": true}),
        }
    }

    /// Parses a record from JSON; `None` if the JSON is not a valid record.
    pub fn parse(text: &[u8]) -> Option<Record> {
        let json: Json = serde_json::from_slice(text).ok()?;
        let (kind, value) = json.as_object().filter(|o| o.len() == 1)?.iter().next()?;
        Some(match kind.as_str() {
            "start" => Record::Start(value.as_u64()?),
            "cluster" => Record::Cluster(value.as_u64()?),
            "term" => Record::Term(value.as_u64()?),
            "vote" if value.is_null() => Record::Vote(None),
            "vote" => Record::Vote(Some(value.as_u64()?)),
            "append" => Record::Append(log::read_entries(value)?),
            "snapshot" => Record::Snapshot(log::read_snapshot(value)?),
            "generation" => Record::Generation(value.as_u64()?),
            "peer" => {
                let number = |at: usize| value[at].as_u64();
                Record::Peer(number(0)?, Peer::known(number(1)?, number(2)?, number(3)?))
            }
            "joined" => Record::Joined,
            "founding" => Record::Bootstrapping(value.as_bool()?),
            "lost" => Record::Lost,
            _ => return None,
        })
    }
}

/// The first bytes of a file; the last of them is the version of the format.
pub const MAGIC: &[u8; 8] = b"bittern\x03";
/// Magic of the previous format, which had no transactions and no sessions. All its records are
/// valid in the current format too.
const PREVIOUS_MAGIC: &[u8; 8] = b"bittern\x02";

/// Bytes of a record's header.
const HEADER_BYTES: usize = 16;
/// Bytes of the checksum that follows a record's content.
const CHECKSUM_BYTES: usize = 4;
/// Maximum length of a record's content, in bytes.
const MAX_CONTENT_BYTES: usize = 64 << 20;

/// Encodes a record with its ordinal in the file, from 1.
pub fn encode(record: &Record, ordinal: u64) -> Vec<u8> {
    let content = record.json().to_string().into_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len() + CHECKSUM_BYTES);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&ordinal.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(&content);
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes
}

/// Contents of a file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FileContents {
    /// All complete records.
    pub records: Vec<Record>,
    /// Length of the file up to the end of the last complete record, in bytes.
    pub valid_bytes: usize,
    /// Bytes after the last complete record, from a write that was never completed.
    pub torn_bytes: usize,
}

/// A corrupt file. A member must not start from it: the lost records may hold a vote, without which
/// the member could vote twice in one term, or an acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Corruption {
    /// Offset in the file, in bytes.
    pub offset: usize,
    /// Description of the corruption.
    pub found: String,
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at byte {}: {}", self.offset, self.found)
    }
}

impl std::error::Error for Corruption {}

/// Decodes a little-endian number.
fn number(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .rev()
        .fold(0, |sum, byte| sum << 8 | u32::from(*byte))
}

/// Reads a file of the current or the previous format.
///
/// # Errors
///
/// [`Corruption`] if the file holds anything but complete records and at most one torn tail.
pub fn read(bytes: &[u8]) -> Result<FileContents, Corruption> {
    let mut contents = FileContents::default();
    let Some(mut rest) = bytes
        .strip_prefix(MAGIC)
        .or_else(|| bytes.strip_prefix(PREVIOUS_MAGIC))
    else {
        // If the magic was never completely written, no record can have been acknowledged.
        if MAGIC.starts_with(bytes) || PREVIOUS_MAGIC.starts_with(bytes) {
            contents.torn_bytes = bytes.len();
            return Ok(contents);
        }
        return Err(unknown_format(bytes));
    };
    contents.valid_bytes = MAGIC.len();
    while !rest.is_empty() {
        let ordinal = contents.records.len() as u64 + 1;
        let next = read_record(rest, ordinal).map_err(|found| Corruption {
            offset: contents.valid_bytes,
            found: format!("record {ordinal}: {found}"),
        })?;
        let Some((record, following)) = next else {
            contents.torn_bytes = rest.len();
            break;
        };
        contents.records.push(record);
        rest = following;
        contents.valid_bytes = bytes.len() - rest.len();
    }
    Ok(contents)
}

fn unknown_format(bytes: &[u8]) -> Corruption {
    let version = bytes
        .strip_prefix(&MAGIC[..7])
        .and_then(|rest| rest.first());
    let found = match version {
        Some(version) => format!("format {version}; this program reads format {}", MAGIC[7]),
        None => "not a store file".to_owned(),
    };
    Corruption { offset: 0, found }
}

/// Defect of a record.
enum RecordError {
    HeaderChecksum,
    Header { ordinal: u64, length: usize },
    ContentChecksum,
    Content,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::HeaderChecksum => f.write_str("header checksum mismatch"),
            RecordError::Header { ordinal, length } => {
                write!(f, "its header states record {ordinal} of {length} bytes")
            }
            RecordError::ContentChecksum => f.write_str("content checksum mismatch"),
            RecordError::Content => {
                f.write_str("valid checksums, but the content is not a known record")
            }
        }
    }
}

/// Reads the first record and returns it with the bytes that follow; `None` if the record's write
/// was never completed.
fn read_record(bytes: &[u8], ordinal: u64) -> Result<Option<(Record, &[u8])>, RecordError> {
    // File systems may extend a file before they write its data, which leaves zeros at the end.
    if bytes.len() < HEADER_BYTES || bytes.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    let (header, rest) = bytes.split_at(HEADER_BYTES);
    if crc32fast::hash(&header[..12]) != number(&header[12..]) {
        return Err(RecordError::HeaderChecksum);
    }
    let length = number(&header[..4]) as usize;
    let stored_ordinal = u64::from_le_bytes(header[4..12].try_into().expect("8"));
    if stored_ordinal != ordinal || length > MAX_CONTENT_BYTES {
        return Err(RecordError::Header {
            ordinal: stored_ordinal,
            length,
        });
    }
    // A valid header with too few bytes after it is an incomplete write.
    if rest.len() < length + CHECKSUM_BYTES {
        return Ok(None);
    }
    let (content, rest) = rest.split_at(length);
    if crc32fast::hash(content) != number(&rest[..CHECKSUM_BYTES]) {
        return Err(RecordError::ContentChecksum);
    }
    let record = Record::parse(content).ok_or(RecordError::Content)?;
    Ok(Some((record, &rest[CHECKSUM_BYTES..])))
}

/// Reads a file of the first format: one line of JSON per record, without checksums. An incomplete
/// last line counts as torn.
///
/// # Errors
///
/// [`Corruption`] if a complete line is not a valid record.
pub fn read_lines(bytes: &[u8]) -> Result<FileContents, Corruption> {
    let mut contents = FileContents::default();
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        if !line.ends_with(b"\n") {
            contents.torn_bytes = line.len();
            break;
        }
        let corruption = || Corruption {
            offset: contents.valid_bytes,
            found: format!("line {} is not a valid record", contents.records.len() + 1),
        };
        let record = Record::parse(line).ok_or_else(corruption)?;
        contents.records.push(record);
        contents.valid_bytes += line.len();
    }
    Ok(contents)
}

#[cfg(test)]
mod tests;
