//! The file of a store's member: opened and judged at the start, then written and synced by a thread of its own, so that a
//! slow disk holds up the store and nothing else.

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
                write!(f, "{}: another process writes this member's file", path.display())
            }
            OpenError::Damaged(path, damage) => write!(
                f,
                "{}: {damage}. This member does not start: it may have promised what its file no longer says. Either put \
                 the file back as this member last wrote it; or leave this member off, as the store goes on while more than \
                 half of its members are in service; or, if no majority is left, move the files of all members away and \
                 begin the store anew, which loses all that it held",
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
    let read = if bytes.starts_with(b"{") { record::read_lines(&bytes) } else { record::read(&bytes) };
    read.map_err(|damage| OpenError::Damaged(path.to_owned(), damage))
}

/// How tests have the disk behave.
#[derive(Debug, Clone, Copy, Default)]
pub struct Behaviour {
    /// Each sync takes so much longer, and until then nothing reaches the file: what a loss of power finds unsynced is gone.
    pub sync: Duration,
}

/// The thread, as the loop sees it.
pub struct Disk {
    jobs: SyncSender<Write>,
    done: Receiver<io::Result<u64>>,
    woken: UnixStream,
}

impl Disk {
    /// Opens a member's file, cuts off what a crash left of its last record, and starts the thread.
    pub fn open(path: &Path, waiting: usize, behaviour: Behaviour) -> Result<(Disk, Kept), OpenError> {
        let failed = |problem| OpenError::Io(path.to_owned(), problem);
        let lock = File::create(path.with_extension("lock")).map_err(failed)?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| OpenError::Held(path.to_owned()))?;
        let read = read(path)?;
        if read.torn > 0 {
            let (at, bytes) = (read.whole, read.torn);
            tracing::warn!(file = %path.display(), at, bytes, "a record that was never finished is cut off");
        }
        let mut book = Book { path: path.to_owned(), file: None, place: 0, behaviour, _lock: lock };
        let lines = std::fs::read(path).is_ok_and(|bytes| bytes.starts_with(b"{"));
        if lines || read.whole < MAGIC.len() {
            if lines {
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
        quiet.into_iter().collect::<io::Result<()>>().map_err(failed)?;
        let work = move || book.work(&todo, &tell, wake);
        thread::Builder::new().name("store".to_owned()).spawn(work).map_err(failed)?;
        Ok((Disk { jobs, done, woken }, Kept::of(read.records)))
    }

    /// Hands a write over; gives it back where as many wait as may.
    pub fn hand(&self, write: Write) -> Result<(), Write> {
        // A thread that has ended has told why.
        self.jobs.try_send(write).or_else(|problem| match problem {
            TrySendError::Full(write) => Err(write),
            TrySendError::Disconnected(_) => Ok(()),
        })
    }

    /// The number of the last write that is on the disk, if one has come to be since this was last asked.
    pub fn done(&mut self) -> io::Result<Option<u64>> {
        let _ = self.woken.read(&mut [0; 64]);
        self.done.try_iter().try_fold(None, |_, result| result.map(Some))
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
    /// Held for as long as the file is written.
    _lock: File,
}

impl Book {
    fn work(mut self, todo: &Receiver<Write>, tell: &SyncSender<io::Result<u64>>, mut wake: UnixStream) {
        while let Ok(first) = todo.recv() {
            // What waits shares one sync.
            let mut batch = vec![first];
            batch.extend(todo.try_iter());
            let last = batch.last().map_or(0, |write| write.number);
            let result = self.write(&batch).map(|()| last);
            let failed = result.is_err();
            if tell.send(result).is_err() || failed {
                let _ = wake.write(&[1]);
                return;
            }
            let _ = wake.write(&[1]);
        }
    }

    fn write(&mut self, batch: &[Write]) -> io::Result<()> {
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
        let file = self.file.as_mut().ok_or_else(|| io::Error::other("the file is not open"))?;
        file.write_all(&bytes)?;
        // A sync that has failed may have dropped what it failed on: a second one says nothing.
        file.sync_data()
    }

    /// Replaces everything, by a new file in the old one's place.
    fn replace(&mut self, records: &[record::Record]) -> io::Result<()> {
        let beside = self.path.with_extension("new");
        let mut bytes = MAGIC.to_vec();
        for (at, record) in records.iter().enumerate() {
            bytes.extend(record::encode(record, at as u64 + 1));
        }
        thread::sleep(self.behaviour.sync);
        let mut file = File::create(&beside)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&beside, &self.path)?;
        // The new name itself has to last.
        let folder = self.path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()?;
        self.file = Some(OpenOptions::new().append(true).open(&self.path)?);
        self.place = records.len() as u64;
        Ok(())
    }
}
