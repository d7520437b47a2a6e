//! The history of a run: what clients, backends, operators and supervisors observed.

use crate::clock::Millis;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// How often a request may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// At most once.
    Unsafe,
    /// More than once: it is idempotent.
    Safe,
    /// Its response is a stream that another backend can continue.
    Resumable,
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response with the seal of a backend.
    Served,
    /// A response with status 200 that is not what the backend sent.
    Corrupted(&'static str),
    /// A response with another status.
    Status(u16),
    /// The connection ended before the response began.
    NoResponse,
    /// The connection ended in the middle of the response.
    Truncated,
    /// The client cancelled it by closing its connection.
    Cancelled,
    /// It was not sent, as there was no connection.
    NotSent,
    /// The client's deadline had passed.
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

/// One execution of a request at a backend.
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
    /// When it began; `None` if it was cancelled in the queue.
    pub begun_at: Option<Millis>,
    /// When the backend completed or dropped it.
    pub ended_at: Option<Millis>,
    /// Whether the backend crashed meanwhile.
    pub broke_off: bool,
}

/// An event of a router process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEvent {
    /// It was sent SIGTERM.
    Terminated,
    /// It was sent SIGKILL.
    Killed,
    /// It was sent SIGSTOP.
    Suspended,
    /// It was sent SIGCONT.
    Resumed,
    /// It was sent SIGHUP, to reload its settings.
    Reloaded,
    /// It has started.
    Started,
    /// It has exited.
    Exited(Exit),
}

/// How a process exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// With success.
    Success,
    /// With another code.
    Failed(i32),
    /// By a signal.
    BySignal(i32),
}

impl From<ExitStatus> for Exit {
    fn from(status: ExitStatus) -> Self {
        match (status.code(), status.signal()) {
            (Some(0), _) => Exit::Success,
            (Some(code), _) => Exit::Failed(code),
            (None, signal) => Exit::BySignal(signal.unwrap_or_default()),
        }
    }
}

/// An event of one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterEvent {
    /// The number of the router.
    pub router: usize,
    /// When.
    pub at: Millis,
    /// What.
    pub event: ProcessEvent,
}

/// A change by an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A configuration of this version, on top of another one.
    Configuration {
        /// The version that it builds on.
        base: u64,
        /// Its own.
        version: u64,
        /// Distinguishes two of one version.
        variant: u64,
    },
    /// A version of the weights.
    Weights(u64),
}

/// The outcome of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It is acknowledged.
    Acknowledged,
    /// It is refused.
    Refused(u16),
    /// Its outcome is unknown.
    Unclear,
}

/// A change and its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeRecord {
    /// What.
    pub change: Change,
    /// When it was first sent.
    pub sent_at: Millis,
    /// When the last response came.
    pub answered_at: Millis,
    /// How it ended.
    pub reply: Reply,
}

/// A poll of a router's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusRecord {
    /// The number of the router.
    pub router: usize,
    /// When it was asked.
    pub asked_at: Millis,
    /// When it answered.
    pub answered_at: Millis,
    /// The version of its configuration; 0 where it has none.
    pub configuration: u64,
}

/// An order that a backend received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// The backend's incarnation.
    pub backend: u64,
    /// When it came.
    pub at: Millis,
    /// The lease holder that sent it.
    pub holder: String,
    /// Its fencing token.
    pub fencing_token: u64,
}

/// A state of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
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
    /// It does not respond.
    Unresponsive,
    /// It responds again.
    Responding,
    /// The link to it is partitioned.
    Partitioned,
    /// The link to it works again.
    Reachable,
    /// It is draining, or has crashed.
    Stopping,
}

/// A change of state of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendEvent {
    /// The backend's incarnation.
    pub backend: u64,
    /// When.
    pub at: Millis,
    /// The new state.
    pub state: BackendState,
}

/// The state of the fleet after the recovery.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Final {
    /// The version of the configuration that was read back, if a router responded.
    pub read_back: Option<u64>,
    /// The versions of the configuration in force at routers.
    pub configurations: Vec<u64>,
    /// Versions of weights at backends.
    pub weights: Vec<u64>,
    /// Requests sent, and how many were served.
    pub requests: (u32, u32),
}

/// Everything that was observed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// Requests of clients.
    pub requests: Vec<Request>,
    /// Runs at backends.
    pub runs: Vec<Run>,
    /// Events of routers.
    pub router_events: Vec<RouterEvent>,
    /// Changes by operators.
    pub changes: Vec<ChangeRecord>,
    /// Polls of the routers' status.
    pub statuses: Vec<StatusRecord>,
    /// Orders to backends.
    pub orders: Vec<ReceivedOrder>,
    /// Changes of state of backends.
    pub backends: Vec<BackendEvent>,
    /// The final state.
    pub end: Final,
    /// The number of routers with a replica of the control state.
    pub replicas: usize,
}

/// A history that is written by several tasks.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<History>);

impl Recorder {
    /// Locks the history.
    pub fn open(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
