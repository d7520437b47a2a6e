//! The folder of snapshots: files with a generation number, which are written atomically, and a
//! lock on the folder.

use learning::atomic_write::{self, LOCK, Step, TEMPORARY};
use learning::file::{self, FileError, HEADER_BYTES, MAX_BODY_BYTES};
use learning::snapshot::Snapshot;
use rustix::fs::{FlockOperation, OFlags, flock};
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Why a folder cannot be used.
#[derive(Debug)]
pub enum FolderError {
    /// It does not exist.
    Missing,
    /// It is not a folder.
    NotAFolder,
    /// Another process holds the lock.
    Locked,
    /// The lock cannot be acquired.
    Lock(io::Error),
}

impl fmt::Display for FolderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FolderError::Missing => f.write_str("the folder does not exist"),
            FolderError::NotAFolder => f.write_str("not a folder"),
            FolderError::Locked => f.write_str("the folder is locked by another process"),
            FolderError::Lock(problem) => write!(f, "cannot lock the folder: {problem}"),
        }
    }
}

impl std::error::Error for FolderError {}

/// A step of a write that failed.
#[derive(Debug)]
pub struct WriteError {
    /// The step.
    pub step: Step,
    /// The cause.
    pub problem: io::Error,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.step.name(), self.problem)
    }
}

impl std::error::Error for WriteError {}

/// The result of loading a folder.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The newest readable snapshot, the version of its file and its generation.
    pub snapshot: Option<(Snapshot, u16, u64)>,
    /// Newer generations that cannot be read, and why.
    pub unreadable: Vec<(u64, ReadError)>,
}

/// A folder that this process holds locked until the value is dropped.
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

/// Options that do not follow a symbolic link at the end of a path: this program does not create
/// such links.
fn options() -> OpenOptions {
    let mut options = OpenOptions::new();
    options.custom_flags(OFlags::NOFOLLOW.bits() as i32);
    options
}

/// Why a file cannot be read.
#[derive(Debug)]
pub enum ReadError {
    /// The file or folder cannot be read.
    Io(io::Error),
    /// The path is not a regular file.
    NotAFile,
    /// The contents cannot be decoded.
    File(FileError),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Io(error) => error.fmt(f),
            ReadError::NotAFile => f.write_str("not a regular file"),
            ReadError::File(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ReadError {}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> ReadError {
        ReadError::Io(error)
    }
}

impl From<FileError> for ReadError {
    fn from(error: FileError) -> ReadError {
        ReadError::File(error)
    }
}

/// Reads a file; returns the snapshot and the file's version. If the file's length differs from
/// that in its header, the body is not read.
///
/// # Errors
///
/// [`ReadError`] if the file cannot be read or decoded.
pub fn read(path: &Path) -> Result<(Snapshot, u16), ReadError> {
    let mut open = options().read(true).open(path)?;
    let found = open.metadata()?;
    if !found.is_file() {
        return Err(ReadError::NotAFile);
    }
    let mut bytes = vec![0; HEADER_BYTES.min(usize::try_from(found.len()).unwrap_or(HEADER_BYTES))];
    open.read_exact(&mut bytes)?;
    let wanted = file::length(&bytes)?;
    if wanted != found.len() {
        let found = found.len();
        return Err(FileError::Length { wanted, found }.into());
    }
    open.take(MAX_BODY_BYTES as u64).read_to_end(&mut bytes)?;
    Ok(file::decode(&bytes)?)
}

impl Folder {
    /// Opens and locks a folder.
    ///
    /// # Errors
    ///
    /// [`FolderError`] if it cannot be used or is locked by another process.
    pub fn open(path: &Path) -> Result<Folder, FolderError> {
        match fs::metadata(path) {
            Err(problem) if problem.kind() == io::ErrorKind::NotFound => {
                return Err(FolderError::Missing);
            }
            Ok(found) if !found.is_dir() => return Err(FolderError::NotAFolder),
            _ => {}
        }
        let lock = options()
            .write(true)
            .create(true)
            .truncate(false)
            .open(path.join(LOCK))
            .map_err(FolderError::Lock)?;
        match flock(&lock, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Folder {
                path: path.to_owned(),
                _lock: lock,
            }),
            Err(rustix::io::Errno::WOULDBLOCK) => Err(FolderError::Locked),
            Err(problem) => Err(FolderError::Lock(problem.into())),
        }
    }

    /// The generations in the folder, in no particular order.
    pub fn generations(&self) -> io::Result<Vec<u64>> {
        let mut all = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            all.extend(
                entry?
                    .file_name()
                    .to_str()
                    .and_then(atomic_write::parse_generation),
            );
        }
        Ok(all)
    }

    /// Loads the newest snapshot that can be read.
    pub fn load(&self) -> Loaded {
        let mut found = Loaded::default();
        let present = match self.generations() {
            Ok(present) => present,
            Err(problem) => {
                found.unreadable.push((0, problem.into()));
                return found;
            }
        };
        for generation in atomic_write::load_order(&present) {
            match read(&self.path.join(atomic_write::file_name(generation))) {
                Ok((snapshot, version)) => {
                    found.snapshot = Some((snapshot, version, generation));
                    return found;
                }
                Err(problem) => found.unreadable.push((generation, problem)),
            }
        }
        found
    }

    /// Writes a file as the next generation. `before` is called before each step and in the middle
    /// of the write, where tests interrupt it.
    ///
    /// # Errors
    ///
    /// [`WriteError`] with the step that failed.
    pub fn write(&self, bytes: &[u8], mut before: impl FnMut(&Step)) -> Result<u64, WriteError> {
        let fail = |step: &Step, problem: io::Error| WriteError {
            step: step.clone(),
            problem,
        };
        let present = self.generations().map_err(|p| fail(&Step::Create, p))?;
        let (generation, steps) = atomic_write::plan(&present);
        let temporary = self.path.join(TEMPORARY);
        let mut file: Option<File> = None;
        for step in &steps {
            before(step);
            let done = match step {
                Step::Create => options()
                    .write(true)
                    .create(true)
                    .truncate(true)
                    .mode(0o600)
                    .open(&temporary)
                    .map(|open| file = Some(open)),
                Step::Write => {
                    let (first, rest) = bytes.split_at(bytes.len() / 2);
                    let mut write =
                        |part: &[u8]| file.as_mut().map_or(Ok(()), |f| f.write_all(part));
                    write(first).and_then(|()| {
                        before(step);
                        write(rest)
                    })
                }
                Step::SyncFile => file.take().map_or(Ok(()), |f| f.sync_all()),
                Step::Rename => fs::rename(
                    &temporary,
                    self.path.join(atomic_write::file_name(generation)),
                ),
                Step::SyncFolder => File::open(&self.path).and_then(|f| f.sync_all()),
                // The file may be gone already.
                Step::Remove(old) => {
                    match fs::remove_file(self.path.join(atomic_write::file_name(*old))) {
                        Err(problem) if problem.kind() != io::ErrorKind::NotFound => Err(problem),
                        _ => Ok(()),
                    }
                }
            };
            done.map_err(|problem| fail(step, problem))?;
        }
        Ok(generation)
    }
}
