//! The operator's commands on versions of the configuration: `bitternsill fleet
//! configure|activate|versions|diff|hold|release|leave-out|take-in`.
//!
//! The doc comments of the arguments are the help texts of the program.

mod activate;
mod configure;
mod error;
mod show;

use super::keys::{EXCLUDED, GATHERERS, ON_HOLD};
use crate::store::client::{ChangeOutcome, Client};
use clap::{Args, Subcommand};
use error::CommandError;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use store::command::Change;

/// Versions of the configuration.
#[derive(Debug, Subcommand)]
pub enum VersionsCall {
    /// Propose settings to the fleet. Each gatherer votes on whether it can use them; nothing
    /// changes yet.
    Configure(Configure),
    /// Switch all gatherers to the proposal at one revision, or none. Names the gatherers that
    /// prevent it.
    Activate(Activate),
    /// Show the active version, the proposal, and the version and vote of each gatherer.
    Versions(StoreArgs),
    /// Show what a proposal, or an earlier version, changes in the active settings.
    Diff(Diff),
    /// Put a gatherer on hold: it accepts no clients, whichever version it runs.
    Hold(Named),
    /// Release a gatherer that is on hold.
    Release(Named),
    /// Exclude a gatherer from activations because it is gone or cannot be reached.
    LeaveOut(Named),
    /// Include an excluded gatherer in activations again.
    TakeIn(Named),
}

/// How to reach the store.
#[derive(Debug, Clone, Args)]
pub struct StoreArgs {
    /// Addresses of store members, which are tried in turn until one responds.
    #[arg(long, value_name = "ADDRESS", num_args = 1.., required = true)]
    pub at: Vec<SocketAddr>,
    /// Milliseconds to wait for the store.
    #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub patience: u64,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

impl StoreArgs {
    /// A client of the store.
    pub fn client(&self) -> Client {
        Client {
            addresses: self.at.clone(),
            timeout: Duration::from_millis(self.patience),
        }
    }
}

/// Arguments of `fleet configure`.
#[derive(Debug, Args)]
pub struct Configure {
    /// Settings in JSON, or a configuration that has them under `settings`.
    #[arg(required_unless_present = "back_to")]
    file: Option<PathBuf>,
    /// Propose again the settings of this formerly active proposal.
    #[arg(long, value_name = "PROPOSAL", conflicts_with = "file")]
    back_to: Option<u64>,
    /// The fraction of gatherers that keep serving without a store, even if their version is
    /// outdated: 0 to 1.
    #[arg(long, default_value_t = 0.5)]
    least: f64,
    #[command(flatten)]
    store: StoreArgs,
}

/// Arguments of `fleet activate`.
#[derive(Debug, Args)]
pub struct Activate {
    /// Milliseconds to wait for gatherers that have not voted yet.
    #[arg(long, default_value_t = 5_000)]
    wait: u64,
    #[command(flatten)]
    store: StoreArgs,
}

/// Arguments of `fleet diff`.
#[derive(Debug, Args)]
pub struct Diff {
    /// An earlier proposal [default: the current proposal].
    #[arg(long, value_name = "PROPOSAL")]
    with: Option<u64>,
    #[command(flatten)]
    store: StoreArgs,
}

/// Arguments of the commands for one gatherer.
#[derive(Debug, Args)]
pub struct Named {
    /// The gatherer's name.
    name: String,
    #[command(flatten)]
    store: StoreArgs,
}

/// Runs a command; returns the text to print, and whether the command succeeded.
pub fn run(call: &VersionsCall) -> (String, bool) {
    let result = match call {
        VersionsCall::Configure(call) => configure::run(call),
        VersionsCall::Activate(call) => activate::run(call),
        VersionsCall::Versions(store) => show::versions(store),
        VersionsCall::Diff(call) => show::diff(call),
        VersionsCall::Hold(named) => set_flag(named, ON_HOLD, true),
        VersionsCall::Release(named) => set_flag(named, ON_HOLD, false),
        VersionsCall::LeaveOut(named) => set_flag(named, EXCLUDED, true),
        VersionsCall::TakeIn(named) => set_flag(named, EXCLUDED, false),
    };
    match result {
        Ok(text) => (text, true),
        Err(error) => (error.to_string(), false),
    }
}

fn put(key: impl Into<String>, value: Option<String>) -> Change {
    Change {
        key: key.into(),
        value,
    }
}

/// Sets or deletes a gatherer's key under a prefix.
fn set_flag(named: &Named, prefix: &str, present: bool) -> Result<String, CommandError> {
    let client = named.store.client();
    let seen = client.read("")?;
    let name = &named.name;
    if !seen.keys.contains_key(&format!("{GATHERERS}{name}")) {
        return Err(CommandError::UnknownGatherer {
            name: name.clone(),
            known: seen.names(GATHERERS).map(str::to_owned).collect(),
        });
    }
    let key = format!("{prefix}{name}");
    let value = present.then(|| "{}".to_owned());
    match client.change(vec![seen.unchanged(&key)], vec![put(key, value)])? {
        ChangeOutcome::Applied(revision) => Ok(format!("done at revision {revision}")),
        ChangeOutcome::Rejected(why) => Err(CommandError::NotDone(why)),
        ChangeOutcome::Unknown => Err(CommandError::Unknown("done")),
    }
}
