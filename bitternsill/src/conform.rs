//! The conformance suite: clauses of the standards as cases, played by a client against any server.
//!
//! Requests are put together from the standards' own words and tags, and not by the codecs that the
//! front answers with: a mistake that both sides of one codec share would never show.

mod sru;
mod z3950;

use serde_json::{Value as Json, json};
use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// What is tested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Protocol {
    /// Z39.50
    Z3950,
    /// SRU
    Sru,
}

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// A table.
    Text,
    /// One object.
    Json,
}

/// How a case ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// As the clause has it.
    Pass,
    /// Otherwise; what was seen.
    Fail(String),
    /// Not to be judged: the server does not offer it, which the standard leaves to it.
    Skip(String),
}

/// Why a case stopped.
#[derive(Debug)]
pub enum Stop {
    /// What was seen is not what the clause asks for.
    Miss(String),
    /// The server does not offer it.
    NotOffered(String),
}

impl From<io::Error> for Stop {
    fn from(problem: io::Error) -> Self {
        Stop::Miss(format!("no answer: {problem}"))
    }
}

/// A case's end.
type Played = Result<(), Stop>;

/// Judges one thing that was seen.
fn see(holds: bool, seen: impl fmt::Display) -> Played {
    if holds {
        Ok(())
    } else {
        Err(Stop::Miss(seen.to_string()))
    }
}

fn same<T: PartialEq + fmt::Debug>(what: &str, seen: T, wanted: T) -> Played {
    see(
        seen == wanted,
        format_args!("{what}: {seen:?}, wanted {wanted:?}"),
    )
}

fn miss<T>(seen: impl fmt::Display) -> Result<T, Stop> {
    Err(Stop::Miss(seen.to_string()))
}

/// The server under test.
#[derive(Debug, Clone)]
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    /// The database that is searched.
    pub database: String,
    /// A search that finds several records, in CQL or as a word.
    pub term: String,
    /// How long it may take over one answer.
    pub patience: Duration,
}

/// One case.
struct Case {
    /// Its name.
    name: &'static str,
    /// The clause that it is taken from.
    clause: &'static str,
    play: fn(&Target) -> Played,
}

/// A case's result.
#[derive(Debug, Clone)]
pub struct Judged {
    /// The case.
    pub name: &'static str,
    /// The clause that it is taken from.
    pub clause: &'static str,
    /// How it ended.
    pub verdict: Verdict,
}

/// Plays every case.
pub fn play(protocol: Protocol, target: &Target) -> Vec<Judged> {
    let cases = match protocol {
        Protocol::Sru => sru::CASES,
        Protocol::Z3950 => z3950::CASES,
    };
    let judge = |case: &Case| Judged {
        name: case.name,
        clause: case.clause,
        verdict: match (case.play)(target) {
            Ok(()) => Verdict::Pass,
            Err(Stop::Miss(seen)) => Verdict::Fail(seen),
            Err(Stop::NotOffered(what)) => Verdict::Skip(what),
        },
    };
    cases.iter().map(judge).collect()
}

/// Prints what was judged; says whether no case failed.
pub fn report(judged: &[Judged], format: Format, out: &mut impl Write) -> io::Result<bool> {
    let count = |wanted: fn(&Verdict) -> bool| judged.iter().filter(|j| wanted(&j.verdict)).count();
    let passed = count(|v| matches!(v, Verdict::Pass));
    let failed = count(|v| matches!(v, Verdict::Fail(_)));
    let skipped = count(|v| matches!(v, Verdict::Skip(_)));
    match format {
        Format::Json => {
            let case = |j: &Judged| -> Json {
                let (verdict, seen) = match &j.verdict {
                    Verdict::Pass => ("pass", None),
                    Verdict::Fail(seen) => ("fail", Some(seen)),
                    Verdict::Skip(what) => ("skip", Some(what)),
                };
                json!({"case": j.name, "clause": j.clause, "verdict": verdict, "seen": seen})
            };
            let cases: Vec<Json> = judged.iter().map(case).collect();
            let all =
                json!({"passed": passed, "failed": failed, "skipped": skipped, "cases": cases});
            writeln!(out, "{all:#}")?;
        }
        Format::Text => {
            let width = judged
                .iter()
                .map(|j| j.name.chars().count())
                .max()
                .unwrap_or(0);
            for j in judged {
                let (word, seen) = match &j.verdict {
                    Verdict::Pass => ("pass", ""),
                    Verdict::Fail(seen) => ("FAIL", seen.as_str()),
                    Verdict::Skip(what) => ("skip", what.as_str()),
                };
                let line = format!("{word}  {:width$}  {}  {seen}", j.name, j.clause);
                writeln!(out, "{}", line.trim_end())?;
            }
            writeln!(out, "{passed} passed, {failed} failed, {skipped} skipped")?;
        }
    }
    Ok(failed == 0)
}
