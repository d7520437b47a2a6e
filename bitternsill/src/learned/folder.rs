//! The folder: generations of pictures, each written beside, synced and renamed; and a lock on all
//! of it.

use learning::file::{self, HEADER, LONGEST};
use learning::picture::Picture;
use learning::steps::{self, BESIDE, LOCK, Step};
use rustix::fs::{FlockOperation, OFlags, flock};
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A folder that cannot be used.
#[derive(Debug)]
pub enum FolderError {
    /// It is not there.
    Missing,
    /// It is something else.
    NotAFolder,
    /// Another process keeps its own in it.
    Locked,
    /// The lock cannot be had.
    Lock(io::Error),
}

impl fmt::Display for FolderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FolderError::Missing => f.write_str("the folder is not there"),
            FolderError::NotAFolder => f.write_str("that is no folder"),
            FolderError::Locked => f.write_str("another process keeps what it learns there"),
            FolderError::Lock(problem) => write!(f, "the lock in it cannot be had: {problem}"),
        }
    }
}

impl std::error::Error for FolderError {}

/// A step of a write that failed.
#[derive(Debug)]
pub struct WriteError {
    /// Which step.
    pub step: Step,
    /// Why.
    pub problem: io::Error,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.step.name(), self.problem)
    }
}

impl std::error::Error for WriteError {}

/// What a folder holds.
#[derive(Debug, Default)]
pub struct Found {
    /// The newest sound picture, the version of its file and its generation.
    pub picture: Option<(Picture, u16, u64)>,
    /// Newer generations that are not sound, and why.
    pub unsound: Vec<(u64, String)>,
}

/// A folder that this process has for itself, for as long as this is there.
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

/// Opens without following a link in the last place: a link there is somebody else's doing.
fn options() -> OpenOptions {
    let mut options = OpenOptions::new();
    options.custom_flags(OFlags::NOFOLLOW.bits() as i32);
    options
}

/// Reads one file, but never one that is longer than it says or may be.
pub fn read(path: &Path) -> Result<(Picture, u16), String> {
    let mut open = options().read(true).open(path).map_err(|e| e.to_string())?;
    let found = open.metadata().map_err(|e| e.to_string())?;
    if !found.is_file() {
        return Err("that is no file".to_owned());
    }
    let mut bytes = vec![0; HEADER.min(usize::try_from(found.len()).unwrap_or(HEADER))];
    open.read_exact(&mut bytes).map_err(|e| e.to_string())?;
    let wanted = file::length(&bytes).map_err(|e| e.to_string())?;
    if wanted != found.len() {
        let error = file::FileError::Length {
            wanted,
            found: found.len(),
        };
        return Err(error.to_string());
    }
    open.take(LONGEST as u64)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    file::decode(&bytes).map_err(|e| e.to_string())
}

impl Folder {
    /// Opens and locks a folder.
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

    /// The generations that are there.
    pub fn generations(&self) -> io::Result<Vec<u64>> {
        let mut all = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            all.extend(entry?.file_name().to_str().and_then(steps::generation));
        }
        Ok(all)
    }

    /// The newest sound picture.
    pub fn load(&self) -> Found {
        let mut found = Found::default();
        let present = match self.generations() {
            Ok(present) => present,
            Err(problem) => {
                found.unsound.push((0, problem.to_string()));
                return found;
            }
        };
        for generation in steps::tried(&present) {
            match read(&self.path.join(steps::name(generation))) {
                Ok((picture, version)) => {
                    found.picture = Some((picture, version, generation));
                    return found;
                }
                Err(problem) => found.unsound.push((generation, problem)),
            }
        }
        found
    }

    /// Writes a file as the next generation. `before` is told of each step before it is carried
    /// out, and of a write in its middle too.
    pub fn write(&self, bytes: &[u8], mut before: impl FnMut(&Step)) -> Result<u64, WriteError> {
        let fail = |step: &Step, problem: io::Error| WriteError {
            step: step.clone(),
            problem,
        };
        let present = self.generations().map_err(|p| fail(&Step::Create, p))?;
        let (generation, steps) = steps::plan(&present);
        let beside = self.path.join(BESIDE);
        let mut file: Option<File> = None;
        for step in &steps {
            before(step);
            let done = match step {
                Step::Create => options()
                    .write(true)
                    .create(true)
                    .truncate(true)
                    .mode(0o600)
                    .open(&beside)
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
                Step::Rename => fs::rename(&beside, self.path.join(steps::name(generation))),
                Step::SyncFolder => File::open(&self.path).and_then(|f| f.sync_all()),
                // One that is gone already is as it should be.
                Step::Remove(old) => match fs::remove_file(self.path.join(steps::name(*old))) {
                    Err(problem) if problem.kind() != io::ErrorKind::NotFound => Err(problem),
                    _ => Ok(()),
                },
            };
            done.map_err(|problem| fail(step, problem))?;
        }
        Ok(generation)
    }
}
