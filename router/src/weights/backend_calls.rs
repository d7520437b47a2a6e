//! Calls to backends about their weights: orders, and reports of what they have.

use crate::proxy::headers::EXPECT_INSTANCE;
use compact_str::CompactString;
use control::rollout::{ConditionalOrder, OutdatedBackend, ReportedWeights};
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
    #[serde(default)]
    sequence: u64,
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
    /// It is being done.
    Taken,
    /// Another order is being done, or was taken in its place.
    Overtaken,
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
    pub(super) async fn order(
        &self,
        backend: &OutdatedBackend,
        order: ConditionalOrder,
        holder: &str,
        fencing_token: Epoch,
    ) -> OrderAnswer {
        let body = serde_json::json!({
            "operation": "version", "model": backend.model.as_str(), "version": order.version, "method": "retain",
            "holder": holder, "fenceToken": fencing_token, "ifRevision": order.if_accepted_orders,
        });
        let url = format!("http://{}/v1/order", backend.address);
        let call = self
            .client
            .post(url)
            .header("content-type", "application/json");
        // Another incarnation at this address, or after a restart, does not take it.
        let call = call
            .header(EXPECT_INSTANCE.as_str(), backend.id.as_str())
            .body(body.to_string());
        let Ok(answer) = call.timeout(CALL_PATIENCE).send().await else {
            return OrderAnswer::Unknown;
        };
        match answer.status().as_u16() {
            200 => OrderAnswer::Holds,
            202 => OrderAnswer::Taken,
            409 => OrderAnswer::Overtaken,
            412 => {
                log::warn!(
                    "backend {} has seen a higher fencing token than {fencing_token}",
                    backend.id
                );
                OrderAnswer::Fenced
            }
            status => {
                log::warn!("backend {} answered an order with {status}", backend.id);
                OrderAnswer::Unknown
            }
        }
    }

    /// What a backend reports of the model's weights; none where no report comes.
    pub(super) async fn report(&self, backend: &OutdatedBackend) -> Option<ReportedWeights> {
        let url = format!("http://{}/v1/report", backend.address);
        let call = self
            .client
            .get(url)
            .header(EXPECT_INSTANCE.as_str(), backend.id.as_str());
        let answer = call
            .timeout(CALL_PATIENCE)
            .send()
            .await
            .ok()?
            .error_for_status()
            .ok()?;
        let report: Report = serde_json::from_slice(&answer.bytes().await.ok()?).ok()?;
        let model = report
            .models
            .iter()
            .find(|model| model.name == backend.model);
        let version = model.map_or(0, |model| model.version);
        Some(ReportedWeights {
            version,
            is_busy: report.busy,
            accepted_orders: report.sequence,
        })
    }
}
