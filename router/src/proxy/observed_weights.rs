//! The versions of a backend's weights, as observed by this router. The latest observation wins,
//! even if its version is older.
//!
//! Heartbeats and orders are numbered, so stale ones are ignored. Responses are not numbered and
//! may be reordered, so a successful response can only raise a version. A rejection for a version
//! mismatch is sent after this router has observed the expected version, and therefore refutes it.

use compact_str::CompactString;
use control::Millis;
use control::directory::{Backend, Order, OrderPhase};
use std::collections::HashMap;

/// Maximum time for which a version stays refuted without a new observation, in milliseconds. It is
/// longer than the heartbeat interval.
const MAX_REFUTED_TIME: Millis = 1_500;

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
    last_heartbeat: Option<u64>,
    /// Fencing token and number of the latest completed order.
    last_completed_order: Option<(u64, u64)>,
}

impl ObservedWeights {
    /// Applies a heartbeat, unless it is stale.
    pub fn observe_heartbeat(&mut self, registered: &Backend) {
        if self
            .last_heartbeat
            .is_some_and(|last| registered.sequence <= last)
        {
            return;
        }
        self.last_heartbeat = Some(registered.sequence);
        for (model, version) in &registered.models {
            self.by_model
                .insert(model.clone(), ObservedVersion::reported(*version));
        }
    }

    /// Applies a completed order, unless it is stale. Orders only raise versions.
    pub fn observe_order(&mut self, order: &Order) {
        let order_id = (order.fencing_token, order.number);
        if order.phase != OrderPhase::Done
            || self
                .last_completed_order
                .is_some_and(|last| order_id <= last)
        {
            return;
        }
        self.last_completed_order = Some(order_id);
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

    /// Applies a rejection of a request that expected another version. `reported` is the actual
    /// version, if the response states it.
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
        refuted_at.is_some_and(|at| now < at + MAX_REFUTED_TIME)
    }

    /// Observed versions by model.
    pub fn versions(&self) -> HashMap<CompactString, u64> {
        self.by_model
            .iter()
            .map(|(model, known)| (model.clone(), known.version))
            .collect()
    }
}
