//! The files of an audit log, one for each segment. A new segment is started by each incarnation,
//! and when a segment reaches [`SEGMENT_BYTES`].

use crate::versions::collect::complete_utf8;
use serde_json::json;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use versions::audit_log::{Entry, HashChain, Record, Segment};

/// The size at which a new segment is started.
const SEGMENT_BYTES: u64 = 1 << 20;
/// The number of segments that are retained.
const RETAINED_SEGMENTS: u64 = 64;
/// The largest chunk of a segment in one response.
const CHUNK_BYTES: u64 = 32 << 10;

/// The open files of an audit log.
pub(super) struct LogFiles {
    folder: PathBuf,
    name: String,
    /// The number of the log, shared by all its segments.
    log: u64,
    segment: u64,
    file: Option<File>,
    chain: HashChain,
    /// The size of the segment up to the last complete entry.
    bytes: u64,
    /// The number of entries lost since the last one that was written.
    lost: u64,
    /// For tests: the disk counts as full while this file exists.
    full_while: Option<PathBuf>,
}

impl LogFiles {
    /// Starts a new segment, which continues the last one in the folder.
    pub(super) fn open(
        folder: &Path,
        name: &str,
        full_while: Option<PathBuf>,
    ) -> io::Result<LogFiles> {
        let mut files = LogFiles {
            folder: folder.to_owned(),
            name: name.to_owned(),
            log: crate::serve::random_seed(),
            segment: 0,
            file: None,
            chain: HashChain::default(),
            bytes: 0,
            lost: 0,
            full_while,
        };
        let Some(last) = files.segments()?.into_iter().max() else {
            files.begin_segment(0, String::new())?;
            return Ok(files);
        };
        // A corrupt or unreadable last segment is continued too: the new segment states the hash
        // that it continues, and the audit finds the gap.
        let text = std::fs::read_to_string(files.path(last)).unwrap_or_default();
        let segment = Segment::read(&text);
        if let Some(Record::SegmentStarted { log, .. }) =
            segment.entries.first().map(|entry| &entry.record)
        {
            files.log = *log;
        }
        files.begin_segment(last + 1, segment.chain.hash)?;
        Ok(files)
    }

    pub(super) fn folder(&self) -> &Path {
        &self.folder
    }

    pub(super) fn log(&self) -> u64 {
        self.log
    }

    pub(super) fn segment(&self) -> u64 {
        self.segment
    }

    pub(super) fn chain(&self) -> &HashChain {
        &self.chain
    }

    fn path(&self, segment: u64) -> PathBuf {
        self.folder
            .join(format!("{}.{segment:06}.trail", self.name))
    }

    /// The numbers of the segments in the folder, in order.
    fn segments(&self) -> io::Result<Vec<u64>> {
        let mut segments = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let file_name = entry?.file_name();
            let number = file_name.to_str().and_then(|file_name| {
                let rest = file_name.strip_prefix(&self.name)?.strip_prefix('.')?;
                rest.strip_suffix(".trail")?.parse::<u64>().ok()
            });
            segments.extend(number);
        }
        segments.sort_unstable();
        Ok(segments)
    }

    /// Starts a segment and deletes those that are no longer retained.
    fn begin_segment(&mut self, segment: u64, previous_hash: String) -> io::Result<()> {
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(self.path(segment))?;
        self.segment = segment;
        self.file = Some(file);
        self.chain = HashChain::default();
        self.bytes = 0;
        for old in self.segments()? {
            if old + RETAINED_SEGMENTS <= segment {
                std::fs::remove_file(self.path(old))?;
            }
        }
        let record = Record::SegmentStarted {
            log: self.log,
            segment,
            previous_hash,
        };
        self.write(&[Entry { at: 0, record }])
    }

    fn write(&mut self, entries: &[Entry]) -> io::Result<()> {
        let mut chain = self.chain.clone();
        let text = entries.iter().fold(String::new(), |text, entry| {
            text + &chain.append(entry) + "\n"
        });
        let Some(file) = &mut self.file else {
            return Err(io::Error::other("the audit log is not open"));
        };
        if self.full_while.as_ref().is_some_and(|path| path.exists()) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let written = file
            .write_all(text.as_bytes())
            .and_then(|()| file.sync_data());
        if written.is_err() {
            // A partly written entry would break the hash chain for all later entries.
            file.set_len(self.bytes)?;
        }
        written?;
        self.chain = chain;
        self.bytes += text.len() as u64;
        Ok(())
    }

    /// Writes entries. If earlier entries were lost, an entry with their number comes first.
    pub(super) fn append(&mut self, mut entries: Vec<Entry>) -> io::Result<()> {
        if let Some(first) = entries.first().filter(|_| self.lost > 0) {
            let lost = Entry {
                at: first.at,
                record: Record::EntriesLost { count: self.lost },
            };
            entries.insert(0, lost);
        }
        let written = if self.bytes >= SEGMENT_BYTES {
            self.begin_segment(self.segment + 1, self.chain.hash.clone())
                .and_then(|()| self.write(&entries))
        } else {
            self.write(&entries)
        };
        let lost_before = std::mem::take(&mut self.lost);
        if written.is_err() {
            // The entry with the number of lost entries is not itself counted as lost.
            self.lost = entries.len() as u64 + lost_before.saturating_sub(1);
        }
        written
    }

    /// Counts entries that were dropped before they reached the thread.
    pub(super) fn add_lost(&mut self, count: u64) {
        self.lost += count;
    }

    /// A line of JSON with the chunk of a segment at a byte offset, and the numbers of the first
    /// and the last segment. For a deleted segment it has the first one left.
    pub(super) fn read_chunk(&self, segment: u64, offset: u64) -> io::Result<String> {
        let segments = self.segments()?;
        let first = segments.first().copied().unwrap_or(self.segment);
        let segment = segment.max(first);
        let mut bytes = Vec::new();
        if segments.contains(&segment) {
            let mut file = File::open(self.path(segment))?;
            file.seek(SeekFrom::Start(offset))?;
            file.take(CHUNK_BYTES).read_to_end(&mut bytes)?;
        }
        let more = bytes.len() as u64 == CHUNK_BYTES;
        let chunk = json!({
            "first": first,
            "last": self.segment,
            "segment": segment,
            "from": offset,
            "trail": self.log,
            "text": complete_utf8(bytes),
            "more": more,
            "name": self.name,
        });
        Ok(json!({"trail": chunk}).to_string() + "\n")
    }
}
