//! Messages between replicas of the control state.

use crate::Millis;
use crate::state::{ControlState, Position, Update};
use crate::view::{Epoch, Incarnation, Proposal, ProposalNumber, ReplicaId, View};
use crate::witness::Vote;
use serde::{Deserialize, Serialize};

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: ReplicaId,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The receiver. A replica that lost its disk drops what was sent to its former id.
    pub to: ReplicaId,
    /// For a reply, the incarnation of the receiver that sent the request. A reply to a former
    /// process is dropped.
    pub in_reply_to: Option<Incarnation>,
    /// The message.
    pub message: Message,
}

/// A time on the clock of one incarnation of a replica, as the primary returns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Echo {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The time.
    pub at: Millis,
}

/// The messages between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The primary is alive, and asks for its lease.
    Heartbeat {
        /// Its epoch.
        epoch: Epoch,
        /// Rises with each heartbeat of an incarnation; the reply returns it.
        sequence: u64,
        /// The last committed change; `None` where the primary does not know that it is the newest.
        committed: Option<Position>,
        /// When the receiver sent the last reply that the primary received.
        echo: Option<Echo>,
    },
    /// The reply to a heartbeat.
    HeartbeatReply {
        /// The epoch of the heartbeat.
        epoch: Epoch,
        /// The sequence number of the heartbeat.
        sequence: u64,
        /// Whether the lease is granted.
        granted: bool,
        /// The newest decided view that the replier knows, where it is newer than the heartbeat's.
        other_view: Option<View>,
        /// Whether the replier does not know the heartbeat's view yet.
        wants_view: bool,
        /// The replier's clock.
        sent_at: Millis,
    },
    /// Paxos phase 1: asks a witness for a promise.
    Prepare {
        /// The decided view that the proposed one is to follow.
        current: View,
        /// The proposal number.
        number: ProposalNumber,
    },
    /// A witness's vote in phase 1.
    PrepareReply {
        /// The proposal number.
        number: ProposalNumber,
        /// The vote.
        vote: Vote,
    },
    /// Paxos phase 2: asks a witness to accept a view.
    Accept {
        /// The decided view that the proposed one is to follow.
        current: View,
        /// The proposed view and its number.
        proposal: Proposal,
    },
    /// A witness's reply in phase 2.
    AcceptReply {
        /// The proposal number.
        number: ProposalNumber,
        /// `Ok` where it was accepted; else the round that the witness has promised.
        answer: Result<(), u64>,
    },
    /// A view has been decided.
    Decided {
        /// The view.
        view: View,
    },
    /// A new primary asks a backup which updates it stores.
    Synchronize {
        /// The new epoch.
        epoch: Epoch,
    },
    /// Which updates a backup, or a replica that asks to join, stores.
    StoredPositions {
        /// The epoch of the primary.
        epoch: Epoch,
        /// The last stored update.
        last: Position,
        /// The last change that is known to be committed.
        committed: Position,
    },
    /// The primary's full state, which replaces the receiver's.
    Install {
        /// The epoch.
        epoch: Epoch,
        /// The committed state.
        state: ControlState,
        /// The stored update that is not yet committed.
        tail: Option<Update>,
    },
    /// Consecutive updates to be stored.
    Replicate {
        /// The epoch.
        epoch: Epoch,
        /// The position before them. A receiver whose log ends elsewhere needs other updates first.
        previous: Position,
        /// The updates.
        updates: Vec<Update>,
    },
    /// Changes up to this one are committed.
    Committed {
        /// The epoch.
        epoch: Epoch,
        /// The last committed change.
        position: Position,
    },
    /// A replica outside the in-sync set asks to join it.
    Join {
        /// Its last stored change.
        last: Position,
        /// The last change that it knows to be committed.
        committed: Position,
    },
    /// A replica that is shutting down asks to be removed from the in-sync set, so that no change
    /// waits for it.
    Leave {
        /// The epoch.
        epoch: Epoch,
    },
    /// The primary steps down and releases its lease.
    Resign {
        /// Its epoch.
        epoch: Epoch,
    },
}
