//! Bringing new weights to the backends: the holder of the lease gives fenced orders, a few at a time.

mod backend_calls;
mod overdue;

use crate::clock;
use crate::fleet::Fleet;
use crate::links::lock;
use crate::metrics::Event;
use crate::replica::ReplicaHandle;
use backend_calls::{BackendCalls, OrderAnswer};
use compact_str::CompactString;
use control::changes::Change;
use control::directory::{Key, Order, OrderPhase, Value};
use control::rollout::{Confirmations, Doubt, Lacking, OrderQueue, OrderTurn, RefusedFences, Rollout};
use control::view::Epoch;
use overdue::OverdueVersions;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two looks at what has to be done.
const LOOK: Duration = Duration::from_millis(100);
/// After routers were told that a backend is about to load, so long passes before its order, beyond the time for which news
/// are gathered on the way to them.
const NOTICE: Duration = Duration::from_millis(40);
/// Time between two questions whether an order is done.
const REPORT: Duration = Duration::from_millis(150);
/// An order that is not done by then is given anew.
const ORDER_PATIENCE: Duration = Duration::from_secs(4);
/// The same where the order itself got no answer.
const UNANSWERED_PATIENCE: Duration = Duration::from_millis(600);
/// So many reports in a row that do not come end the wait for a version.
const MOST_UNANSWERED: u32 = 2;
/// So many heartbeats have time to confirm that an order is done.
const CONFIRMING_HEARTBEATS: u64 = 3;

/// Gives orders while this node holds the lease.
pub struct Orders {
    fleet: Arc<Fleet>,
    replica: ReplicaHandle,
    backends: BackendCalls,
    number: AtomicU64,
    refused: Mutex<RefusedFences>,
    queue: Mutex<OrderQueue>,
    turn: Mutex<OrderTurn>,
    confirmations: Mutex<Confirmations>,
}

impl Orders {
    /// The orders of a node with a replica.
    pub fn new(fleet: Arc<Fleet>, replica: ReplicaHandle, client: reqwest::Client) -> Arc<Self> {
        let (refused, queue, turn) = (Mutex::default(), Mutex::default(), Mutex::default());
        let backends = BackendCalls::new(client);
        let patience = CONFIRMING_HEARTBEATS * fleet.settings.heartbeat_interval_ms;
        let confirmations = Mutex::new(Confirmations::new(patience));
        let number = AtomicU64::new(1);
        Arc::new(Orders { fleet, replica, backends, number, refused, queue, turn, confirmations })
    }

    /// Keeps looking for backends that lack weights.
    pub async fn run(self: Arc<Self>) {
        let mut overdue = OverdueVersions::default();
        let mut under_way: HashMap<CompactString, tokio::task::JoinHandle<()>> = HashMap::new();
        loop {
            tokio::time::sleep(LOOK).await;
            under_way.retain(|_, task| !task.is_finished());
            overdue.look(&self.fleet);
            self.look_for_doubts();
            let turn = self.replica.order_turn();
            self.enter(turn);
            if turn == OrderTurn::NotLeading {
                continue;
            }
            let Rollout { lacking, most_at_once } = self.rollout();
            if lacking.is_empty() || !self.take_turn(turn).await {
                continue;
            }
            for backend in lacking {
                if under_way.len() >= most_at_once {
                    break;
                }
                under_way
                    .entry(backend.id.clone())
                    .or_insert_with(|| tokio::spawn(Arc::clone(&self).bring(backend)));
            }
        }
    }

    /// Follows whether backends bear out that their orders are done, and tells of each one that does not.
    fn look_for_doubts(self: &Arc<Self>) {
        let doubts = lock(&self.confirmations).look(&lock(&self.fleet.directory), clock::now());
        if !self.replica.leads() {
            return;
        }
        for doubt in doubts {
            tokio::spawn(Arc::clone(self).tell_of(doubt));
        }
    }

    /// Tells of a backend whose heartbeats don't bear out that its order is done, and what it says itself.
    async fn tell_of(self: Arc<Self>, doubt: Doubt) {
        let Doubt { backend, order, told } = doubt;
        let address = match lock(&self.fleet.directory).get(&Key::Backend(backend.clone())) {
            Some(Value::Backend(backend)) => backend.address,
            _ => return,
        };
        let reported = match self.backends.report(address).await {
            Some(report) => format!(
                "reports version {} after {} orders{}",
                report.version(&order.model),
                report.sequence,
                if report.busy { ", one of them under way" } else { "" }
            ),
            None => "gives no report".to_owned(),
        };
        log::warn!(
            "backend {backend} told version {told} of {} after its order for version {} was done, and {reported}",
            order.model,
            order.version
        );
    }

    /// Whether orders may be given here, for which the control state has to name this node.
    async fn take_turn(&self, turn: OrderTurn) -> bool {
        if turn.may_take(self.fleet.settings.bounds.lease_ms, clock::now()) {
            // Where nobody can tell what became of it, it is asked for again at the next look.
            let change = Change::OrderHolder { replica: self.replica.id.clone() };
            let outcome = self.replica.submit(change).await;
            log::debug!("orders: this node asked to give them: {outcome:?}");
        }
        self.replica.order_fence().is_some()
    }

    /// The one place where it changes whether this node gives orders.
    fn enter(&self, turn: OrderTurn) {
        let former = std::mem::replace(&mut *lock(&self.turn), turn);
        if former != turn {
            log::info!("orders: {turn}");
        }
    }

    /// Whether this node gives orders.
    pub fn turn(&self) -> OrderTurn {
        *lock(&self.turn)
    }

    /// How many backends have refused a fencing token.
    pub fn refusing_backends(&self) -> u64 {
        lock(&self.refused).count()
    }

    /// What is to be done, but for backends that have refused the present fencing token.
    fn rollout(&self) -> Rollout {
        let published = lock(&self.fleet.published);
        let directory = lock(&self.fleet.directory);
        let mut rollout = Rollout::of(&directory, published.weights());
        let mut refused = lock(&self.refused);
        let mut queue = lock(&self.queue);
        let is_there = |backend: &str| directory.get(&Key::Backend(backend.into())).is_some();
        refused.retain(is_there);
        queue.retain(is_there);
        let fence = self.replica.fence();
        rollout.lacking.retain(|backend| fence.is_some_and(|fence| refused.allow(&backend.id, fence)));
        queue.sort(&mut rollout.lacking);
        rollout
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
        let Some(fence) = self.replica.order_fence() else { return };
        self.note(&backend, fence, OrderPhase::UnderWay);
        lock(&self.queue).ordered(&backend.id);
        tokio::time::sleep(NOTICE + self.fleet.gather_time()).await;
        let answer = self.order(&backend).await;
        self.report(&backend, answer);
        let is_done = match answer {
            OrderAnswer::Holds => true,
            OrderAnswer::Fenced | OrderAnswer::NotGiven => {
                // Else routers would keep away from a backend that loads nothing.
                return self.note(&backend, fence, OrderPhase::Withdrawn);
            }
            OrderAnswer::UnderWay => self.wait_for_version(&backend, ORDER_PATIENCE).await,
            OrderAnswer::Unknown => self.wait_for_version(&backend, UNANSWERED_PATIENCE).await,
        };
        lock(&self.queue).ended(&backend.id, is_done);
        if is_done {
            self.note(&backend, fence, OrderPhase::Done);
        }
    }

    /// Asks for a backend's reports until it has the version. Few backends load at a time, so one that does not answer is left
    /// soon: its place is for others. What a backend reports is true whoever leads, so a lease that is lost ends nothing here.
    async fn wait_for_version(&self, backend: &Lacking, patience: Duration) -> bool {
        let begun = Instant::now();
        let mut unanswered = 0;
        while begun.elapsed() < patience && unanswered < MOST_UNANSWERED {
            tokio::time::sleep(REPORT).await;
            match self.backends.report(backend.address).await {
                Some(report) if !report.busy && report.version(&backend.model) >= backend.version => {
                    log::debug!("backend {} has taken {} orders", backend.id, report.sequence);
                    return true;
                }
                Some(_) => unanswered = 0,
                None => unanswered += 1,
            }
        }
        false
    }

    fn report(&self, backend: &Lacking, answer: OrderAnswer) {
        let Lacking { id, model, version, .. } = backend;
        log::info!("order to backend {id} for version {version} of {model}: {answer:?}");
        let event = match answer {
            OrderAnswer::Holds | OrderAnswer::UnderWay => Event::OrderTaken,
            OrderAnswer::Fenced => Event::OrderFenced,
            OrderAnswer::Unknown => Event::OrderUnanswered,
            OrderAnswer::NotGiven => return,
        };
        self.fleet.counters.count(event);
    }

    /// Gives the order.
    async fn order(&self, backend: &Lacking) -> OrderAnswer {
        // The fence is read right before the effect: it is none once the lease has ended.
        let Some(fence) = self.replica.order_fence() else { return OrderAnswer::NotGiven };
        let answer = self.backends.order(backend, &self.fleet.settings.node_name, fence).await;
        if answer == OrderAnswer::Fenced {
            lock(&self.refused).refused(&backend.id, fence);
        }
        answer
    }
}
