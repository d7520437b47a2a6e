//! `fleet versions` and `fleet diff`: the active version and the proposal, and how documents
//! differ.

use super::super::activation::fleet;
use super::super::keys::{ACTIVE, EXCLUDED, HISTORY, ON_HOLD, PROPOSAL};
use super::error::CommandError;
use super::{Diff, StoreArgs};
use crate::store::client::ReadResult;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use versions::rollout::{Member, Vote};

/// The state of versions in the store.
struct FleetVersions {
    revision: u64,
    active: Option<(Json, u64)>,
    proposal: Option<u64>,
    members: BTreeMap<String, Member>,
    on_hold: BTreeSet<String>,
}

impl FleetVersions {
    fn read(seen: &ReadResult) -> FleetVersions {
        let excluded_since = seen
            .names(EXCLUDED)
            .map(|name| (name.to_owned(), 0))
            .collect();
        FleetVersions {
            revision: seen.revision,
            active: seen.json(ACTIVE),
            proposal: seen.json(PROPOSAL).map(|(_, proposal)| proposal),
            members: fleet(seen, &excluded_since),
            on_hold: seen.names(ON_HOLD).map(str::to_owned).collect(),
        }
    }

    fn to_json(&self) -> Json {
        let member = |(name, member): (&String, &Member)| {
            let vote = member
                .vote
                .as_ref()
                .map(|vote| json!({"to": vote.proposal, "cannot": vote.objection}));
            json!({
                "name": name,
                "runs": member.running,
                "word": vote,
                "held": self.on_hold.contains(name),
                "left_out": member.excluded_since.is_some(),
            })
        };
        let gatherers: Vec<Json> = self.members.iter().map(member).collect();
        let active = self.active.as_ref();
        json!({
            "revision": self.revision,
            "version": active.map(|(_, version)| *version),
            "keepers": active.map(|(document, _)| document["keepers"].clone()),
            "proposal": self.proposal,
            "gatherers": gatherers,
        })
    }

    fn to_text(&self) -> String {
        let mut text = match &self.active {
            Some((document, version)) => format!(
                "version {version} is active (proposal {})",
                document["proposal"]
            ),
            None => "no version is active: each gatherer uses its own file".to_owned(),
        };
        if let Some(proposal) = self.proposal {
            let _ = write!(text, "; the last proposal is {proposal}");
        }
        for (name, member) in &self.members {
            let _ = write!(text, "\n{name}: runs {}", member.running);
            match &member.vote {
                None => text.push_str(", has not voted"),
                Some(Vote {
                    proposal,
                    objection: None,
                }) => drop(write!(text, ", can use {proposal}")),
                Some(Vote {
                    proposal,
                    objection: Some(reason),
                }) => drop(write!(text, ", cannot use {proposal}: {reason}")),
            }
            if self.on_hold.contains(name) {
                text.push_str(", on hold");
            }
            if member.excluded_since.is_some() {
                text.push_str(", excluded from activations");
            }
        }
        text
    }
}

pub(super) fn versions(store: &StoreArgs) -> Result<String, CommandError> {
    let fleet = FleetVersions::read(&store.client().read("")?);
    Ok(if store.json {
        fleet.to_json().to_string()
    } else {
        fleet.to_text()
    })
}

pub(super) fn diff(call: &Diff) -> Result<String, CommandError> {
    let seen = call.store.client().read("config/")?;
    let active = seen
        .json(ACTIVE)
        .map_or(Json::Null, |(active, _)| active["settings"].clone());
    let (other, _) = match call.with {
        Some(proposal) => seen
            .json(&format!("{HISTORY}{proposal}"))
            .ok_or(CommandError::UnknownComparison)?,
        None => seen.json(PROPOSAL).ok_or(CommandError::NoProposal)?,
    };
    let mut differences = Vec::new();
    compare(&active, &other["settings"], "settings", &mut differences);
    Ok(if differences.is_empty() {
        "no difference".to_owned()
    } else {
        differences.join("\n")
    })
}

/// Collects every path at which two documents differ, with both values.
fn compare(one: &Json, other: &Json, path: &str, differences: &mut Vec<String>) {
    match (one, other) {
        (Json::Object(one), Json::Object(other)) => {
            let keys: BTreeSet<&String> = one.keys().chain(other.keys()).collect();
            for key in keys {
                let before = one.get(key).unwrap_or(&Json::Null);
                let after = other.get(key).unwrap_or(&Json::Null);
                compare(before, after, &format!("{path}.{key}"), differences);
            }
        }
        (Json::Array(one), Json::Array(other)) if one.len() == other.len() => {
            for (index, (before, after)) in one.iter().zip(other).enumerate() {
                compare(before, after, &format!("{path}[{index}]"), differences);
            }
        }
        _ if one != other => differences.push(format!("{path}: {one} becomes {other}")),
        _ => {}
    }
}
