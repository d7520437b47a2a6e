//! What making a proposal active changes in the store, and what has to be so for it: the same for
//! an operator's command and for a job.

use super::{ACTIVE, GATHERERS, NEXT, OUT, PAST, WAS, WORD};
use crate::store::client::ReadResult;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use store::command::{Change, Check};
use versions::Time;
use versions::rollout::{Member, Missing, bound, in_the_way, keepers};

/// What clocks of two machines may differ by, in parts of a thousand.
const DRIFT: u64 = 50;

/// Documents of former versions that can be gone back to, and versions that are remembered to have
/// been active.
const PAST_KEPT: usize = 8;
const WAS_KEPT: usize = 100;

/// A change that makes a proposal active.
pub struct Plan {
    /// The proposal.
    pub proposal: u64,
    /// How many gatherers take part.
    pub with: usize,
    /// Who goes on without a store.
    pub keepers: Vec<String>,
    /// What has to be so still.
    pub checks: Vec<Check>,
    /// What is changed.
    pub sets: Vec<Change>,
}

/// Why there is none.
pub enum Blocked {
    /// There is nothing to make active.
    Nothing(String),
    /// Some gatherers are in the way; the longest that one which was left out may act on the former
    /// version.
    InTheWay {
        /// Who, and why.
        missing: BTreeMap<String, Missing>,
        /// The longest validity, with what clocks differ by.
        longest: Time,
    },
}

/// The fleet as the store has it, with when each was seen to be left out.
pub fn fleet(seen: &ReadResult, left_out: &BTreeMap<String, u64>) -> BTreeMap<String, Member> {
    let member = |name: &str| {
        let (own, _) = seen.json(&format!("{GATHERERS}{name}"))?;
        let word = seen.json(&format!("{WORD}{name}")).and_then(|(word, _)| {
            // The word of an earlier life is nobody's.
            let of_this_life = word["life"] == own["life"];
            let cannot = word["cannot"].as_str().map(str::to_owned);
            of_this_life.then_some((word["to"].as_u64()?, cannot))
        });
        let runs = own["runs"].as_u64().unwrap_or(0);
        Some((
            name.to_owned(),
            Member {
                runs,
                word,
                left_out: left_out.get(name).copied(),
            },
        ))
    };
    seen.names(GATHERERS).filter_map(member).collect()
}

/// Keeps since when each gatherer was seen to be left out.
pub fn note_left_out(seen: &ReadResult, left_out: &mut BTreeMap<String, Time>, now: Time) {
    let out: BTreeSet<&str> = seen.names(OUT).collect();
    left_out.retain(|name, _| out.contains(name.as_str()));
    for name in out {
        left_out.entry(name.to_owned()).or_insert(now);
    }
}

/// What makes the last proposal active, by what is seen; `left_out` says since when each gatherer
/// has been seen to be left out, on the clock of `now`.
pub fn plan(
    seen: &ReadResult,
    left_out: &BTreeMap<String, Time>,
    now: Time,
) -> Result<Plan, Blocked> {
    let nothing = |why: String| Blocked::Nothing(why);
    let (next, proposal) = seen
        .json(NEXT)
        .ok_or_else(|| nothing("nothing is proposed".to_owned()))?;
    let active = seen.json(ACTIVE);
    if active
        .as_ref()
        .is_some_and(|(active, _)| active["proposal"] == proposal)
    {
        return Err(nothing(format!("proposal {proposal} is active already")));
    }
    // Whoever was left out acts on the former version for no longer than its validity from then on.
    let fleet = fleet(seen, left_out);
    let validity = |name: &String| {
        let (own, _) = seen.json(&format!("{GATHERERS}{name}"))?;
        Some(own["validity_ms"].as_u64()?.saturating_mul(1_000_000))
    };
    let longest = bound(fleet.keys().filter_map(validity).max().unwrap_or(0), DRIFT);
    let former: BTreeSet<String> = match &active {
        Some((active, _)) => keepers_of(active),
        // By their own files all go on without a store.
        None => fleet.keys().cloned().collect(),
    };
    let missing = in_the_way(&fleet, proposal, &former, longest, now);
    if !missing.is_empty() {
        let missing = missing
            .into_iter()
            .map(|(name, why)| (name.to_owned(), why))
            .collect();
        return Err(Blocked::InTheWay { missing, longest });
    }
    // All of what was read has to be so still at the revision of the switch.
    let mut checks: Vec<Check> = vec![seen.unchanged(NEXT), seen.unchanged(ACTIVE)];
    for (name, member) in &fleet {
        checks.push(seen.unchanged(&format!("{GATHERERS}{name}")));
        let word = if member.left_out.is_some() { OUT } else { WORD };
        checks.push(seen.unchanged(&format!("{word}{name}")));
    }
    let with: Vec<&str> = fleet
        .iter()
        .filter(|(_, m)| m.left_out.is_none())
        .map(|(name, _)| name.as_str())
        .collect();
    let least = next["least"].as_f64().unwrap_or(0.5);
    let keepers: Vec<String> = keepers(with.iter().copied(), proposal, least)
        .into_iter()
        .map(str::to_owned)
        .collect();
    let document = json!({"format": next["format"].as_u64().unwrap_or(1), "settings": next["settings"],
                          "keepers": keepers, "proposal": proposal});
    let past = json!({"settings": next["settings"]});
    let set = |key: String, value: Option<String>| Change { key, value };
    let mut sets = vec![
        set(ACTIVE.to_owned(), Some(document.to_string())),
        set(format!("{PAST}{proposal}"), Some(past.to_string())),
        set(format!("{WAS}{proposal}"), Some("{}".to_owned())),
    ];
    // The store is small: of documents the last few are kept, and of what was ever active the fact,
    // for longer.
    for (prefix, most) in [(PAST, PAST_KEPT), (WAS, WAS_KEPT)] {
        let mut all: Vec<u64> = seen
            .names(prefix)
            .filter_map(|name| name.parse().ok())
            .collect();
        all.sort_unstable();
        let gone = all.len().saturating_sub(most - 1);
        sets.extend(
            all[..gone]
                .iter()
                .map(|proposal| set(format!("{prefix}{proposal}"), None)),
        );
    }
    // Whoever was left out has stopped: it may be brought up from here on.
    let out = fleet.iter().filter(|(_, m)| m.left_out.is_some());
    sets.extend(out.map(|(name, _)| set(format!("{OUT}{name}"), None)));
    Ok(Plan {
        proposal,
        with: with.len(),
        keepers,
        checks,
        sets,
    })
}

/// Who goes on without a store under an active document.
pub fn keepers_of(active: &Json) -> BTreeSet<String> {
    let all = active["keepers"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    all.iter()
        .filter_map(Json::as_str)
        .map(str::to_owned)
        .collect()
}
