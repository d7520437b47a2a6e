//! One member of a small replicated store, for configuration and coordination state.
//!
//! The members agree on a log by Raft (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm", 2014) over the library `raftbare`, and every member applies the committed
//! entries to the same key-value state. The crate does no I/O and has no clock, threads or
//! randomness of its own: time, messages and completions of writes come in; messages, writes and
//! committed changes go out. So the same code runs in the gatherer and in simulations.
//!
//! Durability invariant: a member acknowledges an entry, grants a vote or reports a change as
//! committed only after every write that this depends on is on its disk (see
//! [`member::Store::take_outbox`]). Otherwise a power failure could undo state that other members
//! rely on.
//!
//! - [`member`]: the member, with its client calls, persistence and admission to the store.
//! - [`rejoin`]: the rule by which a restarted member may vote again, even without its file.
//! - [`log`], [`command`], [`state`]: log entries, their commands, and the state machine.
//! - [`message`]: messages between members, and their encoding as lines of JSON.
//! - [`record`], [`persisted`]: the member's file, and the state recovered from it.

#![forbid(unsafe_code)]

pub mod command;
pub mod log;
pub mod member;
pub mod message;
pub mod persisted;
pub mod record;
pub mod rejoin;
pub mod state;

/// An instant or a duration, in nanoseconds of a monotonic clock.
pub type Time = u64;
