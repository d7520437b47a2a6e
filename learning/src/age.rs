//! Aging of a snapshot: how much of it still counts, and why the rest is dropped. Weights decay
//! exponentially, and values are interpolated by their weight towards the defaults of a new
//! gatherer. A host's statistics can only lower its rating, never raise it above the default.

use crate::snapshot::{ClassStats, Fleet, HostStats, Snapshot, UnixMillis};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Configuration of the aging.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgingConfig {
    /// Half-life of a host's statistics, in milliseconds.
    pub host_half_life: UnixMillis,
    /// Half-life of a class's statistics, in milliseconds.
    pub class_half_life: UnixMillis,
    /// Number of a class's answers that count in full; fewer count proportionally.
    pub class_weight: f64,
    /// The same for a host. It is low, as a host that is ejected for its latency has few answers.
    pub host_weight: f64,
    /// Weight below which statistics are dropped.
    pub floor: f64,
    /// Relative latency above which a host counts as slow.
    pub slow: f32,
    /// If more than this fraction of the hosts is slow, the cause is a common one.
    pub common: f64,
    /// Maximum age, in milliseconds; beyond it a clock must have jumped.
    pub oldest: UnixMillis,
    /// Concurrency limit of an unknown host.
    pub start_limit: f32,
}

impl Default for AgingConfig {
    fn default() -> Self {
        AgingConfig {
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

/// Why a host's statistics are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It is not on the endpoint list.
    NotListed,
    /// It has restarted since, and is cold.
    Restarted,
    /// Too old, or from too few answers.
    #[serde(rename = "counts-for-nothing")]
    Negligible,
    /// Most hosts were slow, so the cause was not this host.
    CommonCause,
    /// They hardly differ from the defaults.
    Ordinary,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::NotListed => "not on the list",
            Reason::Restarted => "started since",
            Reason::Negligible => "too old, or from too few answers",
            Reason::CommonCause => "nearly all were slow: a common cause",
            Reason::Ordinary => "nothing out of the ordinary",
        })
    }
}

/// Why a snapshot is not used at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SnapshotError {
    /// It belongs to another deployment.
    OtherFleet,
    /// It is from the future or too old: a clock has jumped.
    UnknownAge,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SnapshotError::OtherFleet => "it is of another deployment",
            SnapshotError::UnknownAge => "a clock has jumped: its age is not known",
        })
    }
}

/// An aged snapshot.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Aged {
    /// Its age, in milliseconds.
    pub age: UnixMillis,
    /// The classes, interpolated towards the defaults.
    pub classes: Vec<ClassStats>,
    /// The hosts that still count, interpolated towards the defaults of an unknown host.
    pub hosts: Vec<(String, HostStats)>,
    /// The hosts that are dropped, and why.
    pub dropped: Vec<(String, Reason)>,
}

/// Fraction that remains after a time, by exponential decay.
fn remaining(age: UnixMillis, half_life: UnixMillis) -> f64 {
    0.5f64.powf(age as f64 / half_life.max(1) as f64)
}

/// Interpolates from `towards` (weight 0) to `value` (weight 1).
fn interpolate(value: f64, towards: f64, weight_left: f64) -> f64 {
    towards + (value - towards) * weight_left
}

/// Ages a snapshot. `listed` has the hosts on the present endpoint list with their start times;
/// `fresh` the defaults of each class.
///
/// # Errors
///
/// [`SnapshotError`] if the snapshot cannot be used at all.
pub fn age(
    snapshot: &Snapshot,
    fleet: &Fleet,
    fresh: &[ClassStats],
    listed: &BTreeMap<String, UnixMillis>,
    now: UnixMillis,
    config: &AgingConfig,
) -> Result<Aged, SnapshotError> {
    if snapshot.fleet != *fleet || snapshot.classes.len() != fresh.len() {
        return Err(SnapshotError::OtherFleet);
    }
    let age = now
        .checked_sub(snapshot.taken_at)
        .filter(|age| *age <= config.oldest)
        .ok_or(SnapshotError::UnknownAge)?;
    let classes = snapshot
        .classes
        .iter()
        .zip(fresh)
        .map(|(old, fresh)| aged_class(old, fresh, age, config))
        .collect();
    let slow = |h: &HostStats| h.slowness.iter().any(|s| *s > config.slow);
    let common = snapshot.hosts.values().filter(|h| slow(h)).count() as f64
        > config.common * snapshot.hosts.len() as f64;
    let mut aged = Aged {
        age,
        classes,
        ..Aged::default()
    };
    for (uid, host) in &snapshot.hosts {
        match aged_host(
            host,
            listed.get(&**uid).copied(),
            common,
            now,
            fleet.classes.len(),
            config,
        ) {
            Ok(host) => aged.hosts.push((uid.to_string(), host)),
            Err(reason) => aged.dropped.push((uid.to_string(), reason)),
        }
    }
    Ok(aged)
}

fn aged_class(
    old: &ClassStats,
    fresh: &ClassStats,
    age: UnixMillis,
    config: &AgingConfig,
) -> ClassStats {
    let weight_left =
        remaining(age, config.class_half_life) * (old.weight / config.class_weight).clamp(0.0, 1.0);
    let sound = [
        old.median,
        old.p95,
        old.least,
        old.attempts.0,
        old.attempts.1,
    ]
    .iter()
    .all(|v| v.is_finite() && *v > 0.0);
    if weight_left < config.floor || !sound {
        return ClassStats {
            weight: 0.0,
            ..fresh.clone()
        };
    }
    // Latencies are interpolated geometrically: half-way between 10 ms and 1 s is 100 ms.
    let mix = |old: f64, fresh: f64| interpolate(old.ln(), fresh.max(1.0).ln(), weight_left).exp();
    ClassStats {
        name: fresh.name.clone(),
        median: mix(old.median, fresh.median),
        p95: mix(old.p95, fresh.p95),
        least: mix(old.least, fresh.least),
        attempts: (
            mix(old.attempts.0, fresh.attempts.0),
            mix(old.attempts.1, fresh.attempts.1),
        ),
        weight: old.weight * weight_left,
    }
}

fn aged_host(
    host: &HostStats,
    listed: Option<UnixMillis>,
    common: bool,
    now: UnixMillis,
    classes: usize,
    config: &AgingConfig,
) -> Result<HostStats, Reason> {
    let started = listed.ok_or(Reason::NotListed)?;
    if started != host.started {
        return Err(Reason::Restarted);
    }
    // Statistics from the future: the clock has jumped at an unknown time.
    let age = now.checked_sub(host.judged).ok_or(Reason::Negligible)?;
    let weight_left = remaining(age, config.host_half_life)
        * (f64::from(host.weight) / config.host_weight).clamp(0.0, 1.0);
    let sound = host
        .slowness
        .iter()
        .chain([&host.delay, &host.limit, &host.errors, &host.weight])
        .all(|v| v.is_finite());
    if weight_left < config.floor || !sound || host.slowness.len() != classes {
        return Err(Reason::Negligible);
    }
    if common {
        return Err(Reason::CommonCause);
    }
    // Statistics can only lower a host's rating: values better than the default become the default.
    let worse = |value: f32, ordinary: f32| {
        interpolate(
            f64::from(value.max(ordinary)),
            f64::from(ordinary),
            weight_left,
        ) as f32
    };
    // The limit also follows the load: it only tells something of a host that was slow or failing.
    let bad =
        host.slowness.iter().any(|s| *s > config.slow) || f64::from(host.errors) > config.floor;
    let limit = if bad {
        host.limit.clamp(1.0, config.start_limit)
    } else {
        config.start_limit
    };
    let aged = HostStats {
        started,
        slowness: host.slowness.iter().map(|s| worse(*s, 1.0)).collect(),
        delay: worse(host.delay, 0.0),
        limit: interpolate(f64::from(limit), f64::from(config.start_limit), weight_left) as f32,
        errors: worse(host.errors.min(1.0), 0.0),
        weight: (f64::from(host.weight) * weight_left) as f32,
        judged: host.judged,
    };
    let ordinary = aged.slowness.iter().all(|s| *s < 1.1)
        && aged.errors < 0.01
        && aged.limit > 0.9 * config.start_limit;
    if ordinary {
        Err(Reason::Ordinary)
    } else {
        Ok(aged)
    }
}
