//! Bringing new weights to the backends: the holder of the lease gives fenced orders, a few at a time.

use crate::fleet::Fleet;
use crate::links::lock;
use crate::replica::ReplicaHandle;
use compact_str::CompactString;
use control::directory::{BackendPhase, Key, Order, OrderPhase, Value};
use control::view::Epoch;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time between two looks at what has to be done.
const LOOK: Duration = Duration::from_millis(100);
/// After routers were told that a backend is about to load, so long passes before its order.
const NOTICE: Duration = Duration::from_millis(40);
/// Patience for an order or a report.
const CALL_PATIENCE: Duration = Duration::from_millis(600);
/// Time between two questions whether an order is done.
const REPORT: Duration = Duration::from_millis(150);
/// An order that is not done by then is given anew.
const ORDER_PATIENCE: Duration = Duration::from_secs(4);
/// One in so many backends of a model may load at the same time.
const LOADING_SHARE: usize = 4;

/// A backend that lacks a version.
#[derive(Debug, Clone)]
struct Lacking {
    id: CompactString,
    address: SocketAddrV4,
    model: CompactString,
    version: u64,
}

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

/// Gives orders while this node holds the lease.
pub struct Orders {
    fleet: Arc<Fleet>,
    replica: ReplicaHandle,
    client: reqwest::Client,
    number: AtomicU64,
}

impl Orders {
    /// The orders of a node with a replica.
    pub fn new(fleet: Arc<Fleet>, replica: ReplicaHandle, client: reqwest::Client) -> Arc<Self> {
        Arc::new(Orders { fleet, replica, client, number: AtomicU64::new(1) })
    }

    /// Keeps looking for backends that lack weights.
    pub async fn run(self: Arc<Self>) {
        let mut held: Option<(Epoch, Instant)> = None;
        let mut under_way: HashMap<CompactString, tokio::task::JoinHandle<()>> = HashMap::new();
        loop {
            tokio::time::sleep(LOOK).await;
            under_way.retain(|_, task| !task.is_finished());
            let Some(fence) = self.replica.fence() else {
                held = None;
                continue;
            };
            let (_, since) = *held.insert(match held {
                Some((epoch, since)) if epoch == fence => (epoch, since),
                // The same holder goes on at once; a new one lets the former's time pass.
                Some((_, since)) => (fence, since),
                None => (fence, Instant::now()),
            });
            if since.elapsed() < self.takeover_wait() {
                continue;
            }
            let (lacking, most) = self.lacking();
            for backend in lacking {
                if under_way.len() >= most {
                    break;
                }
                under_way
                    .entry(backend.id.clone())
                    .or_insert_with(|| tokio::spawn(Arc::clone(&self).bring(backend)));
            }
        }
    }

    /// A new holder waits until no order of a former one can cross its own. The first epoch has no former holder.
    fn takeover_wait(&self) -> Duration {
        let first = self.replica.fence() == Some(1);
        let lease = Duration::from_millis(self.fleet.settings.bounds.lease_ms);
        if first { Duration::ZERO } else { lease + Duration::from_millis(100) }
    }

    /// Backends that lack the newest version of a model, and how many may load at the same time.
    fn lacking(&self) -> (Vec<Lacking>, usize) {
        let published = lock(&self.fleet.published);
        let directory = lock(&self.fleet.directory);
        let mut lacking = Vec::new();
        let mut all: usize = 0;
        for (id, backend) in directory.backends() {
            if backend.phase != BackendPhase::Ready || backend.silent || backend.models.is_empty() {
                continue;
            }
            all += 1;
            let order = directory.order(id);
            for (model, version) in &backend.models {
                let Some(target) = published.weights().get(model) else { continue };
                let done = order.is_some_and(|order| {
                    order.model == *model
                        && order.version >= target.version
                        && order.phase == OrderPhase::Done
                });
                if *version < target.version && !done {
                    lacking.push(Lacking {
                        id: id.clone(),
                        address: backend.address,
                        model: model.clone(),
                        version: target.version,
                    });
                }
            }
        }
        (lacking, all.div_ceil(LOADING_SHARE).max(1))
    }

    fn note(&self, backend: &Lacking, fence: Epoch, phase: OrderPhase) {
        let order = Order {
            fence,
            number: self.number.fetch_add(1, Ordering::Relaxed),
            model: backend.model.clone(),
            version: backend.version,
            phase,
        };
        self.fleet.put(Key::Order(backend.id.clone()), Value::Order(order));
    }

    /// Brings one backend to a version.
    async fn bring(self: Arc<Self>, backend: Lacking) {
        let Some(fence) = self.replica.fence() else { return };
        self.note(&backend, fence, OrderPhase::UnderWay);
        tokio::time::sleep(NOTICE).await;
        let begun = Instant::now();
        let taken = self.order(&backend).await;
        if taken == Some(true) {
            self.note(&backend, fence, OrderPhase::Done);
            return;
        }
        while begun.elapsed() < ORDER_PATIENCE && self.replica.leads() {
            tokio::time::sleep(REPORT).await;
            if self.has_version(&backend).await == Some(true) {
                self.note(&backend, fence, OrderPhase::Done);
                return;
            }
            if taken.is_none() && begun.elapsed() > 4 * REPORT {
                return;
            }
        }
    }

    /// Gives the order: whether the version holds already, or none where it is not known to be taken.
    async fn order(&self, backend: &Lacking) -> Option<bool> {
        // The fence is read right before the effect: it is none once the lease has ended.
        let fence = self.replica.fence()?;
        let body = serde_json::json!({
            "operation": "version", "model": backend.model.as_str(), "version": backend.version, "method": "retain",
            "holder": self.fleet.settings.node_name.as_str(), "fenceToken": fence,
        });
        let url = format!("http://{}/v1/order", backend.address);
        let call = self.client.post(url).header("content-type", "application/json").body(body.to_string());
        let answer = call.timeout(CALL_PATIENCE).send().await.ok()?;
        match answer.status().as_u16() {
            200 => Some(true),
            202 | 409 => Some(false),
            status => {
                log::warn!("backend {} answered an order with {status}", backend.id);
                None
            }
        }
    }

    async fn has_version(&self, backend: &Lacking) -> Option<bool> {
        let url = format!("http://{}/v1/report", backend.address);
        let answer = self.client.get(url).timeout(CALL_PATIENCE).send().await.ok()?;
        let report: Report = serde_json::from_slice(&answer.bytes().await.ok()?).ok()?;
        let has = |model: &ReportedModel| model.name == backend.model && model.version >= backend.version;
        Some(!report.busy && report.models.iter().any(has))
    }
}
