//! The file of a store member: read and checked at the start, then written and synced by a thread
//! of its own, so that a slow disk delays the store and nothing else.

use rustix::fs::{FlockOperation, flock};
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write as _};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;
use store::member::Write;
use store::persisted::PersistedState;
use store::record::{self, Corruption, MAGIC};

/// Why a member's file cannot be used.
#[derive(Debug)]
pub enum OpenError {
    /// It cannot be read or created.
    Io(PathBuf, io::Error),
    /// Another process holds its lock.
    Locked(PathBuf),
    /// Its contents are corrupt.
    Corrupt(PathBuf, Corruption),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io(path, problem) => write!(f, "{}: {problem}", path.display()),
            OpenError::Locked(path) => {
                write!(
                    f,
                    "{}: this member's file is locked by another process",
                    path.display()
                )
            }
            OpenError::Corrupt(path, corruption) => write!(
                f,
                "{}: {corruption}. This member does not start: the file may have lost votes or entries that it had acknowledged. Either \
                 put the file back as this member last wrote it; or move it away and leave the `.id` file of the same name in \
                 place: the member then takes no part until it has caught up with the others, more than half of which must be \
                 undamaged; or, if no majority is left, start a new store from the most recent file left: `bitternsill store \
                 recover`",
                path.display()
            ),
        }
    }
}

impl std::error::Error for OpenError {}

/// Reads a member's file in any format; a missing one counts as empty.
///
/// # Errors
///
/// [`OpenError`] if it cannot be read or is corrupt.
pub fn read(path: &Path) -> Result<record::FileContents, OpenError> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(problem) if problem.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(problem) => return Err(OpenError::Io(path.to_owned(), problem)),
    };
    let read = if bytes.starts_with(b"{") {
        record::read_lines(&bytes)
    } else {
        record::read(&bytes)
    };
    read.map_err(|corruption| OpenError::Corrupt(path.to_owned(), corruption))
}

/// Options of the disk, most of them for tests.
#[derive(Debug, Clone, Default)]
pub struct DiskOptions {
    /// Delay before each write and sync, for tests of slow disks and power failures.
    pub extra_sync_delay: Duration,
    /// While this file exists the disk counts as full, for tests.
    pub full_marker: Option<PathBuf>,
    /// Delay before the next attempt after the disk was full.
    pub full_retry_delay: Duration,
}

/// Path of the identity file next to the member's file. It holds the store's id, and shows that the
/// member belonged to a store if the member's file is lost.
pub fn identity_path(path: &Path) -> PathBuf {
    path.with_extension("id")
}

/// Id of the store that a member has voted in, from the identity file.
fn identity(path: &Path) -> Result<Option<u64>, OpenError> {
    let identity_file = identity_path(path);
    let text = match std::fs::read_to_string(&identity_file) {
        Ok(text) => text,
        Err(problem) if problem.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(problem) => return Err(OpenError::Io(identity_file, problem)),
    };
    let id = u64::from_str_radix(text.trim(), 16)
        .ok()
        .filter(|id| *id != 0);
    let found = || Corruption {
        offset: 0,
        found: "not a store id".to_owned(),
    };
    id.map(Some)
        .ok_or_else(|| OpenError::Corrupt(identity_file, found()))
}

/// Replaces a file atomically: it is renamed only when it is complete and synced.
fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    // The rename itself has to be synced too.
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

/// Encodes a file with these records.
fn encode_file(records: &[record::Record]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    for (at, record) in records.iter().enumerate() {
        bytes.extend(record::encode(record, at as u64 + 1));
    }
    bytes
}

/// Locks a member's file for this process until the lock is dropped.
fn lock(path: &Path) -> Result<File, OpenError> {
    let failed = |problem| OpenError::Io(path.to_owned(), problem);
    let lock = File::create(path.with_extension("lock")).map_err(failed)?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| OpenError::Locked(path.to_owned()))?;
    Ok(lock)
}

/// Replaces the records of a member's file, which no process may be using. Returns the path of a
/// copy of the old file.
///
/// # Errors
///
/// [`OpenError`] if the file is locked or cannot be written.
pub fn replace(path: &Path, records: &[record::Record]) -> Result<PathBuf, OpenError> {
    let failed = |problem| OpenError::Io(path.to_owned(), problem);
    let _lock = lock(path)?;
    let previous = path.with_extension("former");
    std::fs::copy(path, &previous).map_err(failed)?;
    File::open(&previous)
        .and_then(|file| file.sync_all())
        .map_err(failed)?;
    write_atomically(path, &encode_file(records)).map_err(failed)?;
    match std::fs::remove_file(identity_path(path)) {
        Err(problem) if problem.kind() != io::ErrorKind::NotFound => Err(failed(problem)),
        _ => Ok(previous),
    }
}

/// Handle of the thread that writes the file.
pub struct Disk {
    requests: SyncSender<Write>,
    completed: Receiver<io::Result<u64>>,
    wakeups: UnixStream,
}

impl Disk {
    /// Opens a member's file, truncates an incomplete last record, and starts the thread. Its queue
    /// holds at most `queue_len` writes.
    ///
    /// # Errors
    ///
    /// [`OpenError`] if the file is locked, corrupt or cannot be read or written.
    pub fn open(
        path: &Path,
        queue_len: usize,
        options: DiskOptions,
    ) -> Result<(Disk, PersistedState), OpenError> {
        let lock = lock(path)?;
        let contents = read(path)?;
        if contents.torn_bytes > 0 {
            let (at, bytes) = (contents.valid_bytes, contents.torn_bytes);
            tracing::warn!(file = %path.display(), at, bytes, "truncated an incomplete record at the end of the file");
        }
        let persisted = PersistedState::from_records(contents.records.clone());
        // A corrupt identity file is ignored if the member's own file records a vote.
        let stored_identity = identity(path).or_else(|error| {
            if persisted.has_voted() {
                Ok(None)
            } else {
                Err(error)
            }
        })?;
        let persisted = match stored_identity {
            Some(store) if contents.records.is_empty() => {
                tracing::warn!(file = %path.display(), store = %format_args!("{store:016x}"),
                    "this member's file is missing although it belonged to a store: what it had promised there is lost");
                PersistedState::lost_file(store)
            }
            _ => persisted,
        };
        let mut file = RecordFile {
            path: path.to_owned(),
            file: None,
            record_count: 0,
            options,
            cluster: persisted.cluster,
            stored_identity,
            _lock: lock,
        };
        let failed = |error| OpenError::Io(path.to_owned(), error);
        if persisted.has_voted() {
            file.write_identity(persisted.cluster).map_err(failed)?;
        }
        file.prepare(&contents).map_err(failed)?;
        let disk = Disk::spawn(file, queue_len).map_err(failed)?;
        Ok((disk, persisted))
    }

    /// Starts the thread that writes the file.
    fn spawn(file: RecordFile, queue_len: usize) -> io::Result<Disk> {
        let (requests, queue) = sync_channel(queue_len);
        let (completions, completed) = sync_channel(queue_len);
        let (wakeups, waker) = UnixStream::pair()?;
        wakeups.set_nonblocking(true)?;
        waker.set_nonblocking(true)?;
        thread::Builder::new()
            .name("store".to_owned())
            .spawn(move || file.run(&queue, &completions, waker))?;
        Ok(Disk {
            requests,
            completed,
            wakeups,
        })
    }

    /// Queues a write; returns it if the queue is full.
    pub fn submit(&self, write: Write) -> Result<(), Write> {
        // A thread that has ended has already sent its error.
        self.requests
            .try_send(write)
            .or_else(|problem| match problem {
                TrySendError::Full(write) => Err(write),
                TrySendError::Disconnected(_) => Ok(()),
            })
    }

    /// The number of the last write on the disk, if any was completed since this was last called.
    ///
    /// # Errors
    ///
    /// The error with which the thread has ended.
    pub fn completed(&mut self) -> io::Result<Option<u64>> {
        let _ = self.wakeups.read(&mut [0; 64]);
        self.completed
            .try_iter()
            .try_fold(None, |_, result| result.map(Some))
    }

    /// Becomes readable when a write is completed.
    pub fn wakeups(&self) -> &UnixStream {
        &self.wakeups
    }
}

/// The file and its lock, owned by the thread.
struct RecordFile {
    path: PathBuf,
    file: Option<File>,
    /// Number of records in it.
    record_count: u64,
    options: DiskOptions,
    /// Id of the store in the records.
    cluster: u64,
    /// Id of the store in the identity file.
    stored_identity: Option<u64>,
    _lock: File,
}

impl RecordFile {
    /// Opens the file for appending; a file of another format is first rewritten in the current
    /// one.
    fn prepare(&mut self, contents: &record::FileContents) -> io::Result<()> {
        let other_format = std::fs::read(&self.path).is_ok_and(|bytes| !bytes.starts_with(MAGIC))
            && contents.valid_bytes > 0;
        if other_format {
            tracing::info!(file = %self.path.display(), records = contents.records.len(), "converted to the current format");
        }
        if other_format || contents.valid_bytes < MAGIC.len() {
            return self.replace(&contents.records);
        }
        let file = OpenOptions::new().append(true).open(&self.path)?;
        file.set_len(contents.valid_bytes as u64)?;
        self.file = Some(file);
        self.record_count = contents.records.len() as u64;
        Ok(())
    }

    fn run(
        mut self,
        requests: &Receiver<Write>,
        completions: &SyncSender<io::Result<u64>>,
        mut waker: UnixStream,
    ) {
        while let Ok(first) = requests.recv() {
            // Queued writes share one sync (group commit).
            let mut batch = vec![first];
            batch.extend(requests.try_iter());
            let last = batch.last().map_or(0, |write| write.number);
            let result = self.write_retrying_when_full(&batch).map(|()| last);
            let failed = result.is_err();
            if completions.send(result).is_err() || failed {
                let _ = waker.write(&[1]);
                return;
            }
            let _ = waker.write(&[1]);
        }
    }

    /// Writes a batch, retrying while the disk is full. Meanwhile nothing is acknowledged, so the
    /// member commits no change and still serves what is committed.
    fn write_retrying_when_full(&mut self, batch: &[Write]) -> io::Result<()> {
        let (record_count, length) = (
            self.record_count,
            self.file.as_ref().map(File::metadata).transpose()?,
        );
        let mut reported = false;
        loop {
            match self.write(batch) {
                Err(problem) if problem.kind() == io::ErrorKind::StorageFull => {
                    if !std::mem::replace(&mut reported, true) {
                        tracing::error!(file = %self.path.display(),
                            "the disk is full: this member acknowledges no change until there is space, and serves what is committed");
                    }
                    // Partly written records are truncated, as they are written again; a
                    // replacement starts with a new file anyway.
                    if let (Some(file), Some(length)) = (&self.file, &length)
                        && !batch.iter().any(|write| write.replaces)
                    {
                        file.set_len(length.len())?;
                    }
                    self.record_count = record_count;
                    thread::sleep(self.options.full_retry_delay);
                }
                result => {
                    if reported && result.is_ok() {
                        tracing::warn!(file = %self.path.display(), "the disk has space again");
                    }
                    return result;
                }
            }
        }
    }

    /// Writes the identity file, before this member votes or acknowledges anything in the store.
    fn write_identity(&mut self, cluster: u64) -> io::Result<()> {
        if cluster != 0 && self.stored_identity != Some(cluster) {
            write_atomically(
                &identity_path(&self.path),
                format!("{cluster:016x}\n").as_bytes(),
            )?;
            self.stored_identity = Some(cluster);
        }
        Ok(())
    }

    fn write(&mut self, batch: &[Write]) -> io::Result<()> {
        if self
            .options
            .full_marker
            .as_ref()
            .is_some_and(|path| path.exists())
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        for record in batch.iter().flat_map(|write| &write.records) {
            match record {
                record::Record::Cluster(cluster) => self.cluster = *cluster,
                record::Record::Term(term) if *term > 0 => self.write_identity(self.cluster)?,
                _ => {}
            }
        }
        // Records before the last replacement are obsolete.
        let from = batch.iter().rposition(|write| write.replaces);
        if let Some(from) = from {
            self.replace(&batch[from].records)?;
        }
        let rest = &batch[from.map_or(0, |from| from + 1)..];
        let mut bytes = Vec::new();
        for record in rest.iter().flat_map(|write| &write.records) {
            self.record_count += 1;
            bytes.extend(record::encode(record, self.record_count));
        }
        if bytes.is_empty() {
            return Ok(());
        }
        thread::sleep(self.options.extra_sync_delay);
        let file = self
            .file
            .as_mut()
            .ok_or_else(|| io::Error::other("the file is not open"))?;
        file.write_all(&bytes)?;
        // After a failed sync the kernel may have dropped the dirty pages, and the next one
        // succeeds without them: the error is final, also if the disk was full.
        file.sync_data().map_err(io::Error::other)
    }

    /// Replaces the whole file.
    fn replace(&mut self, records: &[record::Record]) -> io::Result<()> {
        thread::sleep(self.options.extra_sync_delay);
        write_atomically(&self.path, &encode_file(records))?;
        self.file = Some(OpenOptions::new().append(true).open(&self.path)?);
        self.record_count = records.len() as u64;
        Ok(())
    }
}
