//! The types and traits between the core and the protocols of clients, index hosts and discovery.

use dispatch::interface::{ServerId, Time};
use std::rc::Rc;

/// Where an answer is sent; the numbers have a meaning for the client protocol only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Caller {
    /// The connection.
    pub connection: u64,
    /// Which of its operations; 0 where there is one at a time.
    pub operation: u32,
}

impl Caller {
    /// The one that a connection with one operation at a time stands for.
    pub fn only(connection: u64) -> Caller {
        Caller {
            connection,
            operation: 0,
        }
    }
}

/// One attempt for one part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part's number in the core.
    pub part: u64,
    /// Which attempt of it, from 0.
    pub number: u32,
}

/// A query as a client protocol submits it.
#[derive(Debug)]
pub struct QueryRequest {
    /// Where its answer is sent.
    pub caller: Caller,
    /// The client's id for it.
    pub name: Rc<str>,
    /// Its class, by slot.
    pub class: usize,
    /// The idempotency key, in a keyed class.
    pub key: Option<Rc<str>>,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// How long the client waits, counted from `arrived`.
    pub budget: Time,
    /// When the query's last byte came.
    pub arrived: Time,
    /// What every part carries.
    pub text: Rc<str>,
    /// Shard and weight of each part.
    pub parts: Vec<(u32, f64)>,
}

/// Why a query is rejected before the dispatcher sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// As many queries and parts are open as the settings allow.
    TableFull {
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Time,
    },
    /// The same caller already waits for an answer.
    Busy,
    /// Another query of this name is open.
    NameTaken,
}

/// What an index host answered for a part.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Its rank among the values of a query.
    pub score: Score,
    /// The value itself, passed on unchanged.
    pub body: Rc<str>,
}

/// A score, exact where it is an integer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Score {
    /// An integer.
    Integer(i128),
    /// Any other number.
    Real(f64),
}

impl Score {
    /// Reads a score, if it is a number.
    pub fn parse(text: &str) -> Option<Self> {
        let real = || {
            text.parse()
                .ok()
                .filter(|real: &f64| real.is_finite())
                .map(Score::Real)
        };
        text.parse().ok().map(Score::Integer).or_else(real)
    }

    /// Orders scores; integers exactly.
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
    /// Its time ended without a decision.
    TimeUp,
    /// The dispatcher abandoned it.
    GivenUp,
    /// The program is ending.
    Ending,
}

/// The one final answer to a query.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Served from the parts that are in.
    Served {
        /// Whether it is marked complete.
        complete: bool,
        /// The value of each answered part, by shard.
        values: Vec<(u32, Value)>,
    },
    /// Rejected; the client may safely retry.
    Rejected {
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Time,
    },
    /// Failed; it may have taken effect.
    Failed(FailureReason),
}

/// One part on its way to an index host.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Which attempt.
    pub id: AttemptId,
    /// The part's id on the wire.
    pub name: String,
    /// Its shard.
    pub shard: u32,
    /// When the gatherer stops waiting.
    pub until: Time,
    /// It must not be written later than this.
    pub not_after: Time,
    /// The idempotency key, in a keyed class.
    pub key: Option<Rc<str>>,
    /// In a second step: the shards that had answered in the first.
    pub from: Option<Rc<str>>,
    /// In a second step: whether the first was complete.
    pub first_step_complete: Option<bool>,
    /// The query's text.
    pub text: Rc<str>,
}

/// The clients' connections, as the core uses them.
pub trait Clients {
    /// Passes on a query's final answer.
    fn answer(&mut self, caller: Caller, answer: Answer);
}

/// The connections to index hosts, as the core uses them.
pub trait Hosts {
    /// Sends the parts of one call.
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
    /// Begins or ends the watch.
    fn watch(&mut self, on: bool);
    /// Requests the complete list once.
    fn fetch(&mut self);
}
