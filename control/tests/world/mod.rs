//! A simulated group of replicas in virtual time. Messages are delayed, lost or cut off; disks are
//! slow, stuck or wiped; machines lose power.
#![allow(dead_code)] // each test binary uses a part of this module

mod checks;
pub mod network;
pub mod orders;

use network::{InFlight, Interceptor};

use control::Millis;
use control::changes::{Change, Outcome, ReadOutcome};
use control::message::Envelope;
use control::node::{ControlNode, Effect, Identity, RoleName, Timing};
use control::storage::{FORMAT, Record, Recovered, decode, encode};
use control::view::{ReplicaId, View};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A change of the target version of `model`.
pub fn change(model: &str, version: u64) -> Change {
    Change::Weights {
        model: model.into(),
        version,
    }
}

/// A configuration that replaces version `base`; `mark` distinguishes its body from others.
pub fn configuration(base: u64, version: u64, mark: &str) -> Change {
    let body = format!(r#"{{"version":{version},"mark":"{mark}","routes":[],"services":[]}}"#);
    Change::Configuration {
        base,
        body: body.into_bytes().into(),
    }
}

/// The number of machines in the electorate of the first view.
const SEEDS: usize = 3;

struct Write {
    sequence: u64,
    bytes: Vec<u8>,
    done_at: Millis,
}

pub struct Machine {
    pub node: Option<ControlNode>,
    /// The bytes that have been synced.
    disk: Vec<u8>,
    writes: Vec<Write>,
    /// The duration of a sync; `None` while the disk hangs.
    pub sync: Option<Millis>,
    /// The process is frozen until this time.
    pub frozen_until: Millis,
    back_at: Option<Millis>,
    address: SocketAddrV4,
    /// Whether the machine is a seed that has never lost its disk, so that it may vote on the first
    /// view.
    may_bootstrap: bool,
    /// The index of the last committed change at the previous check of this incarnation.
    last_committed: u64,
}

pub struct World {
    pub rng: fastrand::Rng,
    pub now: Millis,
    pub machines: BTreeMap<String, Machine>,
    pub timing: Timing,
    in_flight: Vec<InFlight>,
    /// Pairs of sender and receiver between which all messages are lost.
    pub cut: BTreeSet<(String, String)>,
    pub loss: f64,
    pub latency: Millis,
    /// The fraction of messages that are delayed by up to seconds.
    pub late: f64,
    /// Called for each message that is sent.
    pub interceptor: Option<Interceptor>,
    held: Vec<Envelope>,
    tickets: u64,
    pub outcomes: BTreeMap<u64, Outcome>,
    /// The digest of the first state that a replica committed, by the index of its last change.
    committed: BTreeMap<u64, u64>,
    /// The newest acknowledged version of the configuration.
    newest_version: u64,
    /// The value of `newest_version` when each read was submitted, by ticket.
    version_at_read: BTreeMap<u64, u64>,
    /// The acknowledged changes.
    pub acknowledged: Vec<Change>,
    /// When changes were acknowledged, with the index of the last one by then.
    acknowledged_at: BTreeMap<Millis, u64>,
    /// The submitted changes, by ticket.
    pub submitted: BTreeMap<u64, Change>,
    /// The holders of the lease, by epoch.
    pub holders: BTreeMap<u64, ReplicaId>,
    /// The views that replicas learned to be decided, by epoch.
    views: BTreeMap<u64, View>,
    /// The results of reads, by ticket.
    pub readings: BTreeMap<u64, ReadOutcome>,
    /// The number of bytes that were sent to each machine.
    bytes_sent: BTreeMap<String, u64>,
    /// The throughput of links and disks; `None` if unlimited.
    pub bytes_per_ms: Option<u64>,
    next_disk: u64,
    next_incarnation: u64,
    next_address: u8,
}

impl World {
    pub fn new(seed: u64, count: usize, faults: usize) -> Self {
        let mut world = World {
            rng: fastrand::Rng::with_seed(seed),
            now: 1_000,
            machines: BTreeMap::new(),
            timing: Timing::tolerating(faults),
            in_flight: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            latency: 1,
            late: 0.0,
            interceptor: None,
            held: Vec::new(),
            tickets: 0,
            outcomes: BTreeMap::new(),
            committed: BTreeMap::new(),
            newest_version: 0,
            version_at_read: BTreeMap::new(),
            acknowledged: Vec::new(),
            acknowledged_at: BTreeMap::new(),
            submitted: BTreeMap::new(),
            holders: BTreeMap::new(),
            views: BTreeMap::new(),
            readings: BTreeMap::new(),
            bytes_sent: BTreeMap::new(),
            bytes_per_ms: None,
            next_disk: 1,
            next_incarnation: 1,
            next_address: 0,
        };
        for number in 0..count {
            world.add(&format!("n{number}"));
        }
        world
    }

    /// Adds a machine with an empty disk and a new address.
    pub fn add(&mut self, name: &str) {
        self.next_address += 1;
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, self.next_address), 7000);
        let machine = Machine {
            node: None,
            disk: Vec::new(),
            writes: Vec::new(),
            sync: Some(2),
            frozen_until: 0,
            back_at: None,
            address,
            may_bootstrap: self.machines.len() < SEEDS,
            last_committed: 0,
        };
        self.machines.insert(name.to_owned(), machine);
        self.boot(name);
    }

    /// Adds a machine after the system has been bootstrapped.
    pub fn add_after_bootstrap(&mut self, name: &str) {
        self.add(name);
        self.machines
            .get_mut(name)
            .expect("a machine")
            .may_bootstrap = false;
    }

    /// Removes a machine for good.
    pub fn remove(&mut self, name: &str) {
        self.machines.remove(name);
    }

    /// A group that has decided its first view and has a primary.
    pub fn bootstrapped(seed: u64, count: usize, faults: usize) -> Self {
        let mut world = World::new(seed, count, faults);
        world.bootstrap("n0");
        world.run(500);
        assert!(world.primary().is_some(), "the first view has a primary");
        world
    }

    /// Has a machine propose the first view with the replicas of all machines.
    pub fn bootstrap(&mut self, proposer: &str) {
        self.bootstrap_with(proposer, self.machines.len());
    }

    /// Has a machine propose the first view with the replicas of the first `known` machines. The
    /// electorate consists of the first three machines.
    pub fn bootstrap_with(&mut self, proposer: &str, known: usize) {
        let seeds = self.machines.values().take(SEEDS);
        let unknown = |address| ReplicaId {
            disk: 0,
            node: "".into(),
            address,
        };
        let replica = |machine: &Machine| machine.node.as_ref().map(|node| node.id().clone());
        let electorate = seeds
            .map(|machine| replica(machine).unwrap_or_else(|| unknown(machine.address)))
            .collect();
        let replicas = self
            .machines
            .values()
            .take(known)
            .filter_map(replica)
            .collect();
        let now = self.now;
        if let Some(node) = &mut self.machines.get_mut(proposer).expect("a machine").node {
            node.bootstrap(electorate, replicas, now);
        }
        self.apply_effects(proposer);
    }

    /// The replicas of all running machines.
    pub fn replicas(&self) -> BTreeSet<ReplicaId> {
        let nodes = self
            .machines
            .values()
            .filter_map(|machine| machine.node.as_ref());
        nodes.map(|node| node.id().clone()).collect()
    }

    pub fn names(&self) -> Vec<String> {
        self.machines.keys().cloned().collect()
    }

    pub fn boot(&mut self, name: &str) {
        let disk = self.next_disk;
        let machine = self.machines.get_mut(name).expect("a machine");
        if machine.disk.is_empty() {
            encode(
                &Record::Disk {
                    format: FORMAT,
                    disk,
                },
                &mut machine.disk,
            );
            self.next_disk += 1;
        }
        let (records, valid_length) = decode(&machine.disk).expect("a torn tail is not corruption");
        machine.disk.truncate(valid_length);
        let recovered = Recovered::replay(records).expect("valid records");
        let id = ReplicaId {
            disk: recovered.disk,
            node: name.into(),
            address: machine.address,
        };
        machine.last_committed = recovered.state.position.index;
        let identity = Identity {
            id,
            incarnation: self.next_incarnation,
            may_bootstrap: machine.may_bootstrap,
        };
        self.next_incarnation += 1;
        machine.node = Some(ControlNode::new(identity, recovered, self.timing, self.now));
        machine.back_at = None;
        machine.frozen_until = 0;
    }

    /// Kills a process. Pending writes reach the disk, unless the machine loses its power too.
    pub fn kill(&mut self, name: &str, duration: Millis, power: bool) {
        let torn = self.rng.bool();
        let machine = self.machines.get_mut(name).expect("a machine");
        machine.node = None;
        machine.back_at = Some(self.now + duration);
        for write in std::mem::take(&mut machine.writes) {
            if !power {
                machine.disk.extend(write.bytes);
            } else if torn {
                let half = write.bytes.len() / 2;
                machine.disk.extend(&write.bytes[..half]);
                break;
            }
        }
    }

    pub fn wipe(&mut self, name: &str, duration: Millis) {
        self.kill(name, duration, true);
        let machine = self.machines.get_mut(name).expect("a machine");
        machine.disk.clear();
        machine.may_bootstrap = false;
    }

    pub fn freeze(&mut self, name: &str, duration: Millis) {
        self.machines.get_mut(name).expect("a machine").frozen_until = self.now + duration;
    }

    /// Makes all disks work again. Writes that hung are completed.
    pub fn restore_disks(&mut self) {
        for machine in self.machines.values_mut() {
            machine.sync = Some(2);
            let hung = machine
                .writes
                .iter_mut()
                .filter(|write| write.done_at == Millis::MAX);
            hung.for_each(|write| write.done_at = self.now + 2);
        }
    }

    /// The machine whose replica is primary and holds the lease.
    pub fn primary(&self) -> Option<String> {
        let leads = |machine: &Machine| {
            machine.frozen_until <= self.now
                && machine
                    .node
                    .as_ref()
                    .is_some_and(|node| node.leading_epoch(self.now).is_some())
        };
        self.machines
            .iter()
            .find(|(_, machine)| leads(machine))
            .map(|(name, _)| name.clone())
    }

    /// The last time at which a machine's state was known to be the newest.
    pub fn current_at(&self, name: &str) -> Option<Millis> {
        self.machines[name].node.as_ref()?.current_at(self.now)
    }

    pub fn role(&self, name: &str) -> Option<RoleName> {
        self.machines[name].node.as_ref().map(ControlNode::role)
    }

    pub fn submit(&mut self, name: &str, change: Change) -> u64 {
        self.tickets += 1;
        let (ticket, now) = (self.tickets, self.now);
        self.submitted.insert(ticket, change.clone());
        let machine = self.machines.get_mut(name).expect("a machine");
        match &mut machine.node {
            Some(node) => node.submit(ticket, change, now),
            None => {
                self.outcomes.insert(ticket, Outcome::Unknown);
            }
        }
        self.apply_effects(name);
        ticket
    }

    /// Reads the newest configuration from a machine.
    pub fn read(&mut self, name: &str) -> u64 {
        self.tickets += 1;
        let (ticket, now) = (self.tickets, self.now);
        self.version_at_read.insert(ticket, self.newest_version);
        match &mut self.machines.get_mut(name).expect("a machine").node {
            Some(node) => node.read(ticket, now),
            None => {
                self.readings.insert(ticket, ReadOutcome::Unknown);
            }
        }
        self.apply_effects(name);
        ticket
    }

    /// Starts the graceful shutdown of a process, which keeps running until it is killed.
    pub fn leave(&mut self, name: &str) {
        let now = self.now;
        if let Some(node) = &mut self.machines.get_mut(name).expect("a machine").node {
            node.leave(now);
        }
        self.apply_effects(name);
    }

    /// Whether there is a primary and a machine's replica is in its in-sync set.
    pub fn is_in_sync(&self, name: &str) -> bool {
        let Some(primary) = self.primary() else {
            return false;
        };
        let view = self.machines[&primary]
            .node
            .as_ref()
            .and_then(|node| node.view());
        let id = self.machines[name].node.as_ref().map(|node| node.id());
        view.zip(id)
            .is_some_and(|(view, id)| view.in_sync.contains(id))
    }

    /// The number of bytes that were sent to a machine.
    pub fn bytes_sent_to(&self, name: &str) -> u64 {
        self.bytes_sent.get(name).copied().unwrap_or(0)
    }

    /// The index of the primary's last committed change; 0 without a primary.
    pub fn state_index(&self) -> u64 {
        let node = self
            .primary()
            .and_then(|name| self.machines[&name].node.as_ref());
        node.map_or(0, |node| node.state().position.index)
    }

    /// The version of the configuration that the primary returns for a read.
    pub fn newest_reading(&mut self) -> Option<u64> {
        let primary = self.primary()?;
        let ticket = self.read(&primary);
        assert!(
            self.run_until(1_000, |world| world.readings.contains_key(&ticket)),
            "the read is answered"
        );
        match &self.readings[&ticket] {
            ReadOutcome::Latest(Some(stored)) => Some(stored.version),
            _ => None,
        }
    }

    /// Replaces the content of each disk that exceeds `longest` bytes by a snapshot.
    pub fn compact_disks(&mut self, longest: usize) {
        for machine in self.machines.values_mut() {
            let Some(node) = &machine.node else { continue };
            if machine.disk.len() > longest && machine.writes.is_empty() {
                machine.disk.clear();
                node.snapshot()
                    .records()
                    .iter()
                    .for_each(|record| encode(record, &mut machine.disk));
            }
        }
    }

    /// The state of every machine, for the messages of failed assertions.
    pub fn describe(&self) -> String {
        let mut text = format!("at {} ms", self.now);
        for (name, machine) in &self.machines {
            let Some(node) = &machine.node else {
                text += &format!("\n{name} is down");
                continue;
            };
            let names = |replicas: &BTreeSet<ReplicaId>| {
                replicas
                    .iter()
                    .map(ToString::to_string)
                    .collect::<Vec<_>>()
                    .join(" ")
            };
            let view = node.view().map_or_else(String::new, |view| {
                let (in_sync, witnesses) = (names(&view.in_sync), names(&view.witnesses));
                format!(
                    "{} of {}; in sync {in_sync}; witnesses {witnesses}",
                    view.epoch, view.primary
                )
            });
            let snapshot = node.snapshot();
            let (state, tail) = (
                snapshot.state.position,
                snapshot.tail.map(|tail| tail.position),
            );
            text += &format!(
                "\n{} is {:?}, {state:?} {tail:?}, view {view}",
                node.id(),
                node.role()
            );
            text += &format!(
                "; votes {:?} {:?}",
                snapshot
                    .votes
                    .promised
                    .map(|number| (number.round, number.proposer.node)),
                snapshot.votes.accepted.map(|proposal| proposal.view.epoch)
            );
        }
        text
    }

    /// Whether a machine's process may exit.
    pub fn can_shut_down(&self, name: &str) -> bool {
        self.machines[name]
            .node
            .as_ref()
            .is_none_or(ControlNode::can_shut_down)
    }

    /// Whether the current view has `count` witnesses, all of them on running machines.
    pub fn has_only_live_witnesses(&self, count: usize) -> bool {
        let Some(primary) = self.primary() else {
            return false;
        };
        let view = self.machines[&primary]
            .node
            .as_ref()
            .and_then(|node| node.view());
        let replicas = self.replicas();
        view.is_some_and(|view| {
            view.witnesses.len() == count && view.witnesses.is_subset(&replicas)
        })
    }

    /// Whether every machine is running and in sync.
    pub fn is_fully_in_sync(&self) -> bool {
        let Some(primary) = self.primary() else {
            return false;
        };
        let view = self.machines[&primary]
            .node
            .as_ref()
            .and_then(|node| node.view());
        let replicas = self.replicas();
        replicas.len() == self.machines.len() && view.is_some_and(|view| view.in_sync == replicas)
    }

    pub fn run(&mut self, time: Millis) {
        for _ in 0..time {
            self.step();
        }
    }

    /// Runs until a condition holds. Returns false if it does not hold within `time`.
    pub fn run_until(&mut self, time: Millis, holds: impl Fn(&World) -> bool) -> bool {
        for _ in 0..time {
            if holds(self) {
                return true;
            }
            self.step();
        }
        holds(self)
    }

    fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        for name in self.names_where(|machine| machine.back_at.is_some_and(|at| at <= now)) {
            self.boot(&name);
        }
        self.finish_writes();
        self.deliver();
        if now % 50 == 0 {
            self.tick();
        }
    }

    fn names_where(&self, holds: impl Fn(&Machine) -> bool) -> Vec<String> {
        let found = self.machines.iter().filter(|(_, machine)| holds(machine));
        found.map(|(name, _)| name.clone()).collect()
    }

    fn tick(&mut self) {
        let (known, now) = (self.replicas(), self.now);
        for name in
            self.names_where(|machine| machine.node.is_some() && machine.frozen_until <= now)
        {
            let node = self
                .machines
                .get_mut(&name)
                .expect("a machine")
                .node
                .as_mut()
                .expect("up");
            node.set_known_replicas(known.clone());
            node.tick(now);
            self.apply_effects(&name);
        }
    }

    fn finish_writes(&mut self) {
        let now = self.now;
        let has_due_write = |machine: &Machine| {
            machine.frozen_until <= now
                && machine
                    .writes
                    .first()
                    .is_some_and(|write| write.done_at <= now)
        };
        for name in self.names_where(has_due_write) {
            let machine = self.machines.get_mut(&name).expect("a machine");
            let mut done = None;
            while machine
                .writes
                .first()
                .is_some_and(|write| write.done_at <= now)
            {
                let write = machine.writes.remove(0);
                machine.disk.extend(write.bytes);
                done = Some(write.sequence);
            }
            if let (Some(sequence), Some(node)) = (done, &mut machine.node) {
                node.on_stored(sequence, now);
                self.apply_effects(&name);
            }
        }
    }

    /// Applies the effects of a machine's node and checks the invariants.
    fn apply_effects(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).expect("a machine");
        let Some(node) = &mut machine.node else {
            return;
        };
        let effects = node.take_effects();
        let committed = node.state().position.index;
        let now = self.now;
        for effect in effects {
            match effect {
                Effect::Send(envelope) => self.send(name, *envelope),
                Effect::Store { sequence, records } => {
                    let mut bytes = Vec::new();
                    records.iter().for_each(|record| encode(record, &mut bytes));
                    let machine = self.machines.get_mut(name).expect("a machine");
                    let transfer_time = self
                        .bytes_per_ms
                        .map_or(0, |rate| bytes.len() as u64 / rate);
                    let done_at = machine
                        .sync
                        .map_or(Millis::MAX, |sync| now + sync + transfer_time);
                    machine.writes.push(Write {
                        sequence,
                        bytes,
                        done_at,
                    });
                }
                Effect::Reply { ticket, outcome } => {
                    if outcome == Outcome::Committed {
                        self.acknowledge(ticket);
                        self.acknowledged_at.insert(now, committed);
                    }
                    self.outcomes.insert(ticket, outcome);
                }
                Effect::Read { ticket, reading } => {
                    self.check_reading(ticket, &reading);
                    self.readings.insert(ticket, reading);
                }
                Effect::Committed | Effect::Entered { .. } => {}
            }
        }
        self.check(name);
    }
}
