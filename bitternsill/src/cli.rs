//! The command line.

use crate::limits::Limits;
use crate::{config, describe, serve};
use lexopt::prelude::*;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status of a call that cannot be understood.
const BAD_USAGE: u8 = 2;

const USAGE: &str = "\
usage: bitternsill COMMAND [OPTIONS]

commands:
  serve [--config FILE]   serve until SIGTERM; FILE is the platform's configuration
                          (default: $ROUTER_CONFIG)
  describe openapi        print the description of the HTTP surfaces
  version                 print the version
  help                    print this

The log goes to standard error; BITTERNSILL_LOG is error, warn, info (default), debug or trace.
";

enum Command {
    Serve { config: Option<PathBuf> },
    Describe,
    Version,
    Help,
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_iter(args);
    let mut name: Option<String> = None;
    let mut what: Option<String> = None;
    let mut config = None;
    let mut version = false;
    let mut help = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => help = true,
            Short('V') | Long("version") => version = true,
            Long("config") if name.as_deref() == Some("serve") => config = Some(parser.value()?.into()),
            Value(word) if name.is_none() => name = Some(word.string()?),
            Value(word) if name.as_deref() == Some("describe") && what.is_none() => {
                what = Some(word.string()?);
            }
            other => return Err(other.unexpected()),
        }
    }
    match name.as_deref() {
        _ if help => Ok(Command::Help),
        None if version => Ok(Command::Version),
        Some("serve") => Ok(Command::Serve { config }),
        Some("describe") => match what.as_deref() {
            Some("openapi") => Ok(Command::Describe),
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
        Command::Version => println!("bitternsill {}", env!("CARGO_PKG_VERSION")),
        Command::Describe => println!("{:#}", describe::openapi::describe(&Limits::default())),
        Command::Help => print!("{USAGE}"),
        Command::Serve { config } => {
            start_log();
            let served = config::load(config).map_err(|e| e.to_string()).and_then(|config| {
                serve::serve(config).map_err(|problem| format!("cannot serve: {problem}"))
            });
            if let Err(problem) = served {
                tracing::error!("{problem}");
                eprintln!("bitternsill: {problem}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn start_log() {
    let level = std::env::var("BITTERNSILL_LOG").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
}
