//! The versions of the weights that a backend has, as this router observes them. The latest
//! observation wins, whether its version is newer or older.
//!
//! Heartbeats and orders are numbered, so stale ones are ignored. Responses are not numbered and
//! may be reordered, so a successful one can only raise a version. A rejection for a version
//! mismatch was made after the expected version was observed here, and refutes it.

use compact_str::CompactString;
use control::Millis;
use control::directory::{Backend, Order, OrderPhase};
use std::collections::HashMap;

/// A refuted version stays refuted until the next observation, and for this long at most, in
/// milliseconds: longer than the heartbeat interval.
const REFUTED_FOR: Millis = 1_500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ObservedVersion {
    version: u64,
    refuted_at: Option<Millis>,
}

impl ObservedVersion {
    fn reported(version: u64) -> Self {
        ObservedVersion {
            version,
            refuted_at: None,
        }
    }
}

/// Observed versions of one backend's weights, by model.
#[derive(Debug, Clone, Default)]
pub struct ObservedWeights {
    by_model: HashMap<CompactString, ObservedVersion>,
    heartbeat: Option<u64>,
    done: Option<(u64, u64)>,
}

impl ObservedWeights {
    /// Applies the latest heartbeat.
    pub fn observe_heartbeat(&mut self, registered: &Backend) {
        if self
            .heartbeat
            .is_some_and(|heartbeat| registered.sequence <= heartbeat)
        {
            return;
        }
        self.heartbeat = Some(registered.sequence);
        for (model, version) in &registered.models {
            self.by_model
                .insert(model.clone(), ObservedVersion::reported(*version));
        }
    }

    /// Applies the latest order. Orders only raise versions.
    pub fn observe_order(&mut self, order: &Order) {
        let priority = (order.fencing_token, order.number);
        if order.phase != OrderPhase::Done || self.done.is_some_and(|done| priority <= done) {
            return;
        }
        self.done = Some(priority);
        if self
            .version(&order.model)
            .is_none_or(|version| version <= order.version)
        {
            self.by_model.insert(
                order.model.clone(),
                ObservedVersion::reported(order.version),
            );
        }
    }

    /// Applies the version stated in a successful response.
    pub fn observe_response(&mut self, model: &str, version: u64) {
        if self.version(model).is_none_or(|known| known < version) {
            self.by_model
                .insert(model.into(), ObservedVersion::reported(version));
        }
    }

    /// Applies a rejection of a request that expected another version. The response may state the
    /// actual one.
    pub fn observe_rejection(
        &mut self,
        model: &str,
        expected: u64,
        reported: Option<u64>,
        now: Millis,
    ) {
        let reported = reported.filter(|reported| *reported != expected);
        match (self.by_model.get_mut(model), reported) {
            (_, Some(reported)) => {
                self.by_model
                    .insert(model.into(), ObservedVersion::reported(reported));
            }
            (Some(known), None) if known.version == expected => known.refuted_at = Some(now),
            _ => {}
        }
    }

    /// The observed version of a model's weights.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.by_model.get(model).map(|known| known.version)
    }

    /// Returns whether the observed version was refuted and not observed again since.
    pub fn is_refuted(&self, model: &str, now: Millis) -> bool {
        let refuted_at = self.by_model.get(model).and_then(|known| known.refuted_at);
        refuted_at.is_some_and(|at| now < at + REFUTED_FOR)
    }

    /// Observed versions by model.
    pub fn versions(&self) -> HashMap<CompactString, u64> {
        self.by_model
            .iter()
            .map(|(model, known)| (model.clone(), known.version))
            .collect()
    }
}
