//! Keeps a gatherer's trail in files, on a thread of its own, and reads them for those who collect
//! trails.

use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Ready, Token};
use crate::versions::collect::whole_letters;
use dispatch::interface::Time;
use serde_json::json;
use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;
use versions::trail::{self, Chain, Entry, Mark};

/// Bytes of a segment before the next one begins, segments that are kept, and bytes that are told
/// at once.
const SEGMENT: u64 = 1 << 20;
const KEPT: u64 = 64;
const TOLD: u64 = 32 << 10;
/// Jobs that may wait for the thread; what finds no room is dropped, and counted.
const WAITING: usize = 64;

enum Job {
    /// Entries, and how many before them found no room.
    Note(Vec<Entry>, u64),
    Tell(Token, u64, u64),
    /// The last entries of this life; whoever waits hears once they are written.
    Last(Vec<Entry>, SyncSender<()>),
}

enum Done {
    /// What the store is to be told of the trail: its number, the segment, and so many lines up to
    /// this hash.
    Digest(u64, u64, u64, String),
    /// A line for a connection.
    Line(Token, String),
}

/// The thread, as the loop sees it.
pub struct Scribe {
    jobs: SyncSender<Job>,
    done: Receiver<Done>,
    woken: UnixStream,
    /// What found no room yet, and how many entries never did.
    behind: VecDeque<Vec<Entry>>,
    dropped: u64,
    name: String,
    /// When the store may next be told how far the trail goes: notes must not become so many
    /// changes of the store.
    tell_at: Time,
}

/// Has the last entries written when the loop has ended.
pub struct LastWord(SyncSender<Job>);

impl LastWord {
    /// Waits so long at the most.
    pub fn say(&self, entries: Vec<Entry>, patience: Duration) {
        let (tell, told) = sync_channel(1);
        if self.0.try_send(Job::Last(entries, tell)).is_err()
            || told.recv_timeout(patience).is_err()
        {
            tracing::warn!("the last entries of the trail may be lost: the disk does not keep up");
        }
    }
}

impl Scribe {
    /// Opens the folder of a gatherer's trail; what stands there stays, and a new segment follows
    /// from it.
    pub fn open(
        folder: &Path,
        name: &str,
        full_while: Option<PathBuf>,
    ) -> io::Result<(Scribe, LastWord)> {
        std::fs::create_dir_all(folder)?;
        let book = Book::open(folder, name, full_while)?;
        let (jobs, todo) = sync_channel(WAITING);
        let (tell, done) = sync_channel(2 * WAITING);
        let (woken, wake) = UnixStream::pair()?;
        woken.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        thread::Builder::new()
            .name("trail".to_owned())
            .spawn(move || book.work(&todo, &tell, wake))?;
        let last = LastWord(jobs.clone());
        let (behind, dropped, name, tell_at) = (VecDeque::new(), 0, name.to_owned(), 0);
        Ok((
            Scribe {
                jobs,
                done,
                woken,
                behind,
                dropped,
                name,
                tell_at,
            },
            last,
        ))
    }

    fn hand(&mut self) {
        while let Some(entries) = self.behind.pop_front() {
            if let Err(TrySendError::Full(Job::Note(entries, _))) =
                self.jobs.try_send(Job::Note(entries, self.dropped))
            {
                self.behind.push_front(entries);
                break;
            }
            self.dropped = 0;
        }
        while self.behind.len() > WAITING {
            // The oldest goes: a disk that does not keep up costs evidence, and no query. The trail
            // will say how much.
            self.dropped += self
                .behind
                .pop_front()
                .map_or(0, |entries| entries.len() as u64);
            tracing::warn!("entries of the trail are lost: the disk does not keep up");
        }
    }
}

impl Connection<Gatherer> for Scribe {
    fn opened(&mut self, cx: &mut Context<'_, Gatherer>) -> io::Result<()> {
        cx.net.register(&self.woken, cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Context<'_, Gatherer>, _ready: Ready) {
        let _ = self.woken.read(&mut [0; 64]);
        for done in self.done.try_iter() {
            match done {
                Done::Line(token, line) => cx.net.post(token, Message::Line(line)),
                Done::Digest(trail, segment, length, hash) => {
                    if cx.now < self.tell_at {
                        continue;
                    }
                    self.tell_at = cx.now + cx.world.limits.audit_report_interval;
                    if let Some(shelf) = &mut cx.world.shelf {
                        let digest = json!({"segment": segment, "length": length, "hash": hash});
                        let key = format!("{}{}/{trail}", super::TRAILS, self.name);
                        shelf.want(&key, &digest.to_string(), cx.net);
                    }
                }
            }
        }
        self.hand();
    }

    fn deliver(&mut self, cx: &mut Context<'_, Gatherer>, message: Message) {
        match message {
            Message::Noted(entries) => {
                self.behind.push_back(entries);
                self.hand();
            }
            Message::TrailWanted(token, segment, from)
                if self.jobs.try_send(Job::Tell(token, segment, from)).is_err() =>
            {
                cx.net
                    .post(token, Message::Line("{\"busy\":true}\n".to_owned()));
            }
            _ => {}
        }
    }

    fn timer(&mut self, _cx: &mut Context<'_, Gatherer>) {}
}

/// The files, as the thread has them.
struct Book {
    folder: PathBuf,
    name: String,
    trail: u64,
    segment: u64,
    file: Option<File>,
    chain: Chain,
    bytes: u64,
    /// Entries that could not be written since the last that was.
    lost: u64,
    /// For tests: the disk is full while there is such a file.
    full_while: Option<PathBuf>,
}

impl Book {
    fn open(folder: &Path, name: &str, full_while: Option<PathBuf>) -> io::Result<Book> {
        let mut book = Book {
            folder: folder.to_owned(),
            name: name.to_owned(),
            trail: crate::serve::random_seed(),
            segment: 0,
            file: None,
            chain: Chain::default(),
            bytes: 0,
            lost: 0,
            full_while,
        };
        let last = book.segments()?.into_iter().max();
        let hash = match last {
            // Whatever the last one holds, the next one says what it follows from.
            Some(last) => {
                let (entries, chain, _) =
                    trail::read(&std::fs::read_to_string(book.path(last)).unwrap_or_default());
                if let Some(Entry {
                    mark: Mark::Follows { trail, .. },
                    ..
                }) = entries.first()
                {
                    book.trail = *trail;
                }
                chain.hash
            }
            None => String::new(),
        };
        book.begin(last.map_or(0, |last| last + 1), hash)?;
        Ok(book)
    }

    fn path(&self, segment: u64) -> PathBuf {
        self.folder
            .join(format!("{}.{segment:06}.trail", self.name))
    }

    /// The segments that are there.
    fn segments(&self) -> io::Result<Vec<u64>> {
        let mut all = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let name = entry?.file_name();
            let number = name.to_str().and_then(|name| {
                let rest = name.strip_prefix(&self.name)?.strip_prefix('.')?;
                rest.strip_suffix(".trail")?.parse::<u64>().ok()
            });
            all.extend(number);
        }
        all.sort_unstable();
        Ok(all)
    }

    fn begin(&mut self, segment: u64, hash: String) -> io::Result<()> {
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(self.path(segment))?;
        (self.segment, self.file, self.chain, self.bytes) =
            (segment, Some(file), Chain::default(), 0);
        for old in self
            .segments()?
            .into_iter()
            .filter(|old| old + KEPT <= segment)
        {
            std::fs::remove_file(self.path(old))?;
        }
        self.write(&[Entry {
            at: 0,
            mark: Mark::Follows {
                trail: self.trail,
                segment,
                hash,
            },
        }])
    }

    fn write(&mut self, entries: &[Entry]) -> io::Result<()> {
        let mut chain = self.chain.clone();
        let text = entries.iter().fold(String::new(), |text, entry| {
            text + &chain.line(entry) + "\n"
        });
        let Some(file) = &mut self.file else {
            return Err(io::Error::other("the trail is not open"));
        };
        if self.full_while.as_ref().is_some_and(|path| path.exists()) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let written = file
            .write_all(text.as_bytes())
            .and_then(|()| file.sync_data());
        if written.is_err() {
            // What came of it would break the chain.
            file.set_len(self.bytes)?;
        }
        written?;
        (self.chain, self.bytes) = (chain, self.bytes + text.len() as u64);
        Ok(())
    }

    /// Writes entries, behind one that says how many before them could not be written.
    fn note(&mut self, mut entries: Vec<Entry>) -> io::Result<()> {
        if let Some(first) = entries.first().filter(|_| self.lost > 0) {
            let lost = Entry {
                at: first.at,
                mark: Mark::Lost { count: self.lost },
            };
            entries.insert(0, lost);
        }
        let written = if self.bytes >= SEGMENT {
            self.begin(self.segment + 1, self.chain.hash.clone())
                .and_then(|()| self.write(&entries))
        } else {
            self.write(&entries)
        };
        let before = std::mem::take(&mut self.lost);
        if written.is_err() {
            self.lost = entries.len() as u64 + before.saturating_sub(1);
        }
        written
    }

    /// A stretch of a segment, and which there are.
    fn told(&self, segment: u64, from: u64) -> io::Result<String> {
        let segments = self.segments()?;
        let first = segments.first().copied().unwrap_or(self.segment);
        let segment = segment.max(first);
        let mut bytes = Vec::new();
        if segments.contains(&segment) {
            let mut file = File::open(self.path(segment))?;
            file.seek(SeekFrom::Start(from))?;
            file.take(TOLD).read_to_end(&mut bytes)?;
        }
        let more = bytes.len() as u64 == TOLD;
        let told = json!({"first": first, "last": self.segment, "segment": segment, "from": from, "trail": self.trail,
                          "text": whole_letters(bytes), "more": more, "name": self.name});
        Ok(json!({"trail": told}).to_string() + "\n")
    }

    /// So many entries found no room before what follows.
    fn after(&mut self, dropped: u64) -> &mut Book {
        self.lost += dropped;
        self
    }

    fn work(mut self, todo: &Receiver<Job>, tell: &SyncSender<Done>, mut wake: UnixStream) {
        let mut failed = false;
        while let Ok(job) = todo.recv() {
            let done = match job {
                Job::Last(entries, tell) => {
                    if let Err(problem) = self.note(entries) {
                        tracing::error!(folder = %self.folder.display(), %problem, "the trail cannot be written");
                    }
                    let _ = tell.send(());
                    return;
                }
                Job::Note(entries, dropped) => match self.after(dropped).note(entries) {
                    Ok(()) => {
                        failed = false;
                        Done::Digest(
                            self.trail,
                            self.segment,
                            self.chain.length,
                            self.chain.hash.clone(),
                        )
                    }
                    Err(problem) => {
                        if !std::mem::replace(&mut failed, true) {
                            tracing::error!(folder = %self.folder.display(), %problem, "the trail cannot be written");
                        }
                        continue;
                    }
                },
                Job::Tell(token, segment, from) => {
                    let line = self.told(segment, from);
                    Done::Line(
                        token,
                        line.unwrap_or_else(|_| "{\"trail\":null}\n".to_owned()),
                    )
                }
            };
            // A loop that does not read has other troubles than a digest.
            if matches!(tell.try_send(done), Err(TrySendError::Disconnected(_))) {
                return;
            }
            let _ = wake.write(&[1]);
        }
    }
}
