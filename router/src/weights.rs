//! Rollout of new weights: the node that owns the rollout sends orders with fencing tokens to a
//! limited number of backends at a time.

mod backend_client;
mod deployment;
mod overdue_alerts;

use crate::clock;
use crate::fleet::Fleet;
use crate::replica::handle::ReplicaHandle;
use crate::sync::lock;
use backend_client::BackendClient;
use compact_str::CompactString;
use control::changes::Change;
use control::directory::Key;
use control::rollout::{
    Confirmations, OrderQueue, RejectedTokens, Rollout, RolloutOwnership, UnconfirmedOrder,
};
use overdue_alerts::OverdueAlerts;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval between checks for outdated backends.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of committing a change of the rollout owner to the control state.
const OWNER_CHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of heartbeat intervals within which a backend has to confirm a completed order.
const CONFIRMING_HEARTBEATS: u64 = 3;

/// A deployment in progress.
struct ActiveDeployment {
    is_unresponsive: bool,
    task: tokio::task::JoinHandle<()>,
}

/// Rolls out weights while this node owns the rollout. The owner need not be the primary of the
/// control state.
pub struct RolloutController {
    fleet: Arc<Fleet>,
    replica: ReplicaHandle,
    backends: BackendClient,
    rejected_tokens: Mutex<RejectedTokens>,
    queue: Mutex<OrderQueue>,
    ownership: Mutex<RolloutOwnership>,
    confirmations: Mutex<Confirmations>,
}

impl RolloutController {
    /// Creates the controller of a node with a replica.
    pub fn new(fleet: Arc<Fleet>, replica: ReplicaHandle, client: reqwest::Client) -> Arc<Self> {
        let (rejected_tokens, queue, ownership) =
            (Mutex::default(), Mutex::default(), Mutex::default());
        let backends = BackendClient::new(client);
        let confirmation_time = CONFIRMING_HEARTBEATS * fleet.settings.heartbeat_interval_ms;
        let confirmations = Mutex::new(Confirmations::new(confirmation_time));
        Arc::new(RolloutController {
            fleet,
            replica,
            backends,
            rejected_tokens,
            queue,
            ownership,
            confirmations,
        })
    }

    /// Checks for outdated backends periodically and starts their deployments, until the process
    /// ends.
    pub async fn run(self: Arc<Self>) {
        let mut overdue = OverdueAlerts::default();
        let mut active: HashMap<CompactString, ActiveDeployment> = HashMap::new();
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            active.retain(|_, deployment| !deployment.task.is_finished());
            overdue.check(&self.fleet);
            let ownership = self.replica.rollout_ownership();
            self.set_ownership(ownership);
            if ownership == RolloutOwnership::NotLeader {
                continue;
            }
            self.report_unconfirmed_orders();
            if ownership == RolloutOwnership::OwnerUnresponsive {
                self.change_owner(ownership).await;
            }
            let rollout = self.rollout();
            if rollout.outdated.is_empty() {
                continue;
            }
            self.change_owner(ownership).await;
            if self.replica.order_fencing_token().is_some() {
                self.start_deployments(rollout, &mut active);
            }
        }
    }

    /// Starts deployments up to the concurrency limits.
    fn start_deployments(
        self: &Arc<Self>,
        rollout: Rollout,
        active: &mut HashMap<CompactString, ActiveDeployment>,
    ) {
        for backend in rollout.outdated {
            if active.len() >= rollout.max_concurrent {
                return;
            }
            let is_unresponsive = backend.is_unresponsive;
            let unresponsive = active
                .values()
                .filter(|deployment| deployment.is_unresponsive)
                .count();
            if is_unresponsive && unresponsive >= rollout.max_concurrent_unresponsive {
                return;
            }
            active
                .entry(backend.id.clone())
                .or_insert_with(|| ActiveDeployment {
                    is_unresponsive,
                    task: tokio::spawn(Arc::clone(self).deploy(backend)),
                });
        }
    }

    /// Logs the backends whose heartbeats contradict their completed orders.
    fn report_unconfirmed_orders(&self) {
        let unconfirmed = {
            let directory = lock(&self.fleet.directory);
            lock(&self.confirmations).observe(&directory, clock::now())
        };
        for UnconfirmedOrder {
            backend,
            order,
            reported_version,
        } in unconfirmed
        {
            log::warn!(
                "backend {backend} reported version {reported_version} of {} after its order for version {} had completed; sending another order",
                order.model,
                order.version
            );
        }
    }

    /// Commits a change of the rollout owner if this node may make one: it clears an unresponsive
    /// owner, or takes the ownership once there is no owner.
    async fn change_owner(&self, ownership: RolloutOwnership) {
        let (own, lease) = (&self.replica.id, self.fleet.settings.bounds.lease_ms);
        let Some(epoch) = self.replica.leading_epoch() else {
            return;
        };
        let Some(replica) = ownership.next_owner(own, epoch, lease, clock::now()) else {
            return;
        };
        // If the outcome is unknown, the next check submits the change again.
        let change = Change::RolloutOwner { replica };
        let outcome = tokio::time::timeout(OWNER_CHANGE_TIMEOUT, self.replica.submit(change)).await;
        log::debug!("orders: change of the owner submitted by this node: {outcome:?}");
    }

    /// Records the ownership, and logs a change.
    fn set_ownership(&self, ownership: RolloutOwnership) {
        let previous = std::mem::replace(&mut *lock(&self.ownership), ownership);
        if previous != ownership {
            log::info!("orders: {ownership}");
        }
    }

    /// The current ownership.
    pub fn ownership(&self) -> RolloutOwnership {
        *lock(&self.ownership)
    }

    /// Number of backends that have rejected a fencing token.
    pub fn fenced_backends(&self) -> u64 {
        lock(&self.rejected_tokens).count()
    }

    /// The outdated backends that are due for an order, without those that have rejected the
    /// current fencing token.
    fn rollout(&self) -> Rollout {
        let published = lock(&self.fleet.published);
        let directory = lock(&self.fleet.directory);
        let mut rollout = Rollout::of(&directory, published.weights(), &lock(&self.confirmations));
        let mut rejected_tokens = lock(&self.rejected_tokens);
        let mut queue = lock(&self.queue);
        let is_registered = |backend: &str| directory.get(&Key::Backend(backend.into())).is_some();
        rejected_tokens.retain(is_registered);
        queue.retain(is_registered);
        let fencing_token = self.replica.next_order_fencing_token();
        rollout.outdated.retain(|backend| {
            fencing_token
                .is_some_and(|fencing_token| rejected_tokens.allows(&backend.id, fencing_token))
        });
        rollout
            .outdated
            .retain(|backend| queue.is_due(backend, clock::now()));
        queue.sort(&mut rollout.outdated);
        rollout
    }
}
