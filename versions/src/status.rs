//! The status of a gatherer in relation to the active version.

use crate::Time;
use std::fmt;

/// A gatherer's status. The order is from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// The gatherer runs the active version, which was confirmed recently.
    Current,
    /// A confirmation of the running version was missed. The gatherer serves.
    Behind,
    /// Another version is known to be active, or half of the validity has passed without a
    /// confirmation. The gatherer serves, and should be updated.
    Straggler,
    /// The validity has expired, and the gatherer keeps serving because it is autonomous.
    Autonomous,
    /// The validity has expired: the gatherer rejects clients and completes queries in flight.
    Suspended,
}

impl Status {
    /// All statuses, from best to worst.
    pub const ALL: [Status; 5] = [
        Status::Current,
        Status::Behind,
        Status::Straggler,
        Status::Autonomous,
        Status::Suspended,
    ];

    /// The name in logs, status responses and the audit log.
    pub const fn name(self) -> &'static str {
        match self {
            Status::Current => "current",
            Status::Behind => "behind",
            Status::Straggler => "straggler",
            Status::Autonomous => "kept",
            Status::Suspended => "shut out",
        }
    }

    /// The status with this name.
    pub fn from_name(name: &str) -> Option<Status> {
        Self::ALL.into_iter().find(|status| status.name() == name)
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A change of status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusChange {
    /// The status before.
    pub from: Status,
    /// The status now.
    pub to: Status,
    /// When the status changed.
    pub at: Time,
}
