//! Writes a gatherer's audit log on a thread of its own, so that a slow disk delays no query, and
//! reads it for collectors.

mod files;

use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Ready, Token};
use dispatch::interface::Time;
use files::LogFiles;
use serde_json::json;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;
use versions::audit_log::Entry;

/// The number of commands that may wait for the thread. Entries beyond that are dropped and
/// counted.
const QUEUE_CAPACITY: usize = 64;
/// The number of bytes that one read takes from the wake-up socket.
const WAKE_BUFFER_BYTES: usize = 64;

enum Command {
    /// Writes entries.
    Append {
        entries: Vec<Entry>,
        /// The number of entries dropped before them.
        dropped: u64,
    },
    /// Reads a chunk of a segment for a connection.
    Read {
        reply_to: Token,
        segment: u64,
        offset: u64,
    },
    /// Writes the last entries of this incarnation, signals that, and ends the thread.
    Finish {
        entries: Vec<Entry>,
        done: SyncSender<()>,
    },
}

enum Response {
    /// The digest of the log, for the store.
    Digest {
        log: u64,
        segment: u64,
        length: u64,
        hash: String,
    },
    /// A line for a connection.
    Line { reply_to: Token, line: String },
}

/// The writer, as a connection of the event loop.
pub struct AuditWriter {
    commands: SyncSender<Command>,
    responses: Receiver<Response>,
    wake: UnixStream,
    /// Entries that the thread's queue has no room for yet.
    backlog: VecDeque<Vec<Entry>>,
    /// The number of entries dropped from the backlog since entries were last queued.
    dropped: u64,
    name: String,
    /// When the next digest may be written to the store: a digest for every write would load the
    /// store with changes.
    next_digest_at: Time,
}

/// Writes the last entries after the event loop has ended.
pub struct FinalEntries(SyncSender<Command>);

impl FinalEntries {
    /// Waits until the entries are written, but no longer than `timeout`.
    pub fn write(&self, entries: Vec<Entry>, timeout: Duration) {
        let (done, written) = sync_channel(1);
        let queued = self.0.try_send(Command::Finish { entries, done }).is_ok();
        if !queued || written.recv_timeout(timeout).is_err() {
            tracing::warn!("the last entries of the audit log may be lost: the disk is too slow");
        }
    }
}

impl AuditWriter {
    /// Opens the folder of a gatherer's audit log. Existing segments stay, and a new segment
    /// continues them.
    ///
    /// # Errors
    /// The folder cannot be created, read or written, or the thread cannot be started.
    pub fn open(
        folder: &Path,
        name: &str,
        full_while: Option<PathBuf>,
    ) -> io::Result<(AuditWriter, FinalEntries)> {
        std::fs::create_dir_all(folder)?;
        let files = LogFiles::open(folder, name, full_while)?;
        let (commands, queue) = sync_channel(QUEUE_CAPACITY);
        let (respond, responses) = sync_channel(2 * QUEUE_CAPACITY);
        let (wake, waker) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        waker.set_nonblocking(true)?;
        let worker = Worker {
            files,
            responses: respond,
            waker,
            failed: false,
        };
        thread::Builder::new()
            .name("audit-log".to_owned())
            .spawn(move || worker.run(&queue))?;
        let final_entries = FinalEntries(commands.clone());
        let writer = AuditWriter {
            commands,
            responses,
            wake,
            backlog: VecDeque::new(),
            dropped: 0,
            name: name.to_owned(),
            next_digest_at: 0,
        };
        Ok((writer, final_entries))
    }

    /// Moves the backlog to the thread's queue as far as that has room.
    fn queue_backlog(&mut self) {
        while let Some(entries) = self.backlog.pop_front() {
            let command = Command::Append {
                entries,
                dropped: self.dropped,
            };
            if let Err(TrySendError::Full(Command::Append { entries, .. })) =
                self.commands.try_send(command)
            {
                self.backlog.push_front(entries);
                break;
            }
            self.dropped = 0;
        }
        while self.backlog.len() > QUEUE_CAPACITY {
            // The oldest are dropped: a slow disk may cost log entries, but must not delay queries.
            // The number dropped is written to the log.
            self.dropped += self
                .backlog
                .pop_front()
                .map_or(0, |entries| entries.len() as u64);
            tracing::warn!("entries of the audit log are lost: the disk is too slow");
        }
    }

    fn handle_response(&mut self, response: Response, cx: &mut Context<'_, Gatherer>) {
        match response {
            Response::Line { reply_to, line } => cx.net.post(reply_to, Message::Line(line)),
            Response::Digest {
                log,
                segment,
                length,
                hash,
            } => {
                if cx.now < self.next_digest_at {
                    return;
                }
                self.next_digest_at = cx.now + cx.world.limits.audit_report_interval;
                if let Some(store_service) = &mut cx.world.store_service {
                    let digest = json!({"segment": segment, "length": length, "hash": hash});
                    let key = format!("{}{}/{log}", super::keys::AUDIT_LOGS, self.name);
                    store_service.propose(&key, &digest.to_string(), cx.net);
                }
            }
        }
    }
}

impl Connection<Gatherer> for AuditWriter {
    fn opened(&mut self, cx: &mut Context<'_, Gatherer>) -> io::Result<()> {
        cx.net.register(&self.wake, cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Context<'_, Gatherer>, _ready: Ready) {
        let _ = self.wake.read(&mut [0; WAKE_BUFFER_BYTES]);
        while let Ok(response) = self.responses.try_recv() {
            self.handle_response(response, cx);
        }
        self.queue_backlog();
    }

    fn deliver(&mut self, cx: &mut Context<'_, Gatherer>, message: Message) {
        match message {
            Message::AuditEntries(entries) => {
                self.backlog.push_back(entries);
                self.queue_backlog();
            }
            Message::AuditLogRequested(reply_to, segment, offset) => {
                let command = Command::Read {
                    reply_to,
                    segment,
                    offset,
                };
                if self.commands.try_send(command).is_err() {
                    let busy = "{\"busy\":true}\n".to_owned();
                    cx.net.post(reply_to, Message::Line(busy));
                }
            }
            _ => {}
        }
    }

    fn timer(&mut self, _cx: &mut Context<'_, Gatherer>) {}
}

/// The thread that owns the files.
struct Worker {
    files: LogFiles,
    responses: SyncSender<Response>,
    waker: UnixStream,
    /// Whether the last write failed, so that a full disk is logged once.
    failed: bool,
}

impl Worker {
    /// Executes commands until the last entries are written or the event loop has ended.
    fn run(mut self, commands: &Receiver<Command>) {
        while let Ok(command) = commands.recv() {
            let response = match command {
                Command::Append { entries, dropped } => self.append(entries, dropped),
                Command::Read {
                    reply_to,
                    segment,
                    offset,
                } => Some(self.read(reply_to, segment, offset)),
                Command::Finish { entries, done } => {
                    if let Err(problem) = self.files.append(entries) {
                        self.log_failure(&problem);
                    }
                    let _ = done.send(());
                    return;
                }
            };
            let Some(response) = response else { continue };
            // With a full queue the response is dropped: for an event loop that does not read, a
            // missing digest is the smaller problem.
            let sent = self.responses.try_send(response);
            if matches!(sent, Err(TrySendError::Disconnected(_))) {
                return;
            }
            let _ = self.waker.write(&[1]);
        }
    }

    fn append(&mut self, entries: Vec<Entry>, dropped: u64) -> Option<Response> {
        self.files.add_lost(dropped);
        if let Err(problem) = self.files.append(entries) {
            if !std::mem::replace(&mut self.failed, true) {
                self.log_failure(&problem);
            }
            return None;
        }
        self.failed = false;
        Some(Response::Digest {
            log: self.files.log(),
            segment: self.files.segment(),
            length: self.files.chain().length,
            hash: self.files.chain().hash.clone(),
        })
    }

    fn read(&self, reply_to: Token, segment: u64, offset: u64) -> Response {
        let line = self
            .files
            .read_chunk(segment, offset)
            .unwrap_or_else(|_| "{\"trail\":null}\n".to_owned());
        Response::Line { reply_to, line }
    }

    fn log_failure(&self, problem: &io::Error) {
        tracing::error!(
            folder = %self.files.folder().display(),
            %problem,
            "the trail cannot be written"
        );
    }
}
