//! Replicas of the control state in virtual time: messages late, lost and cut; disks slow, stuck
//! and wiped; power lost.
#![allow(dead_code)] // each test program uses its share

pub mod orders;

use control::Millis;
use control::changes::{Change, Outcome, ReadOutcome};
use control::configuration::Configuration;
use control::message::{Envelope, Message};
use control::node::{ControlNode, Effect, Identity, RoleName, Timing};
use control::storage::{FORMAT, Record, Recovered, decode, encode};
use control::view::{ReplicaId, View};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A change that is told apart from others.
pub fn change(model: &str, version: u64) -> Change {
    Change::Weights {
        model: model.into(),
        version,
    }
}

/// A configuration of a version on top of another.
pub fn configuration(base: u64, version: u64, mark: &str) -> Change {
    let body = format!(r#"{{"version":{version},"mark":"{mark}","routes":[],"services":[]}}"#);
    Change::Configuration {
        base,
        body: body.into_bytes().into(),
    }
}

/// So many machines are named to all others at the first start.
const SEEDS: usize = 3;
/// The longest time by which a message is late.
const LONGEST_DELAY: Millis = 3_000;

struct Write {
    sequence: u64,
    bytes: Vec<u8>,
    done_at: Millis,
}

pub struct Machine {
    pub node: Option<ControlNode>,
    /// What has been synced.
    disk: Vec<u8>,
    writes: Vec<Write>,
    /// Time that a sync takes; none where the disk hangs.
    pub sync: Option<Millis>,
    /// Stands still until then.
    pub frozen_until: Millis,
    back_at: Option<Millis>,
    address: SocketAddrV4,
    /// Whether it has never lost its disk, so that it may vote on the first view.
    may_bootstrap: bool,
    /// The highest change that this life has shown as committed.
    shown: u64,
}

struct Wire {
    at: Millis,
    envelope: Envelope,
}

/// What becomes of a message that is intercepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interception {
    Deliver,
    Drop,
    /// It arrives when [`World::release_held`] is called.
    Hold,
}

type Interceptor = Box<dyn Fn(&Envelope) -> Interception>;

pub struct World {
    pub rng: fastrand::Rng,
    pub now: Millis,
    pub machines: BTreeMap<String, Machine>,
    pub timing: Timing,
    wires: Vec<Wire>,
    /// Pairs that can't reach each other, in one direction.
    pub cut: BTreeSet<(String, String)>,
    pub loss: f64,
    pub latency: Millis,
    /// How many of the messages arrive late, up to seconds.
    pub late: f64,
    /// Decides about each message that is sent.
    pub interceptor: Option<Interceptor>,
    held: Vec<Envelope>,
    tickets: u64,
    pub outcomes: BTreeMap<u64, Outcome>,
    /// A digest of the state that was first shown as committed, by the index of its last change.
    committed: BTreeMap<u64, u64>,
    /// The newest version of the configuration that was acknowledged, and the one at the time of
    /// each question.
    newest_version: u64,
    asked_at_version: BTreeMap<u64, u64>,
    /// Changes that were acknowledged.
    pub acknowledged: Vec<Change>,
    pub asked: BTreeMap<u64, Change>,
    /// Holders of the lease, by epoch.
    pub holders: BTreeMap<u64, ReplicaId>,
    /// The views that replicas took for decided, by epoch.
    views: BTreeMap<u64, View>,
    /// What callers read, by ticket.
    pub readings: BTreeMap<u64, ReadOutcome>,
    /// Bytes of messages that were sent to each machine.
    bytes_sent: BTreeMap<String, u64>,
    /// How fast links and disks are; at once where that does not matter.
    pub bytes_per_ms: Option<u64>,
    next_disk: u64,
    next_life: u64,
    next_address: u8,
}

impl World {
    pub fn new(seed: u64, count: usize, faults: usize) -> Self {
        let mut world = World {
            rng: fastrand::Rng::with_seed(seed),
            now: 1_000,
            machines: BTreeMap::new(),
            timing: Timing::tolerating(faults),
            wires: Vec::new(),
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
            asked_at_version: BTreeMap::new(),
            acknowledged: Vec::new(),
            asked: BTreeMap::new(),
            holders: BTreeMap::new(),
            views: BTreeMap::new(),
            readings: BTreeMap::new(),
            bytes_sent: BTreeMap::new(),
            bytes_per_ms: None,
            next_disk: 1,
            next_life: 1,
            next_address: 0,
        };
        for number in 0..count {
            world.add(&format!("n{number}"));
        }
        world
    }

    /// A new machine with an empty disk, at an address of its own.
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
            may_bootstrap: true,
            shown: 0,
        };
        self.machines.insert(name.to_owned(), machine);
        self.boot(name);
    }

    /// A new machine that comes after the system began.
    pub fn add_without_founding(&mut self, name: &str) {
        self.add(name);
        self.machines
            .get_mut(name)
            .expect("a machine")
            .may_bootstrap = false;
    }

    /// A machine is gone for good.
    pub fn remove(&mut self, name: &str) {
        self.machines.remove(name);
    }

    /// A group that has been founded and has a primary.
    pub fn founded(seed: u64, count: usize, faults: usize) -> Self {
        let mut world = World::new(seed, count, faults);
        world.bootstrap("n0");
        world.run(500);
        assert!(world.primary().is_some(), "the first view has a primary");
        world
    }

    /// A machine has the first view decided, by the replicas of the first three machines.
    pub fn bootstrap(&mut self, founder: &str) {
        self.found_with(founder, self.machines.len());
    }

    /// A machine has the first view decided, by the replicas of the first three machines, and as
    /// far as it knows the others.
    pub fn found_with(&mut self, founder: &str, known: usize) {
        let seeds = self.machines.values().take(SEEDS);
        let unheard = |address| ReplicaId {
            disk: 0,
            node: "".into(),
            address,
        };
        let replica = |machine: &Machine| machine.node.as_ref().map(|node| node.id().clone());
        let electorate = seeds
            .map(|machine| replica(machine).unwrap_or_else(|| unheard(machine.address)))
            .collect();
        let replicas = self
            .machines
            .values()
            .take(known)
            .filter_map(replica)
            .collect();
        let now = self.now;
        if let Some(node) = &mut self.machines.get_mut(founder).expect("a machine").node {
            node.bootstrap(electorate, replicas, now);
        }
        self.collect(founder);
    }

    /// The replicas of all machines that run.
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
        let (records, sound) = decode(&machine.disk).expect("a torn tail is no damage");
        machine.disk.truncate(sound);
        let recovered = Recovered::replay(records).expect("sound records");
        let id = ReplicaId {
            disk: recovered.disk,
            node: name.into(),
            address: machine.address,
        };
        machine.shown = recovered.state.position.index;
        let identity = Identity {
            id,
            incarnation: self.next_life,
            may_bootstrap: machine.may_bootstrap,
        };
        self.next_life += 1;
        machine.node = Some(ControlNode::new(identity, recovered, self.timing, self.now));
        machine.back_at = None;
        machine.frozen_until = 0;
    }

    /// The process ends; what it wrote stays where power stays.
    pub fn kill(&mut self, name: &str, for_: Millis, power: bool) {
        let torn = self.rng.bool();
        let machine = self.machines.get_mut(name).expect("a machine");
        machine.node = None;
        machine.back_at = Some(self.now + for_);
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

    pub fn wipe(&mut self, name: &str, for_: Millis) {
        self.kill(name, for_, true);
        let machine = self.machines.get_mut(name).expect("a machine");
        machine.disk.clear();
        machine.may_bootstrap = false;
    }

    pub fn freeze(&mut self, name: &str, for_: Millis) {
        self.machines.get_mut(name).expect("a machine").frozen_until = self.now + for_;
    }

    pub fn cut_off(&mut self, name: &str) {
        for other in self.names() {
            if other != name {
                self.cut.insert((name.to_owned(), other.clone()));
                self.cut.insert((other, name.to_owned()));
            }
        }
    }

    /// Disks work again; what hung is written now.
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

    /// Intercepts the messages to a machine from now on.
    pub fn intercept(&mut self, to: &str, decide: impl Fn(&Message) -> Interception + 'static) {
        let to = to.to_owned();
        self.interceptor = Some(Box::new(move |envelope| match envelope.to.node == to {
            true => decide(&envelope.message),
            false => Interception::Deliver,
        }));
    }

    /// The messages that were held back arrive, as after a cut that has healed. Returns how many.
    pub fn release_held(&mut self) -> usize {
        let held = std::mem::take(&mut self.held);
        let count = held.len();
        let at = self.now + 1;
        self.wires
            .extend(held.into_iter().map(|envelope| Wire { at, envelope }));
        count
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// The machine whose replica leads under a lease.
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

    /// When a machine's state was last known to be the newest.
    pub fn current_at(&self, name: &str) -> Option<Millis> {
        self.machines[name].node.as_ref()?.current_at(self.now)
    }

    pub fn role(&self, name: &str) -> Option<RoleName> {
        self.machines[name].node.as_ref().map(ControlNode::role)
    }

    pub fn submit(&mut self, name: &str, change: Change) -> u64 {
        self.tickets += 1;
        let (ticket, now) = (self.tickets, self.now);
        self.asked.insert(ticket, change.clone());
        let machine = self.machines.get_mut(name).expect("a machine");
        match &mut machine.node {
            Some(node) => node.submit(ticket, change, now),
            None => {
                self.outcomes.insert(ticket, Outcome::Unknown);
            }
        }
        self.collect(name);
        ticket
    }

    /// Asks a machine for the newest configuration.
    pub fn read(&mut self, name: &str) -> u64 {
        self.tickets += 1;
        let (ticket, now) = (self.tickets, self.now);
        self.asked_at_version.insert(ticket, self.newest_version);
        match &mut self.machines.get_mut(name).expect("a machine").node {
            Some(node) => node.read(ticket, now),
            None => {
                self.readings.insert(ticket, ReadOutcome::Unknown);
            }
        }
        self.collect(name);
        ticket
    }

    /// A machine's process is told to end; it goes on until it is killed.
    pub fn leave(&mut self, name: &str) {
        let now = self.now;
        if let Some(node) = &mut self.machines.get_mut(name).expect("a machine").node {
            node.leave(now);
        }
        self.collect(name);
    }

    /// Whether a machine's replica is in the primary's in-sync set, and the primary leads.
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

    /// How many bytes were sent to a machine.
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

    /// The version that the primary answers a question with.
    pub fn newest_reading(&mut self) -> Option<u64> {
        let primary = self.primary()?;
        let ticket = self.read(&primary);
        assert!(
            self.until(1_000, |world| world.readings.contains_key(&ticket)),
            "it is answered"
        );
        match &self.readings[&ticket] {
            ReadOutcome::Latest(Some(stored)) => Some(stored.version),
            _ => None,
        }
    }

    /// Puts a snapshot in place of what a disk holds, where that is longer than so many bytes.
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

    /// How every machine stands, for the message of a test that fails.
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
            let held = node.snapshot();
            let (state, tail) = (held.state.position, held.tail.map(|tail| tail.position));
            text += &format!(
                "\n{} is {:?}, {state:?} {tail:?}, view {view}",
                node.id(),
                node.role()
            );
            text += &format!(
                "; votes {:?} {:?}",
                held.votes.promised.map(|b| (b.round, b.proposer.node)),
                held.votes.accepted.map(|a| a.view.epoch)
            );
        }
        text
    }

    /// Whether a machine's process may end.
    pub fn can_shut_down(&self, name: &str) -> bool {
        self.machines[name]
            .node
            .as_ref()
            .is_none_or(ControlNode::can_shut_down)
    }

    /// Whether the present view has so many witnesses, all of them replicas that run.
    pub fn counts_only_living(&self, count: usize) -> bool {
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

    /// Whether every machine runs and stores every change.
    pub fn is_whole(&self) -> bool {
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

    /// Runs until something holds; false where it does not within a time.
    pub fn until(&mut self, time: Millis, holds: impl Fn(&World) -> bool) -> bool {
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
            self.collect(&name);
        }
    }

    fn finish_writes(&mut self) {
        let now = self.now;
        let has_due = |machine: &Machine| {
            machine.frozen_until <= now
                && machine
                    .writes
                    .first()
                    .is_some_and(|write| write.done_at <= now)
        };
        for name in self.names_where(has_due) {
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
                self.collect(&name);
            }
        }
    }

    /// The machine at an address; none where it is gone.
    fn name_of(&self, address: SocketAddrV4) -> Option<&String> {
        let found = self
            .machines
            .iter()
            .find(|(_, machine)| machine.address == address);
        found.map(|(name, _)| name)
    }

    fn deliver(&mut self) {
        let now = self.now;
        if !self.wires.iter().any(|wire| wire.at <= now) {
            return;
        }
        let mut due = Vec::new();
        let mut later = Vec::new();
        for wire in std::mem::take(&mut self.wires) {
            let Some(to) = self.name_of(wire.envelope.to.address).cloned() else {
                continue;
            };
            let frozen = self.machines[&to].frozen_until > now;
            if wire.at <= now && !frozen {
                due.push((to, wire.envelope))
            } else {
                later.push(wire)
            }
        }
        self.wires.extend(later);
        for (to, envelope) in due {
            let machine = self.machines.get_mut(&to).expect("a machine");
            if let Some(node) = &mut machine.node {
                node.receive(envelope, now);
                self.collect(&to);
            }
        }
    }

    /// Carries out the effects of a machine, and checks what it shows.
    fn collect(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).expect("a machine");
        let Some(node) = &mut machine.node else {
            return;
        };
        let effects = node.take_effects();
        let now = self.now;
        for effect in effects {
            match effect {
                Effect::Send(envelope) => self.send(name, *envelope),
                Effect::Store { sequence, records } => {
                    let mut bytes = Vec::new();
                    records.iter().for_each(|record| encode(record, &mut bytes));
                    let machine = self.machines.get_mut(name).expect("a machine");
                    let writing = self
                        .bytes_per_ms
                        .map_or(0, |rate| bytes.len() as u64 / rate);
                    let done_at = machine
                        .sync
                        .map_or(Millis::MAX, |sync| now + sync + writing);
                    machine.writes.push(Write {
                        sequence,
                        bytes,
                        done_at,
                    });
                }
                Effect::Reply { ticket, outcome } => {
                    if outcome == Outcome::Committed {
                        self.acknowledge(ticket);
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

    fn send(&mut self, from: &str, envelope: Envelope) {
        let Some(to) = self.name_of(envelope.to.address).cloned() else {
            return;
        };
        if self.cut.contains(&(from.to_owned(), to.clone())) || self.rng.f64() < self.loss {
            return;
        }
        let intercept = |interceptor: &Interceptor| interceptor(&envelope);
        match self.interceptor.as_ref().map(intercept) {
            Some(Interception::Drop) => return,
            Some(Interception::Hold) => return self.held.push(envelope),
            Some(Interception::Deliver) | None => {}
        }
        let bytes = encode_message(&envelope.message);
        *self.bytes_sent.entry(to).or_default() += bytes.len() as u64;
        let transmission = self
            .bytes_per_ms
            .map_or(0, |rate| bytes.len() as u64 / rate);
        let message = decode_message(&bytes);
        let is_late = self.late > 0.0 && self.rng.f64() < self.late;
        let delay = if is_late {
            self.rng.u64(0..=LONGEST_DELAY)
        } else {
            self.rng.u64(0..=self.latency)
        };
        let at = self.now + self.latency + delay + transmission;
        self.wires.push(Wire {
            at,
            envelope: Envelope {
                message,
                ..envelope
            },
        });
    }

    fn acknowledge(&mut self, ticket: u64) {
        let change = self.asked[&ticket].clone();
        if let Change::Configuration { body, .. } = &change {
            let version = Configuration::parse(body)
                .expect("an accepted configuration")
                .version;
            self.newest_version = self.newest_version.max(version);
        }
        self.acknowledged.push(change);
    }

    /// What is read is never older than what was acknowledged before the question.
    fn check_reading(&self, ticket: u64, reading: &ReadOutcome) {
        if let ReadOutcome::Latest(configuration) = reading {
            let read = configuration.as_ref().map_or(0, |stored| stored.version);
            let newest = self.asked_at_version[&ticket];
            assert!(
                read >= newest,
                "{read} was read after {newest} had been acknowledged"
            );
        }
    }

    /// No replica goes back, and no two of them commit different changes at one place.
    fn check(&mut self, name: &str) {
        let now = self.now;
        let machine = self.machines.get_mut(name).expect("a machine");
        let Some(node) = &machine.node else { return };
        let index = node.state().position.index;
        assert!(
            index >= machine.shown,
            "{name} went back from {} to {index}",
            machine.shown
        );
        if index != machine.shown {
            let mut digest = DefaultHasher::new();
            node.state().hash(&mut digest);
            let digest = digest.finish();
            let first = *self.committed.entry(index).or_insert(digest);
            assert_eq!(first, digest, "{name} committed something else at {index}");
        }
        machine.shown = index;
        if let Some(view) = node.view() {
            let first = self.views.entry(view.epoch).or_insert_with(|| view.clone());
            assert_eq!(
                first, view,
                "two views were decided for epoch {}",
                view.epoch
            );
        }
        if let Some(epoch) = node.leading_epoch(now) {
            let id = node.id().clone();
            let holder = self.holders.entry(epoch).or_insert_with(|| id.clone());
            assert_eq!(*holder, id, "two holders in epoch {epoch}");
        }
    }

    /// At most one replica leads at any moment.
    pub fn leaders(&self) -> usize {
        let leads = |node: &ControlNode| node.leading_epoch(self.now).is_some();
        self.machines
            .values()
            .filter_map(|machine| machine.node.as_ref())
            .filter(|node| leads(node))
            .count()
    }

    /// Everything that was acknowledged is in the newest state.
    pub fn assert_nothing_lost(&self) {
        let name = self.primary().expect("a primary");
        let state = self.machines[&name].node.as_ref().expect("up").state();
        for change in &self.acknowledged {
            assert!(
                state
                    .evaluate(change)
                    .is_some_and(|outcome| outcome == Outcome::Committed),
                "lost: {change:?}"
            );
        }
    }
}

fn encode_message(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).expect("a message has bytes")
}

fn decode_message(bytes: &[u8]) -> Message {
    postcard::from_bytes(bytes).expect("a message's bytes")
}
