//! Between the Raft library and the wire: what a member's messages wait for and may say, and how
//! those of others are put to the library where it takes them otherwise than Raft does.

use super::Store;
use crate::Time;
use crate::packet::{Body, Packet, Position};
use raftbare::{Message, Node, NodeId, Role};

impl Store {
    /// A message of the library, and the write that it waits for. Whatever says what this member
    /// has waits for all of them. A leader's entries and heartbeats say only that it leads, and go
    /// out while its own disk is still at work: else a slow disk has it lose the lead. What they
    /// call committed is no more than what is on that disk, as the library counts the leader's own
    /// entries at once.
    pub(super) fn message(&self, message: &Message) -> (u64, Packet) {
        let mut packet = self.signed(Packet::from_message(message, &self.commands));
        match &mut packet.body {
            Body::Append { commit, .. } => {
                *commit = (*commit).min(self.on_disk());
                (self.promised, packet)
            }
            _ => (self.made, packet),
        }
    }

    /// Whether a member was just now sent what it lacks. The library sends that with every answer
    /// that lags, and under many changes each does: each message would bring the next, for ever,
    /// and ever more of them. What is lost goes out again a part of a heartbeat later.
    pub(super) fn is_too_soon(&mut self, to: u64, packet: &Packet, now: Time) -> bool {
        let Body::Append { entries, .. } = &packet.body else {
            return false;
        };
        if entries.entries.is_empty() {
            return false;
        }
        let last = self.resent.get(&to).is_some_and(|(term, at)| {
            *term == packet.term && now < at.saturating_add(self.pace.heartbeat / 4)
        });
        if !last {
            self.resent.insert(to, (packet.term, now));
        }
        last
    }

    /// The end of a candidate's log as it is put to the library, which gives its vote by length
    /// alone. A candidate's log is as good as this member's where its last term is later, or the
    /// same and it is as long; by length a member that missed what was committed could lead, and
    /// others would take its log for theirs.
    pub(super) fn judged(&self, last: Position) -> Position {
        let own = Position::from(self.node.log().last_position());
        let as_good = (last.term, last.index) >= (own.term, own.index);
        Position {
            index: if as_good {
                last.index.max(own.index)
            } else {
                0
            },
            ..last
        }
    }

    /// Hears the leader of this member's own term. In the library one that stands itself, or has
    /// voted for another in that term, does not, and stands again later. As there is a leader in
    /// the term, what this vote is worth is over: that it goes to the leader now elects nobody
    /// else.
    pub(super) fn follow(&mut self, leader: u64, term: u64) {
        let (leader, own) = (NodeId::new(leader), self.node.current_term());
        let elsewhere = self.node.voted_for().is_some_and(|vote| vote != leader);
        if term == own.get() && elsewhere && self.node.role() != Role::Leader {
            self.node = Node::restart(self.node.id(), own, Some(leader), self.node.log().clone());
        }
    }
}
