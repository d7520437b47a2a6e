//! The history of a run: the observations of clients, backends, operators and supervisors.

use crate::clock::Millis;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// How often a request may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Not idempotent: at most once.
    Unsafe,
    /// Idempotent: any number of times.
    Safe,
    /// Idempotent, with a stream as the response that another backend can continue.
    Resumable,
    /// As the [`Policy`] of the configuration in force says.
    Configured,
}

/// The rules for requests and tenants that a configuration contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Requests of [`Kind::Configured`] are idempotent, and no tenant is isolated.
    #[default]
    Relaxed,
    /// Requests of [`Kind::Configured`] are executed at most once, and [`Tenant::Second`] is
    /// isolated.
    Strict,
}

/// The tenant of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tenant {
    /// A tenant that is never isolated.
    First,
    /// A tenant that a strict [`Policy`] isolates.
    Second,
}

impl Tenant {
    /// The tenant's API key.
    pub fn api_key(self) -> &'static str {
        match self {
            Tenant::First => "key1",
            Tenant::Second => "key2",
        }
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response with the seal of a backend.
    Served,
    /// A response with status 200 that differs from the backend's, and the difference.
    Corrupted(&'static str),
    /// A response with another status.
    Status(u16),
    /// The connection ended before the response began.
    NoResponse,
    /// The connection ended in the middle of the response.
    Truncated,
    /// The client cancelled the request by closing its connection.
    Cancelled,
    /// The request was not sent, as the connection had been closed.
    NotSent,
    /// The client's time-out expired.
    TimedOut,
}

/// One request of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The id of the request.
    pub id: u64,
    /// How often the request may be executed.
    pub kind: Kind,
    /// The tenant that sent the request.
    pub tenant: Tenant,
    /// The number of the router that received the request.
    pub router: usize,
    /// When the client sent the request.
    pub sent_at: Millis,
    /// When the exchange ended for the client.
    pub ended_at: Millis,
    /// The result for the client.
    pub outcome: Outcome,
}

/// One execution of a request at a backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// The request's id.
    pub request: u64,
    /// The number of the backend's incarnation.
    pub backend: u64,
    /// The version of the weights at its start; 0 before.
    pub version: u64,
    /// When the request reached the backend.
    pub arrived_at: Millis,
    /// When the execution started; `None` if the request was cancelled or turned away before.
    pub started_at: Option<Millis>,
    /// When the backend completed or dropped the request.
    pub ended_at: Option<Millis>,
    /// Whether the backend had crashed by then.
    pub backend_crashed: bool,
    /// The requests that computed the cached prompt segments which this execution used.
    pub reused_from: Vec<u64>,
}

/// An event of a router process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEvent {
    /// SIGTERM was sent to the process.
    Terminated,
    /// SIGKILL was sent to the process.
    Killed,
    /// SIGSTOP was sent to the process.
    Suspended,
    /// SIGCONT was sent to the process.
    Resumed,
    /// SIGHUP was sent to the process, which reloads its settings.
    Reloaded,
    /// The process has started.
    Started,
    /// The process has exited.
    Exited(Exit),
}

/// How a process exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// With exit code 0.
    Success,
    /// With another exit code.
    Failed(i32),
    /// Terminated by this signal.
    Signaled(i32),
}

impl From<ExitStatus> for Exit {
    fn from(status: ExitStatus) -> Self {
        match (status.code(), status.signal()) {
            (Some(0), _) => Exit::Success,
            (Some(code), _) => Exit::Failed(code),
            (None, signal) => Exit::Signaled(signal.unwrap_or_default()),
        }
    }
}

/// An event of one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterEvent {
    /// The number of the router.
    pub router: usize,
    /// The time of the event.
    pub at: Millis,
    /// The event.
    pub event: ProcessEvent,
}

/// A change by an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A configuration that replaces the one of version `base`.
    Configuration {
        /// The version that is replaced.
        base: u64,
        /// The new version.
        version: u64,
        /// Distinguishes configurations with the same version.
        variant: u64,
        /// Rules of the configuration for requests and tenants.
        policy: Policy,
    },
    /// An announced version of the weights.
    Weights(u64),
}

/// The outcome of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The change is acknowledged.
    Acknowledged,
    /// The change is refused with this status.
    Refused(u16),
    /// No response with the outcome was received in time.
    Unknown,
}

/// A change and its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeRecord {
    /// The change.
    pub change: Change,
    /// When the change was first sent.
    pub sent_at: Millis,
    /// When the last attempt ended.
    pub answered_at: Millis,
    /// The outcome.
    pub reply: Reply,
}

/// A poll of a router's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusRecord {
    /// The number of the router.
    pub router: usize,
    /// When the poll was sent.
    pub asked_at: Millis,
    /// When the response was received.
    pub answered_at: Millis,
    /// The version of the router's configuration; 0 if it has none.
    pub configuration: u64,
}

/// An order that a backend received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// The number of the backend's incarnation.
    pub backend: u64,
    /// When the order was received.
    pub at: Millis,
    /// The lease holder that sent the order.
    pub holder: String,
    /// The fencing token of the order.
    pub fencing_token: u64,
}

/// A state of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// The backend has started with a version of the weights.
    Started {
        /// The version.
        version: u64,
    },
    /// The backend has loaded a version of the weights.
    Loaded {
        /// The version.
        version: u64,
    },
    /// The backend does not respond.
    Unresponsive,
    /// The backend responds again.
    Responding,
    /// The link to the backend is partitioned.
    Partitioned,
    /// The link to the backend works again.
    Reachable,
    /// The backend is draining, or has crashed.
    Stopping,
    /// A router has acknowledged that the backend is draining or has deregistered.
    Withdrawn,
}

/// A change of state of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendEvent {
    /// The number of the backend's incarnation.
    pub backend: u64,
    /// The time of the change.
    pub at: Millis,
    /// The new state.
    pub state: BackendState,
}

/// The state of the fleet after recovery.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FinalState {
    /// The version of the configuration from a linearizable read, if a router responded.
    pub read_back: Option<u64>,
    /// For each router the version of the configuration in force; 0 if unknown.
    pub configurations: Vec<u64>,
    /// For each backend the version of its weights.
    pub weights: Vec<u64>,
    /// The number of requests sent after recovery, and the number of those that were served.
    pub requests: (u32, u32),
}

/// All observations of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// Requests of clients.
    pub requests: Vec<Request>,
    /// Executions at backends.
    pub executions: Vec<Execution>,
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
    pub final_state: FinalState,
    /// The number of routers with a replica of the control state.
    pub replicas: usize,
}

/// A history that several tasks write to.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<History>);

impl Recorder {
    /// Locks the history.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
