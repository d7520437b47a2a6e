//! `bitternsill fleet phase`: shows the recovery phase of each gatherer, queried at the store's
//! addresses.

use crate::store::client::{self, ClientError};
use clap::{Args, ValueEnum};
use serde_json::{Value as Json, json};
use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Arguments of `fleet phase`.
#[derive(Debug, Args)]
pub struct Phase {
    /// Addresses at which gatherers listen for the other members of their store.
    #[arg(long, value_name = "ADDRESS", num_args = 1.., required = true)]
    at: Vec<SocketAddr>,
    /// Milliseconds to wait for each gatherer.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    patience: u64,
    /// The output format.
    #[arg(long, default_value = "text")]
    format: Format,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    /// A line for each gatherer.
    Text,
    /// A JSON array.
    Json,
}

/// Why a gatherer's phase is unknown.
#[derive(Debug)]
enum PhaseError {
    Client(ClientError),
    /// The thread of the query panicked.
    Panicked,
}

impl fmt::Display for PhaseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PhaseError::Client(error) => error.fmt(f),
            PhaseError::Panicked => f.write_str("the query failed: its thread panicked"),
        }
    }
}

impl std::error::Error for PhaseError {}

/// A gatherer's address and its answer.
struct Answer {
    address: SocketAddr,
    result: Result<Json, PhaseError>,
}

/// Queries all gatherers concurrently.
fn query_all(addresses: &[SocketAddr], timeout: Duration) -> Vec<Answer> {
    let query = |address: &SocketAddr| {
        let address = *address;
        let thread =
            thread::spawn(move || client::exchange_line(address, super::PHASE_REQUEST, timeout));
        (address, thread)
    };
    let queries: Vec<_> = addresses.iter().map(query).collect();
    queries
        .into_iter()
        .map(|(address, thread)| Answer {
            address,
            result: match thread.join() {
                Ok(result) => result.map_err(PhaseError::Client),
                Err(_) => Err(PhaseError::Panicked),
            },
        })
        .collect()
}

/// Queries the gatherers; returns the text to print, and whether all have responded.
pub fn run(call: &Phase) -> (String, bool) {
    let answers = query_all(&call.at, Duration::from_millis(call.patience));
    let all = answers.iter().all(|answer| answer.result.is_ok());
    let text = match call.format {
        Format::Json => {
            let line = |answer: &Answer| match &answer.result {
                Ok(result) => json!({"at": answer.address.to_string(), "answer": result}),
                Err(error) => {
                    json!({"at": answer.address.to_string(), "problem": error.to_string()})
                }
            };
            format!("{:#}", Json::Array(answers.iter().map(line).collect()))
        }
        Format::Text => answers.iter().map(describe).collect::<Vec<_>>().join("\n"),
    };
    (text, all)
}

/// Formats an answer as a line of text.
fn describe(Answer { address, result }: &Answer) -> String {
    let answer = match result {
        Ok(answer) => answer,
        Err(error) => return format!("{address}: {error}"),
    };
    let text = |value: &Json| value.as_str().map(str::to_owned);
    let why = answer["why"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let why: Vec<&str> = why.iter().filter_map(Json::as_str).collect();
    let mut line = format!(
        "{address}: {}, running for {} s, {}, {} index hosts",
        text(&answer["phase"]).unwrap_or_else(|| "recovery not configured".to_owned()),
        answer["running_ms"].as_u64().unwrap_or(0) / 1_000,
        if answer["ready"] == true {
            "accepts clients"
        } else {
            "accepts no clients"
        },
        answer["index_hosts"]
    );
    if !why.is_empty() {
        line += &format!(" ({})", why.join("; "));
    }
    if let Some(waits) = text(&answer["waits_for"]) {
        line += &format!("; waits: {waits}");
    }
    if let Some(standing) = text(&answer["store"]["standing"]) {
        line += &format!(
            "; store {}: {standing}",
            text(&answer["store"]["id"]).unwrap_or_default()
        );
        if let Some(waits) = text(&answer["store"]["waits_for"]) {
            line += &format!(", {waits}");
        }
    }
    line
}
