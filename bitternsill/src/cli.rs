//! The command line.

use crate::front::catalogue::setup;
use crate::limits::Limits;
use crate::{config, describe, serve};
use lexopt::prelude::*;
use std::ffi::OsString;
use std::fmt;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit status of a call that cannot be understood.
const BAD_USAGE: u8 = 2;

const USAGE: &str = "\
usage: bitternsill COMMAND [OPTIONS]

commands:
  serve [--config FILE]   serve the platform until SIGTERM; FILE is its configuration
                          (default: $ROUTER_CONFIG), read again on SIGHUP
  serve --catalogue FILE  serve SRU and Z39.50 instead, as an operator's file sets it up
  check FILE              say whether an operator's file can be used, and where not
                          (a set-up, or an OpenAPI or AsyncAPI description in JSON)
  describe openapi        print the description of the HTTP surfaces
  describe asyncapi       print the description of the watch and store streams
  version                 print the version
  help                    print this

The log goes to standard error; BITTERNSILL_LOG is error, warn, info (default), debug or trace.
";

#[derive(Clone, Copy)]
enum Description {
    OpenApi,
    AsyncApi,
}

enum Command {
    Serve { config: Option<PathBuf> },
    Catalogue { file: PathBuf },
    Check { file: PathBuf },
    Describe(Description),
    Version,
    Help,
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_iter(args);
    let mut name: Option<String> = None;
    let mut what: Option<OsString> = None;
    let mut config = None;
    let mut catalogue: Option<PathBuf> = None;
    let mut version = false;
    let mut help = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => help = true,
            Short('V') | Long("version") => version = true,
            Long("config") if name.as_deref() == Some("serve") => config = Some(parser.value()?.into()),
            Long("catalogue") if name.as_deref() == Some("serve") => catalogue = Some(parser.value()?.into()),
            Value(word) if name.is_none() => name = Some(word.string()?),
            Value(word) if matches!(name.as_deref(), Some("describe" | "check")) && what.is_none() => {
                what = Some(word);
            }
            other => return Err(other.unexpected()),
        }
    }
    match name.as_deref() {
        _ if help => Ok(Command::Help),
        None if version => Ok(Command::Version),
        Some("serve") if config.is_some() && catalogue.is_some() => {
            Err("`--config` and `--catalogue` do not go together".into())
        }
        Some("serve") => Ok(match catalogue {
            Some(file) => Command::Catalogue { file },
            None => Command::Serve { config },
        }),
        Some("check") => {
            what.map(|file| Command::Check { file: file.into() }).ok_or_else(|| "which file?".into())
        }
        Some("describe") => match what.as_ref().and_then(|w| w.to_str()) {
            Some("openapi") => Ok(Command::Describe(Description::OpenApi)),
            Some("asyncapi") => Ok(Command::Describe(Description::AsyncApi)),
            Some(other) => Err(format!("no description `{other}`").into()),
            None => Err("which description?".into()),
        },
        Some("version") => Ok(Command::Version),
        Some("help") => Ok(Command::Help),
        Some(other) => Err(format!("no command `{other}`").into()),
        None => Err("a command is missing".into()),
    }
}

/// Runs the program.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = match parse(args) {
        Ok(command) => command,
        Err(problem) => {
            eprintln!("bitternsill: {problem}\n\n{USAGE}");
            return ExitCode::from(BAD_USAGE);
        }
    };
    match command {
        Command::Version => print(format_args!("bitternsill {}", env!("CARGO_PKG_VERSION"))),
        Command::Describe(Description::OpenApi) => {
            print(format_args!("{:#}", describe::openapi::describe(&Limits::default())))
        }
        Command::Describe(Description::AsyncApi) => {
            print(format_args!("{:#}", describe::asyncapi::describe()))
        }
        Command::Help => print(format_args!("{}", USAGE.trim_end())),
        Command::Check { file } => {
            let problems = check(&file);
            if !problems.is_empty() {
                for problem in problems {
                    eprintln!("bitternsill: {}: {problem}", file.display());
                }
                return ExitCode::FAILURE;
            }
            print(format_args!("{}: fits", file.display()))
        }
        Command::Serve { config } => {
            start_log();
            served(config::load(config).map_err(Into::into).and_then(serve::platform))
        }
        Command::Catalogue { file } => {
            start_log();
            served(setup::load(&file).map_err(Into::into).and_then(serve::catalogue))
        }
    }
}

/// Prints a line; a reader that has gone, as `head` does, is no failure of ours.
fn print(line: fmt::Arguments<'_>) -> ExitCode {
    match writeln!(io::stdout(), "{line}") {
        Err(problem) if problem.kind() != io::ErrorKind::BrokenPipe => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    }
}

/// What is wrong with an operator's file.
fn check(file: &Path) -> Vec<String> {
    let json = match setup::load_json(file) {
        Ok(json) => json,
        Err(problem) => return vec![problem.to_string()],
    };
    describe::fit::check(&json, &Limits::default())
        .unwrap_or_else(|| setup::read(&json).err().iter().map(ToString::to_string).collect())
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
    let level = std::env::var("BITTERNSILL_LOG").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        // It would say so on standard error too, and panic where that is gone.
        .log_internal_errors(false)
        .init();
}
