//! The command line.

use crate::admin::cli::{self as admin, Admin};
use crate::conform::{self, Format, Protocol, Target};
use crate::core::{schema, settings};
use crate::fleet::{self, FleetCall};
use crate::front::catalogue::setup::{self, OperatorSetup};
use crate::learned::cli::{self as learned, Learned};
use crate::limits::Limits;
use crate::store::cli::{self as store_file, StoreCommand};
use crate::{config, describe, serve};
use ::router::cli::SystemCommand;
use clap::{Args, Parser, Subcommand, ValueEnum};
use serde_json::Value as Json;
use std::ffi::OsString;
use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Exit status for an invalid command line.
const BAD_USAGE: u8 = 2;

/// A gatherer: accepts queries from clients, sends one part per slice to the index hosts that hold
/// it, and returns one answer to each client within its time budget.
///
/// Logs go to standard error; BITTERNSILL_LOG sets the level: error, warn, info (default), debug or
/// trace.
#[derive(Debug, Parser)]
#[command(
    name = "bitternsill",
    version,
    disable_help_subcommand = false,
    arg_required_else_help = false
)]
struct Call {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until SIGTERM.
    Serve(Serve),
    /// Run a router of a fleet until SIGTERM.
    Router {
        /// The settings of the process [default: $BITTERNSILL_SETTINGS].
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
        /// Serve the process's metrics as text on this port: GET /metrics.
        #[arg(long, value_name = "PORT")]
        metrics_port: Option<u16>,
        /// Only check whether the settings can be used.
        #[arg(long)]
        check: bool,
    },
    /// Query a router of a fleet, or inspect the files that it stores.
    #[command(subcommand)]
    System(SystemCommand),
    /// Check an operator's file, and print where it is invalid.
    Check {
        /// An operator's file, the platform's configuration, or an OpenAPI or AsyncAPI description
        /// in JSON.
        file: PathBuf,
    },
    /// Print a description of the program's interfaces.
    Describe {
        /// The description to print.
        what: Description,
    },
    /// Run the conformance suite against a server; exits with 0 if no case fails.
    Conform {
        /// The server's protocol.
        protocol: Protocol,
        /// The server's address.
        address: SocketAddr,
        /// The database to search.
        #[arg(long, default_value = "comics")]
        database: String,
        /// A search term that matches at least six records.
        #[arg(long, default_value = "moon")]
        term: String,
        /// Milliseconds to wait for each response.
        #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(1..=600_000))]
        patience: u64,
        /// The output format.
        #[arg(long, default_value = "text")]
        format: Format,
    },
    /// Inspect, compare or convert snapshots of the statistics that a gatherer retains.
    #[command(subcommand)]
    Learned(Learned),
    /// Inspect the file of a store member, or recover a store from it.
    #[command(subcommand)]
    Store(StoreCommand),
    /// Query and control a fleet: recovery phases, versions of the configuration, and their audit.
    #[command(subcommand)]
    Fleet(FleetCall),
    /// Call the operators' API of a running gatherer.
    #[command(subcommand)]
    Admin(Admin),
    /// Print the version.
    Version,
}

#[derive(Debug, Args)]
struct Serve {
    /// The platform's configuration, read again on SIGHUP [default: $ROUTER_CONFIG].
    #[arg(long, value_name = "FILE", conflicts_with = "catalogue")]
    config: Option<PathBuf>,
    /// An operator's file, with the settings of this installation beside the platform's
    /// configuration [default: none].
    #[arg(long, value_name = "FILE", conflicts_with = "catalogue")]
    operator: Option<PathBuf>,
    /// Serve SRU and Z39.50 instead, as configured in this operator's file.
    #[arg(long, value_name = "FILE")]
    catalogue: Option<PathBuf>,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Description {
    /// The HTTP interfaces.
    #[value(name = "openapi")]
    OpenApi,
    /// The watch and store streams.
    #[value(name = "asyncapi")]
    AsyncApi,
    /// The settings of a configuration and of a version, as a JSON schema.
    Settings,
}

fn failed(problem: &dyn fmt::Display) -> ExitCode {
    eprintln!("bitternsill: {problem}");
    ExitCode::FAILURE
}

/// Runs the program.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match parse(args) {
        Ok(call) => execute(call.command),
        Err(status) => status,
    }
}

/// Parses the command line. An invalid one and a request for help are handled here.
fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Call, ExitCode> {
    match Call::try_parse_from(args) {
        Ok(call) => Ok(call),
        Err(problem) if problem.use_stderr() => {
            let text = problem.to_string();
            let text = text.strip_prefix("error: ").unwrap_or(&text);
            eprintln!("bitternsill: {}", text.trim_end());
            Err(ExitCode::from(BAD_USAGE))
        }
        Err(help) => Err(print(format_args!("{}", help.to_string().trim_end()))),
    }
}

fn execute(command: Command) -> ExitCode {
    match command {
        Command::Version => print(format_args!("bitternsill {}", env!("CARGO_PKG_VERSION"))),
        Command::Describe { what } => print(format_args!("{:#}", description(&what))),
        Command::Check { file } => report_check(&file),
        Command::Conform {
            protocol,
            address,
            database,
            term,
            patience,
            format,
        } => {
            let target = Target {
                address,
                database,
                term,
                timeout: Duration::from_millis(patience),
            };
            conform(protocol, &target, format)
        }
        Command::Serve(Serve {
            catalogue: Some(file),
            ..
        }) => {
            start_log();
            exit_status(
                setup::load(&file)
                    .map_err(Into::into)
                    .and_then(serve::catalogue),
            )
        }
        Command::Serve(Serve {
            config, operator, ..
        }) => {
            start_log();
            exit_status(operator_file(operator).and_then(|beside| {
                let config = config::load(config)?;
                serve::platform(config, beside)
            }))
        }
        Command::Router {
            settings,
            check: true,
            ..
        } => match router::cli::check(settings) {
            Ok(text) => print(format_args!("{text}")),
            Err(problem) => failed(&problem),
        },
        Command::Router {
            settings,
            metrics_port,
            check: false,
        } => match router::cli::run(settings, metrics_port) {
            Ok(()) => ExitCode::SUCCESS,
            Err(problem) => failed(&problem),
        },
        Command::System(call) => match router::cli::execute(&call) {
            Ok(text) => print(format_args!("{text}")),
            Err(problem) => failed(&problem),
        },
        Command::Store(call) => match store_file::run(&call) {
            Ok(text) => print(format_args!("{text}")),
            Err(problem) => failed(&problem),
        },
        Command::Fleet(call) => {
            let (text, succeeded) = fleet::run(&call);
            let printed = print(format_args!("{text}"));
            if succeeded {
                printed
            } else {
                ExitCode::FAILURE
            }
        }
        Command::Admin(call) => match admin::run(call) {
            Ok(text) => print(format_args!("{text}")),
            Err(problem) => failed(&problem),
        },
        Command::Learned(call) => learned::run(call, |text| print(format_args!("{text}"))),
    }
}

fn description(what: &Description) -> Json {
    match what {
        Description::OpenApi => describe::openapi::describe(&Limits::default()),
        Description::AsyncApi => describe::asyncapi::describe(),
        Description::Settings => schema::settings(),
    }
}

/// Runs the conformance cases and prints their report.
fn conform(protocol: Protocol, target: &Target, format: Format) -> ExitCode {
    let results = conform::run(protocol, target);
    match conform::report(&results, format, &mut io::stdout()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) if problem.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn report_check(file: &Path) -> ExitCode {
    let problems = check(file);
    if problems.is_empty() {
        return print(format_args!("{}: valid", file.display()));
    }
    for problem in problems {
        eprintln!("bitternsill: {}: {problem}", file.display());
    }
    ExitCode::FAILURE
}

/// Prints a line. A closed pipe, as with `head`, does not count as a failure.
fn print(line: fmt::Arguments<'_>) -> ExitCode {
    match writeln!(io::stdout(), "{line}") {
        Err(problem) if problem.kind() != io::ErrorKind::BrokenPipe => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    }
}

fn operator_file(path: Option<PathBuf>) -> Result<OperatorSetup, serve::ServeError> {
    let Some(path) = path else {
        return Ok(OperatorSetup::default());
    };
    Ok(setup::read_operator(&setup::load_json(&path)?)?)
}

/// The problems of an operator's file.
fn check(file: &Path) -> Vec<String> {
    let json = match setup::load_json(file) {
        Ok(json) => json,
        Err(problem) => return vec![problem.to_string()],
    };
    describe::fit::check(&json, &Limits::default()).unwrap_or_else(|| {
        // In the platform's configuration `listen` is one address; in a set-up it is an object with
        // an address for each front.
        if json["listen"].is_string() {
            let config = config::load(Some(file.to_owned())).map_err(|problem| problem.to_string());
            let read = |c: config::Config| {
                settings::read(&c.settings).map_err(|problem| problem.to_string())
            };
            return config.and_then(read).err().into_iter().collect();
        }
        // A set-up has `listen`; a file that goes beside the platform's configuration does not.
        let problem = match json.get("listen") {
            None if ["learning", "recovery", "store", "versions"]
                .iter()
                .any(|key| json.get(key).is_some()) =>
            {
                setup::read_operator(&json).err()
            }
            _ => setup::read(&json).err(),
        };
        problem.iter().map(ToString::to_string).collect()
    })
}

fn exit_status(result: Result<(), serve::ServeError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            tracing::error!(%problem, "cannot serve");
            ExitCode::FAILURE
        }
    }
}

fn start_log() {
    let level = std::env::var("BITTERNSILL_LOG")
        .ok()
        .and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        // Internal errors would go to standard error too, and panic if that is closed.
        .log_internal_errors(false)
        .init();
}
