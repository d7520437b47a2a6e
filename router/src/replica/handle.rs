//! The handle by which the rest of the router uses its replica of the control state.

use crate::clock;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::changes::{Change, Outcome, ReadOutcome};
use control::message::Envelope;
use control::node::RoleName;
use control::rollout::RolloutOwnership;
use control::state::StoredConfiguration;
use control::view::{Epoch, ReplicaId, View};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the task's input queue.
const QUEUE_CAPACITY: usize = 1024;

/// What the task is told.
#[derive(Debug)]
pub(super) enum Input {
    Message(Box<Envelope>),
    Submit(Change, oneshot::Sender<Outcome>),
    Read(oneshot::Sender<ReadOutcome>),
    Found {
        electorate: BTreeSet<ReplicaId>,
        replicas: BTreeSet<ReplicaId>,
    },
    Leave,
}

/// What others may see of the replica.
#[derive(Debug, Clone, Default)]
pub struct Shown {
    /// The fencing token of the lease, and until when it is held.
    pub lease: Option<(Epoch, Millis)>,
    /// Whether orders may be given to backends from here.
    pub rollout_ownership: RolloutOwnership,
    /// When the committed state was last known to be the newest.
    pub current_at: Option<Millis>,
    /// The newest view that is known to be decided.
    pub view: Option<Arc<View>>,
    /// The present role.
    pub role: Option<RoleName>,
    /// Whether the process may end without a change waiting for this replica, or its copy being one
    /// of too few.
    pub can_shut_down: bool,
    /// A line for operators.
    pub status: String,
}

/// The way to the task.
#[derive(Clone)]
pub struct ReplicaHandle {
    /// Which replica this is.
    pub id: ReplicaId,
    inputs: mpsc::Sender<Input>,
    shown: Arc<Mutex<Shown>>,
}

/// The receiving end, for [`run`](super::task::run).
pub struct Inputs(pub(super) mpsc::Receiver<Input>);

impl ReplicaHandle {
    /// A handle and what the task receives by it.
    pub fn new(id: ReplicaId) -> (Self, Inputs) {
        let (inputs, queue) = mpsc::channel(QUEUE_CAPACITY);
        (
            ReplicaHandle {
                id,
                inputs,
                shown: Arc::default(),
            },
            Inputs(queue),
        )
    }

    /// Sets what others may see.
    pub fn show(&self, shown: Shown) {
        *lock(&self.shown) = shown;
    }

    /// The latest decided view that is known here.
    pub(super) fn view(&self) -> Option<Arc<View>> {
        lock(&self.shown).view.clone()
    }

    /// Passes on a message of another replica; dropped where too many wait.
    pub fn receive(&self, envelope: Box<Envelope>) {
        // A lost message is sent again by its sender.
        let _ = self.inputs.try_send(Input::Message(envelope));
    }

    /// Whether this replica is the primary under a lease at this very moment.
    pub fn leads(&self) -> bool {
        self.fencing_token().is_some()
    }

    /// The fencing token of the lease, while it is held.
    pub fn fencing_token(&self) -> Option<Epoch> {
        lock(&self.shown)
            .lease
            .filter(|(_, until)| clock::now() < *until)
            .map(|(epoch, _)| epoch)
    }

    /// Whether orders may be given to backends from here at this very moment.
    pub fn rollout_ownership(&self) -> RolloutOwnership {
        if self.leads() {
            lock(&self.shown).rollout_ownership
        } else {
            RolloutOwnership::NotLeader
        }
    }

    /// The fencing token of orders to backends, while they may be given from here.
    pub fn order_fencing_token(&self) -> Option<Epoch> {
        self.fencing_token()
            .filter(|_| self.rollout_ownership() == RolloutOwnership::Owned)
    }

    /// When its committed state was last known to be the newest.
    pub fn current_at(&self) -> Option<Millis> {
        lock(&self.shown).current_at
    }

    /// Whether this replica is the primary, also while it is not in step with its backups yet:
    /// calls may wait here.
    pub fn is_primary(&self) -> bool {
        matches!(
            lock(&self.shown).role,
            Some(RoleName::Primary | RoleName::StartingPrimary)
        )
    }

    /// The nodes whose replicas are witnesses of the newest view that is known here.
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

    /// Whether the process may end without a change waiting for this replica, or its copy being one
    /// of too few.
    pub fn can_shut_down(&self) -> bool {
        lock(&self.shown).can_shut_down
    }

    /// A line for operators.
    pub fn status(&self) -> String {
        lock(&self.shown).status.clone()
    }

    /// Makes a change.
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

    /// The newest configuration; the outer value is none where this replica can't tell. A majority
    /// has confirmed after the call that this replica is the primary.
    pub async fn read(&self) -> Option<Option<StoredConfiguration>> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(Input::Read(reply)).await.ok()?;
        match answer.await.ok()? {
            ReadOutcome::Latest(configuration) => Some(configuration),
            ReadOutcome::Unknown => None,
        }
    }

    /// Has the first view of a new system decided.
    pub fn found(&self, electorate: BTreeSet<ReplicaId>, replicas: BTreeSet<ReplicaId>) {
        // Tried again by whoever founds, as long as there is no view.
        let _ = self.inputs.try_send(Input::Found {
            electorate,
            replicas,
        });
    }

    /// The process is about to end: hands the role over, and asks to be taken out of the view.
    pub async fn leave(&self) {
        // Nobody is there to be told where the task has ended.
        let _ = self.inputs.send(Input::Leave).await;
    }
}
