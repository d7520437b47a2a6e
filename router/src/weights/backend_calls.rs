//! Calls to backends about their weights: orders, and reports of what they have.

use crate::proxy::headers::EXPECT_INSTANCE;
use compact_str::CompactString;
use control::rollout::Lacking;
use control::view::Epoch;
use serde::Deserialize;
use std::time::Duration;

/// Patience for an order or a report.
const CALL_PATIENCE: Duration = Duration::from_millis(600);

#[derive(Debug, Deserialize)]
struct Report {
    #[serde(default)]
    models: Vec<ReportedModel>,
    #[serde(default)]
    busy: bool,
}

#[derive(Debug, Deserialize)]
struct ReportedModel {
    name: CompactString,
    version: u64,
}

/// How a backend answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderAnswer {
    /// It has the version already.
    Holds,
    /// It is being done, or another order is.
    UnderWay,
    /// Another holder has used a higher fencing token.
    Fenced,
    /// It was not given, as this node does not hold the lease any more.
    NotGiven,
    /// It is not known to be taken.
    Unknown,
}

/// The way to backends.
pub(super) struct BackendCalls {
    client: reqwest::Client,
}

impl BackendCalls {
    pub(super) fn new(client: reqwest::Client) -> Self {
        BackendCalls { client }
    }

    /// Gives an order under a fencing token.
    pub(super) async fn order(&self, backend: &Lacking, holder: &str, fence: Epoch) -> OrderAnswer {
        let body = serde_json::json!({
            "operation": "version", "model": backend.model.as_str(), "version": backend.version, "method": "retain",
            "holder": holder, "fenceToken": fence,
        });
        let url = format!("http://{}/v1/order", backend.address);
        let call = self.client.post(url).header("content-type", "application/json");
        // Another incarnation at this address, or after a restart, does not take it.
        let call = call.header(EXPECT_INSTANCE.as_str(), backend.id.as_str()).body(body.to_string());
        let Ok(answer) = call.timeout(CALL_PATIENCE).send().await else { return OrderAnswer::Unknown };
        match answer.status().as_u16() {
            200 => OrderAnswer::Holds,
            202 | 409 => OrderAnswer::UnderWay,
            412 => {
                log::warn!("backend {} has seen a higher fencing token than {fence}", backend.id);
                OrderAnswer::Fenced
            }
            status => {
                log::warn!("backend {} answered an order with {status}", backend.id);
                OrderAnswer::Unknown
            }
        }
    }

    /// Whether a backend has the version, by its own report; none where none comes.
    pub(super) async fn has_version(&self, backend: &Lacking) -> Option<bool> {
        let url = format!("http://{}/v1/report", backend.address);
        let answer = self.client.get(url).timeout(CALL_PATIENCE).send().await.ok()?;
        let report: Report = serde_json::from_slice(&answer.bytes().await.ok()?).ok()?;
        let has = |model: &ReportedModel| model.name == backend.model && model.version >= backend.version;
        Some(!report.busy && report.models.iter().any(has))
    }
}
