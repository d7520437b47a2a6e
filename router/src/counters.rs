//! Event counters of one router process. This module depends on no other module of the router, so
//! that all of them can count events.

use std::sync::atomic::{AtomicU64, Ordering};

/// An event that is counted. The discriminant is the index of its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A client's request was received.
    RequestReceived,
    /// The head of a backend's response was passed to a client.
    ResponseStarted,
    /// A request was rejected that has not been executed and will not be.
    RejectedNotExecuted,
    /// A request failed that may have been executed.
    GivenUp,
    /// A client disconnected before its response began.
    DisconnectedWaiting,
    /// A client disconnected in the middle of a response.
    DisconnectedStreaming,
    /// An attempt was sent to a backend: a first one, a hedge or a retry.
    AttemptSent,
    /// A sent attempt is a hedge of a slow request; also counted as [`Event::AttemptSent`].
    Hedged,
    /// A sent attempt is a retry after a failure or a rejection; also counted as
    /// [`Event::AttemptSent`].
    Retried,
    /// A request was handled by a configuration that was not confirmed as the latest.
    UnconfirmedConfiguration,
    /// A hedge was not sent, as the configuration that allows it was not confirmed as the latest.
    HedgeWithheld,
    /// A retry was not sent, as the configuration that allows it was not confirmed as the latest.
    RetryWithheld,
    /// A backend rejected a request without executing it.
    Rejected,
    /// A backend rejected a request because its instance or weights are not the expected ones.
    Misdirected,
    /// A backend accepted an order, or has its version already.
    OrderAccepted,
    /// An order got no conclusive response.
    OrderUnanswered,
    /// A backend rejected an order because of its stale fencing token.
    OrderFenced,
    /// A backend rejected an order because another one is in progress or was accepted instead.
    OrderConflict,
}

impl Event {
    /// Every event with its name on the metrics page, in the order of the counters.
    pub const ALL: [(Event, &'static str); 18] = [
        (Event::RequestReceived, "requests_begun"),
        (Event::ResponseStarted, "answers_begun"),
        (Event::RejectedNotExecuted, "requests_refused_unrun"),
        (Event::GivenUp, "requests_given_up"),
        (Event::DisconnectedWaiting, "clients_left_waiting"),
        (Event::DisconnectedStreaming, "clients_left_streaming"),
        (Event::AttemptSent, "sends"),
        (Event::Hedged, "copies"),
        (Event::Retried, "repeats"),
        (
            Event::UnconfirmedConfiguration,
            "requests_by_unconfirmed_configuration",
        ),
        (Event::HedgeWithheld, "copies_withheld"),
        (Event::RetryWithheld, "repeats_withheld"),
        (Event::Rejected, "rejections"),
        (Event::Misdirected, "misdirections"),
        (Event::OrderAccepted, "orders_taken"),
        (Event::OrderUnanswered, "orders_unanswered"),
        (Event::OrderFenced, "orders_fenced"),
        (Event::OrderConflict, "orders_overtaken"),
    ];
}

/// One monotonic counter per event.
#[derive(Debug, Default)]
pub struct Counters([AtomicU64; Event::ALL.len()]);

impl Counters {
    /// Increments the counter of an event.
    pub fn count(&self, event: Event) {
        self.0[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the value of an event's counter.
    pub fn get(&self, event: Event) -> u64 {
        self.0[event as usize].load(Ordering::Relaxed)
    }
}
