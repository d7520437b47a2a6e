//! Whether the process takes clients: the phases of its shutdown, and what it waits for.

use dispatch::interface::Time;
use versions::status::Status;

/// How far the program's end has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Serving.
    Serving,
    /// Told to end: still accepting, until this time.
    Draining(Time),
    /// Accepting nothing; finishing what is held, until this time.
    Finishing(Time),
    /// Everything is answered; the last bytes are being written, until this time.
    Done {
        /// When the program ends at the latest.
        until: Time,
        /// Until when a request that still came on a connection taken before may be worked on.
        last: Time,
    },
}

/// What keeps clients away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// The program has been told to end.
    Ending,
    /// An operator has clients sent away.
    Drained,
    /// Discovery has not told the list yet, and the time to wait for it is not over.
    FirstList,
    /// No list named an index host that takes work.
    NoHost,
    /// The gatherer returns, and has come no further than this.
    Returning(recovery::phase::Phase),
    /// It may not act on the version that it runs, or an operator has it held back.
    Version(Status),
}

impl std::fmt::Display for Wait {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Wait::Returning(phase) => return write!(f, "the gatherer returns, and is {phase}"),
            Wait::Version(Status::Suspended) => {
                "the version that it runs is not known to be active"
            }
            Wait::Version(_) => "an operator has it held back",
            Wait::Ending => "the program has been told to end",
            Wait::Drained => "clients are sent away by an operator",
            Wait::FirstList => "discovery has not told the list of index hosts yet",
            Wait::NoHost => "no list has named an active index host",
        })
    }
}
