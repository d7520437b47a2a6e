//! The order in which backends get orders, and the fencing tokens that they have rejected.

use super::OutdatedBackend;
use crate::Millis;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// The minimum time between two orders to an unresponsive backend.
const UNRESPONSIVE_RETRY_MS: Millis = 2_000;

/// Schedules orders: responsive backends come first, then those with the fewest unanswered orders
/// in a row, and among equals the one whose last order is the oldest. Thus neither backends that do
/// not answer nor a rapid succession of versions can starve the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderQueue {
    orders: u64,
    attempts: BTreeMap<CompactString, OrderAttempts>,
}

/// The history of a backend's orders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct OrderAttempts {
    /// Unanswered orders since the last answered one.
    unanswered: u32,
    /// The sequence number of the last order among those to all backends.
    last_order: u64,
    last_at: Millis,
}

impl OrderQueue {
    /// Sorts backends by their priority for the next order.
    pub fn sort(&self, outdated: &mut [OutdatedBackend]) {
        outdated.sort_by_key(|backend| {
            let attempts = self.attempts.get(&backend.id).copied().unwrap_or_default();
            (
                backend.is_unresponsive,
                attempts.unanswered,
                attempts.last_order,
            )
        });
    }

    /// Whether a backend may be sent an order at `now`.
    pub fn is_due(&self, backend: &OutdatedBackend, now: Millis) -> bool {
        let attempts = self.attempts.get(&backend.id);
        !backend.is_unresponsive
            || attempts.is_none_or(|attempts| now >= attempts.last_at + UNRESPONSIVE_RETRY_MS)
    }

    /// Records that an order is sent to a backend.
    pub fn record_order(&mut self, backend: &CompactString, now: Millis) {
        self.orders += 1;
        let attempts = self.attempts.entry(backend.clone()).or_default();
        (attempts.last_order, attempts.last_at) = (self.orders, now);
    }

    /// Records whether a backend answered its order.
    pub fn record_result(&mut self, backend: &CompactString, was_answered: bool) {
        let attempts = self.attempts.entry(backend.clone()).or_default();
        attempts.unanswered = if was_answered {
            0
        } else {
            attempts.unanswered.saturating_add(1)
        };
    }

    /// Removes backends that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.attempts.retain(|backend, _| is_registered(backend));
    }
}

/// The highest fencing token that each backend has rejected because it had seen a higher one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RejectedTokens(BTreeMap<CompactString, u64>);

impl RejectedTokens {
    /// Records that a backend rejected an order with this token.
    pub fn record(&mut self, backend: &CompactString, fencing_token: u64) {
        let highest = self.0.entry(backend.clone()).or_default();
        *highest = fencing_token.max(*highest);
    }

    /// Whether a backend may be sent an order with this token, which has to be higher than any that
    /// it has rejected.
    pub fn allows(&self, backend: &str, fencing_token: u64) -> bool {
        self.0
            .get(backend)
            .is_none_or(|rejected| fencing_token > *rejected)
    }

    /// Removes backends that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.0.retain(|backend, _| is_registered(backend));
    }

    /// The number of backends that have rejected a token.
    pub fn count(&self) -> u64 {
        self.0.len() as u64
    }
}
