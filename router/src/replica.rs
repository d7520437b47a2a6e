//! The task that runs this node's replica of the control state: it feeds it with messages, time and
//! finished writes.

use crate::clock;
use crate::disk::{Disk, Known};
use crate::fleet::Fleet;
use crate::links::lock;
use crate::protocol::Request;
use compact_str::CompactString;
use control::Millis;
use control::changes::{Change, Outcome, ReadOutcome};
use control::message::Envelope;
use control::node::{ControlNode, Effect, RoleName};
use control::rollout::RolloutOwnership;
use control::state::StoredConfiguration;
use control::view::{Epoch, ReplicaId, View};
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(50);
/// Time between two times that what is known of the fleet is kept.
const SAVE: Millis = 1_000;
/// Inputs that wait for the task.
const QUEUE: usize = 1024;

/// What the task is told.
#[derive(Debug)]
enum Input {
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

/// The receiving end, for [`run`].
pub struct Inputs(mpsc::Receiver<Input>);

impl ReplicaHandle {
    /// A handle and what the task receives by it.
    pub fn new(id: ReplicaId) -> (Self, Inputs) {
        let (inputs, queue) = mpsc::channel(QUEUE);
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
        let view = lock(&self.shown).view.clone();
        view.map(|view| {
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

struct Task {
    node: ControlNode,
    disk: Disk,
    fleet: Arc<Fleet>,
    handle: ReplicaHandle,
    tickets: u64,
    callers: HashMap<u64, oneshot::Sender<Outcome>>,
    readers: HashMap<u64, oneshot::Sender<ReadOutcome>>,
    saved: u64,
    save_at: Millis,
}

/// Runs the replica for as long as the process lives.
pub async fn run(
    node: ControlNode,
    disk: Disk,
    mut stored: mpsc::UnboundedReceiver<u64>,
    fleet: Arc<Fleet>,
    handle: ReplicaHandle,
    mut inputs: Inputs,
) {
    let (callers, readers, save_at) = (HashMap::new(), HashMap::new(), clock::now() + SAVE);
    let mut task = Task {
        node,
        disk,
        fleet,
        handle,
        tickets: 0,
        callers,
        readers,
        saved: 0,
        save_at,
    };
    task.fleet.publish_own(task.node.state());
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            input = inputs.0.recv() => match input {
                Some(input) => task.take(input),
                None => return,
            },
            Some(sequence) = stored.recv() => task.node.on_stored(sequence, clock::now()),
            _ = ticks.tick() => task.tick(),
        }
        task.carry_out();
    }
}

impl Task {
    fn take(&mut self, input: Input) {
        let now = clock::now();
        match input {
            Input::Message(envelope) => self.node.receive(*envelope, now),
            Input::Submit(change, reply) => {
                self.tickets += 1;
                self.callers.insert(self.tickets, reply);
                self.node.submit(self.tickets, change, now);
            }
            Input::Read(reply) => {
                self.tickets += 1;
                self.readers.insert(self.tickets, reply);
                self.node.read(self.tickets, now);
            }
            Input::Found {
                electorate,
                replicas,
            } => self.node.bootstrap(electorate, replicas, now),
            Input::Leave => self.node.leave(now),
        }
    }

    fn tick(&mut self) {
        let members = self.fleet.replica_members();
        let known: BTreeSet<ReplicaId> =
            members.into_iter().filter_map(|(_, m)| m.replica).collect();
        self.node.set_known_replicas(known);
        self.node.tick(clock::now());
        self.save_fleet();
    }

    /// Keeps what is known of the fleet on disk, where it has changed.
    fn save_fleet(&mut self) {
        let now = clock::now();
        if now < self.save_at {
            return;
        }
        self.save_at = now + SAVE;
        let version = self.fleet.changes();
        if version != self.saved || !self.fleet.are_weights_settled() {
            self.saved = version;
            let records = lock(&self.fleet.directory).persistent_records();
            self.disk.save_fleet(&Known {
                records,
                named_weights: self.fleet.named_weights(),
            });
        }
    }

    fn carry_out(&mut self) {
        let mut committed = false;
        for effect in self.node.take_effects() {
            match effect {
                Effect::Send(envelope) => {
                    let address = envelope.to.address;
                    self.fleet.links.tell(address, Request::Replica(envelope));
                }
                Effect::Store { sequence, records } => self.disk.append(sequence, &records),
                Effect::Reply { ticket, outcome } => {
                    if let Some(caller) = self.callers.remove(&ticket) {
                        // The caller may have given up.
                        let _ = caller.send(outcome);
                    }
                }
                Effect::Read { ticket, reading } => {
                    if let Some(reader) = self.readers.remove(&ticket) {
                        // The caller may have given up.
                        let _ = reader.send(reading);
                    }
                }
                Effect::Committed => committed = true,
                Effect::Entered { role, epoch, cause } => {
                    log::info!("control state: {role:?} in epoch {epoch}: {cause}");
                }
            }
        }
        if self.disk.wants_snapshot() {
            self.disk.snapshot(&self.node.snapshot());
        }
        self.show();
        if committed {
            self.fleet.publish_own(self.node.state());
        }
        let leader = self
            .node
            .view()
            .map(|view| (view.epoch, view.primary.clone()));
        self.fleet.hear_of_leader(leader);
    }

    fn show(&self) {
        let (now, node) = (clock::now(), &self.node);
        let former = lock(&self.handle.shown).view.clone();
        let is_same = former.as_ref().map(|view| view.epoch) == node.view().map(|view| view.epoch);
        self.handle.show(Shown {
            lease: node.lease(now),
            rollout_ownership: node.rollout_ownership(now),
            current_at: node.current_at(now),
            view: if is_same {
                former
            } else {
                node.view().cloned().map(Arc::new)
            },
            role: Some(node.role()),
            can_shut_down: node.can_shut_down(),
            status: format!(
                "{:?} in epoch {}, change {}",
                node.role(),
                node.epoch(),
                node.state().position.index
            ),
        });
    }
}
