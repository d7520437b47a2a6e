//! The findings of an audit.

use crate::audit_log::Corruption;
use crate::{NANOS_PER_MS, Time, Version};
use std::fmt;

/// A finding of the audit. Counts are upper bounds, because queries are recorded in batches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Queries were accepted under a version after its validity had expired, by a gatherer that is
    /// not autonomous.
    ServedExpired {
        /// The version.
        version: Version,
        /// The class of the queries.
        class: String,
        /// How long after the expiry the last query was accepted.
        overrun: Time,
        /// The maximum number of such queries.
        count: u64,
    },
    /// Queries were accepted after the validity by an autonomous gatherer, which is permitted.
    ServedAutonomously {
        /// The version.
        version: Version,
        /// How long after the expiry the last query was accepted.
        overrun: Time,
        /// The maximum number of such queries.
        count: u64,
    },
    /// The log confirms a version that the store never made active.
    NeverActive(Version),
    /// The log confirms an earlier version after a later one.
    Regressed {
        /// The later version, confirmed first.
        from: Version,
        /// The earlier version, confirmed after it.
        to: Version,
    },
    /// The log does not record the end of an incarnation, as after a power loss. The queries served
    /// after its last entry are unknown.
    EndMissing {
        /// The incarnation.
        incarnation: u64,
        /// The running time of the incarnation at its last entry.
        after: Time,
    },
    /// This many entries could not be written, as on a full disk.
    EntriesLost(u64),
    /// The log is corrupt. The entries from there on are unknown.
    Corrupt(Corruption),
    /// The gatherer has no log.
    NoLog,
}

impl Finding {
    /// Whether the finding is a violation; `None` if that is unknown.
    pub fn is_violation(&self) -> Option<bool> {
        match self {
            Finding::ServedExpired { .. } | Finding::NeverActive(_) | Finding::Regressed { .. } => {
                Some(true)
            }
            Finding::ServedAutonomously { .. } | Finding::EndMissing { .. } => Some(false),
            Finding::Corrupt(_) | Finding::NoLog | Finding::EntriesLost(_) => None,
        }
    }

    /// The label in reports.
    pub fn label(&self) -> &'static str {
        match (self.is_violation(), self) {
            (Some(true), _) => "WRONG",
            (None, _) => "NOT KNOWN",
            (Some(false), Finding::EndMissing { .. }) => "gap",
            (Some(false), _) => "kept",
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |time: &Time| time / NANOS_PER_MS;
        match self {
            Finding::ServedExpired {
                version,
                class,
                overrun,
                count,
            } => {
                let overrun = ms(overrun);
                write!(
                    f,
                    "up to {count} queries of {class} under version {version}, {overrun} ms beyond its end"
                )
            }
            Finding::ServedAutonomously {
                version,
                overrun,
                count,
            } => {
                let overrun = ms(overrun);
                write!(
                    f,
                    "kept in service: up to {count} queries under version {version}, {overrun} ms beyond its end"
                )
            }
            Finding::NeverActive(version) => {
                write!(f, "was told of version {version}, which never was active")
            }
            Finding::Regressed { from, to } => write!(f, "was told of version {to} after {from}"),
            Finding::EndMissing { incarnation, after } => {
                let after = ms(after);
                write!(
                    f,
                    "life {incarnation:016x} ended without a last note: its last one came {after} ms after its begin"
                )
            }
            Finding::EntriesLost(count) => write!(f, "{count} entries could not be written"),
            Finding::Corrupt(corruption) => write!(f, "its trail does not hold: {corruption}"),
            Finding::NoLog => f.write_str("there is no trail of it: not known"),
        }
    }
}
