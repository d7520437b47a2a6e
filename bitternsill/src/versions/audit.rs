//! `bitternsill fleet audit`: fetches the audit logs of all gatherers, audits them with the package
//! `versions`, and prints the result.

mod page;
mod report;

use super::cli::StoreArgs;
use super::collect::CollectedLogs;
use super::keys::{AUDIT_LOGS, EVER_ACTIVE, GATHERERS};
use crate::store::client::ReadResult;
use clap::Args;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::Duration;
use versions::Version;
use versions::audit::{LogDigest, Report, audit_gatherer};

/// Audit the gatherers' logs.
#[derive(Debug, Args)]
pub struct Audit {
    #[command(flatten)]
    store: StoreArgs,
    /// Also write the result as an HTML page, with a timeline for each gatherer.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Store fetched logs in this folder, and fetch only what is missing there: a log that was
    /// fetched once survives the loss of its gatherer's disk.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

/// The result of the audit of a fleet.
struct FleetReport {
    /// The revision of the store.
    revision: u64,
    /// Every version that was ever active, with its proposal.
    versions: BTreeMap<Version, String>,
    /// The result for each gatherer.
    reports: BTreeMap<String, Report>,
}

/// Returns the text to print, and whether there is no violation and nothing is unknown.
pub fn run(call: &Audit) -> (String, bool) {
    let seen = match call.store.client().read("") {
        Ok(seen) => seen,
        Err(problem) => return (problem.to_string(), false),
    };
    let (fleet, problems) = audit(call, &seen);
    let is_clean = fleet
        .reports
        .values()
        .flat_map(|report| &report.findings)
        .all(|finding| finding.is_violation() == Some(false));
    let mut text = if call.store.json {
        report::to_json(&fleet)
    } else {
        report::to_text(&fleet)
    };
    for problem in problems.iter().filter(|_| !call.store.json) {
        let _ = write!(text, "\nnot fetched: {problem}");
    }
    if let Some(path) = &call.html {
        let written = page::render(&fleet)
            .map_err(|problem| problem.to_string())
            .and_then(|page| {
                std::fs::write(path, page)
                    .map_err(|problem| format!("{}: {problem}", path.display()))
            });
        if let Err(problem) = written {
            let _ = write!(text, "\n{problem}");
            return (text, false);
        }
    }
    (text, is_clean)
}

/// Every version that the store ever made active, with its proposal.
fn versions(seen: &ReadResult) -> BTreeMap<Version, String> {
    seen.names(EVER_ACTIVE)
        .filter_map(|proposal| {
            let (_, version) = seen.keys.get(&format!("{EVER_ACTIVE}{proposal}"))?;
            Some((*version, proposal.to_owned()))
        })
        .collect()
}

/// Audits each gatherer that is registered in the store. Also returns why logs could not be
/// fetched.
fn audit(call: &Audit, seen: &ReadResult) -> (FleetReport, Vec<String>) {
    let (logs, problems) = collect(call);
    let versions = versions(seen);
    let active: BTreeSet<Version> = versions.keys().copied().collect();
    let report = |name: &str| {
        let (logs, fetched) = logs.of(name);
        audit_gatherer(&logs, fetched, &digests(seen, name), &active)
    };
    let reports = seen
        .names(GATHERERS)
        .map(|name| (name.to_owned(), report(name)))
        .collect();
    let fleet = FleetReport {
        revision: seen.revision,
        versions,
        reports,
    };
    (fleet, problems)
}

/// The stored logs and those that can be fetched, and why others could not be.
fn collect(call: &Audit) -> (CollectedLogs, Vec<String>) {
    let folder = call.keep.as_deref();
    let timeout = Duration::from_millis(call.store.patience);
    let mut problems = Vec::new();
    let mut logs = CollectedLogs::default();
    match folder.map(CollectedLogs::load) {
        Some(Ok(stored)) => logs = stored,
        Some(Err(problem)) => problems.push(format!("cannot read the stored logs: {problem}")),
        None => {}
    }
    for address in &call.store.at {
        // For a gatherer that cannot be reached, the stored logs are audited.
        if let Err(problem) = logs.fetch(*address, folder, timeout) {
            problems.push(format!("{address}: {problem}"));
        }
    }
    (logs, problems)
}

/// The digests of a gatherer's logs in the store, by the number of the log.
fn digests(seen: &ReadResult, name: &str) -> BTreeMap<u64, LogDigest> {
    let prefix = format!("{AUDIT_LOGS}{name}/");
    let digest = |log: &str| {
        let (digest, _) = seen.json(&format!("{prefix}{log}"))?;
        Some(LogDigest {
            segment: digest["segment"].as_u64()?,
            length: digest["length"].as_u64()?,
            hash: digest["hash"].as_str()?.to_owned(),
        })
    };
    seen.names(&prefix)
        .filter_map(|log| Some((log.parse().ok()?, digest(log)?)))
        .collect()
}

#[cfg(test)]
mod tests;
