//! Random scenarios for the deployment's test bench: planned work and faults of every kind that the
//! bench knows, alone and in overlapping pairs; and the table of violated rules by kind. The bench
//! calls a scenario a day, in its files as well.

mod kinds;
mod long;

pub use kinds::{KINDS, Kind, Target};

use fastrand::Rng;
use kinds::{CONCURRENT_ACTIONS, SELECTORS};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// The length of an ordinary scenario, in seconds of traffic.
const LENGTH_S: f64 = 60.0;
/// Nothing begins before this, in seconds.
const FIRST_S: f64 = 4.0;
/// Only the closing fault begins after this, in seconds.
const LAST_S: f64 = LENGTH_S - 8.0;
/// The two faults of a pair begin within this time, in seconds.
const PAIR_GAP_S: f64 = 1.5;

/// The closing faults of a scenario.
const CLOSINGS: &[Option<&str>] = &[
    Some("power_off_all"),
    Some("wipe_after_ack"),
    Some("kill_all"),
    None,
];
/// Their variants.
const CLOSING_VARIANTS: &[&str] = &["timed", "taken", "oldest"];

/// What a scenario concentrates on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Focus {
    /// Every kind.
    All,
    /// Faults of the control state, with one more overlapping pair.
    Control,
    /// Every kind, with overlapping series: versions of weights, configurations, and recurring
    /// faults while clients give up early.
    Series,
    /// Long scenarios with hundreds of configurations, series of versions of weights, and a leader
    /// that is hit over and over.
    Long,
}

impl Focus {
    /// The length of a scenario, in seconds of traffic.
    fn length_s(self) -> f64 {
        if self == Focus::Long {
            long::LENGTH_S
        } else {
            LENGTH_S
        }
    }
}

/// The known kinds among those in the bench's listing, which has each on a line of its own before a
/// colon.
pub fn kinds_in_listing(listing: &str) -> Vec<Kind> {
    let names: BTreeSet<&str> = listing
        .lines()
        .filter_map(|line| Some(line.split_once(':')?.0.trim()))
        .collect();
    KINDS
        .iter()
        .filter(|kind| names.contains(kind.name))
        .copied()
        .collect()
}

/// Generates a scenario as a file of the bench, with at least one overlapping pair of faults. The
/// same seed always gives the same file.
pub fn generate(kinds: &[Kind], focus: Focus, name: &str, seed: u64) -> String {
    let mut rng = Rng::with_seed(seed);
    let is_in_focus = |kind: &Kind| focus != Focus::Control || kind.concerns_control_state();
    let of = |planned: bool| {
        kinds
            .iter()
            .filter(|kind| kind.planned == planned && is_in_focus(kind))
            .collect::<Vec<_>>()
    };
    let mut plan = entries(&of(true), 2..5, &mut rng);
    let mut faults = entries(&of(false), 2..5, &mut rng);
    faults.extend(overlapping_pair(&of(false), &mut rng));
    if focus == Focus::Control {
        faults.extend(overlapping_pair(&of(false), &mut rng));
    }
    if focus == Focus::Series {
        plan.extend(planned_series(kinds, &mut rng));
        faults.extend(fault_series(kinds, &mut rng));
    }
    if focus == Focus::Long {
        plan.extend(long::planned(kinds, &mut rng));
        faults.extend(long::faults(kinds, &mut rng));
    }
    let closing = closing(&mut rng);
    let length = focus.length_s();
    format!(
        "[[day]]\nname = \"{name}\"\nslot = 1\nseed = {}\nlength_s = {length}\none = 0.9\nzero = 0.2\n\
         goal = {{ floor = 0.5 }}\n{closing}plan = [{}]\nfaults = [{}]\n",
        rng.u32(1..),
        plan.join(", "),
        faults.join(", "),
    )
}

/// A series of versions of weights, each of which may be announced before the last one is deployed
/// everywhere, and a series of configurations.
fn planned_series(kinds: &[Kind], rng: &mut Rng) -> Vec<String> {
    let mut entries = Vec::new();
    if kinds.iter().any(|kind| kind.name == "version_bump") {
        let gap = 0.5 + 4.5 * rng.f64();
        let first = FIRST_S + 10.0 * rng.f64();
        let bumps = (0..rng.usize(3..9)).map(|number| first + gap * number as f64);
        entries.extend(
            bumps.map(|at| format!("{{ at = {at:.1}, kind = \"version_bump\", count = 0 }}")),
        );
    }
    if kinds.iter().any(|kind| kind.name == "config_storm") {
        let at = FIRST_S + 20.0 * rng.f64();
        let gap = 0.08 + 0.8 * rng.f64();
        entries.push(format!(
            "{{ at = {at:.1}, kind = \"config_storm\", for_s = 20, gap_s = {gap:.2} }}"
        ));
    }
    entries
}

/// Clients that give up early for most of the scenario, and two recurring faults of backends or
/// machines.
fn fault_series(kinds: &[Kind], rng: &mut Rng) -> Vec<String> {
    let mut entries = Vec::new();
    if kinds.iter().any(|kind| kind.name == "give_up") {
        let share = 0.1 + 0.4 * rng.f64();
        entries.push(format!(
            "{{ at = 2, kind = \"give_up\", share = {share:.2}, for_s = 50 }}"
        ));
    }
    let recurring: Vec<&Kind> = kinds
        .iter()
        .filter(|kind| kind.name.starts_with("srv_") || kind.name.starts_with("node_"))
        .collect();
    for _ in 0..2 {
        let Some(kind) = recurring.get(rng.usize(..recurring.len().max(1))) else {
            continue;
        };
        let gap = 2.0 + 4.0 * rng.f64();
        let first = FIRST_S + 15.0 * rng.f64();
        for number in 0..rng.usize(3..6) {
            entries.push(entry(&[*kind], first + gap * number as f64, rng));
        }
    }
    entries
}

/// The closing fault, as a line of the file.
fn closing(rng: &mut Rng) -> String {
    let Some(kind) = CLOSINGS[rng.usize(..CLOSINGS.len())] else {
        return String::new();
    };
    let down = 1.0 + 3.0 * rng.f64();
    let how = CLOSING_VARIANTS.get(rng.usize(..2 * CLOSING_VARIANTS.len()));
    let how = how.map_or(String::new(), |how| format!(", how = \"{how}\""));
    format!("closing = {{ kind = \"{kind}\", down_s = {down:.1}{how} }}\n")
}

fn entries(kinds: &[&Kind], count: std::ops::Range<usize>, rng: &mut Rng) -> Vec<String> {
    if kinds.is_empty() {
        return Vec::new();
    }
    let count = rng.usize(count);
    (0..count)
        .map(|_| entry(kinds, FIRST_S + (LAST_S - FIRST_S) * rng.f64(), rng))
        .collect()
}

/// Two faults that overlap.
fn overlapping_pair(kinds: &[&Kind], rng: &mut Rng) -> Vec<String> {
    if kinds.is_empty() {
        return Vec::new();
    }
    let at = FIRST_S + (LAST_S - PAIR_GAP_S - FIRST_S) * rng.f64();
    let second = at + PAIR_GAP_S * rng.f64();
    vec![entry(kinds, at, rng), entry(kinds, second, rng)]
}

fn entry(kinds: &[&Kind], at: f64, rng: &mut Rng) -> String {
    let kind = kinds[rng.usize(..kinds.len())];
    let duration = 3.0 + 6.0 * rng.f64();
    let mut text = format!(
        "{{ at = {at:.1}, kind = \"{}\", for_s = {duration:.1}",
        kind.name
    );
    let how = variant(kind, rng);
    if !how.is_empty() {
        let _ = write!(text, ", how = \"{how}\"");
    }
    if kind.target == Target::Machines && rng.bool() {
        text.push_str(", on = \"core\"");
    }
    match kind.name {
        "burst" => text.push_str(", x = 1.8"),
        "retry_abuse" => text.push_str(", x = 2, share = 0.3"),
        _ => {}
    }
    text + " }"
}

/// A variant, and for machines perhaps a selector and a concurrent action.
fn variant(kind: &Kind, rng: &mut Rng) -> String {
    // The default variant is as likely as each of the others.
    let mut how: Vec<&str> = kind
        .variants
        .get(rng.usize(..=kind.variants.len()))
        .copied()
        .into_iter()
        .collect();
    if kind.target != Target::Other {
        how.extend(SELECTORS.get(rng.usize(..2 * SELECTORS.len())));
        how.extend(CONCURRENT_ACTIONS.get(rng.usize(..2 * CONCURRENT_ACTIONS.len())));
    }
    how.join(" ")
}

/// The outcome of a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The kinds of its planned work and faults.
    pub kinds: BTreeSet<String>,
    /// The rules that were violated.
    pub violated: BTreeSet<String>,
}

/// A table of rules by kind: in how many scenarios with that kind the rule was violated, and how
/// many there were.
pub fn violation_table(outcomes: &[Outcome]) -> String {
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    let mut violated: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
    for outcome in outcomes {
        for kind in &outcome.kinds {
            *runs.entry(kind).or_default() += 1;
            for rule in &outcome.violated {
                *violated.entry(rule).or_default().entry(kind).or_default() += 1;
            }
        }
    }
    let mut text = format!("{:<20} {:>6}", "kind", "days");
    violated
        .keys()
        .for_each(|rule| text.push_str(&format!(" {rule:>9}")));
    text.push('\n');
    for (kind, days) in &runs {
        let _ = write!(text, "{kind:<20} {days:>6}");
        for by_kind in violated.values() {
            let _ = write!(text, " {:>9}", by_kind.get(kind).copied().unwrap_or(0));
        }
        text.push('\n');
    }
    let with_violation = outcomes
        .iter()
        .filter(|outcome| !outcome.violated.is_empty())
        .count();
    let _ = writeln!(
        text,
        "{} days, {with_violation} with a rule broken",
        outcomes.len()
    );
    text
}
