//! What clients, backends, the operator and the signals' sender saw during a run.

use crate::clock::Millis;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// What a request may suffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run once at most.
    Unsafe,
    /// It may run more than once.
    Safe,
    /// Its answer is a stream that another backend may go on with.
    Resumable,
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole success that is proven to be a backend's.
    Served,
    /// An answer that claims success and is not what the backend sent.
    Spoiled(&'static str),
    /// An answer with another status.
    Status(u16),
    /// The connection ended before any of the answer came.
    NoAnswer,
    /// The connection ended in the middle of the answer.
    BrokenOff,
    /// The client closed its connection on purpose.
    Left,
    /// No connection could be had: nothing was sent.
    NotSent,
    /// The client's time was over.
    TimedOut,
}

/// One request of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub id: u64,
    /// What it may suffer.
    pub kind: Kind,
    /// The number of the router that it was sent to.
    pub router: usize,
    /// When it was sent.
    pub sent_at: Millis,
    /// When it ended for the client.
    pub ended_at: Millis,
    /// How it ended.
    pub outcome: Outcome,
}

/// One run of a request at a backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request's id.
    pub request: u64,
    /// The backend's incarnation.
    pub backend: u64,
    /// The version of the weights on which it began.
    pub version: u64,
    /// When it reached the backend.
    pub arrived_at: Millis,
    /// When it began; none where it was given up while it waited.
    pub begun_at: Option<Millis>,
    /// When the backend was done with it, or dropped it.
    pub ended_at: Option<Millis>,
    /// Whether the backend broke off by its own fault.
    pub broke_off: bool,
}

/// What a process suffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blow {
    /// It was told to end.
    Terminated,
    /// It was killed.
    Killed,
    /// It was stopped.
    Stopped,
    /// It went on.
    Continued,
    /// It was told that its settings have changed.
    HungUp,
    /// It has started.
    Started,
    /// It has ended.
    Ended(Ending),
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With success.
    InOrder,
    /// With another code.
    Failed(i32),
    /// By a signal.
    BySignal(i32),
}

impl From<ExitStatus> for Ending {
    fn from(status: ExitStatus) -> Self {
        match (status.code(), status.signal()) {
            (Some(0), _) => Ending::InOrder,
            (Some(code), _) => Ending::Failed(code),
            (None, signal) => Ending::BySignal(signal.unwrap_or_default()),
        }
    }
}

/// A blow to one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Struck {
    /// The number of the router.
    pub router: usize,
    /// When.
    pub at: Millis,
    /// What.
    pub blow: Blow,
}

/// What the operator asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A configuration of this version, on top of another one.
    Configuration {
        /// The version that it builds on.
        base: u64,
        /// Its own.
        version: u64,
        /// Tells two of one version apart.
        variant: u64,
    },
    /// A version of the weights.
    Weights(u64),
}

/// How a change ended for the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It is acknowledged.
    Acknowledged,
    /// It is refused.
    Refused(u16),
    /// Nobody knows.
    Unclear,
}

/// A change by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Changed {
    /// What.
    pub change: Change,
    /// When it was first sent.
    pub sent_at: Millis,
    /// When its last answer came.
    pub answered_at: Millis,
    /// How it ended.
    pub reply: Reply,
}

/// What a router said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// The number of the router.
    pub router: usize,
    /// When it was asked.
    pub asked_at: Millis,
    /// When it answered.
    pub answered_at: Millis,
    /// The version of its configuration; 0 where it has none.
    pub configuration: u64,
}

/// An order that a backend got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSeen {
    /// The backend's incarnation.
    pub backend: u64,
    /// When it came.
    pub at: Millis,
    /// Who gave it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
}

/// What became of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It has started, with a version of the weights.
    Started {
        /// The version.
        version: u64,
    },
    /// It has loaded a version of the weights.
    Loaded {
        /// The version.
        version: u64,
    },
    /// It answers nothing.
    Hanging,
    /// It answers again.
    Answering,
    /// The way to it is cut.
    Cut,
    /// The way to it has healed.
    Healed,
    /// It is about to leave, or has crashed.
    Leaving,
}

/// A moment in the life of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Staged {
    /// The backend's incarnation.
    pub backend: u64,
    /// When.
    pub at: Millis,
    /// What became of it.
    pub stage: Stage,
}

/// How the fleet stood after the last trouble, once it had had its time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Final {
    /// The version that a router told when the configuration was read back; none where it told
    /// none.
    pub read_back: Option<u64>,
    /// Versions in force at routers.
    pub configurations: Vec<u64>,
    /// Versions of weights at backends.
    pub weights: Vec<u64>,
    /// Requests sent, and how many were served.
    pub requests: (u32, u32),
}

/// Everything that was seen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// Requests of clients.
    pub requests: Vec<Request>,
    /// Runs at backends.
    pub runs: Vec<Run>,
    /// Blows to routers.
    pub struck: Vec<Struck>,
    /// Changes by operators.
    pub changes: Vec<Changed>,
    /// What routers said.
    pub seen: Vec<Seen>,
    /// Orders to backends.
    pub orders: Vec<OrderSeen>,
    /// What became of backends.
    pub backends: Vec<Staged>,
    /// How it ended.
    pub end: Final,
    /// Routers that hold the control state.
    pub replicas: usize,
}

/// A history that many write.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<History>);

impl Recorder {
    /// The history, to write or read.
    pub fn open(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
