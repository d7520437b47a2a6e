//! Pending disk writes, and the replies that wait for them.
//!
//! A witness must not reply with a vote, nor a backup acknowledge an update, before either is
//! durable: after a crash in between, the witness could vote twice, or an acknowledged change would
//! be lost. Such replies are held back until every earlier write is durable.

use super::messaging::Requester;
use super::{ControlNode, Effect};
use crate::Millis;
use crate::message::Message;
use crate::storage::Record;

impl ControlNode {
    /// Reports that all writes up to this sequence number are on disk.
    pub fn on_stored(&mut self, sequence: u64, now: Millis) {
        self.last_durable_write = self.last_durable_write.max(sequence);
        self.write_pending_since = now;
        self.release_replies();
        self.process_inbox(now);
    }

    /// Replies once every write made so far is durable.
    pub(super) fn reply_when_durable(&mut self, requester: Requester, message: Message) {
        let envelope = self.envelope(requester.replica, Some(requester.incarnation), message);
        self.pending_replies.push_back((self.last_write, envelope));
        self.release_replies();
    }

    fn release_replies(&mut self) {
        while self
            .pending_replies
            .front()
            .is_some_and(|(after, _)| *after <= self.last_durable_write)
        {
            if let Some((_, envelope)) = self.pending_replies.pop_front() {
                self.dispatch(envelope);
            }
        }
    }

    /// Requests a disk write.
    pub(super) fn store(&mut self, records: Vec<Record>, now: Millis) {
        if self.last_durable_write == self.last_write {
            self.write_pending_since = now;
        }
        self.last_write += 1;
        self.effects.push(Effect::Store {
            sequence: self.last_write,
            records,
        });
    }

    pub(super) fn store_votes(&mut self, now: Millis) {
        let votes = self.witness.votes().clone();
        self.store(vec![Record::Votes(votes)], now);
    }

    /// Whether the oldest pending write has taken longer than the storage time-out.
    pub(super) fn is_storage_stalled(&self, now: Millis) -> bool {
        self.last_durable_write < self.last_write
            && now >= self.write_pending_since + self.timing.storage_timeout
    }
}
