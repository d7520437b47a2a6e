//! The messages that the objects of the event loop post to each other.

use crate::core::ports::{Answer, AttemptId, Outgoing};
use crate::net::Token;
use dispatch::interface::Time;
use std::net::SocketAddr;
use store::command::Change;
use store::member::{Reply, Write};
use versions::audit_log::Entry;

/// What connections are told.
#[derive(Debug)]
pub enum Message {
    /// The final answer to the query that this connection waits on, and which of its operations
    /// that is for.
    Answer(u32, Answer),
    /// Send these parts as one call.
    Call(Vec<Outgoing>),
    /// Give an attempt up.
    CancelAttempt(AttemptId),
    /// Send a probe.
    Probe,
    /// Close if nothing is out.
    CloseIdle,
    /// The host leaves: nothing unsent may go there any more.
    HostDraining,
    /// Make room: close if no request is being read or answered.
    Evict,
    /// Discovery: begin or end the watch.
    Watch(bool),
    /// Discovery: ask once.
    Fetch,
    /// Discovery: it listens elsewhere now.
    EndpointMoved(SocketAddr),
    /// The store's file: something to be written.
    Write(Write),
    /// A line of the store, for a member or a watcher.
    Line(String),
    /// When the store's timer is due, or another's.
    WakeAt(Time),
    /// What came of something that was asked of the store.
    Replied(Reply),
    /// Keys of the store that this object is to be told of have changed: every committed change of
    /// them, in order.
    StoreChanged(Vec<Change>),
    /// A connection wants this gatherer's audit log: which segment, and from which byte on.
    AuditLogRequested(Token, u64, u64),
    /// Entries for this gatherer's audit log.
    AuditEntries(Vec<Entry>),
    /// The program is ending: take no more connections, close what is idle.
    Retire,
    /// The operators' door: a caller's connection has ended.
    AdminConnectionClosed(Token),
}
