//! Detecting silence by counted time: time in which the observer itself stood still does not count.

use crate::Millis;
use std::collections::BTreeMap;

/// The most that one step of the observer's clock counts for.
const LONGEST_STEP: Millis = 250;

/// Notes when things were last heard.
#[derive(Debug, Clone)]
pub struct FailureDetector<K> {
    counted: Millis,
    now: Millis,
    heard: BTreeMap<K, Millis>,
}

impl<K: Ord + Clone> FailureDetector<K> {
    /// Nothing was heard yet.
    pub fn new(now: Millis) -> Self {
        FailureDetector {
            counted: 0,
            now,
            heard: BTreeMap::new(),
        }
    }

    /// The observer's clock goes on; to be called several times within each patience.
    pub fn advance(&mut self, now: Millis) {
        self.counted += now.saturating_sub(self.now).min(LONGEST_STEP);
        self.now = now;
    }

    /// Something was heard.
    pub fn record_heartbeat(&mut self, key: K) {
        self.heard.insert(key, self.counted);
    }

    /// Something is no longer awaited.
    pub fn remove(&mut self, key: &K) {
        self.heard.remove(key);
    }

    /// Goes on awaiting only some.
    pub fn retain(&mut self, wanted: impl Fn(&K) -> bool) {
        self.heard.retain(|key, _| wanted(key));
    }

    /// Whether something is awaited.
    pub fn is_monitored(&self, key: &K) -> bool {
        self.heard.contains_key(key)
    }

    /// What was not heard for so long.
    pub fn expired(&self, patience: Millis) -> Vec<K> {
        let unresponsive = self
            .heard
            .iter()
            .filter(|(_, at)| self.counted >= **at + patience);
        unresponsive.map(|(key, _)| key.clone()).collect()
    }
}
