//! `bitternsill fleet phase`: how far each gatherer has come, asked at the store's addresses.

use crate::store::client;
use clap::{Args, ValueEnum};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

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
pub fn run(call: &Phase) -> (String, bool) {
    let patience = Duration::from_millis(call.patience);
    let asked: Vec<_> = call
        .at
        .iter()
        .map(|at| {
            (*at, {
                let at = *at;
                thread::spawn(move || {
                    client::exchange_line(at, super::ASK, patience).map_err(String::from)
                })
            })
        })
        .collect();
    let answers: Vec<(SocketAddr, Result<Json, String>)> = asked
        .into_iter()
        .map(|(at, thread)| {
            (
                at,
                thread
                    .join()
                    .unwrap_or_else(|_| Err("could not be asked".to_owned())),
            )
        })
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
    let why = answer["why"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let why: Vec<&str> = why.iter().filter_map(Json::as_str).collect();
    let mut line = format!(
        "{at}: {}, running for {} s, {}, {} index hosts",
        text(&answer["phase"]).unwrap_or_else(|| "no recovery set up".to_owned()),
        answer["running_ms"].as_u64().unwrap_or(0) / 1_000,
        if answer["ready"] == true {
            "takes clients"
        } else {
            "takes no clients"
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
