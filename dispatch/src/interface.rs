//! The events that an aggregator takes, the actions that it returns, and its settings.
//!
//! All times are nanoseconds of one clock that only moves forward; durations are nanoseconds too.

use std::sync::Arc;

/// A moment or a duration, in nanoseconds.
pub type Time = u64;

/// The id of a query, never used twice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// The id of one part of a query, never used twice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

/// The id of a server; it stays the same when the server's process restarts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// What a repeated part of a class does at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: safe to repeat.
    #[default]
    Safe,
    /// Carries an idempotency key: servers drop repeats for the class's `key_lifetime` after the
    /// first attempt that may have run.
    Keyed,
    /// Not idempotent: sent again only when every earlier attempt is known not to have run.
    Unsafe,
}

/// One class of query.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time has its full value.
    pub latency_target: Time,
    /// How long a client waits in all, over its first request and its retries.
    pub deadline: Time,
    /// Value of a complete answer.
    pub value: f64,
    /// Ratio of the value that an answer after the latency target still has.
    pub late_value: f64,
    /// What a repeated part does.
    pub effect: Effect,
    /// How long servers drop repeats of a part with an idempotency key.
    pub key_lifetime: Time,
    /// Least ratio of the parts' weight that an answer may rest on.
    pub floor: f64,
    /// Ratio of the parts' weight that makes an answer complete.
    pub need: f64,
    /// Value of a partial answer, as a multiple of its ratio of the need.
    pub partial_value: f64,
    /// Parts of the second step; 0 for a class with one step.
    pub second_step: u32,
    /// The most attempts for one part.
    pub max_attempts: u32,
    /// No longer in the settings; only queries that were taken before are still of it.
    pub retired: bool,
}

/// The stated retry budget: a limit on attempts beyond each part's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Attempts permitted however light the traffic.
    pub free: u64,
    /// Further attempts permitted for each query and part taken.
    pub ratio: f64,
    /// The span over which both are counted.
    pub window: Time,
}

/// The settings of an aggregator.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of aggregators in the tier.
    pub aggregators: u32,
    /// The zone of this aggregator.
    pub zone: u32,
    /// Shortest gap between two turns.
    pub tick: Time,
    /// Whether the endpoint list must be requested.
    pub discovery_on_request: bool,
    /// The classes of query.
    pub classes: Vec<Class>,
    /// Number of cells; shard `s` is held by cells `s .. s + reach`, counted round.
    pub cells: u32,
    /// Number of cells in a row that hold a shard.
    pub replication_factor: u32,
    /// The most parts that share one call.
    pub call_parts: u32,
    /// Work of a call beside that of its parts, in nanoseconds; 0 where calls cost nothing.
    pub call_work: Time,
    /// How many queries and parts may be open.
    pub max_open: u32,
    /// Whether an attempt may be cancelled.
    pub can_cancel: bool,
    /// Whether servers may be probed.
    pub can_probe: bool,
    /// Price of a probe for each part, in units of a query's value.
    pub probe_price: f64,
    /// Price of work that brought no answer, as a ratio of all work, in units of a query's value.
    pub waste_price: f64,
    /// Whether a part may have two attempts in flight (hedged requests).
    pub can_hedge: bool,
    /// Whether clients mark retries.
    pub retries_marked: bool,
    /// The longest retry-after that clients honour; 0 where they are sent none.
    pub max_retry_after: Time,
    /// The oldest endpoint list that an aggregator may work by before it must request a new one.
    pub max_list_age: Time,
    /// How long attempts may still be started at a draining or removed server.
    pub drain_grace: Time,
    /// Ratio of its capacity that a server starts with.
    pub initial_capacity: f64,
    /// How long the slow start of a server takes.
    pub slow_start: Time,
    /// A server in slow start crashes when sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over a window of this length.
    pub overload_window: Time,
    /// The stated retry budget, if any.
    pub budget: Option<Budget>,
}

/// The status of a server in the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServerStatus {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// No longer a server.
    Removed,
}

/// One server of the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Endpoint {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its status.
    pub status: ServerStatus,
    /// Its size as registered, unitless.
    pub size: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Time,
    /// Excluded by an operator, whatever its status.
    pub excluded: bool,
}

/// How an update relates to the endpoint list known so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Partial,
    /// The complete list; a server that is not in it has been removed.
    Complete,
    /// The list that was stored before the start, perhaps out of date.
    Persisted,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server replied with an error; it may have run.
    Error,
    /// Rejected before it ran.
    Rejected,
    /// No answer in time; it may have run or be running.
    TimedOut,
    /// No connection was made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Skipped,
}

impl Outcome {
    /// True where the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::Skipped)
    }
}

impl Class {
    /// Whether a partial answer has no value.
    pub fn needs_all(&self) -> bool {
        self.floor >= self.need
    }
}

impl Default for Class {
    /// A class of one step that is safe to repeat and needs every part, with a latency
    /// target of a second.
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
    /// A lone aggregator with one class and one cell, where hedging and cancelling are allowed
    /// and servers have no slow start.
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

/// What a server reports of its load; late and noisy. A value not reported is absent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Queued requests.
    pub queued: Option<f64>,
    /// Ratio of its cores in use.
    pub busy: Option<f64>,
}

/// What an aggregator has learned of a server, for its next incarnation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedServer {
    /// How slow it is for each class; 1 is like its peers.
    pub slowness: Vec<f64>,
    /// Its smoothed delay, as a ratio of the latency target.
    pub delay: f64,
    /// Its concurrency limit, in calls.
    pub limit: f64,
    /// Its smoothed error rate, from 0 to 1.
    pub errors: f64,
    /// How many outcomes that rests on, up to a bound.
    pub answers: f64,
}

/// What an aggregator has learned of a class's latency, in nanoseconds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedLatency {
    /// The median.
    pub median: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The least recent median.
    pub least: f64,
    /// How many answers it rests on; 0 for the initial estimate.
    pub answers: usize,
}

/// What an aggregator has learned.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Learned {
    /// Servers.
    pub servers: Vec<(ServerId, LearnedServer)>,
    /// How long parts take, by class.
    pub parts: Vec<LearnedLatency>,
    /// How long answered attempts take, by class.
    pub attempts: Vec<LearnedLatency>,
}

/// Something that happened at one aggregator.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// What an earlier incarnation of this aggregator had learned, as far as it is still valid.
    /// Comes after the endpoint list.
    Restore(Arc<Learned>),
    /// New settings are in force. Classes that open queries belong to keep their index; the
    /// complete endpoint list follows.
    Settings {
        /// The settings.
        settings: Arc<Settings>,
        /// For each class the index of the former class that its estimates are taken from.
        from: Arc<[Option<usize>]>,
    },
    /// An update of the endpoint list.
    Endpoints {
        /// How it relates to the list known so far.
        kind: ListKind,
        /// The servers.
        entries: Arc<[Endpoint]>,
    },
    /// Requesting the endpoint list failed, or the subscription ended.
    DiscoveryFailed {
        /// Discovery could not be reached, or rejected the request. Otherwise it timed out, or its
        /// answer was malformed.
        refused: bool,
    },
    /// A query was taken; its parts follow in the same turn.
    Query {
        /// Which query.
        id: QueryId,
        /// Its number at this aggregator; its parts carry the same.
        number: u64,
        /// Its class, by index in the settings.
        class: usize,
        /// How many parts its first step has.
        parts: u32,
        /// How long until the client gives this request up.
        client_timeout: Time,
        /// The client marked this as a retry.
        is_retry: bool,
    },
    /// A part of a query.
    Part {
        /// Which part.
        id: PartId,
        /// The number of its query.
        number: u64,
        /// Which shard it needs.
        shard: u32,
        /// Its weight among the parts of its step.
        weight: f64,
    },
    /// An attempt ended. Each [`Action::Send`] is followed by exactly one of these.
    AttemptEnded {
        /// Which part.
        part: PartId,
        /// Which attempt of it, from 0.
        attempt: u32,
        /// Which server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it was in flight.
        took: Time,
        /// The server's load report, where one came along.
        load: LoadReport,
    },
    /// The client of a query has disconnected or cancelled it.
    ClientLeft {
        /// Which query.
        id: QueryId,
    },
    /// A wake-up that was requested is due.
    Wake,
    /// A probe ended.
    ProbeEnded {
        /// Which server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took: Time,
        /// The server's load report, where one came along.
        load: LoadReport,
    },
}

/// Something that the aggregator has decided to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt for a part.
    Send {
        /// Which part.
        part: PartId,
        /// To which server; it is a replica of the part's shard.
        server: ServerId,
        /// Its deadline.
        until: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Which part.
        part: PartId,
        /// Which attempt of it.
        attempt: u32,
    },
    /// Answer a query from the parts that are in.
    Answer {
        /// Which query.
        query: QueryId,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// Reject a query; the client may safely retry.
    Reject {
        /// Which query.
        query: QueryId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Time,
    },
    /// Fail a query that may have taken effect.
    Fail {
        /// Which query.
        query: QueryId,
    },
    /// Request an [`Event::Wake`] at this time.
    WakeAt(Time),
    /// Probe a server for its load.
    Probe(ServerId),
    /// Subscribe to updates of the endpoint list, or unsubscribe.
    Watch(bool),
    /// Request the complete endpoint list once.
    Fetch,
    /// Close the idle connections to a server.
    Close(ServerId),
    /// A line for the operators' log.
    Log(String),
}
