//! The member's file, as a connection object of the event loop.

use super::disk::Disk;
use super::service::with_store;
use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Ready};
use std::collections::VecDeque;
use std::io;
use store::member::Write;

type Cx<'a> = Context<'a, Gatherer>;

/// Queues writes for the thread of the member's file, in order, and reports completed ones to the
/// store.
pub(super) struct FileWriter {
    disk: Disk,
    /// Writes that the thread's queue has no room for yet.
    backlog: VecDeque<Write>,
}

impl FileWriter {
    pub(super) fn new(disk: Disk) -> FileWriter {
        FileWriter {
            disk,
            backlog: VecDeque::new(),
        }
    }

    /// Queues as many writes as the thread's queue accepts. A member whose disk does not keep up
    /// stops: it could acknowledge nothing in time.
    fn submit(&mut self, cx: &mut Cx<'_>) {
        while let Some(write) = self.backlog.pop_front() {
            if let Err(write) = self.disk.submit(write) {
                self.backlog.push_front(write);
                break;
            }
        }
        if self.backlog.len() > cx.world.limits.store_log {
            self.stop(cx, &"the disk does not keep up");
        }
    }

    fn stop(&mut self, cx: &mut Cx<'_>, error: &dyn std::fmt::Display) {
        tracing::error!(%error, "the store's file cannot be written; this member stops");
        cx.world.store_service = None;
        cx.close();
    }
}

impl Connection<Gatherer> for FileWriter {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.net.register(self.disk.wakeups(), cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, _ready: Ready) {
        match self.disk.completed() {
            Ok(Some(number)) => {
                with_store(cx, |store, _| store.on_written(number));
                self.submit(cx);
            }
            Ok(None) => {}
            Err(error) => self.stop(cx, &error),
        }
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        if let Message::Write(write) = message {
            self.backlog.push_back(write);
            self.submit(cx);
        }
    }

    fn timer(&mut self, _cx: &mut Cx<'_>) {}
}
