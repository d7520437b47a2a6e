//! Orders that hold only for the state of the backend on which they were decided.
//!
//! An order that got no answer may be on its way still, and may arrive when a newer one is done.
//! The fencing token does not tell these apart, as both were given under one lease. A backend
//! counts the orders that it has taken and tells the count in its reports, so each order names the
//! count that it was decided on, and is refused once another one has been taken.

/// What a backend reports of one model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedWeights {
    /// The version; 0 where it does not have the model.
    pub version: u64,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// How many orders it has taken.
    pub accepted_orders: u64,
}

/// An order to bring a backend to a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConditionalOrder {
    /// The version.
    pub version: u64,
    /// It is to be refused where the backend has not taken just so many orders.
    pub if_accepted_orders: u64,
}

/// What a backend needs that reports something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing: it has the version.
    UpToDate,
    /// Time: another order is under way.
    Wait,
    /// This order.
    Order(ConditionalOrder),
}

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderProgress {
    /// The backend has the version, or a newer one.
    Done,
    /// An order is under way there.
    Busy,
    /// This order has not been taken yet, as far as the report tells, which may be a little old.
    Pending,
    /// Another order was taken in its place: this one will be refused.
    Superseded,
}

impl ReportedWeights {
    /// What brings the backend to a version.
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
    /// How far it has come by a later report.
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
