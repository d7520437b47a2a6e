//! The effects that a replica asks the program around it to carry out.

use crate::changes::{Outcome, ReadOutcome};
use crate::message::Envelope;
use crate::storage::Record;
use crate::view::Epoch;

/// Identifies a caller that waits for a reply.
pub type Ticket = u64;

/// An effect; to be carried out in the order in which it was returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message.
    Send(Box<Envelope>),
    /// Append records to the log on disk, in order, and sync them; then call
    /// [`ControlNode::on_stored`](super::ControlNode::on_stored).
    Store {
        /// The sequence number of the write.
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Return the outcome of a submitted change to its caller.
    Reply {
        /// Identifies the caller.
        ticket: Ticket,
        /// The outcome.
        outcome: Outcome,
    },
    /// Return the result of a read to its caller.
    Read {
        /// Identifies the caller.
        ticket: Ticket,
        /// The result.
        reading: ReadOutcome,
    },
    /// The committed state has changed.
    Committed,
    /// The role has changed; to be logged.
    Entered {
        /// The new role.
        role: RoleName,
        /// The epoch.
        epoch: Epoch,
        /// The cause, for the log.
        cause: &'static str,
    },
}

/// The role of a replica, as logs and the status page print it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// Member of no view.
    Outside,
    /// Follows a primary.
    Backup,
    /// Primary that is still synchronizing its backups.
    StartingPrimary,
    /// Primary.
    Primary,
}
