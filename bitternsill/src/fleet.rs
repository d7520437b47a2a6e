//! `bitternsill fleet`: commands to a whole fleet of gatherers.

use crate::recovery::cli::{self as phase, Phase};
use crate::versions::audit::{self, Audit};
use crate::versions::cli::{self as versions, VersionsCall};
use clap::Subcommand;

/// Ask a fleet.
#[derive(Debug, Subcommand)]
pub enum FleetCall {
    /// Tell how far each gatherer has come after its start, and what it waits for. Exits with 0 if
    /// all have answered.
    Phase(Phase),
    /// Versions of the configuration.
    #[command(flatten)]
    Versions(VersionsCall),
    /// Collect the gatherers' trails and tell who acted on which version, and what was done that
    /// must not have been. Exits with 0 if nothing was and all is known.
    Audit(Audit),
}

/// What is printed, and whether the command succeeded.
pub fn run(call: &FleetCall) -> (String, bool) {
    match call {
        FleetCall::Phase(call) => phase::run(call),
        FleetCall::Versions(call) => versions::run(call),
        FleetCall::Audit(call) => audit::run(call),
    }
}
