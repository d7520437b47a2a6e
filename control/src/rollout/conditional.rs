//! Conditional orders: a backend accepts one only in the state that the order was based on.
//!
//! An order that got no reply may still be in flight and arrive after a newer one is done. The
//! fencing token does not distinguish the two, as both were sent under one lease. A backend
//! therefore counts the orders that it has accepted and reports the count. Each order carries the
//! count that it was based on and is rejected once another order has been accepted.

/// The state of one model's weights, as a backend reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedWeights {
    /// The version; 0 where the backend does not have the model.
    pub version: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// The number of orders that the backend has accepted.
    pub accepted_orders: u64,
}

/// An order to load a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConditionalOrder {
    /// The version.
    pub version: u64,
    /// The backend rejects the order unless its count of accepted orders equals this.
    pub if_accepted_orders: u64,
}

/// The next step for a backend, given its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The backend has the version.
    UpToDate,
    /// Wait for the order that is in progress.
    Wait,
    /// Send this order.
    Order(ConditionalOrder),
}

/// The progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderProgress {
    /// The backend has the version, or a newer one.
    Done,
    /// The backend is executing an order.
    Busy,
    /// The order has not been accepted as of the report, which may be slightly out of date.
    Pending,
    /// Another order was accepted instead, so the backend will reject this one.
    Superseded,
}

impl ReportedWeights {
    /// The next step to bring the backend to a version.
    pub fn next_step(&self, version: u64) -> NextStep {
        if self.is_busy {
            NextStep::Wait
        } else if self.version >= version {
            NextStep::UpToDate
        } else {
            NextStep::Order(ConditionalOrder {
                version,
                if_accepted_orders: self.accepted_orders,
            })
        }
    }
}

impl ConditionalOrder {
    /// The progress of this order according to a later report.
    pub fn progress(&self, reported: ReportedWeights) -> OrderProgress {
        if reported.is_busy {
            OrderProgress::Busy
        } else if reported.version >= self.version {
            OrderProgress::Done
        } else if reported.accepted_orders <= self.if_accepted_orders {
            OrderProgress::Pending
        } else {
            OrderProgress::Superseded
        }
    }
}
