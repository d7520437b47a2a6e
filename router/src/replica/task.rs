//! The task that drives the replica: it passes messages, ticks and completed writes to the state
//! machine, and applies the effects.

use super::fleet_saver::FleetSaver;
use super::handle::{Input, Inputs, ReplicaHandle, ReplicaStatus};
use crate::clock;
use crate::disk::Disk;
use crate::fleet::Fleet;
use crate::protocol::Request;
use control::changes::{Outcome, ReadOutcome};
use control::node::{ControlNode, Effect};
use control::view::ReplicaId;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Interval between ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

struct Task {
    node: ControlNode,
    disk: Disk,
    fleet: Arc<Fleet>,
    handle: ReplicaHandle,
    last_ticket: u64,
    pending_changes: HashMap<u64, oneshot::Sender<Outcome>>,
    pending_reads: HashMap<u64, oneshot::Sender<ReadOutcome>>,
}

/// Runs the replica until the process ends.
pub async fn run(
    node: ControlNode,
    disk: Disk,
    mut stored: mpsc::UnboundedReceiver<u64>,
    fleet: Arc<Fleet>,
    handle: ReplicaHandle,
    mut inputs: Inputs,
) {
    let mut saver = FleetSaver::new(fleet.clone(), clock::now());
    let mut task = Task {
        node,
        disk,
        fleet,
        handle,
        last_ticket: 0,
        pending_changes: HashMap::new(),
        pending_reads: HashMap::new(),
    };
    task.fleet.publish_committed(task.node.state());
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        let may_save = tokio::select! {
            input = inputs.0.recv() => match input {
                Some(input) => {
                    task.handle_input(input);
                    false
                }
                None => return,
            },
            Some(sequence) = stored.recv() => {
                task.node.on_stored(sequence, clock::now());
                false
            }
            _ = ticks.tick() => {
                task.tick();
                true
            }
            () = task.fleet.save_requested() => true,
            succeeded = saver.ended() => {
                saver.record_end(succeeded, clock::now());
                true
            }
        };
        task.apply_effects();
        if may_save {
            saver.save_if_due(&task.disk, clock::now());
        }
    }
}

impl Task {
    fn handle_input(&mut self, input: Input) {
        let now = clock::now();
        match input {
            Input::Message(envelope) => self.node.receive(*envelope, now),
            Input::Submit(change, reply) => {
                self.last_ticket += 1;
                self.pending_changes.insert(self.last_ticket, reply);
                self.node.submit(self.last_ticket, change, now);
            }
            Input::Read(reply) => {
                self.last_ticket += 1;
                self.pending_reads.insert(self.last_ticket, reply);
                self.node.read(self.last_ticket, now);
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
    }

    fn apply_effects(&mut self) {
        let mut committed = false;
        for effect in self.node.take_effects() {
            match effect {
                Effect::Send(envelope) => {
                    let address = envelope.to.address;
                    self.fleet.links.send(address, Request::Replica(envelope));
                }
                Effect::Store { sequence, records } => self.disk.append(sequence, &records),
                Effect::Reply { ticket, outcome } => {
                    if let Some(caller) = self.pending_changes.remove(&ticket) {
                        // The caller may have given up.
                        let _ = caller.send(outcome);
                    }
                }
                Effect::Read { ticket, reading } => {
                    if let Some(reader) = self.pending_reads.remove(&ticket) {
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
        // In this order: the status confirms the state as the latest.
        if committed {
            self.fleet.publish_committed(self.node.state());
        }
        let was_current = self.fleet.is_current();
        self.publish_status();
        if !was_current && self.fleet.is_current() {
            self.fleet.notify_change();
        }
        let leader = self
            .node
            .view()
            .map(|view| (view.epoch, view.primary.clone()));
        self.fleet.observe_leader(leader);
    }

    fn publish_status(&self) {
        let (now, node) = (clock::now(), &self.node);
        let previous = self.handle.view();
        let is_same =
            previous.as_ref().map(|view| view.epoch) == node.view().map(|view| view.epoch);
        self.handle.publish_status(ReplicaStatus {
            lease: node.lease(now),
            rollout_ownership: node.rollout_ownership(now),
            order_grant: node.order_grant(now),
            current_at: node.current_at(now),
            view: if is_same {
                previous
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
