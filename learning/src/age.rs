//! Ageing: what of a picture still counts, how much, and why the rest does not.

use crate::picture::{ClassMemory, Fleet, HostMemory, Picture, Wall};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// How ageing judges.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// What is learned of a host counts half after this, in milliseconds.
    pub host_half_life: Wall,
    /// What is learned of a class counts half after this.
    pub class_half_life: Wall,
    /// So many answers of a class count in full; fewer count for their share.
    pub class_weight: f64,
    /// The same of a host. A host that is left out because it is slow is judged by few answers, and
    /// these say enough.
    pub host_weight: f64,
    /// What counts for less than this counts for nothing.
    pub floor: f64,
    /// A host this much slower than its peers is held to be slow.
    pub slow: f32,
    /// If more than this share of the hosts is slow, the cause is common.
    pub common: f64,
    /// Nothing is older than this; a clock that says so has jumped.
    pub oldest: Wall,
    /// The limit that a host of which nothing is known starts with.
    pub start_limit: f32,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            host_half_life: 60_000,
            class_half_life: 3_600_000,
            class_weight: 8.0,
            host_weight: 2.0,
            floor: 0.05,
            slow: 2.0,
            common: 0.5,
            oldest: 366 * 86_400_000,
            start_limit: 3.0,
        }
    }
}

/// Why something of a picture is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It is not on the list.
    NotListed,
    /// It has started since: it is another process, and cold.
    Restarted,
    /// Too old, or from too few answers.
    CountsForNothing,
    /// Nearly all hosts were slow: not for reasons of their own.
    CommonCause,
    /// It says nothing that a new gatherer would not believe anyway.
    Ordinary,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::NotListed => "not on the list",
            Reason::Restarted => "started since",
            Reason::CountsForNothing => "too old, or from too few answers",
            Reason::CommonCause => "nearly all were slow: a common cause",
            Reason::Ordinary => "nothing out of the ordinary",
        })
    }
}

/// Why a picture is not taken at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unfit {
    /// It is of another deployment.
    OtherFleet,
    /// It is from the future, or older than anything: a clock has jumped.
    UnknownAge,
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unfit::OtherFleet => "it is of another deployment",
            Unfit::UnknownAge => "a clock has jumped: its age is not known",
        })
    }
}

/// What of a picture still counts.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Aged {
    /// How old it is, in milliseconds.
    pub age: Wall,
    /// The classes, drawn towards what a new gatherer believes.
    pub classes: Vec<ClassMemory>,
    /// The hosts that are taken, drawn towards what is believed of one that is not known.
    pub hosts: Vec<(String, HostMemory)>,
    /// Those that are not, and why.
    pub dropped: Vec<(String, Reason)>,
}

/// How much of something is left after a time.
fn left(age: Wall, half_life: Wall) -> f64 {
    0.5f64.powf(age as f64 / half_life.max(1) as f64)
}

/// Draws a value towards another by how much it counts.
fn draw(value: f64, towards: f64, counts: f64) -> f64 {
    towards + (value - towards) * counts
}

/// Ages a picture. `listed` are the hosts on the present list with their starts; `fresh` what a new
/// gatherer believes of each class.
pub fn age(
    picture: &Picture,
    fleet: &Fleet,
    fresh: &[ClassMemory],
    listed: &BTreeMap<String, Wall>,
    now: Wall,
    rules: &Rules,
) -> Result<Aged, Unfit> {
    if picture.fleet != *fleet || picture.classes.len() != fresh.len() {
        return Err(Unfit::OtherFleet);
    }
    let age = now
        .checked_sub(picture.taken)
        .filter(|age| *age <= rules.oldest)
        .ok_or(Unfit::UnknownAge)?;
    let classes = picture
        .classes
        .iter()
        .zip(fresh)
        .map(|(old, fresh)| aged_class(old, fresh, age, rules))
        .collect();
    let slow = |h: &HostMemory| h.slowness.iter().any(|s| *s > rules.slow);
    let common = picture.hosts.values().filter(|h| slow(h)).count() as f64
        > rules.common * picture.hosts.len() as f64;
    let mut aged = Aged {
        age,
        classes,
        ..Aged::default()
    };
    for (uid, host) in &picture.hosts {
        match aged_host(
            host,
            listed.get(&**uid).copied(),
            common,
            now,
            fleet.classes.len(),
            rules,
        ) {
            Ok(host) => aged.hosts.push((uid.to_string(), host)),
            Err(reason) => aged.dropped.push((uid.to_string(), reason)),
        }
    }
    Ok(aged)
}

fn aged_class(old: &ClassMemory, fresh: &ClassMemory, age: Wall, rules: &Rules) -> ClassMemory {
    let counts =
        left(age, rules.class_half_life) * (old.weight / rules.class_weight).clamp(0.0, 1.0);
    let sound = [old.median, old.p95, old.least, old.tries.0, old.tries.1]
        .iter()
        .all(|v| v.is_finite() && *v > 0.0);
    if counts < rules.floor || !sound {
        return ClassMemory {
            weight: 0.0,
            ..fresh.clone()
        };
    }
    // Times are drawn by their ratio: half-way between 10 ms and 1 s is 100 ms.
    let mix = |old: f64, fresh: f64| draw(old.ln(), fresh.max(1.0).ln(), counts).exp();
    ClassMemory {
        name: fresh.name.clone(),
        median: mix(old.median, fresh.median),
        p95: mix(old.p95, fresh.p95),
        least: mix(old.least, fresh.least),
        tries: (
            mix(old.tries.0, fresh.tries.0),
            mix(old.tries.1, fresh.tries.1),
        ),
        weight: old.weight * counts,
    }
}

fn aged_host(
    host: &HostMemory,
    listed: Option<Wall>,
    common: bool,
    now: Wall,
    classes: usize,
    rules: &Rules,
) -> Result<HostMemory, Reason> {
    let born = listed.ok_or(Reason::NotListed)?;
    if born != host.born {
        return Err(Reason::Restarted);
    }
    // Judged in the future: the clock has jumped in the middle, and nobody knows when that was.
    let age = now
        .checked_sub(host.judged)
        .ok_or(Reason::CountsForNothing)?;
    let counts = left(age, rules.host_half_life)
        * (f64::from(host.weight) / rules.host_weight).clamp(0.0, 1.0);
    let sound = host
        .slowness
        .iter()
        .chain([&host.delay, &host.limit, &host.errors, &host.weight])
        .all(|v| v.is_finite());
    if counts < rules.floor || !sound || host.slowness.len() != classes {
        return Err(Reason::CountsForNothing);
    }
    if common {
        return Err(Reason::CommonCause);
    }
    // Memory warns and never recommends: what was better than ordinary is ordinary.
    let worse = |value: f32, ordinary: f32| {
        draw(f64::from(value.max(ordinary)), f64::from(ordinary), counts) as f32
    };
    // A limit follows load: it says something of the host itself only where the host was slow or
    // failing.
    let bad = host.slowness.iter().any(|s| *s > rules.slow) || f64::from(host.errors) > rules.floor;
    let limit = if bad {
        host.limit.clamp(1.0, rules.start_limit)
    } else {
        rules.start_limit
    };
    let aged = HostMemory {
        born,
        slowness: host.slowness.iter().map(|s| worse(*s, 1.0)).collect(),
        delay: worse(host.delay, 0.0),
        limit: draw(f64::from(limit), f64::from(rules.start_limit), counts) as f32,
        errors: worse(host.errors.min(1.0), 0.0),
        weight: (f64::from(host.weight) * counts) as f32,
        judged: host.judged,
    };
    let ordinary = aged.slowness.iter().all(|s| *s < 1.1)
        && aged.errors < 0.01
        && aged.limit > 0.9 * rules.start_limit;
    if ordinary {
        Err(Reason::Ordinary)
    } else {
        Ok(aged)
    }
}
