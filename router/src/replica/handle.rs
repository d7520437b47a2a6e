//! The handle through which the rest of the router uses its replica of the control state.

use crate::clock;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::changes::{Change, Outcome, ReadOutcome};
use control::message::Envelope;
use control::node::RoleName;
use control::rollout::{OrderGrant, RolloutOwnership, fencing_token};
use control::state::StoredConfiguration;
use control::view::{Epoch, ReplicaId, View};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the task's input queue.
const QUEUE_CAPACITY: usize = 1024;

/// Inputs of the task.
#[derive(Debug)]
pub(super) enum Input {
    Message(Box<Envelope>),
    Submit(Change, oneshot::Sender<Outcome>),
    Read(oneshot::Sender<ReadOutcome>),
    Bootstrap {
        electorate: BTreeSet<ReplicaId>,
        replicas: BTreeSet<ReplicaId>,
    },
    Leave,
}

/// The status of the replica, published for other parts of the router.
#[derive(Debug, Clone, Default)]
pub struct ReplicaStatus {
    /// Epoch of the lease, and when the lease ends.
    pub lease: Option<(Epoch, Millis)>,
    /// Whether this node owns the rollout of weights.
    pub rollout_ownership: RolloutOwnership,
    /// The grant to send orders to backends.
    pub order_grant: Option<OrderGrant>,
    /// When the committed state was last confirmed as the latest.
    pub current_at: Option<Millis>,
    /// The latest view that is known to be decided.
    pub view: Option<Arc<View>>,
    /// Current role.
    pub role: Option<RoleName>,
    /// Whether the process may end: no change waits for this replica, and enough others have its
    /// data.
    pub can_shut_down: bool,
    /// Status line for operators.
    pub status: String,
}

/// Handle of the replica's task.
#[derive(Clone)]
pub struct ReplicaHandle {
    /// Id of the replica.
    pub id: ReplicaId,
    /// The internal addresses of the machines that decide the first view, if this replica may vote
    /// on it; else empty.
    pub electorate: Arc<[SocketAddrV4]>,
    inputs: mpsc::Sender<Input>,
    status: Arc<Mutex<ReplicaStatus>>,
}

/// The receiving end of the handle, for [`run`](super::task::run).
pub struct Inputs(pub(super) mpsc::Receiver<Input>);

impl ReplicaHandle {
    /// Creates a handle and its receiving end.
    pub fn new(id: ReplicaId, electorate: Vec<SocketAddrV4>) -> (Self, Inputs) {
        let (inputs, queue) = mpsc::channel(QUEUE_CAPACITY);
        (
            ReplicaHandle {
                id,
                electorate: electorate.into(),
                inputs,
                status: Arc::default(),
            },
            Inputs(queue),
        )
    }

    /// Publishes a new status.
    pub fn publish_status(&self, status: ReplicaStatus) {
        *lock(&self.status) = status;
    }

    /// The latest view that is known to be decided.
    pub(super) fn view(&self) -> Option<Arc<View>> {
        lock(&self.status).view.clone()
    }

    /// Queues a message of another replica for the task; dropped if the queue is full.
    pub fn receive(&self, envelope: Box<Envelope>) {
        // The sender retransmits lost messages.
        let _ = self.inputs.try_send(Input::Message(envelope));
    }

    /// Returns whether this replica is the primary and holds the lease now.
    pub fn is_leader(&self) -> bool {
        self.leading_epoch().is_some()
    }

    /// The epoch of the lease, while it is held.
    pub fn leading_epoch(&self) -> Option<Epoch> {
        lock(&self.status)
            .lease
            .filter(|(_, until)| clock::now() < *until)
            .map(|(epoch, _)| epoch)
    }

    /// The rollout ownership now.
    pub fn rollout_ownership(&self) -> RolloutOwnership {
        if self.order_fencing_token().is_some() {
            return RolloutOwnership::Owned;
        }
        let published = lock(&self.status).rollout_ownership;
        match published {
            // The grant has expired since the status was published.
            RolloutOwnership::Owned => RolloutOwnership::NotLeader,
            ownership if self.is_leader() => ownership,
            _ => RolloutOwnership::NotLeader,
        }
    }

    /// The fencing token for orders to backends, while this node owns the rollout.
    pub fn order_fencing_token(&self) -> Option<u64> {
        lock(&self.status)
            .order_grant
            .filter(|grant| clock::now() < grant.expires_at)
            .map(|grant| grant.fencing_token)
    }

    /// The fencing token of the next order: the current one, or the one that this node gets by
    /// taking the ownership.
    pub fn next_order_fencing_token(&self) -> Option<u64> {
        let after_claim = || Some(fencing_token(self.leading_epoch()?, true));
        self.order_fencing_token().or_else(after_claim)
    }

    /// When the committed state was last confirmed as the latest.
    pub fn current_at(&self) -> Option<Millis> {
        lock(&self.status).current_at
    }

    /// Returns whether this replica is the primary, including one that is still synchronizing its
    /// backups, where calls may wait.
    pub fn is_primary(&self) -> bool {
        matches!(
            lock(&self.status).role,
            Some(RoleName::Primary | RoleName::StartingPrimary)
        )
    }

    /// Nodes whose replicas are witnesses of the latest view.
    pub fn witness_nodes(&self) -> BTreeSet<CompactString> {
        self.view()
            .map(|view| {
                view.witnesses
                    .iter()
                    .map(|witness| witness.node.clone())
                    .collect()
            })
            .unwrap_or_default()
    }

    /// Returns whether the process may end: no change waits for this replica, and enough others
    /// have its data.
    pub fn can_shut_down(&self) -> bool {
        lock(&self.status).can_shut_down
    }

    /// Status line for operators.
    pub fn status(&self) -> String {
        lock(&self.status).status.clone()
    }

    /// Submits a change and waits for its outcome.
    pub async fn submit(&self, change: Change) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        if self
            .inputs
            .send(Input::Submit(change, reply))
            .await
            .is_err()
        {
            return Outcome::Unknown;
        }
        outcome.await.unwrap_or(Outcome::Unknown)
    }

    /// Reads the latest configuration, after a majority has confirmed that this replica is the
    /// primary. The outer `None` means that the configuration can't be determined.
    pub async fn read(&self) -> Option<Option<StoredConfiguration>> {
        let (reply, outcome) = oneshot::channel();
        self.inputs.send(Input::Read(reply)).await.ok()?;
        match outcome.await.ok()? {
            ReadOutcome::Latest(configuration) => Some(configuration),
            ReadOutcome::Unknown => None,
        }
    }

    /// Bootstraps a new system by proposing its first view.
    pub fn bootstrap(&self, electorate: BTreeSet<ReplicaId>, replicas: BTreeSet<ReplicaId>) {
        // The caller retries as long as there is no view.
        let _ = self.inputs.try_send(Input::Bootstrap {
            electorate,
            replicas,
        });
    }

    /// Begins a graceful shutdown: hands over the primary role and leaves the view.
    pub async fn begin_shutdown(&self) {
        // A send error means that the task has ended and there is nothing to hand over.
        let _ = self.inputs.send(Input::Leave).await;
    }
}
