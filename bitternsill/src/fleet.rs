//! `bitternsill fleet`: commands for a whole fleet of gatherers.

use crate::recovery::cli::{self as phase, Phase};
use crate::versions::audit::{self, Audit};
use crate::versions::cli::{self as versions, VersionsCall};
use clap::Subcommand;

/// Query and control a fleet.
#[derive(Debug, Subcommand)]
pub enum FleetCall {
    /// Show the recovery phase of each gatherer and what it waits for. Exits with 0 if all have
    /// responded.
    Phase(Phase),
    /// Versions of the configuration.
    #[command(flatten)]
    Versions(VersionsCall),
    /// Collect the gatherers' audit logs, and show which gatherer served under which version, and
    /// any violation. Exits with 0 if there is no violation and nothing is unknown.
    Audit(Audit),
}

/// Runs a command; returns the text to print, and whether the command succeeded.
pub fn run(call: &FleetCall) -> (String, bool) {
    match call {
        FleetCall::Phase(call) => phase::run(call),
        FleetCall::Versions(call) => versions::run(call),
        FleetCall::Audit(call) => audit::run(call),
    }
}
