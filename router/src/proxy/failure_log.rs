//! Backend failures that this router observed and has not reported to the judging nodes yet.

use crate::fleet::Fleet;
use crate::sync::lock;
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// Time for which failures are batched before they are reported.
const GATHER: Duration = Duration::from_millis(100);

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

    /// Removes and returns what was recorded.
    pub fn drain(&self) -> BTreeMap<CompactString, u32> {
        std::mem::take(&mut *lock(&self.failures))
    }
}

/// Reports failures to the nodes that judge the backends, for as long as the router runs.
pub async fn run(log: Arc<FailureLog>, fleet: Arc<Fleet>) {
    loop {
        log.changed.notified().await;
        tokio::time::sleep(GATHER).await;
        fleet.report_failures(&log.drain());
    }
}
