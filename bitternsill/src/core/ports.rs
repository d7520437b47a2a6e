//! The interface between the core and the protocols of clients, index hosts and discovery.

use dispatch::interface::{ServerId, Time};
use std::rc::Rc;

/// Where an answer is sent. The core does not interpret the numbers; the client protocol does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Caller {
    /// The connection.
    pub connection: u64,
    /// The operation on that connection; 0 for protocols with one operation at a time.
    pub operation: u32,
}

impl Caller {
    /// The caller on a connection that has one operation at a time.
    pub fn only(connection: u64) -> Caller {
        Caller {
            connection,
            operation: 0,
        }
    }
}

/// Identifies one attempt at a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part's number in the core.
    pub part: u64,
    /// The index of the attempt among those of its part, from 0.
    pub number: u32,
}

/// A query as a client protocol submits it.
#[derive(Debug)]
pub struct QueryRequest {
    /// Where the answer is sent.
    pub caller: Caller,
    /// The query id chosen by the client.
    pub name: Rc<str>,
    /// The slot of its class.
    pub class: usize,
    /// The idempotency key, in a keyed class.
    pub key: Option<Rc<str>>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// How long the client waits from `arrived` on.
    pub budget: Time,
    /// When the last byte of the request arrived.
    pub arrived: Time,
    /// The query text that every part carries.
    pub text: Rc<str>,
    /// Shard and weight of each part.
    pub parts: Vec<(u32, f64)>,
}

/// Why a query is rejected before the dispatcher sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The limit on open queries and parts is reached.
    TableFull {
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Time,
    },
    /// The caller already has an open query.
    Busy,
    /// Another open query has this name.
    NameTaken,
}

/// The result of a part from an index host.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Ranks the shards of a query for its second step.
    pub score: Score,
    /// The result itself, passed on unchanged.
    pub body: Rc<str>,
}

/// A score; integers are kept exactly.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Score {
    /// An integer.
    Integer(i128),
    /// Any other number.
    Real(f64),
}

impl Score {
    /// Parses a score; `None` if the text is not a finite number.
    pub fn parse(text: &str) -> Option<Self> {
        let real = || {
            text.parse()
                .ok()
                .filter(|real: &f64| real.is_finite())
                .map(Score::Real)
        };
        text.parse().ok().map(Score::Integer).or_else(real)
    }

    /// Compares two scores; two integers are compared exactly.
    pub fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        match (self, other) {
            (Score::Integer(a), Score::Integer(b)) => a.cmp(b),
            _ => self.real().total_cmp(&other.real()),
        }
    }

    fn real(&self) -> f64 {
        match *self {
            Score::Integer(n) => n as f64,
            Score::Real(x) => x,
        }
    }
}

/// Why a query failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureReason {
    /// The deadline passed without a decision.
    TimeUp,
    /// The dispatcher gave up on the query.
    GivenUp,
    /// The process is shutting down.
    Ending,
}

/// The one final answer to a query.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Served from the answered parts.
    Served {
        /// Whether the answer is marked complete.
        complete: bool,
        /// The value of each answered part, by shard.
        values: Vec<(u32, Value)>,
    },
    /// Rejected without effect; the client may safely retry.
    Rejected {
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Time,
    },
    /// Failed; the query may have taken effect.
    Failed(FailureReason),
}

/// One part to be sent to an index host.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// The attempt that sends it.
    pub id: AttemptId,
    /// The part's id on the wire.
    pub name: String,
    /// The shard that it addresses.
    pub shard: u32,
    /// When the gatherer stops waiting for the answer.
    pub until: Time,
    /// The latest time at which the part may be written.
    pub not_after: Time,
    /// The idempotency key, in a keyed class.
    pub key: Option<Rc<str>>,
    /// In a second step: the shards that answered in the first step.
    pub from: Option<Rc<str>>,
    /// In a second step: whether the first step was complete.
    pub first_step_complete: Option<bool>,
    /// The query's text.
    pub text: Rc<str>,
}

/// The client connections, as the core uses them.
pub trait Clients {
    /// Sends a query's final answer.
    fn answer(&mut self, caller: Caller, answer: Answer);
}

/// The connections to index hosts, as the core uses them.
pub trait Hosts {
    /// Sends parts to a host in one call.
    fn call(&mut self, host: ServerId, parts: Vec<Outgoing>);
    /// Cancels an attempt.
    fn cancel(&mut self, host: ServerId, attempt: AttemptId);
    /// Probes a host.
    fn probe(&mut self, host: ServerId);
    /// Closes the idle connections to a host.
    fn close_idle(&mut self, host: ServerId);
}

/// Discovery, as the core uses it.
pub trait Directory {
    /// Starts or stops watching the endpoint list.
    fn watch(&mut self, on: bool);
    /// Requests the complete endpoint list once.
    fn fetch(&mut self);
}
