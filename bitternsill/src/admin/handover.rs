//! The files that two processes of one gatherer share while one takes over from the other: a file
//! with the excluded hosts, and for each process a locked file that shows that it is alive.
//!
//! The folder is `$TMPDIR`, which is in memory: a write takes microseconds and is not synced, as
//! nothing there survives a reboot. So it is done on the event loop's thread, before the call is
//! answered.

use super::exclusions::Exclusions;
use crate::limits::Limits;
use dispatch::interface::Time;
use rustix::fs::FlockOperation;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Metadata that distinguishes one version of the file from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    length: u64,
    modified_s: i64,
    modified_ns: i64,
}

/// The shared folder, as one process sees it.
#[derive(Debug)]
pub struct Handover {
    stem: PathBuf,
    slots: usize,
    name: String,
    capacity: usize,
    max_bytes: u64,
    poll_interval: Time,
    next_poll: Time,
    /// Locked for as long as this process serves. The kernel drops the lock when the process dies,
    /// so a dead process is never taken for a live one.
    alive_lock: Option<File>,
    slot: usize,
    file_version: Option<FileVersion>,
    has_successor: bool,
    /// Whether the last write failed: a failure is logged once until a write succeeds.
    is_failing: bool,
}

impl Handover {
    /// The files shared in a folder under a gatherer's name.
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
            slots: limits.handover_processes,
            name: name.to_owned(),
            capacity: limits.hosts,
            max_bytes: limits.body_bytes as u64,
            poll_interval: limits.handover_poll_interval,
            next_poll: now,
            alive_lock: None,
            slot: 0,
            file_version: None,
            has_successor: false,
            is_failing: false,
        }
    }

    fn path(&self, ending: &str) -> PathBuf {
        self.stem.with_extension(ending)
    }

    /// Shows the other processes that this one accepts clients from now on.
    pub fn announce(&mut self) {
        let slot = (0..self.slots).find_map(|n| {
            let file = create(&self.path(&format!("alive{n}"))).ok()?;
            lock(&file).then_some((file, n))
        });
        match slot {
            Some((file, n)) => (self.alive_lock, self.slot) = (Some(file), n),
            None => {
                tracing::warn!(folder = %self.stem.display(), "cannot lock a file: other processes will not see this one");
            }
        }
    }

    /// Shows the other processes that this one is shutting down.
    pub fn withdraw(&mut self) {
        self.alive_lock = None;
    }

    /// When the folder is polled next.
    pub fn due(&self) -> Time {
        self.next_poll
    }

    /// Whether another process of this name was alive at the last poll.
    pub fn has_successor(&self) -> bool {
        self.has_successor
    }

    /// Reads the stored exclusions. `None` if there is no file or it is unusable, which is logged:
    /// neither may prevent a start.
    pub fn read(&mut self) -> Option<Exclusions> {
        let path = self.path("hand");
        self.file_version = file_version(&path);
        self.file_version?;
        let mut text = Vec::new();
        let file = OpenOptions::new()
            .read(true)
            .custom_flags(NO_FOLLOW)
            .open(&path);
        let read = file.and_then(|file| file.take(self.max_bytes + 1).read_to_end(&mut text));
        let problem = match read {
            Ok(n) if n as u64 > self.max_bytes => "it is too large".to_owned(),
            Ok(_) => match Exclusions::decode(&text, &self.name, self.capacity) {
                Ok(exclusions) => return Some(exclusions),
                Err(problem) => problem.to_string(),
            },
            Err(problem) => problem.to_string(),
        };
        tracing::warn!(file = %path.display(), problem, "cannot use the file; the excluded hosts in it are ignored");
        None
    }

    /// Merges this process's changes with the file's, both ways.
    pub fn write(&mut self, exclusions: &mut Exclusions) {
        let result = self.try_write(exclusions);
        match &result {
            Err(problem) if !self.is_failing => {
                tracing::warn!(%problem, "cannot store the excluded hosts for another process");
            }
            _ => {}
        }
        self.is_failing = result.is_err();
    }

    fn try_write(&mut self, exclusions: &mut Exclusions) -> io::Result<()> {
        let guard = create(&self.path("lock"))?;
        // The other process holds the lock for some microseconds. If it is stopped while holding
        // the lock, it must not block this one, so after the last attempt the file is written
        // without the lock. A change lost in that race is detected by the next poll and written
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
        let (fresh, path) = (self.path(&format!("new{}", self.slot)), self.path("hand"));
        let mut file = create(&fresh)?;
        file.set_len(0)?;
        file.write_all(exclusions.encode(&self.name).as_bytes())?;
        std::fs::rename(&fresh, &path)?;
        self.file_version = file_version(&path);
        Ok(())
    }

    /// Checks whether another process is alive.
    pub fn check_peers(&mut self, now: Time) -> bool {
        (self.has_successor, self.next_poll) = (self.is_peer_alive(), now + self.poll_interval);
        self.has_successor
    }

    /// Polls the file and the other processes. Returns whether the set of excluded hosts changed.
    pub fn poll(&mut self, exclusions: &mut Exclusions, now: Time) -> bool {
        if now < self.next_poll {
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
        // The file lacks a change of this process that the other had not seen when it wrote.
        if *exclusions != theirs {
            self.write(exclusions);
        }
        changed
    }

    fn is_peer_alive(&self) -> bool {
        let others = (0..self.slots).filter(|n| self.alive_lock.is_none() || *n != self.slot);
        let mut files = others.map(|n| File::open(self.path(&format!("alive{n}"))));
        files.any(|file| file.is_ok_and(|file| !lock(&file)))
    }
}

const NO_FOLLOW: i32 = rustix::fs::OFlags::NOFOLLOW.bits() as i32;
/// Takes some milliseconds at most, as each attempt yields the processor to the other process.
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
    Some(FileVersion {
        inode: data.ino(),
        length: data.len(),
        modified_s: data.mtime(),
        modified_ns: data.mtime_nsec(),
    })
}

#[cfg(test)]
mod tests;
