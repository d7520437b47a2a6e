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

/// Exit status of a call that cannot be understood.
const BAD_USAGE: u8 = 2;

/// A gatherer: it takes queries from clients, sends one part per slice to the index hosts that hold
/// it, and gives each client one answer before its time is over.
///
/// The log goes to standard error; BITTERNSILL_LOG is error, warn, info (default), debug or trace.
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
        /// Tell the process's own figures as text on this port: GET /metrics.
        #[arg(long, value_name = "PORT")]
        metrics_port: Option<u16>,
        /// Only say whether the settings can be used.
        #[arg(long)]
        check: bool,
    },
    /// Ask a router of a fleet, or look at the files that it keeps.
    #[command(subcommand)]
    System(SystemCommand),
    /// Say whether an operator's file can be used, and where not.
    Check {
        /// A set-up, the platform's configuration, or an OpenAPI or AsyncAPI description in JSON.
        file: PathBuf,
    },
    /// Print a description of the program's surfaces.
    Describe {
        /// Which one.
        what: Description,
    },
    /// Play the conformance suite against a server: exits with 0 if no case fails.
    Conform {
        /// What the server speaks.
        protocol: Protocol,
        /// Where it listens.
        address: SocketAddr,
        /// The database that is searched.
        #[arg(long, default_value = "comics")]
        database: String,
        /// A term that finds at least six records.
        #[arg(long, default_value = "moon")]
        term: String,
        /// Milliseconds that the server may take over one answer.
        #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(1..=600_000))]
        patience: u64,
        /// How results are printed.
        #[arg(long, default_value = "text")]
        format: Format,
    },
    /// Look at a file of what was learned, or change its form.
    #[command(subcommand)]
    Learned(Learned),
    /// Look at the file of a store's member.
    #[command(subcommand)]
    Store(StoreCommand),
    /// Ask a fleet: how far it has come after a start, which versions it runs, who acted on which.
    #[command(subcommand)]
    Fleet(FleetCall),
    /// Call a running gatherer's door, as operators do by hand.
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
    /// What this installation has beside the platform's: an operator's file [default: none].
    #[arg(long, value_name = "FILE", conflicts_with = "catalogue")]
    operator: Option<PathBuf>,
    /// Serve SRU and Z39.50 instead, as this operator's file sets it up.
    #[arg(long, value_name = "FILE")]
    catalogue: Option<PathBuf>,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Description {
    /// The HTTP surfaces.
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

/// Parses the command line; a wrong one, and a request for help, are answered here.
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
                patience: Duration::from_millis(patience),
            };
            conform(protocol, &target, format)
        }
        Command::Serve(Serve {
            catalogue: Some(file),
            ..
        }) => {
            start_log();
            served(
                setup::load(&file)
                    .map_err(Into::into)
                    .and_then(serve::catalogue),
            )
        }
        Command::Serve(Serve {
            config, operator, ..
        }) => {
            start_log();
            served(operator_file(operator).and_then(|beside| {
                let config = config::load(config)?;
                serve::platform(config, beside)
            }))
        }
        Command::Router {
            settings,
            check: true,
            ..
        } => match router::cli::check(settings) {
            Ok(words) => print(format_args!("{words}")),
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
            Ok(words) => print(format_args!("{words}")),
            Err(problem) => failed(&problem),
        },
        Command::Store(call) => match store_file::run(&call) {
            Ok(words) => print(format_args!("{words}")),
            Err(problem) => failed(&problem),
        },
        Command::Fleet(call) => {
            let (words, all) = fleet::run(&call);
            let printed = print(format_args!("{words}"));
            if all { printed } else { ExitCode::FAILURE }
        }
        Command::Admin(call) => match admin::run(call) {
            Ok(words) => print(format_args!("{words}")),
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

/// Plays the conformance cases and prints their report.
fn conform(protocol: Protocol, target: &Target, format: Format) -> ExitCode {
    let judged = conform::play(protocol, target);
    match conform::report(&judged, format, &mut io::stdout()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) if problem.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn report_check(file: &Path) -> ExitCode {
    let problems = check(file);
    if problems.is_empty() {
        return print(format_args!("{}: fits", file.display()));
    }
    for problem in problems {
        eprintln!("bitternsill: {}: {problem}", file.display());
    }
    ExitCode::FAILURE
}

/// Prints a line; a reader that has gone, as `head` does, is no failure of ours.
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

/// What is wrong with an operator's file.
fn check(file: &Path) -> Vec<String> {
    let json = match setup::load_json(file) {
        Ok(json) => json,
        Err(problem) => return vec![problem.to_string()],
    };
    describe::fit::check(&json, &Limits::default()).unwrap_or_else(|| {
        // The platform's configuration names one address; a set-up says for each front where to
        // listen.
        if json["listen"].is_string() {
            let config = config::load(Some(file.to_owned())).map_err(|problem| problem.to_string());
            let read = |c: config::Config| {
                settings::read(&c.settings).map_err(|problem| problem.to_string())
            };
            return config.and_then(read).err().into_iter().collect();
        }
        // A set-up says where to listen; what goes beside the platform's configuration does not.
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

fn served(result: Result<(), serve::ServeError>) -> ExitCode {
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
        // It would say so on standard error too, and panic where that is gone.
        .log_internal_errors(false)
        .init();
}
