//! The store transaction that makes a proposal active, for operators' commands and jobs.

use super::NANOS_PER_MS;
use super::keys::{ACTIVE, EVER_ACTIVE, EXCLUDED, GATHERERS, HISTORY, PROPOSAL, VOTE};
use crate::store::client::ReadResult;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use store::command::Change;
use store::command::Check;
use versions::Time;
use versions::rollout::{Blocker, Member, Vote, autonomous_members, blockers, exclusion_delay};

/// How far the clocks of two machines may drift apart, in parts of a thousand.
const DRIFT_PERMILLE: u64 = 50;
/// The number of earlier documents that are retained, so that they can be proposed again.
const RETAINED_DOCUMENTS: usize = 8;
/// The number of proposals that are remembered as having been active.
const RETAINED_PROPOSALS: usize = 100;
/// The fraction of autonomous gatherers for a proposal that does not state one.
const DEFAULT_AUTONOMOUS_FRACTION: f64 = 0.5;

/// A transaction that makes a proposal active.
pub struct Plan {
    /// The proposal.
    pub proposal: u64,
    /// How many gatherers take part.
    pub participants: usize,
    /// The participants that keep serving without a store.
    pub autonomous: Vec<String>,
    /// The keys that must be unchanged at the commit.
    pub checks: Vec<Check>,
    /// The writes.
    pub changes: Vec<Change>,
}

/// Why no proposal can be made active.
pub enum Blocked {
    /// There is no proposal to activate; the text says why.
    NoProposal(String),
    /// Some gatherers prevent it.
    ByGatherers {
        /// Those gatherers, and why each prevents it.
        blockers: BTreeMap<String, Blocker>,
        /// How long an excluded gatherer may still serve at most.
        exclusion_delay: Time,
    },
}

/// The fleet as recorded in the store. `excluded_since` holds when each exclusion was first seen.
pub fn fleet(
    seen: &ReadResult,
    excluded_since: &BTreeMap<String, Time>,
) -> BTreeMap<String, Member> {
    let member = |name: &str| {
        let (registration, _) = seen.json(&format!("{GATHERERS}{name}"))?;
        let vote = seen
            .json(&format!("{VOTE}{name}"))
            .and_then(|(vote, _)| read_vote(&vote, &registration));
        Some(Member {
            running: registration["runs"].as_u64().unwrap_or(0),
            vote,
            excluded_since: excluded_since.get(name).copied(),
        })
    };
    seen.names(GATHERERS)
        .filter_map(|name| Some((name.to_owned(), member(name)?)))
        .collect()
}

/// A gatherer's vote. A vote of an earlier incarnation does not count: the program may have been
/// replaced by one that cannot use the proposal.
fn read_vote(vote: &Json, registration: &Json) -> Option<Vote> {
    if vote["life"] != registration["life"] {
        return None;
    }
    Some(Vote {
        proposal: vote["to"].as_u64()?,
        objection: vote["cannot"].as_str().map(str::to_owned),
    })
}

/// Records when each exclusion was first seen, and removes gatherers that are no longer excluded.
pub fn observe_exclusions(
    seen: &ReadResult,
    excluded_since: &mut BTreeMap<String, Time>,
    now: Time,
) {
    let excluded: BTreeSet<&str> = seen.names(EXCLUDED).collect();
    excluded_since.retain(|name, _| excluded.contains(name.as_str()));
    for name in excluded {
        excluded_since.entry(name.to_owned()).or_insert(now);
    }
}

/// Plans the activation of the last proposal. `excluded_since` is on the clock of `now`.
pub fn plan(
    seen: &ReadResult,
    excluded_since: &BTreeMap<String, Time>,
    now: Time,
) -> Result<Plan, Blocked> {
    let (document, proposal) = seen
        .json(PROPOSAL)
        .ok_or_else(|| Blocked::NoProposal("there is no proposal".to_owned()))?;
    let active = seen.json(ACTIVE).map(|(active, _)| active);
    if active
        .as_ref()
        .is_some_and(|active| active["proposal"] == proposal)
    {
        let reason = format!("proposal {proposal} is already active");
        return Err(Blocked::NoProposal(reason));
    }
    let fleet = fleet(seen, excluded_since);
    check_blockers(seen, &fleet, active.as_ref(), proposal, now)?;
    let participants: Vec<&str> = fleet
        .iter()
        .filter(|(_, member)| member.excluded_since.is_none())
        .map(|(name, _)| name.as_str())
        .collect();
    let fraction = document["least"]
        .as_f64()
        .unwrap_or(DEFAULT_AUTONOMOUS_FRACTION);
    let autonomous: Vec<String> =
        autonomous_members(participants.iter().copied(), proposal, fraction)
            .into_iter()
            .map(str::to_owned)
            .collect();
    let mut changes = activation_changes(&document, proposal, &autonomous);
    changes.extend(deletions(seen, HISTORY, RETAINED_DOCUMENTS));
    changes.extend(deletions(seen, EVER_ACTIVE, RETAINED_PROPOSALS));
    // An excluded gatherer has stopped serving, so its exclusion ends with the new version.
    let excluded = fleet
        .iter()
        .filter(|(_, member)| member.excluded_since.is_some());
    changes.extend(excluded.map(|(name, _)| set(format!("{EXCLUDED}{name}"), None)));
    Ok(Plan {
        proposal,
        participants: participants.len(),
        autonomous,
        checks: checks(seen, &fleet),
        changes,
    })
}

fn check_blockers(
    seen: &ReadResult,
    fleet: &BTreeMap<String, Member>,
    active: Option<&Json>,
    proposal: u64,
    now: Time,
) -> Result<(), Blocked> {
    let validity = |name: &String| {
        let (registration, _) = seen.json(&format!("{GATHERERS}{name}"))?;
        let validity_ms = registration["validity_ms"].as_u64()?;
        Some(validity_ms.saturating_mul(NANOS_PER_MS))
    };
    let longest_validity = fleet.keys().filter_map(validity).max().unwrap_or(0);
    let exclusion_delay = exclusion_delay(longest_validity, DRIFT_PERMILLE);
    let autonomous: BTreeSet<String> = match active {
        Some(active) => autonomous_under(active),
        // Gatherers that run their own files keep serving without a store.
        None => fleet.keys().cloned().collect(),
    };
    let blockers = blockers(fleet, proposal, &autonomous, exclusion_delay, now);
    if blockers.is_empty() {
        return Ok(());
    }
    Err(Blocked::ByGatherers {
        blockers: blockers
            .into_iter()
            .map(|(name, blocker)| (name.to_owned(), blocker))
            .collect(),
        exclusion_delay,
    })
}

/// Everything that the plan depends on must be unchanged at the commit. Otherwise a gatherer that
/// restarts or is included again in the meantime could run a version that it did not vote for.
fn checks(seen: &ReadResult, fleet: &BTreeMap<String, Member>) -> Vec<Check> {
    let mut checks = vec![seen.unchanged(PROPOSAL), seen.unchanged(ACTIVE)];
    for (name, member) in fleet {
        let prefix = if member.excluded_since.is_some() {
            EXCLUDED
        } else {
            VOTE
        };
        checks.push(seen.unchanged(&format!("{GATHERERS}{name}")));
        checks.push(seen.unchanged(&format!("{prefix}{name}")));
    }
    checks
}

fn activation_changes(document: &Json, proposal: u64, autonomous: &[String]) -> Vec<Change> {
    let active = json!({
        "format": document["format"].as_u64().unwrap_or(1),
        "settings": document["settings"],
        "keepers": autonomous,
        "proposal": proposal,
    });
    let retained = json!({"settings": document["settings"]});
    vec![
        set(ACTIVE.to_owned(), Some(active.to_string())),
        set(format!("{HISTORY}{proposal}"), Some(retained.to_string())),
        set(format!("{EVER_ACTIVE}{proposal}"), Some("{}".to_owned())),
    ]
}

/// Deletes the oldest entries under a prefix, so that at most `retained` are left with the new one:
/// the store's capacity is small.
fn deletions(seen: &ReadResult, prefix: &str, retained: usize) -> Vec<Change> {
    let mut proposals: Vec<u64> = seen
        .names(prefix)
        .filter_map(|name| name.parse().ok())
        .collect();
    proposals.sort_unstable();
    let surplus = proposals.len().saturating_sub(retained - 1);
    proposals[..surplus]
        .iter()
        .map(|proposal| set(format!("{prefix}{proposal}"), None))
        .collect()
}

fn set(key: String, value: Option<String>) -> Change {
    Change { key, value }
}

/// The gatherers that keep serving without a store under an active document.
pub fn autonomous_under(active: &Json) -> BTreeSet<String> {
    let names = active["keepers"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    names
        .iter()
        .filter_map(Json::as_str)
        .map(str::to_owned)
        .collect()
}
