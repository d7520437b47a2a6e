//! Operators, which send configurations and weight versions to random routers, and retry while the
//! outcome is unknown.

use crate::clock::Clock;
use crate::history::{Change, ChangeRecord, Policy, Recorder, Reply, Tenant};
use crate::settings::ROUTE_TIMEOUT_MS;
use serde_json::json;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// The time-out of one request.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The longest time in which a change is retried.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// The time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// An operator.
pub struct Operator {
    /// The run's clock.
    pub clock: Clock,
    /// Where changes are recorded.
    pub recorder: Arc<Recorder>,
    /// The control addresses of the routers.
    pub control: Vec<SocketAddrV4>,
    /// The HTTP client.
    pub client: reqwest::Client,
    /// The next number to distinguish configurations with the same version.
    pub variants: AtomicU64,
}

impl Operator {
    fn random_router(&self) -> SocketAddrV4 {
        self.control[fastrand::usize(..self.control.len())]
    }

    /// Sends a configuration that replaces version `base`, and retries until the outcome is known
    /// or the time-out.
    pub async fn configure(&self, base: u64, version: u64, policy: Policy) -> Reply {
        let variant = self.variants.fetch_add(1, Ordering::Relaxed);
        let body = configuration(version, variant, policy);
        let send = |address: SocketAddrV4| {
            let url = format!("http://{address}/v1/configuration/replace");
            self.client
                .post(url)
                .header("x-base-version", base.to_string())
                .body(body.clone())
        };
        self.change(
            Change::Configuration {
                base,
                version,
                variant,
                policy,
            },
            send,
        )
        .await
    }

    /// Announces a version of the weights, and retries until the outcome is known or the time-out.
    pub async fn announce_weights(&self, version: u64) -> Reply {
        let body = json!({"model": "m", "version": version}).to_string();
        let send = |address: SocketAddrV4| {
            self.client
                .post(format!("http://{address}/v1/version-put"))
                .body(body.clone())
        };
        self.change(Change::Weights(version), send).await
    }

    async fn change(
        &self,
        change: Change,
        send: impl Fn(SocketAddrV4) -> reqwest::RequestBuilder,
    ) -> Reply {
        let sent_at = self.clock.now();
        let started_at = Instant::now();
        let mut reply = Reply::Unknown;
        while reply == Reply::Unknown && started_at.elapsed() < CHANGE_TIMEOUT {
            let response = send(self.random_router())
                .timeout(CALL_TIMEOUT)
                .send()
                .await;
            reply = match response.map(|response| response.status().as_u16()) {
                Ok(200) => Reply::Acknowledged,
                Ok(status @ (400 | 412)) => Reply::Refused(status),
                _ => Reply::Unknown,
            };
            if reply == Reply::Unknown {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        let record = ChangeRecord {
            change,
            sent_at,
            answered_at: self.clock.now(),
            reply,
        };
        self.recorder.lock().changes.push(record);
        reply
    }

    /// Returns the version of the newest configuration from a linearizable read, retried until the
    /// time-out.
    pub async fn read_back(&self, timeout: Duration) -> Option<u64> {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            let url = format!("http://{}/v1/configuration/read", self.random_router());
            if let Ok(response) = self.client.get(url).timeout(CALL_TIMEOUT).send().await
                && response.status() == 200
                && let Ok(body) = response.bytes().await
                && let Ok(body) = serde_json::from_slice::<serde_json::Value>(&body)
            {
                return body["version"].as_u64();
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        None
    }
}

/// A configuration with a route of each kind, and a route that distinguishes configurations with
/// the same version.
fn configuration(version: u64, variant: u64, policy: Policy) -> String {
    let route = |name: &str, kind: &str, attempts: u64, resumable: bool| {
        json!({"name": name, "host": "h", "pathPrefix": format!("/{name}/"), "kind": kind, "timeoutMs": ROUTE_TIMEOUT_MS,
               "targetLatencyMs": 300, "service": "s", "attempts": attempts, "resumable": resumable})
    };
    let is_strict = policy == Policy::Strict;
    let (kind, attempts) = if is_strict {
        ("unsafe", 1)
    } else {
        ("safe", 2)
    };
    json!({
        "version": version,
        "routes": [route("unsafe", "unsafe", 1, false), route("safe", "safe", 2, false),
                   route("resumable", "streaming", 3, true),
                   route("configured", kind, attempts, false), route(&format!("variant-{variant}"), "safe", 1, false)],
        "services": [{"name": "s", "healthPath": "/health", "connectionLimit": 1_000}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "t1", "apiKeys": [Tenant::First.api_key()]},
                    {"name": "t2", "apiKeys": [Tenant::Second.api_key()], "isolated": is_strict}],
    })
    .to_string()
}
