//! The records of a member's file and their encoding.
//!
//! A file is the magic with the format's version, then records. Each record is a header of
//! 16 bytes (length of the content, ordinal of the record, CRC-32 of both, little-endian), the
//! content as JSON, and the CRC-32 of the content. With these a file that a crash cut short, whose
//! torn tail was never acknowledged, can be told from a corrupt one, which must not be used.

use crate::log::{self, Entries, Snapshot};
use crate::rejoin::Peer;
use serde_json::{Value as Json, json};
use std::fmt;

/// A record of a member's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// How often the member has started. Written before it votes or acknowledges in that start.
    Start(u64),
    /// Id of the store; 0 for none.
    Cluster(u64),
    /// The current term.
    Term(u64),
    /// Whom this member has voted for in the current term.
    Vote(Option<u64>),
    /// Log entries; they replace entries at their positions and all later ones.
    Append(Entries),
    /// The state up to a position, in place of all earlier entries.
    Snapshot(Snapshot),
    /// The member's generation: how often it has lost its file.
    Generation(u64),
    /// What is known of another member.
    Peer(u64, Peer),
    /// The member belongs to a store in which it has not voted yet.
    Joined,
    /// Whether the member is still bootstrapping the store.
    Bootstrapping(bool),
    /// The records before this one are not all that the member had acknowledged.
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
            Record::Bootstrapping(still) => json!({"founding": still}),
            Record::Lost => json!({"lost": true}),
        }
    }

    /// A record from its JSON; `None` if it has another form.
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
/// Magic of the format before, which had no transactions and no sessions. All its records are valid
/// in this format too.
const PREVIOUS_MAGIC: &[u8; 8] = b"bittern\x02";

/// Bytes of a record's header.
const HEADER_BYTES: usize = 16;
/// Bytes of the checksum behind a record's content.
const CHECKSUM_BYTES: usize = 4;
/// Maximum length of a record's content, in bytes.
const MAX_CONTENT_BYTES: usize = 64 << 20;

/// A record as bytes of a file, with its ordinal in that file, from 1.
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
    /// Its records.
    pub records: Vec<Record>,
    /// Length of the file up to the end of its last complete record, in bytes.
    pub valid_bytes: usize,
    /// Bytes behind that, of a record whose write was never completed.
    pub torn_bytes: usize,
}

/// A corrupt file. A member must not start from it: the lost records may hold a vote or an
/// acknowledgement, and without it the member could vote twice in one term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Corruption {
    /// Offset in the file, in bytes.
    pub offset: usize,
    /// What was found there.
    pub found: String,
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at byte {}: {}", self.offset, self.found)
    }
}

impl std::error::Error for Corruption {}

/// A little-endian number.
fn number(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .rev()
        .fold(0, |sum, byte| sum << 8 | u32::from(*byte))
}

/// Reads a file of this format or the one before.
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
        // Nothing was acknowledged from a file whose first bytes were never written.
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
        let Some((record, behind)) = next else {
            contents.torn_bytes = rest.len();
            break;
        };
        contents.records.push(record);
        rest = behind;
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
        None => "this is no file of a store".to_owned(),
    };
    Corruption { offset: 0, found }
}

/// What is wrong with a record.
enum RecordError {
    HeaderChecksum,
    Header { ordinal: u64, length: usize },
    ContentChecksum,
    Content,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::HeaderChecksum => f.write_str("its head does not have its checksum"),
            RecordError::Header { ordinal, length } => {
                write!(f, "it says that it is record {ordinal}, of {length} bytes")
            }
            RecordError::ContentChecksum => f.write_str("its content does not have its checksum"),
            RecordError::Content => f.write_str("it is whole and makes no sense"),
        }
    }
}

/// Reads the first of these bytes' records and gives the bytes behind it; `None` if its write was
/// never completed.
fn read_record(bytes: &[u8], ordinal: u64) -> Result<Option<(Record, &[u8])>, RecordError> {
    // File systems may extend a file before they write its bytes: the rest is zeros then.
    if bytes.len() < HEADER_BYTES || bytes.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    let (header, behind) = bytes.split_at(HEADER_BYTES);
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
    // With a valid header and too few bytes behind it, the write was never completed.
    if behind.len() < length + CHECKSUM_BYTES {
        return Ok(None);
    }
    let (content, behind) = behind.split_at(length);
    if crc32fast::hash(content) != number(&behind[..CHECKSUM_BYTES]) {
        return Err(RecordError::ContentChecksum);
    }
    let record = Record::parse(content).ok_or(RecordError::Content)?;
    Ok(Some((record, &behind[CHECKSUM_BYTES..])))
}

/// Reads a file of the first format: a line of JSON for each record, without checksums. An
/// incomplete last line counts as torn.
///
/// # Errors
///
/// [`Corruption`] if a complete line is no record.
pub fn read_lines(bytes: &[u8]) -> Result<FileContents, Corruption> {
    let mut contents = FileContents::default();
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        if !line.ends_with(b"\n") {
            contents.torn_bytes = line.len();
            break;
        }
        let corruption = || Corruption {
            offset: contents.valid_bytes,
            found: format!("line {} is no record", contents.records.len() + 1),
        };
        let record = Record::parse(line).ok_or_else(corruption)?;
        contents.records.push(record);
        contents.valid_bytes += line.len();
    }
    Ok(contents)
}

#[cfg(test)]
mod tests;
