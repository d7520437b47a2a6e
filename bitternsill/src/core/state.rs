//! The state of open queries: their parts and attempts.

use super::ports::{Caller, Value};
use dispatch::interface::{ServerId, Time};
use std::rc::Rc;

/// How the first step of a query ended.
pub(super) struct FirstStep {
    /// The shards that had answered, joined by `+` as the wire has them.
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
    /// How the first step ended; set once there is a second.
    pub(super) first_step: Option<FirstStep>,
    /// The host that is sent the first part of the second step, and when.
    pub(super) second_step_opened: Option<(ServerId, Time)>,
    /// When its last byte came.
    pub(super) arrived: Time,
    pub(super) attempts: u32,
    /// The version of the configuration under which it was taken.
    pub(super) version: u64,
}

/// The request to one shard that a query consists of.
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
    /// Its message was written completely: it may have run.
    pub(super) written: bool,
}
