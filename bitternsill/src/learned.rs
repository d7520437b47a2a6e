//! Statistics on index hosts and classes that are retained across restarts in a folder of
//! snapshots. Off the request path, and off unless the operator's file names a folder.

pub mod cli;
pub mod folder;
pub mod writer;

use crate::core::Core;
use crate::front::hosts::HostTable;
use crate::limits::MS;
use dispatch::interface::{Learned, LearnedLatency, LearnedServer, Time};
use folder::Folder;
use learning::age::{self, Aged, AgingConfig};
use learning::snapshot::{ClassStats, Fleet, HostStats, Snapshot, UnixMillis};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use writer::Writer;

/// The section `learning` of an operator's file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LearningSetup {
    /// The folder of snapshots.
    pub folder: PathBuf,
    /// Interval between two snapshots.
    #[serde(default = "default_period")]
    pub period_ms: Period,
}

fn default_period() -> Period {
    Period(1_000)
}

/// Interval between two snapshots, in milliseconds: 100 to 3,600,000.
#[derive(Debug, Clone, Copy)]
pub struct Period(u64);

impl<'de> Deserialize<'de> for Period {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        match serde_json::Value::deserialize(from)?.as_u64() {
            Some(ms) if (100..=3_600_000).contains(&ms) => Ok(Period(ms)),
            _ => Err(serde::de::Error::custom(
                "a whole number from 100 to 3600000 is allowed",
            )),
        }
    }
}

fn unix_millis(time: Time) -> UnixMillis {
    time / MS
}

/// The retained statistics of a gatherer.
pub struct LearnedState {
    snapshot: Snapshot,
    writer: Writer,
    period: Time,
    next_collect: Time,
    next_snapshot: Time,
    /// The loaded snapshot, until there is an endpoint list to age it against.
    loaded: Option<Snapshot>,
    config: AgingConfig,
}

/// Maximum number of hosts that one collection updates in the snapshot.
const MAX_HOSTS_PER_COLLECTION: usize = 64;
/// Interval between two collections, in nanoseconds.
const COLLECT_INTERVAL: Time = 20 * MS;

impl LearnedState {
    /// Opens the folder, loads the newest snapshot and starts the writer. If the folder cannot be
    /// used, this is logged and the gatherer serves without it.
    pub fn open(setup: &LearningSetup, fleet: Fleet, now: Time) -> Option<LearnedState> {
        let folder = match Folder::open(&setup.folder) {
            Ok(folder) => folder,
            Err(problem) => {
                tracing::error!(folder = %setup.folder.display(), %problem, "cannot use the snapshot folder; statistics are not retained");
                return None;
            }
        };
        let found = folder.load();
        for (generation, problem) in &found.unreadable {
            tracing::warn!(
                generation,
                problem = problem.to_string(),
                "skipped an unreadable snapshot"
            );
        }
        match &found.snapshot {
            Some((snapshot, version, generation)) => tracing::info!(
                generation,
                version,
                hosts = snapshot.hosts.len(),
                age_ms = unix_millis(now).saturating_sub(snapshot.taken_at),
                "loaded the newest snapshot"
            ),
            None => tracing::info!("there is no snapshot yet"),
        }
        let period = setup.period_ms.0 * MS;
        Some(LearnedState {
            snapshot: Snapshot::new(fleet),
            writer: Writer::start(folder),
            period,
            next_collect: now,
            next_snapshot: now + period,
            loaded: found.snapshot.map(|(snapshot, ..)| snapshot),
            config: AgingConfig::default(),
        })
    }

    /// When [`LearnedState::turn`] has to be called next.
    pub fn due(&self) -> Time {
        self.next_snapshot
    }

    /// Rearranges the hosts' statistics for the classes of new settings.
    pub fn on_settings(&mut self, fleet: Fleet) {
        let former = std::mem::replace(&mut self.snapshot.fleet, fleet);
        let same = |name: &String| former.classes.iter().position(|f| f == name);
        let former_indexes: Vec<Option<usize>> =
            self.snapshot.fleet.classes.iter().map(same).collect();
        let hosts = std::mem::take(&mut self.snapshot.hosts);
        self.snapshot.hosts = hosts
            .into_iter()
            .map(|(uid, mut host)| {
                let slow = |at: &Option<usize>| {
                    at.and_then(|at| host.slowness.get(at).copied())
                        .unwrap_or(1.0)
                };
                host.slowness = former_indexes.iter().map(slow).collect();
                (uid, host)
            })
            .collect();
    }

    /// Ages the loaded snapshot against the first endpoint list that has a host, and applies it.
    pub fn apply_loaded(&mut self, core: &mut Core, hosts: &HostTable, now: Time) {
        if self.loaded.is_none() || !hosts.any_active() {
            return;
        }
        let Some(loaded) = self.loaded.take() else {
            return;
        };
        let listed: BTreeMap<String, UnixMillis> = hosts
            .listed()
            .map(|(uid, _, born)| (uid.to_owned(), unix_millis(born)))
            .collect();
        let fresh = classes(&self.snapshot.fleet, &core.learned(0));
        match age::age(
            &loaded,
            &self.snapshot.fleet,
            &fresh,
            &listed,
            unix_millis(now),
            &self.config,
        ) {
            Ok(aged) => {
                report(&aged);
                core.restore(self.learned(&aged, hosts));
            }
            Err(unfit) => tracing::warn!(problem = %unfit, "the loaded snapshot cannot be used"),
        }
    }

    fn learned(&self, aged: &Aged, hosts: &HostTable) -> Learned {
        let server = |(uid, stats): &(String, HostStats)| {
            let id = hosts.id_of(uid)?;
            Some((
                id,
                LearnedServer {
                    slowness: stats.slowness.iter().map(|s| f64::from(*s)).collect(),
                    delay: f64::from(stats.delay),
                    limit: f64::from(stats.limit),
                    errors: f64::from(stats.errors),
                    answers: f64::from(stats.weight),
                },
            ))
        };
        let latencies = |of: fn(&ClassStats) -> (f64, f64)| {
            let one = |c: &ClassStats| {
                let (median, p95) = of(c);
                LearnedLatency {
                    median,
                    p95,
                    least: c.least,
                    answers: c.weight.ceil() as usize,
                }
            };
            aged.classes.iter().map(one).collect()
        };
        Learned {
            servers: aged.hosts.iter().filter_map(server).collect(),
            parts: latencies(|c| (c.median, c.p95)),
            attempts: latencies(|c| c.attempts),
        }
    }

    /// Collects updated statistics into the snapshot, and submits the snapshot to the writer at
    /// intervals. Neither step waits for the disk or takes longer with more hosts.
    pub fn turn(&mut self, core: &mut Core, hosts: &HostTable, now: Time) {
        if now >= self.next_collect {
            self.next_collect = now + COLLECT_INTERVAL;
            let learned = core.learned(MAX_HOSTS_PER_COLLECTION);
            for (id, stats) in &learned.servers {
                let Some((uid, born)) = hosts.name_of(*id) else {
                    continue;
                };
                let host = HostStats {
                    started: unix_millis(born),
                    slowness: stats.slowness.iter().map(|s| *s as f32).collect(),
                    delay: stats.delay as f32,
                    limit: stats.limit as f32,
                    errors: stats.errors as f32,
                    weight: stats.answers as f32,
                    updated_at: unix_millis(now),
                };
                self.snapshot.hosts.insert(uid.clone(), host);
            }
            self.snapshot.classes = classes(&self.snapshot.fleet, &learned);
        }
        if now >= self.next_snapshot {
            self.next_snapshot = now + self.period;
            self.submit_snapshot(now);
        }
    }

    /// Removes the statistics of hosts that are no longer on the endpoint list.
    pub fn forget_unlisted(&mut self, hosts: &HostTable) {
        let gone: Vec<Arc<str>> = self
            .snapshot
            .hosts
            .keys()
            .filter(|uid| hosts.id_of(uid).is_none())
            .cloned()
            .collect();
        for uid in gone {
            self.snapshot.hosts.remove(&uid);
        }
    }

    fn submit_snapshot(&mut self, now: Time) {
        self.snapshot.taken_at = unix_millis(now);
        self.writer.submit(self.snapshot.clone());
    }

    /// Submits the last snapshot and waits until it is written, up to a time-out.
    pub fn finish(
        mut self,
        core: &mut Core,
        hosts: &HostTable,
        now: Time,
        timeout: std::time::Duration,
    ) {
        self.next_collect = 0;
        self.next_snapshot = Time::MAX;
        self.turn(core, hosts, now);
        self.submit_snapshot(now);
        self.writer.finish(timeout);
    }
}

fn classes(fleet: &Fleet, learned: &Learned) -> Vec<ClassStats> {
    let class =
        |((name, part), attempt): ((&String, &LearnedLatency), &LearnedLatency)| ClassStats {
            name: name.clone(),
            median: part.median,
            p95: part.p95,
            least: part.least,
            attempts: (attempt.median, attempt.p95),
            weight: part.answers as f64,
        };
    fleet
        .classes
        .iter()
        .zip(&learned.parts)
        .zip(&learned.attempts)
        .map(class)
        .collect()
}

fn report(aged: &Aged) {
    tracing::info!(
        age_ms = aged.age,
        hosts = aged.hosts.len(),
        dropped = aged.dropped.len(),
        "restored statistics from the snapshot"
    );
    let mut reasons: BTreeMap<age::Reason, usize> = BTreeMap::new();
    for (uid, reason) in &aged.dropped {
        *reasons.entry(*reason).or_default() += 1;
        tracing::debug!(uid, %reason, "dropped a host's statistics");
    }
    for (reason, hosts) in reasons {
        tracing::info!(%reason, hosts, "statistics of hosts were dropped");
    }
}
