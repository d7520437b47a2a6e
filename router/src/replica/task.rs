//! The task that drives the replica: it feeds the state machine with messages, time and completed
//! writes, and carries out its effects.

use super::handle::{Input, Inputs, ReplicaHandle, ReplicaStatus};
use crate::clock;
use crate::disk::{Disk, PersistedFleet};
use crate::fleet::Fleet;
use crate::protocol::Request;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::changes::{Outcome, ReadOutcome};
use control::node::{ControlNode, Effect};
use control::view::ReplicaId;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(50);
/// Time between two saves of the fleet file, in milliseconds.
const SAVE: Millis = 1_000;

struct Task {
    node: ControlNode,
    disk: Disk,
    fleet: Arc<Fleet>,
    handle: ReplicaHandle,
    tickets: u64,
    callers: HashMap<u64, oneshot::Sender<Outcome>>,
    readers: HashMap<u64, oneshot::Sender<ReadOutcome>>,
    saved: u64,
    saved_versions: BTreeSet<(CompactString, u64)>,
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
        saved_versions: BTreeSet::new(),
        save_at,
    };
    task.fleet.publish_committed(task.node.state());
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
            Input::Bootstrap {
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

    /// Saves the known state of the fleet if it has changed: every now and then, and at once when a
    /// version of weights was announced, as its age is known nowhere else.
    fn save_fleet(&mut self) {
        let now = clock::now();
        let announced_weights = self.fleet.announced_weights();
        let announced = announced_weights
            .iter()
            .map(|announced| (announced.model.clone(), announced.version));
        let announced: BTreeSet<(CompactString, u64)> = announced.collect();
        let has_new_version = !announced.is_subset(&self.saved_versions);
        if now < self.save_at && !has_new_version {
            return;
        }
        self.save_at = now + SAVE;
        let version = self.fleet.change_count();
        if version != self.saved || has_new_version || !self.fleet.all_weights_effective() {
            self.saved = version;
            self.saved_versions = announced;
            let records = lock(&self.fleet.directory).persistent_records();
            self.disk.save_fleet(&PersistedFleet {
                records,
                announced_weights,
            });
        }
    }

    fn carry_out(&mut self) {
        let mut committed = false;
        for effect in self.node.take_effects() {
            match effect {
                Effect::Send(envelope) => {
                    let address = envelope.to.address;
                    self.fleet.links.send(address, Request::Replica(envelope));
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
        if self.disk.needs_snapshot() {
            self.disk.snapshot(&self.node.snapshot());
        }
        self.show();
        if committed {
            self.fleet.publish_committed(self.node.state());
        }
        let leader = self
            .node
            .view()
            .map(|view| (view.epoch, view.primary.clone()));
        self.fleet.observe_leader(leader);
    }

    fn show(&self) {
        let (now, node) = (clock::now(), &self.node);
        let former = self.handle.view();
        let is_same = former.as_ref().map(|view| view.epoch) == node.view().map(|view| view.epoch);
        self.handle.publish_status(ReplicaStatus {
            lease: node.lease(now),
            rollout_ownership: node.rollout_ownership(now),
            order_grant: node.order_grant(now),
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
