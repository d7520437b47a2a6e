//! Which backend gets the next order, and which ones refuse the present fencing token.

use super::Lacking;
use crate::view::Epoch;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Whom to give the next order: those whose last orders were answered first, and of these the one that has waited for longest. So
/// neither backends that do not answer nor ever newer versions keep an order from others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderQueue {
    orders: u64,
    tried: BTreeMap<CompactString, Tried>,
}

/// How a backend's orders went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Tried {
    unanswered: u32,
    last_order: u64,
}

impl OrderQueue {
    /// Sorts backends by who is next.
    pub fn sort(&self, lacking: &mut [Lacking]) {
        lacking.sort_by_key(|backend| {
            let tried = self.tried.get(&backend.id).copied().unwrap_or_default();
            (tried.unanswered, tried.last_order)
        });
    }

    /// A backend is given an order.
    pub fn ordered(&mut self, backend: &CompactString) {
        self.orders += 1;
        self.tried.entry(backend.clone()).or_default().last_order = self.orders;
    }

    /// Whether a backend's order came to its end.
    pub fn ended(&mut self, backend: &CompactString, was_answered: bool) {
        let tried = self.tried.entry(backend.clone()).or_default();
        tried.unanswered = if was_answered { 0 } else { tried.unanswered.saturating_add(1) };
    }

    /// Forgets backends that are not there any more.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.tried.retain(|backend, _| is_there(backend));
    }
}

/// Fencing tokens that backends have refused as they had seen a higher one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RefusedFences(BTreeMap<CompactString, Epoch>);

impl RefusedFences {
    /// A backend has refused an order under this token.
    pub fn refused(&mut self, backend: &CompactString, fence: Epoch) {
        let highest = self.0.entry(backend.clone()).or_default();
        *highest = fence.max(*highest);
    }

    /// Whether a backend may be given an order under this token: none that it has refused, nor a lower one.
    pub fn allow(&self, backend: &str, fence: Epoch) -> bool {
        self.0.get(backend).is_none_or(|refused| fence > *refused)
    }

    /// Forgets backends that are not there any more.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.0.retain(|backend, _| is_there(backend));
    }

    /// How many backends have refused one.
    pub fn count(&self) -> u64 {
        self.0.len() as u64
    }
}
