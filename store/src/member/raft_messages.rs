//! Adaptation of the Raft library `raftbare`: the writes that its messages wait for, and the cases
//! in which the library differs from published Raft.

use super::{Resend, Store};
use crate::Time;
use crate::log::Position;
use crate::message::{Envelope, Message};
use raftbare::{Message as RaftMessage, Node, NodeId, Role};

/// Missing entries are sent again after the heartbeat interval divided by this.
const RESENDS_PER_HEARTBEAT: Time = 4;

impl Store {
    /// Wraps a message of the library, with the number of the write that it has to wait for.
    ///
    /// Responses depend on this member's log, term and vote, so they wait for every write. Entries
    /// and heartbeats depend only on the leader's term and vote: they are sent while the leader
    /// still writes its own entries, as otherwise a leader with a slow disk would be deposed (Raft,
    /// dissertation, 10.2.1: writing to the leader's disk in parallel). The library counts the
    /// leader's own entries as stored at once, so the commit index in these messages is limited to
    /// entries that are durable at the leader.
    pub(super) fn wrap_raft(&self, message: &RaftMessage) -> (u64, Envelope) {
        let mut envelope = self.with_sender(Envelope::from_raft(message, &self.commands));
        match &mut envelope.message {
            Message::AppendEntries { commit, .. } => {
                *commit = (*commit).min(self.persistence.durable_index());
                (self.persistence.last_vote_write(), envelope)
            }
            _ => (self.persistence.last_issued(), envelope),
        }
    }

    /// Whether a member was recently sent the entries that it lacks. The library sends them on
    /// every response that lags behind, and under load every response does: each message would
    /// cause further ones, without end and in growing numbers. Lost entries are sent again after a
    /// fraction of the heartbeat interval.
    pub(super) fn is_duplicate_resend(&mut self, to: u64, envelope: &Envelope, now: Time) -> bool {
        let Message::AppendEntries { entries, .. } = &envelope.message else {
            return false;
        };
        if entries.entries.is_empty() {
            return false;
        }
        let interval = self.timing.heartbeat / RESENDS_PER_HEARTBEAT;
        let duplicate = self.resends.get(&to).is_some_and(|resend| {
            resend.term == envelope.term && now < resend.at.saturating_add(interval)
        });
        if !duplicate {
            let term = envelope.term;
            self.resends.insert(to, Resend { term, at: now });
        }
        duplicate
    }

    /// Translates the end of a candidate's log for the library, which compares logs by length alone
    /// before it grants a vote. Raft (section 5.4.1) requires a log that is at least as up to date:
    /// with a later last term, or with the same one and at least as long. By length alone, a member
    /// that missed committed entries could become leader and overwrite them.
    pub(super) fn vote_position(&self, last: Position) -> Position {
        let own = self.last_position();
        let up_to_date = last.recency() >= own.recency();
        Position {
            index: if up_to_date {
                last.index.max(own.index)
            } else {
                0
            },
            ..last
        }
    }

    /// Accepts the leader of the current term. The library ignores the leader if this member is a
    /// candidate or voted for another one in this term, and starts an election later. Moving the
    /// vote to the leader is safe: the term has a leader, so this vote can no longer elect anyone
    /// else.
    pub(super) fn adopt_leader(&mut self, leader: u64, term: u64) {
        let (leader, own) = (NodeId::new(leader), self.node.current_term());
        let voted_for_other = self.node.voted_for().is_some_and(|vote| vote != leader);
        if term == own.get() && voted_for_other && self.node.role() != Role::Leader {
            self.node = Node::restart(self.node.id(), own, Some(leader), self.node.log().clone());
        }
    }
}
