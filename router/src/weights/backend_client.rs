//! Client of the backends' weights API: orders and reports.

#[cfg(test)]
mod tests;

use crate::proxy::headers::EXPECT_INSTANCE;
use crate::response_body;
use compact_str::CompactString;
use control::rollout::{ConditionalOrder, OutdatedBackend, ReportedWeights};
use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// Time limit of a call to a backend.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

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

/// Response of a backend to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderResponse {
    /// The backend has the version already.
    UpToDate,
    /// The order was accepted and is in progress.
    Accepted,
    /// Another order is in progress, or was accepted since the report.
    Conflict,
    /// The backend has seen a higher fencing token.
    StaleToken,
    /// The order was not sent, as this node's lease has ended.
    LeaseLost,
    /// The outcome is unknown.
    Unknown,
}

impl fmt::Display for OrderResponse {
    /// Writes the name of the response in log lines. The operators' documentation lists these
    /// names, so they are stable.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            OrderResponse::UpToDate => "Holds",
            OrderResponse::Accepted => "Taken",
            OrderResponse::Conflict => "Overtaken",
            OrderResponse::StaleToken => "Fenced",
            OrderResponse::LeaseLost => "NotGiven",
            OrderResponse::Unknown => "Unknown",
        })
    }
}

/// Client of the backends' weights API.
pub(super) struct BackendClient {
    client: reqwest::Client,
}

impl BackendClient {
    pub(super) fn new(client: reqwest::Client) -> Self {
        BackendClient { client }
    }

    /// Sends an order with a fencing token.
    pub(super) async fn order(
        &self,
        backend: &OutdatedBackend,
        order: ConditionalOrder,
        holder: &str,
        fencing_token: u64,
    ) -> OrderResponse {
        let body = serde_json::json!({
            "operation": "version", "model": backend.model.as_str(), "version": order.version, "method": "retain",
            "holder": holder, "fenceToken": fencing_token, "ifRevision": order.if_accepted_orders,
        });
        let url = format!("http://{}/v1/order", backend.address);
        let call = self
            .client
            .post(url)
            .header("content-type", "application/json");
        // Another instance at this address must reject the order.
        let call = call
            .header(EXPECT_INSTANCE.as_str(), backend.id.as_str())
            .body(body.to_string());
        let Ok(response) = call.timeout(CALL_TIMEOUT).send().await else {
            return OrderResponse::Unknown;
        };
        match response.status().as_u16() {
            200 => OrderResponse::UpToDate,
            202 => OrderResponse::Accepted,
            409 => OrderResponse::Conflict,
            412 => {
                log::warn!(
                    "backend {} has seen a higher fencing token than {fencing_token}",
                    backend.id
                );
                OrderResponse::StaleToken
            }
            status => {
                log::warn!(
                    "backend {} responded to an order with unexpected status {status}",
                    backend.id
                );
                OrderResponse::Unknown
            }
        }
    }

    /// Reads a backend's report of the model's weights; `None` if the call fails or its response is
    /// not a valid report.
    pub(super) async fn report(&self, backend: &OutdatedBackend) -> Option<ReportedWeights> {
        let url = format!("http://{}/v1/report", backend.address);
        let call = self
            .client
            .get(url)
            .header(EXPECT_INSTANCE.as_str(), backend.id.as_str());
        let response = call
            .timeout(CALL_TIMEOUT)
            .send()
            .await
            .ok()?
            .error_for_status()
            .ok()?;
        let body = response_body::read(response, MAX_REPORT_BYTES).await.ok()?;
        let report: Report = serde_json::from_slice(&body).ok()?;
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
