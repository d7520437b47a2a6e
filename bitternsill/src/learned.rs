//! What is learned, kept in a folder across restarts: off the request path, and off unless an
//! operator's file names one.

pub mod cli;
pub mod folder;
pub mod writer;

use crate::core::Core;
use crate::front::hosts::HostTable;
use crate::limits::MS;
use dispatch::interface::{Learned, LearnedLatency, LearnedServer, Time};
use folder::Folder;
use learning::age::{self, Aged, Rules};
use learning::picture::{ClassMemory, Fleet, HostMemory, Picture, Wall};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use writer::Writer;

/// The folder and how often it is written, as an operator's file has them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LearningSetup {
    /// The folder.
    pub folder: PathBuf,
    /// Milliseconds between two pictures.
    #[serde(default = "usual_period")]
    pub period_ms: Period,
}

fn usual_period() -> Period {
    Period(1_000)
}

/// Milliseconds between two pictures: 100 to 3,600,000.
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

fn wall(time: Time) -> Wall {
    time / MS
}

/// Keeps what is learned.
pub struct Keeper {
    picture: Picture,
    writer: Writer,
    period: Time,
    next_collect: Time,
    next_picture: Time,
    /// What was loaded, until there is a list of hosts to hold it against.
    loaded: Option<Picture>,
    rules: Rules,
}

/// Servers that one turn takes into the picture, at the most.
const AT_ONCE: usize = 64;
/// Between two looks at what was judged.
const COLLECT: Time = 20 * MS;

impl Keeper {
    /// Opens the folder, loads what is in it and starts the writer. A folder that cannot be used is
    /// told and done without: serving comes first.
    pub fn open(setup: &LearningSetup, fleet: Fleet, now: Time) -> Option<Keeper> {
        let folder = match Folder::open(&setup.folder) {
            Ok(folder) => folder,
            Err(problem) => {
                tracing::error!(folder = %setup.folder.display(), %problem, "what is learned is not kept");
                return None;
            }
        };
        let found = folder.load();
        for (generation, problem) in &found.unsound {
            tracing::warn!(
                generation,
                problem,
                "a generation of what was learned is passed over"
            );
        }
        match &found.picture {
            Some((picture, version, generation)) => tracing::info!(
                generation,
                version,
                hosts = picture.hosts.len(),
                age_ms = wall(now).saturating_sub(picture.taken),
                "what was learned is loaded"
            ),
            None => tracing::info!("nothing was learned yet"),
        }
        let period = setup.period_ms.0 * MS;
        Some(Keeper {
            picture: Picture::new(fleet),
            writer: Writer::start(folder),
            period,
            next_collect: now,
            next_picture: now + period,
            loaded: found.picture.map(|(picture, ..)| picture),
            rules: Rules::default(),
        })
    }

    /// When it wants a turn next.
    pub fn due(&self) -> Time {
        self.next_picture
    }

    /// The settings have changed: what is learned is told by other classes from here on.
    pub fn settle(&mut self, fleet: Fleet) {
        let former = std::mem::replace(&mut self.picture.fleet, fleet);
        let same = |name: &String| former.classes.iter().position(|f| f == name);
        let places: Vec<Option<usize>> = self.picture.fleet.classes.iter().map(same).collect();
        let hosts = std::mem::take(&mut self.picture.hosts);
        self.picture.hosts = hosts
            .into_iter()
            .map(|(uid, mut host)| {
                let slow = |at: &Option<usize>| {
                    at.and_then(|at| host.slowness.get(at).copied())
                        .unwrap_or(1.0)
                };
                host.slowness = places.iter().map(slow).collect();
                (uid, host)
            })
            .collect();
    }

    /// With the first list that names a host: what was loaded, as far as it still counts.
    pub fn recall(&mut self, core: &mut Core, hosts: &HostTable, now: Time) {
        if self.loaded.is_none() || !hosts.any_active() {
            return;
        }
        let Some(loaded) = self.loaded.take() else {
            return;
        };
        let listed: BTreeMap<String, Wall> = hosts
            .listed()
            .map(|(uid, _, born)| (uid.to_owned(), wall(born)))
            .collect();
        let fresh = classes(&self.picture.fleet, &core.learned(0));
        match age::age(
            &loaded,
            &self.picture.fleet,
            &fresh,
            &listed,
            wall(now),
            &self.rules,
        ) {
            Ok(aged) => {
                report(&aged);
                core.restore(self.learned(&aged, hosts));
            }
            Err(unfit) => tracing::warn!(problem = %unfit, "what was learned is not taken"),
        }
    }

    fn learned(&self, aged: &Aged, hosts: &HostTable) -> Learned {
        let server = |(uid, memory): &(String, HostMemory)| {
            let id = hosts.id_of(uid)?;
            Some((
                id,
                LearnedServer {
                    slowness: memory.slowness.iter().map(|s| f64::from(*s)).collect(),
                    delay: f64::from(memory.delay),
                    limit: f64::from(memory.limit),
                    errors: f64::from(memory.errors),
                    answers: f64::from(memory.weight),
                },
            ))
        };
        let pace = |of: fn(&ClassMemory) -> (f64, f64)| {
            let one = |c: &ClassMemory| {
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
            parts: pace(|c| (c.median, c.p95)),
            attempts: pace(|c| c.tries),
        }
    }

    /// After a turn: takes what was judged into the picture, and hands that over when it is time.
    /// Neither waits for the disk, and neither grows with the number of hosts.
    pub fn turn(&mut self, core: &mut Core, hosts: &HostTable, now: Time) {
        if now >= self.next_collect {
            self.next_collect = now + COLLECT;
            let learned = core.learned(AT_ONCE);
            for (id, memory) in &learned.servers {
                let Some((uid, born)) = hosts.name_of(*id) else {
                    continue;
                };
                let host = HostMemory {
                    born: wall(born),
                    slowness: memory.slowness.iter().map(|s| *s as f32).collect(),
                    delay: memory.delay as f32,
                    limit: memory.limit as f32,
                    errors: memory.errors as f32,
                    weight: memory.answers as f32,
                    judged: wall(now),
                };
                self.picture.hosts.insert(uid.clone(), host);
            }
            self.picture.classes = classes(&self.picture.fleet, &learned);
        }
        if now >= self.next_picture {
            self.next_picture = now + self.period;
            self.hand_over(now);
        }
    }

    /// Forgets hosts that are no longer on the list.
    pub fn listed(&mut self, hosts: &HostTable) {
        let gone: Vec<Arc<str>> = self
            .picture
            .hosts
            .keys()
            .filter(|uid| hosts.id_of(uid).is_none())
            .cloned()
            .collect();
        for uid in gone {
            self.picture.hosts.remove(&uid);
        }
    }

    fn hand_over(&mut self, now: Time) {
        self.picture.taken = wall(now);
        self.writer.hand(self.picture.clone());
    }

    /// The last picture; waits for it to be written, as long as there is time.
    pub fn finish(
        mut self,
        core: &mut Core,
        hosts: &HostTable,
        now: Time,
        patience: std::time::Duration,
    ) {
        self.next_collect = 0;
        self.next_picture = Time::MAX;
        self.turn(core, hosts, now);
        self.hand_over(now);
        self.writer.finish(patience);
    }
}

fn classes(fleet: &Fleet, learned: &Learned) -> Vec<ClassMemory> {
    let class =
        |((name, part), attempt): ((&String, &LearnedLatency), &LearnedLatency)| ClassMemory {
            name: name.clone(),
            median: part.median,
            p95: part.p95,
            least: part.least,
            tries: (attempt.median, attempt.p95),
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
        "what was learned is taken"
    );
    let mut reasons: BTreeMap<age::Reason, usize> = BTreeMap::new();
    for (uid, reason) in &aged.dropped {
        *reasons.entry(*reason).or_default() += 1;
        tracing::debug!(uid, %reason, "dropped");
    }
    for (reason, hosts) in reasons {
        tracing::info!(%reason, hosts, "dropped of what was learned");
    }
}
