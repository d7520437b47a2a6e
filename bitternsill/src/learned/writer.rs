//! The thread that writes pictures: a slow or full disk holds it up, and nothing else.

use super::folder::Folder;
use crossbeam_queue::ArrayQueue;
use learning::file;
use learning::picture::Picture;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Pictures that wait for the disk.
const WAITING: usize = 2;

#[derive(Default)]
struct Counts {
    written: AtomicU64,
    failed: AtomicU64,
    dropped: AtomicU64,
    ending: AtomicBool,
}

/// The writer, as the loop sees it.
pub struct Writer {
    queue: Arc<ArrayQueue<Picture>>,
    counts: Arc<Counts>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread.
    pub fn start(folder: Folder) -> Writer {
        let queue = Arc::new(ArrayQueue::new(WAITING));
        let counts = Arc::new(Counts::default());
        let (theirs, tally) = (queue.clone(), counts.clone());
        let thread = thread::Builder::new()
            .name("learned".to_owned())
            .spawn(move || work(&folder, &theirs, &tally));
        let thread = thread
            .map_err(|problem| tracing::error!(%problem, "what is learned is not written"))
            .ok();
        Writer {
            queue,
            counts,
            thread,
        }
    }

    /// Hands a picture over. Where two wait already the disk is too slow, and this one is dropped.
    pub fn hand(&self, picture: Picture) {
        if self.queue.push(picture).is_err() {
            let dropped = 1 + self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            // One slow disk is one line, and then one for each doubling.
            if dropped.is_power_of_two() {
                tracing::warn!(
                    dropped,
                    "the disk is slow: pictures of what is learned are dropped"
                );
            }
        }
        if let Some(thread) = &self.thread {
            thread.thread().unpark();
        }
    }

    /// Lets the thread write what waits and end; waits for so long at the most.
    pub fn finish(self, patience: Duration) {
        self.counts.ending.store(true, Ordering::Release);
        let Some(thread) = self.thread else { return };
        thread.thread().unpark();
        let until = Instant::now() + patience;
        while !thread.is_finished() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (written, failed, dropped) = (
            count(&self.counts.written),
            count(&self.counts.failed),
            count(&self.counts.dropped),
        );
        if thread.is_finished() {
            tracing::info!(written, failed, dropped, "what was learned is kept");
        } else {
            tracing::warn!(
                written,
                failed,
                dropped,
                "the last picture of what was learned is not written yet"
            );
        }
    }
}

fn work(folder: &Folder, queue: &ArrayQueue<Picture>, counts: &Counts) {
    loop {
        // Read before the queue: what was handed over before the end is written.
        let ending = counts.ending.load(Ordering::Acquire);
        let mut newest = None;
        while let Some(picture) = queue.pop() {
            newest = Some(picture);
        }
        match newest {
            Some(picture) => write(folder, &picture, counts),
            None if ending => return,
            None => thread::park(),
        }
    }
}

fn write(folder: &Folder, picture: &Picture, counts: &Counts) {
    let result = file::encode(picture)
        .map_err(|problem| problem.to_string())
        .and_then(|bytes| {
            folder
                .write(&bytes, |_| {})
                .map_err(|problem| problem.to_string())
        });
    match result {
        Ok(_) => {
            counts.written.fetch_add(1, Ordering::Relaxed);
        }
        Err(problem) => {
            let failed = 1 + counts.failed.fetch_add(1, Ordering::Relaxed);
            if failed.is_power_of_two() {
                tracing::error!(problem, failed, "what is learned cannot be written");
            }
        }
    }
}
