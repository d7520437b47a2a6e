//! Numbered writes to a member's file, and how far they are durable.

use super::Store;
use crate::log::{Entries, Snapshot};
use crate::record::Record;
use crate::rejoin::Status;
use raftbare::NodeId;
use std::collections::VecDeque;

/// Records that have to be on the disk before messages queued after them are sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Sequence number, from 1; writes are carried out in this order.
    pub number: u64,
    /// Whether the records replace the whole file.
    pub replaces: bool,
    /// The records.
    pub records: Vec<Record>,
}

/// The end of the log when a write was issued.
struct LogEnd {
    write: u64,
    index: u64,
}

/// The writes of a member. A member without a file issues none, and its whole log counts as
/// durable.
pub(super) struct Persistence {
    /// Writes since the last [`Store::take_writes`]; `None` if the member keeps no file.
    queue: Option<Vec<Write>>,
    last_issued: u64,
    last_completed: u64,
    /// The last write other than log entries: a term, a vote, or the member's status.
    last_vote_write: u64,
    /// Log ends of writes that are not completed.
    log_ends: VecDeque<LogEnd>,
    /// Index up to which the log is on the disk.
    durable_index: u64,
}

impl Persistence {
    /// Persistence of a member whose recovered log ends at this index.
    pub(super) fn new(keeps_file: bool, durable_index: u64) -> Persistence {
        Persistence {
            queue: keeps_file.then(Vec::new),
            last_issued: 0,
            last_completed: 0,
            last_vote_write: 0,
            log_ends: VecDeque::new(),
            durable_index,
        }
    }

    /// Number of the last issued write. Completion of this write implies that of all earlier ones.
    pub(super) fn last_issued(&self) -> u64 {
        self.last_issued
    }

    /// Number of the last write that is durable.
    pub(super) fn last_completed(&self) -> u64 {
        self.last_completed
    }

    /// Number of the last write of a term, a vote or the member's status.
    pub(super) fn last_vote_write(&self) -> u64 {
        self.last_vote_write
    }

    /// Index up to which the log is durable.
    pub(super) fn durable_index(&self) -> u64 {
        if self.queue.is_some() {
            self.durable_index
        } else {
            u64::MAX
        }
    }

    fn issue(&mut self, replaces: bool, records: Vec<Record>, log_end: u64) {
        let Some(queue) = &mut self.queue else {
            return;
        };
        self.last_issued += 1;
        if !matches!(records[..], [Record::Append(_)]) {
            self.last_vote_write = self.last_issued;
        }
        self.log_ends.push_back(LogEnd {
            write: self.last_issued,
            index: log_end,
        });
        queue.push(Write {
            number: self.last_issued,
            replaces,
            records,
        });
    }

    fn complete(&mut self, number: u64) {
        self.last_completed = self.last_completed.max(number);
        let completed = self.last_completed;
        while let Some(end) = self.log_ends.front()
            && end.write <= completed
        {
            self.durable_index = end.index;
            self.log_ends.pop_front();
        }
    }
}

impl Store {
    /// Takes the writes issued since the last call. They have to be carried out in order.
    pub fn take_writes(&mut self) -> Vec<Write> {
        self.persistence
            .queue
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Handles the completion of every write up to this number.
    pub fn on_written(&mut self, number: u64) {
        self.persistence.complete(number);
        self.apply();
    }

    /// Appends a record to the file.
    pub(super) fn persist(&mut self, record: Record) {
        let log_end = self.last_position().index;
        self.persistence.issue(false, vec![record], log_end);
    }

    /// Replaces the file by a snapshot, the log after it and the rest of the member's state.
    pub(super) fn replace_file(&mut self, snapshot: Snapshot) {
        let mut records = vec![
            Record::Start(self.start),
            Record::Cluster(self.cluster),
            Record::Snapshot(snapshot),
            Record::Generation(self.rejoin.generation()),
        ];
        let peers = self.rejoin.peers().iter();
        records.extend(peers.map(|(id, peer)| Record::Peer(*id, *peer)));
        records.push(Record::Term(self.node.current_term().get()));
        records.push(Record::Vote(self.node.voted_for().map(NodeId::get)));
        let entries = Entries::new(self.node.log().entries(), &self.commands);
        records.push(Record::Append(entries));
        match self.rejoin.status() {
            Status::Bootstrapping => records.push(Record::Bootstrapping(true)),
            Status::Lost => records.push(Record::Lost),
            _ if self.never_voted => records.push(Record::Joined),
            _ => {}
        }
        let log_end = self.last_position().index;
        self.persistence.issue(true, records, log_end);
    }
}
