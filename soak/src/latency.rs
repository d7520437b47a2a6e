//! Measures how long acknowledgements take: of withdrawals of backends, one at a time and many at
//! once, and of changes by operators.

use crate::fleet::{Fleet, StartError};
use crate::history::{Policy, Reply};
use crate::settings::Size;
use std::fmt;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// The time-out of one call, after which it counts as not acknowledged.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of backends that withdraw at the same time in the second measurement.
const CONCURRENT: usize = 50;
/// The number of changes by operators.
const MAX_CHANGES: u64 = 200;

/// Latencies of one kind of call.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    acknowledged: Vec<Duration>,
    failed: usize,
}

impl Latencies {
    fn record(&mut self, latency: Option<Duration>) {
        match latency {
            Some(latency) => self.acknowledged.push(latency),
            None => self.failed += 1,
        }
    }

    /// The latency that this share of the calls, in percent, does not exceed.
    fn percentile(&self, percent: usize) -> Duration {
        let mut sorted = self.acknowledged.clone();
        sorted.sort();
        let rank = (sorted.len() * percent).div_ceil(100);
        sorted
            .get(rank.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    }
}

impl fmt::Display for Latencies {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |percent| self.percentile(percent).as_secs_f64() * 1_000.0;
        write!(
            formatter,
            "p50 {:.2} ms, p99 {:.2} ms, longest {:.2} ms; {} acknowledged, {} not",
            ms(50),
            ms(99),
            ms(100),
            self.acknowledged.len(),
            self.failed
        )
    }
}

/// The latencies of a fleet without faults.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Heartbeats that report draining, one at a time.
    pub draining: Latencies,
    /// Deregistrations, one at a time.
    pub deregistrations: Latencies,
    /// Deregistrations, many at once.
    pub concurrent_deregistrations: Latencies,
    /// Configurations.
    pub configurations: Latencies,
    /// Versions of weights.
    pub weights: Latencies,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "draining: {}", self.draining)?;
        writeln!(formatter, "deregistration: {}", self.deregistrations)?;
        writeln!(
            formatter,
            "deregistration, {CONCURRENT} at once: {}",
            self.concurrent_deregistrations
        )?;
        writeln!(formatter, "configuration: {}", self.configurations)?;
        write!(formatter, "version of weights: {}", self.weights)
    }
}

/// Measures the latencies of a new fleet with `samples` backends.
///
/// # Errors
/// The fleet can't be started.
pub async fn measure(
    program: &Path,
    folder: &Path,
    size: Size,
    samples: usize,
) -> Result<Report, StartError> {
    let fleet = Fleet::start(program, folder, size)?;
    fleet.configure(folder).await?;
    let mut report = Report::default();
    for number in 0..samples {
        let backend = register(&fleet, number).await;
        report
            .draining
            .record(backend.call("heartbeat", 2, "draining").await);
        report
            .deregistrations
            .record(backend.call("deregister", 3, "draining").await);
    }
    let mut number = samples;
    while number < 2 * samples {
        let mut calls = JoinSet::new();
        for _ in 0..CONCURRENT {
            let backend = register(&fleet, number).await;
            calls.spawn(async move { backend.call("deregister", 2, "ready").await });
            number += 1;
        }
        for latency in calls.join_all().await {
            report.concurrent_deregistrations.record(latency);
        }
    }
    for version in 2..2 + MAX_CHANGES.min(samples as u64) {
        let started_at = Instant::now();
        let reply = fleet
            .operator
            .configure(version - 1, version, Policy::Relaxed)
            .await;
        report
            .configurations
            .record((reply == Reply::Acknowledged).then(|| started_at.elapsed()));
        let started_at = Instant::now();
        let reply = fleet.operator.announce_weights(version).await;
        report
            .weights
            .record((reply == Reply::Acknowledged).then(|| started_at.elapsed()));
    }
    fleet.stop().await;
    Ok(report)
}

/// A backend that only calls the routers.
struct RegisteredBackend {
    url: String,
    client: reqwest::Client,
}

/// Registers a backend at a random router.
async fn register(fleet: &Fleet, number: usize) -> RegisteredBackend {
    let router: SocketAddrV4 = fleet
        .addresses
        .control(fastrand::usize(..fleet.size.routers));
    let backend = RegisteredBackend {
        url: format!("http://{router}/v1/instances/i-{number}"),
        client: fleet.client.clone(),
    };
    while backend.call("heartbeat", 1, "ready").await.is_none() {}
    backend
}

impl RegisteredBackend {
    /// Calls the router. Returns how long the acknowledgement took, if there was one.
    async fn call(&self, operation: &str, sequence: u64, state: &str) -> Option<Duration> {
        let body = serde_json::json!({
            "service": "s", "address": "127.0.0.1:9", "zone": "z0", "version": "v1", "slots": 1,
            "state": state, "coldRemainingMs": 0, "sequence": sequence, "stage": "both", "models": [],
        });
        let started_at = Instant::now();
        let request = self
            .client
            .post(format!("{}/{operation}", self.url))
            .body(body.to_string())
            .timeout(CALL_TIMEOUT);
        let response = request.send().await.ok()?;
        response.status().is_success().then(|| started_at.elapsed())
    }
}
