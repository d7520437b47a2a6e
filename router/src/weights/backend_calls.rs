//! Calls to backends about their weights: orders, and reports of what they have.

use crate::proxy::headers::EXPECT_INSTANCE;
use compact_str::CompactString;
use control::rollout::Lacking;
use control::view::Epoch;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Patience for an order or a report.
const CALL_PATIENCE: Duration = Duration::from_millis(600);

/// What a backend reports of its weights.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(super) struct Report {
    #[serde(default)]
    models: Vec<ReportedModel>,
    /// Whether an order is under way.
    #[serde(default)]
    pub(super) busy: bool,
    /// How many orders it has taken.
    #[serde(default)]
    pub(super) sequence: u64,
}

impl Report {
    /// The version of a model's weights; 0 where it has none.
    pub(super) fn version(&self, model: &str) -> u64 {
        let told = self.models.iter().find(|told| told.name == model);
        told.map_or(0, |told| told.version)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
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

    /// What a backend reports; none where no report comes.
    pub(super) async fn report(&self, address: SocketAddrV4) -> Option<Report> {
        let url = format!("http://{address}/v1/report");
        let answer = self.client.get(url).timeout(CALL_PATIENCE).send().await.ok()?;
        serde_json::from_slice(&answer.bytes().await.ok()?).ok()
    }
}
