//! The types that the decision module takes in and gives out, and nothing else.
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

/// What repeating a part of a class may do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    #[default]
    Safe,
    /// Repeats are dropped for the class's `key_lifetime` from the first attempt that may have run.
    Keyed,
    /// To be sent again only when every earlier attempt is known not to have run.
    Unsafe,
}

/// One class of query.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer inside this time has the full worth.
    pub latency_target: Time,
    /// The time a client waits in all, across its tries.
    pub deadline: Time,
    /// Worth of a whole answer.
    pub value: f64,
    /// Portion of the worth for an answer after the aim.
    pub late_value: f64,
    /// What a repeat may do.
    pub effect: Effect,
    /// How long repeats of a keyed part are dropped.
    pub key_lifetime: Time,
    /// Least portion of the parts' weight an answer may rest on.
    pub floor: f64,
    /// Portion of the parts' weight that makes a whole answer.
    pub need: f64,
    /// An answer short of whole earns this times its share of the need.
    pub partial_value: f64,
    /// Parts of the second step; 0 for a class with one step.
    pub second_step: u32,
    /// The most attempts for one part.
    pub max_attempts: u32,
    /// No longer in the settings; only queries that were taken before are still of it.
    pub retired: bool,
}

/// The stated limit on attempts beyond each part's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Attempts permitted however light the traffic.
    pub free: u64,
    /// Further attempts permitted for each query and part taken.
    pub ratio: f64,
    /// The span over which both are counted.
    pub window: Time,
}

/// What an aggregator is told when it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of aggregators in the tier.
    pub aggregators: u32,
    /// The zone of this aggregator.
    pub zone: u32,
    /// Shortest gap between two turns.
    pub tick: Time,
    /// True where the server list must be asked for.
    pub discovery_on_request: bool,
    /// The classes of query.
    pub classes: Vec<Class>,
    /// Number of cells; shard `s` is held by cells `s .. s + reach`, counted round.
    pub cells: u32,
    /// Number of cells in a row that hold a shard.
    pub replication_factor: u32,
    /// The most parts that share one call.
    pub call_parts: u32,
    /// Work of a call beside that of its parts; 0 where calls cost nothing.
    pub call_work: Time,
    /// How many queries and parts may be held.
    pub max_open: u32,
    /// Whether an attempt may be called off.
    pub can_cancel: bool,
    /// Whether servers may be probed.
    pub can_probe: bool,
    /// Points taken off for each probe, by part.
    pub probe_price: f64,
    /// Points taken off for work that brought no answer, as a share of all work.
    pub waste_price: f64,
    /// Whether a part may have two attempts out.
    pub can_hedge: bool,
    /// Whether clients say of a repeat that it is one.
    pub retries_marked: bool,
    /// The longest advice to keep away that clients follow; 0 where they get none.
    pub max_retry_after: Time,
    /// How long an aggregator may go without asking for the list.
    pub max_list_age: Time,
    /// How long sends to a draining or gone server may go on.
    pub drain_grace: Time,
    /// Least portion of its capacity that a server starts with.
    pub initial_capacity: f64,
    /// A started server is warm after this.
    pub slow_start: Time,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long, a cold server falls over.
    pub overload_window: Time,
    /// The stated budget of further attempts, if any.
    pub budget: Option<Budget>,
}

/// What the list says of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServerStatus {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Taken away.
    Removed,
}

/// One line of the server list.
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
    /// What the list says of it.
    pub status: ServerStatus,
    /// Its size as registered, unitless.
    pub size: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Time,
    /// Taken out by hand, whatever the list says of it.
    pub excluded: bool,
}

/// How a list event relates to the list held so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Partial,
    /// The whole list; a server not in it is gone.
    Complete,
    /// The list held before the start, perhaps out of date.
    Persisted,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server replied with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run or be running.
    TimedOut,
    /// No connection was made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
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
    /// Whether an answer short of whole is worth nothing.
    pub fn needs_all(&self) -> bool {
        self.floor >= self.need
    }
}

impl Default for Class {
    /// A class of one step that is safe to repeat and needs every part, with an aim of a second.
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
    /// A lone aggregator with one class and one cell, where copies and cancels are allowed and no
    /// server starts cold.
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
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queued: Option<f64>,
    /// Portion of its cores in use.
    pub busy: Option<f64>,
}

/// What an aggregator has learned of a server, for another life of it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedServer {
    /// How slow it is for each class; 1 is like its peers.
    pub slowness: Vec<f64>,
    /// Its smoothed delay, as a share of the least aim.
    pub delay: f64,
    /// Calls that it may have out.
    pub limit: f64,
    /// Its smoothed share of errors.
    pub errors: f64,
    /// How many judged answers that rests on, up to a bound.
    pub answers: f64,
}

/// What an aggregator has learned of a class's times.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedLatency {
    /// The median.
    pub median: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The least median.
    pub least: f64,
    /// How many answers it rests on; 0 for what every aggregator begins with.
    pub answers: usize,
}

/// What an aggregator has learned.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Learned {
    /// Servers.
    pub servers: Vec<(ServerId, LearnedServer)>,
    /// Each class's times of parts.
    pub parts: Vec<LearnedLatency>,
    /// Each class's times of answered attempts.
    pub attempts: Vec<LearnedLatency>,
}

/// Something that happened, as one aggregator sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// What an earlier life of this aggregator had learned, as far as it still counts; after the
    /// list it is about.
    Restore(Arc<Learned>),
    /// Other settings hold from now on. Classes that queries are of keep their places; the whole
    /// list follows.
    Settings {
        /// The settings.
        settings: Arc<Settings>,
        /// For each class the one of before that it goes on from.
        from: Arc<[Option<usize>]>,
    },
    /// News of the server list.
    Endpoints {
        /// How it relates to the list held.
        kind: ListKind,
        /// The lines.
        entries: Arc<[Endpoint]>,
    },
    /// Asking for the list failed, or the subscription broke.
    DiscoveryFailed {
        /// Discovery could not be reached then, or said no: what it has to tell counts from then
        /// on. Otherwise it fell silent, left the call without an answer, or said what could not be
        /// used.
        refused: bool,
    },
    /// A query was taken; its parts follow in the same turn.
    Query {
        /// Which query.
        id: QueryId,
        /// Its number at this aggregator; its parts carry the same.
        number: u64,
        /// Its class, by place in the settings.
        class: usize,
        /// How many parts its first step has.
        parts: u32,
        /// How long until the client leaves this try.
        client_timeout: Time,
        /// The client said that this is a repeat.
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
    /// An attempt ended; each send has exactly one of these.
    AttemptEnded {
        /// Which part.
        part: PartId,
        /// Which attempt of it, from 0.
        attempt: u32,
        /// Which server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it was out.
        took: Time,
        /// The server's load report, where one came along.
        load: LoadReport,
    },
    /// The client of a query has left.
    ClientLeft {
        /// Which query.
        id: QueryId,
    },
    /// A wake-up that was asked for is due.
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

/// Something the aggregator decides to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt for a part.
    Send {
        /// Which part.
        part: PartId,
        /// To which server; it must hold the part's shard.
        server: ServerId,
        /// When to stop waiting for it.
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
        /// True for a whole answer.
        complete: bool,
    },
    /// Turn a query away; asking again is harmless.
    Reject {
        /// Which query.
        query: QueryId,
        /// How long the client ought to keep away; 0 for no advice.
        retry_after: Time,
    },
    /// Give a query up, with no promise on its effect.
    Fail {
        /// Which query.
        query: QueryId,
    },
    /// Ask for a [`Event::Wake`] at this time.
    WakeAt(Time),
    /// Ask a server for its load.
    Probe(ServerId),
    /// Subscribe to changes of the server list, or stop.
    Watch(bool),
    /// Ask once for the whole server list.
    Fetch,
    /// Close the idle connections to a server.
    Close(ServerId),
    /// A line for the operators' log.
    Log(String),
}
