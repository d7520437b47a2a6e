//! The task that runs this node's replica of the control state: it feeds it with messages, time and finished writes.

use crate::clock;
use crate::disk::Disk;
use crate::fleet::Fleet;
use crate::links::lock;
use crate::protocol::Request;
use control::Millis;
use control::changes::{Change, Outcome};
use control::message::Envelope;
use control::node::{ControlNode, Effect};
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
    Read(oneshot::Sender<Option<Option<Vec<u8>>>>),
    Found(View),
    Resign,
}

/// What others may see of the replica.
#[derive(Debug, Default)]
struct Shown {
    lease: Option<(Epoch, Millis)>,
    current_at: Option<Millis>,
    has_view: bool,
    status: String,
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
        (ReplicaHandle { id, inputs, shown: Arc::default() }, Inputs(queue))
    }

    /// Passes on a message of another replica; dropped where too many wait.
    pub fn receive(&self, envelope: Box<Envelope>) {
        // A lost message is sent again by its sender.
        let _ = self.inputs.try_send(Input::Message(envelope));
    }

    /// Whether this replica is the primary under a lease at this very moment.
    pub fn leads(&self) -> bool {
        self.fence().is_some()
    }

    /// The fencing token of the lease, while it is held.
    pub fn fence(&self) -> Option<Epoch> {
        lock(&self.shown).lease.filter(|(_, until)| clock::now() < *until).map(|(epoch, _)| epoch)
    }

    /// When its committed state was last known to be the newest.
    pub fn current_at(&self) -> Option<Millis> {
        lock(&self.shown).current_at
    }

    /// Whether it knows any view.
    pub fn has_view(&self) -> bool {
        lock(&self.shown).has_view
    }

    /// A line for operators.
    pub fn status(&self) -> String {
        lock(&self.shown).status.clone()
    }

    /// Makes a change.
    pub async fn submit(&self, change: Change) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        if self.inputs.send(Input::Submit(change, reply)).await.is_err() {
            return Outcome::Unknown;
        }
        outcome.await.unwrap_or(Outcome::Unknown)
    }

    /// The newest configuration; none where this replica can't tell.
    pub async fn read(&self) -> Option<Option<Vec<u8>>> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(Input::Read(reply)).await.ok()?;
        let answer = answer.await.ok()?;
        // The lease has to hold when the answer goes out, not only when it was made.
        answer.filter(|_| self.leads())
    }

    /// Founds a new system.
    pub fn found(&self, view: View) {
        let _ = self.inputs.try_send(Input::Found(view));
    }

    /// Hands the role over, as the process is about to end.
    pub fn resign(&self) {
        let _ = self.inputs.try_send(Input::Resign);
    }
}

struct Task {
    node: ControlNode,
    disk: Disk,
    fleet: Arc<Fleet>,
    handle: ReplicaHandle,
    tickets: u64,
    callers: HashMap<u64, oneshot::Sender<Outcome>>,
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
    let (callers, save_at) = (HashMap::new(), clock::now() + SAVE);
    let mut task = Task { node, disk, fleet, handle, tickets: 0, callers, saved: 0, save_at };
    task.fleet.publish_own(task.node.state());
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            input = inputs.0.recv() => match input {
                Some(input) => task.take(input),
                None => return,
            },
            Some(sequence) = stored.recv() => task.node.stored(sequence, clock::now()),
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
                let body = self.node.state().configuration.as_ref().map(|stored| stored.body.clone());
                let answer = self.node.leads(now).map(|_| body);
                // The caller may have given up.
                let _ = reply.send(answer);
            }
            Input::Found(view) => self.node.found(view, now),
            Input::Resign => self.node.resign("the process is about to end", now),
        }
    }

    fn tick(&mut self) {
        let members = self.fleet.replica_members();
        let known: BTreeSet<ReplicaId> = members.into_iter().filter_map(|(_, m)| m.replica).collect();
        self.node.know(known);
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
        if version != self.saved {
            self.saved = version;
            let lasting = lock(&self.fleet.directory).lasting();
            self.disk.save_fleet(&lasting);
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
        let leader = self.node.view().map(|view| (view.epoch, view.primary.clone()));
        self.fleet.hear_of_leader(leader);
    }

    fn show(&self) {
        let now = clock::now();
        let mut shown = lock(&self.handle.shown);
        shown.lease = self.node.lease(now);
        shown.current_at = self.node.current_at(now);
        shown.has_view = self.node.view().is_some();
        shown.status = format!(
            "{:?} in epoch {}, change {}",
            self.node.role(),
            self.node.epoch(),
            self.node.state().position.index
        );
    }
}
