//! The record of the system's first start: which replica this disk belongs to, and which machines
//! decide the first view.
//!
//! It is the first file that is written to a data directory, and only where the settings say that
//! the whole system starts for the first time. A disk that holds it has kept every vote on the
//! first view that its replica gave; a disk without it may replace one that did not.

use super::{DiskError, io_error};
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;

/// Name of the file. Earlier builds don't read it.
pub(super) const FILE: &str = "first-start";
/// Name under which the file is written before it gets its own.
pub(super) const NEW_FILE: &str = "first-start.new";

/// What a replica recorded at the system's first start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstStart {
    /// The id of the disk that the record belongs to.
    pub disk: u64,
    /// The internal addresses of the seeds at that time, in their order. Later settings may name
    /// other seeds, whose votes on the first view must not count.
    pub electorate: Vec<SocketAddrV4>,
}

impl FirstStart {
    /// The contents of the file.
    pub(super) fn encode(&self) -> io::Result<Vec<u8>> {
        let body = postcard::to_stdvec(self).map_err(io::Error::other)?;
        let checksum = crc32fast::hash(&body).to_be_bytes();
        Ok([&checksum[..], &body].concat())
    }

    /// Reads the file's contents; `None` if they are torn.
    fn decode(bytes: &[u8]) -> Option<Self> {
        let (checksum, body) = bytes.split_first_chunk::<4>()?;
        if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}

/// Reads the record in a data directory. `None` if there is none, or a torn one: a replica votes
/// only after its record was synced.
pub fn read(folder: &Path) -> Result<Option<FirstStart>, DiskError> {
    // A loss of power may undo the change of the name.
    for name in [FILE, NEW_FILE] {
        let path = folder.join(name);
        match fs::read(&path) {
            Ok(bytes) => {
                if let Some(record) = FirstStart::decode(&bytes) {
                    return Ok(Some(record));
                }
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(io_error(&path)(error)),
        }
    }
    Ok(None)
}
