//! Backend failures that this router has observed but not yet reported to the nodes that decide
//! whether backends are suspected.

use crate::fleet::Fleet;
use crate::sync::lock;
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// Time for which failures are batched before they are reported.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Number of failures by backend.
#[derive(Debug, Default)]
pub struct FailureLog {
    failures: Mutex<BTreeMap<CompactString, u32>>,
    changed: Notify,
}

impl FailureLog {
    /// Records a failure.
    pub fn record(&self, backend: &CompactString) {
        *lock(&self.failures).entry(backend.clone()).or_default() += 1;
        self.changed.notify_one();
    }

    /// Removes and returns all recorded failures.
    pub fn drain(&self) -> BTreeMap<CompactString, u32> {
        std::mem::take(&mut *lock(&self.failures))
    }
}

/// Reports failures until the router exits. Each failure goes to the node that decides whether the
/// backend is suspected.
pub async fn run(log: Arc<FailureLog>, fleet: Arc<Fleet>) {
    loop {
        log.changed.notified().await;
        tokio::time::sleep(BATCH_INTERVAL).await;
        fleet.report_failures(&log.drain());
    }
}
