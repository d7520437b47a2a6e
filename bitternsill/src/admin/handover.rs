//! What two processes of one gatherer share while one takes over from the other: a file that says
//! who is out by hand, and a locked file each that says that its process lives.
//!
//! The folder is `$TMPDIR`, which is memory: a write takes microseconds and is not synced, as
//! nothing there outlives the machine. So it is done on the loop's thread, before the call is
//! answered.

use super::exclusions::Exclusions;
use crate::limits::Limits;
use dispatch::interface::Time;
use rustix::fs::FlockOperation;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// What tells one writing of the file from another: its inode, length and time.
type FileVersion = (u64, u64, i64, i64);

/// The shared folder, as one process sees it.
#[derive(Debug)]
pub struct Handover {
    stem: PathBuf,
    processes: usize,
    name: String,
    capacity: usize,
    bytes: u64,
    poll_interval: Time,
    next: Time,
    /// Locked for as long as this process serves, and which number that is.
    alive_lock: Option<File>,
    number: usize,
    file_version: Option<FileVersion>,
    has_successor: bool,
    /// Told once, until it goes well again.
    is_failing: bool,
}

impl Handover {
    /// What is shared in a folder under a gatherer's name.
    pub fn new(folder: &Path, name: &str, now: Time, limits: &Limits) -> Handover {
        // The name comes from the configuration and must not lead out of the folder.
        let plain = |c: char| {
            if c.is_ascii_alphanumeric() || c == '-' || c == '_' {
                c
            } else {
                '_'
            }
        };
        let file_name: String = name.chars().take(64).map(plain).collect();
        Handover {
            stem: folder.join(format!("bitternsill-{file_name}")),
            processes: limits.handover_processes,
            name: name.to_owned(),
            capacity: limits.hosts,
            bytes: limits.body_bytes as u64,
            poll_interval: limits.handover_poll_interval,
            next: now,
            alive_lock: None,
            number: 0,
            file_version: None,
            has_successor: false,
            is_failing: false,
        }
    }

    fn path(&self, ending: &str) -> PathBuf {
        self.stem.with_extension(ending)
    }

    /// This process takes clients from here on, and the others may rely on it.
    pub fn announce(&mut self) {
        let place = (0..self.processes).find_map(|n| {
            let file = create(&self.path(&format!("alive{n}"))).ok()?;
            lock(&file).then_some((file, n))
        });
        match place {
            Some((file, n)) => (self.alive_lock, self.number) = (Some(file), n),
            None => {
                tracing::warn!(folder = %self.stem.display(), "cannot be written: other processes are not told of this one");
            }
        }
    }

    /// This process ends: the others must not rely on it any more.
    pub fn withdraw(&mut self) {
        self.alive_lock = None;
    }

    /// Whether the folder is looked at again, and when.
    pub fn due(&self) -> Time {
        self.next
    }

    /// Whether another process of this name lived at the last look.
    pub fn has_successor(&self) -> bool {
        self.has_successor
    }

    /// What the file says; nothing where there is none, or none that can be used: that never stops
    /// a start.
    pub fn read(&mut self) -> Option<Exclusions> {
        let path = self.path("hand");
        self.file_version = file_version(&path);
        self.file_version?;
        let mut text = Vec::new();
        let file = OpenOptions::new()
            .read(true)
            .custom_flags(NO_FOLLOW)
            .open(&path);
        let read = file.and_then(|file| file.take(self.bytes + 1).read_to_end(&mut text));
        let problem = match read {
            Ok(n) if n as u64 > self.bytes => "it is too large".to_owned(),
            Ok(_) => match Exclusions::decode(&text, &self.name, self.capacity) {
                Ok(exclusions) => return Some(exclusions),
                Err(problem) => problem.to_string(),
            },
            Err(problem) => problem.to_string(),
        };
        tracing::warn!(file = %path.display(), problem, "the hosts out by hand that it names are not taken");
        None
    }

    /// Lays this process's changes over the file's, and takes the file's into its own.
    pub fn write(&mut self, exclusions: &mut Exclusions) {
        let result = self.try_write(exclusions);
        match &result {
            Err(problem) if !self.is_failing => {
                tracing::warn!(%problem, "the hosts out by hand could not be written for another process");
            }
            _ => {}
        }
        self.is_failing = result.is_err();
    }

    fn try_write(&mut self, exclusions: &mut Exclusions) -> io::Result<()> {
        let guard = create(&self.path("lock"))?;
        // The other holds it for some microseconds. One that was stopped with it must not stop this
        // one: a change that is lost by writing all the same is seen by the next look, and written
        // again.
        let _locked = (0..MAX_LOCK_ATTEMPTS).any(|_| {
            let locked = lock(&guard);
            if !locked {
                std::thread::yield_now();
            }
            locked
        });
        if let Some(theirs) = self.read() {
            exclusions.merge(&theirs);
        }
        let (fresh, path) = (self.path(&format!("new{}", self.number)), self.path("hand"));
        let mut file = create(&fresh)?;
        file.set_len(0)?;
        file.write_all(exclusions.encode(&self.name).as_bytes())?;
        std::fs::rename(&fresh, &path)?;
        self.file_version = file_version(&path);
        Ok(())
    }

    /// Looks whether another process lives.
    pub fn check_peers(&mut self, now: Time) -> bool {
        (self.has_successor, self.next) = (self.is_peer_alive(), now + self.poll_interval);
        self.has_successor
    }

    /// Looks at the file and at the other processes; true where that changes who is out.
    pub fn poll(&mut self, exclusions: &mut Exclusions, now: Time) -> bool {
        if now < self.next {
            return false;
        }
        self.check_peers(now);
        if file_version(&self.path("hand")) == self.file_version {
            return false;
        }
        let theirs = self
            .read()
            .unwrap_or_else(|| Exclusions::new(self.capacity));
        let changed = exclusions.merge(&theirs);
        // Something of this process's own is not there: the other had not seen it when it wrote.
        if *exclusions != theirs {
            self.write(exclusions);
        }
        changed
    }

    fn is_peer_alive(&self) -> bool {
        let others = (0..self.processes).filter(|n| self.alive_lock.is_none() || *n != self.number);
        let mut files = others.map(|n| File::open(self.path(&format!("alive{n}"))));
        files.any(|file| file.is_ok_and(|file| !lock(&file)))
    }
}

const NO_FOLLOW: i32 = rustix::fs::OFlags::NOFOLLOW.bits() as i32;
/// Some milliseconds at the most, each try giving the other process the processor.
const MAX_LOCK_ATTEMPTS: usize = 1_000;

fn create(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .create(true)
        .write(true)
        .truncate(false)
        .mode(0o600)
        .custom_flags(NO_FOLLOW)
        .open(path)
}

fn lock(file: &File) -> bool {
    rustix::fs::flock(file, FlockOperation::NonBlockingLockExclusive).is_ok()
}

fn file_version(path: &Path) -> Option<FileVersion> {
    let data = std::fs::symlink_metadata(path).ok()?;
    Some((data.ino(), data.len(), data.mtime(), data.mtime_nsec()))
}

#[cfg(test)]
mod tests;
