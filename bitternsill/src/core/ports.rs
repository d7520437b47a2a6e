//! The plain types and small traits by which fronts and index-host links meet the core.

use dispatch::interface::{ServerId, Time};
use std::rc::Rc;

/// Whoever waits for an answer; the numbers mean something to its front alone.
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

/// A query as a front hands it in.
#[derive(Debug)]
pub struct QueryRequest {
    /// Who waits.
    pub caller: Caller,
    /// The client's id for it.
    pub name: Rc<str>,
    /// Its class, by place in the settings.
    pub class: usize,
    /// The idempotency key, in a keyed class.
    pub key: Option<Rc<str>>,
    /// The client says that it asks again.
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

/// Why a query is turned away before the module sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// As much is held as the settings allow.
    TableFull {
        /// How long to keep away; 0 for no advice.
        retry_after: Time,
    },
    /// The same caller already waits for an answer.
    Busy,
    /// Another query of this name is open.
    NameTaken,
}

/// What an index host gave for a part.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Its rank among the values of a query.
    pub score: Score,
    /// The value itself, passed on unchanged.
    pub body: Rc<str>,
}

/// A score, kept exact where it is a whole number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Score {
    /// A whole number.
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

    /// Orders scores; whole ones exactly.
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
    /// The module gave it up.
    GivenUp,
    /// The program is ending.
    Ending,
}

/// The one final answer to a query.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Served from the parts that are in.
    Served {
        /// Whether it is marked whole.
        complete: bool,
        /// Each part that is in, by shard.
        values: Vec<(u32, Value)>,
    },
    /// Turned away; asking again is harmless.
    Rejected {
        /// How long to keep away; 0 for no advice.
        retry_after: Time,
    },
    /// Given up.
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
    /// In a second step: the shards that were in after the first.
    pub from: Option<Rc<str>>,
    /// In a second step: whether the first was whole.
    pub first_step_complete: Option<bool>,
    /// The query's text.
    pub text: Rc<str>,
}

/// The fronts, as the core sees them.
pub trait Clients {
    /// Passes on a query's final answer.
    fn answer(&mut self, caller: Caller, answer: Answer);
}

/// The links to index hosts, as the core sees them.
pub trait Hosts {
    /// Sends the parts of one call.
    fn call(&mut self, host: ServerId, parts: Vec<Outgoing>);
    /// Gives an attempt up.
    fn cancel(&mut self, host: ServerId, attempt: AttemptId);
    /// Probes a host.
    fn probe(&mut self, host: ServerId);
    /// Closes the idle connections to a host.
    fn close_idle(&mut self, host: ServerId);
}

/// Discovery, as the core sees it.
pub trait Directory {
    /// Begins or ends the watch.
    fn watch(&mut self, on: bool);
    /// Asks once for the whole list.
    fn fetch(&mut self);
}
