//! Event counters of one router process. This module depends on no other, so that every part of the
//! router may count.

use std::sync::atomic::{AtomicU64, Ordering};

/// Something that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A request of a client has come.
    RequestBegun,
    /// The start of a backend's answer went to a client.
    AnswerBegun,
    /// A request was refused as it has not run and will not.
    RefusedUnrun,
    /// A request was given up that may have run.
    GivenUp,
    /// A client closed its connection before its answer had begun.
    ClientLeftWaiting,
    /// A client closed its connection in the middle of an answer.
    ClientLeftStreaming,
    /// A request, a copy or a repeat was sent to a backend.
    Sent,
    /// Of these, a copy of a request that was pending for long.
    Copied,
    /// Of these, a repeat after a failure or a rejection.
    Repeated,
    /// A backend turned a request away.
    Rejected,
    /// A request was turned away by a backend whose instance or weights are others than expected.
    Misdirected,
    /// An order was taken by a backend, or holds already.
    OrderTaken,
    /// An order got no clear answer.
    OrderUnanswered,
    /// An order was refused for a lower fencing token.
    OrderFenced,
    /// An order was refused as another one was under way, or taken in its place.
    OrderOvertaken,
}

impl Event {
    /// Every event, in the order of its counters, with its name.
    pub const ALL: [(Event, &'static str); 15] = [
        (Event::RequestBegun, "requests_begun"),
        (Event::AnswerBegun, "answers_begun"),
        (Event::RefusedUnrun, "requests_refused_unrun"),
        (Event::GivenUp, "requests_given_up"),
        (Event::ClientLeftWaiting, "clients_left_waiting"),
        (Event::ClientLeftStreaming, "clients_left_streaming"),
        (Event::Sent, "sends"),
        (Event::Copied, "copies"),
        (Event::Repeated, "repeats"),
        (Event::Rejected, "rejections"),
        (Event::Misdirected, "misdirections"),
        (Event::OrderTaken, "orders_taken"),
        (Event::OrderUnanswered, "orders_unanswered"),
        (Event::OrderFenced, "orders_fenced"),
        (Event::OrderOvertaken, "orders_overtaken"),
    ];
}

/// Counters of one process.
#[derive(Debug, Default)]
pub struct Counters([AtomicU64; Event::ALL.len()]);

impl Counters {
    /// It happened once more.
    pub fn count(&self, event: Event) {
        self.0[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How often it happened.
    pub fn get(&self, event: Event) -> u64 {
        self.0[event as usize].load(Ordering::Relaxed)
    }
}
