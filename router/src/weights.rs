//! Bringing new weights to the backends: the holder of the lease gives fenced orders, a few at a
//! time.

mod backend_calls;
mod bringing;
mod overdue;

use crate::clock;
use crate::fleet::Fleet;
use crate::links::lock;
use crate::replica::ReplicaHandle;
use backend_calls::BackendCalls;
use compact_str::CompactString;
use control::changes::Change;
use control::directory::Key;
use control::rollout::{
    Confirmations, OrderQueue, RejectedTokens, Rollout, RolloutOwnership, UnconfirmedOrder,
};
use overdue::OverdueVersions;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two looks at what has to be done.
const LOOK: Duration = Duration::from_millis(100);
/// How long the control state may take to name this node.
const TURN_PATIENCE: Duration = Duration::from_secs(2);
/// So many heartbeats have time to confirm that an order is done.
const CONFIRMING_HEARTBEATS: u64 = 3;

/// An attempt to bring a backend to a version.
struct InProgress {
    is_unresponsive: bool,
    task: tokio::task::JoinHandle<()>,
}

/// Gives orders while this node holds the lease.
pub struct Orders {
    fleet: Arc<Fleet>,
    replica: ReplicaHandle,
    backends: BackendCalls,
    refused: Mutex<RejectedTokens>,
    queue: Mutex<OrderQueue>,
    turn: Mutex<RolloutOwnership>,
    confirmations: Mutex<Confirmations>,
}

impl Orders {
    /// The orders of a node with a replica.
    pub fn new(fleet: Arc<Fleet>, replica: ReplicaHandle, client: reqwest::Client) -> Arc<Self> {
        let (refused, queue, turn) = (Mutex::default(), Mutex::default(), Mutex::default());
        let backends = BackendCalls::new(client);
        let patience = CONFIRMING_HEARTBEATS * fleet.settings.heartbeat_interval_ms;
        let confirmations = Mutex::new(Confirmations::new(patience));
        Arc::new(Orders {
            fleet,
            replica,
            backends,
            refused,
            queue,
            turn,
            confirmations,
        })
    }

    /// Keeps looking for backends that lack weights.
    pub async fn run(self: Arc<Self>) {
        let mut overdue = OverdueVersions::default();
        let mut under_way: HashMap<CompactString, InProgress> = HashMap::new();
        loop {
            tokio::time::sleep(LOOK).await;
            under_way.retain(|_, attempt| !attempt.task.is_finished());
            overdue.look(&self.fleet);
            let turn = self.replica.rollout_ownership();
            self.enter(turn);
            if turn == RolloutOwnership::NotLeader {
                continue;
            }
            self.look_for_doubts();
            let rollout = self.rollout();
            if !rollout.outdated.is_empty() && self.take_turn(turn).await {
                self.begin_attempts(rollout, &mut under_way);
            }
        }
    }

    /// Begins to bring as many backends to their versions as there are places.
    fn begin_attempts(
        self: &Arc<Self>,
        rollout: Rollout,
        under_way: &mut HashMap<CompactString, InProgress>,
    ) {
        for backend in rollout.outdated {
            if under_way.len() >= rollout.max_concurrent {
                return;
            }
            let is_unresponsive = backend.is_unresponsive;
            let unresponsive = under_way
                .values()
                .filter(|attempt| attempt.is_unresponsive)
                .count();
            if is_unresponsive && unresponsive >= rollout.max_concurrent_unresponsive {
                return;
            }
            under_way
                .entry(backend.id.clone())
                .or_insert_with(|| InProgress {
                    is_unresponsive,
                    task: tokio::spawn(Arc::clone(self).bring(backend)),
                });
        }
    }

    /// Follows whether backends bear out that their orders are done, and tells of each one that
    /// does not.
    fn look_for_doubts(&self) {
        let doubts = {
            let directory = lock(&self.fleet.directory);
            lock(&self.confirmations).observe(&directory, clock::now())
        };
        for UnconfirmedOrder {
            backend,
            order,
            reported_version,
        } in doubts
        {
            log::warn!(
                "backend {backend} told version {reported_version} of {} after its order for version {} was done; it is asked again",
                order.model,
                order.version
            );
        }
    }

    /// Whether orders may be given here, for which the control state has to name this node.
    async fn take_turn(&self, turn: RolloutOwnership) -> bool {
        if turn.may_claim(self.fleet.settings.bounds.lease_ms, clock::now()) {
            // Where nobody can tell what became of it, it is asked for again at the next look.
            let change = Change::RolloutOwner {
                replica: self.replica.id.clone(),
            };
            let outcome = tokio::time::timeout(TURN_PATIENCE, self.replica.submit(change)).await;
            log::debug!("orders: this node asked to give them: {outcome:?}");
        }
        self.replica.order_fencing_token().is_some()
    }

    /// The one place where it changes whether this node gives orders.
    fn enter(&self, turn: RolloutOwnership) {
        let former = std::mem::replace(&mut *lock(&self.turn), turn);
        if former != turn {
            log::info!("orders: {turn}");
        }
    }

    /// Whether this node gives orders.
    pub fn turn(&self) -> RolloutOwnership {
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
        let mut rollout = Rollout::of(&directory, published.weights(), &lock(&self.confirmations));
        let mut refused = lock(&self.refused);
        let mut queue = lock(&self.queue);
        let is_there = |backend: &str| directory.get(&Key::Backend(backend.into())).is_some();
        refused.retain(is_there);
        queue.retain(is_there);
        let fencing_token = self.replica.fencing_token();
        rollout.outdated.retain(|backend| {
            fencing_token.is_some_and(|fencing_token| refused.allows(&backend.id, fencing_token))
        });
        rollout
            .outdated
            .retain(|backend| queue.is_due(backend, clock::now()));
        queue.sort(&mut rollout.outdated);
        rollout
    }
}
