//! Which versions of weights a backend has, as far as one router knows: the last word counts,
//! whether it tells a newer version or an older one.
//!
//! Heartbeats are numbered, and so are orders. Answers are not: they may pass each other, so one
//! that was served can only raise a version. One that turned a request away for its version was
//! made after that version was known here, and refutes it.

use compact_str::CompactString;
use control::Millis;
use control::directory::{Backend, Order, OrderPhase};
use std::collections::HashMap;

/// A version that was refuted counts as refuted until something new is told, and for this long at
/// the most: longer than a backend's heartbeats lie apart.
const REFUTED_FOR: Millis = 1_500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Known {
    version: u64,
    refuted_at: Option<Millis>,
}

impl Known {
    fn told(version: u64) -> Self {
        Known {
            version,
            refuted_at: None,
        }
    }
}

/// What is known of one backend's weights.
#[derive(Debug, Clone, Default)]
pub struct KnownWeights {
    by_model: HashMap<CompactString, Known>,
    heartbeat: Option<u64>,
    done: Option<(u64, u64)>,
}

impl KnownWeights {
    /// Takes what the last heartbeat that is known told.
    pub fn take_heartbeat(&mut self, registered: &Backend) {
        if self
            .heartbeat
            .is_some_and(|heartbeat| registered.sequence <= heartbeat)
        {
            return;
        }
        self.heartbeat = Some(registered.sequence);
        for (model, version) in &registered.models {
            self.by_model.insert(model.clone(), Known::told(*version));
        }
    }

    /// Takes the last order that is known. Orders only raise versions.
    pub fn take_order(&mut self, order: &Order) {
        let rank = (order.fencing_token, order.number);
        if order.phase != OrderPhase::Done || self.done.is_some_and(|done| rank <= done) {
            return;
        }
        self.done = Some(rank);
        if self
            .version(&order.model)
            .is_none_or(|version| version <= order.version)
        {
            self.by_model
                .insert(order.model.clone(), Known::told(order.version));
        }
    }

    /// An answer that was served told the version.
    pub fn take_answer(&mut self, model: &str, version: u64) {
        if self.version(model).is_none_or(|known| known < version) {
            self.by_model.insert(model.into(), Known::told(version));
        }
    }

    /// A request was turned away that expected a version. The answer may tell which one there is
    /// instead.
    pub fn was_turned_away(&mut self, model: &str, expected: u64, told: Option<u64>, now: Millis) {
        let told = told.filter(|told| *told != expected);
        match (self.by_model.get_mut(model), told) {
            (_, Some(told)) => {
                self.by_model.insert(model.into(), Known::told(told));
            }
            (Some(known), None) if known.version == expected => known.refuted_at = Some(now),
            _ => {}
        }
    }

    /// The version of a model's weights.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.by_model.get(model).map(|known| known.version)
    }

    /// Whether the version that is known was refuted, and nothing new was told since.
    pub fn is_refuted(&self, model: &str, now: Millis) -> bool {
        let refuted_at = self.by_model.get(model).and_then(|known| known.refuted_at);
        refuted_at.is_some_and(|at| now < at + REFUTED_FOR)
    }

    /// Versions by model.
    pub fn versions(&self) -> HashMap<CompactString, u64> {
        self.by_model
            .iter()
            .map(|(model, known)| (model.clone(), known.version))
            .collect()
    }
}
