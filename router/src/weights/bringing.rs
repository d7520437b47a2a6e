//! Bringing one backend to a version: asking what it has, giving it an order on just that
//! condition, and following the order.

use super::Orders;
use super::backend_calls::OrderAnswer;
use crate::clock;
use crate::links::lock;
use crate::metrics::Event;
use control::directory::{Key, Order, OrderPhase, Value};
use control::rollout::{ConditionalOrder, NextStep, OrderProgress, OutdatedBackend};
use control::view::Epoch;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// After routers were told that a backend is about to load, so long passes before its order, beyond
/// the time for which news are gathered on the way to them.
const NOTICE: Duration = Duration::from_millis(40);
/// Time between two reports that are asked for.
const REPORT: Duration = Duration::from_millis(150);
/// An order that is not done by then is given anew.
const ORDER_PATIENCE: Duration = Duration::from_secs(4);
/// The same where the order itself got no answer.
const UNANSWERED_PATIENCE: Duration = Duration::from_millis(600);
/// So many reports in a row that do not come end the wait for a version.
const MOST_UNANSWERED: u32 = 2;

/// How the attempt to bring a backend to a version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// It has the version.
    Done,
    /// It does not have it, and loads nothing, as far as it is known.
    NotDone {
        /// Whether the backend answered.
        was_answered: bool,
    },
    /// It loads something still.
    Loading,
}

impl Orders {
    /// Brings one backend to a version.
    pub(super) async fn bring(self: Arc<Self>, backend: OutdatedBackend) {
        let Some(fencing_token) = self.replica.order_fencing_token() else {
            return;
        };
        lock(&self.queue).record_order(&backend.id, clock::now());
        let attempt = self.attempt(&backend, fencing_token).await;
        let was_answered = matches!(
            attempt,
            Attempt::Done | Attempt::NotDone { was_answered: true }
        );
        lock(&self.queue).record_result(&backend.id, was_answered);
        match attempt {
            Attempt::Done => self.note(&backend, fencing_token, OrderPhase::Done),
            // Else routers would keep away from a backend that loads nothing.
            Attempt::NotDone { .. } if self.is_announced(&backend) => {
                self.note(&backend, fencing_token, OrderPhase::Withdrawn);
            }
            Attempt::NotDone { .. } | Attempt::Loading => {}
        }
    }

    /// One attempt. The order holds only for the state that the backend has reported: one that is
    /// overtaken on its way by a newer one would take the backend back otherwise.
    async fn attempt(&self, backend: &OutdatedBackend, fencing_token: Epoch) -> Attempt {
        let order = match self.next_order(backend).await {
            Ok(order) => order,
            Err(attempt) => return attempt,
        };
        self.note(backend, fencing_token, OrderPhase::InProgress);
        tokio::time::sleep(NOTICE + self.fleet.gather_time()).await;
        let answer = self.order(backend, order).await;
        self.count(backend, order, answer);
        match answer {
            OrderAnswer::Holds => Attempt::Done,
            OrderAnswer::Fenced | OrderAnswer::NotGiven => Attempt::NotDone { was_answered: true },
            OrderAnswer::Taken | OrderAnswer::Overtaken => {
                self.follow(backend, order, ORDER_PATIENCE).await
            }
            OrderAnswer::Unknown => self.follow(backend, order, UNANSWERED_PATIENCE).await,
        }
    }

    /// The order that a backend needs by its own report. Where it needs none, or gives no report,
    /// the attempt has ended.
    async fn next_order(&self, backend: &OutdatedBackend) -> Result<ConditionalOrder, Attempt> {
        let begun = Instant::now();
        while begun.elapsed() < ORDER_PATIENCE {
            let Some(reported) = self.backends.report(backend).await else {
                return Err(Attempt::NotDone {
                    was_answered: false,
                });
            };
            match reported.next_step(backend.version) {
                NextStep::UpToDate => return Err(Attempt::Done),
                NextStep::Order(order) => return Ok(order),
                NextStep::Wait => tokio::time::sleep(REPORT).await,
            }
        }
        Err(Attempt::Loading)
    }

    /// Asks for a backend's reports until its order has come to an end. Few backends load at a
    /// time, so one that does not answer is left soon: its place is for others. What a backend
    /// reports is true whoever leads, so a lease that is lost ends nothing here.
    async fn follow(
        &self,
        backend: &OutdatedBackend,
        order: ConditionalOrder,
        patience: Duration,
    ) -> Attempt {
        let begun = Instant::now();
        let mut unanswered = 0;
        let mut attempt = Attempt::NotDone {
            was_answered: false,
        };
        while begun.elapsed() < patience && unanswered < MOST_UNANSWERED {
            tokio::time::sleep(REPORT).await;
            let Some(reported) = self.backends.report(backend).await else {
                unanswered += 1;
                continue;
            };
            unanswered = 0;
            attempt = match order.progress(reported) {
                OrderProgress::Done => return Attempt::Done,
                OrderProgress::Superseded => return Attempt::NotDone { was_answered: true },
                OrderProgress::Busy => Attempt::Loading,
                OrderProgress::Pending => Attempt::NotDone {
                    was_answered: false,
                },
            };
        }
        attempt
    }

    /// Gives the order.
    async fn order(&self, backend: &OutdatedBackend, order: ConditionalOrder) -> OrderAnswer {
        // The fence is read right before the effect: it is none once the lease has ended.
        let Some(fencing_token) = self.replica.order_fencing_token() else {
            return OrderAnswer::NotGiven;
        };
        let answer = self
            .backends
            .order(
                backend,
                order,
                &self.fleet.settings.node_name,
                fencing_token,
            )
            .await;
        if answer == OrderAnswer::Fenced {
            lock(&self.refused).record(&backend.id, fencing_token);
        }
        answer
    }

    fn count(&self, backend: &OutdatedBackend, order: ConditionalOrder, answer: OrderAnswer) {
        let OutdatedBackend {
            id, model, version, ..
        } = backend;
        let others = order.if_accepted_orders;
        log::info!(
            "order to backend {id} for version {version} of {model}, behind {others} others: {answer:?}"
        );
        let event = match answer {
            OrderAnswer::Holds | OrderAnswer::Taken => Event::OrderTaken,
            OrderAnswer::Overtaken => Event::OrderOvertaken,
            OrderAnswer::Fenced => Event::OrderFenced,
            OrderAnswer::Unknown => Event::OrderUnanswered,
            OrderAnswer::NotGiven => return,
        };
        self.fleet.counters.count(event);
    }

    /// Whether routers are told that the backend is about to load.
    fn is_announced(&self, backend: &OutdatedBackend) -> bool {
        let directory = lock(&self.fleet.directory);
        directory
            .order(&backend.id)
            .is_some_and(|order| order.phase == OrderPhase::InProgress)
    }

    /// Tells routers how far a backend's order has come. Numbers go on from the record that there
    /// is, which may be of this node's former process.
    fn note(&self, backend: &OutdatedBackend, fencing_token: Epoch, phase: OrderPhase) {
        let held = lock(&self.fleet.directory).order(&backend.id).cloned();
        let number = held
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
