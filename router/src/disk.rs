//! The control state's records on disk: a log in segments with a snapshot beside it.
//!
//! A snapshot with its number is written and synced under another name before it is renamed; the
//! segment of the same number follows on it. Whatever has a lower number is void from then on.

mod reader;
mod writer;

pub use reader::{read, read_fleet, read_or_set_aside};
pub use writer::{Disk, Done};

use control::directory::{Key, Value};
use control::storage::{FORMAT, Record, Recovered, StorageError};
use routing::version_floor::NamedVersion;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Holds what was known of the fleet.
const FLEET_FILE: &str = "fleet";
/// Holds records that could not be used.
const DAMAGED_FOLDER: &str = "damaged";

/// What is known of the fleet, for the next start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Backends and members.
    pub records: Vec<(Key, Value)>,
    /// Versions of weights, and for how long they were named at that time.
    pub named_weights: Vec<NamedVersion>,
}

/// Why a data directory can't be used.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The system refuses.
    #[error("{path}: {problem}; check that the folder exists, can be written and has room")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        problem: io::Error,
    },
    /// What is stored makes no sense.
    #[error("{path}: {damage}")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        damage: StorageError,
    },
}

fn io_error(path: &Path) -> impl FnOnce(io::Error) -> DiskError {
    let path = path.to_owned();
    move |problem| DiskError::Io { path, problem }
}

/// The files of a data directory.
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

fn list(folder: &Path) -> io::Result<Files> {
    let mut files = Files::default();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name().to_string_lossy().into_owned();
        let number = |prefix: &str| name.strip_prefix(prefix)?.parse::<u64>().ok();
        files.snapshots.extend(number("snapshot-"));
        files.segments.extend(number("segment-"));
    }
    files.snapshots.sort_unstable();
    files.segments.sort_unstable();
    Ok(files)
}

/// What a new disk begins with.
pub fn empty(disk: u64) -> Recovered {
    let record = Record::Disk {
        format: FORMAT,
        disk,
    };
    Recovered::replay([record]).unwrap_or_default()
}
