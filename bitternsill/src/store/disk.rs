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
use store::kept::Kept;
use store::member::Write;
use store::record::{self, Damage, MAGIC};

/// Why a member's file cannot be used.
#[derive(Debug)]
pub enum OpenError {
    /// It cannot be read or made.
    Io(PathBuf, io::Error),
    /// Another process has it.
    Held(PathBuf),
    /// It does not hold what was written to it.
    Damaged(PathBuf, Damage),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io(path, problem) => write!(f, "{}: {problem}", path.display()),
            OpenError::Held(path) => {
                write!(
                    f,
                    "{}: another process writes this member's file",
                    path.display()
                )
            }
            OpenError::Damaged(path, damage) => write!(
                f,
                "{}: {damage}. This member does not start: it may have promised what its file no longer says. Either put \
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
pub fn read(path: &Path) -> Result<record::Read, OpenError> {
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
    read.map_err(|damage| OpenError::Damaged(path.to_owned(), damage))
}

/// How the disk is treated, and how tests have it behave.
#[derive(Debug, Clone, Default)]
pub struct Behaviour {
    /// Each sync takes so much longer, and until then nothing reaches the file: what a loss of
    /// power finds unsynced is gone.
    pub sync: Duration,
    /// While this is there the disk is full.
    pub full_while: Option<PathBuf>,
    /// How long a full disk is left alone before the next attempt.
    pub full_rest: Duration,
}

/// Where a member keeps of which store it is, apart from its data: with the one file gone, the
/// other says that there was one.
pub fn identity_path(path: &Path) -> PathBuf {
    path.with_extension("id")
}

/// Which store a member has voted in, as the file beside its data says.
fn identity(path: &Path) -> Result<Option<u64>, OpenError> {
    let beside = identity_path(path);
    let text = match std::fs::read_to_string(&beside) {
        Ok(text) => text,
        Err(problem) if problem.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(problem) => return Err(OpenError::Io(beside, problem)),
    };
    let id = u64::from_str_radix(text.trim(), 16)
        .ok()
        .filter(|id| *id != 0);
    let found = || Damage {
        offset: 0,
        found: "this is no store's id".to_owned(),
    };
    id.map(Some)
        .ok_or_else(|| OpenError::Damaged(beside, found()))
}

/// A file that nobody sees before it is whole and on the disk.
fn put_in_place(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    // The new name itself has to last.
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

/// The bytes of a file of these records.
fn whole_file(records: &[record::Record]) -> Vec<u8> {
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
        .map_err(|_| OpenError::Held(path.to_owned()))?;
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
    put_in_place(path, &whole_file(records)).map_err(failed)?;
    match std::fs::remove_file(identity_path(path)) {
        Err(problem) if problem.kind() != io::ErrorKind::NotFound => Err(failed(problem)),
        _ => Ok(former),
    }
}

/// The thread, as the loop sees it.
pub struct Disk {
    jobs: SyncSender<Write>,
    done: Receiver<io::Result<u64>>,
    woken: UnixStream,
}

impl Disk {
    /// Opens a member's file, cuts off what a crash left of its last record, and starts the thread.
    pub fn open(
        path: &Path,
        waiting: usize,
        behaviour: Behaviour,
    ) -> Result<(Disk, Kept), OpenError> {
        let failed = |problem| OpenError::Io(path.to_owned(), problem);
        let lock = lock(path)?;
        let read = read(path)?;
        if read.torn > 0 {
            let (at, bytes) = (read.whole, read.torn);
            tracing::warn!(file = %path.display(), at, bytes, "a record that was never finished is cut off");
        }
        let kept = Kept::of(read.records.clone());
        // A file that is there says more than the one beside it, and is not held up by that one's
        // damage.
        let named = identity(path).or_else(|problem| {
            if kept.has_voted() {
                Ok(None)
            } else {
                Err(problem)
            }
        })?;
        let kept = match named {
            Some(store) if read.records.is_empty() => {
                tracing::warn!(file = %path.display(), store = %format_args!("{store:016x}"),
                    "this member's file is gone, though it was of a store: what it had promised there is lost");
                Kept::gone(store)
            }
            _ => kept,
        };
        let (cluster, voted) = (kept.cluster, kept.has_voted());
        let mut book = Book {
            path: path.to_owned(),
            file: None,
            place: 0,
            behaviour,
            cluster,
            named,
            _lock: lock,
        };
        if voted {
            book.name(cluster).map_err(failed)?;
        }
        let former =
            std::fs::read(path).is_ok_and(|bytes| !bytes.starts_with(MAGIC)) && read.whole > 0;
        if former || read.whole < MAGIC.len() {
            if former {
                tracing::info!(file = %path.display(), records = read.records.len(), "brought to the present format");
            }
            book.replace(&read.records).map_err(failed)?;
        } else {
            let file = OpenOptions::new().append(true).open(path).map_err(failed)?;
            file.set_len(read.whole as u64).map_err(failed)?;
            (book.file, book.place) = (Some(file), read.records.len() as u64);
        }
        let (jobs, todo) = sync_channel(waiting);
        let (tell, done) = sync_channel(waiting);
        let (woken, wake) = UnixStream::pair().map_err(failed)?;
        let quiet = [&woken, &wake].map(|end| end.set_nonblocking(true));
        quiet
            .into_iter()
            .collect::<io::Result<()>>()
            .map_err(failed)?;
        let work = move || book.work(&todo, &tell, wake);
        thread::Builder::new()
            .name("store".to_owned())
            .spawn(work)
            .map_err(failed)?;
        Ok((Disk { jobs, done, woken }, kept))
    }

    /// Hands a write over; gives it back where as many wait as may.
    pub fn hand(&self, write: Write) -> Result<(), Write> {
        // A thread that has ended has told why.
        self.jobs.try_send(write).or_else(|problem| match problem {
            TrySendError::Full(write) => Err(write),
            TrySendError::Disconnected(_) => Ok(()),
        })
    }

    /// The number of the last write that is on the disk, if one has come to be since this was last
    /// asked.
    pub fn done(&mut self) -> io::Result<Option<u64>> {
        let _ = self.woken.read(&mut [0; 64]);
        self.done
            .try_iter()
            .try_fold(None, |_, result| result.map(Some))
    }

    /// What becomes readable when a write is done.
    pub fn woken(&self) -> &UnixStream {
        &self.woken
    }
}

/// The file, as the thread has it.
struct Book {
    path: PathBuf,
    file: Option<File>,
    /// Records in it.
    place: u64,
    behaviour: Behaviour,
    /// Which store the records are of, and which one the file beside them names.
    cluster: u64,
    named: Option<u64>,
    /// Held for as long as the file is written.
    _lock: File,
}

impl Book {
    fn work(
        mut self,
        todo: &Receiver<Write>,
        tell: &SyncSender<io::Result<u64>>,
        mut wake: UnixStream,
    ) {
        while let Ok(first) = todo.recv() {
            // What waits shares one sync.
            let mut batch = vec![first];
            batch.extend(todo.try_iter());
            let last = batch.last().map_or(0, |write| write.number);
            let result = self.write_once_there_is_room(&batch).map(|()| last);
            let failed = result.is_err();
            if tell.send(result).is_err() || failed {
                let _ = wake.write(&[1]);
                return;
            }
            let _ = wake.write(&[1]);
        }
    }

    /// Until there is room nothing is acknowledged, and so no change is taken; what was committed
    /// is told as before.
    fn write_once_there_is_room(&mut self, batch: &[Write]) -> io::Result<()> {
        let (place, length) = (
            self.place,
            self.file.as_ref().map(File::metadata).transpose()?,
        );
        let mut told = false;
        loop {
            match self.write(batch) {
                Err(problem) if problem.kind() == io::ErrorKind::StorageFull => {
                    if !std::mem::replace(&mut told, true) {
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
                    self.place = place;
                    thread::sleep(self.behaviour.full_rest);
                }
                result => {
                    if told && result.is_ok() {
                        tracing::warn!(file = %self.path.display(), "there is room on the disk again");
                    }
                    return result;
                }
            }
        }
    }

    /// Writes beside the data of which store it is, before anything is promised there.
    fn name(&mut self, cluster: u64) -> io::Result<()> {
        if cluster != 0 && self.named != Some(cluster) {
            put_in_place(
                &identity_path(&self.path),
                format!("{cluster:016x}\n").as_bytes(),
            )?;
            self.named = Some(cluster);
        }
        Ok(())
    }

    fn write(&mut self, batch: &[Write]) -> io::Result<()> {
        if self
            .behaviour
            .full_while
            .as_ref()
            .is_some_and(|path| path.exists())
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        for record in batch.iter().flat_map(|write| &write.records) {
            match record {
                record::Record::Cluster(cluster) => self.cluster = *cluster,
                record::Record::Term(term) if *term > 0 => self.name(self.cluster)?,
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
            self.place += 1;
            bytes.extend(record::encode(record, self.place));
        }
        if bytes.is_empty() {
            return Ok(());
        }
        thread::sleep(self.behaviour.sync);
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
        thread::sleep(self.behaviour.sync);
        put_in_place(&self.path, &whole_file(records))?;
        self.file = Some(OpenOptions::new().append(true).open(&self.path)?);
        self.place = records.len() as u64;
        Ok(())
    }
}
