//! When the whole fleet may switch to a proposed version, and which gatherers prevent it.
//!
//! This is a vote of all gatherers on one proposal (an atomic commitment, in which a gatherer that
//! cannot vote may be excluded once it has provably stopped). It is not the rollout of the router
//! fleet, which is in the package `control`, nor the restart of gatherers in waves, which is in the
//! package `ownership`.

use crate::{NANOS_PER_MS, Time, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A gatherer's vote on a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vote {
    /// The proposal, by its revision.
    pub proposal: u64,
    /// Why the gatherer cannot use it; `None` for a vote in favour.
    pub objection: Option<String>,
}

/// A gatherer as the store has it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Member {
    /// The version that it runs.
    pub running: Version,
    /// Its last vote.
    pub vote: Option<Vote>,
    /// Since when it has been seen to be excluded by an operator, on the clock of whoever decides.
    pub excluded_since: Option<Time>,
}

/// Why a gatherer prevents an activation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Blocker {
    /// It has not voted on this proposal.
    NoVote,
    /// It cannot use the proposal.
    Objection(String),
    /// It was excluded, but may still serve under the former version for this long.
    StillValid(Time),
    /// It serves without a store, so it cannot be excluded.
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

/// The number of autonomous gatherers for a fraction (0 to 1) of the fleet that has to stay in
/// service without a store.
pub fn autonomous_count(fleet_size: usize, fraction: f64) -> usize {
    ((fleet_size as f64 * fraction.clamp(0.0, 1.0)).ceil() as usize).min(fleet_size)
}

/// Selects the gatherers that serve on under a version without a store.
///
/// They are the first by a hash of name and proposal: no gatherer is always one of them, and each
/// can compute the selection alone.
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

/// FNV-1a over proposal and name with a finalizer. Its result must be the same in every build, as
/// gatherers of different versions of the program have to agree on the selection.
fn hash(name: &str, proposal: u64) -> u64 {
    let bytes = proposal.to_le_bytes();
    let mixed = bytes
        .iter()
        .chain(name.as_bytes())
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        });
    // Without the finalizer names that differ at their end only would be ordered by their last
    // bytes.
    (mixed ^ mixed >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The gatherers that prevent the activation of a proposal; it may be activated if there is none.
///
/// Invariant: once a version is activated, no gatherer that did not vote for it serves under the
/// former one, unless that one was confirmed before. So a gatherer has either voted in favour, or
/// it has been excluded for longer than `exclusion_delay`, after which its validity has expired by
/// any clock. `autonomous` names the gatherers to which the second rule does not apply.
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

/// How long an excluded gatherer may still serve: its validity, and what two clocks can drift apart
/// over it (in parts of a thousand).
pub fn exclusion_delay(validity: Time, drift_permille: u64) -> Time {
    validity.saturating_add(validity / 1_000 * drift_permille)
}

#[cfg(test)]
mod tests;
