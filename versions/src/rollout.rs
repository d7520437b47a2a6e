//! When a whole fleet may switch to a version, and who of it cannot be left out.

use crate::{Time, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What the store says of a gatherer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Member {
    /// The version that it runs.
    pub runs: Version,
    /// The proposal (its revision) to which its word is, and why it cannot, if it cannot.
    pub word: Option<(u64, Option<String>)>,
    /// When it was left out by an operator, on the clock of who decides, if that one has seen it
    /// happen.
    pub left_out: Option<Time>,
}

/// Why a version may not be activated, by gatherer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Missing {
    /// It has said nothing of this proposal.
    Silent,
    /// It cannot use it.
    Cannot(String),
    /// It was left out so short a time ago that it may be acting on the former version still.
    LeftOutTooLately(Time),
    /// It goes on without a store, so nothing may be decided without it.
    Keeper,
}

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Missing::Silent => f.write_str("has not said that it can use this"),
            Missing::Cannot(why) => write!(f, "cannot use this: {why}"),
            Missing::LeftOutTooLately(wait) => {
                let wait = wait / 1_000_000;
                write!(
                    f,
                    "was left out, and may act on the former version for {wait} ms more"
                )
            }
            Missing::Keeper => f.write_str("goes on without a store, and so cannot be left out"),
        }
    }
}

/// How many of so many gatherers go on without a store, at a share of them that stays in service
/// whatever happens.
pub fn least(count: usize, share: f64) -> usize {
    ((count as f64 * share.clamp(0.0, 1.0)).ceil() as usize).min(count)
}

/// Who of these goes on under a version though it cannot ask the store: the first by a hash of name
/// and version, so that no gatherer is always one and each can tell by itself.
pub fn keepers<'a>(
    names: impl IntoIterator<Item = &'a str>,
    proposal: u64,
    share: f64,
) -> BTreeSet<&'a str> {
    let mut all: Vec<(u64, &str)> = names
        .into_iter()
        .map(|name| (hash(name, proposal), name))
        .collect();
    all.sort_unstable();
    let most = least(all.len(), share);
    all.into_iter().take(most).map(|(_, name)| name).collect()
}

/// FNV-1a over both: it has to be the same in every build.
fn hash(name: &str, proposal: u64) -> u64 {
    let bytes = proposal.to_le_bytes();
    let mixed = bytes
        .iter()
        .chain(name.as_bytes())
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        });
    // The last bytes alone would order names that differ at their end.
    (mixed ^ mixed >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Whether a proposal may be made active: everybody has given its word for it, or was left out for
/// longer than its validity and the margin for clocks that run apart. Who is in the way is named.
pub fn in_the_way<'a>(
    fleet: &'a BTreeMap<String, Member>,
    proposal: u64,
    keepers: &BTreeSet<String>,
    bound: Time,
    now: Time,
) -> BTreeMap<&'a str, Missing> {
    let missing = |(name, member): (&'a String, &'a Member)| {
        let why = match (&member.word, member.left_out) {
            (Some((to, None)), _) if *to == proposal => return None,
            (Some((to, Some(why))), None) if *to == proposal => Missing::Cannot(why.clone()),
            (_, None) => Missing::Silent,
            (_, Some(_)) if keepers.contains(name) => Missing::Keeper,
            (_, Some(at)) if now < at.saturating_add(bound) => {
                Missing::LeftOutTooLately(at.saturating_add(bound) - now)
            }
            (_, Some(_)) => return None,
        };
        Some((name.as_str(), why))
    };
    fleet.iter().filter_map(missing).collect()
}

/// The validity and what clocks may differ by over it, in parts of a thousand.
pub fn bound(validity: Time, drift: u64) -> Time {
    validity.saturating_add(validity / 1_000 * drift)
}

#[cfg(test)]
mod tests;
