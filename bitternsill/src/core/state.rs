//! The state of open queries: their parts and attempts.

use super::ports::{Caller, Value};
use dispatch::interface::{ServerId, Time};
use std::rc::Rc;

/// How the first step of a query ended.
pub(super) struct FirstStep {
    /// The shards that answered, joined by `+` as on the wire.
    pub(super) shards: Rc<str>,
    pub(super) complete: bool,
}

/// A query without its final answer.
pub(super) struct Query {
    pub(super) caller: Caller,
    pub(super) name: Rc<str>,
    pub(super) class: usize,
    pub(super) key: Option<Rc<str>>,
    pub(super) text: Rc<str>,
    pub(super) deadline: Time,
    pub(super) parts: Vec<u64>,
    /// How the first step ended; set once the second step has started.
    pub(super) first_step: Option<FirstStep>,
    /// The host that gets the first part of the second step, and when that part was sent.
    pub(super) second_step_opened: Option<(ServerId, Time)>,
    /// When the last byte of the request arrived.
    pub(super) arrived: Time,
    pub(super) attempts: u32,
    /// The configuration version under which the query was accepted.
    pub(super) version: u64,
}

/// The request of a query to one shard.
pub(super) struct Part {
    pub(super) query: u64,
    pub(super) shard: u32,
    pub(super) weight: f64,
    pub(super) attempts: u32,
    pub(super) first_sent: Option<Time>,
    pub(super) value: Option<Value>,
}

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) host: ServerId,
    pub(super) sent: Time,
    pub(super) until: Time,
    /// Whether the message was written completely, so that the host may have run the part.
    pub(super) written: bool,
}
