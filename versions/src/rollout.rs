//! When the whole fleet may switch to a proposed version, and which gatherers block the switch.
//!
//! All gatherers vote on one proposal (an atomic commitment, in which a gatherer that cannot vote
//! may be excluded once it has provably stopped). The rollout of the router fleet is in the package
//! `control`, the restart of gatherers in waves in the package `ownership`.

use crate::{NANOS_PER_MS, Time, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A gatherer's vote on a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vote {
    /// The store revision of the proposal.
    pub proposal: u64,
    /// Why the gatherer cannot use the proposal; `None` for a vote in favour.
    pub objection: Option<String>,
}

/// The state of a gatherer in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Member {
    /// The version that the gatherer runs.
    pub running: Version,
    /// The gatherer's last vote.
    pub vote: Option<Vote>,
    /// When the exclusion by an operator was first observed, on the clock of the process that
    /// decides on the activation.
    pub excluded_since: Option<Time>,
}

/// Why a gatherer blocks an activation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Blocker {
    /// The gatherer has not voted on this proposal.
    NoVote,
    /// The gatherer cannot use the proposal, for this reason.
    Objection(String),
    /// The gatherer was excluded, but may still serve under the former version for this long.
    StillValid(Time),
    /// The gatherer is autonomous: it keeps serving without a store, so it cannot be excluded.
    Autonomous,
}

impl fmt::Display for Blocker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Blocker::NoVote => f.write_str("has not said that it can use this"),
            Blocker::Objection(reason) => write!(f, "cannot use this: {reason}"),
            Blocker::StillValid(remaining) => {
                let remaining_ms = remaining / NANOS_PER_MS;
                write!(
                    f,
                    "was left out, and may act on the former version for {remaining_ms} ms more"
                )
            }
            Blocker::Autonomous => {
                f.write_str("goes on without a store, and so cannot be left out")
            }
        }
    }
}

/// The number of autonomous gatherers in a fleet of which this fraction (0 to 1) has to stay in
/// service without a store.
pub fn autonomous_count(fleet_size: usize, fraction: f64) -> usize {
    ((fleet_size as f64 * fraction.clamp(0.0, 1.0)).ceil() as usize).min(fleet_size)
}

/// Selects the autonomous gatherers, which keep serving under a version without a store.
///
/// Gatherers are ordered by a hash of name and proposal, so that the selection rotates with the
/// proposal and every gatherer can compute it independently.
pub fn autonomous_members<'a>(
    names: impl IntoIterator<Item = &'a str>,
    proposal: u64,
    fraction: f64,
) -> BTreeSet<&'a str> {
    let mut ranked: Vec<(u64, &str)> = names
        .into_iter()
        .map(|name| (hash(name, proposal), name))
        .collect();
    ranked.sort_unstable();
    let count = autonomous_count(ranked.len(), fraction);
    ranked
        .into_iter()
        .take(count)
        .map(|(_, name)| name)
        .collect()
}

/// FNV-1a over proposal and name with a finalizer. The result must be the same in every build,
/// because gatherers of different versions of the program have to agree on the selection.
fn hash(name: &str, proposal: u64) -> u64 {
    let bytes = proposal.to_le_bytes();
    let mixed = bytes
        .iter()
        .chain(name.as_bytes())
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        });
    // Without the finalizer, names that differ only at their end would be ordered by their last
    // bytes.
    (mixed ^ mixed >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The gatherers that block the activation of a proposal, which may be activated if there are none.
///
/// Invariant: once a version is activated, no gatherer that did not vote for it serves under the
/// former version, unless that one was confirmed before. So every gatherer must either have voted
/// in favour, or have been excluded for longer than `exclusion_delay`, after which its validity has
/// expired on any clock. The second alternative does not apply to the `autonomous` gatherers.
pub fn blockers<'a>(
    fleet: &'a BTreeMap<String, Member>,
    proposal: u64,
    autonomous: &BTreeSet<String>,
    exclusion_delay: Time,
    now: Time,
) -> BTreeMap<&'a str, Blocker> {
    let blocker = |name: &str, member: &Member| {
        let vote = member
            .vote
            .as_ref()
            .filter(|vote| vote.proposal == proposal);
        let objection = match vote {
            Some(Vote {
                objection: None, ..
            }) => return None,
            Some(Vote { objection, .. }) => objection.clone(),
            None => None,
        };
        match (objection, member.excluded_since) {
            (Some(reason), None) => Some(Blocker::Objection(reason)),
            (None, None) => Some(Blocker::NoVote),
            (_, Some(_)) if autonomous.contains(name) => Some(Blocker::Autonomous),
            (_, Some(since)) => {
                let expires_at = since.saturating_add(exclusion_delay);
                (now < expires_at).then(|| Blocker::StillValid(expires_at - now))
            }
        }
    };
    fleet
        .iter()
        .filter_map(|(name, member)| Some((name.as_str(), blocker(name, member)?)))
        .collect()
}

/// How long an excluded gatherer may still serve: its validity plus the maximum drift between two
/// clocks over that time. `drift_permille` is per mille.
pub fn exclusion_delay(validity: Time, drift_permille: u64) -> Time {
    validity.saturating_add(validity / 1_000 * drift_permille)
}

#[cfg(test)]
mod tests;
