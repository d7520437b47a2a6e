//! A time-out failure detector that measures only the time in which the observer itself ran.
//!
//! After a pause of the observer (a stopped process, a suspended machine) all heartbeats seem
//! overdue, although it is the observer that did not receive them. Long steps of its clock are
//! therefore counted as short ones.

use crate::Millis;
use std::collections::BTreeMap;

/// The most that one step of the observer's clock counts for, in milliseconds.
const MAX_STEP_MS: Millis = 250;

/// Records the last heartbeat of each monitored key.
#[derive(Debug, Clone)]
pub struct FailureDetector<K> {
    observed: Millis,
    now: Millis,
    last_heartbeats: BTreeMap<K, Millis>,
}

impl<K: Ord + Clone> FailureDetector<K> {
    /// A detector that monitors nothing.
    pub fn new(now: Millis) -> Self {
        FailureDetector {
            observed: 0,
            now,
            last_heartbeats: BTreeMap::new(),
        }
    }

    /// Advances the observer's clock; to be called several times within each time-out.
    pub fn advance(&mut self, now: Millis) {
        self.observed += now.saturating_sub(self.now).min(MAX_STEP_MS);
        self.now = now;
    }

    /// Records a heartbeat, and monitors its key from now on.
    pub fn record_heartbeat(&mut self, key: K) {
        self.last_heartbeats.insert(key, self.observed);
    }

    /// Stops monitoring a key.
    pub fn remove(&mut self, key: &K) {
        self.last_heartbeats.remove(key);
    }

    /// Stops monitoring all other keys.
    pub fn retain(&mut self, is_wanted: impl Fn(&K) -> bool) {
        self.last_heartbeats.retain(|key, _| is_wanted(key));
    }

    /// Whether a key is monitored.
    pub fn is_monitored(&self, key: &K) -> bool {
        self.last_heartbeats.contains_key(key)
    }

    /// The keys without a heartbeat for `timeout`, in observed time.
    pub fn expired(&self, timeout: Millis) -> Vec<K> {
        let unresponsive = self
            .last_heartbeats
            .iter()
            .filter(|(_, at)| self.observed >= **at + timeout);
        unresponsive.map(|(key, _)| key.clone()).collect()
    }
}
