//! Days of a fleet drawn at random: planned work and troubles of every kind that a deployment knows, alone and in pairs that
//! meet; and what came of them, as a table of rules by kinds.

use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// How long a day lasts, in seconds of traffic.
const LENGTH_S: f64 = 60.0;
/// Nothing begins before this.
const FIRST_S: f64 = 4.0;
/// Nothing but the closing trouble begins in the last seconds.
const LAST_S: f64 = LENGTH_S - 8.0;
/// Faults of a pair begin within this time of each other.
const MEETING_S: f64 = 1.5;

/// A kind of planned work or trouble, with its variants.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Whether it is planned work.
    pub planned: bool,
    /// The variants beside the usual one.
    pub variants: &'static [&'static str],
}

const fn planned(name: &'static str, variants: &'static [&'static str]) -> Kind {
    Kind { name, planned: true, variants }
}

const fn trouble(name: &'static str, variants: &'static [&'static str]) -> Kind {
    Kind { name, planned: false, variants }
}

/// Every kind that is known here.
pub const KINDS: &[Kind] = &[
    planned("big_config", &[]),
    planned("config_change", &["route", "weights", "timeout", "tenant", "quota", "topup", "idle"]),
    planned("config_storm", &[]),
    planned("hup", &[]),
    planned("release", &[]),
    planned("replace_core", &["oldest", "planned"]),
    planned("revoke", &["last"]),
    planned("roll_term", &["remove"]),
    planned("scale_in", &["spot"]),
    planned("scale_out", &[]),
    planned("seed_turnover", &[]),
    planned("version_bump", &["adapter"]),
    trouble("ack_lost", &[]),
    trouble("after_ack_kill", &["kill", "timed"]),
    trouble("after_ack_wipe", &["oldest"]),
    trouble("answer_lost", &[]),
    trouble("bad_config", &[]),
    trouble("burst", &[]),
    trouble("clock_step", &["back", "ahead"]),
    trouble("config_race", &[]),
    trouble("core_cut", &["behind", "split"]),
    trouble("disk_full", &[]),
    trouble("disk_slow", &[]),
    trouble("disk_stall", &[]),
    trouble("events_gap", &[]),
    trouble("garble", &["extra", "unframed", "early", "rot"]),
    trouble("give_up", &[]),
    trouble("herd_kill", &["power", "off", "taken"]),
    trouble("hot_key", &[]),
    trouble("idle_race", &[]),
    trouble("node_cut", &["all", "servers"]),
    trouble("node_freeze", &[]),
    trouble("node_kill", &["power"]),
    trouble("node_slow", &[]),
    trouble("replace_with_reuse", &["drain", "dark"]),
    trouble("reset_conns", &[]),
    trouble("retry_abuse", &[]),
    trouble("srv_crash", &["dark", "gone", "domain"]),
    trouble("srv_cut", &["fronts", "some"]),
    trouble("srv_flap", &[]),
    trouble("srv_grey", &["errors", "shed", "busy", "hang", "reset", "mute", "slow"]),
    trouble("srv_lying_health", &["errors", "hang", "reset", "bad"]),
    trouble("srv_slow", &[]),
];

/// What a day may end with.
const CLOSINGS: &[Option<&str>] = &[Some("power_off_all"), Some("wipe_after_ack"), Some("kill_all"), None];

/// The kinds known here that a listing of a deployment's kinds names, each on a line of its own before a colon.
pub fn listed(listing: &str) -> Vec<Kind> {
    let names: BTreeSet<&str> =
        listing.lines().filter_map(|line| Some(line.split_once(':')?.0.trim())).collect();
    KINDS.iter().filter(|kind| names.contains(kind.name)).copied().collect()
}

/// A day as a file: mostly drawn at random, with two troubles that meet.
pub fn draw(kinds: &[Kind], name: &str, seed: u64) -> String {
    let mut rng = Rng::with_seed(seed);
    let of = |planned: bool| kinds.iter().filter(|kind| kind.planned == planned).collect::<Vec<_>>();
    let plan = entries(&of(true), 2..5, &mut rng);
    let mut faults = entries(&of(false), 2..5, &mut rng);
    faults.extend(pair(&of(false), &mut rng));
    let closing = match CLOSINGS[rng.usize(..CLOSINGS.len())] {
        Some(kind) => format!("closing = {{ kind = \"{kind}\", down_s = {:.1} }}\n", 1.0 + 3.0 * rng.f64()),
        None => String::new(),
    };
    format!(
        "[[day]]\nname = \"{name}\"\nslot = 1\nseed = {}\nlength_s = {LENGTH_S}\none = 0.9\nzero = 0.2\n\
         goal = {{ floor = 0.5 }}\n{closing}plan = [{}]\nfaults = [{}]\n",
        rng.u32(1..),
        plan.join(", "),
        faults.join(", "),
    )
}

fn entries(kinds: &[&Kind], count: std::ops::Range<usize>, rng: &mut Rng) -> Vec<String> {
    if kinds.is_empty() {
        return Vec::new();
    }
    let count = rng.usize(count);
    (0..count).map(|_| entry(kinds, FIRST_S + (LAST_S - FIRST_S) * rng.f64(), rng)).collect()
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
    let mut text = format!("{{ at = {at:.1}, kind = \"{}\", for_s = {lasts:.1}", kind.name);
    // The usual variant is as likely as each of the others.
    if let Some(variant) = kind.variants.get(rng.usize(..=kind.variants.len())) {
        let _ = write!(text, ", how = \"{variant}\"");
    }
    match kind.name {
        "burst" => text.push_str(", x = 1.8"),
        "retry_abuse" => text.push_str(", x = 2, share = 0.3"),
        _ => {}
    }
    text + " }"
}

/// A day that was played.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Played {
    /// The kinds of its planned work and troubles.
    pub kinds: BTreeSet<String>,
    /// The rules that were broken.
    pub broken: BTreeSet<String>,
}

/// A table of rules by kinds: of how many days with that kind the rule was broken on, and how many were played.
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
    broken.keys().for_each(|rule| text.push_str(&format!(" {rule:>9}")));
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
