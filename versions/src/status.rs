//! The status of a gatherer towards the active version.

use crate::Time;
use std::fmt;

/// A gatherer's status. The order is from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// It runs the active version, confirmed recently.
    Current,
    /// It runs the version that was active when last confirmed, some time ago. It serves.
    Behind,
    /// It knows that it does not run the active version, or half of the validity has passed without
    /// a confirmation. It serves, and is to be brought up to date.
    Straggler,
    /// Its validity has expired, and it serves on as an autonomous gatherer.
    Autonomous,
    /// Its validity has expired: it rejects clients and completes what is in flight.
    Suspended,
}

impl Status {
    /// Every status, from best to worst.
    pub const ALL: [Status; 5] = [
        Status::Current,
        Status::Behind,
        Status::Straggler,
        Status::Autonomous,
        Status::Suspended,
    ];

    /// The word for it in logs, status responses and the audit log.
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
    /// When it changed.
    pub at: Time,
}
