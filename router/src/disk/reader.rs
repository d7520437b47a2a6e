//! Reading a data directory.

use super::{
    DAMAGED_FOLDER, DiskError, FLEET_FILE, Known, io_error, list, segment_path, snapshot_path,
};
use control::storage::{Record, Recovered, StorageError, decode, decode_snapshot};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// What was known of the fleet when the process ended; nothing where that was not kept or is not
/// sound.
pub fn read_fleet(folder: &Path) -> Known {
    let bytes = fs::read(folder.join(FLEET_FILE)).unwrap_or_default();
    let Some((checksum, body)) = bytes.split_first_chunk::<4>() else {
        return Known::default();
    };
    if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
        return Known::default();
    }
    postcard::from_bytes(body).unwrap_or_default()
}

/// What a data directory holds; none where it has never been used.
pub fn read(folder: &Path) -> Result<Option<Recovered>, DiskError> {
    let files = list(folder).map_err(io_error(folder))?;
    let first = files.snapshots.last().copied().unwrap_or(0);
    let mut records = Vec::new();
    if first > 0 {
        let path = snapshot_path(folder, first);
        records.extend(decode_snapshot(&read_file(&path)?).map_err(damaged(&path))?);
    }
    let segments = files.segments.iter().filter(|number| **number >= first);
    records.extend(read_segments(
        segments.map(|number| segment_path(folder, *number)),
    )?);
    if records.is_empty() {
        return Ok(None);
    }
    Recovered::replay(records)
        .map(Some)
        .map_err(damaged(folder))
}

/// The records of segments one after the other. A write that a loss of power cut off ends them:
/// what follows is empty.
fn read_segments(paths: impl Iterator<Item = PathBuf>) -> Result<Vec<Record>, DiskError> {
    let mut records = Vec::new();
    let mut cut_off: Option<(PathBuf, usize)> = None;
    for path in paths {
        let bytes = read_file(&path)?;
        let (found, sound) = decode(&bytes).map_err(damaged(&path))?;
        if let Some((path, sound)) = cut_off.take_if(|_| !found.is_empty()) {
            return Err(damaged(&path)(StorageError::Truncated {
                valid_length: sound,
            }));
        }
        records.extend(found);
        if sound < bytes.len() {
            cut_off = Some((path, sound));
        }
    }
    Ok(records)
}

fn read_file(path: &Path) -> Result<Vec<u8>, DiskError> {
    fs::read(path).map_err(io_error(path))
}

fn damaged(path: &Path) -> impl FnOnce(StorageError) -> DiskError {
    let path = path.to_owned();
    move |damage| DiskError::Damaged { path, damage }
}

/// What a data directory holds. One whose records are damaged is set aside, and the node rejoins as
/// one that lost its disk.
pub fn read_or_set_aside(folder: &Path) -> Result<Option<Recovered>, DiskError> {
    match read(folder) {
        Err(DiskError::Damaged { path, damage }) => {
            log::error!("{}: {damage}; the records are set aside", path.display());
            set_aside(folder).map_err(io_error(folder))?;
            Ok(None)
        }
        other => other,
    }
}

/// Keeps damaged records under other names, in place of those of an earlier time.
fn set_aside(folder: &Path) -> io::Result<()> {
    let files = list(folder)?;
    let aside = folder.join(DAMAGED_FOLDER);
    if aside.exists() {
        fs::remove_dir_all(&aside)?;
    }
    fs::create_dir(&aside)?;
    let snapshots = files
        .snapshots
        .iter()
        .map(|number| snapshot_path(folder, *number));
    let segments = files
        .segments
        .iter()
        .map(|number| segment_path(folder, *number));
    for path in snapshots.chain(segments) {
        if let Some(name) = path.file_name() {
            fs::rename(&path, aside.join(name))?;
        }
    }
    File::open(folder)?.sync_all()
}
