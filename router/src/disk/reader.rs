//! Reads a data directory.

use super::file_system::LocalFileSystem;
use super::first_start::{self, FirstStart};
use super::{
    DiskError, FLEET_FILE, NEW_FLEET_FILE, PersistedFleet, QUARANTINE_FOLDER, StoredReplica, empty,
    io_error, list, segment_path, snapshot_path,
};
use control::storage::{Record, Recovered, StorageError, decode, decode_snapshot};
use std::fs::{self, File};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// Reads the state of the fleet that a previous process saved; empty if there is none. A loss of
/// power while a save replaces the file may leave only the new file under its first name.
pub fn read_fleet(folder: &Path) -> PersistedFleet {
    let files = [FLEET_FILE, NEW_FLEET_FILE].map(|name| folder.join(name));
    let existing: Vec<&PathBuf> = files.iter().filter(|path| path.exists()).collect();
    let found = existing.iter().find_map(|path| decode_fleet(path));
    if found.is_none() && !existing.is_empty() {
        log::error!(
            "{}: the saved state of the fleet can't be read; backends and members are unknown until other nodes or heartbeats report them",
            folder.display()
        );
    }
    found.unwrap_or_default()
}

/// Decodes a saved state of the fleet; `None` if it is incomplete or corrupt.
fn decode_fleet(path: &Path) -> Option<PersistedFleet> {
    let bytes = fs::read(path).ok()?;
    let (checksum, body) = bytes.split_first_chunk::<4>()?;
    if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
        return None;
    }
    postcard::from_bytes(body).ok()
}

/// Reads the records of a data directory; `None` if it holds none.
pub fn read(folder: &Path) -> Result<Option<Recovered>, DiskError> {
    let files = list(&LocalFileSystem, folder).map_err(io_error(folder))?;
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

/// Reads the records of consecutive segments. A truncated record, as a power loss during a write
/// leaves it, ends the log: later segments have to be empty.
fn read_segments(paths: impl Iterator<Item = PathBuf>) -> Result<Vec<Record>, DiskError> {
    let mut records = Vec::new();
    let mut truncated: Option<(PathBuf, usize)> = None;
    for path in paths {
        let bytes = read_file(&path)?;
        let (found, valid_bytes) = decode(&bytes).map_err(damaged(&path))?;
        if let Some((path, valid_bytes)) = truncated.take_if(|_| !found.is_empty()) {
            return Err(damaged(&path)(StorageError::Truncated {
                valid_length: valid_bytes,
            }));
        }
        records.extend(found);
        if valid_bytes < bytes.len() {
            truncated = Some((path, valid_bytes));
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

/// Reads what a data directory says about its replica. `seeds` are the internal addresses of the
/// seeds at the system's first start, and empty at every other start.
///
/// # Errors
///
/// The directory can't be read.
pub fn read_replica(folder: &Path, seeds: &[SocketAddrV4]) -> Result<StoredReplica, DiskError> {
    let found = read_or_quarantine(folder)?;
    let record = first_start::read(folder)?;
    // A process may end between its first two writes: the record and the first snapshot.
    let disk = record
        .as_ref()
        .map_or_else(|| fastrand::u64(1..), |record| record.disk);
    let recovered = found.unwrap_or_else(|| empty(disk));
    if let Some(record) = record.filter(|record| record.disk == recovered.disk) {
        return Ok(StoredReplica {
            recovered,
            electorate: record.electorate,
            unwritten: None,
        });
    }
    let is_voter = !seeds.is_empty() && recovered.votes.decided.is_none();
    if !is_voter {
        return Ok(recovered.into());
    }
    let unwritten = FirstStart {
        disk: recovered.disk,
        electorate: seeds.to_vec(),
    };
    Ok(StoredReplica {
        recovered,
        electorate: seeds.to_vec(),
        unwritten: Some(unwritten),
    })
}

/// Reads a data directory. Corrupt records are moved to the quarantine folder, and the node rejoins
/// like one that lost its disk.
pub fn read_or_quarantine(folder: &Path) -> Result<Option<Recovered>, DiskError> {
    match read(folder) {
        Err(DiskError::Damaged { path, damage }) => {
            log::error!(
                "{}: {damage}; moving the records to the folder {QUARANTINE_FOLDER}",
                path.display()
            );
            quarantine_records(folder).map_err(io_error(folder))?;
            Ok(None)
        }
        other => other,
    }
}

/// Moves snapshots, segments and the record of the first start to the quarantine folder, and deletes its previous contents.
fn quarantine_records(folder: &Path) -> io::Result<()> {
    let files = list(&LocalFileSystem, folder)?;
    let quarantine = folder.join(QUARANTINE_FOLDER);
    if quarantine.exists() {
        fs::remove_dir_all(&quarantine)?;
    }
    fs::create_dir(&quarantine)?;
    let snapshots = files
        .snapshots
        .iter()
        .map(|number| snapshot_path(folder, *number));
    let segments = files
        .segments
        .iter()
        .map(|number| segment_path(folder, *number));
    let records = [first_start::FILE, first_start::NEW_FILE].map(|name| folder.join(name));
    let records = records.into_iter().filter(|path| path.exists());
    for path in snapshots.chain(segments).chain(records) {
        if let Some(name) = path.file_name() {
            fs::rename(&path, quarantine.join(name))?;
        }
    }
    File::open(folder)?.sync_all()
}
