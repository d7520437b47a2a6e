//! Whether anything was done under a version that was not in force any more, by each gatherer's own
//! trail.
//!
//! Each trail is judged on its own clock alone, as clocks of other machines say nothing: acts under
//! a version are within the bound for as long as the validity lasts from a moment at which the
//! gatherer *asked* and was told that this one is active.

use crate::standing::Standing;
use crate::trail::{Broken, Entry, Mark, read};
use crate::{Time, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Something found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Queries were taken under a version longer after its last proof than the validity, by one
    /// that may not go on so.
    Beyond {
        /// The version.
        version: Version,
        /// The class.
        class: String,
        /// So much later than the bound the last one was.
        by: Time,
        /// How many may have been, at the most.
        count: u64,
    },
    /// The same by one of those that go on without a store.
    Kept {
        /// The version.
        version: Version,
        /// The last one, after the bound.
        by: Time,
        /// How many may have been, at the most.
        count: u64,
    },
    /// It says that the store told it of a version that the store never had.
    NeverActive(Version),
    /// It says that it was told of an earlier version after a later one.
    WentBack(Version, Version),
    /// A life ended without a last note, as where power was lost: what it did after that one is not
    /// known.
    CutOff {
        /// The life.
        life: u64,
        /// How long it had been running at its last note.
        after: Time,
    },
    /// So many entries could not be written, as on a full disk: what they told is not known.
    Lost(u64),
    /// Its trail does not hold from here on: what came then is not known.
    Broken(Broken),
    /// There is no trail of it: nothing is known.
    NoTrail,
}

impl Finding {
    /// Whether it means that something was done that must not have been; `None` where that is not
    /// known.
    pub fn is_wrong(&self) -> Option<bool> {
        match self {
            Finding::Beyond { .. } | Finding::NeverActive(_) | Finding::WentBack(..) => Some(true),
            Finding::Kept { .. } | Finding::CutOff { .. } => Some(false),
            Finding::Broken(_) | Finding::NoTrail | Finding::Lost(_) => None,
        }
    }

    /// What kind it is, in a word.
    pub fn word(&self) -> &'static str {
        match (self.is_wrong(), self) {
            (Some(true), _) => "WRONG",
            (None, _) => "NOT KNOWN",
            (Some(false), Finding::CutOff { .. }) => "gap",
            (Some(false), _) => "kept",
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |time: &Time| time / 1_000_000;
        match self {
            Finding::Beyond {
                version,
                class,
                by,
                count,
            } => {
                let by = ms(by);
                write!(
                    f,
                    "up to {count} queries of {class} under version {version}, {by} ms beyond its end"
                )
            }
            Finding::Kept { version, by, count } => {
                let by = ms(by);
                write!(
                    f,
                    "kept in service: up to {count} queries under version {version}, {by} ms beyond its end"
                )
            }
            Finding::NeverActive(version) => {
                write!(f, "was told of version {version}, which never was active")
            }
            Finding::WentBack(from, to) => write!(f, "was told of version {to} after {from}"),
            Finding::CutOff { life, after } => {
                let after = ms(after);
                write!(
                    f,
                    "life {life:016x} ended without a last note: its last one came {after} ms after its begin"
                )
            }
            Finding::Lost(count) => write!(f, "{count} entries could not be written"),
            Finding::Broken(broken) => write!(f, "its trail does not hold: {broken}"),
            Finding::NoTrail => f.write_str("there is no trail of it: not known"),
        }
    }
}

/// A stretch over which a gatherer acted on a version, on its own clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Span {
    /// The life.
    pub life: u64,
    /// The wall clock at the life's begin, less its own clock then: what makes of its times moments
    /// for people.
    pub wall_ms: i64,
    /// The version.
    pub version: Version,
    /// When the first and the last query was taken.
    pub taken: (Time, Time),
    /// How many.
    pub count: u64,
}

/// A call that an operator made by hand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Called {
    /// When, as a wall clock of the gatherer's begin has it.
    pub wall_ms: i64,
    /// The version under which it was carried out.
    pub version: Version,
    /// The call.
    pub call: String,
}

/// What is known of one gatherer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// What it acted on, in order.
    pub spans: Vec<Span>,
    /// What operators had it do by hand.
    pub calls: Vec<Called>,
    /// What was found.
    pub findings: Vec<Finding>,
    /// The life that had not ended when the trail did, and how long it had been running at its last
    /// note.
    pub open: Option<(u64, Time)>,
}

/// Judges one gatherer's trail, with every version that the store ever made active.
pub fn judge(entries: &[Entry], broken: Option<Broken>, active: &BTreeSet<Version>) -> Report {
    let mut report = Report::default();
    let (mut life, mut wall_ms, mut validity) = (0, 0, 0);
    // By version: when it was last asked for with that answer; and which of them it goes on under
    // without a store.
    let (mut proofs, mut kept) = (BTreeMap::<Version, Time>::new(), BTreeSet::<Version>::new());
    let (mut told, mut runs, mut stands_kept) = (0, 0, false);
    // When the life began and when it last noted something, until it has ended in order.
    let mut open = None::<(Time, Time)>;
    for Entry { at, mark } in entries {
        if let Some((_, last)) = &mut open
            && !matches!(mark, Mark::Began { .. } | Mark::Follows { .. })
        {
            *last = (*last).max(*at);
        }
        match mark {
            Mark::Began {
                life: new,
                wall,
                validity: of,
                ..
            } => {
                if let Some((begun, last)) = open.replace((*at, *at)) {
                    report.findings.push(Finding::CutOff {
                        life,
                        after: last.saturating_sub(begun),
                    });
                }
                (life, validity) = (*new, *of);
                wall_ms = *wall as i64 - (*at / 1_000_000) as i64;
                (proofs, kept) = (BTreeMap::new(), BTreeSet::new());
                (told, runs, stands_kept) = (0, 0, false);
            }
            Mark::Proved { asked, version } => {
                let proof = proofs.entry(*version).or_insert(*asked);
                *proof = (*proof).max(*asked);
                // Of versions older than any that is remembered nothing can be said.
                let remembered = active.first().is_none_or(|oldest| version > oldest);
                if *version != 0 && remembered && !active.contains(version) {
                    report.findings.push(Finding::NeverActive(*version));
                }
                if *version < told {
                    report.findings.push(Finding::WentBack(told, *version));
                }
                told = told.max(*version);
            }
            Mark::Runs { version, keeper } => {
                if *keeper {
                    kept.insert(*version);
                } else {
                    kept.remove(version);
                }
                // It came to be active after the last moment for which the former was proved.
                let former = proofs.get(&std::mem::replace(&mut runs, *version)).copied();
                if let Some(former) = former {
                    let proof = proofs.entry(*version).or_insert(former);
                    *proof = (*proof).max(former);
                }
            }
            Mark::Stands { standing } => stands_kept |= *standing == Standing::Kept,
            Mark::Acts {
                version,
                class,
                taken,
                count,
                ..
            } => {
                let ends = proofs
                    .get(version)
                    .map_or(0, |asked| asked.saturating_add(validity));
                if taken.1 >= ends {
                    let by = taken.1 - ends;
                    let (version, count, class) = (*version, *count, class.clone());
                    // Whoever goes on so has said that it does.
                    let may = kept.contains(&version) && stands_kept;
                    let beyond = Finding::Beyond {
                        version,
                        class,
                        by,
                        count,
                    };
                    report.findings.push(if may {
                        Finding::Kept { version, by, count }
                    } else {
                        beyond
                    });
                }
                match report
                    .spans
                    .last_mut()
                    .filter(|s| s.life == life && s.version == *version)
                {
                    Some(span) => {
                        span.taken = (span.taken.0.min(taken.0), span.taken.1.max(taken.1));
                        span.count += count;
                    }
                    None => {
                        let (version, taken, count) = (*version, *taken, *count);
                        report.spans.push(Span {
                            life,
                            wall_ms,
                            version,
                            taken,
                            count,
                        });
                    }
                }
            }
            Mark::Called { version, call } => {
                let wall_ms = wall_ms + (*at / 1_000_000) as i64;
                report.calls.push(Called {
                    wall_ms,
                    version: *version,
                    call: call.clone(),
                });
            }
            Mark::Lost { count } => report.findings.push(Finding::Lost(*count)),
            Mark::Ended => open = None,
            Mark::Follows { .. } => {}
        }
    }
    report.open = open.map(|(begun, last)| (life, last.saturating_sub(begun)));
    report.findings.extend(broken.map(Finding::Broken));
    report
}

/// Judges every trail of one gatherer that there is, each by its segments from the oldest that is
/// left on. A life that had not ended goes on only in the trail that was `fetched` just now.
pub fn account(
    trails: &[BTreeMap<u64, String>],
    fetched: Option<u64>,
    told: &BTreeMap<u64, Digest>,
    active: &BTreeSet<Version>,
) -> Report {
    let (mut report, mut numbers) = (Report::default(), BTreeSet::new());
    for segments in trails {
        numbers.extend(number(segments));
        let (entries, broken) = join(segments, told);
        let one = judge(&entries, broken, active);
        let over = fetched.is_none() || number(segments) != fetched;
        let cut_off = one
            .open
            .filter(|_| over)
            .map(|(life, after)| Finding::CutOff { life, after });
        report.findings.extend(cut_off);
        report.spans.extend(one.spans);
        report.calls.extend(one.calls);
        report.findings.extend(one.findings);
    }
    if trails.is_empty() {
        report.findings.push(Finding::NoTrail);
    } else if told.keys().any(|trail| !numbers.contains(trail)) {
        let why = "an earlier trail that the store was told of is gone";
        report
            .findings
            .push(Finding::Broken(Broken { line: 0, why }));
    }
    report
        .spans
        .sort_by_key(|span| span.wall_ms + (span.taken.0 / 1_000_000) as i64);
    report.calls.sort_by_key(|call| call.wall_ms);
    report
}

/// The number of a trail, by its first line.
fn number(segments: &BTreeMap<u64, String>) -> Option<u64> {
    let first = segments
        .values()
        .next()
        .and_then(|text| text.split_inclusive('\n').next())?;
    match read(first).0.first()?.mark {
        Mark::Follows { trail, .. } => Some(trail),
        _ => None,
    }
}

/// What the store was told of a trail: so many lines of a segment, and the hash of the last of
/// them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// The segment.
    pub segment: u64,
    /// Lines.
    pub length: u64,
    /// The hash.
    pub hash: String,
}

/// Puts segments of one trail together, from the oldest that is left on: what holds, and where it
/// holds no longer. A segment that does not follow from the one before it, and a trail that is
/// shorter than the store was told, are broken too.
///
/// `told` has each trail that the gatherer ever had, by its number.
fn join(
    segments: &BTreeMap<u64, String>,
    told: &BTreeMap<u64, Digest>,
) -> (Vec<Entry>, Option<Broken>) {
    let (mut all, mut before) = (Vec::new(), None::<(u64, String)>);
    let digest = number(segments).and_then(|own| told.get(&own));
    for (number, text) in segments {
        let (entries, chain, broken) = read(text);
        let line = entries.len();
        if let Some(Entry {
            mark: Mark::Follows { segment, hash, .. },
            ..
        }) = entries.first()
        {
            let follows = before
                .as_ref()
                .is_none_or(|(at, last)| at + 1 == *number && last == hash);
            if segment != number || !follows {
                return (
                    all,
                    Some(Broken {
                        line: 1,
                        why: "its segment does not follow from the one before it",
                    }),
                );
            }
        }
        all.extend(entries);
        if let Some(broken) = broken {
            return (all, Some(broken));
        }
        let told = digest.filter(|digest| digest.segment == *number);
        if told.is_some_and(|told| hash_at(text, told.length) != Some(told.hash.as_str())) {
            return (
                all,
                Some(Broken {
                    line,
                    why: "it is not what the store was told of it",
                }),
            );
        }
        before = Some((*number, chain.hash));
    }
    let last = segments.last_key_value().map(|(number, _)| *number);
    if digest.is_some_and(|digest| last.is_none_or(|last| last < digest.segment)) {
        return (
            all,
            Some(Broken {
                line: 0,
                why: "segments that the store was told of are missing",
            }),
        );
    }
    (all, None)
}

/// The hash that a line, counted from 1, begins with.
fn hash_at(text: &str, line: u64) -> Option<&str> {
    let at = usize::try_from(line).ok()?.checked_sub(1)?;
    text.lines().nth(at)?.split_once(' ').map(|(hash, _)| hash)
}

/// How long two versions were acted on at one time, in milliseconds of the wall clocks that the
/// gatherers told: for people.
pub fn overlaps(reports: &BTreeMap<String, Report>) -> BTreeMap<(Version, Version), u64> {
    let ms = |span: &Span| {
        let at = |time: Time| span.wall_ms + (time / 1_000_000) as i64;
        (at(span.taken.0), at(span.taken.1))
    };
    let mut whole: BTreeMap<Version, (i64, i64)> = BTreeMap::new();
    for span in reports.values().flat_map(|report| &report.spans) {
        let (from, to) = ms(span);
        let all = whole.entry(span.version).or_insert((from, to));
        *all = (all.0.min(from), all.1.max(to));
    }
    let mut overlaps = BTreeMap::new();
    for (one, (_, last)) in &whole {
        for (other, (first, _)) in whole.range(one + 1..) {
            if last > first {
                overlaps.insert((*one, *other), (last - first) as u64);
            }
        }
    }
    overlaps
}

#[cfg(test)]
mod tests;
