//! When the holder of the lease may give orders.

use crate::Millis;
use crate::view::Epoch;
use std::fmt;

/// Beyond the time of a lease, so long passes before a new holder's first order.
const TAKEOVER_MARGIN: Millis = 100;
/// The epoch of the first holder, before which there was none.
const FIRST_EPOCH: Epoch = 1;

/// How a node stands with regard to orders, as operators are told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TurnStanding {
    /// It does not hold the lease.
    #[default]
    NotHeld,
    /// It holds the lease and waits, as orders of a former holder may still be on their way.
    Waiting,
    /// It may give orders.
    MayOrder,
}

impl fmt::Display for TurnStanding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            TurnStanding::NotHeld => "this node does not hold the lease",
            TurnStanding::Waiting => {
                "this node holds the lease and waits for a former holder's orders to be over"
            }
            TurnStanding::MayOrder => "this node gives orders",
        })
    }
}

/// Since when this node holds the lease, as far as orders are concerned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Turn {
    /// It does not.
    #[default]
    NotHeld,
    /// It does, under some epochs without a break.
    Held {
        /// The present epoch.
        epoch: Epoch,
        /// Since when.
        since: Millis,
    },
}

impl Turn {
    /// Takes the fencing token of the lease, none where it is not held. The same holder goes on under a new epoch.
    pub fn update(&mut self, fence: Option<Epoch>, now: Millis) {
        *self = match (*self, fence) {
            (_, None) => Turn::NotHeld,
            (Turn::Held { since, .. }, Some(epoch)) => Turn::Held { epoch, since },
            (Turn::NotHeld, Some(epoch)) => Turn::Held { epoch, since: now },
        };
    }

    /// How it stands.
    pub fn standing(&self, lease: Millis, now: Millis) -> TurnStanding {
        match self {
            Turn::NotHeld => TurnStanding::NotHeld,
            _ if self.may_order(lease, now) => TurnStanding::MayOrder,
            _ => TurnStanding::Waiting,
        }
    }

    /// Whether orders may be given: a new holder lets the time of a lease pass, so that no order of a former one can cross
    /// its own.
    pub fn may_order(&self, lease: Millis, now: Millis) -> bool {
        match *self {
            Turn::NotHeld => false,
            Turn::Held { epoch, since } => epoch == FIRST_EPOCH || now >= since + lease + TAKEOVER_MARGIN,
        }
    }
}
