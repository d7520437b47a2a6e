//! Keeps a gatherer's trail in files, on a thread of its own, and reads them for those who collect trails.

use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Ready, Token};
use serde_json::json;
use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use versions::trail::{self, Chain, Entry, Mark};

/// Bytes of a segment before the next one begins, segments that are kept, and bytes that are told at once.
const SEGMENT: u64 = 1 << 20;
const KEPT: u64 = 64;
const TOLD: u64 = 32 << 10;
/// Jobs that may wait for the thread; what finds no room is dropped, and counted.
const WAITING: usize = 64;

enum Job {
    Note(Vec<Entry>),
    Tell(Token, u64, u64),
}

enum Done {
    /// What the store is to be told of the trail: its number, the segment, and so many lines up to this hash.
    Digest(u64, u64, u64, String),
    /// A line for a connection.
    Line(Token, String),
}

/// The thread, as the loop sees it.
pub struct Scribe {
    jobs: SyncSender<Job>,
    done: Receiver<Done>,
    woken: UnixStream,
    /// What found no room yet.
    behind: VecDeque<Vec<Entry>>,
    name: String,
}

impl Scribe {
    /// Opens the folder of a gatherer's trail; what stands there stays, and a new segment follows from it.
    pub fn open(folder: &Path, name: &str) -> io::Result<Scribe> {
        std::fs::create_dir_all(folder)?;
        let book = Book::open(folder, name)?;
        let (jobs, todo) = sync_channel(WAITING);
        let (tell, done) = sync_channel(2 * WAITING);
        let (woken, wake) = UnixStream::pair()?;
        woken.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        thread::Builder::new().name("trail".to_owned()).spawn(move || book.work(&todo, &tell, wake))?;
        Ok(Scribe { jobs, done, woken, behind: VecDeque::new(), name: name.to_owned() })
    }

    fn hand(&mut self) {
        while let Some(entries) = self.behind.pop_front() {
            if let Err(TrySendError::Full(Job::Note(entries))) = self.jobs.try_send(Job::Note(entries)) {
                self.behind.push_front(entries);
                break;
            }
        }
        while self.behind.len() > WAITING {
            // The oldest goes: a disk that does not keep up costs evidence, and no query.
            self.behind.pop_front();
            tracing::warn!("entries of the trail are lost: the disk does not keep up");
        }
    }
}

impl Connection<Gatherer> for Scribe {
    fn opened(&mut self, cx: &mut Context<'_, Gatherer>) -> io::Result<()> {
        cx.net.register(&self.woken, cx.token, Ready { readable: true, writable: false })
    }

    fn ready(&mut self, cx: &mut Context<'_, Gatherer>, _ready: Ready) {
        let _ = self.woken.read(&mut [0; 64]);
        for done in self.done.try_iter() {
            match done {
                Done::Line(token, line) => cx.net.post(token, Message::Line(line)),
                Done::Digest(trail, segment, length, hash) => {
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
                cx.net.post(token, Message::Line("{\"busy\":true}\n".to_owned()));
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
}

impl Book {
    fn open(folder: &Path, name: &str) -> io::Result<Book> {
        let mut book = Book {
            folder: folder.to_owned(),
            name: name.to_owned(),
            trail: crate::serve::random_seed(),
            segment: 0,
            file: None,
            chain: Chain::default(),
            bytes: 0,
        };
        let last = book.segments()?.into_iter().max();
        let hash = match last {
            // Whatever the last one holds, the next one says what it follows from.
            Some(last) => {
                let (entries, chain, _) =
                    trail::read(&std::fs::read_to_string(book.path(last)).unwrap_or_default());
                if let Some(Entry { mark: Mark::Follows { trail, .. }, .. }) = entries.first() {
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
        self.folder.join(format!("{}.{segment:06}.trail", self.name))
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
        let file = OpenOptions::new().create_new(true).append(true).open(self.path(segment))?;
        (self.segment, self.file, self.chain, self.bytes) = (segment, Some(file), Chain::default(), 0);
        for old in self.segments()?.into_iter().filter(|old| old + KEPT <= segment) {
            std::fs::remove_file(self.path(old))?;
        }
        self.write(&[Entry { at: 0, mark: Mark::Follows { trail: self.trail, segment, hash } }])
    }

    fn write(&mut self, entries: &[Entry]) -> io::Result<()> {
        let mut chain = self.chain.clone();
        let text = entries.iter().fold(String::new(), |text, entry| text + &chain.line(entry) + "\n");
        let Some(file) = &mut self.file else { return Err(io::Error::other("the trail is not open")) };
        let written = file.write_all(text.as_bytes()).and_then(|()| file.sync_data());
        if written.is_err() {
            // What came of it would break the chain.
            file.set_len(self.bytes)?;
        }
        written?;
        (self.chain, self.bytes) = (chain, self.bytes + text.len() as u64);
        Ok(())
    }

    fn note(&mut self, entries: &[Entry]) -> io::Result<()> {
        if self.bytes >= SEGMENT {
            self.begin(self.segment + 1, self.chain.hash.clone())?;
        }
        self.write(entries)
    }

    /// A stretch of a segment, and which there are.
    fn told(&self, segment: u64, from: u64) -> io::Result<String> {
        let segments = self.segments()?;
        let first = segments.first().copied().unwrap_or(self.segment);
        let segment = segment.max(first);
        let mut text = String::new();
        if segments.contains(&segment) {
            let mut file = File::open(self.path(segment))?;
            file.seek(SeekFrom::Start(from))?;
            file.take(TOLD).read_to_string(&mut text)?;
        }
        let more = text.len() as u64 == TOLD;
        let told = json!({"first": first, "last": self.segment, "segment": segment, "from": from,
                          "text": text, "more": more, "name": self.name});
        Ok(json!({"trail": told}).to_string() + "\n")
    }

    fn work(mut self, todo: &Receiver<Job>, tell: &SyncSender<Done>, mut wake: UnixStream) {
        let mut failed = false;
        while let Ok(job) = todo.recv() {
            let done = match job {
                Job::Note(entries) => match self.note(&entries) {
                    Ok(()) => {
                        failed = false;
                        Done::Digest(self.trail, self.segment, self.chain.length, self.chain.hash.clone())
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
                    Done::Line(token, line.unwrap_or_else(|_| "{\"trail\":null}\n".to_owned()))
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
