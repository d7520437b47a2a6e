//! Orders that hold only for the state of the backend on which they were decided.
//!
//! An order that got no answer may be on its way still, and may arrive when a newer one is done.
//! The fencing token does not tell these apart, as both were given under one lease. A backend
//! counts the orders that it has taken and tells the count in its reports, so each order names the
//! count that it was decided on, and is refused once another one has been taken.

/// What a backend reports of one model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reported {
    /// The version; 0 where it does not have the model.
    pub version: u64,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// How many orders it has taken.
    pub taken_orders: u64,
}

/// An order to bring a backend to a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConditionalOrder {
    /// The version.
    pub version: u64,
    /// It is to be refused where the backend has not taken just so many orders.
    pub if_taken_orders: u64,
}

/// What a backend needs that reports something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Nothing: it has the version.
    Nothing,
    /// Time: another order is under way.
    Time,
    /// This order.
    Order(ConditionalOrder),
}

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The backend has the version, or a newer one.
    Done,
    /// An order is under way there.
    Busy,
    /// This order has not been taken yet, as far as the report tells, which may be a little old.
    Awaited,
    /// Another order was taken in its place: this one will be refused.
    Overtaken,
}

impl Reported {
    /// What brings the backend to a version.
    pub fn need(&self, version: u64) -> Need {
        if self.is_busy {
            Need::Time
        } else if self.version >= version {
            Need::Nothing
        } else {
            Need::Order(ConditionalOrder {
                version,
                if_taken_orders: self.taken_orders,
            })
        }
    }
}

impl ConditionalOrder {
    /// How far it has come by a later report.
    pub fn progress(&self, reported: Reported) -> Progress {
        if reported.is_busy {
            Progress::Busy
        } else if reported.version >= self.version {
            Progress::Done
        } else if reported.taken_orders <= self.if_taken_orders {
            Progress::Awaited
        } else {
            Progress::Overtaken
        }
    }
}
