//! Days of a fleet drawn at random: planned work and troubles of every kind that a deployment
//! knows, alone and in pairs that meet; and what came of them, as a table of rules by kinds.

mod kinds;
mod long;

pub use kinds::{KINDS, Kind, Target};

use fastrand::Rng;
use kinds::{CHOSEN, MEANWHILE};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// How long a usual day lasts, in seconds of traffic.
const LENGTH_S: f64 = 60.0;
/// Nothing begins before this.
const FIRST_S: f64 = 4.0;
/// Nothing but the closing trouble begins in the last seconds.
const LAST_S: f64 = LENGTH_S - 8.0;
/// Faults of a pair begin within this time of each other.
const MEETING_S: f64 = 1.5;

/// What a day may end with.
const CLOSINGS: &[Option<&str>] = &[
    Some("power_off_all"),
    Some("wipe_after_ack"),
    Some("kill_all"),
    None,
];
/// Variants of that.
const CLOSING_VARIANTS: &[&str] = &["timed", "taken", "oldest"];

/// What days are drawn from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Focus {
    /// Every kind.
    All,
    /// What concerns the control state: two more of these, and most of them close together.
    Control,
    /// Every kind, beside series that overlap: versions of weights, configurations, and troubles
    /// that come again and again while clients leave early.
    Series,
    /// Long days with hundreds of configurations, versions of weights in series, and a primary that
    /// is struck again and again.
    Long,
}

impl Focus {
    /// How long a day lasts, in seconds of traffic.
    fn length_s(self) -> f64 {
        if self == Focus::Long {
            long::LENGTH_S
        } else {
            LENGTH_S
        }
    }
}

/// The kinds known here that a listing of a deployment's kinds names, each on a line of its own
/// before a colon.
pub fn listed(listing: &str) -> Vec<Kind> {
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

/// A day as a file: mostly drawn at random, with two troubles that meet.
pub fn draw(kinds: &[Kind], focus: Focus, name: &str, seed: u64) -> String {
    let mut rng = Rng::with_seed(seed);
    let is_in_focus = |kind: &Kind| focus != Focus::Control || kind.is_about_control();
    let of = |planned: bool| {
        kinds
            .iter()
            .filter(|kind| kind.planned == planned && is_in_focus(kind))
            .collect::<Vec<_>>()
    };
    let mut plan = entries(&of(true), 2..5, &mut rng);
    let mut faults = entries(&of(false), 2..5, &mut rng);
    faults.extend(pair(&of(false), &mut rng));
    if focus == Focus::Control {
        faults.extend(pair(&of(false), &mut rng));
    }
    if focus == Focus::Series {
        plan.extend(planned_series(kinds, &mut rng));
        faults.extend(trouble_series(kinds, &mut rng));
    }
    if focus == Focus::Long {
        plan.extend(long::planned(kinds, &mut rng));
        faults.extend(long::troubles(kinds, &mut rng));
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

/// Versions of weights one after the other, so that a newer one is named before the last one is
/// everywhere, and configurations.
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

/// Clients that leave early for most of the day, and two troubles of backends or machines that come
/// again and again.
fn trouble_series(kinds: &[Kind], rng: &mut Rng) -> Vec<String> {
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

/// What the day ends with, as a line of the file.
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

/// Two troubles that meet.
fn pair(kinds: &[&Kind], rng: &mut Rng) -> Vec<String> {
    if kinds.is_empty() {
        return Vec::new();
    }
    let at = FIRST_S + (LAST_S - MEETING_S - FIRST_S) * rng.f64();
    let second = at + MEETING_S * rng.f64();
    vec![entry(kinds, at, rng), entry(kinds, second, rng)]
}

fn entry(kinds: &[&Kind], at: f64, rng: &mut Rng) -> String {
    let kind = kinds[rng.usize(..kinds.len())];
    let lasts = 3.0 + 6.0 * rng.f64();
    let mut text = format!(
        "{{ at = {at:.1}, kind = \"{}\", for_s = {lasts:.1}",
        kind.name
    );
    let how = how(kind, rng);
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

/// A variant, and with machines perhaps which of them are meant and what is done meanwhile.
fn how(kind: &Kind, rng: &mut Rng) -> String {
    // The usual variant is as likely as each of the others.
    let mut how: Vec<&str> = kind
        .variants
        .get(rng.usize(..=kind.variants.len()))
        .copied()
        .into_iter()
        .collect();
    if kind.target != Target::Other {
        how.extend(CHOSEN.get(rng.usize(..2 * CHOSEN.len())));
        how.extend(MEANWHILE.get(rng.usize(..2 * MEANWHILE.len())));
    }
    how.join(" ")
}

/// A day that was played.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Played {
    /// The kinds of its planned work and troubles.
    pub kinds: BTreeSet<String>,
    /// The rules that were broken.
    pub broken: BTreeSet<String>,
}

/// A table of rules by kinds: of how many days with that kind the rule was broken on, and how many
/// were played.
pub fn table(days: &[Played]) -> String {
    let mut played: BTreeMap<&str, u32> = BTreeMap::new();
    let mut broken: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
    for day in days {
        for kind in &day.kinds {
            *played.entry(kind).or_default() += 1;
            for rule in &day.broken {
                *broken.entry(rule).or_default().entry(kind).or_default() += 1;
            }
        }
    }
    let mut text = format!("{:<20} {:>6}", "kind", "days");
    broken
        .keys()
        .for_each(|rule| text.push_str(&format!(" {rule:>9}")));
    text.push('\n');
    for (kind, days) in &played {
        let _ = write!(text, "{kind:<20} {days:>6}");
        for by_kind in broken.values() {
            let _ = write!(text, " {:>9}", by_kind.get(kind).copied().unwrap_or(0));
        }
        text.push('\n');
    }
    let with_break = days.iter().filter(|day| !day.broken.is_empty()).count();
    let _ = writeln!(text, "{} days, {with_break} with a rule broken", days.len());
    text
}
