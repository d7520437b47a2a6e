//! `bitternsill fleet phase`: how far each gatherer has come, asked at the store's addresses.

use clap::{Args, Subcommand, ValueEnum};
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Ask a fleet.
#[derive(Debug, Subcommand)]
pub enum FleetCall {
    /// Tell how far each gatherer has come after its start, and what it waits for. Exits with 0 if all have answered.
    Phase(Phase),
}

/// Whom to ask.
#[derive(Debug, Args)]
pub struct Phase {
    /// Addresses at which gatherers speak with the other members of their store.
    #[arg(long, value_name = "ADDRESS", num_args = 1.., required = true)]
    at: Vec<SocketAddr>,
    /// Milliseconds to wait for each.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    patience: u64,
    /// How it is printed.
    #[arg(long, default_value = "text")]
    format: Format,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    /// A line for each gatherer.
    Text,
    /// One array.
    Json,
}

/// What is printed, and whether all have answered.
pub fn run(call: &FleetCall) -> (String, bool) {
    let FleetCall::Phase(call) = call;
    let patience = Duration::from_millis(call.patience);
    let asked: Vec<_> = call
        .at
        .iter()
        .map(|at| {
            (*at, {
                let at = *at;
                thread::spawn(move || ask(at, patience))
            })
        })
        .collect();
    let answers: Vec<(SocketAddr, Result<Json, String>)> = asked
        .into_iter()
        .map(|(at, thread)| (at, thread.join().unwrap_or_else(|_| Err("could not be asked".to_owned()))))
        .collect();
    let all = answers.iter().all(|(_, answer)| answer.is_ok());
    let text = match call.format {
        Format::Json => {
            let line = |(at, answer): &(SocketAddr, Result<Json, String>)| match answer {
                Ok(answer) => json!({"at": at.to_string(), "answer": answer}),
                Err(problem) => json!({"at": at.to_string(), "problem": problem}),
            };
            format!("{:#}", Json::Array(answers.iter().map(line).collect()))
        }
        Format::Text => answers.iter().map(words).collect::<Vec<_>>().join("\n"),
    };
    (text, all)
}

fn words((at, answer): &(SocketAddr, Result<Json, String>)) -> String {
    let answer = match answer {
        Ok(answer) => answer,
        Err(problem) => return format!("{at}: {problem}"),
    };
    let text = |value: &Json| value.as_str().map(str::to_owned);
    let why = answer["why"].as_array().map(Vec::as_slice).unwrap_or_default();
    let why: Vec<&str> = why.iter().filter_map(Json::as_str).collect();
    let mut line = format!(
        "{at}: {}, running for {} s, {}, {} index hosts",
        text(&answer["phase"]).unwrap_or_else(|| "no recovery set up".to_owned()),
        answer["running_ms"].as_u64().unwrap_or(0) / 1_000,
        if answer["ready"] == true { "takes clients" } else { "takes no clients" },
        answer["index_hosts"]
    );
    if !why.is_empty() {
        line += &format!(" ({})", why.join("; "));
    }
    if let Some(waits) = text(&answer["waits_for"]) {
        line += &format!("; waits: {waits}");
    }
    if let Some(standing) = text(&answer["store"]["standing"]) {
        line += &format!("; store {}: {standing}", text(&answer["store"]["id"]).unwrap_or_default());
        if let Some(waits) = text(&answer["store"]["waits_for"]) {
            line += &format!(", {waits}");
        }
    }
    line
}

fn ask(at: SocketAddr, patience: Duration) -> Result<Json, String> {
    let late = |problem: std::io::Error| match problem.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => "no answer in time".to_owned(),
        _ => problem.to_string(),
    };
    let mut socket = TcpStream::connect_timeout(&at, patience).map_err(late)?;
    socket.set_read_timeout(Some(patience)).map_err(late)?;
    socket.write_all(format!("{}\n", super::ASK).as_bytes()).map_err(late)?;
    let mut line = String::new();
    BufReader::new(socket).read_line(&mut line).map_err(late)?;
    serde_json::from_str(&line).map_err(|_| "the answer cannot be read; is it a gatherer's store?".to_owned())
}
