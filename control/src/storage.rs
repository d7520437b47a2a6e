//! The format of the log on disk: segments and snapshots of checksummed records.
//!
//! A file is a sequence of frames `length, checksum, record`. A torn frame at the end of the last
//! segment was never acknowledged and is dropped. Any other damage is an error that names the
//! position and the remedy.

mod format1;
mod format2;

pub use format1::{AcceptedV1, ProposalNumberV1, VotesV1};
pub use format2::ControlStateV2;

use crate::state::{ControlState, Update};
use crate::witness::Votes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Size of a frame's header: the length and the checksum of the record.
const FRAME_HEADER_BYTES: usize = 8;
/// The largest record. A greater length in a frame is corruption.
const MAX_RECORD_BYTES: usize = 48 << 20;
/// The format version that this program writes.
pub const FORMAT: u32 = 3;

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The first record of a snapshot or of the first segment.
    Disk {
        /// The format version of the records.
        format: u32,
        /// Drawn when the disk was first used.
        disk: u64,
    },
    /// The witness's votes in format 1.
    VotesV1(VotesV1),
    /// A stored change that is not known to be committed.
    Update(Update),
    /// A full state in format 2.
    InstallV2 {
        /// The committed state.
        state: ControlStateV2,
        /// A stored change that is not known to be committed.
        tail: Option<Update>,
    },
    /// The witness's votes.
    Votes(Votes),
    /// A full state, which replaces the effect of all earlier updates.
    Install {
        /// The committed state.
        state: ControlState,
        /// A stored change that is not known to be committed.
        tail: Option<Update>,
    },
}

/// Why stored records cannot be recovered.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StorageError {
    /// A record does not match its checksum, or cannot be decoded.
    #[error(
        "record at byte {offset} is damaged: move the data directory away and start the node again, it then rejoins with an empty disk"
    )]
    CorruptRecord {
        /// The offset of its frame.
        offset: usize,
    },
    /// The records were written by a newer program.
    #[error(
        "the records are of format {found}, this program reads up to {FORMAT}: start the newer program again"
    )]
    UnsupportedFormat {
        /// The format version of the records.
        found: u32,
    },
    /// A snapshot is incomplete, or a segment is although later segments hold records. Both are
    /// synced as a whole before anything that follows.
    #[error(
        "the file is truncated after byte {valid_length}: move the data directory away and start the node again, it then rejoins with an empty disk"
    )]
    Truncated {
        /// The length of its valid prefix.
        valid_length: usize,
    },
    /// There is no [`Record::Disk`].
    #[error("the first record is missing: move the data directory away and start the node again")]
    MissingHeader,
}

/// Appends a record's frame to `bytes`.
pub fn encode(record: &Record, bytes: &mut Vec<u8>) {
    let body = postcard::to_stdvec(record).unwrap_or_default();
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(crc32fast::hash(&body).to_be_bytes());
    bytes.extend(body);
}

/// Decodes a snapshot. Unlike a segment, a snapshot is synced before it is used, so a torn end is
/// an error. The last record of a complete snapshot is the state.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Vec<Record>, StorageError> {
    let (records, valid_length) = decode(bytes)?;
    let ends_with_state = matches!(
        records.last(),
        Some(Record::Install { .. } | Record::InstallV2 { .. })
    );
    let is_complete = valid_length == bytes.len() && ends_with_state;
    if is_complete {
        Ok(records)
    } else {
        Err(StorageError::Truncated { valid_length })
    }
}

/// Decodes the records of a file. The second value is the length of the valid prefix.
pub fn decode(bytes: &[u8]) -> Result<(Vec<Record>, usize), StorageError> {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some((record, next)) = read_frame(bytes, offset)? {
        records.push(record);
        offset = next;
    }
    Ok((records, offset))
}

fn read_u32(bytes: &[u8], position: usize) -> Option<usize> {
    let four: [u8; 4] = bytes.get(position..position + 4)?.try_into().ok()?;
    Some(u32::from_be_bytes(four) as usize)
}

/// The record of one frame and the offset of the next frame; `None` at the end of the file, even
/// where the file ends within a frame.
fn read_frame(bytes: &[u8], offset: usize) -> Result<Option<(Record, usize)>, StorageError> {
    let (Some(length), Some(checksum)) = (read_u32(bytes, offset), read_u32(bytes, offset + 4))
    else {
        return Ok(None);
    };
    let next = offset + FRAME_HEADER_BYTES + length;
    let Some(body) = bytes.get(offset + FRAME_HEADER_BYTES..next) else {
        return if length > MAX_RECORD_BYTES {
            classify_invalid_frame(bytes, offset)
        } else {
            Ok(None)
        };
    };
    if crc32fast::hash(body) as usize != checksum || length == 0 {
        return classify_invalid_frame(bytes, offset);
    }
    match postcard::from_bytes(body) {
        Ok(record) => Ok(Some((record, next))),
        Err(_) => Err(StorageError::CorruptRecord { offset }),
    }
}

/// Distinguishes a torn write, which is never followed by a valid frame, from corruption in the
/// middle of the file. Returns `None` for a torn write.
fn classify_invalid_frame(
    bytes: &[u8],
    offset: usize,
) -> Result<Option<(Record, usize)>, StorageError> {
    let valid_frame_at = |position: usize| {
        let length =
            read_u32(bytes, position).filter(|length| (1..=MAX_RECORD_BYTES).contains(length))?;
        let checksum = read_u32(bytes, position + 4)?;
        let body =
            bytes.get(position + FRAME_HEADER_BYTES..position + FRAME_HEADER_BYTES + length)?;
        (crc32fast::hash(body) as usize == checksum).then_some(())
    };
    let has_valid_frame_after = (offset + 1..bytes.len().saturating_sub(FRAME_HEADER_BYTES))
        .any(|position| valid_frame_at(position).is_some());
    if has_valid_frame_after {
        Err(StorageError::CorruptRecord { offset })
    } else {
        Ok(None)
    }
}

/// The state recovered from a disk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Drawn when the disk was first used.
    pub disk: u64,
    /// The witness's votes.
    pub votes: Votes,
    /// The state after all changes that are known to be committed.
    pub state: ControlState,
    /// A stored change that is not known to be committed.
    pub tail: Option<Update>,
}

impl Recovered {
    /// Replays records in the order in which they were written.
    pub fn replay(records: impl IntoIterator<Item = Record>) -> Result<Self, StorageError> {
        let mut recovered = Recovered::default();
        for record in records {
            recovered.apply(record)?;
        }
        if recovered.disk == 0 {
            Err(StorageError::MissingHeader)
        } else {
            Ok(recovered)
        }
    }

    fn apply(&mut self, record: Record) -> Result<(), StorageError> {
        match record {
            Record::Disk { format, .. } if format > FORMAT => {
                return Err(StorageError::UnsupportedFormat { found: format });
            }
            Record::Disk { disk, .. } => self.disk = disk,
            Record::VotesV1(votes) => self.votes = votes.into(),
            Record::Votes(votes) => self.votes = votes,
            Record::InstallV2 { state, tail } => (self.state, self.tail) = (state.into(), tail),
            Record::Install { state, tail } => (self.state, self.tail) = (state, tail),
            Record::Update(update) => {
                // The primary replicates a change only once the one before it is committed.
                let committed = self
                    .tail
                    .take()
                    .filter(|tail| tail.position.index < update.position.index);
                if let Some(committed) = committed {
                    self.state.apply(&committed);
                }
                self.tail = Some(update);
            }
        }
        Ok(())
    }

    /// The records of a snapshot of this state.
    pub fn records(&self) -> Vec<Record> {
        vec![
            Record::Disk {
                format: FORMAT,
                disk: self.disk,
            },
            Record::Votes(self.votes.clone()),
            Record::Install {
                state: self.state.clone(),
                tail: self.tail.clone(),
            },
        ]
    }
}
