//! The messages posted between the connections of the event loop.

use crate::core::ports::{Answer, AttemptId, Outgoing};
use crate::net::Token;
use dispatch::interface::Time;
use std::net::SocketAddr;
use store::command::Change;
use store::member::{Reply, Write};
use versions::audit_log::Entry;

/// A message to a connection.
#[derive(Debug)]
pub enum Message {
    /// The final answer to a query of this client connection, and the operation that it is for.
    Answer(u32, Answer),
    /// Send these parts as one call.
    Call(Vec<Outgoing>),
    /// Cancel an attempt.
    CancelAttempt(AttemptId),
    /// Send a probe.
    Probe,
    /// Close if nothing is in flight.
    CloseIdle,
    /// The host is draining: send nothing more to it that is still unsent.
    HostDraining,
    /// Close to make room for other connections, unless a query is in flight.
    Evict,
    /// To discovery: start or stop the watch.
    Watch(bool),
    /// To discovery: request the list once.
    Fetch,
    /// To discovery: its address has changed.
    EndpointMoved(SocketAddr),
    /// A write to the store's file.
    Write(Write),
    /// A line of the store's protocol, for a member or a watcher.
    Line(String),
    /// When to wake the store, or another timer.
    WakeAt(Time),
    /// The reply to a request to the store.
    Replied(Reply),
    /// All committed changes to the watched keys of the store, in order.
    StoreChanged(Vec<Change>),
    /// A connection requests this gatherer's audit log: the segment and the first byte.
    AuditLogRequested(Token, u64, u64),
    /// Entries for this gatherer's audit log.
    AuditEntries(Vec<Entry>),
    /// The process is shutting down: accept no more connections, and close idle ones.
    Retire,
    /// To the operators' listener: a connection has ended.
    AdminConnectionClosed(Token),
}
