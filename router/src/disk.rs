//! Persistence of the control state: a snapshot, and a log in segments.
//!
//! A snapshot is written and synced under a temporary name, and then renamed. The segment with the
//! same number holds the records that follow it; files with lower numbers are obsolete. The record
//! of the system's first start is written before all others, see [`first_start`].

pub mod file_system;
pub mod first_start;
mod reader;
mod writer;

pub use reader::{read, read_fleet, read_or_quarantine, read_replica};
pub use writer::{CompletionSender, Disk};

use control::directory::{Key, Value};
use control::storage::{FORMAT, Record, Recovered, StorageError};
use file_system::FileSystem;
use first_start::FirstStart;
use routing::version_floor::AnnouncedVersion;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Name of the file with the known state of the fleet.
const FLEET_FILE: &str = "fleet";
/// Name under which that file is written before it replaces the previous one.
const NEW_FLEET_FILE: &str = "fleet.new";
/// Name of the folder for corrupt snapshots and segments.
const QUARANTINE_FOLDER: &str = "damaged";

/// The known state of the fleet, saved for the next start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedFleet {
    /// Backends and members.
    pub records: Vec<(Key, Value)>,
    /// Announced versions of weights, with their ages at the time of the save.
    pub announced_weights: Vec<AnnouncedVersion>,
}

/// What a data directory says about its replica when a process starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredReplica {
    /// The recovered records.
    pub recovered: Recovered,
    /// The internal addresses of the machines that decide the first view, if this replica may vote
    /// on it; else empty.
    pub electorate: Vec<SocketAddrV4>,
    /// The record of the system's first start, where it has to be written.
    pub unwritten: Option<FirstStart>,
}

impl From<Recovered> for StoredReplica {
    /// A replica that does not vote on the first view.
    fn from(recovered: Recovered) -> Self {
        StoredReplica {
            recovered,
            ..StoredReplica::default()
        }
    }
}

/// Why a data directory can't be used.
#[derive(Debug, Error)]
pub enum DiskError {
    /// An I/O error.
    #[error("{path}: {error}; check that the directory exists, is writable and has free space")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The records are corrupt.
    #[error("{path}: {damage}")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The kind of corruption.
        damage: StorageError,
    },
}

fn io_error(path: &Path) -> impl FnOnce(io::Error) -> DiskError {
    let path = path.to_owned();
    move |error| DiskError::Io { path, error }
}

/// The numbers of the snapshots and segments in a data directory, in ascending order.
#[derive(Debug, Default)]
struct Files {
    snapshots: Vec<u64>,
    segments: Vec<u64>,
}

fn snapshot_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("snapshot-{number:08}"))
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("segment-{number:08}"))
}

fn list(file_system: &impl FileSystem, folder: &Path) -> io::Result<Files> {
    let mut files = Files::default();
    for name in file_system.list(folder)? {
        let number = |prefix: &str| name.strip_prefix(prefix)?.parse::<u64>().ok();
        files.snapshots.extend(number("snapshot-"));
        files.segments.extend(number("segment-"));
    }
    files.snapshots.sort_unstable();
    files.segments.sort_unstable();
    Ok(files)
}

/// The contents of a new data directory with this disk id.
pub fn empty(disk: u64) -> Recovered {
    let record = Record::Disk {
        format: FORMAT,
        disk,
    };
    Recovered::replay([record]).unwrap_or_default()
}
