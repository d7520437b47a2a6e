//! The file of a store's member: opened and judged at the start, then written and synced by a
//! thread of its own, so that a slow disk holds up the store and nothing else.

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
    /// It cannot be read or made.
    Io(PathBuf, io::Error),
    /// Another process has it.
    Locked(PathBuf),
    /// It does not hold what was written to it.
    Corrupt(PathBuf, Corruption),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io(path, problem) => write!(f, "{}: {problem}", path.display()),
            OpenError::Locked(path) => {
                write!(
                    f,
                    "{}: another process writes this member's file",
                    path.display()
                )
            }
            OpenError::Corrupt(path, corruption) => write!(
                f,
                "{}: {corruption}. This member does not start: it may have promised what its file no longer says. Either put \
                 the file back as this member last wrote it; or move it away, with the one of the same name that ends in \
                 `.id` left where it is: the member then takes no part until it has caught up with the others, of whom more \
                 than half must be sound; or, if no majority is left, begin a new store from the best file that is left: \
                 `bitternsill store recover`",
                path.display()
            ),
        }
    }
}

impl std::error::Error for OpenError {}

/// What stands in a member's file, whichever format it has.
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

/// How the disk is treated, and how tests have it behave.
#[derive(Debug, Clone, Default)]
pub struct DiskOptions {
    /// Each sync takes so much longer, and until then nothing reaches the file: what a loss of
    /// power finds unsynced is gone.
    pub extra_sync_delay: Duration,
    /// While this is there the disk is full.
    pub full_marker: Option<PathBuf>,
    /// How long a full disk is left alone before the next attempt.
    pub full_retry_delay: Duration,
}

/// Where a member keeps of which store it is, apart from its data: with the one file gone, the
/// other says that there was one.
pub fn identity_path(path: &Path) -> PathBuf {
    path.with_extension("id")
}

/// Which store a member has voted in, as the file beside its data says.
fn identity(path: &Path) -> Result<Option<u64>, OpenError> {
    let temporary = identity_path(path);
    let text = match std::fs::read_to_string(&temporary) {
        Ok(text) => text,
        Err(problem) if problem.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(problem) => return Err(OpenError::Io(temporary, problem)),
    };
    let id = u64::from_str_radix(text.trim(), 16)
        .ok()
        .filter(|id| *id != 0);
    let found = || Corruption {
        offset: 0,
        found: "this is no store's id".to_owned(),
    };
    id.map(Some)
        .ok_or_else(|| OpenError::Corrupt(temporary, found()))
}

/// A file that nobody sees before it is whole and on the disk.
fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    // The new name itself has to last.
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

/// The bytes of a file of these records.
fn encode_file(records: &[record::Record]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    for (at, record) in records.iter().enumerate() {
        bytes.extend(record::encode(record, at as u64 + 1));
    }
    bytes
}

/// Locks a member's file for this process.
fn lock(path: &Path) -> Result<File, OpenError> {
    let failed = |problem| OpenError::Io(path.to_owned(), problem);
    let lock = File::create(path.with_extension("lock")).map_err(failed)?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| OpenError::Locked(path.to_owned()))?;
    Ok(lock)
}

/// Puts other records in a member's file, which no process may have; what stood there stays beside
/// it under this name.
pub fn replace(path: &Path, records: &[record::Record]) -> Result<PathBuf, OpenError> {
    let failed = |problem| OpenError::Io(path.to_owned(), problem);
    let _lock = lock(path)?;
    let former = path.with_extension("former");
    std::fs::copy(path, &former).map_err(failed)?;
    File::open(&former)
        .and_then(|file| file.sync_all())
        .map_err(failed)?;
    write_atomically(path, &encode_file(records)).map_err(failed)?;
    match std::fs::remove_file(identity_path(path)) {
        Err(problem) if problem.kind() != io::ErrorKind::NotFound => Err(failed(problem)),
        _ => Ok(former),
    }
}

/// The thread, as the loop sees it.
pub struct Disk {
    requests: SyncSender<Write>,
    completed: Receiver<io::Result<u64>>,
    wakeups: UnixStream,
}

impl Disk {
    /// Opens a member's file, cuts off what a crash left of its last record, and starts the thread.
    pub fn open(
        path: &Path,
        queue_len: usize,
        options: DiskOptions,
    ) -> Result<(Disk, PersistedState), OpenError> {
        let failed = |problem| OpenError::Io(path.to_owned(), problem);
        let lock = lock(path)?;
        let read = read(path)?;
        if read.torn_bytes > 0 {
            let (at, bytes) = (read.valid_bytes, read.torn_bytes);
            tracing::warn!(file = %path.display(), at, bytes, "a record that was never finished is cut off");
        }
        let persisted = PersistedState::from_records(read.records.clone());
        // A file that is there says more than the one beside it, and is not held up by that one's
        // damage.
        let stored_identity = identity(path).or_else(|problem| {
            if persisted.has_voted() {
                Ok(None)
            } else {
                Err(problem)
            }
        })?;
        let persisted = match stored_identity {
            Some(store) if read.records.is_empty() => {
                tracing::warn!(file = %path.display(), store = %format_args!("{store:016x}"),
                    "this member's file is gone, though it was of a store: what it had promised there is lost");
                PersistedState::lost_file(store)
            }
            _ => persisted,
        };
        let (cluster, voted) = (persisted.cluster, persisted.has_voted());
        let mut record_file = RecordFile {
            path: path.to_owned(),
            file: None,
            record_count: 0,
            options,
            cluster,
            stored_identity,
            _lock: lock,
        };
        if voted {
            record_file.store_identity(cluster).map_err(failed)?;
        }
        let former = std::fs::read(path).is_ok_and(|bytes| !bytes.starts_with(MAGIC))
            && read.valid_bytes > 0;
        if former || read.valid_bytes < MAGIC.len() {
            if former {
                tracing::info!(file = %path.display(), records = read.records.len(), "brought to the present format");
            }
            record_file.replace(&read.records).map_err(failed)?;
        } else {
            let file = OpenOptions::new().append(true).open(path).map_err(failed)?;
            file.set_len(read.valid_bytes as u64).map_err(failed)?;
            (record_file.file, record_file.record_count) = (Some(file), read.records.len() as u64);
        }
        let (requests, queue) = sync_channel(queue_len);
        let (completions, completed) = sync_channel(queue_len);
        let (wakeups, waker) = UnixStream::pair().map_err(failed)?;
        let quiet = [&wakeups, &waker].map(|end| end.set_nonblocking(true));
        quiet
            .into_iter()
            .collect::<io::Result<()>>()
            .map_err(failed)?;
        let work = move || record_file.work(&queue, &completions, waker);
        thread::Builder::new()
            .name("store".to_owned())
            .spawn(work)
            .map_err(failed)?;
        Ok((
            Disk {
                requests,
                completed,
                wakeups,
            },
            persisted,
        ))
    }

    /// Hands a write over; gives it back where as many wait as may.
    pub fn submit(&self, write: Write) -> Result<(), Write> {
        // A thread that has ended has told why.
        self.requests
            .try_send(write)
            .or_else(|problem| match problem {
                TrySendError::Full(write) => Err(write),
                TrySendError::Disconnected(_) => Ok(()),
            })
    }

    /// The number of the last write that is on the disk, if one has come to be since this was last
    /// asked.
    pub fn completed(&mut self) -> io::Result<Option<u64>> {
        let _ = self.wakeups.read(&mut [0; 64]);
        self.completed
            .try_iter()
            .try_fold(None, |_, result| result.map(Some))
    }

    /// What becomes readable when a write is done.
    pub fn wakeups(&self) -> &UnixStream {
        &self.wakeups
    }
}

/// The file, as the thread has it.
struct RecordFile {
    path: PathBuf,
    file: Option<File>,
    /// Records in it.
    record_count: u64,
    options: DiskOptions,
    /// Which store the records are of, and which one the file beside them names.
    cluster: u64,
    stored_identity: Option<u64>,
    /// Held for as long as the file is written.
    _lock: File,
}

impl RecordFile {
    fn work(
        mut self,
        requests: &Receiver<Write>,
        completions: &SyncSender<io::Result<u64>>,
        mut waker: UnixStream,
    ) {
        while let Ok(first) = requests.recv() {
            // What waits shares one sync.
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

    /// Until there is room nothing is acknowledged, and so no change is taken; what was committed
    /// is told as before.
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
                            "the disk is full: this member takes no change until there is room, and tells what it has");
                    }
                    // What came of the records is cut off, as they are written again; a replacement
                    // begins anew by itself.
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
                        tracing::warn!(file = %self.path.display(), "there is room on the disk again");
                    }
                    return result;
                }
            }
        }
    }

    /// Writes beside the data of which store it is, before anything is promised there.
    fn store_identity(&mut self, cluster: u64) -> io::Result<()> {
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
                record::Record::Term(term) if *term > 0 => self.store_identity(self.cluster)?,
                _ => {}
            }
        }
        // What stood before the last replacement need not be written any more.
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
        // A sync that has failed may have dropped what it failed on: a second one says nothing,
        // whatever the cause.
        file.sync_data().map_err(io::Error::other)
    }

    /// Replaces everything, by a new file in the old one's place.
    fn replace(&mut self, records: &[record::Record]) -> io::Result<()> {
        thread::sleep(self.options.extra_sync_delay);
        write_atomically(&self.path, &encode_file(records))?;
        self.file = Some(OpenOptions::new().append(true).open(&self.path)?);
        self.record_count = records.len() as u64;
        Ok(())
    }
}
