//! Simulation of a store's members in virtual time, reproducible by seed. Messages are delayed,
//! lost, duplicated and reordered; links are partitioned; members lose power and files.
#![allow(dead_code)] // each simulation uses only a part

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use store::Time;
use store::command::Change;
use store::log::{Position, Snapshot};
use store::member::{Bounds, Membership, Store, Timing, Write};
use store::message::{Envelope, Message};
use store::persisted::PersistedState;
use store::record::{MAGIC, Record, encode, read};
use store::rejoin::{PeerStatus, Status, StatusResponse};

pub const MS: Time = 1_000_000;

/// A fault in the members that the simulation injects, to show that its checks detect the fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InjectedFault {
    None,
    /// Writes are reported as completed too early: votes and acknowledgements are sent before the
    /// disk is synced.
    AcknowledgesBeforeSync,
    /// A member that has lost its file votes as if it had newly joined.
    VotesAfterLoss,
    /// A restart forgets the vote in the file.
    ForgetsVote,
    /// A member that has lost its file accepts any leader's state, however old.
    NoCatchUpTarget,
    /// A member votes for candidates whose log is out of date.
    VotesForAnyone,
    /// A leader answers reads without confirming that it still leads.
    UnconfirmedReads,
}

/// A random delay, usually up to the first limit and rarely up to the second, both in milliseconds.
fn delay(rng: &mut fastrand::Rng, usual_limit: u64, rare_limit: u64) -> Time {
    let limit = if rng.u8(..) < 10 {
        rare_limit
    } else {
        usual_limit
    };
    rng.u64(0..=limit) * MS
}

pub struct Member {
    pub store: Option<Store>,
    /// Durable records of the file.
    disk: Vec<Record>,
    /// Writes in progress, and when each completes.
    pub writes: Vec<(Time, Write)>,
    restart_at: Time,
    /// Id of the store in the member's identity file.
    voted_in: u64,
    /// Whether the file was lost and the member has not caught up yet.
    pub impaired: bool,
}

pub struct World {
    pub rng: fastrand::Rng,
    pub fault: InjectedFault,
    pub now: Time,
    pub members: BTreeMap<u64, Member>,
    in_flight: Vec<(Time, u64, u64, Envelope)>,
    /// Partitioned links, each in one direction.
    partitioned: BTreeSet<(u64, u64)>,
    /// Changes that any member has ever applied, by index.
    log: BTreeMap<u64, Change>,
    /// Highest index that any member has ever applied.
    pub max_applied: u64,
}

impl World {
    pub fn new(seed: u64, count: u64, fault: InjectedFault) -> World {
        let member = |id| {
            let (disk, writes) = (Vec::new(), Vec::new());
            (
                id,
                Member {
                    store: None,
                    disk,
                    writes,
                    restart_at: 0,
                    voted_in: 0,
                    impaired: false,
                },
            )
        };
        World {
            rng: fastrand::Rng::with_seed(seed),
            fault,
            now: 0,
            members: (1..=count).map(member).collect(),
            in_flight: Vec::new(),
            partitioned: BTreeSet::new(),
            log: BTreeMap::new(),
            max_applied: 0,
        }
    }

    fn start_member(&mut self, id: u64) {
        let members: BTreeSet<u64> = self.members.keys().copied().collect();
        let member = self.members.get_mut(&id).expect("a member");
        // The records are encoded and decoded, with zeros after them as left by an interrupted
        // write.
        let mut bytes = MAGIC.to_vec();
        let positions = (1..).zip(&member.disk);
        positions.for_each(|(place, record)| bytes.extend(encode(record, place)));
        bytes.extend(std::iter::repeat_n(0u8, self.rng.usize(0..15)));
        let mut records = read(&bytes).expect("a torn tail is not corruption").records;
        if self.fault == InjectedFault::ForgetsVote {
            records.retain(|record| !matches!(record, Record::Vote(_)));
        }
        // The settings do not change after the first start.
        let membership = Membership {
            id,
            members,
            bootstraps: id == 1,
            era: 0,
        };
        let timing = Timing {
            heartbeat: 40 * MS,
            election: 160 * MS,
        };
        let bounds = Bounds {
            log: 12,
            keys: 100,
            value_bytes: 100,
            sessions: 8,
            txn_keys: 8,
            calls: 8,
            history: 40,
        };
        let seed = self.rng.u64(..);
        let file_lost = records.is_empty()
            && member.voted_in != 0
            && self.fault != InjectedFault::VotesAfterLoss;
        let persisted = if file_lost {
            PersistedState::lost_file(member.voted_in)
        } else {
            PersistedState::from_records(records)
        };
        member.store = Some(Store::start(
            &membership,
            timing,
            bounds,
            seed,
            Some(persisted),
            self.now,
        ));
    }

    /// Simulates a power failure: the memory and all unsynced writes are lost.
    pub fn crash(&mut self, id: u64, downtime: Time) {
        let member = self.members.get_mut(&id).expect("a member");
        (member.store, member.restart_at) = (None, self.now + downtime);
        member.writes.clear();
    }

    /// Simulates a power failure with loss of the file, unless half or more of the members would
    /// then be impaired.
    fn lose_file(&mut self, id: u64, downtime: Time) {
        let impaired = self
            .members
            .values()
            .filter(|member| member.impaired)
            .count();
        if impaired + 1 > (self.members.len() - 1) / 2 {
            return;
        }
        self.crash(id, downtime);
        let keeps_identity_file = self.rng.bool();
        let members = self.members.keys().copied().collect();
        let member = self.members.get_mut(&id).expect("a member");
        (member.disk, member.impaired) = (Vec::new(), true);
        if self.fault == InjectedFault::VotesAfterLoss && member.voted_in != 0 {
            let snapshot = Snapshot {
                members,
                ..Snapshot::default()
            };
            let (cluster, started) = (Record::Cluster(member.voted_in), Record::Start(1 << 20));
            member.disk = vec![cluster, started, Record::Snapshot(snapshot), Record::Joined];
        } else if !keeps_identity_file {
            member.voted_in = 0;
        }
    }

    pub fn step(&mut self) -> Result<(), String> {
        self.now += MS;
        let ids: Vec<u64> = self.members.keys().copied().collect();
        for id in &ids {
            let member = &self.members[id];
            if member.store.is_none() && member.restart_at <= self.now {
                self.start_member(*id);
            }
            let member = self.members.get_mut(id).expect("a member");
            while member.writes.first().is_some_and(|(at, _)| *at <= self.now) {
                let (_, write) = member.writes.remove(0);
                if write.replaces {
                    member.disk.clear();
                }
                if write
                    .records
                    .iter()
                    .any(|record| matches!(record, Record::Term(term) if *term > 0))
                {
                    member.voted_in = member.store.as_ref().map_or(0, Store::cluster);
                }
                member.disk.extend(write.records);
                if let Some(store) = &mut member.store {
                    store.on_written(write.number);
                }
            }
            if let Some(store) = &mut member.store {
                store.timer(self.now);
                // The member has caught up once the snapshot is durable.
                member.impaired &= store.status() != Status::Active || !member.writes.is_empty();
            }
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        for (_, from, to, envelope) in due {
            if !self.partitioned.contains(&(from, to))
                && let Some(store) = self.members.get_mut(&to).and_then(|m| m.store.as_mut())
            {
                let mut envelope = Envelope::read(envelope.write().as_bytes())
                    .map_err(|problem| problem.to_string())?;
                match (self.fault, &mut envelope.message) {
                    (
                        InjectedFault::NoCatchUpTarget,
                        Message::StatusResponse(StatusResponse { last, .. }),
                    ) if store.status() == Status::Lost => {
                        (*last, envelope.term) = (Position::default(), 0);
                    }
                    (
                        InjectedFault::VotesAfterLoss,
                        Message::StatusResponse(StatusResponse {
                            status, superseded, ..
                        }),
                    ) if store.status() == Status::Unverified => {
                        (*status, *superseded) = (PeerStatus::Unverified, false);
                    }
                    (InjectedFault::VotesForAnyone, Message::RequestVote { last }) => {
                        *last = Position {
                            index: last.index,
                            term: u64::MAX,
                        };
                    }
                    _ => {}
                }
                if let (
                    InjectedFault::UnconfirmedReads,
                    Message::ReadIndex {
                        number,
                        incarnation,
                    },
                    true,
                ) = (self.fault, &envelope.message, store.is_leader())
                {
                    let message = Message::ReadIndexResponse {
                        number: *number,
                        incarnation: *incarnation,
                        index: store.applied(),
                    };
                    let response = Envelope {
                        from: to,
                        cluster: envelope.cluster,
                        term: envelope.term,
                        message,
                        ..Envelope::default()
                    };
                    self.in_flight.push((now + MS, to, from, response));
                }
                // A member may still send messages of a store whose bootstrap has failed.
                let _ = store.receive(envelope, now);
            }
        }
        for id in ids {
            self.take_output(id)?;
        }
        Ok(())
    }

    /// Handles a member's output: writes, messages to other members, and applied changes.
    fn take_output(&mut self, id: u64) -> Result<(), String> {
        let Some(member) = self.members.get_mut(&id) else {
            return Ok(());
        };
        let Some(store) = &mut member.store else {
            return Ok(());
        };
        for write in store.take_writes() {
            let after = member.writes.last().map_or(self.now, |(at, _)| *at);
            let at = after + delay(&mut self.rng, 4, 60);
            let number = write.number;
            member.writes.push((at, write));
            if self.fault == InjectedFault::AcknowledgesBeforeSync {
                store.on_written(number);
            }
        }
        let mut committed: BTreeMap<u64, Vec<Change>> = BTreeMap::new();
        for (revision, change) in store.take_committed() {
            committed.entry(revision).or_default().push(change);
        }
        for (revision, changes) in committed {
            // A snapshot reports every key at its own index; the change of the entry at that index
            // is among them.
            match self.log.get(&revision) {
                Some(applied) if !changes.contains(applied) => {
                    return Err(format!(
                        "revision {revision}: member {id} applied {changes:?}, but {applied:?} was applied before"
                    ));
                }
                None if changes.len() == 1 => drop(self.log.insert(revision, changes[0].clone())),
                _ => {}
            }
        }
        self.max_applied = self.max_applied.max(store.applied());
        for (to, envelope) in store.take_outbox() {
            for _ in 0..if self.rng.u8(..) < 10 { 2 } else { 1 } {
                if self.rng.u8(..) >= 12 {
                    let at = self.now + MS + delay(&mut self.rng, 4, 80);
                    self.in_flight.push((at, id, to, envelope.clone()));
                }
            }
        }
        Ok(())
    }

    /// Runs with faults, then without. All members have to converge to a state that includes every
    /// change that any member had applied.
    pub fn run(&mut self) -> Result<(), String> {
        self.run_with_faults(3000, |_| Ok(()))?;
        self.run_until_converged()
    }

    /// Runs with faults for this many milliseconds, and calls back after each.
    pub fn run_with_faults(
        &mut self,
        duration_ms: u64,
        mut each: impl FnMut(&mut World) -> Result<(), String>,
    ) -> Result<(), String> {
        let count = self.members.len() as u64;
        let (mut number, long_faults) = (0, self.rng.bool());
        let max_downtime_ms = if long_faults { 900 } else { 120 };
        for _ in 0..duration_ms {
            self.step()?;
            each(self)?;
            let (id, other) = (self.rng.u64(1..=count), self.rng.u64(1..=count));
            match self.rng.u16(..1000) {
                0..40 => {
                    number += 1;
                    if let Some(store) = self.members.get_mut(&id).and_then(|m| m.store.as_mut()) {
                        let _ = store.put(&format!("k{id}"), &format!("v{number}"), self.now);
                    }
                }
                40..46 => {
                    let downtime = delay(&mut self.rng, max_downtime_ms, max_downtime_ms);
                    self.crash(id, downtime);
                }
                // Power failure of all members.
                46..47 => (1..=count).for_each(|id| self.crash(id, 20 * MS)),
                47..55 => drop(self.partitioned.insert((id, other))),
                // With long faults, some partitions outlast an election.
                55..75 if !long_faults || self.rng.u8(..) < 50 => self.partitioned.clear(),
                75..79 => {
                    let downtime = delay(&mut self.rng, max_downtime_ms, max_downtime_ms);
                    self.lose_file(id, downtime);
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Runs without faults until all members have converged.
    fn run_until_converged(&mut self) -> Result<(), String> {
        self.heal();
        for _ in 0..40 {
            for _ in 0..500 {
                self.step()?;
            }
            if self.has_converged() {
                return Ok(());
            }
        }
        let states: Vec<_> = self
            .members
            .values()
            .filter_map(|m| m.store.as_ref())
            .collect();
        let states: Vec<_> = states
            .iter()
            .map(|s| (s.applied(), s.status(), s.waiting_for(), s.state()))
            .collect();
        Err(format!(
            "no convergence 20 s after the last fault: entry {} was applied; members: {states:?}",
            self.max_applied
        ))
    }

    /// Heals all partitions.
    pub fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// Whether all members run, and have equal states with every change that was ever applied.
    pub fn has_converged(&self) -> bool {
        let stores: Vec<_> = self
            .members
            .values()
            .filter_map(|m| m.store.as_ref())
            .collect();
        let is_current = |store: &&Store| {
            store.applied() >= self.max_applied && store.state() == stores[0].state()
        };
        stores.len() == self.members.len() && stores.iter().all(is_current)
    }
}

/// Number of seeds to run: `STORE_SEEDS`, or 60.
pub fn seeds() -> u64 {
    std::env::var("STORE_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(60)
}

/// Runs the seeds in parallel; returns the lowest failing seed, with its failure.
pub fn first_failure(
    seeds: u64,
    run: impl Fn(u64) -> Result<(), String> + Sync,
) -> Option<(u64, String)> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let found = Mutex::new(None::<(u64, String)>);
    std::thread::scope(|scope| {
        for first in 0..threads {
            let (found, run) = (&found, &run);
            scope.spawn(move || {
                for seed in (first..seeds).step_by(threads as usize) {
                    // Seeds above a failing one need not be run.
                    if found
                        .lock()
                        .unwrap()
                        .as_ref()
                        .is_some_and(|(earlier, _)| *earlier < seed)
                    {
                        return;
                    }
                    if let Err(failure) = run(seed) {
                        let mut found = found.lock().unwrap();
                        if found.as_ref().is_none_or(|(earlier, _)| seed < *earlier) {
                            *found = Some((seed, failure));
                        }
                        return;
                    }
                }
            });
        }
    });
    found.into_inner().unwrap()
}
