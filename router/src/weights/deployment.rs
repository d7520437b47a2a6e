//! Deploys a version to one backend: reads its report, sends an order conditional on that report,
//! and waits for the order to complete.

use super::RolloutController;
use super::backend_client::OrderResponse;
use crate::clock;
use crate::counters::Event;
use crate::sync::lock;
use control::directory::{Key, Order, OrderPhase, Value};
use control::rollout::{ConditionalOrder, NextStep, OrderProgress, OutdatedBackend};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time from notifying the routers that a backend is about to load until its order is sent, beyond
/// the batching delay of updates. Within this time routers stop sending requests to the backend.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(40);
/// Interval at which reports are polled.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// An order that is not completed within this time is repeated.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// The same for an order without a response.
const UNANSWERED_ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// The wait for an order ends after this number of consecutive missing reports.
const MAX_UNANSWERED_REPORTS: u32 = 2;

/// Outcome of a deployment attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DeployOutcome {
    /// The backend has the version.
    Completed,
    /// The backend lacks the version and is not known to be loading.
    NotCompleted {
        /// Whether the backend responded.
        has_responded: bool,
    },
    /// The backend is still loading.
    Loading,
}

impl RolloutController {
    /// Deploys a version to a backend.
    pub(super) async fn deploy(self: Arc<Self>, backend: OutdatedBackend) {
        let Some(fencing_token) = self.replica.order_fencing_token() else {
            return;
        };
        lock(&self.queue).record_order(&backend.id, clock::now());
        let outcome = self.try_deploy(&backend, fencing_token).await;
        let has_responded = matches!(
            outcome,
            DeployOutcome::Completed
                | DeployOutcome::NotCompleted {
                    has_responded: true
                }
        );
        lock(&self.queue).record_result(&backend.id, has_responded);
        match outcome {
            DeployOutcome::Completed => {
                self.publish_order_phase(&backend, fencing_token, OrderPhase::Done)
            }
            // Without this, routers would go on avoiding a backend that is not loading.
            DeployOutcome::NotCompleted { .. } if self.is_announced(&backend) => {
                self.publish_order_phase(&backend, fencing_token, OrderPhase::Withdrawn);
            }
            DeployOutcome::NotCompleted { .. } | DeployOutcome::Loading => {}
        }
    }

    /// Makes one attempt. The order is conditional on the reported state: otherwise an order that
    /// was delayed in transit and arrived after a newer one would roll the backend back.
    async fn try_deploy(&self, backend: &OutdatedBackend, fencing_token: u64) -> DeployOutcome {
        let order = match self.next_order(backend).await {
            Ok(order) => order,
            Err(outcome) => return outcome,
        };
        self.publish_order_phase(backend, fencing_token, OrderPhase::InProgress);
        tokio::time::sleep(ANNOUNCEMENT_DELAY + self.fleet.batch_delay()).await;
        let response = self.order(backend, order).await;
        self.record_response(backend, order, response);
        match response {
            OrderResponse::UpToDate => DeployOutcome::Completed,
            OrderResponse::StaleToken | OrderResponse::LeaseLost => DeployOutcome::NotCompleted {
                has_responded: true,
            },
            OrderResponse::Accepted | OrderResponse::Conflict => {
                self.await_completion(backend, order, ORDER_TIMEOUT).await
            }
            OrderResponse::Unknown => {
                self.await_completion(backend, order, UNANSWERED_ORDER_TIMEOUT)
                    .await
            }
        }
    }

    /// The order that a backend needs according to its report. `Err` ends the attempt: no order is
    /// needed, or there is no report.
    async fn next_order(
        &self,
        backend: &OutdatedBackend,
    ) -> Result<ConditionalOrder, DeployOutcome> {
        let started_at = Instant::now();
        while started_at.elapsed() < ORDER_TIMEOUT {
            let Some(reported) = self.backends.report(backend).await else {
                return Err(DeployOutcome::NotCompleted {
                    has_responded: false,
                });
            };
            match reported.next_step(backend.version) {
                NextStep::UpToDate => return Err(DeployOutcome::Completed),
                NextStep::Order(order) => return Ok(order),
                NextStep::Wait => tokio::time::sleep(REPORT_INTERVAL).await,
            }
        }
        Err(DeployOutcome::Loading)
    }

    /// Polls reports until the order has completed. Only a few backends load at a time, so the wait
    /// for an unresponsive one is short, to free its slot for others. Reports are valid whichever
    /// node holds the lease, so losing it does not end the wait.
    async fn await_completion(
        &self,
        backend: &OutdatedBackend,
        order: ConditionalOrder,
        timeout: Duration,
    ) -> DeployOutcome {
        let started_at = Instant::now();
        let mut unanswered = 0;
        let mut outcome = DeployOutcome::NotCompleted {
            has_responded: false,
        };
        while started_at.elapsed() < timeout && unanswered < MAX_UNANSWERED_REPORTS {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let Some(reported) = self.backends.report(backend).await else {
                unanswered += 1;
                continue;
            };
            unanswered = 0;
            outcome = match order.progress(reported) {
                OrderProgress::Done => return DeployOutcome::Completed,
                OrderProgress::Superseded => {
                    return DeployOutcome::NotCompleted {
                        has_responded: true,
                    };
                }
                OrderProgress::Busy => DeployOutcome::Loading,
                OrderProgress::Pending => DeployOutcome::NotCompleted {
                    has_responded: false,
                },
            };
        }
        outcome
    }

    /// Sends the order, and records the fencing token if the backend rejects it as stale.
    async fn order(&self, backend: &OutdatedBackend, order: ConditionalOrder) -> OrderResponse {
        // The fencing token is read right before the call: it is `None` once the lease has ended.
        let Some(fencing_token) = self.replica.order_fencing_token() else {
            return OrderResponse::LeaseLost;
        };
        let response = self
            .backends
            .order(
                backend,
                order,
                &self.fleet.settings.node_name,
                fencing_token,
            )
            .await;
        if response == OrderResponse::StaleToken {
            lock(&self.rejected_tokens).record(&backend.id, fencing_token);
        }
        response
    }

    /// Logs and counts the response to an order.
    fn record_response(
        &self,
        backend: &OutdatedBackend,
        order: ConditionalOrder,
        response: OrderResponse,
    ) {
        let OutdatedBackend {
            id, model, version, ..
        } = backend;
        let accepted_orders = order.if_accepted_orders;
        log::info!(
            "order to backend {id} for version {version} of {model}, after {accepted_orders} accepted orders: {response}"
        );
        let event = match response {
            OrderResponse::UpToDate | OrderResponse::Accepted => Event::OrderAccepted,
            OrderResponse::Conflict => Event::OrderConflict,
            OrderResponse::StaleToken => Event::OrderFenced,
            OrderResponse::Unknown => Event::OrderUnanswered,
            OrderResponse::LeaseLost => return,
        };
        self.fleet.counters.count(event);
    }

    /// Returns whether routers were notified that the backend is about to load.
    fn is_announced(&self, backend: &OutdatedBackend) -> bool {
        let directory = lock(&self.fleet.directory);
        directory
            .order(&backend.id)
            .is_some_and(|order| order.phase == OrderPhase::InProgress)
    }

    /// Publishes the phase of a backend's order. Its number continues from the existing record,
    /// which a previous process of this node may have written.
    fn publish_order_phase(
        &self,
        backend: &OutdatedBackend,
        fencing_token: u64,
        phase: OrderPhase,
    ) {
        let current = lock(&self.fleet.directory).order(&backend.id).cloned();
        let number = current
            .filter(|order| order.fencing_token == fencing_token)
            .map_or(1, |order| order.number + 1);
        let (model, version) = (backend.model.clone(), backend.version);
        let order = Order {
            fencing_token,
            number,
            model,
            version,
            phase,
        };
        self.fleet
            .put(Key::Order(backend.id.clone()), Value::Order(order));
    }
}
