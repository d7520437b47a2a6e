//! Messages between replicas of the control state.

use crate::Millis;
use crate::state::{ControlState, Position, Update};
use crate::view::{Epoch, Incarnation, Proposal, ProposalNumber, ReplicaId, View};
use crate::witness::Vote;
use serde::{Deserialize, Serialize};

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: ReplicaId,
    /// In which life of its process.
    pub incarnation: Incarnation,
    /// Who it is for; a replica that lost its disk doesn't take what was sent to the former one.
    pub to: ReplicaId,
    /// Where it is an answer: in which life the receiver asked. An answer to a former process is
    /// dropped.
    pub in_reply_to: Option<Incarnation>,
    /// What it says.
    pub message: Message,
}

/// A moment on the clock of one life of a replica, as its primary gives it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Echo {
    /// The life.
    pub incarnation: Incarnation,
    /// The moment.
    pub at: Millis,
}

/// What one replica says to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The primary is there, and asks for its lease.
    Heartbeat {
        /// Its epoch.
        epoch: Epoch,
        /// Rises with each round of heartbeats of a life, to come back with the reply.
        sequence: u64,
        /// The last change that is committed; none where the primary does not know that it is the
        /// newest.
        committed: Option<Position>,
        /// When the receiver sent the last reply that the primary has got.
        echo: Option<Echo>,
    },
    /// The answer to a heartbeat.
    HeartbeatReply {
        /// The epoch of the heartbeat.
        epoch: Epoch,
        /// As in the heartbeat.
        sequence: u64,
        /// Whether the lease is granted.
        granted: bool,
        /// The newest view that the replier knows to be decided, where it is another one than the
        /// heartbeat's.
        other_view: Option<View>,
        /// Whether the replier does not know the heartbeat's view.
        wants_view: bool,
        /// The replier's clock.
        sent_at: Millis,
    },
    /// Asks a witness to promise.
    Prepare {
        /// The decided view that another one is to follow.
        current: View,
        /// The attempt.
        number: ProposalNumber,
    },
    /// A witness's vote.
    PrepareReply {
        /// The attempt.
        number: ProposalNumber,
        /// The vote.
        vote: Vote,
    },
    /// Asks a witness to accept a view.
    Accept {
        /// The decided view that it is to follow.
        current: View,
        /// The view and its attempt.
        proposal: Proposal,
    },
    /// Whether a witness accepted.
    AcceptReply {
        /// The attempt.
        number: ProposalNumber,
        /// Nothing where it was accepted; else the round that the witness has promised to.
        answer: Result<(), u64>,
    },
    /// A view has been decided.
    Decided {
        /// The view.
        view: View,
    },
    /// A new primary asks a backup what it stores.
    Synchronize {
        /// The new epoch.
        epoch: Epoch,
    },
    /// What a backup, or a replica that asks to be taken in, stores.
    StoredPositions {
        /// The epoch of the primary.
        epoch: Epoch,
        /// The last stored change.
        last: Position,
        /// The last change that is known to be committed.
        committed: Position,
    },
    /// The primary's whole state, to take the place of the receiver's.
    Install {
        /// The epoch.
        epoch: Epoch,
        /// The committed state.
        state: ControlState,
        /// A change that is stored and not yet committed.
        tail: Option<Update>,
    },
    /// Changes to be stored, one after the other.
    Replicate {
        /// The epoch.
        epoch: Epoch,
        /// The change before them. Who stores another one there needs other changes first.
        previous: Position,
        /// The changes.
        updates: Vec<Update>,
    },
    /// Changes up to this one are committed.
    Committed {
        /// The epoch.
        epoch: Epoch,
        /// The last committed change.
        position: Position,
    },
    /// A replica that does not store every change asks to be taken in.
    Join {
        /// Its last stored change.
        last: Position,
        /// The last change that it knows to be committed.
        committed: Position,
    },
    /// A replica whose process is about to end asks to be taken out, so that no change waits for
    /// it.
    Leave {
        /// The epoch.
        epoch: Epoch,
    },
    /// The primary gives its lease back and takes no further changes.
    Resign {
        /// Its epoch.
        epoch: Epoch,
    },
}
