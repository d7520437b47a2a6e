//! Writes snapshots on a thread of its own, so that a slow or full disk delays nothing else.

use super::folder::Folder;
use crossbeam_queue::ArrayQueue;
use learning::file;
use learning::snapshot::Snapshot;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The number of snapshots that may wait for the disk.
const QUEUE_LEN: usize = 2;
/// Interval at which [`Writer::finish`] checks whether the thread has ended.
const FINISH_POLL: Duration = Duration::from_millis(1);

/// Counters shared with the thread, and the signal to end.
#[derive(Default)]
struct Counters {
    written: AtomicU64,
    failed: AtomicU64,
    dropped: AtomicU64,
    ending: AtomicBool,
}

/// Handle of the writer thread.
pub struct Writer {
    queue: Arc<ArrayQueue<Snapshot>>,
    counters: Arc<Counters>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread.
    pub fn start(folder: Folder) -> Writer {
        let queue = Arc::new(ArrayQueue::new(QUEUE_LEN));
        let counters = Arc::new(Counters::default());
        let (thread_queue, thread_counters) = (queue.clone(), counters.clone());
        let thread = thread::Builder::new()
            .name("learned".to_owned())
            .spawn(move || run(&folder, &thread_queue, &thread_counters));
        let thread = thread
            .map_err(|problem| tracing::error!(%problem, "cannot start the snapshot writer; statistics are not retained"))
            .ok();
        Writer {
            queue,
            counters,
            thread,
        }
    }

    /// Queues a snapshot. With a full queue the disk is too slow, and the snapshot is dropped.
    pub fn submit(&self, snapshot: Snapshot) {
        if self.queue.push(snapshot).is_err() {
            let dropped = 1 + self.counters.dropped.fetch_add(1, Ordering::Relaxed);
            // Logged at each doubling only, to keep a slow disk from flooding the log.
            if dropped.is_power_of_two() {
                tracing::warn!(dropped, "the disk is too slow: snapshots are dropped");
            }
        }
        if let Some(thread) = &self.thread {
            thread.thread().unpark();
        }
    }

    /// Ends the thread once it has written the queue; waits for that up to a time-out.
    pub fn finish(self, timeout: Duration) {
        self.counters.ending.store(true, Ordering::Release);
        let Some(thread) = self.thread else { return };
        thread.thread().unpark();
        let until = Instant::now() + timeout;
        while !thread.is_finished() && Instant::now() < until {
            thread::sleep(FINISH_POLL);
        }
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (written, failed, dropped) = (
            count(&self.counters.written),
            count(&self.counters.failed),
            count(&self.counters.dropped),
        );
        if thread.is_finished() {
            tracing::info!(written, failed, dropped, "the snapshot writer has finished");
        } else {
            tracing::warn!(
                written,
                failed,
                dropped,
                "the last snapshot was not written in time"
            );
        }
    }
}

fn run(folder: &Folder, queue: &ArrayQueue<Snapshot>, counters: &Counters) {
    loop {
        // Read before the queue, so that a snapshot queued before the signal is still written.
        let ending = counters.ending.load(Ordering::Acquire);
        let mut newest = None;
        while let Some(snapshot) = queue.pop() {
            newest = Some(snapshot);
        }
        match newest {
            Some(snapshot) => write(folder, &snapshot, counters),
            None if ending => return,
            None => thread::park(),
        }
    }
}

fn write(folder: &Folder, snapshot: &Snapshot, counters: &Counters) {
    let result = file::encode(snapshot)
        .map_err(|problem| problem.to_string())
        .and_then(|bytes| {
            folder
                .write(&bytes, |_| {})
                .map_err(|problem| problem.to_string())
        });
    match result {
        Ok(_) => {
            counters.written.fetch_add(1, Ordering::Relaxed);
        }
        Err(problem) => {
            let failed = 1 + counters.failed.fetch_add(1, Ordering::Relaxed);
            if failed.is_power_of_two() {
                tracing::error!(problem, failed, "cannot write a snapshot");
            }
        }
    }
}
