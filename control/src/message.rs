//! Messages between replicas of the control state.

use crate::Millis;
use crate::state::{ControlState, Position, Update};
use crate::view::{Accepted, Ballot, Epoch, ReplicaId, View};
use crate::witness::Vote;
use serde::{Deserialize, Serialize};

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: ReplicaId,
    /// Who it is for; a replica that lost its disk doesn't take what was sent to the former one.
    pub to: ReplicaId,
    /// What it says.
    pub message: Message,
}

/// What one replica says to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first view of a new system.
    Found {
        /// The view.
        view: View,
    },
    /// The primary is there, and asks for its lease.
    Heartbeat {
        /// Its epoch.
        epoch: Epoch,
        /// The last change that is committed.
        committed: Position,
        /// The sender's clock, to come back with the reply.
        sent_at: Millis,
    },
    /// The answer to a heartbeat.
    HeartbeatReply {
        /// The epoch of the heartbeat.
        epoch: Epoch,
        /// As in the heartbeat.
        sent_at: Millis,
        /// Whether the lease is granted.
        granted: bool,
        /// The newest epoch that the replier knows to be decided.
        known: Epoch,
        /// A later view than that of the heartbeat.
        newer: Option<Accepted>,
    },
    /// Asks a witness to promise.
    Prepare {
        /// The epoch to be decided.
        epoch: Epoch,
        /// The attempt.
        ballot: Ballot,
    },
    /// A witness's vote.
    PrepareReply {
        /// The epoch to be decided.
        epoch: Epoch,
        /// The attempt.
        ballot: Ballot,
        /// The vote.
        vote: Vote,
    },
    /// Asks a witness to accept a view.
    Accept {
        /// The view and its attempt.
        proposal: Accepted,
    },
    /// Whether a witness accepted.
    AcceptReply {
        /// The epoch to be decided.
        epoch: Epoch,
        /// The attempt.
        ballot: Ballot,
        /// Whether it was accepted.
        yes: bool,
    },
    /// A view has been decided.
    Decided {
        /// The view.
        view: View,
        /// The attempt that decided it.
        ballot: Ballot,
    },
    /// A new primary asks a backup whether it stores the same last change.
    Synchronize {
        /// The new epoch.
        epoch: Epoch,
        /// The primary's last stored change.
        last: Position,
    },
    /// Whether the backup stores the same last change.
    SynchronizeReply {
        /// The epoch.
        epoch: Epoch,
        /// The primary's last stored change.
        last: Position,
        /// Whether they are the same.
        same: bool,
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
    /// A state has been stored.
    Installed {
        /// The epoch.
        epoch: Epoch,
        /// The last change in it.
        last: Position,
    },
    /// A change to be stored.
    Replicate {
        /// The epoch.
        epoch: Epoch,
        /// The change.
        update: Update,
    },
    /// A change has been stored.
    Replicated {
        /// The epoch.
        epoch: Epoch,
        /// The change.
        position: Position,
    },
    /// Changes up to this one are committed.
    Committed {
        /// The epoch.
        epoch: Epoch,
        /// The last committed change.
        position: Position,
    },
    /// A replica outside the view asks to be taken in.
    Join {
        /// The newest epoch that it knows of; 0 for none.
        epoch: Epoch,
        /// What its last stored change is.
        last: Position,
    },
    /// The primary gives its lease back and takes no further changes.
    Resign {
        /// Its epoch.
        epoch: Epoch,
    },
}
