//! Random scenarios for the deployment's test bench, with planned work and faults of the kinds that
//! the bench supports, single and in overlapping pairs; and a table of violated rules by kind. The
//! bench and its files call a scenario a "day".

mod kinds;
mod long;

pub use kinds::{KINDS, Kind, Target};

use fastrand::Rng;
use kinds::{CONCURRENT_ACTIONS, SELECTORS};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// The length of a scenario with any focus but [`Focus::Long`], in seconds of traffic.
const LENGTH_S: f64 = 60.0;
/// The earliest start of planned work or a fault other than early cancellation, in seconds.
const EARLIEST_START_S: f64 = 4.0;
/// The latest start of planned work or a fault other than the closing one, in seconds.
const LATEST_START_S: f64 = LENGTH_S - 8.0;
/// The longest time between the starts of the two faults of a pair, in seconds.
const MAX_PAIR_GAP_S: f64 = 1.5;

/// The possible closing faults of a scenario.
const CLOSINGS: &[Option<&str>] = &[
    Some("power_off_all"),
    Some("wipe_after_ack"),
    Some("kill_all"),
    None,
];
/// The variants of the closing faults.
const CLOSING_VARIANTS: &[&str] = &["timed", "taken", "oldest"];

/// The emphasis of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Focus {
    /// All kinds.
    All,
    /// Only kinds that concern the control state, with a second overlapping pair.
    Control,
    /// All kinds, with overlapping series of weight versions, configurations and recurring faults
    /// while clients cancel early.
    Series,
    /// Long scenarios with hundreds of configurations, series of weight versions, and repeated
    /// faults of the leader.
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

/// Returns the kinds of [`KINDS`] that occur in the bench's listing, which has one kind a line,
/// before a colon.
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

/// Generates a scenario file for the bench, with at least one overlapping pair of faults. The same
/// arguments always give the same file.
pub fn generate(kinds: &[Kind], focus: Focus, name: &str, seed: u64) -> String {
    let mut rng = Rng::with_seed(seed);
    let is_in_focus = |kind: &Kind| focus != Focus::Control || kind.concerns_control_state();
    let kinds_in_focus = |planned: bool| {
        kinds
            .iter()
            .filter(|kind| kind.planned == planned && is_in_focus(kind))
            .collect::<Vec<_>>()
    };
    let mut plan = random_entries(&kinds_in_focus(true), 2..5, &mut rng);
    let mut faults = random_entries(&kinds_in_focus(false), 2..5, &mut rng);
    faults.extend(random_pair(&kinds_in_focus(false), &mut rng));
    if focus == Focus::Control {
        faults.extend(random_pair(&kinds_in_focus(false), &mut rng));
    }
    if focus == Focus::Series {
        plan.extend(planned_series(kinds, &mut rng));
        faults.extend(fault_series(kinds, &mut rng));
    }
    if focus == Focus::Long {
        plan.extend(long::planned(kinds, &mut rng));
        faults.extend(long::faults(kinds, &mut rng));
    }
    let closing = random_closing(&mut rng);
    let length = focus.length_s();
    format!(
        "[[day]]\nname = \"{name}\"\nslot = 1\nseed = {}\nlength_s = {length}\none = 0.9\nzero = 0.2\n\
         goal = {{ floor = 0.5 }}\n{closing}plan = [{}]\nfaults = [{}]\n",
        rng.u32(1..),
        plan.join(", "),
        faults.join(", "),
    )
}

/// A series of weight versions, each of which may be announced before the previous one is deployed
/// everywhere, and a series of configurations.
fn planned_series(kinds: &[Kind], rng: &mut Rng) -> Vec<String> {
    let mut entries = Vec::new();
    if kinds.iter().any(|kind| kind.name == "version_bump") {
        let gap = 0.5 + 4.5 * rng.f64();
        let first = EARLIEST_START_S + 10.0 * rng.f64();
        let start_times = (0..rng.usize(3..9)).map(|number| first + gap * number as f64);
        entries.extend(
            start_times.map(|at| format!("{{ at = {at:.1}, kind = \"version_bump\", count = 0 }}")),
        );
    }
    if kinds.iter().any(|kind| kind.name == "config_storm") {
        let at = EARLIEST_START_S + 20.0 * rng.f64();
        let gap = 0.08 + 0.8 * rng.f64();
        entries.push(format!(
            "{{ at = {at:.1}, kind = \"config_storm\", for_s = 20, gap_s = {gap:.2} }}"
        ));
    }
    entries
}

/// Clients that cancel early for most of the scenario, and two recurring faults of backends or
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
        let first = EARLIEST_START_S + 15.0 * rng.f64();
        for number in 0..rng.usize(3..6) {
            entries.push(random_entry(&[*kind], first + gap * number as f64, rng));
        }
    }
    entries
}

/// A random closing fault, or none, as a line of the file.
fn random_closing(rng: &mut Rng) -> String {
    let Some(kind) = CLOSINGS[rng.usize(..CLOSINGS.len())] else {
        return String::new();
    };
    let down = 1.0 + 3.0 * rng.f64();
    let how = CLOSING_VARIANTS.get(rng.usize(..2 * CLOSING_VARIANTS.len()));
    let how = how.map_or(String::new(), |how| format!(", how = \"{how}\""));
    format!("closing = {{ kind = \"{kind}\", down_s = {down:.1}{how} }}\n")
}

fn random_entries(kinds: &[&Kind], count: std::ops::Range<usize>, rng: &mut Rng) -> Vec<String> {
    if kinds.is_empty() {
        return Vec::new();
    }
    let count = rng.usize(count);
    (0..count)
        .map(|_| {
            random_entry(
                kinds,
                EARLIEST_START_S + (LATEST_START_S - EARLIEST_START_S) * rng.f64(),
                rng,
            )
        })
        .collect()
}

/// Two faults that start within [`MAX_PAIR_GAP_S`] and overlap.
fn random_pair(kinds: &[&Kind], rng: &mut Rng) -> Vec<String> {
    if kinds.is_empty() {
        return Vec::new();
    }
    let at = EARLIEST_START_S + (LATEST_START_S - MAX_PAIR_GAP_S - EARLIEST_START_S) * rng.f64();
    let second = at + MAX_PAIR_GAP_S * rng.f64();
    vec![
        random_entry(kinds, at, rng),
        random_entry(kinds, second, rng),
    ]
}

fn random_entry(kinds: &[&Kind], at: f64, rng: &mut Rng) -> String {
    let kind = kinds[rng.usize(..kinds.len())];
    let duration = 3.0 + 6.0 * rng.f64();
    let mut text = format!(
        "{{ at = {at:.1}, kind = \"{}\", for_s = {duration:.1}",
        kind.name
    );
    let how = random_how(kind, rng);
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

/// The value of `how`: possibly a variant and, for machines, a selector and a concurrent action.
fn random_how(kind: &Kind, rng: &mut Rng) -> String {
    // Index `len` selects no variant, which makes the default as likely as each variant.
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
    /// The kinds of planned work and faults in the scenario.
    pub kinds: BTreeSet<String>,
    /// The violated rules.
    pub violated: BTreeSet<String>,
}

/// Formats a table with a line for each kind: the number of scenarios with that kind, and for each
/// rule the number of these that violated it.
pub fn violation_table(outcomes: &[Outcome]) -> String {
    let mut scenarios: BTreeMap<&str, u32> = BTreeMap::new();
    let mut violated: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
    for outcome in outcomes {
        for kind in &outcome.kinds {
            *scenarios.entry(kind).or_default() += 1;
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
    for (kind, count) in &scenarios {
        let _ = write!(text, "{kind:<20} {count:>6}");
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
