//! Which backend gets the next order, and which ones refuse the present fencing token.

use super::OutdatedBackend;
use crate::Millis;
use crate::view::Epoch;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// A backend whose heartbeats have stopped is asked again after this.
const UNRESPONSIVE_RETRY_MS: Millis = 2_000;

/// Whom to give the next order: those whose heartbeats come first, then those whose last orders
/// were answered, and of these the one that has waited for longest. So neither backends that do not
/// answer nor ever newer versions keep an order from others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderQueue {
    orders: u64,
    attempts: BTreeMap<CompactString, OrderAttempts>,
}

/// How a backend's orders went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct OrderAttempts {
    unanswered: u32,
    last_order: u64,
    last_at: Millis,
}

impl OrderQueue {
    /// Sorts backends by who is next.
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

    /// Whether a backend may be asked now.
    pub fn is_due(&self, backend: &OutdatedBackend, now: Millis) -> bool {
        let attempts = self.attempts.get(&backend.id);
        !backend.is_unresponsive
            || attempts.is_none_or(|attempts| now >= attempts.last_at + UNRESPONSIVE_RETRY_MS)
    }

    /// A backend is given an order.
    pub fn record_order(&mut self, backend: &CompactString, now: Millis) {
        self.orders += 1;
        let attempts = self.attempts.entry(backend.clone()).or_default();
        (attempts.last_order, attempts.last_at) = (self.orders, now);
    }

    /// Whether a backend's order came to its end.
    pub fn record_result(&mut self, backend: &CompactString, was_answered: bool) {
        let attempts = self.attempts.entry(backend.clone()).or_default();
        attempts.unanswered = if was_answered {
            0
        } else {
            attempts.unanswered.saturating_add(1)
        };
    }

    /// Forgets backends that are not there any more.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.attempts.retain(|backend, _| is_registered(backend));
    }
}

/// Fencing tokens that backends have refused as they had seen a higher one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RejectedTokens(BTreeMap<CompactString, Epoch>);

impl RejectedTokens {
    /// A backend has refused an order under this token.
    pub fn record(&mut self, backend: &CompactString, fencing_token: Epoch) {
        let highest = self.0.entry(backend.clone()).or_default();
        *highest = fencing_token.max(*highest);
    }

    /// Whether a backend may be given an order under this token: none that it has refused, nor a
    /// lower one.
    pub fn allows(&self, backend: &str, fencing_token: Epoch) -> bool {
        self.0
            .get(backend)
            .is_none_or(|refused| fencing_token > *refused)
    }

    /// Forgets backends that are not there any more.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.0.retain(|backend, _| is_registered(backend));
    }

    /// How many backends have refused one.
    pub fn count(&self) -> u64 {
        self.0.len() as u64
    }
}
