//! What is kept on disk: records in checksummed frames, in segments with a snapshot beside them.
//!
//! A segment is a sequence of frames `length, checksum, record`. A frame that is cut off at the end
//! of the last segment was never acknowledged and is dropped; any other damage is an error that
//! names the place and the remedy.

mod format1;
mod format2;

pub use format1::{AcceptedV1, ProposalNumberV1, VotesV1};
pub use format2::ControlStateV2;

use crate::state::{ControlState, Update};
use crate::witness::Votes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes before a record: its length and its checksum.
const FRAME_HEADER_BYTES: usize = 8;
/// The longest record; a longer length can only be damage.
const MAX_RECORD_BYTES: usize = 48 << 20;
/// The format written by this program.
pub const FORMAT: u32 = 3;

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The first record of a snapshot or of the first segment.
    Disk {
        /// The format of the records.
        format: u32,
        /// Drawn when the disk was first used.
        disk: u64,
    },
    /// The witness's votes as format 1 had them.
    VotesV1(VotesV1),
    /// A change that is stored and not yet known to be committed.
    Update(Update),
    /// A state as format 2 had it.
    InstallV2 {
        /// The committed state.
        state: ControlStateV2,
        /// A stored change that is not known to be committed.
        tail: Option<Update>,
    },
    /// The witness's votes.
    Votes(Votes),
    /// A state that takes the place of all before.
    Install {
        /// The committed state.
        state: ControlState,
        /// A stored change that is not known to be committed.
        tail: Option<Update>,
    },
}

/// Why stored records can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StorageError {
    /// A record does not match its checksum, or makes no sense.
    #[error(
        "record at byte {offset} is damaged: move the data directory away and start the node again, it then rejoins with an empty disk"
    )]
    CorruptRecord {
        /// Where it begins.
        offset: usize,
    },
    /// Written by a later program.
    #[error(
        "the records are of format {found}, this program reads up to {FORMAT}: start the newer program again"
    )]
    UnsupportedFormat {
        /// The format found.
        found: u32,
    },
    /// A file that was written and synced as a whole is not whole.
    #[error(
        "the file ends after byte {valid_length} though more was stored: move the data directory away and start the node again, it then rejoins with an empty disk"
    )]
    Truncated {
        /// The length of its sound part.
        valid_length: usize,
    },
    /// There is no first record.
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

/// Reads a snapshot, which was written and synced as a whole; its last record is the state.
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
        Err(StorageError::Truncated {
            valid_length: valid_length,
        })
    }
}

/// Reads the frames of a file; the second value is the length of its sound part.
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

/// One frame, and where the next one begins; none where the file ends, be it within a frame.
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

/// A torn write leaves no sound frame behind it; damage in the middle does.
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

/// What a disk holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Drawn when the disk was first used.
    pub disk: u64,
    /// The witness's votes.
    pub votes: Votes,
    /// The committed state, as far as it is known to be committed.
    pub state: ControlState,
    /// A stored change that is not known to be committed.
    pub tail: Option<Update>,
}

impl Recovered {
    /// Replays records in their order.
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
                // A change is only ordered once the one before it is committed.
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

    /// The records that a snapshot of this consists of.
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
