//! Faults of backends that this router saw and has not told of yet.

use crate::fleet::Fleet;
use crate::sync::lock;
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// Faults are gathered for so long before they are told.
const GATHER: Duration = Duration::from_millis(100);

/// The faults by backend.
#[derive(Debug, Default)]
pub struct FailureLog {
    faults: Mutex<BTreeMap<CompactString, u32>>,
    changed: Notify,
}

impl FailureLog {
    /// Notes a fault.
    pub fn note(&self, backend: &CompactString) {
        *lock(&self.faults).entry(backend.clone()).or_default() += 1;
        self.changed.notify_one();
    }

    /// Takes what was noted.
    pub fn take(&self) -> BTreeMap<CompactString, u32> {
        std::mem::take(&mut *lock(&self.faults))
    }
}

/// Tells the nodes that judge backends of what is noted, as long as the router runs.
pub async fn run(log: Arc<FailureLog>, fleet: Arc<Fleet>) {
    loop {
        log.changed.notified().await;
        tokio::time::sleep(GATHER).await;
        fleet.report_faults(&log.take());
    }
}
