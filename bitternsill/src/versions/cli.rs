//! `bitternsill fleet configure|activate|versions|diff|hold|release|leave-out|take-in`: versions by
//! an operator's hand.

use super::activation::{self, Blocked, fleet};
use super::{ACTIVE, FORMAT, GATHERERS, HELD, NEXT, OUT, PAST};
use crate::core::settings;
use crate::store::client::{ChangeOutcome, Client};
use clap::{Args, Subcommand};
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use store::command::Change;
use versions::rollout::{Member, Missing};

/// Versions of the configuration.
#[derive(Debug, Subcommand)]
pub enum VersionsCall {
    /// Propose settings to the fleet: each gatherer says whether it can use them. Nothing changes
    /// yet.
    Configure(Configure),
    /// Have all gatherers switch to what is proposed, at one revision, or none: whoever is in the
    /// way is named.
    Activate(Activate),
    /// Tell what is active and proposed, and what each gatherer runs and says.
    Versions(Where),
    /// Tell what a proposal, or an earlier version, changes against what is active.
    Diff(Diff),
    /// Hold a gatherer back: it takes no clients, whatever it runs.
    Hold(Named),
    /// Release one that is held back.
    Release(Named),
    /// Leave a gatherer out of activations, as it is gone or cannot be reached.
    LeaveOut(Named),
    /// Wait for it again.
    TakeIn(Named),
}

/// Where the store's members are.
#[derive(Debug, Clone, Args)]
pub struct Where {
    /// Addresses of members of the store; one after the other is asked until one answers.
    #[arg(long, value_name = "ADDRESS", num_args = 1.., required = true)]
    pub at: Vec<SocketAddr>,
    /// Milliseconds to wait for the store.
    #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub patience: u64,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

impl Where {
    /// The store there.
    pub fn client(&self) -> Client {
        Client {
            addresses: self.at.clone(),
            timeout: Duration::from_millis(self.patience),
        }
    }
}

/// A proposal.
#[derive(Debug, Args)]
pub struct Configure {
    /// Settings in JSON, or a configuration that has them under `settings`.
    #[arg(required_unless_present = "back_to")]
    file: Option<PathBuf>,
    /// Propose again what was active as this proposal.
    #[arg(long, value_name = "PROPOSAL", conflicts_with = "file")]
    back_to: Option<u64>,
    /// The share of gatherers that stays in service without a store, whatever it costs in tidiness:
    /// 0 to 1.
    #[arg(long, default_value_t = 0.5)]
    least: f64,
    #[command(flatten)]
    place: Where,
}

/// An activation.
#[derive(Debug, Args)]
pub struct Activate {
    /// Milliseconds to wait for gatherers that have not had their say yet.
    #[arg(long, default_value_t = 5_000)]
    wait: u64,
    #[command(flatten)]
    place: Where,
}

/// A comparison.
#[derive(Debug, Args)]
pub struct Diff {
    /// An earlier proposal; the present one where none is named.
    #[arg(long, value_name = "PROPOSAL")]
    with: Option<u64>,
    #[command(flatten)]
    place: Where,
}

/// One gatherer.
#[derive(Debug, Args)]
pub struct Named {
    /// Its name.
    name: String,
    #[command(flatten)]
    place: Where,
}

/// What is printed, and whether what was asked was done.
pub fn run(call: &VersionsCall) -> (String, bool) {
    let done = match call {
        VersionsCall::Configure(call) => configure(call),
        VersionsCall::Activate(call) => activate(call),
        VersionsCall::Versions(place) => tell(place),
        VersionsCall::Diff(call) => diff(call),
        VersionsCall::Hold(named) => mark(named, HELD, true),
        VersionsCall::Release(named) => mark(named, HELD, false),
        VersionsCall::LeaveOut(named) => mark(named, OUT, true),
        VersionsCall::TakeIn(named) => mark(named, OUT, false),
    };
    match done {
        Ok(text) => (text, true),
        Err(text) => (text, false),
    }
}

fn set(key: impl Into<String>, value: Option<String>) -> Change {
    Change {
        key: key.into(),
        value,
    }
}

fn configure(call: &Configure) -> Result<String, String> {
    if !(0.0..=1.0).contains(&call.least) {
        return Err(format!(
            "--least is a share from 0 to 1, not {}",
            call.least
        ));
    }
    let client = call.place.client();
    let seen = client.read("")?;
    let settings = match (&call.file, call.back_to) {
        (Some(file), _) => {
            let text =
                std::fs::read(file).map_err(|problem| format!("{}: {problem}", file.display()))?;
            let json: Json = serde_json::from_slice(&text)
                .map_err(|problem| format!("{}: {problem}", file.display()))?;
            let settings = if json["settings"].is_object() {
                json["settings"].clone()
            } else {
                json
            };
            settings::read(&settings)
                .map_err(|problem| format!("{}: {problem}", file.display()))?;
            settings
        }
        (None, Some(proposal)) => {
            let past = seen.json(&format!("{PAST}{proposal}"));
            let (past, _) =
                past.ok_or_else(|| format!("proposal {proposal} was not active of late"))?;
            past["settings"].clone()
        }
        (None, None) => return Err("a file, or --back-to".to_owned()),
    };
    // What some could not read is not even proposed; those of before the first format number read
    // that one.
    let older: Vec<&str> = seen
        .names(GATHERERS)
        .filter(|name| {
            seen.json(&format!("{GATHERERS}{name}"))
                .is_some_and(|(own, _)| own["reads"].as_u64().unwrap_or(1) < FORMAT)
        })
        .collect();
    if !older.is_empty() {
        return Err(format!(
            "not proposed: format {FORMAT} is not read by {}",
            older.join(", ")
        ));
    }
    let document = json!({"format": FORMAT, "settings": settings, "least": call.least});
    // Another proposal that came meanwhile is not replaced unseen.
    let checks = vec![seen.unchanged(NEXT), seen.unchanged(ACTIVE)];
    match client.change(checks, vec![set(NEXT, Some(document.to_string()))])? {
        ChangeOutcome::Applied(proposal) => Ok(if call.place.json {
            json!({"proposal": proposal}).to_string()
        } else {
            format!(
                "proposed as {proposal}; `fleet activate` has all switch once each has said that it can"
            )
        }),
        ChangeOutcome::Rejected(why) => Err(format!("not proposed: {why}")),
        ChangeOutcome::Unknown => {
            Err("not known whether it was proposed: look with `fleet versions`".to_owned())
        }
    }
}

fn activate(call: &Activate) -> Result<String, String> {
    let client = call.place.client();
    let begun = Instant::now();
    let mut left_out = BTreeMap::new();
    loop {
        let now = begun.elapsed().as_nanos() as u64;
        let seen = client.read("")?;
        activation::note_left_out(&seen, &mut left_out, now);
        let wait = Duration::from_millis(call.wait);
        let plan = match activation::plan(&seen, &left_out, now) {
            Ok(plan) => plan,
            Err(Blocked::Nothing(why)) => return Err(why),
            Err(Blocked::InTheWay { missing, longest }) => {
                let only_time = missing
                    .values()
                    .all(|why| matches!(why, Missing::LeftOutTooLately(_)));
                let longest = if only_time {
                    Duration::from_nanos(longest)
                } else {
                    Duration::ZERO
                };
                // Where it cannot be done, all who are in the way are named: whoever may yet have a
                // say is waited for.
                let never = missing
                    .values()
                    .any(|why| matches!(why, Missing::Cannot(_) | Missing::Keeper));
                let silent = missing.values().any(|why| *why == Missing::Silent);
                if begun.elapsed() > wait + longest || never && !silent {
                    let names = missing
                        .iter()
                        .map(|(name, why)| format!("\n  {name} {why}"));
                    return Err(format!(
                        "not activated; in the way are:{}",
                        names.collect::<String>()
                    ));
                }
                thread::sleep(Duration::from_millis(50));
                continue;
            }
        };
        let (proposal, with, keepers) = (plan.proposal, plan.with, plan.keepers);
        match client.change(plan.checks, plan.sets)? {
            ChangeOutcome::Applied(version) if call.place.json => {
                return Ok(
                    json!({"version": version, "proposal": proposal, "keepers": keepers})
                        .to_string(),
                );
            }
            ChangeOutcome::Applied(version) => {
                let keepers = keepers.join(", ");
                return Ok(format!(
                    "version {version} is active for {with} gatherers; without a store go on: {keepers}"
                ));
            }
            // Somebody had another word, or started anew, since it was read: it is read again.
            ChangeOutcome::Rejected(_) if begun.elapsed() <= wait => {}
            ChangeOutcome::Rejected(why) => {
                return Err(format!(
                    "not activated, something has changed meanwhile: {why}"
                ));
            }
            ChangeOutcome::Unknown => {
                return Err(
                    "not known whether it was activated: look with `fleet versions`".to_owned(),
                );
            }
        }
    }
}

fn mark(named: &Named, prefix: &str, put: bool) -> Result<String, String> {
    let client = named.place.client();
    let seen = client.read("")?;
    let name = &named.name;
    if !seen.keys.contains_key(&format!("{GATHERERS}{name}")) {
        let known: Vec<&str> = seen.names(GATHERERS).collect();
        return Err(format!(
            "no gatherer is called {name}; known are {}",
            known.join(", ")
        ));
    }
    let key = format!("{prefix}{name}");
    let word = if put { Some("{}".to_owned()) } else { None };
    match client.change(vec![seen.unchanged(&key)], vec![set(key, word)])? {
        ChangeOutcome::Applied(revision) => Ok(format!("done at revision {revision}")),
        ChangeOutcome::Rejected(why) => Err(format!("not done: {why}")),
        ChangeOutcome::Unknown => {
            Err("not known whether it was done: look with `fleet versions`".to_owned())
        }
    }
}

fn tell(place: &Where) -> Result<String, String> {
    let seen = place.client().read("")?;
    let active = seen.json(ACTIVE);
    let next = seen.json(NEXT);
    let fleet = fleet(
        &seen,
        &seen.names(OUT).map(|name| (name.to_owned(), 0)).collect(),
    );
    let held: BTreeSet<&str> = seen.names(HELD).collect();
    if place.json {
        let line = |(name, member): (&String, &Member)| {
            let word = member
                .word
                .as_ref()
                .map(|(to, cannot)| json!({"to": to, "cannot": cannot}));
            json!({"name": name, "runs": member.runs, "word": word, "held": held.contains(name.as_str()),
                   "left_out": member.left_out.is_some()})
        };
        let gatherers: Vec<Json> = fleet.iter().map(line).collect();
        let version = active.as_ref().map(|(_, version)| *version);
        let keepers = active.as_ref().map(|(active, _)| active["keepers"].clone());
        return Ok(
            json!({"revision": seen.revision, "version": version, "keepers": keepers,
                         "proposal": next.map(|(_, proposal)| proposal), "gatherers": gatherers})
            .to_string(),
        );
    }
    let mut text = match &active {
        Some((active, version)) => format!(
            "version {version} is active (proposal {})",
            active["proposal"]
        ),
        None => "no version is active: each gatherer goes by its own file".to_owned(),
    };
    if let Some((_, proposal)) = &next {
        let _ = write!(text, "; proposal {proposal} is the last one");
    }
    for (name, member) in &fleet {
        let _ = write!(text, "\n{name}: runs {}", member.runs);
        match &member.word {
            Some((to, None)) => drop(write!(text, ", can use {to}")),
            Some((to, Some(why))) => drop(write!(text, ", cannot use {to}: {why}")),
            None => text.push_str(", has said nothing"),
        }
        text.push_str(if held.contains(name.as_str()) {
            ", held back"
        } else {
            ""
        });
        text.push_str(if member.left_out.is_some() {
            ", left out"
        } else {
            ""
        });
    }
    Ok(text)
}

fn diff(call: &Diff) -> Result<String, String> {
    let seen = call.place.client().read("config/")?;
    let active = seen
        .json(ACTIVE)
        .map_or(Json::Null, |(active, _)| active["settings"].clone());
    let other = match call.with {
        Some(proposal) => seen
            .json(&format!("{PAST}{proposal}"))
            .ok_or("that proposal was not active of late")?,
        None => seen.json(NEXT).ok_or("nothing is proposed")?,
    };
    let mut lines = Vec::new();
    compare(&active, &other.0["settings"], "settings", &mut lines);
    Ok(if lines.is_empty() {
        "no difference".to_owned()
    } else {
        lines.join("\n")
    })
}

/// Every place at which two documents differ, with what stands there.
fn compare(one: &Json, other: &Json, path: &str, lines: &mut Vec<String>) {
    match (one, other) {
        (Json::Object(one), Json::Object(other)) => {
            let keys: BTreeSet<&String> = one.keys().chain(other.keys()).collect();
            for key in keys {
                let (a, b) = (
                    one.get(key).unwrap_or(&Json::Null),
                    other.get(key).unwrap_or(&Json::Null),
                );
                compare(a, b, &format!("{path}.{key}"), lines);
            }
        }
        (Json::Array(one), Json::Array(other)) if one.len() == other.len() => {
            for (at, (a, b)) in one.iter().zip(other).enumerate() {
                compare(a, b, &format!("{path}[{at}]"), lines);
            }
        }
        _ if one != other => lines.push(format!("{path}: {one} becomes {other}")),
        _ => {}
    }
}
