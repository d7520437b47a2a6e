//! `fleet configure`: proposes settings to the fleet.

use super::super::FORMAT;
use super::super::keys::{ACTIVE, GATHERERS, HISTORY, PROPOSAL};
use super::error::CommandError;
use super::{Configure, put};
use crate::core::settings;
use crate::store::client::{ChangeOutcome, ReadResult};
use serde_json::{Value as Json, json};
use std::path::Path;

pub(super) fn run(call: &Configure) -> Result<String, CommandError> {
    if !(0.0..=1.0).contains(&call.least) {
        return Err(CommandError::Least(call.least));
    }
    let client = call.store.client();
    let seen = client.read("")?;
    let settings = match (&call.file, call.back_to) {
        (Some(file), _) => read_settings(file)?,
        (None, Some(proposal)) => earlier_settings(&seen, proposal)?,
        (None, None) => return Err(CommandError::NoSettings),
    };
    check_format(&seen)?;
    let document = json!({"format": FORMAT, "settings": settings, "least": call.least});
    // Does not replace a proposal that was made since the store was read.
    let checks = vec![seen.unchanged(PROPOSAL), seen.unchanged(ACTIVE)];
    match client.change(checks, vec![put(PROPOSAL, Some(document.to_string()))])? {
        ChangeOutcome::Applied(proposal) if call.store.json => {
            Ok(json!({"proposal": proposal}).to_string())
        }
        ChangeOutcome::Applied(proposal) => Ok(format!(
            "proposed as {proposal}; `fleet activate` switches all gatherers once each has voted that it can use this"
        )),
        ChangeOutcome::Rejected(why) => Err(CommandError::NotProposed(why)),
        ChangeOutcome::Unknown => Err(CommandError::Unknown("proposed")),
    }
}

/// Reads the settings from a file that is either the settings alone or a configuration.
fn read_settings(file: &Path) -> Result<Json, CommandError> {
    let text = std::fs::read(file).map_err(|problem| CommandError::in_file(file, problem))?;
    let json: Json =
        serde_json::from_slice(&text).map_err(|problem| CommandError::in_file(file, problem))?;
    let settings = if json["settings"].is_object() {
        json["settings"].clone()
    } else {
        json
    };
    settings::read(&settings).map_err(|problem| CommandError::in_file(file, problem))?;
    Ok(settings)
}

fn earlier_settings(seen: &ReadResult, proposal: u64) -> Result<Json, CommandError> {
    let (document, _) = seen
        .json(&format!("{HISTORY}{proposal}"))
        .ok_or(CommandError::UnknownProposal(proposal))?;
    Ok(document["settings"].clone())
}

/// Fails if a gatherer cannot read this format of documents. Programs that predate numbered formats
/// read format 1.
fn check_format(seen: &ReadResult) -> Result<(), CommandError> {
    let reads_older = |name: &&str| {
        seen.json(&format!("{GATHERERS}{name}"))
            .is_some_and(|(registration, _)| registration["reads"].as_u64().unwrap_or(1) < FORMAT)
    };
    let older = seen.names(GATHERERS).filter(reads_older);
    let gatherers: Vec<String> = older.map(str::to_owned).collect();
    if gatherers.is_empty() {
        return Ok(());
    }
    Err(CommandError::OldPrograms {
        format: FORMAT,
        gatherers,
    })
}
