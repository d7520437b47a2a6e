//! The thread that writes to a data directory.

use super::file_system::{FileSystem, LocalFileSystem, OpenFile};
use super::first_start::{self, FirstStart};
use super::{
    DiskError, FLEET_FILE, NEW_FLEET_FILE, PersistedFleet, QUARANTINE_FOLDER, StoredReplica,
    io_error, list, segment_path, snapshot_path,
};
use control::storage::{Record, Recovered, encode};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;

/// A segment that exceeds this size is replaced by a snapshot and a new segment.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Interval between attempts to write to a failing disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Jobs of the writer thread.
#[derive(Debug)]
enum Job {
    /// Appends records and syncs them.
    Append { sequence: u64, bytes: Vec<u8> },
    /// Writes the record of the system's first start.
    RecordFirstStart(FirstStart),
    /// Replaces the snapshot and the segment by a new snapshot and an empty segment.
    Compact { bytes: Vec<u8> },
    /// Replaces the saved state of the fleet.
    Save {
        bytes: Vec<u8>,
        written: oneshot::Sender<()>,
    },
}

/// Receives the sequence numbers of completed writes.
pub type CompletionSender = tokio::sync::mpsc::UnboundedSender<u64>;

/// Handle of the writer thread of one data directory.
#[derive(Debug)]
pub struct Disk {
    jobs: mpsc::Sender<Job>,
    bytes_since_snapshot: u64,
}

impl Disk {
    /// Starts the writer thread of a data directory, which first writes the record of the system's
    /// first start, if there is one, and a snapshot of the recovered contents.
    pub fn open(
        folder: &Path,
        stored: &StoredReplica,
        done: CompletionSender,
    ) -> Result<Self, DiskError> {
        Self::open_on(LocalFileSystem, folder, stored, done)
    }

    /// The same on a given file system.
    pub fn open_on(
        file_system: impl FileSystem,
        folder: &Path,
        stored: &StoredReplica,
        done: CompletionSender,
    ) -> Result<Self, DiskError> {
        let files = list(&file_system, folder).map_err(io_error(folder))?;
        let newest = files
            .snapshots
            .iter()
            .chain(&files.segments)
            .max()
            .copied()
            .unwrap_or(0);
        let (jobs, queue) = mpsc::channel();
        let writer = Writer {
            file_system,
            folder: folder.to_owned(),
            number: newest,
            segment: None,
            length: 0,
            done,
        };
        let spawned = thread::Builder::new()
            .name("disk".into())
            .spawn(move || writer.run(&queue));
        spawned.map_err(io_error(folder))?;
        let disk = Disk {
            jobs,
            bytes_since_snapshot: 0,
        };
        if let Some(record) = &stored.unwritten {
            let _ = disk.jobs.send(Job::RecordFirstStart(record.clone()));
        }
        disk.compact(&stored.recovered);
        Ok(disk)
    }

    /// Appends records; `sequence` is sent to the completion channel once they are synced.
    pub fn append(&mut self, sequence: u64, records: &[Record]) {
        let mut bytes = Vec::new();
        records.iter().for_each(|record| encode(record, &mut bytes));
        self.bytes_since_snapshot += bytes.len() as u64;
        // The thread runs for as long as this handle exists.
        let _ = self.jobs.send(Job::Append { sequence, bytes });
    }

    /// Returns whether the segment is large enough for a snapshot.
    pub fn needs_snapshot(&self) -> bool {
        self.bytes_since_snapshot > SEGMENT_BYTES
    }

    /// Replaces all records that were appended so far by a snapshot.
    pub fn snapshot(&mut self, recovered: &Recovered) {
        self.bytes_since_snapshot = 0;
        self.compact(recovered);
    }

    /// Saves the known state of the fleet for the next start. The receiver gets a message once the
    /// save survives a loss of power, and an error if the save fails.
    pub fn save_fleet(&self, known: &PersistedFleet) -> oneshot::Receiver<()> {
        let (written, receiver) = oneshot::channel();
        if let Ok(bytes) = postcard::to_stdvec(known) {
            let _ = self.jobs.send(Job::Save { bytes, written });
        }
        receiver
    }

    fn compact(&self, recovered: &Recovered) {
        let mut bytes = Vec::new();
        recovered
            .records()
            .iter()
            .for_each(|record| encode(record, &mut bytes));
        let _ = self.jobs.send(Job::Compact { bytes });
    }
}

struct Writer<F: FileSystem> {
    file_system: F,
    folder: PathBuf,
    number: u64,
    segment: Option<F::File>,
    length: u64,
    done: CompletionSender,
}

impl<F: FileSystem> Writer<F> {
    fn run(mut self, queue: &mpsc::Receiver<Job>) {
        while let Ok(job) = queue.recv() {
            match job {
                Job::Append { sequence, bytes } => {
                    self.retry_until_ok(|writer| writer.append(&bytes));
                    // The receiver is dropped only when the process ends.
                    let _ = self.done.send(sequence);
                }
                Job::RecordFirstStart(record) => {
                    self.retry_until_ok(|writer| writer.record_first_start(&record));
                }
                Job::Compact { bytes } => self.retry_until_ok(|writer| writer.compact(&bytes)),
                // A failed save is not repeated here: a newer one may replace it.
                Job::Save { bytes, written } => match self.save(&bytes) {
                    Ok(()) => {
                        // The receiver is dropped only when the process ends.
                        let _ = written.send(());
                    }
                    Err(error) => {
                        log::debug!("the state of the fleet could not be saved: {error}");
                    }
                },
            }
        }
    }

    /// Repeats `work` until it succeeds.
    fn retry_until_ok(&mut self, mut work: impl FnMut(&mut Self) -> io::Result<()>) {
        let mut has_warned = false;
        while let Err(error) = work(self) {
            if !std::mem::replace(&mut has_warned, true) {
                log::warn!(
                    "{}: {error}; retrying the write until it succeeds",
                    self.folder.display()
                );
                self.discard_quarantine();
            }
            thread::sleep(RETRY_INTERVAL);
        }
        if has_warned {
            log::info!(
                "{}: the write succeeded after retries",
                self.folder.display()
            );
        }
    }

    /// Deletes the quarantine folder to free space. Corrupt records are kept for analysis only
    /// while writes succeed.
    fn discard_quarantine(&self) {
        let quarantine = self.folder.join(QUARANTINE_FOLDER);
        if quarantine.exists()
            && let Err(error) = fs::remove_dir_all(&quarantine)
        {
            log::debug!("{}: {error}", quarantine.display());
        }
    }

    fn save(&self, bytes: &[u8]) -> io::Result<()> {
        let checksum = crc32fast::hash(bytes).to_be_bytes();
        let contents = [&checksum[..], bytes].concat();
        self.replace_file(NEW_FLEET_FILE, FLEET_FILE, &contents)
    }

    fn record_first_start(&self, record: &FirstStart) -> io::Result<()> {
        self.replace_file(first_start::NEW_FILE, first_start::FILE, &record.encode()?)
    }

    /// Writes a file under a temporary name, and renames it once it is synced.
    fn replace_file(&self, temporary: &str, name: &str, contents: &[u8]) -> io::Result<()> {
        let temporary = self.folder.join(temporary);
        self.write_file(&temporary, contents)?;
        self.file_system
            .rename(&temporary, &self.folder.join(name))?;
        self.file_system.sync_folder(&self.folder)
    }

    /// Writes a file and syncs it.
    fn write_file(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut file = self.file_system.create(path)?;
        file.write_at(0, bytes)?;
        file.sync()
    }

    /// Appends to the segment, after truncating bytes that a failed attempt left beyond its valid
    /// length.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(segment) = &mut self.segment else {
            return Err(io::Error::other("no segment is open"));
        };
        segment.write_at(self.length, bytes)?;
        segment.sync_contents()?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Writes a snapshot and a new, empty segment, and only then removes the old files.
    fn compact(&mut self, bytes: &[u8]) -> io::Result<()> {
        let number = self.number + 1;
        let temporary = self.folder.join("snapshot.new");
        self.write_file(&temporary, bytes)?;
        // The segment is created before the snapshot is renamed: an empty segment does no harm, but
        // records that follow a snapshot without a segment would be lost.
        let mut segment = self
            .file_system
            .create(&segment_path(&self.folder, number))?;
        segment.sync()?;
        self.file_system
            .rename(&temporary, &snapshot_path(&self.folder, number))?;
        self.file_system.sync_folder(&self.folder)?;
        (self.segment, self.length, self.number) = (Some(segment), 0, number);
        self.remove_obsolete();
        Ok(())
    }

    /// Removes obsolete files. Those that can't be removed do no harm, as the newest snapshot
    /// counts.
    fn remove_obsolete(&self) {
        let Ok(files) = list(&self.file_system, &self.folder) else {
            return;
        };
        let is_obsolete = |number: &&u64| **number < self.number;
        let snapshots = files
            .snapshots
            .iter()
            .filter(is_obsolete)
            .map(|at| snapshot_path(&self.folder, *at));
        let segments = files
            .segments
            .iter()
            .filter(is_obsolete)
            .map(|at| segment_path(&self.folder, *at));
        for path in snapshots.chain(segments) {
            if let Err(error) = self.file_system.remove(&path) {
                log::debug!("{}: {error}", path.display());
            }
        }
    }
}
