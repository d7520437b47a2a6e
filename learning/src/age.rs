//! Aging of a snapshot: which statistics are still used, with which weight, and why others are
//! dropped. Weights decay exponentially, and values are interpolated by their weight towards the
//! defaults of a new gatherer. A host's statistics can only lower its rating, never raise it above
//! the default.

use crate::snapshot::{ClassStats, Fleet, HostStats, Snapshot, UnixMillis};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Relative latency below which a host counts as close to the default.
const NEAR_DEFAULT_SLOWNESS: f32 = 1.1;
/// Error rate below which a host counts as close to the default.
const NEAR_DEFAULT_ERRORS: f32 = 0.01;
/// Fraction of the default concurrency limit above which a host counts as close to the default.
const NEAR_DEFAULT_LIMIT: f32 = 0.9;

/// Configuration of the aging.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgingConfig {
    /// Half-life of a host's statistics, in milliseconds.
    pub host_half_life: UnixMillis,
    /// Half-life of a class's statistics, in milliseconds.
    pub class_half_life: UnixMillis,
    /// Number of answers from which a class has full weight; fewer weigh proportionally less.
    pub class_full_weight: f64,
    /// The same for a host; low, because a host that is ejected for its latency has few answers.
    pub host_full_weight: f64,
    /// Weight below which statistics are dropped; also the error rate above which a host counts as
    /// failing.
    pub min_weight: f64,
    /// Relative latency above which a host counts as slow.
    pub slow_threshold: f32,
    /// If more than this fraction of the hosts is slow, a common cause is assumed.
    pub common_cause_fraction: f64,
    /// Maximum age, in milliseconds; a snapshot that seems older shows that a clock has jumped.
    pub max_age: UnixMillis,
    /// Concurrency limit of an unknown host.
    pub default_limit: f32,
}

impl Default for AgingConfig {
    fn default() -> Self {
        AgingConfig {
            host_half_life: 60_000,
            class_half_life: 3_600_000,
            class_full_weight: 8.0,
            host_full_weight: 2.0,
            min_weight: 0.05,
            slow_threshold: 2.0,
            common_cause_fraction: 0.5,
            max_age: 366 * 86_400_000,
            default_limit: 3.0,
        }
    }
}

/// Why a host's statistics are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The host is not on the endpoint list.
    NotListed,
    /// The host has restarted since the snapshot, and has cold caches.
    Restarted,
    /// The statistics are too old, from too few answers, or invalid.
    #[serde(rename = "counts-for-nothing")]
    Negligible,
    /// Most hosts were slow, so the cause was not this host.
    CommonCause,
    /// The statistics hardly differ from the defaults.
    Ordinary,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::NotListed => "not on the endpoint list",
            Reason::Restarted => "restarted since the snapshot",
            Reason::Negligible => "too old, from too few answers, or invalid",
            Reason::CommonCause => "most hosts were slow: a common cause",
            Reason::Ordinary => "close to the defaults",
        })
    }
}

/// Why a snapshot is not used at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SnapshotError {
    /// The snapshot belongs to another deployment.
    OtherFleet,
    /// The snapshot is from the future or too old: a clock has jumped.
    UnknownAge,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SnapshotError::OtherFleet => "the snapshot belongs to another deployment",
            SnapshotError::UnknownAge => "a clock has jumped: the age of the snapshot is unknown",
        })
    }
}

/// An aged snapshot.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Aged {
    /// The age, in milliseconds.
    pub age: UnixMillis,
    /// The classes, interpolated towards the defaults.
    pub classes: Vec<ClassStats>,
    /// The retained hosts, interpolated towards the defaults of an unknown host.
    pub hosts: Vec<(String, HostStats)>,
    /// The dropped hosts, with the reasons.
    pub dropped: Vec<(String, Reason)>,
}

/// The fraction that remains at this age, by exponential decay.
fn remaining(age: UnixMillis, half_life: UnixMillis) -> f64 {
    0.5f64.powf(age as f64 / half_life.max(1) as f64)
}

/// Interpolates from `default` (weight 0) to `value` (weight 1).
fn interpolate(value: f64, default: f64, weight: f64) -> f64 {
    default + (value - default) * weight
}

/// Ages a snapshot. `defaults` are the statistics of each class at a new gatherer; `listed` has the
/// hosts on the current endpoint list with their start times.
///
/// # Errors
///
/// [`SnapshotError`] if the snapshot cannot be used at all.
pub fn age(
    snapshot: &Snapshot,
    fleet: &Fleet,
    defaults: &[ClassStats],
    listed: &BTreeMap<String, UnixMillis>,
    now: UnixMillis,
    config: &AgingConfig,
) -> Result<Aged, SnapshotError> {
    if snapshot.fleet != *fleet || snapshot.classes.len() != defaults.len() {
        return Err(SnapshotError::OtherFleet);
    }
    let age = now
        .checked_sub(snapshot.taken_at)
        .filter(|age| *age <= config.max_age)
        .ok_or(SnapshotError::UnknownAge)?;
    let classes = snapshot
        .classes
        .iter()
        .zip(defaults)
        .map(|(old, default)| aged_class(old, default, age, config))
        .collect();
    let is_slow = |h: &HostStats| h.slowness.iter().any(|s| *s > config.slow_threshold);
    let common_cause = snapshot.hosts.values().filter(|h| is_slow(h)).count() as f64
        > config.common_cause_fraction * snapshot.hosts.len() as f64;
    let mut aged = Aged {
        age,
        classes,
        ..Aged::default()
    };
    for (uid, host) in &snapshot.hosts {
        match aged_host(
            host,
            listed.get(&**uid).copied(),
            common_cause,
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
    default: &ClassStats,
    age: UnixMillis,
    config: &AgingConfig,
) -> ClassStats {
    let remaining_weight = remaining(age, config.class_half_life)
        * (old.weight / config.class_full_weight).clamp(0.0, 1.0);
    let is_valid = [
        old.median,
        old.p95,
        old.least,
        old.attempts.0,
        old.attempts.1,
    ]
    .iter()
    .all(|v| v.is_finite() && *v > 0.0);
    if remaining_weight < config.min_weight || !is_valid {
        return ClassStats {
            weight: 0.0,
            ..default.clone()
        };
    }
    // Latencies are interpolated geometrically: 100 ms is half-way between 10 ms and 1 s.
    let mix = |old: f64, default: f64| {
        interpolate(old.ln(), default.max(1.0).ln(), remaining_weight).exp()
    };
    ClassStats {
        name: default.name.clone(),
        median: mix(old.median, default.median),
        p95: mix(old.p95, default.p95),
        least: mix(old.least, default.least),
        attempts: (
            mix(old.attempts.0, default.attempts.0),
            mix(old.attempts.1, default.attempts.1),
        ),
        weight: old.weight * remaining_weight,
    }
}

fn aged_host(
    host: &HostStats,
    listed: Option<UnixMillis>,
    common_cause: bool,
    now: UnixMillis,
    classes: usize,
    config: &AgingConfig,
) -> Result<HostStats, Reason> {
    let started = listed.ok_or(Reason::NotListed)?;
    if started != host.started {
        return Err(Reason::Restarted);
    }
    // Statistics from the future mean that the clock has jumped at an unknown time.
    let age = now.checked_sub(host.updated_at).ok_or(Reason::Negligible)?;
    let remaining_weight = remaining(age, config.host_half_life)
        * (f64::from(host.weight) / config.host_full_weight).clamp(0.0, 1.0);
    let is_valid = host
        .slowness
        .iter()
        .chain([&host.delay, &host.limit, &host.errors, &host.weight])
        .all(|v| v.is_finite());
    if remaining_weight < config.min_weight || !is_valid || host.slowness.len() != classes {
        return Err(Reason::Negligible);
    }
    if common_cause {
        return Err(Reason::CommonCause);
    }
    // Statistics can only lower a host's rating: values better than the default become the default.
    let no_better = |value: f32, default: f32| {
        interpolate(
            f64::from(value.max(default)),
            f64::from(default),
            remaining_weight,
        ) as f32
    };
    // The limit also follows the load, so a low one is meaningful only for a slow or failing host.
    let is_degraded = host.slowness.iter().any(|s| *s > config.slow_threshold)
        || f64::from(host.errors) > config.min_weight;
    let limit = if is_degraded {
        host.limit.clamp(1.0, config.default_limit)
    } else {
        config.default_limit
    };
    let aged = HostStats {
        started,
        slowness: host.slowness.iter().map(|s| no_better(*s, 1.0)).collect(),
        delay: no_better(host.delay, 0.0),
        limit: interpolate(
            f64::from(limit),
            f64::from(config.default_limit),
            remaining_weight,
        ) as f32,
        errors: no_better(host.errors.min(1.0), 0.0),
        weight: (f64::from(host.weight) * remaining_weight) as f32,
        updated_at: host.updated_at,
    };
    let is_near_default = aged.slowness.iter().all(|s| *s < NEAR_DEFAULT_SLOWNESS)
        && aged.errors < NEAR_DEFAULT_ERRORS
        && aged.limit > NEAR_DEFAULT_LIMIT * config.default_limit;
    if is_near_default {
        Err(Reason::Ordinary)
    } else {
        Ok(aged)
    }
}
