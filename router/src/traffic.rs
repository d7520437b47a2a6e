//! Counters of messages and bytes between routers, by kind of message.

use crate::protocol::{Frame, Request, Response};
use std::sync::atomic::{AtomicU64, Ordering};

/// The kind of a message. The names of the variants are part of the status report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Control state: replication, failover and leases.
    Replica,
    /// Pulls of directory updates, configurations and weights.
    Pull,
    /// Changes and reads requested by operators.
    Operator,
    /// Backend registrations.
    Register,
    /// Prompt prefix index, and the status of KV stores.
    Locate,
    /// Reports of backend failures.
    Faults,
    /// Anti-entropy repair.
    Repair,
}

impl MessageKind {
    /// All kinds, in the order in which [`Traffic`] stores their counters.
    pub const ALL: [MessageKind; 7] = [
        MessageKind::Replica,
        MessageKind::Pull,
        MessageKind::Operator,
        MessageKind::Register,
        MessageKind::Locate,
        MessageKind::Faults,
        MessageKind::Repair,
    ];

    /// The kind of a frame.
    pub fn of(frame: &Frame) -> Self {
        match frame {
            Frame::Request(_, request) => Self::of_request(request),
            Frame::Response(_, response) => Self::of_response(response),
        }
    }

    fn of_request(request: &Request) -> Self {
        match request {
            Request::Replica(_) => MessageKind::Replica,
            Request::Pull(_) => MessageKind::Pull,
            Request::Submit { .. } | Request::ReadConfiguration { .. } => MessageKind::Operator,
            Request::Register { .. } => MessageKind::Register,
            Request::StoreStatus { .. }
            | Request::Locate { .. }
            | Request::Placed { .. }
            | Request::Evicted { .. }
            | Request::EvictedFromStore { .. } => MessageKind::Locate,
            Request::Failures { .. } => MessageKind::Faults,
            Request::Compare { .. } | Request::Fetch { .. } => MessageKind::Repair,
        }
    }

    fn of_response(response: &Response) -> Self {
        match response {
            Response::Pulled(_) => MessageKind::Pull,
            Response::Outcome(_) | Response::Configuration(_) => MessageKind::Operator,
            Response::Registered(_) | Response::NotRegistered => MessageKind::Register,
            Response::StoreStatus(_) | Response::Located(_) => MessageKind::Locate,
            Response::Summary(_) | Response::Records(_) => MessageKind::Repair,
        }
    }
}

/// Messages and bytes of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

#[derive(Debug, Default)]
struct Counter {
    messages_sent: AtomicU64,
    bytes_sent: AtomicU64,
    messages_received: AtomicU64,
    bytes_received: AtomicU64,
}

/// Counters of one process.
#[derive(Debug, Default)]
pub struct Traffic {
    counters: [Counter; MessageKind::ALL.len()],
}

impl Traffic {
    /// Records a frame that was written.
    pub fn record_sent(&self, kind: MessageKind, bytes: usize) {
        let counter = &self.counters[kind as usize];
        counter.messages_sent.fetch_add(1, Ordering::Relaxed);
        counter
            .bytes_sent
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records a frame that was read.
    pub fn record_received(&self, kind: MessageKind, bytes: usize) {
        let counter = &self.counters[kind as usize];
        counter.messages_received.fetch_add(1, Ordering::Relaxed);
        counter
            .bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Current values by kind.
    pub fn counts(&self) -> impl Iterator<Item = (MessageKind, Count)> + '_ {
        MessageKind::ALL
            .into_iter()
            .zip(&self.counters)
            .map(|(kind, counter)| {
                let count = Count {
                    messages_sent: counter.messages_sent.load(Ordering::Relaxed),
                    bytes_sent: counter.bytes_sent.load(Ordering::Relaxed),
                    messages_received: counter.messages_received.load(Ordering::Relaxed),
                    bytes_received: counter.bytes_received.load(Ordering::Relaxed),
                };
                (kind, count)
            })
    }
}
