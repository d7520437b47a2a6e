//! The phases of the shutdown, and the reasons for not being ready for clients.

use dispatch::interface::Time;
use versions::status::Status;

/// The phase of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No shutdown was requested.
    Serving,
    /// Shutdown was requested; connections are still accepted until this time.
    Draining(Time),
    /// No connections are accepted; open queries are finished until this time.
    Finishing(Time),
    /// All queries are answered, and the last bytes are being written.
    Done {
        /// When the process ends at the latest.
        until: Time,
        /// The time limit for requests that still arrive on accepted connections.
        last: Time,
    },
}

/// Why clients should not be sent to this gatherer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// The process is shutting down.
    Ending,
    /// An operator has drained the gatherer.
    Drained,
    /// The first endpoint list has not arrived, and the time to wait for it is not over.
    FirstList,
    /// No list has named an active index host.
    NoHost,
    /// The gatherer is recovering after a start, in this phase.
    Returning(recovery::phase::Phase),
    /// The configuration version in use may not be current, or an operator holds the gatherer back.
    Version(Status),
}

impl std::fmt::Display for Wait {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Wait::Returning(phase) => return write!(f, "recovering after the start: {phase}"),
            Wait::Version(Status::Suspended) => {
                "the configuration version in use is not known to be active"
            }
            Wait::Version(_) => "held back by an operator",
            Wait::Ending => "the program has been told to end",
            Wait::Drained => "drained by an operator",
            Wait::FirstList => "no list of index hosts from discovery yet",
            Wait::NoHost => "no list has named an active index host",
        })
    }
}
