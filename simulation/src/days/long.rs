//! Long days: what comes again and again until the end.

use super::{FIRST_S, Kind, Target, entry};
use fastrand::Rng;

/// How long such a day lasts, in seconds of traffic.
pub(super) const LENGTH_S: f64 = 180.0;
/// After the last version of the weights there is so much time at least for bringing it everywhere.
const AFTER_LAST_VERSION_S: f64 = 30.0;
/// Nothing begins in the last seconds.
const LAST_S: f64 = LENGTH_S - 5.0;

/// Moments from some first one on, with gaps around a mean.
fn moments(first: f64, until: f64, gap: f64, rng: &mut Rng) -> Vec<f64> {
    let mut at = first;
    let mut moments = Vec::new();
    while at < until {
        moments.push(at);
        at += gap * (0.5 + rng.f64());
    }
    moments
}

fn is_known(kinds: &[Kind], name: &str) -> bool {
    kinds.iter().any(|kind| kind.name == name)
}

/// Hundreds of configurations, and versions of the weights up to some time before the end.
pub(super) fn planned(kinds: &[Kind], rng: &mut Rng) -> Vec<String> {
    let mut entries = Vec::new();
    if is_known(kinds, "config_change") {
        let gap = 0.3 + 0.9 * rng.f64();
        let times = moments(FIRST_S, LAST_S, gap, rng);
        entries.extend(
            times
                .iter()
                .map(|at| format!("{{ at = {at:.2}, kind = \"config_change\", how = \"idle\" }}")),
        );
    }
    if is_known(kinds, "version_bump") {
        let last = LENGTH_S - AFTER_LAST_VERSION_S - 40.0 * rng.f64();
        let gap = 1.0 + 8.0 * rng.f64();
        let times = moments(FIRST_S, last, gap, rng);
        entries.extend(
            times
                .iter()
                .map(|at| format!("{{ at = {at:.2}, kind = \"version_bump\", count = 0 }}")),
        );
    }
    entries
}

/// Ways to strike whoever leads the control state, with how long each lasts at the most.
const STRIKES: &[(&str, f64)] = &[
    ("node_kill", 0.8),
    ("disk_stall", 1.5),
    ("disk_full", 1.5),
    ("disk_slow", 4.0),
    ("core_cut", 2.5),
    ("node_freeze", 1.8),
];

/// A primary that is struck every few seconds by some of these ways, and now and then trouble of
/// any other kind.
pub(super) fn troubles(kinds: &[Kind], rng: &mut Rng) -> Vec<String> {
    let mut entries = Vec::new();
    let known: Vec<&(&str, f64)> = STRIKES
        .iter()
        .filter(|(name, _)| is_known(kinds, name))
        .collect();
    let chosen: Vec<&(&str, f64)> = (0..3)
        .filter_map(|_| known.get(rng.usize(..known.len().max(1))).copied())
        .collect();
    let gap = 2.5 + 5.0 * rng.f64();
    for (number, at) in moments(FIRST_S, LAST_S, gap, rng).into_iter().enumerate() {
        let Some((name, longest)) = chosen.get(number % chosen.len().max(1)) else {
            continue;
        };
        let lasts = longest * (0.4 + 0.6 * rng.f64());
        entries.push(format!(
            "{{ at = {at:.2}, kind = \"{name}\", on = \"core\", count = 1, for_s = {lasts:.2}, how = \"leader\" }}"
        ));
    }
    let others: Vec<&Kind> = kinds
        .iter()
        .filter(|kind| !kind.planned && kind.target == Target::Other)
        .collect();
    if !others.is_empty() {
        let times = moments(FIRST_S, LAST_S, 15.0, rng);
        entries.extend(times.into_iter().map(|at| entry(&others, at, rng)));
    }
    entries
}
