//! The records of a member's file, as bytes: each with its length, its place in the file and a
//! checksum of both its head and its content, so that a file cut short by a crash can be told from
//! one that was damaged.

use crate::packet::{self, Entries, Snapshot};
use crate::rejoin::Peer;
use serde_json::{Value as Json, json};
use std::fmt;

/// One record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The member has started once more, and this is the count. Written before anything is promised
    /// in that life.
    Start(u64),
    /// Which store this is.
    Cluster(u64),
    /// The present term.
    Term(u64),
    /// Who has this member's vote in it.
    Vote(Option<u64>),
    /// Entries at their place; they replace what stood there and after.
    Append(Entries),
    /// Everything up to a place.
    Snapshot(Snapshot),
    /// How often the member had lost its file.
    Generation(u64),
    /// What another member is known to have told of itself.
    Peer(u64, Peer),
    /// The member is part of a store in which it has not voted yet.
    Joined,
    /// Whether the member is still about to begin the store.
    Founding(bool),
    /// What stands before was not all that the member had promised.
    Lost,
}

impl Record {
    fn json(&self) -> Json {
        match self {
            Record::Start(count) => json!({"start": count}),
            Record::Cluster(id) => json!({"cluster": id}),
            Record::Term(term) => json!({"term": term}),
            Record::Vote(vote) => json!({"vote": vote}),
            Record::Append(entries) => json!({"append": packet::write_entries(entries)}),
            Record::Snapshot(snapshot) => json!({"snapshot": packet::write_snapshot(snapshot)}),
            Record::Generation(generation) => json!({"generation": generation}),
            Record::Peer(id, peer) => {
                json!({"peer": [id, peer.generation, peer.starts, peer.life]})
            }
            Record::Joined => json!({"joined": true}),
            Record::Founding(still) => json!({"founding": still}),
            Record::Lost => json!({"lost": true}),
        }
    }

    /// Reads a record's content.
    pub fn parse(text: &[u8]) -> Option<Record> {
        let json: Json = serde_json::from_slice(text).ok()?;
        let (kind, value) = json.as_object().filter(|o| o.len() == 1)?.iter().next()?;
        Some(match kind.as_str() {
            "start" => Record::Start(value.as_u64()?),
            "cluster" => Record::Cluster(value.as_u64()?),
            "term" => Record::Term(value.as_u64()?),
            "vote" if value.is_null() => Record::Vote(None),
            "vote" => Record::Vote(Some(value.as_u64()?)),
            "append" => Record::Append(packet::read_entries(value)?),
            "snapshot" => Record::Snapshot(packet::read_snapshot(value)?),
            "generation" => Record::Generation(value.as_u64()?),
            "peer" => {
                let number = |at: usize| value[at].as_u64();
                Record::Peer(number(0)?, Peer::known(number(1)?, number(2)?, number(3)?))
            }
            "joined" => Record::Joined,
            "founding" => Record::Founding(value.as_bool()?),
            "lost" => Record::Lost,
            _ => return None,
        })
    }
}

/// What a file begins with; the last byte is the version of its format.
pub const MAGIC: &[u8; 8] = b"bittern\x03";
/// The format before, of which every record is one of this format too: it had no transactions and
/// no sessions.
const FORMER: &[u8; 8] = b"bittern\x02";

/// Bytes of a record before its content: its length, its place, and the checksum of both.
const HEAD: usize = 16;
/// Bytes behind its content: the checksum of that.
const TAIL: usize = 4;
/// The longest content that is taken for one.
const LONGEST: usize = 64 << 20;

/// One record as it stands in a file, at this place counted from 1.
pub fn encode(record: &Record, place: u64) -> Vec<u8> {
    let content = record.json().to_string().into_bytes();
    let mut bytes = Vec::with_capacity(HEAD + content.len() + TAIL);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&place.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(&content);
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes
}

/// What a file holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// Its records.
    pub records: Vec<Record>,
    /// Bytes up to the end of the last whole one.
    pub whole: usize,
    /// Bytes behind that, of a record that was being written when the power went.
    pub torn: usize,
}

/// Why a file cannot be used. A member that made up for what is damaged could break a promise it
/// has given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Damage {
    /// Where, in bytes from the file's begin.
    pub offset: usize,
    /// What stands there.
    pub found: String,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at byte {}: {}", self.offset, self.found)
    }
}

impl std::error::Error for Damage {}

fn number(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .rev()
        .fold(0, |sum, byte| sum << 8 | u32::from(*byte))
}

/// Reads a file of this format. Whatever its bytes, it gives its whole records, or says where it is
/// damaged.
pub fn read(bytes: &[u8]) -> Result<Read, Damage> {
    let mut read = Read {
        records: Vec::new(),
        whole: 0,
        torn: 0,
    };
    let Some(rest) = bytes
        .strip_prefix(MAGIC)
        .or_else(|| bytes.strip_prefix(FORMER))
    else {
        // Nothing was promised in a file whose first bytes never came.
        if MAGIC.starts_with(bytes) || FORMER.starts_with(bytes) {
            read.torn = bytes.len();
            return Ok(read);
        }
        let found = match bytes
            .strip_prefix(&MAGIC[..7])
            .and_then(|rest| rest.first())
        {
            Some(version) => format!("format {version}; this program reads format {}", MAGIC[7]),
            None => "this is no file of a store".to_owned(),
        };
        return Err(Damage { offset: 0, found });
    };
    read.whole = MAGIC.len();
    let mut rest = rest;
    while !rest.is_empty() {
        let (offset, place) = (read.whole, read.records.len() as u64 + 1);
        let damage = |found: String| Damage {
            offset,
            found: format!("record {place}: {found}"),
        };
        // A file made longer before its bytes came is all zeros from there on.
        if rest.len() < HEAD || rest.iter().all(|byte| *byte == 0) {
            read.torn = rest.len();
            break;
        }
        let (head, behind) = rest.split_at(HEAD);
        if crc32fast::hash(&head[..12]) != number(&head[12..]) {
            return Err(damage("its head does not have its checksum".to_owned()));
        }
        let (length, told) = (
            number(&head[..4]) as usize,
            u64::from_le_bytes(head[4..12].try_into().expect("8")),
        );
        if told != place || length > LONGEST {
            return Err(damage(format!(
                "it says that it is record {told}, of {length} bytes"
            )));
        }
        // The head is whole and says how much was to follow: the write never ended.
        if behind.len() < length + TAIL {
            read.torn = rest.len();
            break;
        }
        let (content, behind) = behind.split_at(length);
        if crc32fast::hash(content) != number(&behind[..TAIL]) {
            return Err(damage("its content does not have its checksum".to_owned()));
        }
        let record = Record::parse(content);
        read.records
            .push(record.ok_or_else(|| damage("it is whole and makes no sense".to_owned()))?);
        rest = &behind[TAIL..];
        read.whole = bytes.len() - rest.len();
    }
    Ok(read)
}

/// Reads a file of the first format: a line of JSON for each record and no checksum. A last line
/// cut short is dropped.
pub fn read_lines(bytes: &[u8]) -> Result<Read, Damage> {
    let mut read = Read {
        records: Vec::new(),
        whole: 0,
        torn: 0,
    };
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        if !line.ends_with(b"\n") {
            read.torn = line.len();
            break;
        }
        let damage = || Damage {
            offset: read.whole,
            found: format!("line {} is no record", read.records.len() + 1),
        };
        let record = Record::parse(line).ok_or_else(damage)?;
        read.records.push(record);
        read.whole += line.len();
    }
    Ok(read)
}

#[cfg(test)]
mod tests;
