//! The events that an aggregator handles, the actions that it returns, and its settings.
//!
//! Points in time are nanoseconds of a monotonic clock.

use std::sync::Arc;

/// A point in time or a duration, in nanoseconds.
pub type Time = u64;

/// The id of a query, never reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// The id of a part of a query, never reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

/// The id of a server, which is kept when the server's process restarts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// The effect of repeating a part at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent.
    #[default]
    Safe,
    /// Carries an idempotency key: servers discard duplicates for the class's `key_lifetime` after
    /// the first attempt that may have run.
    Keyed,
    /// Not idempotent: sent again only when every earlier attempt is known not to have run.
    Unsafe,
}

/// A class of queries.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time has its full value.
    pub latency_target: Time,
    /// How long a client waits in total, over its first request and its retries.
    pub deadline: Time,
    /// Value of a complete answer.
    pub value: f64,
    /// Ratio of the value that an answer has after the latency target.
    pub late_value: f64,
    /// The effect of repeating a part.
    pub effect: Effect,
    /// How long servers discard duplicates of a part with an idempotency key.
    pub key_lifetime: Time,
    /// Ratio of the parts' weight below which a query must not be answered.
    pub floor: f64,
    /// Ratio of the parts' weight from which an answer is complete.
    pub need: f64,
    /// Value of a partial answer, as a multiple of the ratio of its weight to [`Self::need`].
    pub partial_value: f64,
    /// Number of parts of the second step; 0 for a class with one step.
    pub second_step: u32,
    /// Maximum number of attempts per part.
    pub max_attempts: u32,
    /// Whether it was removed from the settings; only queries admitted before still belong to it.
    pub retired: bool,
}

/// The retry budget: a limit on attempts beyond each part's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Attempts permitted regardless of the traffic.
    pub free: u64,
    /// Additional attempts permitted per admitted query and part.
    pub ratio: f64,
    /// The sliding window over which attempts, queries and parts are counted.
    pub window: Time,
}

/// The settings of an aggregator.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of aggregators.
    pub aggregators: u32,
    /// The zone of this aggregator.
    pub zone: u32,
    /// Minimum time between two turns.
    pub tick: Time,
    /// Whether the endpoint list has to be requested; otherwise it is pushed.
    pub discovery_on_request: bool,
    /// The query classes.
    pub classes: Vec<Class>,
    /// Number of cells. Shard `s` is held by the cells from `s` to `s + replication_factor - 1`,
    /// modulo the number of cells.
    pub cells: u32,
    /// Number of consecutive cells that hold a shard.
    pub replication_factor: u32,
    /// Maximum number of parts per call.
    pub call_parts: u32,
    /// Work of a call in addition to that of its parts, in nanoseconds.
    pub call_work: Time,
    /// Maximum number of open queries and parts.
    pub max_open: u32,
    /// Whether an attempt may be cancelled.
    pub can_cancel: bool,
    /// Whether servers may be probed.
    pub can_probe: bool,
    /// Price of a probe per part, in units of a query's value.
    pub probe_price: f64,
    /// Price of wasted work, per ratio of all work, in units of a query's value.
    pub waste_price: f64,
    /// Whether a part may have two attempts in flight (hedged requests).
    pub can_hedge: bool,
    /// Whether clients mark retries.
    pub retries_marked: bool,
    /// Maximum retry-after that clients honour; 0 if they are sent none.
    pub max_retry_after: Time,
    /// Maximum age of the endpoint list before an aggregator has to request a new one.
    pub max_list_age: Time,
    /// How long attempts may still be started at a server after it is draining or removed.
    pub drain_grace: Time,
    /// Capacity of a server at the beginning of its slow start, as a ratio of its full capacity.
    pub initial_capacity: f64,
    /// Duration of a server's slow start.
    pub slow_start: Time,
    /// A server in slow start crashes if it is sent more than this multiple of its current capacity
    /// within [`Self::overload_window`].
    pub overload_multiple: f64,
    /// The window over which the load of a server in slow start is measured.
    pub overload_window: Time,
    /// The retry budget, if any.
    pub budget: Option<Budget>,
}

/// The status of a server in the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServerStatus {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Removed from the deployment.
    Removed,
}

/// A server in the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Endpoint {
    /// Its id.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its machine type.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its status.
    pub status: ServerStatus,
    /// Its registered size, a number without a unit.
    pub size: f64,
    /// When it last started; 0 if that was long ago.
    pub started_at: Time,
    /// Whether an operator has excluded it, regardless of its status.
    pub excluded: bool,
}

/// How an update relates to the known endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed servers.
    Partial,
    /// The complete list; servers that are not in it have been removed.
    Complete,
    /// The list stored by an earlier incarnation, possibly out of date.
    Persisted,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Rejected before it ran.
    Rejected,
    /// Not answered in time; it may have run or still be running.
    TimedOut,
    /// The connection could not be established; it never ran.
    ConnectFailed,
    /// The connection was reset; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Skipped,
}

impl Outcome {
    /// Whether the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::Skipped)
    }
}

impl Class {
    /// Whether the class has no partial answers.
    pub fn needs_all(&self) -> bool {
        self.floor >= self.need
    }
}

impl Default for Class {
    /// An idempotent class with one step that needs every part, with a latency target of one
    /// second.
    fn default() -> Self {
        Class {
            latency_target: 1_000_000_000,
            deadline: 2_000_000_000,
            value: 1.0,
            late_value: 0.0,
            effect: Effect::Safe,
            key_lifetime: 0,
            floor: 1.0,
            need: 1.0,
            partial_value: 0.0,
            second_step: 0,
            max_attempts: 3,
            retired: false,
        }
    }
}

impl Default for Settings {
    /// A single aggregator with one class and one cell. Hedging and cancellation are allowed, and
    /// servers have no slow start.
    fn default() -> Self {
        Settings {
            aggregators: 1,
            zone: 0,
            tick: 1_000_000,
            discovery_on_request: false,
            classes: vec![Class::default()],
            cells: 1,
            replication_factor: 1,
            call_parts: 1,
            call_work: 0,
            max_open: u32::MAX,
            can_cancel: true,
            can_probe: false,
            probe_price: 0.0,
            waste_price: 0.0,
            can_hedge: true,
            retries_marked: false,
            max_retry_after: 0,
            max_list_age: Time::MAX,
            drain_grace: 0,
            initial_capacity: 1.0,
            slow_start: 0,
            overload_multiple: f64::INFINITY,
            overload_window: 0,
            budget: None,
        }
    }
}

/// The load that a server reports; delayed and noisy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests in its queue.
    pub queued: Option<f64>,
    /// Ratio of its cores that are in use.
    pub busy: Option<f64>,
}

/// The learned statistics of a server, which an aggregator hands to its next incarnation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedServer {
    /// Its slowness by class; 1 is like its peers.
    pub slowness: Vec<f64>,
    /// Its smoothed delay, as a ratio of the latency target.
    pub delay: f64,
    /// Its concurrency limit, in calls.
    pub limit: f64,
    /// Its smoothed error rate, from 0 to 1.
    pub errors: f64,
    /// Number of outcomes that the statistics are based on, up to a maximum.
    pub answers: f64,
}

/// The learned latency of a class, in nanoseconds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedLatency {
    /// The median.
    pub median: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The lowest recent median.
    pub least: f64,
    /// Number of answers that it is based on; 0 for the initial estimate.
    pub answers: usize,
}

/// The learned statistics of an aggregator.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Learned {
    /// Statistics of servers.
    pub servers: Vec<(ServerId, LearnedServer)>,
    /// Latencies of parts, by class.
    pub parts: Vec<LearnedLatency>,
    /// Latencies of answered attempts, by class.
    pub attempts: Vec<LearnedLatency>,
}

/// An input of an aggregator.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The statistics of an earlier incarnation of this aggregator, as far as they are still valid.
    /// Follows the endpoint list.
    Restore(Arc<Learned>),
    /// New settings apply. Classes of open queries keep their index. The complete endpoint list
    /// follows.
    Settings {
        /// The settings.
        settings: Arc<Settings>,
        /// For each class the index of the old class whose estimates it keeps, if any.
        from: Arc<[Option<usize>]>,
    },
    /// An update of the endpoint list.
    Endpoints {
        /// How it relates to the known list.
        kind: ListKind,
        /// The servers.
        entries: Arc<[Endpoint]>,
    },
    /// Requesting the endpoint list failed, or the subscription ended.
    DiscoveryFailed {
        /// Whether discovery could not be reached or rejected the request. Otherwise the request
        /// timed out or its answer was malformed.
        refused: bool,
    },
    /// A query arrived; its parts follow in the same turn.
    Query {
        /// Id of the query.
        id: QueryId,
        /// Its number at this aggregator, which its parts refer to.
        number: u64,
        /// Index of its class in the settings.
        class: usize,
        /// Number of parts of its first step.
        parts: u32,
        /// Time until the client gives up this request.
        client_timeout: Time,
        /// Whether the client marked this request as a retry.
        is_retry: bool,
    },
    /// A part of a query.
    Part {
        /// Id of the part.
        id: PartId,
        /// Number of its query.
        number: u64,
        /// Shard that it needs.
        shard: u32,
        /// Its weight among the parts of its step.
        weight: f64,
    },
    /// An attempt ended. Each [`Action::Send`] is followed by exactly one of these.
    AttemptEnded {
        /// Id of the part.
        part: PartId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Server that it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it was in flight.
        took: Time,
        /// The server's load report, if any.
        load: LoadReport,
    },
    /// The client of a query has disconnected or cancelled it.
    ClientLeft {
        /// Id of the query.
        id: QueryId,
    },
    /// A requested wake-up is due.
    Wake,
    /// A probe ended.
    ProbeEnded {
        /// Server that it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took: Time,
        /// The server's load report, if any.
        load: LoadReport,
    },
}

/// An action that the aggregator's program has to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt of a part.
    Send {
        /// Id of the part.
        part: PartId,
        /// A replica of the part's shard.
        server: ServerId,
        /// Deadline of the attempt.
        until: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Id of the part.
        part: PartId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer a query from the parts received so far.
    Answer {
        /// Id of the query.
        query: QueryId,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// Reject a query; the client may safely retry.
    Reject {
        /// Id of the query.
        query: QueryId,
        /// How long the client should wait before a retry; 0 if unspecified.
        retry_after: Time,
    },
    /// Fail a query that may have taken effect.
    Fail {
        /// Id of the query.
        query: QueryId,
    },
    /// Request an [`Event::Wake`] at this time.
    WakeAt(Time),
    /// Send a load probe to a server.
    Probe(ServerId),
    /// Subscribe to updates of the endpoint list, or unsubscribe.
    Watch(bool),
    /// Request the complete endpoint list once.
    Fetch,
    /// Close the idle connections to a server.
    Close(ServerId),
    /// Write a line to the log.
    Log(String),
}
