//! Implementation of the commands that operators run on the command line.

use crate::disk;
use crate::serve::{self, ServeError};
use crate::settings::{PATH_VARIABLE, Settings, SettingsError};
use clap::{Args, Subcommand};
use logforth::append;
use logforth::record::{Level, LevelFilter};
use serde_json::Value as Json;
use std::fmt::Write as _;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Time limit of a request to a router.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Queries to a router and to data directories.
#[derive(Debug, Subcommand)]
pub enum SystemCommand {
    /// Show the configuration, primary and weights that a router knows.
    Status(RouterArgs),
    /// List the members of the fleet that a router knows.
    Members(RouterArgs),
    /// List the backends that a router knows.
    Backends(RouterArgs),
    /// Show the messages and bytes between a router and the others, by message kind.
    Traffic(RouterArgs),
    /// Print the configuration in force, read from the primary.
    Configuration(RouterArgs),
    /// Inspect a data directory; a router may be running on it.
    #[command(subcommand)]
    Storage(StorageCommand),
}

/// Arguments of commands that query a router.
#[derive(Debug, Args)]
pub struct RouterArgs {
    /// The control address of a router.
    #[arg(long, value_name = "ADDRESS")]
    at: SocketAddrV4,
    /// Print JSON instead of text.
    #[arg(long)]
    json: bool,
}

/// Queries to a data directory.
#[derive(Debug, Subcommand)]
pub enum StorageCommand {
    /// Check the records, and report where they are corrupt.
    Verify {
        /// The data directory.
        folder: PathBuf,
    },
    /// Print the contents of the records.
    Show {
        /// The data directory.
        folder: PathBuf,
    },
}

/// Why a query failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The router does not respond.
    #[error("{at} does not respond: {error}; check the address, or query another router")]
    Unreachable {
        /// The router.
        at: SocketAddrV4,
        /// The cause.
        error: reqwest::Error,
    },
    /// The router responded with an error.
    #[error("{at} responded with status {status}: {text}")]
    Refused {
        /// The router.
        at: SocketAddrV4,
        /// Status code of the response.
        status: u16,
        /// Body of the response.
        text: String,
    },
    /// The data directory can't be used.
    #[error(transparent)]
    Disk(#[from] disk::DiskError),
    /// The data directory holds no records.
    #[error(
        "{0} holds no records: check that it is the data directory of a router that counts for the quorum"
    )]
    Empty(PathBuf),
    /// A system resource is unavailable.
    #[error("{0}; check the limits of the process")]
    System(#[from] std::io::Error),
}

/// Runs a query and returns its output.
pub fn execute(command: &SystemCommand) -> Result<String, CommandError> {
    match command {
        SystemCommand::Status(args) => status(args),
        SystemCommand::Members(args) => table(
            args,
            "members",
            &["name", "zone", "status", "incarnation", "replica"],
        ),
        SystemCommand::Backends(args) => table(
            args,
            "backends",
            &["id", "service", "address", "zone", "phase", "silent"],
        ),
        SystemCommand::Traffic(args) => table(
            args,
            "traffic",
            &[
                "about",
                "messagesSent",
                "bytesSent",
                "messagesReceived",
                "bytesReceived",
            ],
        ),
        SystemCommand::Configuration(args) => get(args.at, "/v1/configuration/read"),
        SystemCommand::Storage(StorageCommand::Verify { folder }) => verify(folder),
        SystemCommand::Storage(StorageCommand::Show { folder }) => show(folder),
    }
}

fn get(at: SocketAddrV4, path: &str) -> Result<String, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let unreachable = |error| CommandError::Unreachable { at, error };
    runtime.block_on(async {
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .map_err(unreachable)?;
        let response = client
            .get(format!("http://{at}{path}"))
            .send()
            .await
            .map_err(unreachable)?;
        let status = response.status().as_u16();
        let text = response.text().await.map_err(unreachable)?;
        if status == 200 {
            Ok(text)
        } else {
            Err(CommandError::Refused { at, status, text })
        }
    })
}

fn report(args: &RouterArgs) -> Result<Json, CommandError> {
    let text = get(args.at, "/v1/status")?;
    Ok(serde_json::from_str(&text).unwrap_or(Json::Null))
}

fn status(args: &RouterArgs) -> Result<String, CommandError> {
    let report = report(args)?;
    if args.json {
        return Ok(report.to_string());
    }
    let mut text = String::new();
    for field in [
        "node",
        "configuration",
        "change",
        "primary",
        "replica",
        "weights",
    ] {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{field}: {}", plain(&report[field]));
    }
    Ok(text.trim_end().to_owned())
}

fn table(args: &RouterArgs, key: &str, columns: &[&str]) -> Result<String, CommandError> {
    let report = report(args)?;
    if args.json {
        return Ok(report[key].to_string());
    }
    let mut text = columns.join("\t");
    for row in report[key].as_array().into_iter().flatten() {
        let cells: Vec<String> = columns.iter().map(|column| plain(&row[column])).collect();
        // Writing to a string does not fail.
        let _ = write!(text, "\n{}", cells.join("\t"));
    }
    Ok(text)
}

fn plain(value: &Json) -> String {
    match value {
        Json::String(text) => text.clone(),
        Json::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn verify(folder: &Path) -> Result<String, CommandError> {
    let recovered = disk::read(folder)?.ok_or_else(|| CommandError::Empty(folder.to_owned()))?;
    Ok(format!(
        "{} is valid: disk {:016x}, change {}",
        folder.display(),
        recovered.disk,
        recovered.state.position.index
    ))
}

fn show(folder: &Path) -> Result<String, CommandError> {
    let recovered = disk::read(folder)?.ok_or_else(|| CommandError::Empty(folder.to_owned()))?;
    let mut text = format!("disk: {:016x}\n", recovered.disk);
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "change: {} of epoch {}",
        recovered.state.position.index, recovered.state.position.epoch
    );
    let _ = writeln!(
        text,
        "stored and not known to be committed: {}",
        recovered.tail.is_some()
    );
    let _ = writeln!(text, "configuration: version {}", recovered.state.version());
    let history: Vec<String> = recovered
        .state
        .history()
        .map(|version| version.to_string())
        .collect();
    let _ = writeln!(text, "accepted versions: {}", history.join(" "));
    for (model, target) in &recovered.state.weights {
        let _ = writeln!(text, "weights of {model}: version {}", target.version);
    }
    if let Some(view) = &recovered.votes.decided {
        let names = |replicas: &std::collections::BTreeSet<control::view::ReplicaId>| {
            replicas
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join(" ")
        };
        let _ = writeln!(text, "epoch: {}, primary {}", view.epoch, view.primary);
        let _ = writeln!(text, "in sync: {}", names(&view.in_sync));
        let _ = writeln!(text, "witnesses: {}", names(&view.witnesses));
    }
    Ok(text.trim_end().to_owned())
}

/// Path of the settings file: the given one, or that in the environment variable.
fn settings_path(given: Option<PathBuf>) -> Result<PathBuf, SettingsError> {
    given
        .or_else(|| std::env::var_os(PATH_VARIABLE).map(PathBuf::from))
        .ok_or(SettingsError::NoPath)
}

/// Runs a router until it is terminated. It serves the metrics page if a metrics port is given.
pub fn run(settings: Option<PathBuf>, metrics_port: Option<u16>) -> Result<(), ServeError> {
    let level = match std::env::var("BITTERNSILL_LOG").as_deref() {
        Ok("debug") => Level::Debug,
        Ok("warn") => Level::Warn,
        Ok("error") => Level::Error,
        _ => Level::Info,
    };
    let filter = LevelFilter::MoreSevereEqual(level);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append::Stderr::default()))
        .apply();
    serve::run(&settings_path(settings)?, metrics_port)
}

/// Checks a settings file.
pub fn check(settings: Option<PathBuf>) -> Result<String, SettingsError> {
    let path = settings_path(settings)?;
    let settings = Settings::read(&path)?;
    Ok(format!(
        "{} is valid: node {} in zone {}",
        path.display(),
        settings.node_name,
        settings.zone
    ))
}
