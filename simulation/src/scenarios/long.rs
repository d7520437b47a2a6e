//! Long scenarios: series of planned work and faults that last until the end.

use super::{EARLIEST_START_S, Kind, Target, random_entry};
use fastrand::Rng;

/// The length of a long scenario, in seconds of traffic.
pub(super) const LENGTH_S: f64 = 180.0;
/// The least time between the last weight version and the end, in seconds, for its deployment.
const LAST_DEPLOYMENT_S: f64 = 30.0;
/// The latest start of planned work or a fault, in seconds.
const LATEST_START_S: f64 = LENGTH_S - 5.0;

/// Start times from `first` to `until` in seconds, with gaps of 0.5 to 1.5 times `mean_gap`.
fn start_times(first: f64, until: f64, mean_gap: f64, rng: &mut Rng) -> Vec<f64> {
    let mut at = first;
    let mut times = Vec::new();
    while at < until {
        times.push(at);
        at += mean_gap * (0.5 + rng.f64());
    }
    times
}

fn is_known(kinds: &[Kind], name: &str) -> bool {
    kinds.iter().any(|kind| kind.name == name)
}

/// Hundreds of configuration changes, and weight versions up to [`LAST_DEPLOYMENT_S`] before the
/// end.
pub(super) fn planned(kinds: &[Kind], rng: &mut Rng) -> Vec<String> {
    let mut entries = Vec::new();
    if is_known(kinds, "config_change") {
        let gap = 0.3 + 0.9 * rng.f64();
        let times = start_times(EARLIEST_START_S, LATEST_START_S, gap, rng);
        entries.extend(
            times
                .iter()
                .map(|at| format!("{{ at = {at:.2}, kind = \"config_change\", how = \"idle\" }}")),
        );
    }
    if is_known(kinds, "version_bump") {
        let last = LENGTH_S - LAST_DEPLOYMENT_S - 40.0 * rng.f64();
        let gap = 1.0 + 8.0 * rng.f64();
        let times = start_times(EARLIEST_START_S, last, gap, rng);
        entries.extend(
            times
                .iter()
                .map(|at| format!("{{ at = {at:.2}, kind = \"version_bump\", count = 0 }}")),
        );
    }
    entries
}

/// Faults of the leader of the control state, each with its maximum duration in seconds.
const LEADER_FAULTS: &[(&str, f64)] = &[
    ("node_kill", 0.8),
    ("disk_stall", 1.5),
    ("disk_full", 1.5),
    ("disk_slow", 4.0),
    ("core_cut", 2.5),
    ("node_freeze", 1.8),
];

/// Some of the [`LEADER_FAULTS`] every few seconds, and less often a fault of another kind.
pub(super) fn faults(kinds: &[Kind], rng: &mut Rng) -> Vec<String> {
    let mut entries = Vec::new();
    let known: Vec<&(&str, f64)> = LEADER_FAULTS
        .iter()
        .filter(|(name, _)| is_known(kinds, name))
        .collect();
    let chosen: Vec<&(&str, f64)> = (0..3)
        .filter_map(|_| known.get(rng.usize(..known.len().max(1))).copied())
        .collect();
    let gap = 2.5 + 5.0 * rng.f64();
    for (number, at) in start_times(EARLIEST_START_S, LATEST_START_S, gap, rng)
        .into_iter()
        .enumerate()
    {
        let Some((name, max_duration)) = chosen.get(number % chosen.len().max(1)) else {
            continue;
        };
        let duration = max_duration * (0.4 + 0.6 * rng.f64());
        entries.push(format!(
            "{{ at = {at:.2}, kind = \"{name}\", on = \"core\", count = 1, for_s = {duration:.2}, how = \"leader\" }}"
        ));
    }
    let others: Vec<&Kind> = kinds
        .iter()
        .filter(|kind| !kind.planned && kind.target == Target::Other)
        .collect();
    if !others.is_empty() {
        let times = start_times(EARLIEST_START_S, LATEST_START_S, 15.0, rng);
        entries.extend(times.into_iter().map(|at| random_entry(&others, at, rng)));
    }
    entries
}
