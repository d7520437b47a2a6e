//! Detecting silence by counted time: time in which the observer itself stood still does not count.

use crate::Millis;
use std::collections::BTreeMap;

/// The most that one step of the observer's clock counts for.
const MAX_STEP_MS: Millis = 250;

/// Notes when things were last heard.
#[derive(Debug, Clone)]
pub struct FailureDetector<K> {
    observed: Millis,
    now: Millis,
    last_heartbeats: BTreeMap<K, Millis>,
}

impl<K: Ord + Clone> FailureDetector<K> {
    /// Nothing was heard yet.
    pub fn new(now: Millis) -> Self {
        FailureDetector {
            observed: 0,
            now,
            last_heartbeats: BTreeMap::new(),
        }
    }

    /// The observer's clock goes on; to be called several times within each patience.
    pub fn advance(&mut self, now: Millis) {
        self.observed += now.saturating_sub(self.now).min(MAX_STEP_MS);
        self.now = now;
    }

    /// Something was heard.
    pub fn record_heartbeat(&mut self, key: K) {
        self.last_heartbeats.insert(key, self.observed);
    }

    /// Something is no longer awaited.
    pub fn remove(&mut self, key: &K) {
        self.last_heartbeats.remove(key);
    }

    /// Goes on awaiting only some.
    pub fn retain(&mut self, is_wanted: impl Fn(&K) -> bool) {
        self.last_heartbeats.retain(|key, _| is_wanted(key));
    }

    /// Whether something is awaited.
    pub fn is_monitored(&self, key: &K) -> bool {
        self.last_heartbeats.contains_key(key)
    }

    /// What was not heard for so long.
    pub fn expired(&self, timeout: Millis) -> Vec<K> {
        let unresponsive = self
            .last_heartbeats
            .iter()
            .filter(|(_, at)| self.observed >= **at + timeout);
        unresponsive.map(|(key, _)| key.clone()).collect()
    }
}
